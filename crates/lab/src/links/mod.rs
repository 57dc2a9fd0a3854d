//! Links between the parts of a run, as forwarding proxies with fault injection: what passes between two parts is delayed,
//! lost, changed or cut here.
//!
//! What decides is [`FlowQueue`] on a [`Line`]: sans-IO, seeded, time as an argument. Around it is a thin I/O layer of
//! sockets on threads of its own, [`Links`], with handles that any thread may use:
//!
//! - [`Links::tcp`]: an address that stands for a target; connections keep their order, half-closes and resets;
//! - [`Links::udp`]: the same for datagrams of any number of senders to one target;
//! - [`Links::mesh`]: peers each of which is known to the others by an address of the lab's.
//!
//! Each end of a link has a name, and names have groups ([`Links::group`]); [`Links::set_between`] puts a fault
//! in force on all that passes between two sets of these. Bytes are counted where they are written, apart from
//! what was decided, so that a leak over a cut link shows in [`Tally::passed_bytes_while_cut`].
//!
//! ```
//! use shaletide_lab::links::{Cut, Direction, Fault, Links};
//! use shaletide_testkit::{Clock, Distribution};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let links = Links::start(Clock::start(), 7)?;
//! let target = "127.0.0.1:8080".parse()?;
//! let link = links.tcp("p1>box4", ["p1", "box4"], "127.0.0.1".parse()?, target)?;
//! links.group("west", &["p1", "p2"]);
//! println!("for p1's file: {}", link.address());
//! link.set(Direction::Both, Fault::delay_ms(Distribution::Even(2.0, 5.0)))?;
//! let met = links.set_between(&["west"], &["box4"], Direction::Forth, Fault::cut(Cut::Silent))?;
//! assert_eq!((met, links.leaks()), (1, vec![]));
//! # Ok(())
//! # }
//! ```
//!
//! Everything is bounded; the bounds are constants of this module. Worst cases: a connection holds
//! 2 × ([`MAX_HELD_STREAM_BYTES`] + [`MAX_CHUNK`]), a flow of datagrams [`MAX_HELD_DATAGRAM_BYTES`] +
//! [`MAX_REPLAY_BYTES`].

mod core;
mod fault;
mod flow_queue;
mod line;
mod link;
pub mod measure;
mod mesh;
#[cfg(test)]
mod planted;
mod pump;
mod replay;
mod tcp;
mod udp;
mod worker;

pub use fault::{Cut, Direction, Fault, FaultError, MAX_DELAY_MS};
pub use flow_queue::{
    Departure, End, FlowQueue, MAX_CHUNK, MAX_HELD_DATAGRAMS, MAX_HELD_DATAGRAM_BYTES, MAX_HELD_STREAM_BYTES,
    MAX_STALLS, REORDER_PAST, REORDER_WAIT, STALL,
};
pub use line::{Line, Tally};
pub use link::{Link, Stats};
pub use mesh::{Mesh, Peer, MAX_PEERS};
pub use replay::{MAX_REPLAY_BYTES, REPLAY_AGE, REPLAY_SPACING};
pub use tcp::{DIAL_PATIENCE, MAX_CONNECTIONS};
pub use udp::{MAX_DATAGRAM, MAX_SENDERS};

use self::core::{Core, Way};
use link::Shared;
use shaletide_testkit::Clock;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket as StdUdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use tokio::net::UdpSocket;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use worker::Worker;

/// TCP connections over all links at most; further ones are reset.
pub const MAX_ALL_CONNECTIONS: usize = 8192;

/// Limits the number of connections over all links.
#[derive(Debug)]
struct ConnectionLimit(Arc<Semaphore>);

impl ConnectionLimit {
    fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.0.clone().try_acquire_owned().ok()
    }
}

/// All links of a run, and the threads that serve them. They end when this is dropped.
#[derive(Debug)]
pub struct Links {
    clock: Clock,
    seed: u64,
    workers: Vec<Worker>,
    turn: AtomicUsize,
    connection_limit: Arc<ConnectionLimit>,
    made: Mutex<Vec<Weak<Core>>>,
    groups: Mutex<BTreeMap<String, BTreeSet<String>>>,
}

