//! Every decision of the proxy. Its whole interface (events, actions, settings) is
//! `crates/balancer/src/interface.rs`; what it remembers of backends, kinds, classes and requests is laid out
//! in `crates/balancer/src/state.rs`.
//!
//! Ordinary path: `solve` (shares) turns the arrival rate and the learned speeds into a share per kind (HALB),
//! `draw` picks a kind by share and a backend inside it at random. All else is a departure for trouble, by concern:
//! admission, ejection, retry, slow start. Here are the state, the events and what time alone calls for.

mod admission;
mod draw;
mod ejection;
mod endpoints;
mod retry;
mod shares;
mod slow_start;
mod timers;

pub use shares::halb_shares;

use crate::give_up::{GiveUpCounts, GiveUpReason};
use crate::interface::*;
use crate::loads::Loads;
use crate::reach::Reach;
use crate::state::*;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// The shares are solved this often, s: far faster than the rate's memory.
const SOLVE_EVERY: f64 = 0.1;
/// ... but not before so many requests have come, and a quota holds as many: fewer are chance alone.
const FEW: f64 = 5.0;
/// Where a proxy alone has no room to count, memory of what it holds, s: at most, and in its own requests,
/// where no backend speaks. What hung in a cut is forgotten as soon as others come back.
const CROWD_MEMORY: f64 = 5.0;
const CROWD_SAMPLES: f64 = 150.0;
/// Memory of the arrival rate and of a tenant's quota, s: short beside a ramp or a failure.
const RATE_MEMORY: f64 = 2.0;
/// Samples in a kind's or class's mean: its error is then about a tenth of the spread.
const KIND_SAMPLES: f64 = 100.0;
/// ... and where backends say themselves how long they take: each speaks of many requests.
const TOLD_SAMPLES: f64 = 30.0;
/// Proxies that share a backend, where there are more: each keeps connections to a slice of the fleet
/// only, as a backend takes few and each costs it. The load of so many still evens out, to a fifth of one's.
const SHARED_BY: f64 = 20.0;
/// ... and where backends say what they hold: each proxy has one request there, so the number is a bound
/// on what one holds, kept without a word between proxies and below what makes one slow.
const SHARED_TOLD: f64 = 6.0;
/// Requests that all proxies together hold on one backend: a shared processor at four fifths of its
/// capacity holds four on average; more only makes every one of them later.
const HOLD: f64 = 4.0;
/// ... and this in the mean of all, where they say what they hold: the fullest hold far more than the mean.
const HOLD_ALL: f64 = 2.2;
/// Where they say that they hold little, the own view may be so many times over its limit.
const SLACK: f64 = 4.0;
/// Error share from which a backend is ejected: four errors close together reach it. InvalidResponse answers and
/// broken connections come from all alike, a few in a hundred: two are chance.
const ERROR_LIMIT: f64 = 0.3;
/// Weight of the newest outcome in a backend's error share.
const ERROR_STEP: f64 = 0.1;
/// An attempt this many times older than usual is taken for lost: it holds no room any more. Two of them,
/// with no later answer, mark silence; one may be an answer that never comes.
const SILENT_AFTER: f64 = 8.0;
/// ... or so many times, while most that are as old as this are never answered.
const LOST_AFTER: f64 = 2.5;
/// Attempts of that age that tell whether most are answered.
const OLD_SAMPLES: f64 = 30.0;
/// First term of an ejection, s; it doubles with each failed return, twice at most.
const EJECT_TERM: f64 = 1.0;
/// Good trials before an ejected backend is trusted again.
const TRIALS: u32 = 3;
/// Ejected backends beyond half of the fleet are used after all: then it is not they who are ill.
const PANIC: f64 = 0.5;
/// Part of this proxy's fall budget that it uses: the rest is for skew between proxies and heavy work.
const FALL_MARGIN: f64 = 0.8;
/// Extra attempts for each request: the usual tenth, doubled for the time until a failure is seen, and once
/// more while answers are lost.
const RETRY_RATIO: f64 = 0.2;
/// A request worth less than this part of a first try within quota finds half of the room: the rest is kept.
const LOW: f64 = 0.5;

