//! Listening sockets: how they are opened and in which order they are asked for the next connection.

use std::net::SocketAddr;
use std::task::Poll;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Length of the kernel's accept queue.
const BACKLOG: u32 = 1024;

/// Opens a listening socket, also while connections of an earlier process linger in the kernel.
///
/// # Errors
/// Those of the system calls.
pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart comes back while old connections still linger
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection from any of the listeners. They are asked in rotation by `count`, so that one busy
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
