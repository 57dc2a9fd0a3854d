//! The sockets and tasks of the engine's connections.

use crate::stream::Stream;
use shaletide_types::{BackendId, ConnectionId, Time};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::task::AbortHandle;

/// A connection to a backend, and the task that runs on it. Dropping the connection aborts the task.
pub(crate) struct UpstreamConnection {
    pub backend: BackendId,
    pub to: SocketAddr,
    /// The stream; `None` while the connection is being established.
    pub stream: Option<Stream>,
    /// When the connection was established; `None` while it is being established.
    pub established_at: Option<Time>,
    /// The task of the connect or exchange in progress.
    pub task: Option<AbortHandle>,
    /// Whether an attempt is in progress on the connection.
    pub busy: bool,
    /// Whether the engine is still handling the event that the connection was established.
    pub just_established: bool,
}

impl UpstreamConnection {
    /// Returns a connection that `task` is establishing.
    pub fn connecting(backend: BackendId, to: SocketAddr, task: AbortHandle) -> UpstreamConnection {
        UpstreamConnection {
            backend,
            to,
            stream: None,
            established_at: None,
            task: Some(task),
            busy: false,
            just_established: false,
        }
    }

    /// Marks the connection as established.
    pub fn established(&mut self, stream: Stream, now: Time) {
        self.stream = Some(stream);
        self.established_at = Some(now);
        self.task = None;
        self.just_established = true;
    }

    /// Returns the stream, unless the connection is not established yet, has pending input or was closed, by the readiness
    /// that the event loop has cached.
    pub fn usable_stream(&self) -> Option<Stream> {
        self.stream.as_ref().filter(|stream| !stream.has_pending_input_as_polled()).cloned()
    }

    /// Whether the connection was established by that time and its peer has not closed it, by the kernel's current state.
    fn is_open_since(&self, time: Time) -> bool {
        let is_established = self.established_at.is_some_and(|established| established <= time);
        is_established && self.stream.as_ref().is_some_and(|stream| !stream.peer_closed())
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

/// All connections to backends, by their numbers in the engine.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    pub by_id: HashMap<ConnectionId, UpstreamConnection>,
    /// The number of connects begun since the last report.
    pub connects_begun: u64,
}

impl ConnectionTable {
    /// Whether a connection to this address has been open since that time.
    pub fn has_connection_since(&self, to: SocketAddr, time: Time) -> bool {
        self.by_id.values().any(|upstream| upstream.to == to && upstream.is_open_since(time))
    }

    /// Returns the idle connections on which bytes have arrived or that the backend has closed, by the kernel's current
    /// state.
    pub fn with_pending_input(&self) -> Vec<ConnectionId> {
        let unusable =
            self.by_id.iter().filter(|(_, upstream)| !upstream.busy && upstream.has_pending_input());
        unusable.map(|(connection, _)| *connection).collect()
    }
}
