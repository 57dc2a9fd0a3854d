//! The names on the simulator's wire: its messages with the number of their values, its replies, and the words in the
//! values, each mapped to the name in this code. Other modules spell them only in the texts of errors.

use shaletide_balancer::{BackendState, EndpointUpdate, Outcome};

/// A message from the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Begins a batch of messages, with its time.
    BatchBegins,
    /// Ends the batch; the replies have to be sent.
    BatchEnds,
    /// Defines an endpoint list, to which later [`Message::EndpointsUpdated`] refer.
    ListRows,
    /// Creates a balancer.
    Create,
    /// Removes a balancer.
    Killed,
    EndpointsUpdated,
    Request,
    StreamStarted,
    AttemptEnded,
    ClientDisconnected,
    Timer,
    /// A note from another balancer. These balancers send none, so that it never arrives.
    PeerNote,
    /// The result of a probe message. These balancers send none, so that it never arrives.
    ProbeEnded,
}

/// Each message with its name on the wire and the number of values after the name.
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
    /// Returns the message with this name on the wire, and the number of its values.
    pub fn named(name: &str) -> Option<(Message, usize)> {
        let entry = MESSAGES.iter().find(|(wire_name, ..)| *wire_name == name);
        entry.map(|(_, arity, message)| (*message, *arity))
    }
}

/// Names of the replies on the wire.
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

/// Returns the kind of an endpoint update.
pub fn endpoint_update(word: &str) -> Option<EndpointUpdate> {
    match word {
        "incr" => Some(EndpointUpdate::Delta),
        "total" => Some(EndpointUpdate::Snapshot),
        "warm_copy" => Some(EndpointUpdate::Cached),
        "lost" => Some(EndpointUpdate::SubscriptionLost),
        _ => None,
    }
}

/// Returns a backend's state from its word in a list entry.
pub fn backend_state(word: &str) -> Option<BackendState> {
    match word {
        "IN" => Some(BackendState::Ready),
        "LAME" => Some(BackendState::Draining),
        "OUT" => Some(BackendState::Gone),
        _ => None,
    }
}

/// Returns the outcome of an attempt from its code.
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

/// Bits of a request's flags.
pub mod request_flags {
    /// The request's work hint is valid.
    pub const HAS_WORK_HINT: u64 = 1;
    /// The request is a retry by the client.
    pub const IS_CLIENT_RETRY: u64 = 2;
}
