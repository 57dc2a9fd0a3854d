//! Attempts on their way, at backends and back.

use super::world::*;
use super::Policy;
use crate::backend::LOOK;
use crate::invariants::Violation;
use shaletide_balancer::AttemptEnd;
use shaletide_routing::pools::Event;
use shaletide_testkit::{Admission, Demand, ServiceEvent};
use shaletide_types::*;

impl World<'_> {
    pub(super) fn dispatch(&mut self, proxy: usize, id: RequestId, no: AttemptNumber, backend: usize) {
        let Some(open) = self.requests.get(&id) else { return self.watch.broke(Violation::Answer(id)) };
        let sort = &self.scenario.sorts[self.clients[open.client].sort];
        let ran = self.ran(open);
        let cell = self.rows[backend].deduplication_group;
        self.watch.sent(self.now, id, sort.class.idempotency, &ran, cell);
        if let Some(late) =
            self.proxies[proxy].drains.get(&backend).map(|at| self.now - *at).filter(|l| *l > GRACE)
        {
            self.watch.broke(Violation::Drain(BackendId(backend as u32), late));
        }
        self.statistics.attempts += 1;
        self.statistics.by_backend[backend] += 1;
        let crosses = self.rows[backend].zone != self.proxies[proxy].zone;
        self.statistics.crossed += u64::from(crosses);
        let attempt = self.attempts.len();
        let work_ms = sort.work_ms.sample(&mut self.rng);
        let (life, sent) = (self.proxies[proxy].life, self.now);
        let (wait, fresh) = self.connects(proxy, backend);
        let connected = fresh.is_some().then_some(self.backends[backend].life);
        let work_ms = work_ms + fresh.unwrap_or(0.0);
        let (at_box, over, not_executed) = (false, false, false);
        let a =
            Attempt { id, no, proxy, life, backend, connected, sent, at_box, over, not_executed, work_ms };
        self.attempts.push(a);
        self.out.insert((id, no), attempt);
        if let Some(open) = self.requests.get_mut(&id) {
            open.tries.push(attempt);
        }
        if connected.is_none() {
            return self.at(self.now + wait, Ev::Back { attempt, outcome: Outcome::ConnectFailed });
        }
        self.at(self.now + wait, Ev::AtBox { attempt });
        if self.faults.reset > 0.0 && self.faults.rng.chance(self.faults.reset) {
            let breaks = Micros(wait.0 + (self.faults.rng.uniform() * BREAKS) as u64);
            self.at(self.now + breaks, Ev::Back { attempt, outcome: Outcome::Reset });
        }
    }

    /// When a request sent now is at the backend, or is known not to get there, and what a connection made for it costs
    /// the backend, ms of work: nothing where one rested, none where none comes up.
    fn connects(&mut self, proxy: usize, backend: usize) -> (Micros, Option<f64>) {
        let way = self.way_between(proxy, backend);
        self.tidy(proxy, backend);
        if self.proxies[proxy].idle.get_mut(&backend).and_then(Vec::pop).is_some() {
            return (way, Some(0.0));
        }
        if self.cut_between(proxy, backend) {
            return (CONNECT, None);
        }
        let common = &self.scenario.common;
        let s = &mut self.backends[backend];
        let wait = Micros(way.0 + common.handshake.0 .0);
        if s.dead || s.connections >= common.connections || self.rows[backend].state == BackendState::Gone {
            return (wait, None);
        }
        s.connections += 1;
        self.statistics.handshakes += 1;
        (wait, Some(common.handshake.1))
    }

    /// Connections that rested too long are closed.
    pub(super) fn tidy(&mut self, proxy: usize, backend: usize) {
        let oldest = self.now.0.saturating_sub(self.scenario.common.idle.times(IDLE_PART).0);
        if let Some(all) = self.proxies[proxy].idle.get_mut(&backend) {
            let before = all.len();
            all.retain(|since| since.0 >= oldest);
            self.backends[backend].connections -= (before - all.len()) as u32;
        }
    }

    pub(super) fn at_box(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if a.over {
            return;
        }
        let (proxy, backend, work_ms) = (a.proxy, a.backend, a.work_ms);
        if self.cut_between(proxy, backend) {
            return self.faults.stalled.push(attempt);
        }
        let lives = self.attempts[attempt].connected == Some(self.backends[backend].life);
        self.attempts[attempt].at_box = lives;
        let id = BackendId(backend as u32);
        if !lives || self.rows[backend].state == BackendState::Gone {
            return self.at(self.now, Ev::Back { attempt, outcome: Outcome::Reset });
        }
        let s = &self.backends[backend];
        let window = Micros(1_000_000);
        if s.power.speed_fraction(s.booted, self.now) < 1.0 {
            let bears = 3.0 * s.power.available_cores(s.booted, self.now) * window.secs();
            let work = (work_ms / 1e3, self.scenario.work_ms() / 1e3);
            self.watch.came(self.now, id, work, bears, window);
        }
        if s.silent {
            return;
        }
        let sort = &self.scenario.sorts[self.clients_sort(attempt)];
        let io = Micros::from_secs(sort.io_ms.sample(&mut self.rng) / 1e3);
        self.wake(backend);
        let s = &mut self.backends[backend];
        match s.arrive(self.now, attempt as u64, Demand { work_ms, io }) {
            Admission::Full => {
                let way = self.way(attempt);
                self.at(self.now + way, Ev::Back { attempt, outcome: Outcome::Rejected });
            }
            Admission::Began | Admission::Queued => self.set_wake(backend),
        }
    }

    pub(super) fn clients_sort(&self, attempt: usize) -> usize {
        let open = self.requests.get(&self.attempts[attempt].id);
        open.map_or(0, |o| self.clients[o.client].sort)
    }

    pub(super) fn way(&self, attempt: usize) -> Micros {
        let a = &self.attempts[attempt];
        self.way_between(a.proxy, a.backend)
    }

    fn way_between(&self, proxy: usize, backend: usize) -> Micros {
        if self.rows[backend].zone == self.proxies[proxy].zone {
            self.scenario.net.0
        } else {
            self.scenario.net.1
        }
    }

    pub(super) fn set_wake(&mut self, backend: usize) {
        let Some(at) = self.backends[backend].station.next_event(self.now) else { return };
        let at = at.max(self.now);
        if self.wakes[backend].is_none_or(|set| at < set) {
            self.wakes[backend] = Some(at);
            self.at(at, Ev::Wake { backend });
        }
    }

    pub(super) fn wake(&mut self, backend: usize) {
        let steps = self.backends[backend].advance(self.now);
        for step in steps {
            let ServiceEvent::Served(done) = step else { continue };
            let attempt = done.id as usize;
            let took = self.now - self.attempts[attempt].sent;
            self.backends[backend].told_served(took);
            let way = self.way(attempt);
            self.at(self.now + way, Ev::Back { attempt, outcome: Outcome::Ok });
        }
    }

    pub(super) fn look(&mut self) {
        for backend in 0..self.backends.len() {
            self.wake(backend);
            self.backends[backend].look(self.now);
            self.set_wake(backend);
        }
        if self.now.0 % 1_000_000 < LOOK.0 {
            let slow = self.backends.iter().filter(|s| s.crowded()).count() as u32;
            let held = self.backends.iter().map(|s| s.held()).sum::<f64>() / self.backends.len() as f64;
            self.statistics.backends.push((slow, held));
            for proxy in 0..self.proxies.len() {
                let backends: Vec<usize> = self.proxies[proxy].idle.keys().copied().collect();
                backends.into_iter().for_each(|backend| self.tidy(proxy, backend));
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
        let (proxy, backend, at_box) = (a.proxy, a.backend, a.at_box);
        self.out.remove(&(a.id, a.no));
        self.hangs_up(attempt);
        // A backend beyond a cut does not hear of it and serves it to the end.
        if at_box && !self.cut_between(proxy, backend) {
            self.wake(backend);
            self.backends[backend].station.cancel(self.now, attempt as u64);
            self.set_wake(backend);
        }
    }

    /// Its connection, if it has one, is no more.
    fn hangs_up(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let backend = &mut self.backends[a.backend];
        if a.connected == Some(backend.life) {
            backend.connections = backend.connections.saturating_sub(1);
        }
    }

    /// What a backend or a link has to say does not arrive.
    fn is_lost(&mut self, proxy: usize, backend: usize, outcome: Outcome) -> bool {
        let lost = self.faults.lost;
        self.cut_between(proxy, backend)
            || lost > 0.0 && outcome != Outcome::Reset && self.faults.rng.chance(lost)
    }

    pub(super) fn back(&mut self, attempt: usize, outcome: Outcome) {
        let a = &mut self.attempts[attempt];
        if a.over {
            return;
        }
        let (proxy, backend) = (a.proxy, a.backend);
        if outcome != Outcome::ConnectFailed && self.is_lost(proxy, backend, outcome) {
            return;
        }
        let a = &mut self.attempts[attempt];
        a.not_executed = outcome.not_executed();
        let (proxy, backend, id, life) = (a.proxy, a.backend, a.id, a.life);
        a.over = true;
        self.out.remove(&(id, a.no));
        if outcome != Outcome::ConnectFailed {
            let lives = self.attempts[attempt].connected == Some(self.backends[backend].life);
            if outcome == Outcome::Reset || self.proxies[proxy].life != life {
                self.hangs_up(attempt);
            } else if lives {
                self.proxies[proxy].idle.entry(backend).or_default().push(self.now);
            }
        }
        if self.proxies[proxy].life != life {
            return;
        }
        let report =
            if self.policy == Policy::Program { self.backends[backend].report(self.now) } else { None };
        if let Some(report) = report.filter(|_| matches!(outcome, Outcome::Ok | Outcome::Rejected)) {
            self.todo.push_back((
                proxy,
                Event::LoadReported { pool: POOL, backend: BackendId(backend as u32), report },
            ));
        }
        let over = outcome == Outcome::Ok || !self.requests.contains_key(&id);
        self.ended(attempt, outcome, over);
        match (self.policy, outcome) {
            (_, Outcome::Ok) => self.served(id),
            (Policy::Random, Outcome::Rejected | Outcome::ConnectFailed) => self.rejected(id, Micros(0)),
            _ => {}
        }
    }

    pub(super) fn ended(&mut self, attempt: usize, outcome: Outcome, settled: bool) {
        let a = &self.attempts[attempt];
        if self.policy == Policy::Random {
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
