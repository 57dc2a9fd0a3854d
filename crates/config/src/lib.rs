//! Configuration: the operators' file and the platform's settings as typed values, and the names that go with them.
//! Text in; values, or a report of all its problems, out. No files, no environment, no clock.
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

pub use report::{Problem, Report, SHOWN};
