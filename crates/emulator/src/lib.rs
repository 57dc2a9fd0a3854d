//! A fleet on a virtual clock: hundreds of the real decision modules with the real routing in one process, before
//! modelled backends, a list that comes late, a front that deals connections unevenly, clients that come again and give
//! up. The same seed gives the same run, to the last count.
//!
//! The backends are those of `testkit` ([`shaletide_testkit::ServiceModel`]), here with a crowd that makes them slow for long,
//! connections that are bounded and cost work, and reports of their load that lag. Nothing here decides anything: the
//! modules do, and what they are compared with is in [`simulation::Policy`].
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
