//! Randomized fault soak of the program. It runs real processes on loopback between stand-in clients, backends and a
//! discovery service, injects overlapping faults drawn from a seed, and checks the invariants of routing.
//!
//! - [`plan`] draws the steps of a run from a seed; [`run`] executes them and collects the records of clients,
//!   backends and discovery; [`oracle`] checks the invariants on these records. The plan and the oracle are pure.
//! - [`settings`] draws the settings of the proxies; [`address`] reserves and occupies their addresses.
//! - [`artifacts`] finds the program under test and the preloaded shim; [`control`] sets the system call faults
//!   that the shim injects; [`proxies`] starts processes; [`hangups`] sends SIGHUP and SIGTERM and records the state of the
//!   process; [`clients`] contains clients that disconnect or misbehave.
//!
//! Backends, discovery and the ordinary load come from the testkit, the links between the parts from the lab.
#![forbid(unsafe_code)]

pub mod address;
pub mod artifacts;
pub mod call_faults;
pub mod clients;
pub mod control;
pub mod hangups;
pub mod oracle;
pub mod plan;
pub mod proxies;
pub mod run;
pub mod settings;
