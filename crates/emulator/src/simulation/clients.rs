//! Clients, the front that distributes them over the proxies, and the ends of their requests.

use super::virtual_fleet::*;
use super::Policy;
use crate::invariants::Violation;
use crate::statistics::End;
use shaletide_balancer::Arrival;
use shaletide_routing::pools::Event;
use shaletide_testkit::SeededRng;
use shaletide_types::*;
use std::rc::Rc;

/// Draws an index with probabilities proportional to the shares.
fn pick(rng: &mut SeededRng, shares: &[f64]) -> usize {
    let mut left = rng.uniform() * shares.iter().sum::<f64>();
    let chosen = shares.iter().position(|s| {
        left -= s;
        left < 0.0
    });
    chosen.unwrap_or(shares.len() - 1)
}

impl Fleet<'_> {
    pub(super) fn client_arrives(&mut self) {
        if self.now >= self.end {
            return;
        }
        let rate = self.scenario.load * self.scenario.capacity() * self.burst;
        let gap = -self.rng.uniform().ln() / rate;
        self.schedule(self.now + Micros::from_secs(gap), SimEvent::ClientArrival);
        let request_class =
            pick(&mut self.rng, &self.scenario.request_classes.iter().map(|s| s.share).collect::<Vec<_>>());
        let tenant = pick(&mut self.rng, &self.scenario.tenants.iter().map(|t| t.1).collect::<Vec<_>>());
        let proxy = pick(&mut self.rng, &self.traffic_shares);
        let client = self.clients.len();
        self.clients.push(Client {
            arrived_at: self.now,
            request_class,
            tenant,
            tries: 0,
            proxy,
            served: false,
        });
        self.statistics.requests[request_class] += 1;
        self.statistics.priority_weight.0 +=
            self.scenario.request_classes[request_class].class.priority_weight;
        let second = self.statistics.second(self.now - START);
        self.statistics.seconds[second].0 += 1;
        self.send_request(client, false);
    }

    pub(super) fn send_request(&mut self, client: usize, repeat: bool) {
        let c = &mut self.clients[client];
        let request_class = &self.scenario.request_classes[c.request_class];
        let left = request_class.deadline.0.saturating_sub((self.now - c.arrived_at).0);
        if left < 10_000 {
            return;
        }
        c.tries += 1;
        let (class, tenant) = (ClassId(c.request_class), TenantId(c.tenant));
        let Some(proxy) = self.choose_proxy(client) else { return };
        if self.proxies[proxy].pools.is_none() {
            return self.end_try(client, self.now, End::Unreached, Micros(0));
        }
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let deadline = self.now + Micros(left);
        self.requests.insert(id, OpenRequest { proxy, client, arrived_at: self.now, tries: Vec::new() });
        self.proxies[proxy].open.insert(id);
        self.schedule(deadline, SimEvent::Deadline { id });
        if self.policy == Policy::Random {
            return self.dispatch_randomly(proxy, id);
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
        self.pending.push_back((proxy, Event::Request { arrival, pools: Rc::new([POOL]) }));
    }

    /// Returns the fraction of the clients that each proxy gets.
    pub(super) fn client_shares(&self) -> Vec<f64> {
        if self.policy == Policy::Centralized {
            vec![1.0]
        } else {
            self.scenario.traffic_shares()
        }
    }

    /// Returns the proxy that the front chooses for a client; it avoids proxies that it knows to be dead.
    fn choose_proxy(&self, client: usize) -> Option<usize> {
        let (first, all) = (self.clients[client].proxy, self.proxies.len());
        let known_dead = |p: &Proxy| p.pools.is_none() && self.now >= p.death_noticed_at;
        (0..=all).map(|step| (first + step * 7) % all).find(|p| !known_dead(&self.proxies[*p]))
    }

    /// Sends a request to a random ready backend.
    pub(super) fn dispatch_randomly(&mut self, proxy: usize, id: RequestId) {
        let ready = &self.proxies[proxy].ready;
        let at = (self.rng.uniform() * ready.len() as f64) as usize;
        match ready.keys().nth(at).copied() {
            Some(backend) => self.dispatch(proxy, id, AttemptNumber(0), backend),
            None => self.rejected(id, Micros(0)),
        }
    }

    /// Records the end of a try and schedules a retry of the client if there is one.
    pub(super) fn end_try(&mut self, client: usize, arrived_at: Time, end: End, retry_after: Micros) {
        self.statistics.ends[end as usize] += 1;
        let rejected =
            matches!(end, End::RejectedAtOnce | End::RejectedAfterQueueing | End::RejectedAfterAttempts);
        if rejected {
            let second = self.statistics.second(arrived_at - START);
            self.statistics.rejected[second][end as usize - End::RejectedAtOnce as usize] += 1;
        }
        let lost = matches!(end, End::ProxyDied | End::Unreached);
        if lost {
            // The client's next connection is assigned anew.
            self.clients[client].proxy = pick(&mut self.faults.rng, &self.traffic_shares);
        }
        let c = &mut self.clients[client];
        if (rejected || lost) && c.tries <= self.scenario.retries {
            let wait =
                Micros((self.rng.uniform() * 70_000.0) as u64 + 10_000).max(retry_after.min(MAX_RETRY_AFTER));
            self.schedule(self.now + wait, SimEvent::ClientRetry { client });
        }
    }

    pub(super) fn served(&mut self, id: RequestId) {
        let Some(open) = self.take_request(id) else { return };
        let c = &mut self.clients[open.client];
        let request_class = &self.scenario.request_classes[c.request_class];
        let took = self.now - c.arrived_at;
        let in_time = took <= request_class.class.latency_objective;
        let priority_weight = request_class.class.priority_weight
            * if in_time { 1.0 } else { request_class.class.late_weight_fraction };
        if !std::mem::replace(&mut c.served, true) {
            self.statistics.priority_weight.1 += priority_weight;
            if in_time {
                self.statistics.served[c.request_class] += 1;
                let second = self.statistics.second(c.arrived_at - START);
                self.statistics.seconds[second].1 += 1;
            }
        }
        // Recording cannot fail: the bounds of the histogram are wider than any deadline.
        let _ = self.statistics.latency.record(took.0.max(1));
        self.end_try(open.client, open.arrived_at, if in_time { End::InTime } else { End::Late }, Micros(0));
    }

    pub(super) fn take_request(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(&id)?;
        self.proxies[open.proxy].open.remove(&id);
        Some(open)
    }

    /// Returns the attempts of a request that may have executed or may still execute.
    pub(super) fn possibly_executed(&self, open: &OpenRequest) -> Vec<(DeduplicationGroupId, Time)> {
        let all = open.tries.iter().map(|t| &self.attempts[*t]);
        all.filter(|a| !a.not_executed).map(|a| (self.rows[a.backend].deduplication_group, a.sent)).collect()
    }

    pub(super) fn request_idempotency(&self, open: &OpenRequest) -> Idempotency {
        self.scenario.request_classes[self.clients[open.client].request_class].class.idempotency
    }

    pub(super) fn rejected(&mut self, id: RequestId, retry_after: Micros) {
        let Some(open) = self.take_request(id) else { return self.observer.violated(Violation::Answer(id)) };
        let (possibly_executed, request_idempotency) =
            (self.possibly_executed(&open), self.request_idempotency(&open));
        self.observer.rejected(id, request_idempotency, &possibly_executed);
        let end = match () {
            () if !open.tries.is_empty() => End::RejectedAfterAttempts,
            () if self.now - open.arrived_at > Micros(1_000) => End::RejectedAfterQueueing,
            () => End::RejectedAtOnce,
        };
        self.end_try(open.client, open.arrived_at, end, retry_after);
    }

    pub(super) fn expire(&mut self, id: RequestId) {
        let Some(open) = self.take_request(id) else { return };
        let proxy = open.proxy;
        let in_flight_attempts: Vec<usize> =
            open.tries.iter().copied().filter(|t| !self.attempts[*t].over).collect();
        if in_flight_attempts.is_empty() {
            self.pending.push_back((proxy, Event::ClientDisconnected { request: id }));
        }
        for attempt in in_flight_attempts {
            self.abandon(attempt);
            self.report_attempt_end(attempt, Outcome::TimedOut, true);
        }
        self.end_try(open.client, open.arrived_at, End::Failed, Micros(0));
    }
}
