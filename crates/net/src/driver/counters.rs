//! The counters of the periodic report, and the report itself.

use super::Driver;
use std::fmt;
use tracing::{info, warn};

/// Numbers of events since the last report.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Requests that were given a number. Requests whose client had already closed its connection are not included.
    pub requests: u64,
    /// This counter and the next three count requests by their final responses. Requests that the record refuses are in
    /// none of the four.
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub timed_out: u64,
    /// Requests whose client closed its connection before the final response, including those that were given no number
    /// because of that.
    pub client_disconnected: u64,
    /// Attempts dispatched on an established connection, including those of which no byte was written.
    pub dispatched: u64,
    /// Attempts that ended with an invalid response.
    pub invalid_responses: u64,
    /// Attempts that ended because the connection was closed.
    pub connections_closed: u64,
    /// Connections that were found unusable before the first byte of an attempt.
    pub connections_unusable: u64,
    /// Connections that could not be established.
    pub connects_failed: u64,
    /// Repeats of keyed requests that were not sent, as the process at the address may be a new one.
    pub repeats_declined: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests {} served {} rejected {} failed {} timed out {} client disconnected {}; \
             attempts {} invalid responses {} connections closed {} unusable {} connects failed {} repeats declined {}",
            self.requests,
            self.served,
            self.rejected,
            self.failed,
            self.timed_out,
            self.client_disconnected,
            self.dispatched,
            self.invalid_responses,
            self.connections_closed,
            self.connections_unusable,
            self.connects_failed,
            self.repeats_declined,
        )
    }
}

impl Driver {
    /// Logs one line with the counters since the last call, including `clients`, the counters of the front. If addresses
    /// are in several lists, logs a second line with their number.
    pub fn report(&self, clients: &str) {
        let mut state = self.state.borrow_mut();
        let counters = std::mem::take(&mut state.counters);
        let connects = std::mem::take(&mut state.connections.connects_begun);
        let given_up = state.engine.policy_mut().take_give_up_counts();
        info!(
            "{counters}; given up: {given_up}; open requests {} {clients} backend connections {} connects {connects} \
             timer lateness {} us; \
             failed system calls: {}",
            state.open_requests.len(),
            state.engine.connection_count(),
            self.timer.lateness().0,
            self.system_errors,
        );
        let conflicts = state.directory.conflicts();
        drop(state);
        if let Some(first) = conflicts.first() {
            let first = self.describe_conflict(first);
            warn!("{} addresses are brought by several lists, among them: {first}", conflicts.len());
        }
    }
}
