//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: a host feeds it [`Event`]s
//! with the time at which they happened and carries out the [`Action`]s it returns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod give_up;
mod interface;
mod loads;
mod reach;
mod rules;
mod state;

pub use give_up::{GiveUpCounts, GiveUpReason};
pub use interface::*;
pub use rules::{halb_shares, Balancer};
pub use shaletide_types::*;
pub use state::SharedLimits;

/// The README's example, kept true by the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
