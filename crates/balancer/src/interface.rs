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
    pub over_quota_weight_fraction: f64,
    /// What the operator's goal puts on the whole of the traffic.
    pub total_objective_weight: f64,
    /// What the operator's goal puts on the worst-served class.
    pub worst_class_objective_weight: f64,
    /// What it costs the goal when every request crosses zones once.
    pub cross_zone_cost: f64,
    /// Where the list of backends comes from.
    pub discovery: DiscoveryMode,
    /// The list's weights are live: a backend's size over one and the requests that it holds a core.
    pub weights_report_load: bool,
    /// Weights, live or not, tell sizes in standard cores: how many it has times how fast one is.
    pub weights_report_cores: bool,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel_attempts: bool,
    /// Two attempts of one request may be out at once.
    pub hedging: bool,
    /// The least time between two rounds of events.
    pub min_timer_interval: Micros,
    /// Part of its capacity that a backend has at least when it boots.
    pub initial_capacity_fraction: f64,
    /// A booted backend is warm after this time at most.
    pub slow_start_window: Micros,
    /// Another pool can take what this one cannot: where all of its backends fail alike, all are ejected.
    pub has_failover_pool: bool,
    /// The realm of all backends that a request may ever reach, if it is one: what one of them has done, each drops.
    pub only_deduplication_domain: Option<u32>,
    /// A cold backend sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this time falls over.
    pub overload_window: Micros,
}

impl Config {
    /// A small sound configuration: one zone, three proxies, one class that is free to repeat.
    pub fn example() -> Config {
        Config {
            proxies: 3,
            position: 0,
            zone: ZoneId(0),
            classes: vec![Class {
                latency_objective: Micros(500_000),
                latency_objective_per_work_hint: 0.0,
                idempotency: Idempotency::Safe,
                priority_weight: 1.0,
                late_weight_fraction: 0.0,
            }],
            tenants: Vec::new(),
            over_quota_weight_fraction: 0.1,
            total_objective_weight: 1.0,
            worst_class_objective_weight: 0.0,
            cross_zone_cost: 0.0,
            discovery: DiscoveryMode::Push,
            weights_report_load: false,
            weights_report_cores: false,
            max_attempts: 3,
            may_cancel_attempts: true,
            hedging: true,
            min_timer_interval: Micros(5_000),
            initial_capacity_fraction: 0.3,
            slow_start_window: Micros(10_000_000),
            has_failover_pool: false,
            only_deduplication_domain: Some(0),
            overload_multiple: 3.0,
            overload_window: Micros(2_000_000),
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
            (classes.iter().all(|c| c.latency_objective.0 > 0), "aim", "a time above 0"),
            (classes.iter().all(|c| c.latency_objective_per_work_hint >= 0.0), "aim_stretch", "at least 0"),
            (classes.iter().all(|c| amount(c.priority_weight)), "worth", "a finite number of at least 0"),
            (classes.iter().all(|c| part(c.late_weight_fraction)), "late_worth", "a part from 0 to 1"),
            (
                self.tenants.iter().all(|t| amount(t.quota_per_s)),
                "quota_per_s",
                "a finite rate of at least 0",
            ),
            (part(self.over_quota_weight_fraction), "over_quota_worth", "a part from 0 to 1"),
            (part(self.total_objective_weight), "goal_whole", "a part from 0 to 1"),
            (part(self.worst_class_objective_weight), "goal_worst_class", "a part from 0 to 1"),
            (self.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0"),
            (self.max_attempts > 0, "max_attempts", "at least 1"),
            (self.min_timer_interval.0 > 0, "tick", "a time above 0"),
            (part(self.initial_capacity_fraction), "cold_from", "a part from 0 to 1"),
            (above_zero(self.overload_multiple), "fall_multiple", "a finite number above 0"),
        ];
        let failed = tests.into_iter().find(|t| !t.0);
        failed.map_or(Ok(()), |(_, field, expected)| Err(ConfigError { field, expected }))
    }
}

/// A sort of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the request's work hint.
    pub latency_objective_per_work_hint: f64,
    /// What a second run would do.
    pub idempotency: Idempotency,
    /// What a request is worth.
    pub priority_weight: f64,
    /// The part of the worth left after the aim.
    pub late_weight_fraction: f64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all proxies, that earn full worth.
    pub quota_per_s: f64,
}

/// Where the list of backends comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
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
    pub is_client_retry: bool,
    /// Another pool can be asked where this one can take nothing: see [`Action::FailOver`].
    pub may_fail_over: bool,
}

/// A request that one pool gives up to the next, with all that was tried so far. It is owed its final answer
/// by the module that takes it; attempts that are out go on and end as ever.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferredRequest {
    pub(crate) state: crate::request::RequestState,
}

impl TransferredRequest {
    /// Whether a further pool can be asked after the one that takes it.
    pub fn with_failover(mut self, more: bool) -> TransferredRequest {
        self.state.may_fail_over = more;
        self
    }
}

/// Whether a pool can take a request at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolHealth {
    /// Nothing may be sent to any of its backends: there is none, or all drain.
    Empty,
    /// All that may be sent requests are ejected, and none is due for a trial.
    AllEjected,
    /// Some backend is in use or due for a trial.
    Available,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How.
    pub outcome: Outcome,
    /// Time since the dispatch.
    pub latency: Micros,
    /// The request has had its final answer; the module owes none.
    pub request_answered: bool,
}

/// What the host tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the backend list.
    EndpointsUpdated {
        /// What sort of news.
        update: EndpointUpdate,
        /// The entries.
        backends: Vec<BackendEntry>,
    },
    /// A client's request: it is owed one final answer.
    Request(Arrival),
    /// A request that another pool's module passed on: it is owed its final answer here.
    FailedOver(RequestId, Box<TransferredRequest>),
    /// The answer has begun to stream: the attempt is the client's now and no time-out runs.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// What a backend says of its own load.
    LoadReported(BackendId, LoadReport),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; no answer is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The pool is no more: whatever is held is passed on or given up at once, and so is all that comes.
    Drain,
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
        attempt: AttemptNumber,
        /// Where to.
        backend: BackendId,
        /// The last byte may go out only before then: a repeat would no longer be dropped.
        send_by: Option<Time>,
    },
    /// No answer: this pool can take nothing, and the next is to be asked. The module forgets the request, but
    /// still wants to hear how its attempts end.
    FailOver {
        /// The request.
        request: RequestId,
        /// What the next module has to know of it.
        handover: Box<TransferredRequest>,
    },
    /// Final answer: refused, a retry is harmless.
    Reject {
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
        attempt: AttemptNumber,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// The token it is to carry.
        token: TimerToken,
        /// When, from now.
        after: Micros,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