impl Links {
    /// Links with that clock and seed, served by one thread.
    ///
    /// # Errors
    /// The thread or its runtime could not be started.
    pub fn start(clock: Clock, seed: u64) -> io::Result<Links> {
        Links::start_with(clock, seed, 1)
    }

    /// The same with 1 to 8 threads; links are assigned to them round-robin.
    ///
    /// # Errors
    /// A thread or its runtime could not be started.
    pub fn start_with(clock: Clock, seed: u64, threads: usize) -> io::Result<Links> {
        let workers = (0..threads.clamp(1, 8)).map(Worker::start).collect::<io::Result<_>>()?;
        Ok(Links {
            clock,
            seed,
            workers,
            turn: AtomicUsize::new(0),
            connection_limit: Arc::new(ConnectionLimit(Arc::new(Semaphore::new(MAX_ALL_CONNECTIONS)))),
            made: Mutex::default(),
            groups: Mutex::default(),
        })
    }

    /// A TCP link between two named ends (the one that opens connections first), at a port of that address that
    /// the kernel picks.
    ///
    /// # Errors
    /// The address could not be bound.
    pub fn tcp(&self, name: &str, ends: [&str; 2], listen: IpAddr, target: SocketAddr) -> io::Result<Link> {
        self.tcp_at(name, ends, SocketAddr::new(listen, 0), target)
    }

    /// The same at a port of the caller's choice.
    ///
    /// # Errors
    /// The address could not be bound.
    pub fn tcp_at(
        &self, name: &str, ends: [&str; 2], listen: SocketAddr, target: SocketAddr,
    ) -> io::Result<Link> {
        let worker = self.worker();
        let _entered = worker.handle().enter();
        let reserved = tcp::ReservedAddress::new(listen)?;
        let (address, first) = (reserved.address(), reserved.listen()?);
        let shared = Arc::new(Shared::new(self.core(name, ends), target));
        shared.core.listens_at(&first);
        let link_task = tcp::LinkTask::new(shared.clone(), reserved, self.connection_limit.clone());
        self.enlist(&shared);
        let task = worker.handle().spawn(link_task.run(first)).abort_handle();
        Ok(Link { shared, address, task })
    }

    /// A UDP link between two named ends (the one that sends first), at a port of that address that the kernel
    /// picks. To the target each sender appears at an address of its own.
    ///
    /// # Errors
    /// The address could not be bound.
    pub fn udp(&self, name: &str, ends: [&str; 2], listen: IpAddr, target: SocketAddr) -> io::Result<Link> {
        let worker = self.worker();
        let _entered = worker.handle().enter();
        let socket = udp_socket(listen)?;
        let address = socket.local_addr()?;
        let shared = Arc::new(Shared::new(self.core(name, ends), target));
        self.enlist(&shared);
        let link_task = udp::LinkTask::new(shared.clone(), socket);
        let task = worker.handle().spawn(link_task.run()).abort_handle();
        Ok(Link { shared, address, task })
    }

    /// A mesh of 2 to [`MAX_PEERS`] peers with names of their own.
    ///
    /// # Errors
    /// Too many or too few peers, a duplicate name, or an address that could not be bound.
    pub fn mesh(&self, name: &str, peers: &[Peer]) -> io::Result<Mesh> {
        let names: BTreeSet<&str> = peers.iter().map(|peer| peer.name.as_str()).collect();
        if names.len() != peers.len() || !(2..=MAX_PEERS).contains(&peers.len()) {
            let text = format!("a mesh has 2 to {MAX_PEERS} peers, each with a name of its own");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
        }
        let worker = self.worker();
        let _entered = worker.handle().enter();
        let sockets = peers.iter().map(|peer| udp_socket(peer.listen)).collect::<io::Result<Vec<_>>>()?;
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let pair = |low: &str, high: &str| self.core(&format!("{name}/{low}/{high}"), [low, high]);
        let pairs = Arc::new(mesh::Pairs::new(peers, pair));
        self.made().extend(pairs.cores().iter().map(Arc::downgrade));
        let sockets = Arc::new(sockets);
        let link_task = |to| mesh::LinkTask::new(pairs.clone(), sockets.clone(), to);
        let tasks = (0..peers.len()).map(|to| worker.handle().spawn(link_task(to).run()).abort_handle());
        let tasks = tasks.collect();
        Ok(Mesh { pairs, addresses, tasks })
    }

