//! The interface between the driver and the record: whether a request's key may be sent, and what happened to requests of
//! recorded classes.

use shaletide_record::{Event, KeyDecision, KeyRequest};
use shaletide_types::Time;

/// The record as the driver sees it. Called with no borrow of the driver's state; may call the driver back.
pub trait RequestRecorder {
    /// Whether requests of that class are recorded. The recorder gets no events of others.
    fn records(&self, class: &str) -> bool;

    /// Decides whether a request's key may be sent, before the engine gets the request.
    fn decide(&self, now: Time, asked: &KeyRequest<'_>) -> KeyDecision;

    /// What happened to a request that may be sent, or to an endpoint list.
    fn on_event(&self, now: Time, event: Event);
}

/// How the record identifies a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestIdentity<'a> {
    /// Its tenant; empty where there is none.
    pub tenant: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its idempotency key, if it has one.
    pub key: Option<&'a [u8]>,
}
