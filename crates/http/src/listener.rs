//! Listening sockets: how they are opened and in which order they are asked for the next connection.

use std::net::SocketAddr;
use std::task::Poll;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const BACKLOG: u32 = 1024;

/// Listens there, also while connections of an earlier process linger.
///
/// # Errors
/// What the kernel says.
pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart comes back while old connections still linger
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// The next connection of any of them. Who is asked first moves on with the count: one address to which connections
/// never cease to come does not keep the others' waiting.
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
