//! What goes wrong, and what ends it.

use super::world::*;
use super::Policy;
use crate::scenario::Fault;
use crate::statistics::End;
use shaletide_testkit::SeededRng;
use shaletide_types::*;

impl World<'_> {
    pub(super) fn begins(&mut self, fault: usize) {
        let (from, to, what) = &self.scenario.faults[fault];
        let mut rng = SeededRng::named(self.scenario.seed, &format!("trouble {fault}"));
        match what {
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
                hit.into_iter().for_each(|proxy| self.dies(proxy));
            }
            Fault::Replace(part) => {
                let hit: Vec<usize> = (0..self.backends.len()).filter(|_| rng.chance(*part)).collect();
                let each = to.0.saturating_sub(from.0) / hit.len().max(1) as u64;
                for (n, backend) in hit.into_iter().enumerate() {
                    self.at(self.now + Micros(each * n as u64), Ev::Drains { backend });
                }
            }
            Fault::Cut => self.faults.cut = Some(self.draw_zone(&mut rng)),
            Fault::ZoneDies => {
                let zone = self.draw_zone(&mut rng);
                let there =
                    |backend: &usize| self.rows[*backend].zone == zone && !self.backends[*backend].dead;
                let hit: Vec<usize> = (0..self.backends.len()).filter(there).collect();
                hit.iter().for_each(|backend| self.box_dies(*backend));
                self.faults.dead = hit;
            }
            Fault::ListsStop => self.faults.stopped = Some(self.now),
            Fault::ListsLate(secs) => self.faults.late = Micros::from_secs(*secs),
            Fault::Lost(part) => self.faults.lost = *part,
            Fault::Reset(part) => self.faults.reset = *part,
            Fault::Quiet(part) => {
                for dealt in &mut self.parts {
                    if rng.chance(*part) {
                        *dealt = 0.0;
                    }
                }
            }
        }
    }

    pub(super) fn ends(&mut self, fault: usize) {
        match &self.scenario.faults[fault].2 {
            Fault::Burst(_) => self.burst = 1.0,
            Fault::Slow(_) => (0..self.backends.len()).for_each(|s| self.backends[s].slow(self.now, 1.0)),
            Fault::Silent(_) => self.backends.iter_mut().for_each(|s| s.silent = false),
            Fault::Herd(_) | Fault::Replace(_) => {}
            Fault::Cut => self.cut_ends(),
            Fault::ZoneDies => {
                let back = std::mem::take(&mut self.faults.dead);
                back.into_iter().for_each(|backend| self.box_returns(backend));
            }
            Fault::ListsStop => self.faults.stopped = None,
            Fault::ListsLate(_) => self.faults.late = Micros(0),
            Fault::Lost(_) => self.faults.lost = 0.0,
            Fault::Reset(_) => self.faults.reset = 0.0,
            Fault::Quiet(_) => self.parts = self.deal(),
        }
    }

    fn draw_zone(&self, rng: &mut SeededRng) -> ZoneId {
        ZoneId((rng.uniform() * f64::from(self.scenario.zones)) as u32)
    }

    /// Whether a proxy and a backend do not hear each other. One that sees all is in none of the zones: it loses the
    /// backends of the one that is cut off.
    pub(super) fn cut_between(&self, proxy: usize, backend: usize) -> bool {
        self.faults.cut.is_some_and(|cut| {
            let there = self.policy != Policy::One && self.proxies[proxy].zone == cut;
            (self.rows[backend].zone == cut) != there
        })
    }

    /// What was held up is sent again.
    fn cut_ends(&mut self) {
        self.faults.cut = None;
        for attempt in std::mem::take(&mut self.faults.stalled) {
            let wait = Micros((self.faults.rng.uniform() * SENT_AGAIN) as u64);
            self.at(self.now + wait, Ev::AtBox { attempt });
        }
    }

    /// Every proxy that has a connection to it notices.
    fn box_dies(&mut self, backend: usize) {
        self.backends[backend].dies();
        self.proxies.iter_mut().for_each(|p| drop(p.idle.remove(&backend)));
        let mut hit: Vec<usize> = self.out.values().copied().collect();
        hit.retain(|a| self.attempts[*a].backend == backend && self.attempts[*a].connected.is_some());
        for attempt in hit {
            let way = self.way(attempt);
            self.at(self.now + way, Ev::Back { attempt, outcome: Outcome::Reset });
        }
        self.at(self.now + MISSED, Ev::Missed { backend });
    }

    fn box_returns(&mut self, backend: usize) {
        self.backends[backend].returns(self.now);
        (self.rows[backend].state, self.rows[backend].started_at) = (BackendState::Ready, Some(self.now));
        self.logs(backend, BackendState::Ready);
    }

    pub(super) fn dies(&mut self, proxy: usize) {
        if self.policy == Policy::One {
            return;
        }
        let p = &mut self.proxies[proxy];
        (p.pools, p.life) = (None, p.life + 1);
        let (least, most) = self.scenario.front_notices;
        let notices = least.0 as f64 + self.faults.rng.uniform() * most.0.saturating_sub(least.0) as f64;
        p.noticed = self.now + Micros(notices as u64);
        let open = std::mem::take(&mut p.open);
        let idle = std::mem::take(&mut p.idle);
        for (backend, all) in idle {
            self.backends[backend].connections -= all.len() as u32;
        }
        for id in open {
            let Some(open) = self.requests.remove(&id) else { continue };
            for attempt in open.tries {
                self.let_go(attempt);
            }
            self.closed(open.client, open.came, End::Died, Micros(0));
        }
        self.at(self.now + DOWN, Ev::Revives { proxy });
    }
}
