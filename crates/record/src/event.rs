//! The recorder's interface: events in, decisions and actions out.

use crate::fact::{BackendSnapshot, Fact};
use crate::row::{ClaimRejection, KeyId, KeyState, Write};
use shaletide_types::{AttemptNumber, Micros, Outcome, RequestId, Time};

/// Names a write to the one who asked for it; they count up, and each is used for one write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Names a command to the one who gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyId(pub u64);

/// A request as a front has read it, before it goes to the engine.
#[derive(Clone, Copy, Debug)]
pub struct KeyRequest<'a> {
    /// Which.
    pub request: RequestId,
    /// The tenant's name; empty where there is none.
    pub tenant: &'a str,
    /// The class's name.
    pub class: &'a str,
    /// Its key, any bytes. An empty one names nothing and counts as none.
    pub key: Option<&'a [u8]>,
    /// When its time is up.
    pub deadline: Time,
}

/// Why a key is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyConflict {
    /// An attempt of it is in flight.
    InFlight,
    /// An attempt of it may have been executed.
    InDoubt,
    /// It was served.
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

/// What a front does with a request, and the status of the response if it does not go to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyDecision {
    /// It goes to the engine; with this for `requires_intent` in its specification.
    Proceed {
        /// Its attempts wait for their intents, and events report the end of each of them and of the request.
        requires_intent: bool,
    },
    /// 503: nothing was sent, and it may come again after this time.
    Reject(Micros),
    /// 409: it is not sent, now or by a retry.
    Conflict(KeyConflict),
    /// 400: its class wants a key.
    KeyRequired,
    /// 400: its key, or its tenant's name, is longer than is kept.
    KeyTooLong,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestEnding {
    /// By the answer to this attempt.
    Served(AttemptNumber),
    /// Rejected: a retry is harmless.
    Rejected,
    /// Failed: nothing is promised.
    Failed,
    /// Its time was up.
    TimedOut,
    /// Its client disconnected; it got no response.
    ClientDisconnected,
}

/// Why a store takes no writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreFailure {
    /// It does not answer in time.
    Slow,
    /// Its file or server is gone.
    Gone,
    /// There is no room.
    Full,
    /// It may not be written.
    ReadOnly,
    /// Another process holds it.
    Locked,
    /// What it holds is no store.
    Corrupt,
    /// Anything else.
    Failed,
}

/// What happened.
///
/// What the shell owes: each [`KeyDecision::Proceed`] ends in one [`Event::RequestEnded`]; each attempt whose intent was
/// persisted in one [`Event::IntentWithdrawn`] or [`Event::AttemptEnded`] (both is harmless), before or after that. Each
/// [`Action::Write`] ends in one [`Event::Committed`], [`Event::ClaimRejected`] or [`Event::WriteFailed`], in the order of
/// tickets; once one has failed, all that were sent behind it fail too, and all of these events come before an
/// [`Event::StoreUp`], which follows each failure. A write that failed may be on record all the same; it comes once more
/// then, and its fact is on record twice.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine asks whether an attempt may be sent; answered by one [`Action::IntentPersisted`] within
    /// [`RecordConfig::intent_timeout`](crate::RecordConfig::intent_timeout), unless it is withdrawn before.
    IntentRequested {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// What was known of its backend.
        seen: BackendSnapshot,
    },
    /// An attempt of a recorded class that needs no intent was sent.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// What was known of its backend.
        seen: BackendSnapshot,
    },
    /// An attempt whose intent was requested was not sent and never will be.
    IntentWithdrawn {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How.
        outcome: Outcome,
    },
    /// A request is over: nothing is owed to its client, and no further attempt begins.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// How.
        ending: RequestEnding,
    },
    /// A write is durable.
    Committed {
        /// Which.
        ticket: Ticket,
        /// The number of its row.
        seq: u64,
    },
    /// A row was not taken though the store is well: nothing of it is on record.
    ClaimRejected {
        /// Which.
        ticket: Ticket,
        /// Why.
        why: ClaimRejection,
    },
    /// A write failed, or its outcome is unknown.
    WriteFailed {
        /// Which.
        ticket: Ticket,
        /// Why.
        why: StoreFailure,
    },
    /// The store takes nothing. When it is tried again is up to the store's writer, which has a backoff of its own.
    StoreDown {
        /// Why.
        why: StoreFailure,
        /// Clients are told to come again after this time; the store may be tried earlier or later.
        retry_after_hint: Micros,
    },
    /// The store takes writes again.
    StoreUp,
    /// An operator says whether the attempt in doubt was executed.
    Resolve {
        /// The operator's command, for the reply.
        reply: ReplyId,
        /// The key.
        key: KeyId,
        /// It was executed.
        ran: bool,
        /// The operator's name.
        by: String,
        /// Why they think so.
        note: String,
    },
    /// A fact that is about no request: a start, a configuration, a list, a correction, a cut.
    RecordFact(Fact),
    /// What a wall clock shows now: facts bear its time. Nothing is decided by it.
    Clock(Time),
    /// The time for which [`crate::Recorder::wake_at`] asked has come.
    Wake,
}

/// The result of a resolution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResolveResult {
    /// It is durable, and the key is free or served accordingly.
    Done,
    /// The key is free or unknown.
    Unknown,
    /// It is in flight: wait for its end.
    InFlight,
    /// It was served.
    Served,
    /// Its last fact or an earlier resolution is not durable yet: try again.
    NotYet,
    /// The store takes nothing: nothing was resolved, or that is not known yet.
    StoreDown,
}

/// What the shell is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a write durable, behind all that were asked for before it.
    Write {
        /// Its name.
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
        /// It may: its intent is durable.
        persisted: bool,
    },
    /// No attempt of this request was sent and none will be: end it at once with this decision.
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
