//! How the process's file descriptors are divided: slots of clients, connections to backends, and a reserve that neither
//! can take.
//!
//! Idle clients may fill every slot that they have, at any time and while discovery is down too. Discovery can be called,
//! a backend be connected to and a new configuration be read all the same: those descriptors are not the clients'.

use crate::setup::Setup;
use rustix::process::{getrlimit, Resource};
use shaletide_http::CLIENT_OVERFLOW;
use tracing::warn;

/// What every process holds. Seen in use: 3 standard streams, 5 of the event loop and of signals, 2 by which threads report a
/// reload, a listener, a call to discovery; 4 for configuration files that are being read; 8 are spare.
const PROCESS: usize = 24;
/// Listeners and calls to discovery that [`PROCESS`] has room for, one of each.
const COUNTED_IN_PROCESS: usize = 1;
/// The control socket, its lock, and 8 operators' connections, which is the bound of `shaletide-control`.
const CONTROL: usize = 10;
/// The store of record's writer: the database, its log, its index, the folder; and 3 for a reader in each of 8 operators'
/// commands.
const STORE: usize = 4 + 8 * 3;
/// Slots of clients and connections to backends, where the reserve leaves less: one of each.
const MIN_POOLED: usize = 2;

/// The parts of clients and of connections to backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// What the process may hold.
    limit: usize,
    /// Slots of clients.
    pub clients: usize,
    /// Connections to backends, those included that are coming up.
    pub upstreams: usize,
}

impl Descriptors {
    /// Divides so many: what the reserve leaves goes to clients and backends in halves.
    pub fn new(limit: usize, setup: &Setup) -> Descriptors {
        let pooled = limit.saturating_sub(reserve(setup)).max(MIN_POOLED);
        let upstreams = pooled / 2;
        Descriptors { limit, clients: pooled - upstreams, upstreams }
    }

    /// The same limit under another configuration. Clients keep their slots; a larger reserve is taken from the
    /// connections to backends.
    pub fn reconfigured(&self, setup: &Setup) -> Descriptors {
        let upstreams = self.limit.saturating_sub(reserve(setup) + self.clients).max(1);
        Descriptors { upstreams, ..*self }
    }
}

/// What the process may hold: what the configuration says, or what the system grants where that is less.
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

/// What neither clients in their slots nor connections to backends may take.
fn reserve(setup: &Setup) -> usize {
    let operator = &setup.operator;
    let listeners = operator.listeners.len().saturating_sub(COUNTED_IN_PROCESS);
    let discoveries = setup.discoveries().len().saturating_sub(COUNTED_IN_PROCESS);
    let control = if operator.control.is_some() { CONTROL } else { 0 };
    let store = if setup.record.is_some() { STORE } else { 0 };
    CLIENT_OVERFLOW + PROCESS + listeners + discoveries + control + store
}

#[cfg(test)]
mod tests;
