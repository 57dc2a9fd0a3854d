//! The connections: which is idle, which may be used again, and how many there are.

use shaletide_types::*;
use std::collections::BTreeMap;

/// How connections are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Keeping {
    /// At most so many, all backends together.
    pub most: usize,
    /// One that was idle for so long is not used again.
    pub idle: Micros,
    /// One is not used again so soon after an answer: what a backend sends behind one in a segment of its own
    /// would pass for the answer to the next request.
    pub quiet: Micros,
}

/// How far a connection has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnStep {
    /// It comes up, for an attempt or for nobody any more.
    Opening(Option<(RequestId, AttemptNo)>),
    /// Nothing is on it, since then; one that was never used is quiet at once.
    Idle(Time, bool),
    /// An attempt is on it.
    Busy(RequestId, AttemptNo),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Conn {
    pub backend: BackendId,
    pub step: ConnStep,
    /// It leads to where its backend listened before.
    pub old: bool,
}

/// All of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Conns {
    pub all: BTreeMap<ConnId, Conn>,
    /// The idle ones of each backend, the most recently used last.
    pub idle: BTreeMap<BackendId, Vec<ConnId>>,
    /// When something was last heard of each backend that has or had one.
    pub heard: BTreeMap<BackendId, Time>,
    pub next: u64,
}

impl Conns {
    /// A new one, coming up for that attempt.
    pub fn open(&mut self, backend: BackendId, request: RequestId, attempt: AttemptNo) -> ConnId {
        let conn = ConnId(self.next);
        self.next += 1;
        self.all
            .insert(conn, Conn { backend, step: ConnStep::Opening(Some((request, attempt))), old: false });
        conn
    }

    /// Takes one out of those that there are.
    pub fn remove(&mut self, conn: ConnId) -> Option<Conn> {
        let gone = self.all.remove(&conn)?;
        self.unlist(gone.backend, conn);
        Some(gone)
    }

    fn unlist(&mut self, backend: BackendId, conn: ConnId) {
        if let Some(idle) = self.idle.get_mut(&backend) {
            idle.retain(|c| *c != conn);
            if idle.is_empty() {
                self.idle.remove(&backend);
            }
        }
    }

    /// Nothing is on it from now on.
    pub fn rest(&mut self, now: Time, conn: ConnId, used: bool) {
        if let Some(c) = self.all.get_mut(&conn) {
            c.step = ConnStep::Idle(now, used);
            self.idle.entry(c.backend).or_default().push(conn);
        }
    }

    /// The attempt is on it from now on.
    pub fn busy(&mut self, conn: ConnId, request: RequestId, attempt: AttemptNo) {
        if let Some(c) = self.all.get_mut(&conn) {
            c.step = ConnStep::Busy(request, attempt);
            let backend = c.backend;
            self.unlist(backend, conn);
        }
    }

    /// The most recently used idle one of a backend that is quiet and not too old.
    pub fn fit(&self, now: Time, backend: BackendId, keeping: &Keeping) -> Option<ConnId> {
        let idle = self.idle.get(&backend)?;
        let fit = |conn: &&ConnId| match self.all.get(conn).map(|c| c.step) {
            Some(ConnStep::Idle(since, used)) => {
                now - since < keeping.idle && (!used || now - since >= keeping.quiet)
            }
            _ => false,
        };
        idle.iter().rev().find(fit).copied()
    }

    /// The one that makes way where there is no room for another: that which was idle longest, of all backends, and
    /// where none is idle that which has been coming up longest for nobody any more.
    pub fn spare(&self) -> Option<ConnId> {
        let first = self.idle.values().filter_map(|idle| idle.first());
        let idle = first.filter_map(|conn| Some((self.since(*conn)?, *conn))).min().map(|(_, conn)| conn);
        let nobodys = |c: &&ConnId| self.all.get(c).is_some_and(|c| c.step == ConnStep::Opening(None));
        idle.or_else(|| self.all.keys().find(nobodys).copied())
    }

    /// The idle ones of a backend.
    pub fn idle_of(&self, backend: BackendId) -> Vec<ConnId> {
        self.idle.get(&backend).cloned().unwrap_or_default()
    }

    /// Those idle for too long.
    pub fn stale(&self, now: Time, keeping: &Keeping) -> Vec<ConnId> {
        let idle = self.idle.values().flatten().copied();
        idle.filter(|conn| self.since(*conn).is_some_and(|since| now - since >= keeping.idle)).collect()
    }

    fn since(&self, conn: ConnId) -> Option<Time> {
        match self.all.get(&conn)?.step {
            ConnStep::Idle(since, _) => Some(since),
            _ => None,
        }
    }
}
