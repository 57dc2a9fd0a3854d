//! The connections: which are idle, which may be used again, and how many there are.
//!
//! Owned by [`crate::Engine`], which decides when a connection is opened or closed.

use shaletide_types::*;
use std::collections::BTreeMap;

/// The shortest interval between two sweeps for connections past the idle timeout.
const MIN_IDLE_SWEEP_INTERVAL: Micros = Micros(1_000);
/// The interval between two sweeps for idle connections, as a fraction of the idle timeout.
const IDLE_SWEEP_FRACTION: f64 = 0.25;

/// Limits on the number and the reuse of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionLimits {
    /// The maximum number of connections to all backends together.
    pub max_connections: usize,
    /// A connection that has been idle for this long is not used again.
    pub idle_timeout: Micros,
    /// The time after a response during which a connection is not used again. Excess bytes that the backend sends after
    /// the response in a separate segment would otherwise be taken for the response to the next request.
    pub reuse_delay: Micros,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionState {
    /// The connection is being opened for this attempt; `None`: that attempt has ended.
    Connecting(Option<(RequestId, AttemptNumber)>),
    /// No attempt is on the connection.
    Idle {
        /// When the connection became idle.
        since: Time,
        /// Whether an attempt was on the connection before. An unused one may be used without the reuse delay.
        used: bool,
    },
    /// This attempt is on the connection.
    Busy(RequestId, AttemptNumber),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Connection {
    pub backend: BackendId,
    pub state: ConnectionState,
    /// Whether the connection leads to a previous address of its backend.
    pub address_outdated: bool,
}

/// All connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionPool {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The idle connections of each backend, the most recently used last.
    idle: BTreeMap<BackendId, Vec<ConnectionId>>,
    /// The time of the last response from each listed backend.
    last_response_at: BTreeMap<BackendId, Time>,
    next_id: u64,
    idle_sweep_at: Option<Time>,
}

impl ConnectionPool {
    pub fn new(limits: ConnectionLimits) -> ConnectionPool {
        ConnectionPool {
            limits,
            connections: BTreeMap::new(),
            idle: BTreeMap::new(),
            last_response_at: BTreeMap::new(),
            next_id: 0,
            idle_sweep_at: None,
        }
    }

    pub fn set_limits(&mut self, limits: ConnectionLimits) {
        self.limits = limits;
    }

    pub fn all(&self) -> &BTreeMap<ConnectionId, Connection> {
        &self.connections
    }

    pub fn get(&self, connection: ConnectionId) -> Option<&Connection> {
        self.connections.get(&connection)
    }

