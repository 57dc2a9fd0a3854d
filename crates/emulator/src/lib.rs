//! Emulates a fleet on a virtual clock: hundreds of instances of the production decision modules with the production
//! routing run in one process. The model around them has backends, a list that arrives late, a front that distributes
//! connections unevenly, and clients that retry and give up. The same seed gives the same run, down to every count.
//!
//! The backends are those of `testkit` ([`shaletide_testkit::ServiceModel`]), extended by a lasting slowdown under overload,
//! bounded connections whose set-up costs work, and load reports that lag. This crate takes no routing decisions: the
//! modules do. [`simulation::Policy`] lists what they are compared with.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend;
pub mod invariants;
pub mod scenario;
pub mod simulation;
pub mod statistics;

pub use scenario::Scenario;
pub use simulation::{simulation, Policy};
pub use statistics::Statistics;
