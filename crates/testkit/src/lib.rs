//! What stands around the program in its tests, on loopback: backends, discovery and clients, on ports that
//! the kernel picks.
//!
//! Two sets. For tests that say what happens at each step: [`BackendServer`], [`DiscoveryServer`] and [`Client`],
//! on blocking sockets, scripted by the test. For runs under load: [`Fleet`], [`ListServer`] and [`Load`], which
//! work by themselves, take orders while they run and leave records; [`checks`] holds these against the rules.
//! Between them stands the program, started by [`Program`].
//!
//! For tests, benches and the daemon's `demo` alone: no machine, shell or front may import it. What stands in
//! answers to bytes from the network with bytes or silence and never panics on them; threads and sockets end
//! when their owner is dropped.

mod backend;
pub mod checks;
mod client;
mod clock;
mod crowd;
mod fault;
mod fleet;
mod ledger;
mod listing;
mod load;
mod log;
mod message;
mod pacer;
mod power;
mod processor;
mod proxy;
mod scripted;
mod seeded_rng;
mod station;
mod wire;

pub use backend::{ok, BackendServer, Gate, NeverUp, Refusing, Reply, Seen};
pub use client::{pay, read, vote, Client};
pub use clock::Clock;
pub use crowd::{Crowd, Crowding};
pub use fault::{own_body, Answer, Fault, Sending};
pub use fleet::{BoxHandle, BoxSpec, BoxStats, Fleet, FleetSpec, Service};
pub use ledger::{Boot, BoxInfo, Ended, Ledger, Record, Repeat, MAX_RECORDS};
pub use listing::{Entry, ListServer, ListService, Status, Told, View, MAX_TOLD};
pub use load::{
    sequential, ClassResult, End, Exchange, Kept, Load, LoadClass, LoadResult, Retry, Sent, Spread,
};
pub use log::Log;
pub use message::Message;
pub use pacer::Pacer;
pub use power::Power;
pub use processor::{Finished, Processor};
pub use proxy::{Program, Proxy, Reload, Running, Serving, SETTINGS};
pub use scripted::{entry, list, DiscoveryServer};
pub use seeded_rng::{Law, SeededRng};
pub use station::{Admitted, Demand, Station, Step};

use std::time::Duration;

/// No wait in these tests is meant to last as long: it only ends a test that would hang.
pub const PATIENCE: Duration = Duration::from_secs(20);
