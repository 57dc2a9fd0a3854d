//! Reads the configuration: parses the operators' file and the platform's settings into typed values and names.
//!
//! Each reader takes text and returns either the values or a report of all problems. This crate accesses no files, no
//! environment variables and no clock.
#![forbid(unsafe_code)]

mod diagnostic;
mod diagnostics;
mod document;
pub mod operator;
pub mod platform;
mod report;
pub mod schema;
mod section;
mod source;
mod syntax;
mod values;

pub use report::{Problem, Report, MAX_SHOWN_PROBLEMS};
