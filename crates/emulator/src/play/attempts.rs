//! Attempts on their way, at backends and back.

use super::world::*;
use super::Who;
use crate::rules::Broken;
use crate::site::LOOK;
use shaletide_balancer::AttemptEnd;
use shaletide_routing::pools::Event;
use shaletide_testkit::{Admitted, Demand, Step};
use shaletide_types::*;

impl World<'_> {
    pub(super) fn dispatch(&mut self, proxy: usize, id: RequestId, no: AttemptNumber, site: usize) {
        let Some(open) = self.requests.get(&id) else { return self.watch.broke(Broken::Answer(id)) };
        let sort = &self.day.sorts[self.clients[open.client].sort];
        let ran = self.ran(open);
        let cell = self.rows[site].deduplication_group;
        self.watch.sent(self.now, id, sort.class.idempotency, &ran, cell);
        if let Some(late) =
            self.proxies[proxy].drains.get(&site).map(|at| self.now - *at).filter(|l| *l > GRACE)
        {
            self.watch.broke(Broken::Drain(BackendId(site as u32), late));
        }
        self.account.attempts += 1;
        self.account.by_box[site] += 1;
        let crosses = self.rows[site].zone != self.proxies[proxy].zone;
        self.account.crossed += u64::from(crosses);
        let attempt = self.attempts.len();
        let work_ms = sort.work_ms.draw(&mut self.dice);
        let (life, sent) = (self.proxies[proxy].life, self.now);
        let (wait, fresh) = self.connects(proxy, site);
        let connected = fresh.is_some().then_some(self.sites[site].life);
        let work_ms = work_ms + fresh.unwrap_or(0.0);
        let (at_box, over, not_executed) = (false, false, false);
        let a = Attempt { id, no, proxy, life, site, connected, sent, at_box, over, not_executed, work_ms };
        self.attempts.push(a);
        self.out.insert((id, no), attempt);
        if let Some(open) = self.requests.get_mut(&id) {
            open.tries.push(attempt);
        }
        if connected.is_none() {
            return self.at(self.now + wait, Ev::Back { attempt, outcome: Outcome::ConnectFailed });
        }
        self.at(self.now + wait, Ev::AtBox { attempt });
        if self.faults.reset > 0.0 && self.faults.dice.chance(self.faults.reset) {
            let breaks = Micros(wait.0 + (self.faults.dice.part() * BREAKS) as u64);
            self.at(self.now + breaks, Ev::Back { attempt, outcome: Outcome::Reset });
        }
    }

    /// When a request sent now is at the backend, or is known not to get there, and what a connection made for it costs
    /// the backend, ms of work: nothing where one rested, none where none comes up.
    fn connects(&mut self, proxy: usize, site: usize) -> (Micros, Option<f64>) {
        let way = self.way_between(proxy, site);
        self.tidy(proxy, site);
        if self.proxies[proxy].idle.get_mut(&site).and_then(Vec::pop).is_some() {
            return (way, Some(0.0));
        }
        if self.cut_between(proxy, site) {
            return (CONNECT, None);
        }
        let common = &self.day.common;
        let s = &mut self.sites[site];
        let wait = Micros(way.0 + common.handshake.0 .0);
        if s.dead || s.connections >= common.connections || self.rows[site].state == BackendState::Gone {
            return (wait, None);
        }
        s.connections += 1;
        self.account.handshakes += 1;
        (wait, Some(common.handshake.1))
    }

    /// Connections that rested too long are closed.
    pub(super) fn tidy(&mut self, proxy: usize, site: usize) {
        let oldest = self.now.0.saturating_sub(self.day.common.idle.times(IDLE_PART).0);
        if let Some(all) = self.proxies[proxy].idle.get_mut(&site) {
            let before = all.len();
            all.retain(|since| since.0 >= oldest);
            self.sites[site].connections -= (before - all.len()) as u32;
        }
    }

    pub(super) fn at_box(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if a.over {
            return;
        }
        let (proxy, site, work_ms) = (a.proxy, a.site, a.work_ms);
        if self.cut_between(proxy, site) {
            return self.faults.stalled.push(attempt);
        }
        let lives = self.attempts[attempt].connected == Some(self.sites[site].life);
        self.attempts[attempt].at_box = lives;
        let id = BackendId(site as u32);
        if !lives || self.rows[site].state == BackendState::Gone {
            return self.at(self.now, Ev::Back { attempt, outcome: Outcome::Reset });
        }
        let s = &self.sites[site];
        let window = Micros(1_000_000);
        if s.power.warmth(s.booted, self.now) < 1.0 {
            let bears = 3.0 * s.power.capacity(s.booted, self.now) * window.secs();
            let work = (work_ms / 1e3, self.day.work_ms() / 1e3);
            self.watch.came(self.now, id, work, bears, window);
        }
        if s.silent {
            return;
        }
        let sort = &self.day.sorts[self.clients_sort(attempt)];
        let io = Micros::from_secs(sort.io_ms.draw(&mut self.dice) / 1e3);
        self.wake(site);
        let s = &mut self.sites[site];
        match s.arrive(self.now, attempt as u64, Demand { work_ms, io }) {
            Admitted::Full => {
                let way = self.way(attempt);
                self.at(self.now + way, Ev::Back { attempt, outcome: Outcome::Rejected });
            }
            Admitted::Began | Admitted::Queued => self.set_wake(site),
        }
    }

    pub(super) fn clients_sort(&self, attempt: usize) -> usize {
        let open = self.requests.get(&self.attempts[attempt].id);
        open.map_or(0, |o| self.clients[o.client].sort)
    }

    pub(super) fn way(&self, attempt: usize) -> Micros {
        let a = &self.attempts[attempt];
        self.way_between(a.proxy, a.site)
    }

    fn way_between(&self, proxy: usize, site: usize) -> Micros {
        if self.rows[site].zone == self.proxies[proxy].zone {
            self.day.net.0
        } else {
            self.day.net.1
        }
    }

    pub(super) fn set_wake(&mut self, site: usize) {
        let Some(at) = self.sites[site].station.next(self.now) else { return };
        let at = at.max(self.now);
        if self.wakes[site].is_none_or(|set| at < set) {
            self.wakes[site] = Some(at);
            self.at(at, Ev::Wake { site });
        }
    }

    pub(super) fn wake(&mut self, site: usize) {
        let steps = self.sites[site].advance(self.now);
        for step in steps {
            let Step::Served(done) = step else { continue };
            let attempt = done.id as usize;
            let took = self.now - self.attempts[attempt].sent;
            self.sites[site].told_served(took);
            let way = self.way(attempt);
            self.at(self.now + way, Ev::Back { attempt, outcome: Outcome::Ok });
        }
    }

    pub(super) fn look(&mut self) {
        for site in 0..self.sites.len() {
            self.wake(site);
            self.sites[site].look(self.now);
            self.set_wake(site);
        }
        if self.now.0 % 1_000_000 < LOOK.0 {
            let slow = self.sites.iter().filter(|s| s.crowded()).count() as u32;
            let held = self.sites.iter().map(|s| s.held()).sum::<f64>() / self.sites.len() as f64;
            self.account.boxes.push((slow, held));
            for proxy in 0..self.proxies.len() {
                let sites: Vec<usize> = self.proxies[proxy].idle.keys().copied().collect();
                sites.into_iter().for_each(|site| self.tidy(proxy, site));
            }
        }
        if self.now < self.end + Micros(4_000_000) {
            self.at(self.now + LOOK, Ev::Look);
        }
    }

    /// Nothing more comes of it, and its connection is closed.
    pub(super) fn let_go(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let (proxy, site, at_box) = (a.proxy, a.site, a.at_box);
        self.out.remove(&(a.id, a.no));
        self.hangs_up(attempt);
        // A backend beyond a cut does not hear of it and serves it to the end.
        if at_box && !self.cut_between(proxy, site) {
            self.wake(site);
            self.sites[site].station.cancel(self.now, attempt as u64);
            self.set_wake(site);
        }
    }

    /// Its connection, if it has one, is no more.
    fn hangs_up(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let site = &mut self.sites[a.site];
        if a.connected == Some(site.life) {
            site.connections = site.connections.saturating_sub(1);
        }
    }

    /// What a backend or a link has to say does not arrive.
    fn is_lost(&mut self, proxy: usize, site: usize, outcome: Outcome) -> bool {
        let lost = self.faults.lost;
        self.cut_between(proxy, site)
            || lost > 0.0 && outcome != Outcome::Reset && self.faults.dice.chance(lost)
    }

    pub(super) fn back(&mut self, attempt: usize, outcome: Outcome) {
        let a = &mut self.attempts[attempt];
        if a.over {
            return;
        }
        let (proxy, site) = (a.proxy, a.site);
        if outcome != Outcome::ConnectFailed && self.is_lost(proxy, site, outcome) {
            return;
        }
        let a = &mut self.attempts[attempt];
        a.not_executed = outcome.not_executed();
        let (proxy, site, id, life) = (a.proxy, a.site, a.id, a.life);
        a.over = true;
        self.out.remove(&(id, a.no));
        if outcome != Outcome::ConnectFailed {
            let lives = self.attempts[attempt].connected == Some(self.sites[site].life);
            if outcome == Outcome::Reset || self.proxies[proxy].life != life {
                self.hangs_up(attempt);
            } else if lives {
                self.proxies[proxy].idle.entry(site).or_default().push(self.now);
            }
        }
        if self.proxies[proxy].life != life {
            return;
        }
        let report = if self.who == Who::Program { self.sites[site].report(self.now) } else { None };
        if let Some(report) = report.filter(|_| matches!(outcome, Outcome::Ok | Outcome::Rejected)) {
            self.todo.push_back((
                proxy,
                Event::LoadReported { pool: POOL, backend: BackendId(site as u32), report },
            ));
        }
        let over = outcome == Outcome::Ok || !self.requests.contains_key(&id);
        self.ended(attempt, outcome, over);
        match (self.who, outcome) {
            (_, Outcome::Ok) => self.served(id),
            (Who::Random, Outcome::Rejected | Outcome::ConnectFailed) => self.refused(id, Micros(0)),
            _ => {}
        }
    }

    pub(super) fn ended(&mut self, attempt: usize, outcome: Outcome, settled: bool) {
        let a = &self.attempts[attempt];
        if self.who == Who::Random {
            return;
        }
        let end = AttemptEnd {
            request: a.id,
            attempt: a.no,
            outcome,
            latency: self.now - a.sent,
            request_answered: settled,
        };
        self.todo.push_back((a.proxy, Event::AttemptEnded(end)));
    }
}
