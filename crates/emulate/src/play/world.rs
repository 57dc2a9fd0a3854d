//! What the emulated fleet is made of while a day is played.

use super::Who;
use crate::account::Account;
use crate::day::Day;
use crate::rules::Watch;
use crate::site::Site;
use shaletide_base::*;
use shaletide_routing::pools::Event;
use shaletide_routing::Pools;
use shaletide_testkit::Dice;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(super) const POOL: PoolId = PoolId(0);
pub(super) const START: Time = Time(1_000_000_000);
/// A box goes so long after it was told to drain.
pub(super) const DRAINS: Micros = Micros(3_000_000);
/// A dead proxy is back after this.
pub(super) const DOWN: Micros = Micros(1_000_000);
/// Nothing new goes to a box so long after the news that it drains, and a little more for the way of it.
pub(super) const GRACE: Micros = Micros(2_000_000);
/// The last deadlines are over by then.
pub(super) const AFTER: Micros = Micros(8_000_000);
/// A client takes longer advice for this.
pub(super) const MOST_ADVICE: Micros = Micros(2_000_000);
/// A connection is not used any more after this part of the time after which boxes close it.
pub(super) const IDLE_PART: f64 = 0.6;

pub(super) enum Ev {
    Comes,
    Again { client: usize },
    Timer { proxy: usize, life: u32, token: TimerToken },
    AtBox { attempt: usize },
    Wake { site: usize },
    Look,
    Back { attempt: usize, outcome: Outcome },
    Deadline { id: RequestId },
    List { proxy: usize },
    Begins { trouble: usize },
    Ends { trouble: usize },
    Drains { site: usize },
    Goes { site: usize },
    Revives { proxy: usize },
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
    pub(super) no: AttemptNo,
    pub(super) proxy: usize,
    pub(super) life: u32,
    pub(super) site: usize,
    pub(super) sent: Time,
    pub(super) at_box: bool,
    pub(super) over: bool,
    /// Its outcome proves that it did not run.
    pub(super) never_ran: bool,
    pub(super) work_ms: f64,
}

pub(super) struct Proxy {
    pub(super) pools: Option<Pools>,
    pub(super) life: u32,
    pub(super) zone: ZoneId,
    /// How much of the list's log it was told.
    pub(super) told: usize,
    pub(super) idle: BTreeMap<usize, Vec<Time>>,
    pub(super) open: BTreeSet<RequestId>,
    /// When it was told that a box drains or is gone.
    pub(super) drains: BTreeMap<usize, Time>,
    /// The ready ones, for random choice.
    pub(super) ready: BTreeSet<usize>,
}

/// A line of the list's log.
pub(super) struct Line {
    pub(super) at: Time,
    pub(super) site: usize,
    pub(super) state: BackendState,
}

pub(super) struct World<'a> {
    pub(super) day: &'a Day,
    pub(super) who: Who,
    pub(super) now: Time,
    pub(super) end: Time,
    pub(super) queue: BTreeMap<(Time, u64), Ev>,
    pub(super) count: u64,
    pub(super) sites: Vec<Site>,
    /// When each is woken next.
    pub(super) wakes: Vec<Option<Time>>,
    pub(super) rows: Vec<Backend>,
    pub(super) sizes: Vec<f64>,
    pub(super) log: Vec<Line>,
    pub(super) proxies: Vec<Proxy>,
    pub(super) parts: Vec<f64>,
    pub(super) clients: Vec<Client>,
    pub(super) requests: BTreeMap<RequestId, Open>,
    pub(super) attempts: Vec<Attempt>,
    /// Those that are not over.
    pub(super) out: BTreeMap<(RequestId, AttemptNo), usize>,
    pub(super) todo: VecDeque<(usize, Event)>,
    pub(super) dice: Dice,
    pub(super) burst: f64,
    pub(super) account: Account,
    pub(super) watch: Watch,
    pub(super) last: u64,
}