/// The decisions of one pool. Give it every event in order; it answers with actions.
#[derive(Clone, Debug)]
pub struct Balancer {
    cfg: Config,
    dice: Dice,
    peers: BTreeMap<BackendId, Peer>,
    /// The peers by mark, an order that all proxies share.
    order: Vec<BackendId>,
    kinds: BTreeMap<ServerTypeId, Kind>,
    classes: Vec<ClassState>,
    overall: Mean,
    requests: BTreeMap<RequestId, Request>,
    held: Vec<RequestId>,
    /// First tries worth less than this have found no room since the last event that could make some.
    blocked: f64,
    attempts: BTreeMap<(RequestId, AttemptNumber), Flight>,
    rate: Rate,
    /// Seconds that this proxy's attempts were out, for each second: its own part of all that is held.
    crowd: Rate,
    /// Seconds that its served requests took, for each second: by Little's law its part of what backends hold.
    served: Rate,
    loads: Loads,
    reach: Reach,
    /// The part of the backends in use that it can reach: where a zone is cut off its proxies are too.
    reached: f64,
    /// Attempts that are taken for lost where nothing comes back from.
    lost: u32,
    /// The part of the attempts older than so many usual times that were answered.
    answered: [(f64, Mean); 2],
    /// The error share of the middle one of the backends: what is common to all is no fault of any.
    common: f64,
    solve_at: Time,
    /// When time alone may next call for something, and the timer set for that.
    look_at: Time,
    /// Backends in use; with none, when the first of the ejected is due for a trial, if any is ejected.
    able: u32,
    trial_at: Option<Time>,
    timer: (u64, Time),
    ask: (Option<Time>, f64),
    /// Nothing is held any more.
    closing: bool,
    log_at: Time,
    given_up: GiveUpCounts,
    actions: Vec<Action>,
}

impl Balancer {
    /// A proxy that knows nothing yet but its configuration.
    pub fn new(cfg: Config, seed: u64) -> Result<Balancer, ConfigError> {
        cfg.validate()?;
        Ok(Balancer {
            dice: Dice::new(seed),
            peers: BTreeMap::new(),
            order: Vec::new(),
            kinds: BTreeMap::new(),
            classes: cfg.classes.iter().map(|_| ClassState::default()).collect(),
            overall: Mean::default(),
            requests: BTreeMap::new(),
            held: Vec::new(),
            blocked: 0.0,
            attempts: BTreeMap::new(),
            rate: Rate::new(RATE_MEMORY),
            crowd: Rate::new(CROWD_MEMORY),
            served: Rate::new(CROWD_MEMORY),
            loads: Loads::new(cfg.proxies),
            reach: Reach::default(),
            reached: 1.0,
            lost: 0,
            answered: [LOST_AFTER, SILENT_AFTER].map(|age| (age, Mean { value: 1.0, count: FEW })),
            common: 0.0,
            solve_at: Time(0),
            look_at: Time(0),
            able: 0,
            trial_at: None,
            timer: (0, Time(u64::MAX)),
            ask: ((cfg.discovery != DiscoveryMode::Push).then_some(Time(0)), 0.0),
            closing: false,
            log_at: Time(0),
            given_up: GiveUpCounts::default(),
            actions: Vec::new(),
            cfg,
        })
    }

    /// Requests given up since the last call, by reason.
    pub fn take_give_up_counts(&mut self) -> GiveUpCounts {
        std::mem::take(&mut self.given_up)
    }

