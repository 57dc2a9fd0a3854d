//! Stand-ins for the peers of the program in its tests: backends, discovery and clients on loopback, on ports that the
//! kernel picks.
//!
//! There are two sets. [`BackendServer`], [`DiscoveryServer`] and [`Client`] are for tests that script each step; they use
//! blocking sockets. [`Fleet`], [`ListServer`] and [`Load`] are for runs under load: they work by themselves, take
//! commands while they run and keep records, which [`checks`] compares with the rules. [`Program`] starts the program
//! itself between them.
//!
//! Only tests, benches and the daemon's `demo` may depend on this crate; the engine, the drivers and the HTTP front may
//! not. A stand-in answers bytes from the network with bytes or with silence and never panics on them. Its threads and
//! sockets end when their owner is dropped.

mod backend;
pub mod checks;
mod client;
mod clock;
mod congestion;
mod cpu_capacity;
mod fault;
mod fleet;
mod http_stream;
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

pub use backend::{ok_reply, BackendEvent, BackendServer, FullBacklogListener, Gate, RefusingPort, Reply};
pub use client::{pay_request, read_request, vote_request, Client};
pub use clock::Clock;
pub use congestion::{CongestionConfig, CongestionModel};
pub use cpu_capacity::CpuCapacity;
pub use fault::{backend_body, Answer, Fault, Sending};
pub use fleet::{BackendHandle, BackendSpec, BackendStats, Fleet, FleetSpec, Service};
pub use ledger::{BackendInfo, Boot, Ended, Ledger, Record, Repeat, MAX_RECORDS};
pub use list_server::{Delivery, Entry, ListServer, ListService, SilentCall, Status, View, MAX_DELIVERIES};
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

/// Upper bound of every wait in the kit. It exists only to end a test that would otherwise hang.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);
