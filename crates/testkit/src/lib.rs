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
mod congestion;
mod cpu_capacity;
mod fault;
mod fleet;
mod ledger;
mod list_server;
mod load;
mod log;
mod message;
mod pacer;
mod processor;
mod proxy;
mod scripted;
mod seeded_rng;
mod service_model;
mod wire;

pub use backend::{ok_reply, BackendEvent, BackendServer, FullBacklogListener, Gate, RefusingPort, Reply};
pub use client::{pay_request, read_request, vote_request, Client};
pub use clock::Clock;
pub use congestion::{CongestionConfig, CongestionModel};
pub use cpu_capacity::CpuCapacity;
pub use fault::{backend_body, Answer, Fault, Sending};
pub use fleet::{BackendHandle, BackendSpec, BackendStats, Fleet, FleetSpec, Service};
pub use ledger::{BackendInfo, Boot, Ended, Ledger, Record, Repeat, MAX_RECORDS};
pub use list_server::{Delivery, Entry, ListServer, ListService, Status, View, MAX_DELIVERIES};
pub use load::{
    measure_sequential, ClassResult, End, Exchange, KeptConnection, Latencies, Load, LoadClass, LoadResult,
    Retry, Sent,
};
pub use log::Log;
pub use message::Message;
pub use pacer::Pacer;
pub use processor::{Completion, Processor};
pub use proxy::{Program, Proxy, Reload, RunningProgram, ServingProgram, SETTINGS};
pub use scripted::{endpoint_json, endpoint_list_json, DiscoveryServer};
pub use seeded_rng::{Distribution, SeededRng};
pub use service_model::{Admission, Demand, ServiceEvent, ServiceModel};

use std::time::Duration;

/// No wait in these tests is meant to last as long: it only ends a test that would hang.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);
