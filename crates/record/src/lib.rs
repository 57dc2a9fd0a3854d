//! Append-only facts about what the proxy knew and did, and the decisions derived from them: which keys are taken, which
//! attempts may have been executed, and which are in doubt. This crate does no I/O, reads no clock and starts no thread.
//!
//! [`Recorder`] is the state machine, driven by `record-service`. [`Fact`] and [`Row`] define the stored format, and
//! [`chain`] the checksum chain over the rows.
#![forbid(unsafe_code)]

pub mod chain;
mod config;
mod event;
mod fact;
mod pending_writes;
mod recorder;
mod request;
mod row;
mod served_keys;

pub use config::{Bounds, ClassRule, RecordConfig, WithoutKey};
pub use event::{
    Action, Event, KeyConflict, KeyDecision, KeyRequest, ReplyId, RequestEnding, ResolveResult, StoreFailure,
    Ticket,
};
pub use fact::{BackendSnapshot, Fact, RowSubject};
pub use recorder::Recorder;
pub use row::{Claim, ClaimRejection, KeyId, KeyState, Row, StoredKey, Write};
