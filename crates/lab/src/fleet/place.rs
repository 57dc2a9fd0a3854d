//! Addresses of a run's own: each process has one of 127.0.0.0/8, and its port is held also while it is down.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Runs of this process so far.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// The addresses of one run. Runs of different processes at a time seldom share any, and where they do the ports
/// that the kernel picks differ.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    net: u32,
}

impl Addresses {
    /// Those of a new run of this process.
    pub fn new() -> Addresses {
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let mixed = std::process::id().wrapping_mul(2_654_435_761).wrapping_add(run);
        Addresses { net: mixed >> 3 & 0x3fff }
    }

    /// The address of a place from 0 to 199. None is `127.0.0.1` or ends in 0 or 255.
    pub fn at(&self, place: usize) -> IpAddr {
        let [high, low] = [(self.net >> 8) as u8, self.net as u8];
        IpAddr::V4(Ipv4Addr::new(127, 64 + high, low, 1 + (place % 200) as u8))
    }
}

impl Default for Addresses {
    fn default() -> Addresses {
        Addresses::new()
    }
}

/// A port that is kept for a process that listens there now and then.
#[derive(Debug)]
pub struct Door {
    _hold: Socket,
    /// Where it is.
    pub address: SocketAddr,
}

impl Door {
    /// Takes that port, or one that the kernel picks for 0.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn new(ip: IpAddr, port: u16) -> io::Result<Door> {
        let wanted = SocketAddr::new(ip, port);
        let hold = Socket::new(Domain::for_address(wanted), Type::STREAM, None)?;
        hold.set_reuse_address(true)?;
        hold.bind(&wanted.into())?;
        let address = hold.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Door { _hold: hold, address })
    }
}
