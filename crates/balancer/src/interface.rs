//! The whole interface of the decision module: configuration, events, actions. No decisions here.

use shaletide_types::*;

/// Everything told at start-up.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How many proxies share the traffic, this one included.
    pub proxies: u32,
    /// Which of them this one is, from 0.
    pub position: u32,
    /// The proxy's own zone.
    pub zone: ZoneId,
    /// The sorts of requests.
    pub classes: Vec<Class>,
    /// The customers; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request past its tenant's quota, as a part of its class's worth.
    pub over_quota_worth: f64,
    /// What the operator's goal puts on the whole of the traffic.
    pub goal_whole: f64,
    /// What the operator's goal puts on the worst-served class.
    pub goal_worst_class: f64,
    /// What it costs the goal when every request crosses zones once.
    pub cross_zone_cost: f64,
    /// Where the list of backends comes from.
    pub discovery: Discovery,
    /// The list's weights are live: a backend's size over one and the requests that it holds a core.
    pub live_weights: bool,
    /// Weights, live or not, tell sizes in standard cores: how many it has times how fast one is.
    pub sized: bool,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// The least time between two rounds of events.
    pub tick: Micros,
    /// Part of its capacity that a backend has at least when it boots.
    pub cold_from: f64,
    /// A booted backend is warm after this time at most.
    pub ramp: Micros,
    /// Another pool can take what this one cannot: where all of its backends fail alike, all are ejected.
    pub spare: bool,
    /// The realm of all backends that a request may ever reach, if it is one: what one of them has done, each drops.
    pub only_realm: Option<u32>,
    /// A cold backend sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this time falls over.
    pub fall_window: Micros,
}

impl Config {
    /// A small sound configuration: one zone, three proxies, one class that is free to repeat.
    pub fn example() -> Config {
        Config {
            proxies: 3,
            position: 0,
            zone: ZoneId(0),
            classes: vec![Class {
                aim: Micros(500_000),
                aim_stretch: 0.0,
                effect: Effect::Free,
                worth: 1.0,
                late_worth: 0.0,
            }],
            tenants: Vec::new(),
            over_quota_worth: 0.1,
            goal_whole: 1.0,
            goal_worst_class: 0.0,
            cross_zone_cost: 0.0,
            discovery: Discovery::Push,
            live_weights: false,
            sized: false,
            max_attempts: 3,
            cancel: true,
            second_copies: true,
            tick: Micros(5_000),
            cold_from: 0.3,
            ramp: Micros(10_000_000),
            spare: false,
            only_realm: Some(0),
            fall_multiple: 3.0,
            fall_window: Micros(2_000_000),
        }
    }

    /// The first field that is out of its range, if any.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let part = |x: f64| (0.0..=1.0).contains(&x);
        let above_zero = |x: f64| x > 0.0 && x.is_finite();
        let amount = |x: f64| x >= 0.0 && x.is_finite();
        let classes = &self.classes;
        let tests = [
            (self.proxies > 0, "proxies", "at least 1"),
            (self.position < self.proxies, "position", "less than proxies"),
            (!classes.is_empty(), "classes", "at least one class"),
            (classes.iter().all(|c| c.aim.0 > 0), "aim", "a time above 0"),
            (classes.iter().all(|c| c.aim_stretch >= 0.0), "aim_stretch", "at least 0"),
            (classes.iter().all(|c| amount(c.worth)), "worth", "a finite number of at least 0"),
            (classes.iter().all(|c| part(c.late_worth)), "late_worth", "a part from 0 to 1"),
            (
                self.tenants.iter().all(|t| amount(t.quota_per_s)),
                "quota_per_s",
                "a finite rate of at least 0",
            ),
            (part(self.over_quota_worth), "over_quota_worth", "a part from 0 to 1"),
            (part(self.goal_whole), "goal_whole", "a part from 0 to 1"),
            (part(self.goal_worst_class), "goal_worst_class", "a part from 0 to 1"),
            (self.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0"),
            (self.max_attempts > 0, "max_attempts", "at least 1"),
            (self.tick.0 > 0, "tick", "a time above 0"),
            (part(self.cold_from), "cold_from", "a part from 0 to 1"),
            (above_zero(self.fall_multiple), "fall_multiple", "a finite number above 0"),
        ];
        let failed = tests.into_iter().find(|t| !t.0);
        failed.map_or(Ok(()), |(_, field, expected)| Err(ConfigError { field, expected }))
    }
}

/// A sort of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of the request's work hint.
    pub aim_stretch: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// What a request is worth.
    pub worth: f64,
    /// The part of the worth left after the aim.
    pub late_worth: f64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all proxies, that earn full worth.
    pub quota_per_s: f64,
}

