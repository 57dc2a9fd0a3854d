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
    pub step: ConnectionState,
    /// It leads to where its backend listened before.
    pub old: bool,
}

/// All of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionPool {
    pub all: BTreeMap<ConnectionId, Connection>,
    /// The idle ones of each backend, the most recently used last.
    pub idle: BTreeMap<BackendId, Vec<ConnectionId>>,
    /// When something was last heard of each backend that has or had one.
    pub heard: BTreeMap<BackendId, Time>,
    pub next: u64,
}

impl ConnectionPool {
    /// A new one, coming up for that attempt.
    pub fn open(&mut self, backend: BackendId, request: RequestId, attempt: AttemptNumber) -> ConnectionId {
        let connection = ConnectionId(self.next);
        self.next += 1;
        self.all.insert(
            connection,
            Connection { backend, step: ConnectionState::Connecting(Some((request, attempt))), old: false },
        );
        connection
    }

    /// Takes one out of those that there are.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<Connection> {
        let gone = self.all.remove(&connection)?;
        self.unlist(gone.backend, connection);
        Some(gone)
    }

    fn unlist(&mut self, backend: BackendId, connection: ConnectionId) {
        if let Some(idle) = self.idle.get_mut(&backend) {
            idle.retain(|c| *c != connection);
            if idle.is_empty() {
                self.idle.remove(&backend);
            }
        }
    }

    /// Nothing is on it from now on.
    pub fn rest(&mut self, now: Time, connection: ConnectionId, used: bool) {
        if let Some(c) = self.all.get_mut(&connection) {
            c.step = ConnectionState::Idle(now, used);
            self.idle.entry(c.backend).or_default().push(connection);
        }
    }

    /// The attempt is on it from now on.
    pub fn busy(&mut self, connection: ConnectionId, request: RequestId, attempt: AttemptNumber) {
        if let Some(c) = self.all.get_mut(&connection) {
            c.step = ConnectionState::Busy(request, attempt);
            let backend = c.backend;
            self.unlist(backend, connection);
        }
    }

    /// The most recently used idle one of a backend that is quiet and not too old.
    pub fn fit(&self, now: Time, backend: BackendId, keeping: &ConnectionLimits) -> Option<ConnectionId> {
        let idle = self.idle.get(&backend)?;
        let fit = |connection: &&ConnectionId| match self.all.get(connection).map(|c| c.step) {
            Some(ConnectionState::Idle(since, used)) => {
                now - since < keeping.idle_timeout && (!used || now - since >= keeping.reuse_delay)
            }
            _ => false,
        };
        idle.iter().rev().find(fit).copied()
    }

    /// The one that makes way where there is no room for another: that which was idle longest, of all backends, and
    /// where none is idle that which has been coming up longest for nobody any more.
    pub fn spare(&self) -> Option<ConnectionId> {
        let first = self.idle.values().filter_map(|idle| idle.first());
        let idle = first
            .filter_map(|connection| Some((self.since(*connection)?, *connection)))
            .min()
            .map(|(_, connection)| connection);
        let nobodys =
            |c: &&ConnectionId| self.all.get(c).is_some_and(|c| c.step == ConnectionState::Connecting(None));
        idle.or_else(|| self.all.keys().find(nobodys).copied())
    }

    /// The idle ones of a backend.
    pub fn idle_of(&self, backend: BackendId) -> Vec<ConnectionId> {
        self.idle.get(&backend).cloned().unwrap_or_default()
    }

    /// Those idle for too long.
    pub fn stale(&self, now: Time, keeping: &ConnectionLimits) -> Vec<ConnectionId> {
        let idle = self.idle.values().flatten().copied();
        idle.filter(|connection| {
            self.since(*connection).is_some_and(|since| now - since >= keeping.idle_timeout)
        })
        .collect()
    }

    fn since(&self, connection: ConnectionId) -> Option<Time> {
        match self.all.get(&connection)?.step {
            ConnectionState::Idle(since, _) => Some(since),
            _ => None,
        }
    }
}
