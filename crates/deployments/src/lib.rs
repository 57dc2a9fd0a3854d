//! Random deployments from a seed, as site files that the bench plays.
//!
//! - [`cli`]: the command line and what it must satisfy
//! - [`rng`]: the seeded generator and its distributions
//! - [`model`]: a site file as typed values
//! - [`draw`]: a site drawn from a generator
//! - [`validate`]: what every site satisfies, drawn here or read back
//! - [`write`](mod@write): sites as TOML, files in a folder
//!
//! The crate uses no other crate of the workspace, and is in no program.

pub mod cli;
pub mod draw;
pub mod model;
pub mod rng;
pub mod validate;
pub mod write;