/// Where the list of backends comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Push,
    /// Changes arrive after [`Action::Follow`]; a proxy that does not ask counts as told after this time.
    Subscribe(Micros),
}

/// Why a configuration was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The field at fault.
    pub field: &'static str,
    /// What was expected of it.
    pub expected: &'static str,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

impl std::error::Error for ConfigError {}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its customer, if any.
    pub tenant: Option<TenantId>,
    /// When the client gives up, from now.
    pub time_left: Micros,
    /// The work expected, on a standard core.
    pub work_hint: Option<Micros>,
    /// The client says that it asked before.
    pub repeat: bool,
    /// Another pool can be asked where this one can take nothing: see [`Action::PassOn`].
    pub elsewhere: bool,
}

/// A request that one pool gives up to the next, with all that was tried so far. It is owed its final answer
/// by the module that takes it; attempts that are out go on and end as ever.
#[derive(Clone, Debug, PartialEq)]
pub struct Handover {
    pub(crate) state: crate::state::Request,
}

impl Handover {
    /// Whether a further pool can be asked after the one that takes it.
    pub fn elsewhere(mut self, more: bool) -> Handover {
        self.state.elsewhere = more;
        self
    }
}

/// What one module knows of a backend, on its way to another with the attempts that it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Moved {
    pub(crate) peer: crate::state::Peer,
    pub(crate) attempts: Vec<((RequestId, AttemptNo), crate::state::Flight)>,
}

/// Whether a pool can take a request at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing may be sent to any of its backends: there is none, or all drain.
    Empty,
    /// All that may be sent requests are ejected, and none is due for a trial.
    Ill,
    /// Some backend is in use or due for a trial.
    Able,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// How.
    pub outcome: Outcome,
    /// Time since the dispatch.
    pub latency: Micros,
    /// The request has had its final answer; the module owes none.
    pub settled: bool,
}

/// What the host tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the backend list.
    Members {
        /// What sort of news.
        update: ListUpdate,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A client's request: it is owed one final answer.
    Request(Arrival),
    /// A request that another pool's module passed on: it is owed its final answer here.
    HandedOver(RequestId, Box<Handover>),
    /// The answer has begun to stream: the attempt is the client's now and no time-out runs.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// What a backend says of its own load.
    Reported(BackendId, LoadReport),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; no answer is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// The pool is no more: whatever is held is passed on or given up at once, and so is all that comes.
    Closing,
    /// A timer fell due.
    Timer {
        /// Which.
        token: TimerToken,
    },
}

/// What the module asks of the host, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it may last until the client gives up.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Which of its attempts this is.
        attempt: AttemptNo,
        /// Where to.
        backend: BackendId,
        /// The last byte may go out only before then: a repeat would no longer be dropped.
        send_by: Option<Time>,
    },
    /// No answer: this pool can take nothing, and the next is to be asked. The module forgets the request, but
    /// still wants to hear how its attempts end.
    PassOn {
        /// The request.
        request: RequestId,
        /// What the next module has to know of it.
        handover: Box<Handover>,
    },
    /// Final answer: refused, a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client had better come again, from now.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
        /// When the client had better come again, should it turn out that nothing has run.
        retry_after: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// The token it is to carry.
        token: TimerToken,
        /// When, from now.
        after: Micros,
    },
    /// Ask discovery for changes from now on.
    Follow,
    /// A line for the operators.
    Log(String),
}

/// So much of a key's window is kept for a repeat's way, which counts when its last byte has come: no more than a part of
/// the window, as that may be short.
const REPEAT_MARGIN: Micros = Micros(20_000);
const REPEAT_PART: u64 = 8;

/// Until when the last byte of a repeat may go out after an attempt that was sent at the earliest then.
pub fn repeat_end(window: Micros, sent: Time) -> Time {
    sent + Micros(window.0 - (window.0 / REPEAT_PART).min(REPEAT_MARGIN.0))
}

/// The same after the first of the attempts that may have run or may run yet, each with the time at which it was sent
/// at the earliest. `None` where there is no such attempt.
pub fn repeat_until(window: Micros, sent: impl Iterator<Item = Time>) -> Option<Time> {
    sent.min().map(|first| repeat_end(window, first))
}

/// Whether of two backends, each with its realm, zone and cell, one drops repeats of what the other has seen.
pub fn drops_repeats(scope: KeyScope, seen: (u32, ZoneId, CellId), by: (u32, ZoneId, CellId)) -> bool {
    seen.0 == by.0
        && match scope {
            KeyScope::All => true,
            KeyScope::Zone => seen.1 == by.1,
            KeyScope::Cell => seen.2 == by.2,
        }
}
