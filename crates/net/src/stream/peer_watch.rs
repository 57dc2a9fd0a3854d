//! Whether the other side of a connection is still there, asked by those that do not own the connection.

use super::socket::Socket;
use std::rc::Weak;

/// The other side of a connection. Does not keep the connection open.
#[derive(Clone)]
pub struct PeerWatch(Weak<Socket>);

impl PeerWatch {
    pub(super) fn new(socket: Weak<Socket>) -> PeerWatch {
        PeerWatch(socket)
    }

    /// The connection has ended, or its other side has closed it, its sending on it, or has reset it, by what the kernel
    /// says now.
    pub fn closed(&self) -> bool {
        self.0.upgrade().is_none_or(|socket| socket.peer_closed())
    }
}
