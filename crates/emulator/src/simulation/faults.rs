//! Beginnings and ends of faults.

use super::virtual_fleet::*;
use super::Policy;
use crate::scenario::Fault;
use crate::statistics::End;
use shaletide_testkit::SeededRng;
use shaletide_types::*;

impl Fleet<'_> {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        let (from, to, kind) = &self.scenario.faults[fault];
        let mut rng = SeededRng::named(self.scenario.seed, &format!("trouble {fault}"));
        match kind {
            Fault::Burst(factor) => self.burst = *factor,
            Fault::Slow(factor) => {
                (0..self.backends.len()).for_each(|s| self.backends[s].slow(self.now, *factor))
            }
            Fault::Silent(part) => {
                for backend in &mut self.backends {
                    backend.silent = rng.chance(*part);
                }
            }
            Fault::Herd(part) => {
                let hit: Vec<usize> = (0..self.proxies.len()).filter(|_| rng.chance(*part)).collect();
                hit.into_iter().for_each(|proxy| self.kill_proxy(proxy));
            }
            Fault::Replace(part) => {
                let hit: Vec<usize> = (0..self.backends.len()).filter(|_| rng.chance(*part)).collect();
                let each = to.0.saturating_sub(from.0) / hit.len().max(1) as u64;
                for (n, backend) in hit.into_iter().enumerate() {
                    self.schedule(self.now + Micros(each * n as u64), SimEvent::DrainBackend { backend });
                }
            }
            Fault::Cut => self.faults.cut = Some(self.draw_zone(&mut rng)),
            Fault::ZoneDies => {
                let zone = self.draw_zone(&mut rng);
                let in_zone =
                    |backend: &usize| self.rows[*backend].zone == zone && !self.backends[*backend].dead;
                let hit: Vec<usize> = (0..self.backends.len()).filter(in_zone).collect();
                hit.iter().for_each(|backend| self.kill_backend(*backend));
                self.faults.dead = hit;
            }
            Fault::ListsStop => self.faults.stopped = Some(self.now),
            Fault::ListsLate(secs) => self.faults.late = Micros::from_secs(*secs),
            Fault::Lost(part) => self.faults.lost = *part,
            Fault::Reset(part) => self.faults.reset = *part,
            Fault::Quiet(part) => {
                for share in &mut self.traffic_shares {
                    if rng.chance(*part) {
                        *share = 0.0;
                    }
                }
            }
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        match &self.scenario.faults[fault].2 {
            Fault::Burst(_) => self.burst = 1.0,
            Fault::Slow(_) => (0..self.backends.len()).for_each(|s| self.backends[s].slow(self.now, 1.0)),
            Fault::Silent(_) => self.backends.iter_mut().for_each(|s| s.silent = false),
            Fault::Herd(_) | Fault::Replace(_) => {}
            Fault::Cut => self.end_cut(),
            Fault::ZoneDies => {
                let returning = std::mem::take(&mut self.faults.dead);
                returning.into_iter().for_each(|backend| self.restore_backend(backend));
            }
            Fault::ListsStop => self.faults.stopped = None,
            Fault::ListsLate(_) => self.faults.late = Micros(0),
            Fault::Lost(_) => self.faults.lost = 0.0,
            Fault::Reset(_) => self.faults.reset = 0.0,
            Fault::Quiet(_) => self.traffic_shares = self.client_shares(),
        }
    }

    fn draw_zone(&self, rng: &mut SeededRng) -> ZoneId {
        ZoneId((rng.uniform() * f64::from(self.scenario.zones)) as u32)
    }

    /// Whether a cut separates a proxy and a backend. The module that sees all requests is in none of the zones: it loses
    /// the backends of the zone that is cut off.
    pub(super) fn cut_between(&self, proxy: usize, backend: usize) -> bool {
        self.faults.cut.is_some_and(|cut| {
            let in_zone = self.policy != Policy::Centralized && self.proxies[proxy].zone == cut;
            (self.rows[backend].zone == cut) != in_zone
        })
    }

    /// Ends the cut: attempts that it held up are sent again.
    fn end_cut(&mut self) {
        self.faults.cut = None;
        for attempt in std::mem::take(&mut self.faults.stalled) {
            let wait = Micros((self.faults.rng.uniform() * MAX_RESEND_DELAY_US) as u64);
            self.schedule(self.now + wait, SimEvent::ReachedBackend { attempt });
        }
    }

    /// Kills a backend; every proxy that has a connection to it notices.
    fn kill_backend(&mut self, backend: usize) {
        self.backends[backend].kill();
        self.proxies.iter_mut().for_each(|p| drop(p.idle.remove(&backend)));
        let mut hit: Vec<usize> = self.in_flight_attempts.values().copied().collect();
        hit.retain(|a| self.attempts[*a].backend == backend && self.attempts[*a].connected.is_some());
        for attempt in hit {
            let delay = self.delay(attempt);
            self.schedule(self.now + delay, SimEvent::OutcomeArrival { attempt, outcome: Outcome::Reset });
        }
        self.schedule(self.now + DEATH_NOTICE_DELAY, SimEvent::MarkGone { backend });
    }

    fn restore_backend(&mut self, backend: usize) {
        self.backends[backend].restart(self.now);
        (self.rows[backend].state, self.rows[backend].started_at) = (BackendState::Ready, Some(self.now));
        self.log_state(backend, BackendState::Ready);
    }

    pub(super) fn kill_proxy(&mut self, proxy: usize) {
        if self.policy == Policy::Centralized {
            return;
        }
        let p = &mut self.proxies[proxy];
        (p.pools, p.epoch) = (None, p.epoch + 1);
        let (min_delay, max_delay) = self.scenario.front_notice_delay;
        let notice_delay =
            min_delay.0 as f64 + self.faults.rng.uniform() * max_delay.0.saturating_sub(min_delay.0) as f64;
        p.death_noticed_at = self.now + Micros(notice_delay as u64);
        let open = std::mem::take(&mut p.open);
        let idle = std::mem::take(&mut p.idle);
        for (backend, all) in idle {
            self.backends[backend].connections -= all.len() as u32;
        }
        for id in open {
            let Some(open) = self.requests.remove(&id) else { continue };
            for attempt in open.tries {
                self.abandon(attempt);
            }
            self.end_try(open.client, open.arrived_at, End::ProxyDied, Micros(0));
        }
        self.schedule(self.now + PROXY_RESTART_DELAY, SimEvent::StartProxy { proxy });
    }
}
