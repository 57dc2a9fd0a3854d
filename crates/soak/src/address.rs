//! Listen addresses of proxies: reserved while no process listens, and occupied by another listener for the fault
//! `HeldAddress`.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// How a port is reserved for a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Bound with SO_REUSEADDR: whoever sets that too may listen.
    Reusable,
    /// Bound with SO_REUSEPORT alone: whoever sets that too may listen.
    SharedPort,
}

/// A port that is reserved by a bound socket which never listens.
#[derive(Debug)]
pub struct ReservedAddress {
    _socket: Socket,
    address: SocketAddr,
    reservation: Reservation,
}

impl ReservedAddress {
    /// Reserves a port that the kernel picks.
    ///
    /// # Errors
    /// Those of the system calls.
    pub fn reserve(reservation: Reservation) -> io::Result<ReservedAddress> {
        let socket = open(reservation)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::InvalidData)?;
        Ok(ReservedAddress { _socket: socket, address, reservation })
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens at the address in place of the proxy, until the listener is dropped.
    ///
    /// # Errors
    /// A process listens there.
    pub fn occupy(&self) -> io::Result<ConflictingListener> {
        let socket = open(self.reservation)?;
        socket.bind(&self.address.into())?;
        socket.listen(1)?;
        Ok(ConflictingListener { _socket: socket })
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

/// A listener that accepts nothing and keeps a proxy from listening.
#[derive(Debug)]
pub struct ConflictingListener {
    _socket: Socket,
}
