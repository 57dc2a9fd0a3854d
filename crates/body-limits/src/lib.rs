//! Admission of request bodies: which body may be read, which is too slow, and which is evicted to free memory for others.
//! There is no I/O and no clock: events and times in, decisions out.
//!
//! A front calls this crate once for each body that it starts to read, for each part that it receives, and when the request
//! has a response.
#![forbid(unsafe_code)]

mod bodies;
mod rate;

pub use bodies::{BodyAdmission, BodyId, BodyLimits, BodyState};
pub use rate::{MinimumRate, RateTracker};
