//! The public interface of the balancer: configuration, events, actions. It contains no decisions.

use crate::give_up::GiveUpReason;
use shaletide_types::*;

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of proxies that share the traffic, including this one; at least 1.
    pub proxies: u32,
    /// This proxy's index among them: from 0, less than `proxies`.
    pub position: u32,
    /// This proxy's zone.
    pub zone: ZoneId,
    /// The classes of requests, at least one; a [`ClassId`] is an index into them.
    pub classes: Vec<Class>,
    /// The tenants, if any; a [`TenantId`] is an index into them.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request over its tenant's quota, as a fraction of its class's weight, from 0 to 1.
    pub over_quota_weight_fraction: f64,
    /// Weight of the traffic as a whole in the operator's objective, from 0 to 1. Accepted from the configuration file;
    /// no decision uses it yet.
    pub total_objective_weight: f64,
    /// Weight of the worst-served class in the operator's objective, from 0 to 1. Accepted from the configuration file;
    /// no decision uses it yet.
    pub worst_class_objective_weight: f64,
    /// Cost in the objective if every request crossed zones once; at least 0. Zone affinity is on if it is above 0; the
    /// amount itself is not used.
    pub cross_zone_cost: f64,
    /// How the endpoint list is received.
    pub discovery: DiscoveryMode,
    /// The list's weights report load: a weight is the backend's size divided by (1 + its requests in flight on a
    /// core).
    pub weights_report_load: bool,
    /// Weights, live or not, are sizes in thousandths of a standard core: the number of cores times the speed of one.
    /// Live weights are scaled down by the load.
    pub weights_report_cores: bool,
    /// Maximum number of attempts of a request, including the first; at least 1.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel_attempts: bool,
    /// Further attempts may start while earlier ones are in flight, up to `max_attempts`.
    pub hedging: bool,
    /// Minimum time for which a timer is set; above 0.
    pub min_timer_interval: Micros,
    /// Delay with which a timer may fire in normal operation.
    pub timer_lateness: Micros,
    /// Minimum fraction of its capacity that a backend has when it starts, from 0 to 1.
    pub initial_capacity_fraction: f64,
    /// Maximum time that a backend takes to warm up.
    pub slow_start_window: Micros,
    /// Another pool can take requests that this one cannot serve. Where all backends fail alike, all are ejected.
    pub has_failover_pool: bool,
    /// The deduplication domain of all backends that a request can ever reach, if they are all of one domain. Each of
    /// them then discards repeats of requests that another has executed.
    pub only_deduplication_domain: Option<u32>,
    /// A warming backend is overloaded if it is sent more than this multiple of its current capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The window of `overload_multiple`.
    pub overload_window: Micros,
}

impl Config {
    /// Returns a small valid configuration: one zone, three proxies, one class of safe requests.
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
            timer_lateness: Micros(0),
            initial_capacity_fraction: 0.3,
            slow_start_window: Micros(10_000_000),
            has_failover_pool: false,
            only_deduplication_domain: Some(0),
            overload_multiple: 3.0,
            overload_window: Micros(2_000_000),
        }
    }

    /// Checks that every field is in its range.
    ///
    /// # Errors
    /// Returns the first field that is out of its range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let is_fraction = |x: f64| (0.0..=1.0).contains(&x);
        let is_positive = |x: f64| x > 0.0 && x.is_finite();
        let is_amount = |x: f64| x >= 0.0 && x.is_finite();
        let classes = &self.classes;
        // Errors name the settings as operators know them.
        let checks = [
            (self.proxies > 0, "proxies", "at least 1"),
            (self.position < self.proxies, "position", "less than proxies"),
            (!classes.is_empty(), "classes", "at least one class"),
            (classes.iter().all(|c| c.latency_objective.0 > 0), "aim", "a time above 0"),
            (classes.iter().all(|c| c.latency_objective_per_work_hint >= 0.0), "aim_stretch", "at least 0"),
            (classes.iter().all(|c| is_amount(c.priority_weight)), "worth", "a finite number of at least 0"),
            (classes.iter().all(|c| is_fraction(c.late_weight_fraction)), "late_worth", "a part from 0 to 1"),
            (
                self.tenants.iter().all(|t| is_amount(t.quota_per_s)),
                "quota_per_s",
                "a finite rate of at least 0",
            ),
            (is_fraction(self.over_quota_weight_fraction), "over_quota_worth", "a part from 0 to 1"),
            (is_fraction(self.total_objective_weight), "goal_whole", "a part from 0 to 1"),
            (is_fraction(self.worst_class_objective_weight), "goal_worst_class", "a part from 0 to 1"),
            (self.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0"),
            (self.max_attempts > 0, "max_attempts", "at least 1"),
            (self.min_timer_interval.0 > 0, "tick", "a time above 0"),
            (is_fraction(self.initial_capacity_fraction), "cold_from", "a part from 0 to 1"),
            (is_positive(self.overload_multiple), "fall_multiple", "a finite number above 0"),
        ];
        match checks.into_iter().find(|(is_valid, ..)| !is_valid) {
            Some((_, field, expected)) => Err(ConfigError { field, expected }),
            None => Ok(()),
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time has the full priority weight; above 0.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's work hint; at least 0.
    pub latency_objective_per_work_hint: f64,
    /// The effect of a second execution.
    pub idempotency: Idempotency,
    /// Weight of a request in the operator's objective; finite, at least 0.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective has, from 0 to 1.
    pub late_weight_fraction: f64,
}

/// A tenant: a customer with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second that have full priority, over all proxies; finite, at least 0.
    pub quota_per_s: f64,
}

