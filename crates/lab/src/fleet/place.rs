//! The addresses of a run: each process has one of 127.0.0.0/8, and its port stays reserved while it is down.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of runs of this process so far.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// The addresses of one run. Runs of different processes at a time seldom share any, and where they do the ports
/// that the kernel picks differ.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    first: u32,
}

impl Addresses {
    /// The addresses from `first` on, or those of a new run of this process; `127.0.0.1` is not among the latter.
    pub fn new(first: Option<Ipv4Addr>) -> Addresses {
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let mixed =
            std::process::id().wrapping_mul(2_654_435_761).wrapping_add(run.wrapping_mul(40_503)) >> 3;
        let own = Ipv4Addr::new(127, 64 + (mixed >> 8 & 0x3f) as u8, mixed as u8, 1);
        Addresses { first: first.unwrap_or(own).to_bits() }
    }

    /// The address with an index from 0 to 199.
    pub fn at(&self, place: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::from_bits(self.first + (place % 200) as u32))
    }
}

/// A port that stays bound, so that a process can restart on it.
#[derive(Debug)]
pub struct ReservedPort {
    _reservation: Socket,
    /// The reserved address.
    pub address: SocketAddr,
}

impl ReservedPort {
    /// Reserves that port, or one that the kernel picks for 0.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn new(ip: IpAddr, port: u16) -> io::Result<ReservedPort> {
        let wanted = SocketAddr::new(ip, port);
        let socket = Socket::new(Domain::for_address(wanted), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&wanted.into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort { _reservation: socket, address })
    }
}
