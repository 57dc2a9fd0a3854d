//! Opens listening sockets, and accepts connections from them in rotation.

use shaletide_net::listen_failure;
use std::net::SocketAddr;
use std::task::Poll;
use std::{fmt, io};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Length of the kernel's accept queue.
const BACKLOG: u32 = 1024;

/// The system call that failed when a listener was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenCall {
    /// Creating the socket and setting its options.
    Socket,
    /// Binding the socket to its address.
    Bind,
    /// Listening on the socket.
    Listen,
}

/// A failure to listen on an address.
#[derive(Debug)]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The call that failed.
    pub call: ListenCall,
    /// The error of that call.
    pub source: io::Error,
}

impl ListenError {
    /// Returns whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        listen_failure(&self.source).may_pass()
    }
}

impl fmt::Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let call = match self.call {
            ListenCall::Socket => "socket",
            ListenCall::Bind => "bind",
            ListenCall::Listen => "listen",
        };
        write!(f, "cannot listen on {}: {call}: {}", self.address, self.source)
    }
}

impl std::error::Error for ListenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// A socket that is bound to its address but does not listen yet.
#[derive(Debug)]
pub struct BoundSocket {
    socket: TcpSocket,
    address: SocketAddr,
}

impl BoundSocket {
    /// Binds an address, even while connections of an earlier process linger in the kernel.
    ///
    /// # Errors
    /// If a system call fails.
    pub fn bind(address: SocketAddr) -> Result<BoundSocket, ListenError> {
        BoundSocket::bind_with(address, false)
    }

    /// Binds an address that another socket of the same user has reserved by binding it with `SO_REUSEPORT`. The kernel
    /// distributes connections among all sockets that listen on such an address, so the caller must ensure that no other
    /// socket listens on it.
    ///
    /// # Errors
    /// If a system call fails.
    pub fn bind_reserved(address: SocketAddr) -> Result<BoundSocket, ListenError> {
        BoundSocket::bind_with(address, true)
    }

    fn bind_with(address: SocketAddr, shares_port: bool) -> Result<BoundSocket, ListenError> {
        let failed = |call| move |source| ListenError { address, call, source };
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let socket = socket.map_err(failed(ListenCall::Socket))?;
        socket.set_reuseaddr(true).map_err(failed(ListenCall::Socket))?;
        if shares_port {
            socket.set_reuseport(true).map_err(failed(ListenCall::Socket))?;
        }
        socket.bind(address).map_err(failed(ListenCall::Bind))?;
        Ok(BoundSocket { socket, address })
    }

    /// Starts to listen.
    ///
    /// # Errors
    /// If the system call fails, for example because another socket has started to listen on the address.
    pub fn listen(self) -> Result<TcpListener, ListenError> {
        let address = self.address;
        let listener = self.socket.listen(BACKLOG);
        listener.map_err(|source| ListenError { address, call: ListenCall::Listen, source })
    }
}

/// Opens a listening socket, even while connections of an earlier process linger in the kernel.
///
/// # Errors
/// If a system call fails.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    BoundSocket::bind(address)?.listen()
}

/// Accepts the next connection from any of the listeners. They are polled in rotation, starting at `count`, so that one busy
/// address does not starve the others.
pub(crate) async fn accept_any(
    listeners: &[TcpListener], count: u64,
) -> std::io::Result<(TcpStream, SocketAddr)> {
    let (front, back) = listeners.split_at((count % listeners.len().max(1) as u64) as usize);
    std::future::poll_fn(|cx| {
        let mut each = back.iter().chain(front).map(|listener| listener.poll_accept(cx));
        each.find(Poll::is_ready).unwrap_or(Poll::Pending)
    })
    .await
}

#[cfg(test)]
mod tests;
