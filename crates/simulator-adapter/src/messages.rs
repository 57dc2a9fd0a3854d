//! The simulator's names: its messages with the number of their values, and the words in them, each under the name that
//! the code has for it. No other module spells them but in what an error expects.

use shaletide_balancer::{BackendState, EndpointUpdate, Outcome};

/// A message of the simulator's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A batch of messages begins, at this time.
    BatchBegins,
    /// The batch has ended: a reply is due.
    BatchEnds,
    /// An endpoint list, for later [`Message::EndpointsUpdated`].
    ListRows,
    /// A new balancer.
    Create,
    /// A balancer has ended.
    Killed,
    EndpointsUpdated,
    Request,
    StreamStarted,
    AttemptEnded,
    ClientDisconnected,
    Timer,
    /// A word of another balancer: ours send none, so that it never comes.
    PeerNote,
    /// The result of a probe: ours send none.
    ProbeEnded,
}

/// Each message under its name on the wire, with the number of values behind the name.
const MESSAGES: [(&str, usize, Message); 13] = [
    ("TICK", 1, Message::BatchBegins),
    ("END", 0, Message::BatchEnds),
    ("SNAPSHOT_ROWS", 2, Message::ListRows),
    ("CREATE", 3, Message::Create),
    ("KILLED", 1, Message::Killed),
    ("VIEW", 4, Message::EndpointsUpdated),
    ("JOB_IN", 8, Message::Request),
    ("ESTABLISHED", 5, Message::StreamStarted),
    ("RETURNED", 8, Message::AttemptEnded),
    ("VANISHED", 2, Message::ClientDisconnected),
    ("TIMEOUT_FIRED", 2, Message::Timer),
    ("MEMO", 3, Message::PeerNote),
    ("STATUS_BACK", 5, Message::ProbeEnded),
];

impl Message {
    /// The message of that name, with the number of its values.
    pub fn named(name: &str) -> Option<(Message, usize)> {
        let entry = MESSAGES.iter().find(|(wire_name, ..)| *wire_name == name);
        entry.map(|(_, arity, message)| (*message, *arity))
    }
}

/// Names of the replies.
pub mod reply {
    pub const BATCH_DONE: &str = "YIELD";
    pub const CANCEL: &str = "RECALL";
    pub const CREATE_FAILED: &str = "BROKEN";
    pub const DISPATCH: &str = "HAND_OFF";
    pub const FAIL: &str = "LOSE";
    pub const LOG: &str = "WRITE_LOG";
    pub const REJECT: &str = "BOUNCE";
    pub const SET_TIMER: &str = "AFTER";
    pub const SUBSCRIBE: &str = "FOLLOW";
}

/// How a list changes what was known before.
pub fn endpoint_update(word: &str) -> Option<EndpointUpdate> {
    match word {
        "incr" => Some(EndpointUpdate::Delta),
        "total" => Some(EndpointUpdate::Snapshot),
        "warm_copy" => Some(EndpointUpdate::Cached),
        "lost" => Some(EndpointUpdate::SubscriptionLost),
        _ => None,
    }
}

/// A backend's state in an entry of a list.
pub fn backend_state(word: &str) -> Option<BackendState> {
    match word {
        "IN" => Some(BackendState::Ready),
        "LAME" => Some(BackendState::Draining),
        "OUT" => Some(BackendState::Gone),
        _ => None,
    }
}

/// How an attempt ended.
pub fn outcome(code: u64) -> Option<Outcome> {
    match code {
        0 => Some(Outcome::Error),
        1 => Some(Outcome::Ok),
        2 => Some(Outcome::Rejected),
        3 => Some(Outcome::TimedOut),
        4 => Some(Outcome::ConnectFailed),
        5 => Some(Outcome::Reset),
        6 => Some(Outcome::Cancelled),
        7 => Some(Outcome::NotSent),
        _ => None,
    }
}

/// The flags of a request.
pub mod request_flags {
    /// Its work hint is to be used.
    pub const HAS_WORK_HINT: u64 = 1;
    /// The client sends it again.
    pub const IS_CLIENT_RETRY: u64 = 2;
}
