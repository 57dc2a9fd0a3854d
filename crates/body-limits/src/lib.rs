//! What may come in at the door, and who has to make room: events and a clock in, words out. No socket, no timer.
//!
//! Who calls it: a front, once for each body that it begins to read, with each part that comes, and when it is over.
#![forbid(unsafe_code)]

mod bodies;
mod rate;

pub use bodies::{BodyAdmission, BodyId, BodyLimits, BodyState};
pub use rate::{MinimumRate, RateTracker};
