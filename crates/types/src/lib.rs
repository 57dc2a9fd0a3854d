//! The types that all crates of shaletide share: time, identifiers, entries of endpoint lists, outcomes of attempts. They
//! are plain values without decisions.

mod backend;
mod error_chain;
mod idempotency;
mod ids;
mod load_report;
mod outcome;
mod time;
mod total_history;

pub use backend::{BackendEntry, BackendState, EndpointUpdate};
pub use error_chain::error_chain;
pub use idempotency::{DeduplicationPlacement, DeduplicationScope, Idempotency};
pub use ids::*;
pub use load_report::LoadReport;
pub use outcome::Outcome;
pub use time::{Micros, Time, MAX_WALL_CLOCK_ERROR};
pub use total_history::TotalHistory;
