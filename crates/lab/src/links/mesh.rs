//! A UDP mesh: peers that know each other only by addresses of the lab. Each peer has one: a datagram sent to it goes
//! to that peer, and comes from the address of the lab that represents the sender.

use super::core::{Core, Way};
use super::fault::{Direction, Fault, FaultError};
use super::flow_queue::FlowQueue;
use super::line::Tally;
use super::pump::wake;
use super::udp::{send_due, MAX_DATAGRAM};
use shaletide_testkit::SeededRng;
use shaletide_types::Time;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

/// Maximum number of peers of a mesh.
pub const MAX_PEERS: usize = 64;
/// Maximum number of datagrams read before other tasks may run.
const BATCH: usize = 32;

/// The description of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name, for faults between names.
    pub name: String,
    /// The address of the lab that represents it; the kernel picks the port.
    pub listen: IpAddr,
    /// Its real address, which its datagrams have to come from.
    pub real: SocketAddr,
}

/// The ordered pairs of a mesh, each with its own faults, shared by its tasks.
#[derive(Debug)]
pub(super) struct Pairs {
    names: Vec<String>,
    real: Mutex<Vec<SocketAddr>>,
    /// One for each pair (low, high) of peers, in order; from the lower to the higher is forth.
    cores: Vec<Arc<Core>>,
    strangers: AtomicU64,
}

impl Pairs {
    pub fn new(peers: &[Peer], mut core: impl FnMut(&str, &str) -> Core) -> Pairs {
        let names: Vec<String> = peers.iter().map(|peer| peer.name.clone()).collect();
        let mut cores = Vec::new();
        for (high, name) in names.iter().enumerate() {
            cores.extend(names[..high].iter().map(|low| Arc::new(core(low, name))));
        }
        let real = Mutex::new(peers.iter().map(|peer| peer.real).collect());
        Pairs { names, real, cores, strangers: AtomicU64::new(0) }
    }

    pub fn cores(&self) -> &[Arc<Core>] {
        &self.cores
    }

    /// The pair of two different peers, and the direction from the first to the second.
    fn pair(&self, from: usize, to: usize) -> (&Core, Way) {
        let (low, high) = (from.min(to), from.max(to));
        let way = if from < to { Way::Forth } else { Way::Back };
        (&self.cores[high * (high - 1) / 2 + low], way)
    }

    fn rng(&self, from: usize, to: usize) -> SeededRng {
        let (core, way) = self.pair(from, to);
        core.rng("mesh", way)
    }

    fn index(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|own| own == name)
    }

    fn real(&self) -> Vec<SocketAddr> {
        self.real.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The handle of a mesh; it ends when this is dropped.
#[derive(Debug)]
pub struct Mesh {
    pub(super) pairs: Arc<Pairs>,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) tasks: Vec<AbortHandle>,
}

impl Mesh {
    /// The address of the lab that represents a peer, to be configured at the others.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.addresses[self.pairs.index(name)?])
    }

    /// Sets a fault from one peer to another; false if there is no such pair.
    ///
    /// # Errors
    /// A value out of its range; nothing was changed.
    pub fn set(&self, from: &str, to: &str, fault: Fault) -> Result<bool, FaultError> {
        let Some((core, way)) = self.pair(from, to) else { return Ok(false) };
        let direction = if way == Way::Forth { Direction::Forth } else { Direction::Back };
        core.set(direction, fault)?;
        Ok(true)
    }

    /// The tally from one peer to another; `None` if there is no such pair.
    pub fn stats(&self, from: &str, to: &str) -> Option<Tally> {
        let (core, way) = self.pair(from, to)?;
        Some(core.tallies()[way as usize])
    }

    /// Sets the real address of a peer; false if there is none of that name.
    pub fn aim(&self, name: &str, real: SocketAddr) -> bool {
        let Some(at) = self.pairs.index(name) else { return false };
        self.pairs.real.lock().unwrap_or_else(PoisonError::into_inner)[at] = real;
        true
    }

    /// Datagrams dropped because they came from no peer's address, or from a peer to itself.
    pub fn strangers(&self) -> u64 {
        self.pairs.strangers.load(Relaxed)
    }

    fn pair(&self, from: &str, to: &str) -> Option<(&Core, Way)> {
        let (from, to) = (self.pairs.index(from)?, self.pairs.index(to)?);
        (from != to).then(|| self.pairs.pair(from, to))
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// The task that delivers to one peer.
pub(super) struct LinkTask {
    pairs: Arc<Pairs>,
    sockets: Arc<Vec<UdpSocket>>,
    to: usize,
    /// By sender; the one for the peer itself stays empty.
    flow_queues: Vec<FlowQueue>,
}

impl LinkTask {
    pub fn new(pairs: Arc<Pairs>, sockets: Arc<Vec<UdpSocket>>, to: usize) -> LinkTask {
        let flow_queue = |from| {
            let rng = if from == to { SeededRng::new(0) } else { pairs.rng(from, to) };
            FlowQueue::datagrams(rng)
        };
        let flow_queues = (0..sockets.len()).map(flow_queue).collect();
        LinkTask { pairs, sockets, to, flow_queues }
    }

    pub async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let due = self.flush();
            let socket = &self.sockets[self.to];
            let clock = self.pairs.cores[0].as_ref();
            tokio::select! {
                _ = socket.readable() => self.read(&mut buffer),
                () = wake(clock, due), if due.is_some() => {}
            }
        }
    }

    fn read(&mut self, buffer: &mut [u8]) {
        let real = self.pairs.real();
        for _ in 0..BATCH {
            match self.sockets[self.to].try_recv_from(buffer) {
                Ok((count, from)) => match real.iter().position(|real| *real == from) {
                    Some(from) if from != self.to => self.offer(from, buffer[..count].to_vec()),
                    _ => {
                        self.pairs.strangers.fetch_add(1, Relaxed);
                    }
                },
                // None left, or the report that an earlier datagram was refused.
                Err(_) => return,
            }
        }
    }

    fn offer(&mut self, from: usize, datagram: Vec<u8>) {
        let (core, way) = self.pairs.pair(from, self.to);
        let mut lines = core.lines();
        self.flow_queues[from].offer(core.now(), &mut lines[way as usize], datagram);
    }

    fn flush(&mut self) -> Option<Time> {
        let to = self.pairs.real()[self.to];
        let mut due = None;
        for (from, flow_queue) in self.flow_queues.iter_mut().enumerate().filter(|(from, _)| *from != self.to)
        {
            let (core, way) = self.pairs.pair(from, self.to);
            let mut lines = core.lines();
            let next = send_due(flow_queue, core.now(), &mut lines[way as usize], &self.sockets[from], to);
            due = due.into_iter().chain(next).min();
        }
        due
    }
}
