//! When a proxy was told of a change of the list.

use super::{Evidence, ListWrite};
use crate::proxies::Life;
use shaletide_types::{Micros, Time};

/// A change of the list's address counts as told so long after the signal.
const DISCOVERY_MOVE_GRACE: Micros = Micros(4_000_000);
/// Where discovery is asked a change counts as told so long after discovery had it and could be reached.
const LONGEST_POLL_DELAY: Micros = Micros(6_000_000);

impl Evidence {
    /// When a change of a backend at that time was told to a process.
    pub(super) fn change_known_at(&self, life: &Life, backend: usize, at: Time) -> Time {
        let mut told = at.max(life.started);
        if self.polls_discovery {
            let here = |t: &&ListWrite| t.proxy == life.proxy && t.backend == backend && t.at >= told;
            // What is written into a link that is cut arrives once it is whole again, or never.
            let arrived = self
                .list_writes
                .iter()
                .filter(here)
                .map(|t| self.discovery_reachable_at(life.proxy, t.at))
                .min();
            let latest = self.discovery_reachable_at(life.proxy, told) + LONGEST_POLL_DELAY;
            return arrived.map_or(latest, |arrived| arrived.min(latest));
        }
        told = self.discovery_reachable_at(life.proxy, told);
        let moves = &self.discovery_moves[life.proxy];
        let near = moves.iter().filter(|at| {
            **at + DISCOVERY_MOVE_GRACE > told && **at < told + Micros(self.settings.drain_grace_us)
        });
        near.map(|at| *at + DISCOVERY_MOVE_GRACE).max().map_or(told, |moved| moved.max(told))
    }

    /// When a proxy could reach discovery, from that time on.
    fn discovery_reachable_at(&self, proxy: usize, from: Time) -> Time {
        let mut at = from;
        // Outages may overlap.
        for _ in 0..self.discovery_outages[proxy].len() {
            for (from, until) in &self.discovery_outages[proxy] {
                if (*from..*until).contains(&at) {
                    at = *until;
                }
            }
        }
        at
    }
}
