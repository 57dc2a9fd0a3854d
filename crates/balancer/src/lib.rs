//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: a host feeds it [`Event`]s
//! with the time at which they happened and carries out the [`Action`]s it returns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend_stats;
mod balancer;
mod give_up;
mod halb;
mod interface;
mod latency;
mod limits;
mod load_reports;
mod reported_load;
mod request;
mod rng;
mod server_type;
mod statistics;
mod zone_reachability;

pub use balancer::Balancer;
pub use give_up::{GiveUpCounts, GiveUpReason};
pub use halb::halb_shares;
pub use interface::*;
pub use limits::SharedLimits;
pub use shaletide_types::*;

/// The README's example, kept true by the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
