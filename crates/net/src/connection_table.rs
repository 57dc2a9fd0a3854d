//! The sockets behind the engine's connections.

use crate::stream::Stream;
use shaletide_types::{BackendId, ConnectionId};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::task::AbortHandle;

/// A connection's socket and what is done on it.
pub(crate) struct UpstreamConnection {
    pub backend: BackendId,
    pub to: SocketAddr,
    /// None while it comes up.
    pub stream: Option<Stream>,
    /// What is under way: the connect, or a request.
    pub task: Option<AbortHandle>,
    /// A request is on it.
    pub busy: bool,
    /// It came up at this very moment, and nobody was offered it yet.
    pub never_used: bool,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// All of them, by the engine's names.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    pub by_id: HashMap<ConnectionId, UpstreamConnection>,
    /// Opened since the last report.
    pub opened: u64,
}

impl ConnectionTable {
    /// Idle ones on which something has come, or that the other side has closed.
    pub fn with_pending_input(&self) -> Vec<ConnectionId> {
        let idle = self.by_id.iter().filter(|(_, connection)| !connection.busy);
        let pending = |connection: &UpstreamConnection| {
            connection.stream.as_ref().is_some_and(Stream::has_pending_input)
        };
        idle.filter(|(_, connection)| pending(connection)).map(|(connection, _)| *connection).collect()
    }
}
