//! Generates random deployments from a seed, as site files that the bench runs.
//!
//! - [`cli`]: the command line and its validation
//! - [`rng`]: the seeded generator and its distributions
//! - [`model`]: a site file as typed values
//! - [`draw`]: a site drawn from a generator
//! - [`validate`]: validation of sites, drawn here or read back
//! - [`write`](mod@write): sites as TOML files in a folder
//!
//! The crate uses no other crate of the workspace, and no other crate uses it.

pub mod cli;
pub mod draw;
pub mod model;
pub mod rng;
pub mod validate;
pub mod write;
