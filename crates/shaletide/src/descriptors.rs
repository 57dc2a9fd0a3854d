//! Divides the process's file descriptors into slots for clients, connections to backends, and a reserve.
//!
//! Idle clients may occupy all their slots at any time, even while discovery is down. Calls to discovery, connections to
//! backends and a reload of the configuration remain possible, as their descriptors are not available to clients.

use crate::setup::Setup;
use rustix::process::{getrlimit, Resource};
use shaletide_http::MAX_EXTRA_CLIENT_DESCRIPTORS;
use tracing::warn;

/// The descriptors that every process needs. Observed in use: 3 standard streams, 5 of the event loop and signals, 2 by which
/// threads report a reload, a listener, two calls to discovery; 4 for configuration files that are being read; 7 are spare.
const PROCESS_DESCRIPTORS: usize = 24;
/// The number of listeners, and of discoveries, that [`PROCESS_DESCRIPTORS`] includes: one of each.
const INCLUDED_IN_PROCESS: usize = 1;
/// The calls that may be open at each discovery: the subscription's, and a confirmation where lists are pushed.
const CALLS_PER_DISCOVERY: usize = 2;
/// The control socket, its lock, and 8 operators' connections, the limit of `shaletide-control`.
const CONTROL_DESCRIPTORS: usize = 10;
/// The store of record: 4 for its writer (database, write-ahead log, index, directory), and 3 for a reader in each of 8
/// operators' commands.
const STORE_DESCRIPTORS: usize = 4 + 8 * 3;
/// The least number of client slots and connections to backends together, even if the reserve leaves fewer: one of each.
const MIN_POOLED: usize = 2;

/// The division between clients and connections to backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// The descriptors that the process may hold.
    limit: usize,
    /// The slots for clients.
    pub clients: usize,
    /// The connections to backends, including those being established.
    pub upstreams: usize,
}

impl Descriptors {
    /// Divides `limit` descriptors: clients and backends get half each of those outside of the reserve.
    pub fn new(limit: usize, setup: &Setup) -> Descriptors {
        let pooled = limit.saturating_sub(reserve(setup)).max(MIN_POOLED);
        let upstreams = pooled / 2;
        Descriptors { limit, clients: pooled - upstreams, upstreams }
    }

    /// Divides the same limit for another configuration. Clients keep their slots; a larger reserve reduces the connections to
    /// backends.
    pub fn reconfigured(&self, setup: &Setup) -> Descriptors {
        let upstreams = self.limit.saturating_sub(reserve(setup) + self.clients).max(1);
        Descriptors { upstreams, ..*self }
    }
}

/// Returns how many descriptors the process may hold: the configured number, or the system's limit if that is lower.
pub fn limit(configured: usize) -> usize {
    let granted = getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok());
    match granted.filter(|granted| *granted < configured) {
        Some(granted) => {
            warn!("the configuration says {configured} descriptors, the system grants {granted}");
            granted
        }
        None => configured,
    }
}

/// Returns the reserve: descriptors that neither clients in their slots nor connections to backends may use.
fn reserve(setup: &Setup) -> usize {
    let operator = &setup.operator;
    let listeners = operator.listeners.len().saturating_sub(INCLUDED_IN_PROCESS);
    let discoveries = setup.discoveries().len().saturating_sub(INCLUDED_IN_PROCESS);
    let control = if operator.control.is_some() { CONTROL_DESCRIPTORS } else { 0 };
    let store = if setup.record.is_some() { STORE_DESCRIPTORS } else { 0 };
    MAX_EXTRA_CLIENT_DESCRIPTORS
        + PROCESS_DESCRIPTORS
        + listeners
        + discoveries * CALLS_PER_DISCOVERY
        + control
        + store
}

#[cfg(test)]
mod tests;