    /// Takes one event that happened at `now` and adds the actions it calls for. `shared` is one allowance
    /// of all pools.
    pub fn handle(&mut self, now: Time, event: Event, shared: &mut SharedLimits, actions: &mut Vec<Action>) {
        if !matches!(
            event,
            Event::Request(_) | Event::FailedOver(..) | Event::Timer { .. } | Event::LoadReported(..)
        ) {
            self.blocked = 0.0; // those make no room, and trying a long line in vain costs too much CPU
        }
        let out = self.attempts.len().saturating_sub(self.lost as usize) as f64;
        self.crowd.pass(now, out);
        if now >= self.solve_at
            && (matches!(event, Event::Request(_) | Event::FailedOver(..)) || !self.held.is_empty())
        {
            self.solve(now); // never for an idle proxy: a thousand of them would cost all the CPU there is
        }
        match event {
            Event::EndpointsUpdated { update, backends } => self.members(now, update, backends),
            Event::Request(arrival) => self.request(now, arrival, shared),
            Event::FailedOver(id, handover) => self.take_over(now, id, *handover),
            Event::StreamStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming |= r.sent.get(attempt.0 as usize).is_some_and(|s| s.out);
                }
            }
            Event::LoadReported(backend, report) => {
                let many = self.many();
                if let Some(p) = self.peers.get_mut(&backend).filter(|_| many) {
                    self.loads.reported(now, p, &report);
                }
                return;
            }
            Event::AttemptEnded(end) => self.ended(now, end),
            Event::ClientDisconnected { request } => self.close(request),
            // Where its clients' next requests go is not known here.
            Event::Drain => (self.closing, self.cfg.only_deduplication_domain) = (true, None),
            Event::Timer { token } if token != TimerToken(self.timer.0) => return,
            Event::Timer { .. } => self.timer.1 = Time(u64::MAX),
        }
        if now >= self.look_at {
            self.look_after(now, shared);
        }
        self.pump(now, shared);
        if !self.held.is_empty() {
            self.look_at = self.look_at.min(now + self.cfg.min_timer_interval);
        }
        if self.look_at < self.timer.1 {
            self.timer = (self.timer.0 + 1, self.look_at);
            let after = (self.look_at - now).max(self.cfg.min_timer_interval);
            self.actions.push(Action::SetTimer { token: TimerToken(self.timer.0), after });
        }
        actions.append(&mut self.actions);
    }

    /// So many proxies that one has no room to count at a backend: what the others hold there is to be heard.
    fn many(&self) -> bool {
        f64::from(self.cfg.proxies) > HOLD
    }

    /// Puts another configuration in place. Classes and tenants keep their numbers; new ones may follow them.
    ///
    /// # Errors
    /// The field at fault, where the configuration is unsound or has fewer classes; nothing is changed then.
    pub fn reconfigure(&mut self, cfg: Config) -> Result<(), ConfigError> {
        cfg.validate()?;
        if cfg.classes.len() < self.cfg.classes.len() {
            return Err(ConfigError { field: "classes", expected: "no fewer than before" });
        }
        self.classes.resize_with(cfg.classes.len(), ClassState::default);
        if cfg.proxies != self.cfg.proxies {
            // The part was learned against the other count.
            (self.loads, self.reach) = (Loads::new(cfg.proxies), Reach::default());
        }
        self.cfg = cfg;
        (self.solve_at, self.look_at) = (Time(0), Time(0));
        Ok(())
    }

    /// Gives up all requests that are held to the modules of other pools, one of which can take them now.
    pub fn release_queued(&mut self) -> Vec<(RequestId, TransferredRequest)> {
        let held = std::mem::take(&mut self.held).into_iter();
        held.filter_map(|id| Some((id, TransferredRequest { state: self.requests.remove(&id)? }))).collect()
    }

    /// A request that another module gave up, as it stands.
    fn take_over(&mut self, now: Time, id: RequestId, handover: TransferredRequest) {
        if !self.requests.contains_key(&id) && handover.state.class < self.classes.len() {
            self.rate.add(now, 1.0);
            self.requests.insert(id, handover.state);
            self.held.push(id);
            self.look_at = now;
        }
    }

    fn request(&mut self, now: Time, new: Arrival, shared: &mut SharedLimits) {
        let Some(c) = self.cfg.classes.get(new.class.0) else { return };
        if self.requests.contains_key(&new.request) {
            return;
        }
        self.rate.add(now, 1.0);
        let ratio = RETRY_RATIO * if self.losing().is_some() { 2.0 } else { 1.0 };
        shared.earn(now, ratio, ratio * KIND_SAMPLES, self.cfg.proxies);
        shared.buckets.resize(self.cfg.tenants.len(), Bucket::new(RATE_MEMORY, FEW));
        let tenant = new.tenant.and_then(|t| self.cfg.tenants.get(t.0).zip(shared.buckets.get_mut(t.0)));
        let part = |t: &Tenant| t.quota_per_s / self.loads.fleet();
        let over_quota = tenant.is_some_and(|(t, bucket)| !bucket.take(now, part(t)));
        let aim = c
            .latency_objective
            .0
            .saturating_add(new.work_hint.unwrap_or_default().times(c.latency_objective_per_work_hint).0);
        let (aim, deadline) = (now + Micros(aim).min(new.time_left), now + new.time_left);
        // A client that comes again waited for its first try: what is left to earn is mostly the late worth,
        // and serving it before a new request would make both late, all through a storm of repeats.
        let again = if new.is_client_retry { c.late_weight_fraction } else { 1.0 };
        let value = again * if over_quota { self.cfg.over_quota_weight_fraction } else { 1.0 };
        let (class, came, streaming, sent) = (new.class.0, now, false, Vec::new());
        let elsewhere = new.may_fail_over;
        // Drawn only where it may matter: without reports the dice fall as they always did.
        let luck = if self.loads.mean.is_some() || self.many() && self.cfg.weights_report_load {
            self.dice.unit()
        } else {
            0.0
        };
        let request = Request { class, came, aim, deadline, value, luck, streaming, elsewhere, sent };
        self.requests.insert(new.request, request);
        self.held.push(new.request);
    }

    fn ended(&mut self, now: Time, end: AttemptEnd) {
        let id = end.request;
        // The backend may be another pool's by now, or the request.
        if let Some(Flight { to: backend, class, sent }) = self.attempts.remove(&(id, end.attempt)) {
            self.learn(now, backend, class, sent, &end);
            self.recount_trial(backend);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(s) = r.sent.get_mut(end.attempt.0 as usize) {
            (s.out, s.not_executed) = (false, end.outcome.not_executed());
            s.unsent = end.outcome == Outcome::NotSent;
        }
        if end.request_answered || end.outcome == Outcome::Ok {
            self.close(id);
        } else if !r.out() && !self.held.contains(&id) {
            self.held.push(id); // `pump` sends it again or gives it up
        }
    }

    /// A class's work beside the mean, so far as latency tells it.
    fn work(&self, class: usize) -> f64 {
        self.classes[class].latency.get().map_or(1.0, |own| own / self.overall.value)
    }

    /// A line for the operators, two a second at most.
    fn log(&mut self, now: Time, text: String) {
        if now >= self.log_at {
            self.log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }
}
