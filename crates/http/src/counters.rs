//! What happened on clients' connections since the last periodic report.

use crate::close_reason::CloseCounts;
use std::cell::Cell;

/// A count of events since the last report.
#[derive(Debug, Default)]
pub(crate) struct Counter(Cell<u64>);

impl Counter {
    pub(crate) fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    fn take(&self) -> u64 {
        self.0.take()
    }
}

/// Events since the last report.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Connections accepted.
    pub(crate) accepted: Counter,
    /// Connections chosen for eviction.
    pub(crate) evicted: Counter,
    /// Requests rejected by a check of the front.
    pub(crate) rejected: Counter,
    /// Bodies that did not come in time, or made room for others.
    pub(crate) slow_bodies: Counter,
    /// Requests rejected as there was no room for their bodies.
    pub(crate) bodies_without_room: Counter,
    /// Connections that have ended, by reason.
    pub(crate) closed: CloseCounts,
}

impl Counters {
    /// The part of the periodic log line that is about clients; `clients` and `unproven` are connections now. Begins
    /// anew.
    pub(crate) fn take_report(&self, clients: usize, unproven: usize) -> String {
        format!(
            "clients {clients} unproven {unproven} accepted {} evicted {} rejected {} \
             slow bodies {} without room {} closed: {};",
            self.accepted.take(),
            self.evicted.take(),
            self.rejected.take(),
            self.slow_bodies.take(),
            self.bodies_without_room.take(),
            self.closed.take(),
        )
    }
}
