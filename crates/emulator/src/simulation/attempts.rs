//! Attempts: from the proxy to the backend and back.

use super::virtual_fleet::*;
use super::Policy;
use crate::backend::OBSERVATION_PERIOD;
use crate::invariants::Violation;
use shaletide_balancer::AttemptEnd;
use shaletide_routing::pools::Event;
use shaletide_testkit::{Admission, Demand, ServiceEvent};
use shaletide_types::*;

impl Fleet<'_> {
    pub(super) fn dispatch(
        &mut self, proxy: usize, id: RequestId, attempt_no: AttemptNumber, backend: usize,
    ) {
        let Some(open) = self.requests.get(&id) else { return self.observer.violated(Violation::Answer(id)) };
        let request_class = &self.scenario.request_classes[self.clients[open.client].request_class];
        let possibly_executed = self.possibly_executed(open);
        let group = self.rows[backend].deduplication_group;
        self.observer.sent(self.now, id, request_class.class.idempotency, &possibly_executed, group);
        if let Some(late) = self.proxies[proxy]
            .unavailable_since
            .get(&backend)
            .map(|at| self.now - *at)
            .filter(|l| *l > DRAIN_GRACE)
        {
            self.observer.violated(Violation::Drain(BackendId(backend as u32), late));
        }
        self.statistics.attempts += 1;
        self.statistics.by_backend[backend] += 1;
        let crosses = self.rows[backend].zone != self.proxies[proxy].zone;
        self.statistics.cross_zone_attempts += u64::from(crosses);
        let attempt = self.attempts.len();
        let work_ms = request_class.work_ms.sample(&mut self.rng);
        let (epoch, sent) = (self.proxies[proxy].epoch, self.now);
        let (wait, fresh) = self.connect(proxy, backend);
        let connected = fresh.is_some().then_some(self.backends[backend].epoch);
        let work_ms = work_ms + fresh.unwrap_or(0.0);
        let (reached_backend, over, not_executed) = (false, false, false);
        let a = Attempt {
            id,
            attempt_no,
            proxy,
            epoch,
            backend,
            connected,
            sent,
            reached_backend,
            over,
            not_executed,
            work_ms,
        };
        self.attempts.push(a);
        self.in_flight_attempts.insert((id, attempt_no), attempt);
        if let Some(open) = self.requests.get_mut(&id) {
            open.tries.push(attempt);
        }
        if connected.is_none() {
            return self.schedule(
                self.now + wait,
                SimEvent::OutcomeArrival { attempt, outcome: Outcome::ConnectFailed },
            );
        }
        self.schedule(self.now + wait, SimEvent::ReachedBackend { attempt });
        if self.faults.reset > 0.0 && self.faults.rng.chance(self.faults.reset) {
            let breaks = Micros(wait.0 + (self.faults.rng.uniform() * MAX_RESET_DELAY_US) as u64);
            self.schedule(self.now + breaks, SimEvent::OutcomeArrival { attempt, outcome: Outcome::Reset });
        }
    }

    /// Returns the time until a request sent now reaches the backend or fails to connect, and the cost of its connection
    /// in ms of work: 0 for an idle connection, none if no connection is established.
    fn connect(&mut self, proxy: usize, backend: usize) -> (Micros, Option<f64>) {
        let delay = self.delay_between(proxy, backend);
        self.close_idle(proxy, backend);
        if self.proxies[proxy].idle.get_mut(&backend).and_then(Vec::pop).is_some() {
            return (delay, Some(0.0));
        }
        if self.cut_between(proxy, backend) {
            return (CONNECT_TIMEOUT, None);
        }
        let common = &self.scenario.common;
        let s = &mut self.backends[backend];
        let wait = Micros(delay.0 + common.handshake.0 .0);
        if s.dead || s.connections >= common.connections || self.rows[backend].state == BackendState::Gone {
            return (wait, None);
        }
        s.connections += 1;
        self.statistics.handshakes += 1;
        (wait, Some(common.handshake.1))
    }

    /// Closes connections that were idle for too long.
    pub(super) fn close_idle(&mut self, proxy: usize, backend: usize) {
        let oldest = self.now.0.saturating_sub(self.scenario.common.idle.times(IDLE_FRACTION).0);
        if let Some(all) = self.proxies[proxy].idle.get_mut(&backend) {
            let before = all.len();
            all.retain(|since| since.0 >= oldest);
            self.backends[backend].connections -= (before - all.len()) as u32;
        }
    }

    pub(super) fn reached_backend(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if a.over {
            return;
        }
        let (proxy, backend, work_ms) = (a.proxy, a.backend, a.work_ms);
        if self.cut_between(proxy, backend) {
            return self.faults.stalled.push(attempt);
        }
        let connection_alive = self.attempts[attempt].connected == Some(self.backends[backend].epoch);
        self.attempts[attempt].reached_backend = connection_alive;
        let id = BackendId(backend as u32);
        if !connection_alive || self.rows[backend].state == BackendState::Gone {
            return self.schedule(self.now, SimEvent::OutcomeArrival { attempt, outcome: Outcome::Reset });
        }
        let s = &self.backends[backend];
        let window = Micros(1_000_000);
        if s.power.speed_fraction(s.booted, self.now) < 1.0 {
            let window_capacity = 3.0 * s.power.available_cores(s.booted, self.now) * window.secs();
            let work = (work_ms / 1e3, self.scenario.work_ms() / 1e3);
            self.observer.work_arrived(self.now, id, work, window_capacity, window);
        }
        if s.silent {
            return;
        }
        let request_class = &self.scenario.request_classes[self.request_class_of(attempt)];
        let io = Micros::from_secs(request_class.io_ms.sample(&mut self.rng) / 1e3);
        self.wake(backend);
        let s = &mut self.backends[backend];
        match s.arrive(self.now, attempt as u64, Demand { work_ms, io }) {
            Admission::Full => {
                let delay = self.delay(attempt);
                self.schedule(
                    self.now + delay,
                    SimEvent::OutcomeArrival { attempt, outcome: Outcome::Rejected },
                );
            }
            Admission::Began | Admission::Queued => self.set_wake(backend),
        }
    }

    pub(super) fn request_class_of(&self, attempt: usize) -> usize {
        let open = self.requests.get(&self.attempts[attempt].id);
        open.map_or(0, |o| self.clients[o.client].request_class)
    }

    pub(super) fn delay(&self, attempt: usize) -> Micros {
        let a = &self.attempts[attempt];
        self.delay_between(a.proxy, a.backend)
    }

    fn delay_between(&self, proxy: usize, backend: usize) -> Micros {
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
            self.schedule(at, SimEvent::Wake { backend });
        }
    }

    pub(super) fn wake(&mut self, backend: usize) {
        let steps = self.backends[backend].advance(self.now);
        for step in steps {
            let ServiceEvent::Served(done) = step else { continue };
            let attempt = done.id as usize;
            let took = self.now - self.attempts[attempt].sent;
            self.backends[backend].record_served(took);
            let delay = self.delay(attempt);
            self.schedule(self.now + delay, SimEvent::OutcomeArrival { attempt, outcome: Outcome::Ok });
        }
    }

    pub(super) fn observe(&mut self) {
        for backend in 0..self.backends.len() {
            self.wake(backend);
            self.backends[backend].observe(self.now);
            self.set_wake(backend);
        }
        if self.now.0 % 1_000_000 < OBSERVATION_PERIOD.0 {
            let slow = self.backends.iter().filter(|s| s.overloaded()).count() as u32;
            let held = self.backends.iter().map(|s| s.held()).sum::<f64>() / self.backends.len() as f64;
            self.statistics.backends.push((slow, held));
            for proxy in 0..self.proxies.len() {
                let backends: Vec<usize> = self.proxies[proxy].idle.keys().copied().collect();
                backends.into_iter().for_each(|backend| self.close_idle(proxy, backend));
            }
        }
        if self.now < self.end + Micros(4_000_000) {
            self.schedule(self.now + OBSERVATION_PERIOD, SimEvent::Observe);
        }
    }

    /// Ends an attempt without an outcome and closes its connection.
    pub(super) fn abandon(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let (proxy, backend, reached_backend) = (a.proxy, a.backend, a.reached_backend);
        self.in_flight_attempts.remove(&(a.id, a.attempt_no));
        self.close_connection(attempt);
        // A backend beyond a cut does not learn of the cancellation and serves the request to the end.
        if reached_backend && !self.cut_between(proxy, backend) {
            self.wake(backend);
            self.backends[backend].station.cancel(self.now, attempt as u64);
            self.set_wake(backend);
        }
    }

    /// Closes the connection of an attempt if it still exists.
    fn close_connection(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let backend = &mut self.backends[a.backend];
        if a.connected == Some(backend.epoch) {
            backend.connections = backend.connections.saturating_sub(1);
        }
    }

    /// Returns whether an outcome is lost between the backend and the proxy.
    fn is_lost(&mut self, proxy: usize, backend: usize, outcome: Outcome) -> bool {
        let lost = self.faults.lost;
        self.cut_between(proxy, backend)
            || lost > 0.0 && outcome != Outcome::Reset && self.faults.rng.chance(lost)
    }

    pub(super) fn outcome_arrived(&mut self, attempt: usize, outcome: Outcome) {
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
        let (proxy, backend, id, epoch) = (a.proxy, a.backend, a.id, a.epoch);
        a.over = true;
        self.in_flight_attempts.remove(&(id, a.attempt_no));
        if outcome != Outcome::ConnectFailed {
            let connection_alive = self.attempts[attempt].connected == Some(self.backends[backend].epoch);
            if outcome == Outcome::Reset || self.proxies[proxy].epoch != epoch {
                self.close_connection(attempt);
            } else if connection_alive {
                self.proxies[proxy].idle.entry(backend).or_default().push(self.now);
            }
        }
        if self.proxies[proxy].epoch != epoch {
            return;
        }
        let report =
            if self.policy == Policy::Program { self.backends[backend].report(self.now) } else { None };
        if let Some(report) = report.filter(|_| matches!(outcome, Outcome::Ok | Outcome::Rejected)) {
            self.pending.push_back((
                proxy,
                Event::LoadReported { pool: POOL, backend: BackendId(backend as u32), report },
            ));
        }
        let over = outcome == Outcome::Ok || !self.requests.contains_key(&id);
        self.report_attempt_end(attempt, outcome, over);
        match (self.policy, outcome) {
            (_, Outcome::Ok) => self.served(id),
            (Policy::Random, Outcome::Rejected | Outcome::ConnectFailed) => self.rejected(id, Micros(0)),
            _ => {}
        }
    }

    pub(super) fn report_attempt_end(&mut self, attempt: usize, outcome: Outcome, settled: bool) {
        let a = &self.attempts[attempt];
        if self.policy == Policy::Random {
            return;
        }
        let end = AttemptEnd {
            request: a.id,
            attempt: a.attempt_no,
            outcome,
            latency: self.now - a.sent,
            request_answered: settled,
        };
        self.pending.push_back((a.proxy, Event::AttemptEnded(end)));
    }
}
