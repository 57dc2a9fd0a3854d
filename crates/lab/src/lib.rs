//! The fleet lab: many real processes of the program on loopback, faults between them, and a measured account of what
//! clients got. For experiments alone: no product crate may import it.
//!
//! An [`experiment`] is read from a file and carried out by [`run`]: [`fleet`] has the processes, [`site`] backends and
//! list service, [`links`] what passes between them, [`front`] and [`clients`] the load. In these, what decides
//! is pure, and what does I/O decides nothing.
//!
//! [`samples`] is the record of a run. [`judge`] checks it against the rules and measures the
//! service; [`report`] shows the verdict; [`compare`] compares runs. These are pure: the same samples give
//! the same verdict, to the last figure.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod builtin_experiments;
pub mod clients;
pub mod compare;
pub mod experiment;
pub mod fleet;
pub mod front;
pub mod judge;
pub mod links;
pub mod paths;
pub mod report;
pub mod run;
pub mod samples;
pub mod site;
pub mod timeline;
