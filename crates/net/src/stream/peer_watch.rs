//! Detection of a closed connection by code that does not own the connection.

use super::socket::Socket;
use std::rc::Weak;

/// A watch on the peer of a connection. Does not keep the connection open.
#[derive(Clone)]
pub struct PeerWatch(Weak<Socket>);

impl PeerWatch {
    pub(super) fn new(socket: Weak<Socket>) -> PeerWatch {
        PeerWatch(socket)
    }

    /// Whether the connection has ended, or the peer has closed it or its sending side, or has reset it, by the kernel's
    /// current state.
    pub fn closed(&self) -> bool {
        self.0.upgrade().is_none_or(|socket| socket.peer_closed())
    }
}
