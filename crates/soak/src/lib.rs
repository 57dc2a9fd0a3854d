//! A randomized fault soak of the program: real processes on loopback between stand-in clients, backends and a discovery
//! service, with faults drawn from a seed of which several overlap in time, and the rules of routing as its oracle.
//!
//! - [`plan`] draws from a seed what happens when; [`run`] carries it out and collects what clients, backends and
//!   discovery wrote down; [`oracle`] holds that against the rules. The plan and the oracle are pure.
//! - [`settings`] draws what the proxies are told; [`address`] keeps their addresses, and holds them against them.
//! - [`artifacts`] finds the program under test and the preloaded shim; [`control`] switches the faults of a process's
//!   system calls through it; [`proxies`] starts and ends processes; [`clients`] holds clients that leave or misbehave.
//!
//! Backends, discovery and the ordinary load are those of the testkit, links between the parts those of the lab.
#![forbid(unsafe_code)]

pub mod address;
pub mod artifacts;
pub mod call_faults;
pub mod clients;
pub mod control;
pub mod oracle;
pub mod plan;
pub mod proxies;
pub mod run;
pub mod settings;
