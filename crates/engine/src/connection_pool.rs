//! The connections: which is idle, which may be used again, and how many there are.

use shaletide_types::*;
use std::collections::BTreeMap;

/// How connections are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionLimits {
    /// At most so many, all backends together.
    pub max_connections: usize,
    /// One that was idle for so long is not used again.
    pub idle_timeout: Micros,
    /// One is not used again so soon after an answer: what a backend sends behind one in a segment of its own
    /// would pass for the answer to the next request.
    pub reuse_delay: Micros,
}

/// How far a connection has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionState {
    /// It comes up, for an attempt or for nobody any more.
    Connecting(Option<(RequestId, AttemptNumber)>),
    /// Nothing is on it, since then; one that was never used is quiet at once.
    Idle(Time, bool),
    /// An attempt is on it.
    Busy(RequestId, AttemptNumber),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Connection {
    pub backend: BackendId,
    pub state: ConnectionState,
    /// It leads to where its backend listened before.
    pub address_outdated: bool,
}

/// All of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionPool {
    pub all: BTreeMap<ConnectionId, Connection>,
    /// The idle ones of each backend, the most recently used last.
    pub idle: BTreeMap<BackendId, Vec<ConnectionId>>,
    /// When something was last heard of each backend that has or had one.
    pub last_response_at: BTreeMap<BackendId, Time>,
    pub next_id: u64,
}

impl ConnectionPool {
    /// A new one, coming up for that attempt.
    pub fn open(&mut self, backend: BackendId, request: RequestId, attempt: AttemptNumber) -> ConnectionId {
        let connection = ConnectionId(self.next_id);
        self.next_id += 1;
        self.all.insert(
            connection,
            Connection {
                backend,
                state: ConnectionState::Connecting(Some((request, attempt))),
                address_outdated: false,
            },
        );
        connection
    }

    /// Takes one out of those that there are.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<Connection> {
        let removed = self.all.remove(&connection)?;
        self.remove_from_idle(removed.backend, connection);
        Some(removed)
    }

    fn remove_from_idle(&mut self, backend: BackendId, connection: ConnectionId) {
        if let Some(idle) = self.idle.get_mut(&backend) {
            idle.retain(|c| *c != connection);
            if idle.is_empty() {
                self.idle.remove(&backend);
            }
        }
    }

    /// Nothing is on it from now on.
    pub fn make_idle(&mut self, now: Time, connection: ConnectionId, used: bool) {
        if let Some(c) = self.all.get_mut(&connection) {
            c.state = ConnectionState::Idle(now, used);
            self.idle.entry(c.backend).or_default().push(connection);
        }
    }

    /// The attempt is on it from now on.
    pub fn make_busy(&mut self, connection: ConnectionId, request: RequestId, attempt: AttemptNumber) {
        if let Some(c) = self.all.get_mut(&connection) {
            c.state = ConnectionState::Busy(request, attempt);
            let backend = c.backend;
            self.remove_from_idle(backend, connection);
        }
    }

    /// The most recently used idle one of a backend that is quiet and not too old.
    pub fn usable(&self, now: Time, backend: BackendId, limits: &ConnectionLimits) -> Option<ConnectionId> {
        let idle = self.idle.get(&backend)?;
        let usable = |connection: &&ConnectionId| match self.all.get(connection).map(|c| c.state) {
            Some(ConnectionState::Idle(since, used)) => {
                now - since < limits.idle_timeout && (!used || now - since >= limits.reuse_delay)
            }
            _ => false,
        };
        idle.iter().rev().find(usable).copied()
    }

    /// The one that makes way where there is no room for another: that which was idle longest, of all backends, and
    /// where none is idle that which has been coming up longest for nobody any more.
    pub fn oldest_idle(&self) -> Option<ConnectionId> {
        let first = self.idle.values().filter_map(|idle| idle.first());
        let idle = first
            .filter_map(|connection| Some((self.idle_since(*connection)?, *connection)))
            .min()
            .map(|(_, connection)| connection);
        let unclaimed =
            |c: &&ConnectionId| self.all.get(c).is_some_and(|c| c.state == ConnectionState::Connecting(None));
        idle.or_else(|| self.all.keys().find(unclaimed).copied())
    }

    /// The idle ones of a backend.
    pub fn idle_of(&self, backend: BackendId) -> Vec<ConnectionId> {
        self.idle.get(&backend).cloned().unwrap_or_default()
    }

    /// Those idle for too long.
    pub fn idle_too_long(&self, now: Time, limits: &ConnectionLimits) -> Vec<ConnectionId> {
        let idle = self.idle.values().flatten().copied();
        idle.filter(|connection| {
            self.idle_since(*connection).is_some_and(|since| now - since >= limits.idle_timeout)
        })
        .collect()
    }

    fn idle_since(&self, connection: ConnectionId) -> Option<Time> {
        match self.all.get(&connection)?.state {
            ConnectionState::Idle(since, _) => Some(since),
            _ => None,
        }
    }
}
