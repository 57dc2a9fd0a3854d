//! Computes when a proxy knew of a change of the endpoint list.

use super::{Evidence, ListWrite};
use crate::proxies::ProcessRecord;
use shaletide_types::{Micros, Time};

/// Time after a signal of a discovery move until a change counts as known.
const DISCOVERY_MOVE_GRACE: Micros = Micros(4_000_000);
/// For a proxy that polls discovery: the time after which a change counts as known once discovery has it and is reachable.
const LONGEST_POLL_DELAY: Micros = Micros(6_000_000);

impl Evidence {
    /// Returns when a process knew of a change of a backend that discovery received at `at`.
    pub(super) fn change_known_at(&self, process: &ProcessRecord, backend: usize, at: Time) -> Time {
        let mut known_at = at.max(process.started_at);
        if self.polls_discovery {
            let is_later_write = |write: &&ListWrite| {
                write.proxy == process.proxy && write.backend == backend && write.at >= known_at
            };
            // Bytes written into a cut link arrive once the link works again, or never.
            let arrived = self
                .list_writes
                .iter()
                .filter(is_later_write)
                .map(|write| self.discovery_reachable_at(process.proxy, write.at))
                .min();
            let latest = self.discovery_reachable_at(process.proxy, known_at) + LONGEST_POLL_DELAY;
            return arrived.map_or(latest, |arrived| arrived.min(latest));
        }
        known_at = self.discovery_reachable_at(process.proxy, known_at);
        let moves = &self.discovery_moves[process.proxy];
        let drain_grace = Micros(self.settings.drain_grace_us);
        let moves_around =
            moves.iter().filter(|at| **at + DISCOVERY_MOVE_GRACE > known_at && **at < known_at + drain_grace);
        moves_around.map(|at| *at + DISCOVERY_MOVE_GRACE).max().map_or(known_at, |moved| moved.max(known_at))
    }

    /// Returns the first time from `from` on at which the proxy could reach discovery.
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
