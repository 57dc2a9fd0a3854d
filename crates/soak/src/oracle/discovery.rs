//! When a proxy was told of a change of the list.

use super::{Evidence, Telling};
use crate::proxies::Life;
use shaletide_types::{Micros, Time};

/// A change of the list's address counts as told so long after the signal.
const MOVED: Micros = Micros(4_000_000);
/// Where discovery is asked a change counts as told so long after discovery had it and could be reached.
const TOLD_AT_LATEST: Micros = Micros(6_000_000);

impl Evidence {
    /// When a change of a backend at that time was told to a process.
    pub(super) fn told(&self, life: &Life, backend: usize, at: Time) -> Time {
        let mut told = at.max(life.started);
        if self.asks_discovery {
            let here = |t: &&Telling| t.proxy == life.proxy && t.backend == backend && t.at >= told;
            // What is written into a link that is cut arrives once it is whole again, or never.
            let arrived = self.tellings.iter().filter(here).map(|t| self.reached(life.proxy, t.at)).min();
            let latest = self.reached(life.proxy, told) + TOLD_AT_LATEST;
            return arrived.map_or(latest, |arrived| arrived.min(latest));
        }
        told = self.reached(life.proxy, told);
        let moves = &self.moves[life.proxy];
        let near = moves
            .iter()
            .filter(|at| **at + MOVED > told && **at < told + Micros(self.settings.drain_grace_us));
        near.map(|at| *at + MOVED).max().map_or(told, |moved| moved.max(told))
    }

    /// When a proxy could reach discovery, from that time on.
    fn reached(&self, proxy: usize, from: Time) -> Time {
        let mut at = from;
        // Outages may overlap.
        for _ in 0..self.unreachable[proxy].len() {
            for (from, until) in &self.unreachable[proxy] {
                if (*from..*until).contains(&at) {
                    at = *until;
                }
            }
        }
        at
    }
}
