//! Where the driver tells what it does of requests that are on record, and asks whether one may be sent.

use shaletide_record::{Event, KeyDecision, KeyRequest};
use shaletide_types::Time;

/// Whoever keeps the record. Called after the engine's borrow has ended; may call the driver back.
pub trait RequestRecorder {
    /// Anything of that class goes on record; else the record hears nothing of its requests.
    fn records(&self, class: &str) -> bool;

    /// What becomes of a request, before the engine hears of it.
    fn ask(&self, now: Time, asked: &KeyRequest<'_>) -> KeyDecision;

    /// What happened to one that may go.
    fn tell(&self, now: Time, event: Event);
}

/// How a request names itself to the record.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestIdentity<'a> {
    /// Its tenant; empty where there is none.
    pub tenant: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its key, if it has one.
    pub key: Option<&'a [u8]>,
}