    /// Whether the maximum number of connections is reached.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.limits.max_connections
    }

    /// The attempt that is on a connection or waits for it.
    pub fn attempt_on(&self, connection: ConnectionId) -> Option<(RequestId, AttemptNumber)> {
        match self.get(connection)?.state {
            ConnectionState::Busy(request, attempt) => Some((request, attempt)),
            ConnectionState::Connecting(waiting) => waiting,
            ConnectionState::Idle { .. } => None,
        }
    }

    /// Adds a connection that is being opened for an attempt.
    pub fn open(&mut self, backend: BackendId, request: RequestId, attempt: AttemptNumber) -> ConnectionId {
        let connection = ConnectionId(self.next_id);
        self.next_id += 1;
        let state = ConnectionState::Connecting(Some((request, attempt)));
        self.connections.insert(connection, Connection { backend, state, address_outdated: false });
        connection
    }

    pub fn remove(&mut self, connection: ConnectionId) -> Option<Connection> {
        let removed = self.connections.remove(&connection)?;
        self.remove_from_idle(removed.backend, connection);
        Some(removed)
    }

    fn remove_from_idle(&mut self, backend: BackendId, connection: ConnectionId) {
        if let Some(idle) = self.idle.get_mut(&backend) {
            idle.retain(|other| *other != connection);
            if idle.is_empty() {
                self.idle.remove(&backend);
            }
        }
    }

    /// Detaches the attempt, which has ended, from the connection that is being opened for it.
    pub fn detach_attempt(&mut self, connection: ConnectionId) {
        if let Some(connecting) = self.connections.get_mut(&connection) {
            connecting.state = ConnectionState::Connecting(None);
        }
    }

    /// Marks a connection as idle. `used`: an attempt was on it.
    pub fn make_idle(&mut self, now: Time, connection: ConnectionId, used: bool) {
        if let Some(known) = self.connections.get_mut(&connection) {
            known.state = ConnectionState::Idle { since: now, used };
            self.idle.entry(known.backend).or_default().push(connection);
        }
        self.idle_sweep_at.get_or_insert(now + self.limits.idle_timeout);
    }

    /// Assigns a connection to an attempt.
    pub fn make_busy(&mut self, connection: ConnectionId, request: RequestId, attempt: AttemptNumber) {
        if let Some(known) = self.connections.get_mut(&connection) {
            known.state = ConnectionState::Busy(request, attempt);
            let backend = known.backend;
            self.remove_from_idle(backend, connection);
        }
    }

    /// Marks all present connections of a backend as leading to a previous address.
    pub fn mark_address_outdated(&mut self, backend: BackendId) {
        for connection in self.connections.values_mut() {
            if connection.backend == backend {
                connection.address_outdated = true;
            }
        }
    }

    /// The most recently used idle connection of a backend that is past the reuse delay and not past the idle timeout.
    pub fn usable(&self, now: Time, backend: BackendId) -> Option<ConnectionId> {
        let idle = self.idle.get(&backend)?;
        idle.iter().rev().find(|connection| self.is_usable(now, **connection)).copied()
    }

    fn is_usable(&self, now: Time, connection: ConnectionId) -> bool {
        let Some(ConnectionState::Idle { since, used }) = self.get(connection).map(|known| known.state)
        else {
            return false;
        };
        let idle_for = now - since;
        idle_for < self.limits.idle_timeout && (!used || idle_for >= self.limits.reuse_delay)
    }

    /// The connection to close at the connection limit: the one that has been idle for longest, of all backends. If none
    /// is idle, the oldest one that is being opened for an attempt that has ended.
    pub fn oldest_idle(&self) -> Option<ConnectionId> {
        let first_of_each = self.idle.values().filter_map(|idle| idle.first());
        let by_time =
            first_of_each.filter_map(|connection| Some((self.idle_since(*connection)?, *connection)));
        if let Some((_, connection)) = by_time.min() {
            return Some(connection);
        }
        let unclaimed = |known: &Connection| known.state == ConnectionState::Connecting(None);
        self.connections.iter().find(|(_, known)| unclaimed(known)).map(|(connection, _)| *connection)
    }

    /// The idle connections of a backend, the most recently used last.
    pub fn idle_of(&self, backend: BackendId) -> Vec<ConnectionId> {
        self.idle.get(&backend).cloned().unwrap_or_default()
    }

    /// The time at which [`Self::sweep_idle`] is due.
    pub fn idle_sweep_at(&self) -> Option<Time> {
        self.idle_sweep_at
    }

    /// If the sweep is due, removes the connections past the idle timeout and returns them.
    pub fn sweep_idle(&mut self, now: Time) -> Vec<ConnectionId> {
        if self.idle_sweep_at.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let mut expired = Vec::new();
        for connection in self.idle.values().flatten() {
            if self.idle_since(*connection).is_some_and(|since| now - since >= self.limits.idle_timeout) {
                expired.push(*connection);
            }
        }
        for connection in &expired {
            self.remove(*connection);
        }
        let interval = self.limits.idle_timeout.times(IDLE_SWEEP_FRACTION).max(MIN_IDLE_SWEEP_INTERVAL);
        self.idle_sweep_at = (!self.idle.is_empty()).then(|| now + interval);
        expired
    }

    fn idle_since(&self, connection: ConnectionId) -> Option<Time> {
        match self.get(connection)?.state {
            ConnectionState::Idle { since, .. } => Some(since),
            ConnectionState::Connecting(_) | ConnectionState::Busy(..) => None,
        }
    }

    /// Records the time of a response from a backend.
    pub fn record_response(&mut self, now: Time, backend: BackendId) {
        self.last_response_at.insert(backend, now);
    }

    /// Whether a backend has responded at `since` or later.
    pub fn has_responded_since(&self, backend: BackendId, since: Time) -> bool {
        self.last_response_at.get(&backend).is_some_and(|at| *at >= since)
    }

    /// The time of the last response from each listed backend.
    pub fn last_responses(&self) -> &BTreeMap<BackendId, Time> {
        &self.last_response_at
    }

    /// Removes the time of the last response from a backend that is no longer listed.
    pub fn remove_last_response(&mut self, backend: BackendId) {
        self.last_response_at.remove(&backend);
    }
}
