//! When a proxy knew of a change of the list.

use super::{Evidence, ListWrite};
use crate::proxies::ProcessRecord;
use shaletide_types::{Micros, Time};

/// After a signal that discovery has moved, a change counts as known so much later.
const DISCOVERY_MOVE_GRACE: Micros = Micros(4_000_000);
/// Where a proxy polls discovery, a change counts as known so long after discovery had it and could be reached.
const LONGEST_POLL_DELAY: Micros = Micros(6_000_000);

impl Evidence {
    /// When a change of a backend at that time was told to a process.
    pub(super) fn change_known_at(&self, process: &ProcessRecord, backend: usize, at: Time) -> Time {
        let mut known_at = at.max(process.started_at);
        if self.polls_discovery {
            let here = |t: &&ListWrite| t.proxy == process.proxy && t.backend == backend && t.at >= known_at;
            // What is written into a link that is cut arrives once it is whole again, or never.
            let arrived = self
                .list_writes
                .iter()
                .filter(here)
                .map(|t| self.discovery_reachable_at(process.proxy, t.at))
                .min();
            let latest = self.discovery_reachable_at(process.proxy, known_at) + LONGEST_POLL_DELAY;
            return arrived.map_or(latest, |arrived| arrived.min(latest));
        }
        known_at = self.discovery_reachable_at(process.proxy, known_at);
        let moves = &self.discovery_moves[process.proxy];
        let drain_grace = Micros(self.settings.drain_grace_us);
        let near =
            moves.iter().filter(|at| **at + DISCOVERY_MOVE_GRACE > known_at && **at < known_at + drain_grace);
        near.map(|at| *at + DISCOVERY_MOVE_GRACE).max().map_or(known_at, |moved| moved.max(known_at))
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
