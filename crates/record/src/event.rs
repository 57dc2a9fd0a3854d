//! The recorder's interface: events in, decisions and actions out.

use crate::fact::{BackendSnapshot, Fact};
use crate::row::{ClaimRejection, KeyId, KeyState, Write};
use shaletide_types::{AttemptNumber, Micros, Outcome, RequestId, Time};

/// Identifies a write in the events that report its result. Tickets ascend, and each is used for one write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies an operator's command, so that the reply can be matched to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyId(pub u64);

/// A request as read by a front, before it is passed to the engine.
#[derive(Clone, Copy, Debug)]
pub struct KeyRequest<'a> {
    /// The request's id.
    pub request: RequestId,
    /// The tenant's name; empty if there is none.
    pub tenant: &'a str,
    /// The class's name.
    pub class: &'a str,
    /// The idempotency key, which may contain any bytes. An empty key counts as none.
    pub key: Option<&'a [u8]>,
    /// The request's deadline.
    pub deadline: Time,
}

/// Why a request with a known key is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyConflict {
    /// An attempt with this key is in flight.
    InFlight,
    /// An attempt with this key may have been executed.
    InDoubt,
    /// The key was served.
    Served,
}

impl From<KeyState> for KeyConflict {
    fn from(state: KeyState) -> KeyConflict {
        match state {
            KeyState::InFlight => KeyConflict::InFlight,
            KeyState::InDoubt => KeyConflict::InDoubt,
            KeyState::Served => KeyConflict::Served,
        }
    }
}

/// Whether a front passes a request to the engine, and the status of the response if it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyDecision {
    /// The request is passed to the engine, with this value for `requires_intent` in its specification.
    Proceed {
        /// The attempts wait for their intents, and events report the end of each attempt and of the request.
        requires_intent: bool,
    },
    /// 503: nothing was sent, and the client may retry after this time.
    Reject(Micros),
    /// 409: the request is not sent, and neither is a retry of it.
    Conflict(KeyConflict),
    /// 400: the class requires a key.
    KeyRequired,
    /// 400: the key or the tenant's name exceeds its maximum length.
    KeyTooLong,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestEnding {
    /// Served by the answer to this attempt.
    Served(AttemptNumber),
    /// Rejected: a retry is harmless.
    Rejected,
    /// Failed: it may have been executed.
    Failed,
    /// The deadline passed.
    TimedOut,
    /// The client disconnected and got no response.
    ClientDisconnected,
}

/// Why a store accepts no writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreFailure {
    /// The store does not answer in time.
    Slow,
    /// The store's file or server is gone.
    Gone,
    /// The store has no space left.
    Full,
    /// The store is read-only.
    ReadOnly,
    /// Another process has locked the store.
    Locked,
    /// The content is not that of a store.
    Corrupt,
    /// Any other failure.
    Failed,
}

/// The input of the recorder.
///
/// The caller guarantees the following:
/// - Each [`KeyDecision::Proceed`] is followed by one [`Event::RequestEnded`].
/// - Each attempt whose intent was persisted is followed by one [`Event::IntentWithdrawn`] or [`Event::AttemptEnded`], before
///   or after the request's end. Both together are harmless.
/// - Each [`Action::Write`] is followed by one [`Event::Committed`], [`Event::ClaimRejected`] or [`Event::WriteFailed`], in
///   the order of tickets.
/// - Once a write has failed, all writes sent after it fail too. An [`Event::StoreUp`] follows each failure, after the events
///   of all these writes.
///
/// A write that failed may be on record all the same. It is sent again nevertheless, so its fact may be on record twice.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine asks whether an attempt may be sent. The answer is one [`Action::IntentPersisted`] within
    /// [`RecordConfig::intent_timeout`](crate::RecordConfig::intent_timeout), unless the intent is withdrawn before.
    IntentRequested {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// What was known of its backend.
        seen: BackendSnapshot,
    },
    /// An attempt of a recorded class that requires no intents was sent.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// What was known of its backend.
        seen: BackendSnapshot,
    },
    /// An attempt whose intent was requested has not been sent and never will be.
    IntentWithdrawn {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// A request has ended: its client gets no further response, and no further attempt begins.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// How the request ended.
        ending: RequestEnding,
    },
    /// A write is durable.
    Committed {
        /// The write.
        ticket: Ticket,
        /// The number of its row.
        seq: u64,
    },
    /// The store works, but rejected a row because of its key: nothing of the row is on record.
    ClaimRejected {
        /// The write.
        ticket: Ticket,
        /// Why the row was rejected.
        why: ClaimRejection,
    },
    /// A write failed, or its outcome is unknown.
    WriteFailed {
        /// The write.
        ticket: Ticket,
        /// Why the write failed.
        why: StoreFailure,
    },
    /// The store accepts no writes. The store's writer decides by its own backoff when it tries the store again.
    StoreDown {
        /// Why the store accepts no writes.
        why: StoreFailure,
        /// The time after which clients are asked to retry. The store may be tried earlier or later.
        retry_after_hint: Micros,
    },
    /// The store accepts writes again.
    StoreUp,
    /// An operator states whether the attempt in doubt was executed.
    Resolve {
        /// The operator's command, for the reply.
        reply: ReplyId,
        /// The key.
        key: KeyId,
        /// Whether the attempt was executed.
        ran: bool,
        /// The operator's name.
        by: String,
        /// The operator's reason.
        note: String,
    },
    /// Records a fact that is about no request: a start, a configuration, a list, a correction, a prune.
    RecordFact(Fact),
    /// The present time of the wall clock, with which facts are stamped. During a run nothing is decided by it.
    Clock(Time),
    /// The time returned by [`crate::Recorder::wake_at`] has come.
    Wake,
}

/// The result of a resolution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResolveResult {
    /// The resolution is durable, and the key is free or served accordingly.
    Done,
    /// The key is free or unknown.
    Unknown,
    /// The key is in flight and can be resolved only after its end.
    InFlight,
    /// The key was served.
    Served,
    /// The key's last fact or an earlier resolution is not durable yet; the operator may retry.
    NotYet,
    /// The store accepts no writes: nothing was resolved, or the result is not known yet.
    StoreDown,
}

/// The output of the recorder, carried out by the caller in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a write durable, after all writes that were requested before it.
    Write {
        /// Identifies the write in the events that report its result.
        ticket: Ticket,
        /// The write.
        write: Box<Write>,
    },
    /// Tell the engine whether an attempt may be sent.
    IntentPersisted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The intent is durable and the attempt may be sent.
        persisted: bool,
    },
    /// End a request at once with this decision. No attempt of it may have been executed, and none will be sent.
    EndRequest {
        /// The request.
        request: RequestId,
        /// [`KeyDecision::Reject`] or [`KeyDecision::Conflict`].
        decision: KeyDecision,
    },
    /// Reply to an operator's resolution.
    Reply {
        /// The operator's command.
        reply: ReplyId,
        /// Its result.
        result: ResolveResult,
    },
}
