//! What the proxy knew and did, as facts that are added and never edited; and the decisions that rest on them: which keys
//! are taken, which attempts may have been executed, which are in doubt. No database, no clock, no thread.
//!
//! [`Recorder`] is the state machine, driven by `record-service`; [`Fact`] and [`Row`] are the form of what is stored;
//! [`chain`] is the checksum chain over the rows.
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
