//! What happened since the last periodic report, and that report.

use super::Driver;
use std::fmt;
use tracing::{info, warn};

/// Events since the last report.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Requests numbered. Not among them: those whose client had already closed.
    pub requests: u64,
    /// Requests by their final responses. Those that the record refuses are in none of the four.
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub timed_out: u64,
    /// Requests whose client closed its connection before the final response, also those that were not numbered for it.
    pub client_disconnected: u64,
    /// Attempts given to an established connection, also those of which no byte was written then.
    pub dispatched: u64,
    /// Attempts ended by an invalid response.
    pub invalid_responses: u64,
    /// Attempts ended by the end of the connection.
    pub connections_closed: u64,
    /// Connections found unusable before the first byte of an attempt.
    pub connections_unusable: u64,
    /// Connections that could not be established.
    pub connects_failed: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests {} served {} rejected {} failed {} timed out {} client disconnected {}; \
             attempts {} invalid responses {} connections closed {} unusable {} connects failed {}",
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
        )
    }
}

impl Driver {
    /// Logs one line of what happened since the last call, with `clients`, the front's own counters, in it; and one of
    /// addresses that several lists claim, if there are any.
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
