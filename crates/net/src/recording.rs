//! The interface between the driver and the record: decisions on idempotency keys, and events of requests of recorded
//! classes.

use shaletide_record::{Event, KeyDecision, KeyRequest};
use shaletide_types::Time;

/// The record's interface to the driver. Its methods are called without a borrow of the driver's state, and may call the
/// driver.
pub trait RequestRecorder {
    /// Whether requests of a class are recorded. The recorder is passed no events of other classes.
    fn records(&self, class: &str) -> bool;

    /// Decides whether a request's key may be sent. Called before the request is passed to the engine.
    fn decide(&self, now: Time, asked: &KeyRequest<'_>) -> KeyDecision;

    /// Handles an event of a request that may be sent, or of an endpoint list.
    fn on_event(&self, now: Time, event: Event);
}

/// The fields by which the record identifies a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestIdentity<'a> {
    /// The tenant; empty if there is none.
    pub tenant: &'a str,
    /// The request class.
    pub class: &'a str,
    /// The idempotency key, if the request has one.
    pub key: Option<&'a [u8]>,
}
