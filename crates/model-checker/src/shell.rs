//! The environment of the engine: the pending work of the shell, the backends, the endpoint lists and the store.

use crate::model::Model;
use shaletide_engine::Action;
use shaletide_types::*;

/// The activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionActivity {
    /// The connection is being established.
    Opening,
    /// The connection is established and carries no request.
    Idle,
    /// The connection carries an attempt.
    Busy {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// Whether the last byte is written.
        written: bool,
        /// Whether the engine has asked to close the connection.
        closing: bool,
    },
}

/// An intent for which the result of the store is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pending {
    /// The request of the attempt.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// Whether the engine has withdrawn the intent, so that the result arrives too late.
    pub withdrawn: bool,
}

/// A backend as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListedBackend {
    /// The pool of the backend.
    pub pool: PoolId,
    /// The deduplication group of the backend.
    pub group: DeduplicationGroupId,
    /// The state in which it is listed.
    pub state: BackendState,
    /// The time at which it returned; read by policies, not by the engine.
    pub started_at: Option<Time>,
}

/// The state of the environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shell {
    /// The connections, oldest first.
    pub connections: Vec<(ConnectionId, ConnectionActivity)>,
    /// The intents that the store has not decided on.
    pub pending_intents: Vec<Pending>,
    /// The backends, by number.
    pub listed_backends: Vec<ListedBackend>,
    /// Whether the subscription is lost, so that only a snapshot can follow.
    pub subscription_lost: bool,
    /// The requests that have not arrived yet.
    pub not_arrived: Vec<RequestId>,
    /// The external events that may still occur.
    pub remaining_events: crate::model::EventBudget,
}

impl Shell {
    /// Returns the environment at the start of a model.
    pub fn new(model: &Model) -> Shell {
        let initial_entry = |b: &crate::model::BackendSpec| ListedBackend {
            pool: PoolId(b.pool),
            group: DeduplicationGroupId(b.group),
            state: if b.initially_listed { BackendState::Ready } else { BackendState::Gone },
            started_at: None,
        };
        Shell {
            connections: Vec::new(),
            pending_intents: Vec::new(),
            listed_backends: model.backends.iter().map(initial_entry).collect(),
            subscription_lost: false,
            not_arrived: (0..model.requests.len() as u64).map(RequestId).collect(),
            remaining_events: model.event_budget,
        }
    }

    /// Returns the list entry of a backend.
    pub fn entry(&self, id: usize) -> BackendEntry {
        let b = self.listed_backends[id];
        // Each pool is a deduplication domain of its own, which is the default of the daemon.
        BackendEntry {
            id: BackendId(id as u32),
            deduplication_group: b.group,
            deduplication_domain: b.pool.0,
            state: b.state,
            ..BackendEntry::default()
        }
    }

    /// Returns the list entries of a pool, without backends that are gone and without `except`.
    pub fn entries(&self, pool: PoolId, except: Option<usize>) -> Vec<BackendEntry> {
        let ids = (0..self.listed_backends.len()).filter(|id| Some(*id) != except);
        let here = ids.filter(|id| {
            self.listed_backends[*id].pool == pool && self.listed_backends[*id].state != BackendState::Gone
        });
        here.map(|id| self.entry(id)).collect()
    }

    /// Returns whether a pending operation will cause an event.
    pub fn is_busy(&self) -> bool {
        self.pending_intents.iter().any(|p| !p.withdrawn)
            || self.connections.iter().any(|(_, d)| *d != ConnectionActivity::Idle)
    }

    /// Returns whether a connection is being closed.
    pub fn is_closing(&self) -> bool {
        self.connections.iter().any(|(_, d)| matches!(d, ConnectionActivity::Busy { closing: true, .. }))
    }

    pub(crate) fn set(&mut self, connection: ConnectionId, activity: ConnectionActivity) {
        if let Some(entry) = self.connections.iter_mut().find(|l| l.0 == connection) {
            entry.1 = activity;
        }
    }

    pub(crate) fn drop_connection(&mut self, connection: ConnectionId) {
        self.connections.retain(|l| l.0 != connection);
    }

    /// Carries out an action of the engine.
    pub fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Connect { connection, .. } => {
                self.connections.push((*connection, ConnectionActivity::Opening))
            }
            Action::Send { connection, request, attempt, .. } => {
                let (request, attempt) = (*request, *attempt);
                self.set(
                    *connection,
                    ConnectionActivity::Busy { request, attempt, written: false, closing: false },
                );
            }
            Action::Close { connection } => match self.connections.iter_mut().find(|l| l.0 == *connection) {
                Some((_, ConnectionActivity::Busy { closing, .. })) => *closing = true,
                _ => self.drop_connection(*connection),
            },
            Action::PersistIntent { request, attempt } => {
                self.pending_intents.push(Pending { request: *request, attempt: *attempt, withdrawn: false });
            }
            Action::WithdrawIntent { request, attempt } => {
                let matches_intent = |p: &&mut Pending| (p.request, p.attempt) == (*request, *attempt);
                self.pending_intents.iter_mut().filter(matches_intent).for_each(|p| p.withdrawn = true);
            }
            Action::Answer { .. }
            | Action::GivenUp { .. }
            | Action::AttemptEnded { .. }
            | Action::Subscribe { .. }
            | Action::Log { .. } => {}
        }
    }
}
