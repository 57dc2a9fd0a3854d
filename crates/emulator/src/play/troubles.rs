//! What goes wrong, and what ends it.

use super::world::*;
use super::Who;
use crate::account::End;
use crate::day::Trouble;
use shaletide_testkit::Dice;
use shaletide_types::*;

impl World<'_> {
    pub(super) fn begins(&mut self, trouble: usize) {
        let (from, to, what) = &self.day.troubles[trouble];
        let mut dice = Dice::of(self.day.seed, &format!("trouble {trouble}"));
        match what {
            Trouble::Burst(factor) => self.burst = *factor,
            Trouble::Slow(factor) => {
                (0..self.sites.len()).for_each(|s| self.sites[s].slow(self.now, *factor))
            }
            Trouble::Silent(part) => {
                for site in &mut self.sites {
                    site.silent = dice.chance(*part);
                }
            }
            Trouble::Herd(part) => {
                let hit: Vec<usize> = (0..self.proxies.len()).filter(|_| dice.chance(*part)).collect();
                hit.into_iter().for_each(|proxy| self.dies(proxy));
            }
            Trouble::Replace(part) => {
                let hit: Vec<usize> = (0..self.sites.len()).filter(|_| dice.chance(*part)).collect();
                let each = to.0.saturating_sub(from.0) / hit.len().max(1) as u64;
                for (n, site) in hit.into_iter().enumerate() {
                    self.at(self.now + Micros(each * n as u64), Ev::Drains { site });
                }
            }
            Trouble::Cut => self.faults.cut = Some(self.draw_zone(&mut dice)),
            Trouble::ZoneDies => {
                let zone = self.draw_zone(&mut dice);
                let there = |site: &usize| self.rows[*site].zone == zone && !self.sites[*site].dead;
                let hit: Vec<usize> = (0..self.sites.len()).filter(there).collect();
                hit.iter().for_each(|site| self.box_dies(*site));
                self.faults.dead = hit;
            }
            Trouble::ListsStop => self.faults.stopped = Some(self.now),
            Trouble::ListsLate(secs) => self.faults.late = Micros::from_secs(*secs),
            Trouble::Lost(part) => self.faults.lost = *part,
            Trouble::Reset(part) => self.faults.reset = *part,
            Trouble::Quiet(part) => {
                for dealt in &mut self.parts {
                    if dice.chance(*part) {
                        *dealt = 0.0;
                    }
                }
            }
        }
    }

    pub(super) fn ends(&mut self, trouble: usize) {
        match &self.day.troubles[trouble].2 {
            Trouble::Burst(_) => self.burst = 1.0,
            Trouble::Slow(_) => (0..self.sites.len()).for_each(|s| self.sites[s].slow(self.now, 1.0)),
            Trouble::Silent(_) => self.sites.iter_mut().for_each(|s| s.silent = false),
            Trouble::Herd(_) | Trouble::Replace(_) => {}
            Trouble::Cut => self.cut_ends(),
            Trouble::ZoneDies => {
                let back = std::mem::take(&mut self.faults.dead);
                back.into_iter().for_each(|site| self.box_returns(site));
            }
            Trouble::ListsStop => self.faults.stopped = None,
            Trouble::ListsLate(_) => self.faults.late = Micros(0),
            Trouble::Lost(_) => self.faults.lost = 0.0,
            Trouble::Reset(_) => self.faults.reset = 0.0,
            Trouble::Quiet(_) => self.parts = self.deal(),
        }
    }

    fn draw_zone(&self, dice: &mut Dice) -> ZoneId {
        ZoneId((dice.part() * f64::from(self.day.zones)) as u32)
    }

    /// Whether a proxy and a backend do not hear each other. One that sees all is in none of the zones: it loses the
    /// backends of the one that is cut off.
    pub(super) fn cut_between(&self, proxy: usize, site: usize) -> bool {
        self.faults.cut.is_some_and(|cut| {
            let there = self.who != Who::One && self.proxies[proxy].zone == cut;
            (self.rows[site].zone == cut) != there
        })
    }

    /// What was held up is sent again.
    fn cut_ends(&mut self) {
        self.faults.cut = None;
        for attempt in std::mem::take(&mut self.faults.stalled) {
            let wait = Micros((self.faults.dice.part() * SENT_AGAIN) as u64);
            self.at(self.now + wait, Ev::AtBox { attempt });
        }
    }

    /// Everybody who had a connection to it notices.
    fn box_dies(&mut self, site: usize) {
        self.sites[site].dies();
        self.proxies.iter_mut().for_each(|p| drop(p.idle.remove(&site)));
        let mut hit: Vec<usize> = self.out.values().copied().collect();
        hit.retain(|a| self.attempts[*a].site == site && self.attempts[*a].connected.is_some());
        for attempt in hit {
            let way = self.way(attempt);
            self.at(self.now + way, Ev::Back { attempt, outcome: Outcome::Reset });
        }
        self.at(self.now + MISSED, Ev::Missed { site });
    }

    fn box_returns(&mut self, site: usize) {
        self.sites[site].returns(self.now);
        (self.rows[site].state, self.rows[site].started_at) = (BackendState::Ready, Some(self.now));
        self.logs(site, BackendState::Ready);
    }

    pub(super) fn dies(&mut self, proxy: usize) {
        if self.who == Who::One {
            return;
        }
        let p = &mut self.proxies[proxy];
        (p.pools, p.life) = (None, p.life + 1);
        let (least, most) = self.day.front_notices;
        let notices = least.0 as f64 + self.faults.dice.part() * most.0.saturating_sub(least.0) as f64;
        p.noticed = self.now + Micros(notices as u64);
        let open = std::mem::take(&mut p.open);
        let idle = std::mem::take(&mut p.idle);
        for (site, all) in idle {
            self.sites[site].connections -= all.len() as u32;
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
