//! The world outside the engine: what a shell, backends, lists and the store have under way.

use crate::model::Model;
use shaletide_engine::Action;
use shaletide_types::*;

/// What goes on on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionActivity {
    /// It comes up.
    Opening,
    /// It is up, and nothing of ours is on it.
    Idle,
    /// A request is on it.
    Busy {
        /// Whose.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// The last byte has gone.
        written: bool,
        /// The engine has asked to close it.
        closing: bool,
    },
}

/// A permit that the store has not decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pending {
    /// Whose.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNumber,
    /// It was given back, so that the store's word comes too late.
    pub withdrawn: bool,
}

/// A backend as discovery has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListedBackend {
    /// Its pool.
    pub pool: PoolId,
    /// Its cell.
    pub group: DeduplicationGroupId,
    /// What it may be sent.
    pub state: BackendState,
    /// When it returned; the engine does not read it, a policy may.
    pub started_at: Option<Time>,
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shell {
    /// The connections, the oldest first.
    pub connections: Vec<(ConnectionId, ConnectionActivity)>,
    /// The permits that are asked for.
    pub pending_intents: Vec<Pending>,
    /// The backends by number.
    pub listed_backends: Vec<ListedBackend>,
    /// The list is lost, and only a whole one is news.
    pub subscription_lost: bool,
    /// Requests that have not come yet.
    pub not_arrived: Vec<RequestId>,
    /// What may still happen.
    pub remaining_events: crate::model::EventBudget,
}

impl Shell {
    /// As a world begins.
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

    /// The row of a backend, as its list has it.
    pub fn entry(&self, id: usize) -> BackendEntry {
        let b = self.listed_backends[id];
        // Pools are realms of their own, as they are for the daemon unless it is told otherwise.
        BackendEntry {
            id: BackendId(id as u32),
            deduplication_group: b.group,
            deduplication_domain: b.pool.0,
            state: b.state,
            ..BackendEntry::default()
        }
    }

    /// The rows of a pool, but for those gone and that one.
    pub fn entries(&self, pool: PoolId, except: Option<usize>) -> Vec<BackendEntry> {
        let ids = (0..self.listed_backends.len()).filter(|id| Some(*id) != except);
        let here = ids.filter(|id| {
            self.listed_backends[*id].pool == pool && self.listed_backends[*id].state != BackendState::Gone
        });
        here.map(|id| self.entry(id)).collect()
    }

    /// Something is on its way that will bring an event.
    pub fn is_busy(&self) -> bool {
        self.pending_intents.iter().any(|p| !p.withdrawn)
            || self.connections.iter().any(|(_, d)| *d != ConnectionActivity::Idle)
    }

    /// A connection is being closed.
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

    /// Carries out what the engine asks.
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