    /// Adds names, or the members of existing groups, to a group.
    pub fn group(&self, group: &str, members: &[&str]) {
        let members = self.expand(members);
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.entry(group.to_owned()).or_default().extend(members);
    }

    /// Sets a fault on all that passes from the first names or groups to the second (forth), the other way
    /// round (back) or both, over links and meshes, whichever end opened. The number of directions it was set on: 0
    /// if no link leads between these.
    ///
    /// # Errors
    /// A value out of its range; nothing was changed.
    pub fn set_between(
        &self, first: &[&str], second: &[&str], direction: Direction, fault: Fault,
    ) -> Result<usize, FaultError> {
        fault.check()?;
        let (first, second) = (self.expand(first), self.expand(second));
        let cores: Vec<Arc<Core>> = self.made().iter().filter_map(Weak::upgrade).collect();
        let mut met = 0;
        for core in cores {
            let [near, far] = &core.ends;
            let along = first.contains(near) && second.contains(far);
            let against = first.contains(far) && second.contains(near);
            let directions = [along.then_some(direction), against.then_some(direction.reversed())];
            let mut ways: Vec<Way> = Vec::new();
            for way in directions.into_iter().flatten().flat_map(Direction::ways) {
                if !ways.contains(way) {
                    ways.push(*way);
                }
            }
            met += ways.len();
            core.set_ways(&ways, fault)?;
        }
        Ok(met)
    }

    /// The tallies of each open link and mesh pair, by its name (`mesh/one/other` for a pair): forth, back.
    pub fn tallies(&self) -> BTreeMap<String, [Tally; 2]> {
        let cores: Vec<Arc<Core>> = self.made().iter().filter_map(Weak::upgrade).collect();
        cores.into_iter().map(|core| (core.name.clone(), core.tallies())).collect()
    }

    /// The directions over which bytes were written while a cut was in force, with their number: the lab's own cut
    /// failed, and what was measured meanwhile is invalid.
    pub fn leaks(&self) -> Vec<(String, Direction, u64)> {
        let sides = |(name, [forth, back]): (String, [Tally; 2])| {
            let back = (name.clone(), Direction::Back, back.passed_bytes_while_cut);
            [(name, Direction::Forth, forth.passed_bytes_while_cut), back]
        };
        self.tallies().into_iter().flat_map(sides).filter(|(_, _, bytes)| *bytes > 0).collect()
    }

    fn core(&self, name: &str, ends: [&str; 2]) -> Core {
        Core::new(self.clock, self.seed, name, ends)
    }

    fn worker(&self) -> &Worker {
        &self.workers[self.turn.fetch_add(1, Relaxed) % self.workers.len()]
    }

    fn made(&self) -> std::sync::MutexGuard<'_, Vec<Weak<Core>>> {
        let mut made = self.made.lock().unwrap_or_else(PoisonError::into_inner);
        made.retain(|core| core.strong_count() > 0);
        made
    }

    fn enlist(&self, shared: &Arc<Shared>) {
        self.made().push(Arc::downgrade(&shared.core));
    }

    /// The given names and the members of those that are groups.
    fn expand(&self, names: &[&str]) -> BTreeSet<String> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let members = |name: &&str| groups.get(*name).cloned().unwrap_or_default();
        let all = names.iter().flat_map(members).chain(names.iter().map(|name| (*name).to_owned()));
        all.collect()
    }
}

fn udp_socket(listen: IpAddr) -> io::Result<UdpSocket> {
    let socket = StdUdpSocket::bind((listen, 0))?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
