//! What the emulated fleet is made of while a scenario is played.

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
/// A backend goes so long after it was told to drain.
pub(super) const DRAINS: Micros = Micros(3_000_000);
/// A dead proxy is back after this.
pub(super) const DOWN: Micros = Micros(1_000_000);
/// Nothing new goes to a backend so long after the news that it drains, and a little more for the way of it.
pub(super) const GRACE: Micros = Micros(2_000_000);
/// The last deadlines are over by then.
pub(super) const AFTER: Micros = Micros(8_000_000);
/// The list says that a backend is gone so long after it died.
pub(super) const MISSED: Micros = Micros(1_000_000);
/// A connection that does not come up is given up after this.
pub(super) const CONNECT: Micros = Micros(300_000);
/// What a cut held up is sent again within this time after its end.
pub(super) const SENT_AGAIN: f64 = 400_000.0;
/// A connection that breaks does so within this time of its use.
pub(super) const BREAKS: f64 = 120_000.0;
/// A client takes longer advice for this.
pub(super) const MOST_ADVICE: Micros = Micros(2_000_000);
/// A connection is not used any more after this part of the time after which backends close it.
pub(super) const IDLE_PART: f64 = 0.6;

pub(super) enum Ev {
    Comes,
    Again {
        client: usize,
    },
    Timer {
        proxy: usize,
        life: u32,
        token: TimerToken,
    },
    AtBox {
        attempt: usize,
    },
    Wake {
        backend: usize,
    },
    Look,
    Back {
        attempt: usize,
        outcome: Outcome,
    },
    Deadline {
        id: RequestId,
    },
    /// The list as it is goes out to it.
    List {
        proxy: usize,
    },
    /// It hears of the list as it was then.
    Hears {
        proxy: usize,
        life: u32,
        as_of: Time,
    },
    /// The list says that a dead backend is gone, if it still is.
    Missed {
        backend: usize,
    },
    Begins {
        fault: usize,
    },
    Ends {
        fault: usize,
    },
    Drains {
        backend: usize,
    },
    Goes {
        backend: usize,
    },
    Revives {
        proxy: usize,
    },
}

pub(super) struct Client {
    pub(super) came: Time,
    pub(super) sort: usize,
    pub(super) tenant: usize,
    pub(super) tries: u32,
    pub(super) proxy: usize,
    pub(super) served: bool,
}

pub(super) struct Open {
    pub(super) proxy: usize,
    pub(super) client: usize,
    pub(super) came: Time,
    pub(super) tries: Vec<usize>,
}

pub(super) struct Attempt {
    pub(super) id: RequestId,
    pub(super) no: AttemptNumber,
    pub(super) proxy: usize,
    pub(super) life: u32,
    pub(super) backend: usize,
    /// Its connection belongs to that life of the backend; none where none comes up.
    pub(super) connected: Option<u32>,
    pub(super) sent: Time,
    pub(super) at_box: bool,
    pub(super) over: bool,
    /// Its outcome proves that it did not run.
    pub(super) not_executed: bool,
    pub(super) work_ms: f64,
}

pub(super) struct Proxy {
    pub(super) pools: Option<Pools>,
    pub(super) life: u32,
    pub(super) zone: ZoneId,
    /// Dead: the front passes it over from then on.
    pub(super) noticed: Time,
    /// How much of the list's log it was told, and as of when.
    pub(super) told: usize,
    pub(super) told_as_of: Time,
    pub(super) idle: BTreeMap<usize, Vec<Time>>,
    pub(super) open: BTreeSet<RequestId>,
    /// When it was told that a backend drains or is gone.
    pub(super) drains: BTreeMap<usize, Time>,
    /// The ready ones, and when they booted, as it was told.
    pub(super) ready: BTreeMap<usize, Option<Time>>,
}

/// What is wrong with links and lists now.
pub(super) struct Faults {
    pub(super) rng: SeededRng,
    /// The zone that is cut off.
    pub(super) cut: Option<ZoneId>,
    /// Attempts that wait for the end of the cut.
    pub(super) stalled: Vec<usize>,
    /// Lists stopped then.
    pub(super) stopped: Option<Time>,
    /// Lists come so much later.
    pub(super) late: Micros,
    /// These parts of the answers are lost, and of the connections broken.
    pub(super) lost: f64,
    pub(super) reset: f64,
    /// Backends that are dead.
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

/// A line of the list's log.
pub(super) struct Line {
    pub(super) at: Time,
    pub(super) backend: usize,
    pub(super) state: BackendState,
    pub(super) booted: Option<Time>,
}

pub(super) struct World<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) policy: Policy,
    pub(super) now: Time,
    pub(super) end: Time,
    pub(super) queue: BTreeMap<(Time, u64), Ev>,
    pub(super) count: u64,
    pub(super) backends: Vec<SimulatedBackend>,
    /// When each is woken next.
    pub(super) wakes: Vec<Option<Time>>,
    pub(super) rows: Vec<BackendEntry>,
    pub(super) sizes: Vec<f64>,
    pub(super) log: Vec<Line>,
    pub(super) proxies: Vec<Proxy>,
    pub(super) parts: Vec<f64>,
    pub(super) clients: Vec<Client>,
    pub(super) requests: BTreeMap<RequestId, Open>,
    pub(super) attempts: Vec<Attempt>,
    /// Those that are not over.
    pub(super) out: BTreeMap<(RequestId, AttemptNumber), usize>,
    pub(super) todo: VecDeque<(usize, Event)>,
    pub(super) rng: SeededRng,
    pub(super) burst: f64,
    pub(super) faults: Faults,
    pub(super) statistics: Statistics,
    pub(super) watch: InvariantObserver,
    pub(super) last: u64,
}
