//! Admission of request bodies: which body may be read, which is too slow, and which is evicted to make room for others.
//! Pure: events and times in, decisions out.
//!
//! Called by a front: once for each body that it begins to read, with each part that comes, and when the request has its
//! response.
#![forbid(unsafe_code)]

mod bodies;
mod rate;

pub use bodies::{BodyAdmission, BodyId, BodyLimits, BodyState};
pub use rate::{MinimumRate, RateTracker};
