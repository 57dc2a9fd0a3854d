//! Counts of events on client connections since the last periodic report.

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
    /// Requests rejected by a check before they reach the driver.
    pub(crate) rejected: Counter,
    /// Request bodies that arrived too slowly or were evicted to make room for others.
    pub(crate) slow_bodies: Counter,
    /// Requests rejected because there was no room for their bodies.
    pub(crate) bodies_without_room: Counter,
    /// Connections that ended, by reason.
    pub(crate) closed: CloseCounts,
}

impl Counters {
    /// Returns the part of the periodic log line that is about clients, and resets the counts. `clients` and `unproven`
    /// are the current numbers of connections.
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
