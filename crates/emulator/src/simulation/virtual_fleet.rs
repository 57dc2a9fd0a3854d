//! The state of the emulated fleet during a run.

use super::Policy;
use crate::backend::SimulatedBackend;
use crate::invariants::InvariantObserver;
use crate::scenario::Scenario;
use crate::statistics::Statistics;
use shaletide_routing::pools::Event;
use shaletide_routing::Pools;
use shaletide_testkit::SeededRng;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(super) const POOL: PoolId = PoolId(0);
pub(super) const START: Time = Time(1_000_000_000);
/// The time from the beginning of a drain until the backend is gone.
pub(super) const DRAIN_DURATION: Micros = Micros(3_000_000);
/// The time after which a dead proxy restarts.
pub(super) const PROXY_RESTART_DELAY: Micros = Micros(1_000_000);
/// The time after the update that a backend drains or is gone during which new requests may still reach it: the bound of
/// the invariant with an allowance for the delivery.
pub(super) const DRAIN_GRACE: Micros = Micros(2_000_000);
/// The time after the end of the scenario by which all deadlines have passed.
pub(super) const SETTLE_TIME: Micros = Micros(8_000_000);
/// The time from the death of a backend until the list shows it as gone.
pub(super) const DEATH_NOTICE_DELAY: Micros = Micros(1_000_000);
/// The time after which a connection attempt is given up.
pub(super) const CONNECT_TIMEOUT: Micros = Micros(300_000);
/// The maximum delay after the end of a cut until what it held up is sent again, µs.
pub(super) const MAX_RESEND_DELAY_US: f64 = 400_000.0;
/// The maximum time from the use of a connection until its reset by a fault, µs.
pub(super) const MAX_RESET_DELAY_US: f64 = 120_000.0;
/// The maximum Retry-After that a client honours.
pub(super) const MAX_RETRY_AFTER: Micros = Micros(2_000_000);
/// A proxy stops using an idle connection after this fraction of the time after which backends close it.
pub(super) const IDLE_FRACTION: f64 = 0.6;

pub(super) enum SimEvent {
    ClientArrival,
    ClientRetry {
        client: usize,
    },
    Timer {
        proxy: usize,
        epoch: u32,
        token: TimerToken,
    },
    ReachedBackend {
        attempt: usize,
    },
    Wake {
        backend: usize,
    },
    Observe,
    OutcomeArrival {
        attempt: usize,
        outcome: Outcome,
    },
    Deadline {
        id: RequestId,
    },
    /// The present list is sent to the proxy.
    SendList {
        proxy: usize,
    },
    /// A delayed list, as of `as_of`, reaches the proxy.
    ReceiveList {
        proxy: usize,
        epoch: u32,
        as_of: Time,
    },
    /// The list shows a dead backend as gone, unless it has returned.
    MarkGone {
        backend: usize,
    },
    BeginFault {
        fault: usize,
    },
    EndFault {
        fault: usize,
    },
    DrainBackend {
        backend: usize,
    },
    RemoveBackend {
        backend: usize,
    },
    StartProxy {
        proxy: usize,
    },
}

pub(super) struct Client {
    pub(super) arrived_at: Time,
    pub(super) request_class: usize,
    pub(super) tenant: usize,
    pub(super) tries: u32,
    pub(super) proxy: usize,
    pub(super) served: bool,
}

pub(super) struct OpenRequest {
    pub(super) proxy: usize,
    pub(super) client: usize,
    pub(super) arrived_at: Time,
    pub(super) tries: Vec<usize>,
}

pub(super) struct Attempt {
    pub(super) id: RequestId,
    pub(super) attempt_no: AttemptNumber,
    pub(super) proxy: usize,
    pub(super) epoch: u32,
    pub(super) backend: usize,
    /// The epoch of the backend that the connection belongs to; none if no connection is established.
    pub(super) connected: Option<u32>,
    pub(super) sent: Time,
    pub(super) reached_backend: bool,
    pub(super) over: bool,
    /// Whether the outcome proves that the attempt was not executed.
    pub(super) not_executed: bool,
    pub(super) work_ms: f64,
}

pub(super) struct Proxy {
    pub(super) pools: Option<Pools>,
    pub(super) epoch: u32,
    pub(super) zone: ZoneId,
    /// If the proxy is dead, the time from which the front avoids it.
    pub(super) death_noticed_at: Time,
    /// The length of the prefix of the list's log that was delivered, and as of when.
    pub(super) delivered: usize,
    pub(super) delivered_as_of: Time,
    pub(super) idle: BTreeMap<usize, Vec<Time>>,
    pub(super) open: BTreeSet<RequestId>,
    /// When the proxy learned that a backend drains or is gone.
    pub(super) unavailable_since: BTreeMap<usize, Time>,
    /// The ready backends that the proxy knows, and when they booted.
    pub(super) ready: BTreeMap<usize, Option<Time>>,
}

/// Present faults of links and lists.
pub(super) struct Faults {
    pub(super) rng: SeededRng,
    /// The zone that is cut off.
    pub(super) cut: Option<ZoneId>,
    /// Attempts held up until the end of the cut.
    pub(super) stalled: Vec<usize>,
    /// When lists stopped.
    pub(super) stopped: Option<Time>,
    /// The additional delay of lists.
    pub(super) late: Micros,
    /// The fractions of answers that are lost and of connections that are reset.
    pub(super) lost: f64,
    pub(super) reset: f64,
    /// The backends that died with their zone.
    pub(super) dead: Vec<usize>,
}

impl Faults {
    pub(super) fn new(seed: u64) -> Faults {
        let (cut, stopped, late) = (None, None, Micros(0));
        let (stalled, dead) = (Vec::new(), Vec::new());
        Faults {
            rng: SeededRng::named(seed, "faults"),
            cut,
            stalled,
            stopped,
            late,
            lost: 0.0,
            reset: 0.0,
            dead,
        }
    }
}

/// An entry of the list's log.
pub(super) struct ListChange {
    pub(super) at: Time,
    pub(super) backend: usize,
    pub(super) state: BackendState,
    pub(super) booted: Option<Time>,
}

pub(super) struct Fleet<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) policy: Policy,
    pub(super) now: Time,
    pub(super) end: Time,
    pub(super) queue: BTreeMap<(Time, u64), SimEvent>,
    pub(super) event_count: u64,
    pub(super) backends: Vec<SimulatedBackend>,
    /// The time of the next wake-up of each backend.
    pub(super) wakes: Vec<Option<Time>>,
    pub(super) rows: Vec<BackendEntry>,
    pub(super) sizes: Vec<f64>,
    pub(super) log: Vec<ListChange>,
    pub(super) proxies: Vec<Proxy>,
    pub(super) traffic_shares: Vec<f64>,
    pub(super) clients: Vec<Client>,
    pub(super) requests: BTreeMap<RequestId, OpenRequest>,
    pub(super) attempts: Vec<Attempt>,
    /// Attempts that are not over.
    pub(super) in_flight_attempts: BTreeMap<(RequestId, AttemptNumber), usize>,
    pub(super) pending: VecDeque<(usize, Event)>,
    pub(super) rng: SeededRng,
    pub(super) burst: f64,
    pub(super) faults: Faults,
    pub(super) statistics: Statistics,
    pub(super) observer: InvariantObserver,
    pub(super) last_request_id: u64,
}
