//! The fleet lab: many real processes, faults between them, and a measured account of what clients got.
//!
//! [`samples`] is what a run leaves behind, a line each. [`judge`] holds it against the rules and measures how the
//! service went; [`report`] shows that; [`compare`] sets runs beside each other. These are pure: the same samples give
//! the same verdict, to the last figure.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod compare;
pub mod experiment;
pub mod fleet;
pub mod judge;
pub mod report;
pub mod samples;
pub mod timeline;
