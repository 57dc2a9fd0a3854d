//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: its driver passes it [`Event`]s with the time at
//! which they happened and carries out the [`Action`]s that it returns. The same seed, configuration and events always
//! produce the same actions. A process has one balancer for each pool and one [`SharedLimits`] for all of them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod availability;
mod backend_stats;
mod balancer;
mod discovery;
mod give_up;
mod halb;
mod interface;
mod latency;
mod limits;
mod load_reports;
mod outlier;
mod reported_load;
mod request;
mod request_queue;
mod retry;
mod rng;
mod selection;
mod server_type;
mod slow_start;
mod statistics;
mod subset;
mod timer;
mod zone_affinity;
mod zone_reachability;

pub use balancer::{Balancer, MigratedBackend};
pub use give_up::{GiveUpCounts, GiveUpReason};
pub use halb::halb_shares;
pub use interface::*;
pub use limits::SharedLimits;
pub use retry::{first_retry_deadline, retry_deadline};
pub use shaletide_types::*;

/// Runs the README's example as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
