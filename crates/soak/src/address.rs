//! Listen addresses of proxies: reserved while no process listens, and occupied by another listener for the fault
//! `HeldAddress`.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Backlog of a [`ConflictingListener`]: more connections than the clients of a proxy open while the address is occupied.
const CONFLICTING_LISTENER_BACKLOG: i32 = 1024;

/// How a port is reserved for a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Bound with SO_REUSEADDR: another socket with that option may listen on the port.
    Reusable,
    /// Bound with SO_REUSEPORT alone: another socket with that option may listen on the port.
    SharedPort,
}

/// A port reserved by a bound socket that never listens.
#[derive(Debug)]
pub struct ReservedAddress {
    _socket: Socket,
    address: SocketAddr,
    reservation: Reservation,
}

impl ReservedAddress {
    /// Reserves a port chosen by the kernel.
    ///
    /// # Errors
    /// A system call fails.
    pub fn reserve(reservation: Reservation) -> io::Result<ReservedAddress> {
        let socket = open(reservation)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::InvalidData)?;
        Ok(ReservedAddress { _socket: socket, address, reservation })
    }

    /// Returns the reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens at the address in place of the proxy, until the listener is dropped.
    ///
    /// # Errors
    /// A process already listens there.
    pub fn occupy(&self) -> io::Result<ConflictingListener> {
        let socket = open(self.reservation)?;
        socket.bind(&self.address.into())?;
        socket.listen(CONFLICTING_LISTENER_BACKLOG)?;
        Ok(ConflictingListener(socket))
    }
}

fn open(reservation: Reservation) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    match reservation {
        Reservation::Reusable => socket.set_reuse_address(true)?,
        Reservation::SharedPort => socket.set_reuse_port(true)?,
    }
    Ok(socket)
}

/// A listener that answers nothing and keeps a proxy from listening.
#[derive(Debug)]
pub struct ConflictingListener(Socket);

impl ConflictingListener {
    /// Frees the address. Closes the connections in the backlog unanswered and returns the addresses of their clients: an
    /// earlier process of the proxy may still have clients, and the kernel distributes connections among the listeners of
    /// a shared port.
    ///
    /// # Errors
    /// A system call fails for a reason other than an empty backlog.
    pub fn release(self) -> io::Result<Vec<SocketAddr>> {
        self.0.set_nonblocking(true)?;
        let mut clients = Vec::new();
        loop {
            match self.0.accept() {
                Ok((_, client)) => clients.extend(client.as_socket()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(clients),
                Err(error) => return Err(error),
            }
        }
    }
}
