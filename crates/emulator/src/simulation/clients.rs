//! Clients, the front that deals them out, and what they get.

use super::world::*;
use super::Policy;
use crate::invariants::Violation;
use crate::statistics::End;
use shaletide_balancer::Arrival;
use shaletide_routing::pools::Event;
use shaletide_testkit::SeededRng;
use shaletide_types::*;
use std::rc::Rc;

/// One of them, by their shares.
fn pick(rng: &mut SeededRng, shares: &[f64]) -> usize {
    let mut left = rng.uniform() * shares.iter().sum::<f64>();
    let hit = shares.iter().position(|s| {
        left -= s;
        left < 0.0
    });
    hit.unwrap_or(shares.len() - 1)
}

impl World<'_> {
    pub(super) fn comes(&mut self) {
        if self.now >= self.end {
            return;
        }
        let rate = self.scenario.load * self.scenario.capacity() * self.burst;
        let gap = -self.rng.uniform().ln() / rate;
        self.at(self.now + Micros::from_secs(gap), Ev::Comes);
        let sort = pick(&mut self.rng, &self.scenario.sorts.iter().map(|s| s.share).collect::<Vec<_>>());
        let tenant = pick(&mut self.rng, &self.scenario.tenants.iter().map(|t| t.1).collect::<Vec<_>>());
        let proxy = pick(&mut self.rng, &self.parts);
        let client = self.clients.len();
        self.clients.push(Client { came: self.now, sort, tenant, tries: 0, proxy, served: false });
        self.statistics.requests[sort] += 1;
        self.statistics.priority_weight.0 += self.scenario.sorts[sort].class.priority_weight;
        let second = self.statistics.second(self.now - START);
        self.statistics.seconds[second].0 += 1;
        self.asks(client, false);
    }

    pub(super) fn asks(&mut self, client: usize, repeat: bool) {
        let c = &mut self.clients[client];
        let sort = &self.scenario.sorts[c.sort];
        let left = sort.deadline.0.saturating_sub((self.now - c.came).0);
        if left < 10_000 {
            return;
        }
        c.tries += 1;
        let (class, tenant) = (ClassId(c.sort), TenantId(c.tenant));
        let Some(proxy) = self.deals(client) else { return };
        if self.proxies[proxy].pools.is_none() {
            return self.closed(client, self.now, End::Unreached, Micros(0));
        }
        self.last += 1;
        let id = RequestId(self.last);
        let deadline = self.now + Micros(left);
        self.requests.insert(id, Open { proxy, client, came: self.now, tries: Vec::new() });
        self.proxies[proxy].open.insert(id);
        self.at(deadline, Ev::Deadline { id });
        if self.policy == Policy::Random {
            return self.draws(proxy, id);
        }
        let arrival = Arrival {
            request: id,
            class,
            tenant: Some(tenant),
            time_left: Micros(left),
            work_hint: None,
            is_client_retry: repeat,
            may_fail_over: false,
        };
        self.todo.push_back((proxy, Event::Request { arrival, pools: Rc::new([POOL]) }));
    }

    /// Each proxy's part of the clients.
    pub(super) fn deal(&self) -> Vec<f64> {
        if self.policy == Policy::One {
            vec![1.0]
        } else {
            self.scenario.parts()
        }
    }

    /// The front passes over those that it knows to be dead.
    fn deals(&self, client: usize) -> Option<usize> {
        let (first, all) = (self.clients[client].proxy, self.proxies.len());
        let known_dead = |p: &Proxy| p.pools.is_none() && self.now >= p.noticed;
        (0..=all).map(|step| (first + step * 7) % all).find(|p| !known_dead(&self.proxies[*p]))
    }

    /// Random choice.
    pub(super) fn draws(&mut self, proxy: usize, id: RequestId) {
        let ready = &self.proxies[proxy].ready;
        let at = (self.rng.uniform() * ready.len() as f64) as usize;
        match ready.keys().nth(at).copied() {
            Some(backend) => self.dispatch(proxy, id, AttemptNumber(0), backend),
            None => self.rejected(id, Micros(0)),
        }
    }

    /// A try is over.
    pub(super) fn closed(&mut self, client: usize, came: Time, end: End, advice: Micros) {
        self.statistics.ends[end as usize] += 1;
        let rejected = matches!(end, End::RefusedAtOnce | End::RefusedHeld | End::RefusedSent);
        if rejected {
            let second = self.statistics.second(came - START);
            self.statistics.rejected[second][end as usize - End::RefusedAtOnce as usize] += 1;
        }
        let lost = matches!(end, End::Died | End::Unreached);
        if lost {
            // Its next connection is dealt anew.
            self.clients[client].proxy = pick(&mut self.faults.rng, &self.parts);
        }
        let c = &mut self.clients[client];
        if (rejected || lost) && c.tries <= self.scenario.retries {
            let wait = Micros((self.rng.uniform() * 70_000.0) as u64 + 10_000).max(advice.min(MOST_ADVICE));
            self.at(self.now + wait, Ev::Again { client });
        }
    }

    pub(super) fn served(&mut self, id: RequestId) {
        let Some(open) = self.forget(id) else { return };
        let c = &mut self.clients[open.client];
        let sort = &self.scenario.sorts[c.sort];
        let took = self.now - c.came;
        let in_time = took <= sort.class.latency_objective;
        let priority_weight =
            sort.class.priority_weight * if in_time { 1.0 } else { sort.class.late_weight_fraction };
        if !std::mem::replace(&mut c.served, true) {
            self.statistics.priority_weight.1 += priority_weight;
            if in_time {
                self.statistics.served[c.sort] += 1;
                let second = self.statistics.second(c.came - START);
                self.statistics.seconds[second].1 += 1;
            }
        }
        // The bounds of the histogram are wider than any deadline.
        let _ = self.statistics.latency.record(took.0.max(1));
        self.closed(open.client, open.came, if in_time { End::InTime } else { End::Late }, Micros(0));
    }

    pub(super) fn forget(&mut self, id: RequestId) -> Option<Open> {
        let open = self.requests.remove(&id)?;
        self.proxies[open.proxy].open.remove(&id);
        Some(open)
    }

    /// The attempts of it that may have run or may run yet.
    pub(super) fn ran(&self, open: &Open) -> Vec<(DeduplicationGroupId, Time)> {
        let all = open.tries.iter().map(|t| &self.attempts[*t]);
        all.filter(|a| !a.not_executed).map(|a| (self.rows[a.backend].deduplication_group, a.sent)).collect()
    }

    pub(super) fn effect(&self, open: &Open) -> Idempotency {
        self.scenario.sorts[self.clients[open.client].sort].class.idempotency
    }

    pub(super) fn rejected(&mut self, id: RequestId, advice: Micros) {
        let Some(open) = self.forget(id) else { return self.watch.broke(Violation::Answer(id)) };
        let (ran, effect) = (self.ran(&open), self.effect(&open));
        self.watch.rejected(id, effect, &ran);
        let end = match () {
            () if !open.tries.is_empty() => End::RefusedSent,
            () if self.now - open.came > Micros(1_000) => End::RefusedHeld,
            () => End::RefusedAtOnce,
        };
        self.closed(open.client, open.came, end, advice);
    }

    pub(super) fn deadline(&mut self, id: RequestId) {
        let Some(open) = self.forget(id) else { return };
        let proxy = open.proxy;
        let out: Vec<usize> = open.tries.iter().copied().filter(|t| !self.attempts[*t].over).collect();
        if out.is_empty() {
            self.todo.push_back((proxy, Event::ClientDisconnected { request: id }));
        }
        for attempt in out {
            self.let_go(attempt);
            self.ended(attempt, Outcome::TimedOut, true);
        }
        self.closed(open.client, open.came, End::Failed, Micros(0));
    }
}