/// How the endpoint list is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive without a poll.
    Push,
    /// Changes arrive after [`Action::Subscribe`]. Even a proxy that does not poll is assumed to know of a change after
    /// this time.
    Subscribe(Micros),
}

/// Why a configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The invalid setting, by the name that operators know.
    pub field: &'static str,
    /// The range of valid values.
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
    /// The request's id.
    pub request: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant, if any.
    pub tenant: Option<TenantId>,
    /// Time from now after which the client gives up.
    pub time_left: Micros,
    /// Expected processing time on a standard core.
    pub work_hint: Option<Micros>,
    /// The client marked the request as a retry.
    pub is_client_retry: bool,
    /// The request can fail over to another pool: see [`Action::FailOver`].
    pub may_fail_over: bool,
}

/// A request that fails over from one pool to the next, with its attempts so far. The balancer that accepts it has to
/// give the final answer. Attempts in flight continue, and their ends are reported as usual.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferredRequest {
    pub(crate) state: crate::request::RequestState,
}

impl TransferredRequest {
    /// Sets whether the request can fail over once more, from the pool that accepts it.
    pub fn with_failover(mut self, may_fail_over: bool) -> TransferredRequest {
        self.state.may_fail_over = may_fail_over;
        self
    }
}

/// Whether a pool can take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolHealth {
    /// There is no backend, or all are draining.
    Empty,
    /// All backends that are ready are ejected, and none is due for a probe.
    AllEjected,
    /// At least one backend is in use or due for a probe.
    Available,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt's dispatch.
    pub latency: Micros,
    /// The request has its final answer already.
    pub request_answered: bool,
}

/// An event that the driver reports, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or the subscription to it was lost.
    EndpointsUpdated {
        /// The kind of update.
        update: EndpointUpdate,
        /// The entries of the update.
        backends: Vec<BackendEntry>,
    },
    /// A client's request arrived: it needs one final answer.
    Request(Arrival),
    /// A request failed over from another pool's balancer: this one has to give its final answer.
    FailedOver(RequestId, Box<TransferredRequest>),
    /// The response of an attempt started to stream to the client: no deadline applies to the request any more.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A backend reported its load.
    LoadReported(BackendId, LoadReport),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected: the request needs no answer.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The pool was closed: a request that cannot be sent at once fails over or is given up.
    PoolClosed,
    /// A timer fired.
    Timer {
        /// The token from [`Action::SetTimer`].
        token: TimerToken,
    },
}

/// An action that the driver has to carry out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt, which may last until the request's deadline.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The backend to send it to.
        backend: BackendId,
        /// The attempt may start only before this time. The engine sets the deadline for its last byte itself.
        start_by: Option<Time>,
    },
    /// Moves the request to the next pool, as this one cannot serve it; the client gets no answer yet. The balancer
    /// drops the request, but still has to be notified of the ends of its attempts.
    FailOver {
        /// The request.
        request: RequestId,
        /// The request's state, for the next pool's balancer.
        transferred: Box<TransferredRequest>,
    },
    /// Gives the request up. The engine answers `Rejected` or `Failed`, depending on what the attempts prove. Unlike
    /// [`Action::Fail`], this balancer expects that a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Time from now after which the client should retry.
        retry_after: Micros,
        /// Why the request is given up; for logs only.
        reason: GiveUpReason,
    },
    /// Gives the request up. The engine answers `Rejected` or `Failed`, depending on what the attempts prove. Unlike
    /// [`Action::Reject`], this balancer expects that the request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
        /// Time from now after which the client should retry, if the engine finds that nothing was executed.
        retry_after: Micros,
        /// Why the request is given up; for logs only.
        reason: GiveUpReason,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Sets a timer that raises an [`Event::Timer`].
    SetTimer {
        /// The token of the event.
        token: TimerToken,
        /// Time from now until the timer fires.
        after: Micros,
    },
    /// Polls discovery for changes from now on.
    Subscribe,
    /// Writes a log line.
    Log(String),
}
