//! Computes when a proxy knew of a change of the endpoint list.

use super::{Evidence, ListWrite};
use crate::proxies::ProcessRecord;
use shaletide_testkit::SilentCall;
use shaletide_types::{Micros, Time};

/// Time after a signal of a discovery move until the lists of the new discovery count as known.
const DISCOVERY_MOVE_GRACE: Micros = Micros(4_000_000);
/// For a proxy that polls discovery: the time after which a change counts as known once discovery has it and is reachable.
const LONGEST_POLL_DELAY: Micros = Micros(6_000_000);
/// For a long poll that has fallen silent: the time after the end of its wait until the missed changes count as known.
const SILENT_POLL_DELAY: Micros = Micros(2_000_000);

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
            let latest = self.silent_poll_known_at(process, at).map_or(latest, |missed| missed.max(latest));
            return arrived.map_or(latest, |arrived| arrived.min(latest));
        }
        known_at = self.discovery_reachable_at(process.proxy, known_at);
        // A move only postpones what the new discovery has: a change that the agent had before the signal is known, whatever
        // becomes of the call that was open. A process that starts after the signal knows the new agent's list at once.
        let postponing_moves = self.discovery_moves[process.proxy]
            .iter()
            .filter(|at| (process.started_at..=known_at).contains(*at))
            .map(|at| *at + DISCOVERY_MOVE_GRACE);
        postponing_moves.fold(known_at, Time::max)
    }

    /// Returns when a change of that time counts as known to a process whose long poll has fallen silent and missed it. A call
    /// that a move has given up is no longer waited for.
    fn silent_poll_known_at(&self, process: &ProcessRecord, change: Time) -> Option<Time> {
        let missed = |call: &&SilentCall| {
            let is_given_up = self.discovery_moves[process.proxy]
                .iter()
                .any(|at| *at >= call.at && *at <= call.wait_ends_at);
            let is_open = call.at >= process.started_at && change >= call.at && change <= call.wait_ends_at;
            call.watcher == process.proxy && is_open && !is_given_up
        };
        self.silent_calls.iter().filter(missed).map(|call| call.wait_ends_at + SILENT_POLL_DELAY).max()
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
