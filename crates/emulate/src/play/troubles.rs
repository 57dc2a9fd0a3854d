//! What goes wrong, and what ends it.

use super::world::*;
use super::Who;
use crate::account::End;
use crate::day::Trouble;
use shaletide_base::*;
use shaletide_testkit::Dice;

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
        }
    }

    pub(super) fn ends(&mut self, trouble: usize) {
        match &self.day.troubles[trouble].2 {
            Trouble::Burst(_) => self.burst = 1.0,
            Trouble::Slow(_) => (0..self.sites.len()).for_each(|s| self.sites[s].slow(self.now, 1.0)),
            Trouble::Silent(_) => self.sites.iter_mut().for_each(|s| s.silent = false),
            Trouble::Herd(_) | Trouble::Replace(_) => {}
        }
    }

    pub(super) fn dies(&mut self, proxy: usize) {
        if self.who == Who::One {
            return;
        }
        let p = &mut self.proxies[proxy];
        (p.pools, p.life) = (None, p.life + 1);
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
