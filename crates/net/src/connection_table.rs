//! The sockets behind the engine's connections.

use crate::stream::Stream;
use shaletide_types::{BackendId, ConnectionId};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::task::AbortHandle;

/// A connection to a backend, and the task on it. Dropping it aborts the task.
pub(crate) struct UpstreamConnection {
    pub backend: BackendId,
    pub to: SocketAddr,
    /// `None` while it is being established.
    pub stream: Option<Stream>,
    /// The connect or the exchange in progress.
    pub task: Option<AbortHandle>,
    /// An attempt is on it.
    pub busy: bool,
    /// It was established just now, and the engine has not had a chance to use it.
    pub just_established: bool,
}

impl UpstreamConnection {
    /// One that `task` is establishing.
    pub fn connecting(backend: BackendId, to: SocketAddr, task: AbortHandle) -> UpstreamConnection {
        UpstreamConnection {
            backend,
            to,
            stream: None,
            task: Some(task),
            busy: false,
            just_established: false,
        }
    }

    /// It has been established.
    pub fn established(&mut self, stream: Stream) {
        self.stream = Some(stream);
        self.task = None;
        self.just_established = true;
    }

    /// Its stream, unless it is not established yet, has input pending or was closed, as far as the event loop knows.
    pub fn usable_stream(&self) -> Option<Stream> {
        self.stream.as_ref().filter(|stream| !stream.has_pending_input_as_polled()).cloned()
    }

    fn has_pending_input(&self) -> bool {
        self.stream.as_ref().is_some_and(Stream::has_pending_input)
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// All connections to backends, by the engine's numbers.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    pub by_id: HashMap<ConnectionId, UpstreamConnection>,
    /// Connects begun since the last report.
    pub connects_begun: u64,
}

impl ConnectionTable {
    /// The idle connections on which bytes have come or that the backend has closed, by what the kernel says now.
    pub fn with_pending_input(&self) -> Vec<ConnectionId> {
        let unusable =
            self.by_id.iter().filter(|(_, upstream)| !upstream.busy && upstream.has_pending_input());
        unusable.map(|(connection, _)| *connection).collect()
    }
}
