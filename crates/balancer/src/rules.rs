//! Every decision of the proxy. Its whole interface (events, actions, settings) is
//! `crates/balancer/src/interface.rs`; what it remembers of backends, kinds, classes and requests is laid out
//! in `crates/balancer/src/state.rs`.
//!
//! Ordinary path: `solve` turns the arrival rate and the learned speeds into a share per kind (HALB),
//! `draw` picks a kind by share and a backend inside it at random. All else is a departure for trouble.

use crate::give_up::{GiveUpCounts, GiveUpReason};
use crate::interface::*;
use crate::loads::Loads;
use crate::reach::Reach;
use crate::state::*;
use shaletide_base::*;
use std::collections::{BTreeMap, BTreeSet};

/// The shares are solved this often, s: far faster than the rate's memory.
const SOLVE_EVERY: f64 = 0.1;
/// ... but not before so many requests have come, and a quota holds as many: fewer are chance alone.
const FEW: f64 = 5.0;
/// Where a proxy alone has no room to count, memory of what it holds, s: at most, and in its own requests,
/// where no box speaks. What hung in a cut is forgotten as soon as others come back.
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
/// Error share from which a backend is ejected: four errors close together reach it. Spoilt answers and
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

/// HALB: the clamped M/G/1/PS optimum. For kinds of (ready count, speed of one backend) and the arrival
/// rate, the part of the traffic for each kind; all zero when nothing is ready.
pub fn halb_shares(kinds: &[(f64, f64)], rate: Option<f64>) -> Vec<f64> {
    let split = |on: &dyn Fn(&(f64, f64)) -> bool| -> Vec<f64> {
        let total: f64 = kinds.iter().filter(|k| on(k)).map(|k| k.0).sum();
        kinds.iter().map(|k| if on(k) && total > 0.0 { k.0 / total } else { 0.0 }).collect()
    };
    let Some(rate) = rate else { return split(&|_| true) }; // no rate yet: by ready counts
    let mut live = kinds.to_vec();
    loop {
        let (roots, speeds) = live.iter().fold((0.0, 0.0), |s, k| (s.0 + k.0 * k.1.sqrt(), s.1 + k.0 * k.1));
        if rate <= speeds * 1e-6 || speeds <= 0.0 {
            let best = live.iter().filter(|k| k.0 > 0.0).map(|k| k.1).fold(0.0, f64::max);
            return split(&|k| k.1 == best); // the limit: the fastest kind takes all
        }
        let flow = |k: &(f64, f64)| k.0 * k.1 - k.0 * k.1.sqrt() * (speeds - rate) / roots;
        let flows: Vec<f64> = live.iter().map(flow).collect();
        if flows.iter().all(|f| *f >= 0.0) {
            return flows.iter().map(|f| f / rate).collect();
        }
        live.iter_mut().zip(&flows).filter(|(_, f)| **f <= 0.0).for_each(|(k, _)| k.0 = 0.0);
    }
}

/// What `draw` finds.
enum Drawn {
    One(BackendId),
    /// Some are in use that it may go to, but none has room.
    NoRoom,
    /// All that it may go to are out of use.
    AllIll,
    /// None is left that it may go to: it was at all of them, or there is none.
    NoneLeft,
}

/// The part of its capacity that a backend has at least.
fn warmth(cfg: &Config, now: Time, entry: &Backend) -> f64 {
    let age = entry.booted.map_or(f64::MAX, |boot| (now - boot).secs() / cfg.ramp.secs().max(1e-6));
    cfg.cold_from + (1.0 - cfg.cold_from) * age.min(1.0)
}

/// The decisions of one pool. Give it every event in order; it answers with actions.
#[derive(Clone, Debug)]
pub struct Balancer {
    cfg: Config,
    dice: Dice,
    peers: BTreeMap<BackendId, Peer>,
    /// The peers by mark, an order that all proxies share.
    order: Vec<BackendId>,
    kinds: BTreeMap<KindId, Kind>,
    classes: Vec<ClassState>,
    overall: Mean,
    requests: BTreeMap<RequestId, Request>,
    held: Vec<RequestId>,
    /// First tries worth less than this have found no room since the last event that could make some.
    blocked: f64,
    attempts: BTreeMap<(RequestId, AttemptNo), Flight>,
    rate: Rate,
    /// Seconds that this proxy's attempts were out, for each second: its own part of all that is held.
    crowd: Rate,
    /// Seconds that its served requests took, for each second: by Little's law its part of what boxes hold.
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
            ask: ((cfg.discovery != Discovery::Push).then_some(Time(0)), 0.0),
            closing: false,
            log_at: Time(0),
            given_up: GiveUpCounts::default(),
            actions: Vec::new(),
            cfg,
        })
    }

    /// Requests given up since the last call, by reason.
    pub fn take_given_up(&mut self) -> GiveUpCounts {
        std::mem::take(&mut self.given_up)
    }

    /// Takes one event that happened at `now` and adds the actions it calls for. `shared` is one allowance
    /// of all pools.
    pub fn handle(&mut self, now: Time, event: Event, shared: &mut Allowance, actions: &mut Vec<Action>) {
        if !matches!(
            event,
            Event::Request(_) | Event::HandedOver(..) | Event::Timer { .. } | Event::Reported(..)
        ) {
            self.blocked = 0.0; // those make no room, and trying a long line in vain costs too much CPU
        }
        let out = self.attempts.len().saturating_sub(self.lost as usize) as f64;
        self.crowd.pass(now, out);
        if now >= self.solve_at
            && (matches!(event, Event::Request(_) | Event::HandedOver(..)) || !self.held.is_empty())
        {
            self.solve(now); // never for an idle proxy: a thousand of them would cost all the CPU there is
        }
        match event {
            Event::Members { update, backends } => self.members(now, update, backends),
            Event::Request(arrival) => self.request(now, arrival, shared),
            Event::HandedOver(id, handover) => self.take_over(now, id, *handover),
            Event::StreamStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming |= r.sent.get(attempt.0 as usize).is_some_and(|s| s.out);
                }
            }
            Event::Reported(backend, report) => {
                let many = self.many();
                if let Some(p) = self.peers.get_mut(&backend).filter(|_| many) {
                    self.loads.reported(now, p, &report);
                }
                return;
            }
            Event::AttemptEnded(end) => self.ended(now, end),
            Event::ClientGone { request } => self.close(request),
            // Where its clients' next requests go is not known here.
            Event::Closing => (self.closing, self.cfg.only_realm) = (true, None),
            Event::Timer { token } if token != TimerToken(self.timer.0) => return,
            Event::Timer { .. } => self.timer.1 = Time(u64::MAX),
        }
        if now >= self.look_at {
            self.look_after(now, shared);
        }
        self.pump(now, shared);
        if !self.held.is_empty() {
            self.look_at = self.look_at.min(now + self.cfg.tick);
        }
        if self.look_at < self.timer.1 {
            self.timer = (self.timer.0 + 1, self.look_at);
            let after = (self.look_at - now).max(self.cfg.tick);
            self.actions.push(Action::SetTimer { token: TimerToken(self.timer.0), after });
        }
        actions.append(&mut self.actions);
    }

    /// So many proxies that one has no room to count at a backend: what the others hold there is to be heard.
    fn many(&self) -> bool {
        f64::from(self.cfg.proxies) > HOLD
    }

    fn members(&mut self, now: Time, update: ListUpdate, list: Vec<Backend>) {
        match (update, self.cfg.discovery) {
            // A lost subscription is asked for again, later each time and not in step with others.
            (ListUpdate::Lost, Discovery::Subscribe(within)) => {
                let wait = (self.ask.1 * 2.0).clamp(0.1, (within.secs() / 8.0).max(0.1));
                self.ask = (Some(now + Micros::from_secs(wait * (0.5 + self.dice.unit()))), wait);
                self.log(now, "discovery lost, asking again".into());
            }
            (ListUpdate::Changes | ListUpdate::Full, _) => self.ask = (None, 0.0),
            _ => {}
        }
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            let listed: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
            let absent = |p: &&mut Peer| !listed.contains(&p.entry.id);
            self.peers.values_mut().filter(absent).for_each(|p| p.entry.state = BackendState::Gone);
        }
        let weighs = self.cfg.live_weights && self.many();
        for entry in list {
            let p = self.peers.entry(entry.id).or_default();
            if p.entry.booted != entry.booted {
                // A restarted process has nothing in common with the old one but its address.
                *p = Peer { out: p.out, spent: std::mem::take(&mut p.spent), ..Peer::default() };
            }
            p.entry = entry;
            if weighs {
                self.loads.weighed(now, p);
            }
            let sized = self.cfg.sized.then(|| self.kinds.entry(p.entry.kind).or_default().sized(&p.entry));
            p.entry.cores = p.entry.cores.max(sized.unwrap_or(1)); // which the list itself may not know
        }
        self.peers.retain(|_, p| p.entry.state != BackendState::Gone || p.out > 0);
        self.order = self.peers.keys().copied().collect();
        self.order.sort_by_key(|id| self.peers[id].entry.mark);
        self.recount();
        (self.solve_at, self.look_at) = (now, now);
    }

    /// Gives a backend away to the module of another pool, with the attempts that it holds. The news of the
    /// list has to follow, as with `put_in`: by that the order is made anew, once for all that move.
    pub fn take_out(&mut self, id: BackendId) -> Option<Moved> {
        let peer = self.peers.remove(&id)?;
        let mut attempts = Vec::new();
        if peer.out > 0 {
            attempts.extend(self.attempts.iter().filter(|(_, a)| a.to == id).map(|(key, a)| (*key, *a)));
            self.attempts.retain(|_, a| a.to != id);
        }
        self.recount_moved(&peer, -1);
        self.solve_at = Time(0);
        Some(Moved { peer, attempts })
    }

    /// Takes in a backend that the module of another pool gave away.
    pub fn put_in(&mut self, moved: Moved) {
        self.attempts.extend(moved.attempts);
        self.recount_moved(&moved.peer, 1);
        self.peers.insert(moved.peer.entry.id, moved.peer);
        self.solve_at = Time(0);
    }

    /// As `recount`, for one more or less: thousands may move at once.
    fn recount_moved(&mut self, peer: &Peer, by: i32) {
        match (peer.entry.state, peer.ejected) {
            (BackendState::Ready, None) => self.able = self.able.saturating_add_signed(by),
            (BackendState::Ready, Some(_)) if by < 0 => self.recount(),
            (BackendState::Ready, Some(until)) => {
                let at = if peer.out > 0 { Time(u64::MAX) } else { until };
                self.trial_at = Some(self.trial_at.map_or(at, |first| first.min(at)));
            }
            _ => {}
        }
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

    /// Whether anything can be sent anywhere here.
    pub fn standing(&self, now: Time) -> Standing {
        match self.trial_at {
            _ if self.able > 0 => Standing::Able,
            Some(at) if now >= at => Standing::Able,
            Some(_) => Standing::Ill,
            None => Standing::Empty,
        }
    }

    /// Gives up all requests that are held to the modules of other pools, one of which can take them now.
    pub fn release(&mut self) -> Vec<(RequestId, Handover)> {
        let held = std::mem::take(&mut self.held).into_iter();
        held.filter_map(|id| Some((id, Handover { state: self.requests.remove(&id)? }))).collect()
    }

    /// Counts anew what `standing` tells; called at each change to it.
    fn recount(&mut self) {
        let ready = self.peers.values().filter(|p| p.entry.state == BackendState::Ready);
        (self.able, self.trial_at) = (0, None);
        for p in ready {
            match p.ejected {
                None => self.able += 1,
                // One on trial already is due for the next when that has ended.
                Some(until) => {
                    let at = if p.out > 0 { Time(u64::MAX) } else { until };
                    self.trial_at = Some(self.trial_at.map_or(at, |first| first.min(at)));
                }
            }
        }
    }

    /// A request that another module gave up, as it stands.
    fn take_over(&mut self, now: Time, id: RequestId, handover: Handover) {
        if !self.requests.contains_key(&id) && handover.state.class < self.classes.len() {
            self.rate.add(now, 1.0);
            self.requests.insert(id, handover.state);
            self.held.push(id);
            self.look_at = now;
        }
    }

    fn request(&mut self, now: Time, new: Arrival, shared: &mut Allowance) {
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
        let aim = c.aim.0.saturating_add(new.work_hint.unwrap_or_default().times(c.aim_stretch).0);
        let (aim, deadline) = (now + Micros(aim).min(new.time_left), now + new.time_left);
        // A client that comes again waited for its first try: what is left to earn is mostly the late worth,
        // and serving it before a new request would make both late, all through a storm of repeats.
        let again = if new.repeat { c.late_worth } else { 1.0 };
        let value = again * if over_quota { self.cfg.over_quota_worth } else { 1.0 };
        let (class, came, streaming, sent) = (new.class.0, now, false, Vec::new());
        let elsewhere = new.elsewhere;
        // Drawn only where it may matter: without reports the dice fall as they always did.
        let luck = if self.loads.mean.is_some() || self.many() && self.cfg.live_weights {
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
            (s.out, s.never_ran) = (false, end.outcome.never_ran());
            s.unsent = end.outcome == Outcome::NeverSent;
        }
        if end.settled || end.outcome == Outcome::Ok {
            self.close(id);
        } else if !r.out() && !self.held.contains(&id) {
            self.held.push(id); // `pump` sends it again or gives it up
        }
    }

    /// Where one on trial has ended, the next may be due.
    fn recount_trial(&mut self, id: BackendId) {
        if self.able == 0 || self.peers.get(&id).is_some_and(|p| p.ejected.is_some()) {
            self.recount();
        }
    }

    /// What an outcome says of the backend, its kind and its class.
    fn learn(&mut self, now: Time, id: BackendId, class: usize, sent: Time, end: &AttemptEnd) {
        let (usual, quiet) = (self.usual(class), self.quiet(class));
        let silent = usual.times(SILENT_AFTER);
        for (age, answered) in &mut self.answered {
            match end.outcome {
                _ if now < sent + usual.times(*age) => {}
                Outcome::Ok | Outcome::Error => answered.add(1.0, OLD_SAMPLES),
                Outcome::TimedOut | Outcome::Cancelled => answered.add(0.0, OLD_SAMPLES),
                _ => {}
            }
        }
        let many = self.many();
        let Some(p) = self.peers.get_mut(&id) else { return };
        let word = matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        let silence = match end.outcome {
            Outcome::ConnectFailed => true,
            Outcome::TimedOut | Outcome::Cancelled => now >= sent + silent && p.answered <= sent,
            _ => false,
        };
        if many && (word || silence) && self.reach.ended(now, self.cfg.zone, &p.entry, silence) {
            (self.solve_at, self.look_at) = (now, now);
        }
        p.out = p.out.saturating_sub(1);
        p.lost = p.lost.saturating_sub(u32::from(now >= sent + quiet));
        match end.outcome {
            Outcome::Ok => {
                // Served requests only: errors, time-outs and refusals stay out of the speeds.
                let secs = end.latency.secs().max(1e-6);
                self.served.add(now, secs);
                self.classes[class].latency.add(secs, KIND_SAMPLES);
                self.overall.add(secs, KIND_SAMPLES);
                let plain = secs * self.overall.value / self.classes[class].latency.value;
                let kind = self.kinds.entry(p.entry.kind).or_default();
                // A backend's own mean is over many more than this proxy's.
                let (secs, cap) =
                    p.told.latency(now).map_or((plain, KIND_SAMPLES), |own| (own, TOLD_SAMPLES));
                kind.latency.add(secs, cap);
                // Of the same answers: a kind that gets less is not taken for as slow as it was before.
                kind.flow.add(kind.comes, cap);
                (p.answered, p.errors) = (now, p.errors * (1.0 - ERROR_STEP));
                let part = p.part(class);
                (part.answered, part.errors) = (now, part.errors * (1.0 - ERROR_STEP));
                (part.fulls, part.strikes) = (0, 0);
                p.trials += 1;
                if p.ejected.is_none() {
                    p.strikes = 0;
                } else if p.trials >= TRIALS {
                    (p.ejected, p.errors) = (None, 0.0);
                    p.parts.clear();
                    self.recount();
                    self.log(now, format!("backend {} is back", id.0));
                }
            }
            // A full backend answers, and is left alone until it may have finished one, twice as long each
            // time that it is still full: busy is not ill. It may hold back one class only.
            Outcome::Full => {
                let part = p.part(class);
                let wait = usual.times(f64::from(part.fulls.min(4)).exp2()).secs().min(EJECT_TERM / 2.0);
                (part.full_until, part.fulls) = (now + Micros::from_secs(wait), part.fulls + 1);
            }
            // Given up after a long silence, and it is not the only one, or another pool can do without it.
            Outcome::Cancelled if now >= sent + silent && p.answered <= sent => {
                if p.unheard > 1 || self.cfg.spare {
                    self.eject(now, id, end.outcome);
                }
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.part(class).answered >= sent => {}
            Outcome::TimedOut if p.answered < sent => self.eject(now, id, end.outcome),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                let bump = |errors: &mut f64| *errors += (1.0 - *errors) * ERROR_STEP;
                bump(&mut p.errors);
                bump(&mut p.part(class).errors);
                if end.outcome == Outcome::Error {
                    (p.answered, p.part(class).answered) = (now, now);
                }
                let limit = ERROR_LIMIT + 2.0 * self.common;
                // Where another class was served just now, it is this one only.
                let good = |p: &Part| {
                    p.errors < ERROR_STEP / 2.0 && now < p.answered + Micros::from_secs(EJECT_TERM)
                };
                let all_ill = p.errors > limit && !p.parts.iter().any(good);
                if p.ejected.is_some() || all_ill {
                    self.eject(now, id, end.outcome);
                } else if p.part(class).errors > limit {
                    self.shun(now, id, class);
                }
            }
        }
    }

    /// It fails at one class: the others go on there.
    fn shun(&mut self, now: Time, id: BackendId, class: usize) {
        let Some(p) = self.peers.get_mut(&id) else { return };
        let part = p.part(class);
        if now >= part.shunned {
            let term = EJECT_TERM * f64::from(part.strikes.min(2)).exp2();
            (part.shunned, part.strikes) = (now + Micros::from_secs(term), part.strikes + 1);
            self.log(now, format!("backend {} gets none of class {class}", id.0));
        }
    }

    fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = EJECT_TERM * (0.75 + 0.5 * self.dice.unit());
        let Some(p) = self.peers.get_mut(&id) else { return };
        if p.ejected.is_none_or(|until| now >= until) {
            p.ejected = Some(now + Micros::from_secs(term * f64::from(p.strikes.min(2)).exp2()));
            (p.strikes, p.trials, p.ready) = (p.strikes + 1, 0, 0.0);
            self.look_at = now;
            self.recount();
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }

    /// What time alone brings about, and when to look again.
    fn look_after(&mut self, now: Time, shared: &Allowance) {
        let mut next = now + Micros::from_secs(CROWD_MEMORY); // nothing else may be due
        if let (Some(at), Discovery::Subscribe(within)) = (self.ask.0, self.cfg.discovery) {
            if now >= at {
                self.ask.0 = Some(now + within.times(0.5)); // unanswered so long, the call itself was lost
                self.actions.push(Action::Follow);
            }
        }
        next = self.ask.0.map_or(next, |at| next.min(at));
        for p in self.peers.values_mut() {
            (p.lost, p.unheard) = (0, 0);
            p.parts.iter_mut().for_each(|part| part.unheard = 0);
        }
        self.lost = 0;
        for &Flight { to: backend, class, sent } in self.attempts.values() {
            let (lost, silent) = (sent + self.quiet(class), sent + self.usual(class).times(SILENT_AFTER));
            next = [lost, silent].into_iter().filter(|at| *at > now).fold(next, Time::min);
            let Some(p) = self.peers.get_mut(&backend) else { continue };
            self.lost += u32::from(now >= lost && self.reach.cut(now, p.entry.zone));
            p.lost += u32::from(now >= lost);
            p.unheard += u32::from(now >= silent && p.answered <= sent);
            let part = p.part(class);
            part.unheard += u32::from(now >= silent && part.answered <= sent);
        }
        let losing = self.losing().is_some();
        let mut over = Vec::new();
        for (&id, r) in self.requests.iter().filter(|(_, r)| !r.streaming) {
            let usual = self.usual(r.class);
            // A client whose request nobody has seen is told before half of its time is over.
            let unseen = r.sent.iter().all(|s| s.never_ran);
            let late_pays = self.cfg.classes[r.class].late_worth > 0.0 && !unseen;
            let half = r.came + (r.deadline - r.came).times(0.5) + usual - self.cfg.tick;
            let last_start = if late_pays { r.deadline } else { r.aim.min(half) };
            let old = |s: &Sent| losing && now >= s.at + self.quiet(r.class);
            let ill = |s: &Sent| self.peers.get(&s.to.id).is_none_or(|p| p.ejected.is_some());
            let lost = |s: &Sent| s.out && (ill(s) || old(s));
            let lost = r.out() && r.sent.iter().all(|s| !s.out || lost(s));
            // The deadline's own tick would be too late to answer; a request that was held so long
            // that it cannot make it is refused while that is still harmless.
            let last_start = if r.out() { r.deadline } else { last_start.min(r.deadline) };
            let margin = if r.out() { self.cfg.tick } else { usual.max(self.cfg.tick) };
            if now + margin >= last_start {
                over.push(id);
            } else if lost
                && (now + usual < r.aim || late_pays && now + usual < r.deadline)
                && shared.extra >= 1.0
            {
                // Age alone is a reason only where answers are lost: copies of merely heavy requests crowd
                // every backend.
                if self.cfg.second_copies {
                    if self.may_send(now, r) && !self.held.contains(&id) {
                        self.held.push(id);
                    }
                } else if self.cfg.cancel && self.cfg.classes[r.class].effect != Effect::Unsafe {
                    // Where no copy may run beside it, it is called back to make way for the next.
                    self.actions
                        .push(Action::Cancel { request: id, attempt: AttemptNo(r.sent.len() as u32 - 1) });
                }
            }
            next = next.min(last_start - margin);
        }
        self.look_at = next.max(now + self.cfg.tick);
        over.into_iter().for_each(|id| self.give_up(now, id, GiveUpReason::OutOfTime));
    }

    /// What a served request of the class usually takes; before any was served, a quarter of its aim.
    fn usual(&self, class: usize) -> Micros {
        let known = self.classes[class].latency.get();
        known.map_or(self.cfg.classes[class].aim.times(0.25), Micros::from_secs)
    }

    /// The age, in usual times, from which most attempts are never answered.
    fn losing(&self) -> Option<f64> {
        self.answered.iter().find(|(_, answered)| answered.value < 0.5).map(|(age, _)| *age)
    }

    /// An attempt older than this is taken for lost.
    fn quiet(&self, class: usize) -> Micros {
        self.usual(class).times(self.losing().unwrap_or(SILENT_AFTER))
    }

    /// A class's work beside the mean, so far as latency tells it.
    fn work(&self, class: usize) -> f64 {
        self.classes[class].latency.get().map_or(1.0, |own| own / self.overall.value)
    }

    /// Readiness of every backend, speed and share of every kind.
    fn solve(&mut self, now: Time) {
        let few = FEW / self.rate.per_s().unwrap_or(FEW / SOLVE_EVERY).max(1.0);
        self.solve_at = now + Micros::from_secs(SOLVE_EVERY.max(few));
        self.blocked = 0.0;
        let listed = || self.peers.values().filter(|p| p.entry.state == BackendState::Ready);
        let reached = listed().filter(|p| !self.reach.cut(now, p.entry.zone)).count() as f64;
        let heed = reached > 0.0;
        self.reached = if heed { reached / listed().count() as f64 } else { 1.0 };
        let cut = |zone| heed && self.reach.cut(now, zone);
        let listed = listed().filter(|p| !cut(p.entry.zone));
        let (all, out) = listed.fold((0.0, 0.0), |n, p| (n.0 + 1.0, n.1 + f64::from(p.ejected.is_some())));
        let listed = self.peers.values().filter(|p| p.entry.state == BackendState::Ready);
        let mut errors: Vec<f64> = listed.map(|p| p.errors).collect();
        errors.sort_by(f64::total_cmp);
        // Where they fail for a reason of all, there is nobody better, unless another pool can be asked.
        let middle = errors.get(errors.len().saturating_sub(1) / 2).filter(|_| !self.cfg.spare);
        self.common = middle.copied().unwrap_or(0.0);
        if self.many() {
            self.served.add(now, 0.0);
            self.loads.take_stock(now, self.peers.values(), self.cfg.proxies, self.served.per_s(), HOLD_ALL);
            self.loads.settle(now, &mut self.peers, HOLD_ALL);
        }
        self.kinds.values_mut().for_each(|k| (k.ready, k.cores) = (0.0, 0.0));
        for p in self.peers.values_mut() {
            let k = self.kinds.entry(p.entry.kind).or_default();
            let health = match p.ejected {
                _ if p.entry.state != BackendState::Ready || cut(p.entry.zone) => 0.0,
                Some(_) => f64::from(out > all * PANIC),
                None => 1.0 - p.errors,
            };
            p.ready = health * warmth(&self.cfg, now, &p.entry) * self.loads.ease(now, p);
            k.ready += p.ready;
            k.cores += p.ready * f64::from(p.entry.cores);
        }
        self.rate.add(now, 0.0);
        // What is turned away comes to no backend.
        let carried = self.loads.fleet() * self.reached * self.loads.admitted(false);
        let rate = self.rate.per_s().map(|r| r * carried);
        let told = self.loads.spoken(now);
        let own = CROWD_SAMPLES / self.rate.per_s().unwrap_or(1.0).max(1e-3);
        self.crowd.remember(if told { CROWD_MEMORY } else { own }, CROWD_MEMORY);
        for k in self.kinds.values_mut() {
            let flow = if k.ready > 0.0 { rate.unwrap_or(0.0) * k.share / k.ready } else { 0.0 };
            k.comes = flow;
            let flow = k.flow.get().filter(|_| told).unwrap_or(flow);
            k.speed = k.latency.get().map_or(0.0, |t| 1.0 / t + flow);
        }
        let speeds =
            self.kinds.iter().filter(|(_, k)| k.speed > 0.0).map(|(id, k)| k.speed / self.loads.size(*id));
        let (sum, count) = speeds.fold((0.0, 0.0), |n, s| (n.0 + s, n.1 + 1.0));
        // Kinds without data: as fast as the others, or as the list's sizes have it.
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        let unknown = self.kinds.iter_mut().filter(|(_, k)| k.speed == 0.0);
        unknown.for_each(|(id, k)| k.speed = mean * self.loads.size(*id));
        let table: Vec<(f64, f64)> = self.kinds.values().map(|k| (k.ready, k.speed)).collect();
        // Without data there is no rate to go by but the most that they can take: by size, then, as by count.
        let most = table.iter().map(|k| k.0 * k.1).sum::<f64>();
        let rate = if count > 0.0 { rate } else { self.loads.sized().then_some(most) };
        let shares = halb_shares(&table, rate);
        self.kinds.values_mut().zip(shares).for_each(|(k, share)| k.share = share);
        self.allot(now);
    }

    /// Each backend's part of this proxy's traffic: its kind's share by readiness. Where crossing zones costs
    /// traffic stays near so far as all proxies together still give every backend the same part: a zone
    /// whose backends are due less than its proxies bring sends its surplus to the zones due more.
    fn allot(&mut self, now: Time) {
        let fleet = self.loads.fleet();
        let part = |kinds: &BTreeMap<KindId, Kind>, p: &Peer| {
            kinds.get(&p.entry.kind).map_or(0.0, |k| k.share * p.ready / k.ready.max(1e-9))
        };
        let mut due: BTreeMap<ZoneId, f64> = BTreeMap::new();
        let ready = self.peers.values().filter(|p| p.ready > 0.0);
        ready.for_each(|p| *due.entry(p.entry.zone).or_default() += part(&self.kinds, p));
        let zones = due.len() as f64;
        let rich: f64 = due.values().map(|d| (d * zones - 1.0).max(0.0)).sum();
        let own = due.get(&self.cfg.zone).copied().unwrap_or(0.0);
        self.kinds.values_mut().for_each(|k| (k.pull, k.walked, k.count) = (0.0, 0.0, 0.0));
        // Where lists weigh, news is on its way from the start: a zone's clients alone would fill its boxes.
        let told = self.loads.spoken(now) || self.many() && self.cfg.live_weights;
        let mut reached = 0.0;
        for p in self.peers.values_mut() {
            let here = due.get(&p.entry.zone).map_or(0.0, |d| d.max(1e-9));
            let far = (1.0 - own * zones).max(0.0) * (here * zones - 1.0).max(0.0) / rich.max(1e-9);
            let near = if p.entry.zone == self.cfg.zone { (own * zones).min(1.0) } else { far };
            let bias = if !told && self.cfg.cross_zone_cost > 0.0 && here > 0.0 { near / here } else { 1.0 };
            // Half of the room for all goes by that part, half evenly; each has a room of one at least, as
            // more proxies than the hold would wait for turns. There `crowded` keeps the hold.
            let turn = p.entry.mark.wrapping_add(u64::from(self.cfg.position));
            let coin = ((turn % u64::from(self.cfg.proxies)) as f64 + 0.5) / f64::from(self.cfg.proxies);
            let fair = HOLD / fleet * p.ready * f64::from(p.entry.cores);
            p.room = (fair * (0.5 + 0.5 * bias) + coin).floor().max(1.0);
            // The trace takes the overflow where all that have a part are full.
            let drawn = part(&self.kinds, p) * bias;
            p.pull = drawn + p.ready * 1e-6;
            reached += f64::from(drawn > 0.0);
            let k = self.kinds.entry(p.entry.kind).or_default();
            k.pull += p.pull;
            k.count += f64::from(p.ready > 0.0);
        }
        // This proxy's slice of each kind: the same width for all, begun at evenly spread places, so that all
        // slices together cover every backend by its pull.
        let shared = if told { SHARED_TOLD } else { SHARED_BY };
        let width = (shared / fleet * self.peers.len() as f64 / reached.max(1.0)).min(1.0);
        let start = (f64::from(self.cfg.position) * 0.618_033_988_749_895).fract();
        for id in &self.order {
            let Some(p) = self.peers.get_mut(id) else { continue };
            let k = self.kinds.entry(p.entry.kind).or_default();
            // Where pulls follow what backends say they move all the time; by count a slice stays.
            let (pull, all) = if told { (f64::from(p.ready > 0.0), k.count) } else { (p.pull, k.pull) };
            let from = k.walked / all.max(1e-9);
            k.walked += pull;
            let to = k.walked / all.max(1e-9);
            let inside = |start: f64| (to.min(start + width) - from.max(start)).max(0.0);
            p.slice = inside(start) + inside(start - 1.0);
            if told {
                p.slice *= p.pull;
            }
        }
    }

    /// Work that this proxy may still send to a cold backend inside the present fall window.
    fn budget(&self, now: Time, p: &Peer) -> f64 {
        let warmth = warmth(&self.cfg, now - self.cfg.fall_window, &p.entry); // as the window began
        if warmth >= 1.0 {
            return f64::MAX;
        }
        let proxies = f64::from(self.cfg.proxies);
        let fair = self.rate.per_s().unwrap_or(1.0) * self.loads.fleet() / self.peers.len() as f64;
        // Against few ready backends the speed formula overshoots; a bare 1/T a core and one more is sure.
        let sure = |k: &Kind| k.latency.get().map(|t| k.speed.min((1.0 + f64::from(p.entry.cores)) / t));
        let speed = self.kinds.get(&p.entry.kind).and_then(sure).unwrap_or(fair);
        let spent: f64 = p.spent.iter().filter(|s| now - s.0 < self.cfg.fall_window).map(|s| s.1).sum();
        let all = self.cfg.fall_multiple * warmth * speed * self.cfg.fall_window.secs() / proxies;
        (all * FALL_MARGIN).max(1.0) - spent
    }

    fn may_send(&self, now: Time, r: &Request) -> bool {
        let safe = |s: &Sent| match self.cfg.classes[r.class].effect {
            Effect::Free => true,
            Effect::Keyed(_, window) => s.never_ran || now < repeat_end(window, s.at),
            Effect::Unsafe => s.never_ran,
        };
        let alone = self.cfg.second_copies || !r.out();
        alone && r.sent.len() < self.cfg.max_attempts as usize && r.sent.iter().all(safe)
    }

    /// A backend for the request: kind by share, backend inside it by readiness, both at random.
    fn draw(&mut self, now: Time, r: &Request) -> Drawn {
        let effect = self.cfg.classes[r.class].effect;
        let work = self.work(r.class);
        let any_free = self.cfg.classes.iter().any(|c| c.effect == Effect::Free);
        let may_try = r.sent.is_empty() && (effect == Effect::Free || !any_free);
        let (mut all, mut shunned) = (0.0, 0.0);
        for p in self.peers.values().filter(|p| p.ready > 0.0) {
            (all, shunned) = (all + 1.0, shunned + f64::from(p.shuns(now, r.class)));
        }
        let heed = shunned <= all * PANIC;
        let mut open: Vec<(BackendId, KindId, f64)> = Vec::new();
        let (mut listed, mut able) = (false, false);
        for (&b, p) in &self.peers {
            // A repeat outside the scope that knows the key would run twice.
            let place = |b: &Backend| (b.realm, b.zone, b.cell);
            let known = |s: &Sent| match effect {
                Effect::Keyed(scope, _) => s.never_ran || drops_repeats(scope, place(&s.to), place(&p.entry)),
                _ => true,
            };
            let fresh = p.entry.state == BackendState::Ready
                && r.sent.iter().all(|s| (s.unsent || s.to.id != b) && known(s));
            listed |= fresh;
            able |= fresh && p.ejected.is_none() && !p.silent(r.class);
            let idle = p.silent(r.class) || p.full(now, r.class) || heed && p.shuns(now, r.class);
            if !fresh || idle || self.budget(now, p) < work {
                continue;
            }
            // Those beyond half of the fleet are used after all, but not where another pool can be asked.
            if let (Some(until), true) = (p.ejected, p.ready == 0.0 || r.elsewhere) {
                // Its term is over: one request at a time that may fail without harm tries it.
                if now >= until && may_try && p.out == 0 {
                    return Drawn::One(b);
                }
            } else if p.ready > 0.0 {
                // Never overfill: a crowded backend slows for long, so a full one is drawn again.
                let room = if r.value < LOW { (p.room / 2.0).ceil() } else { p.room };
                if f64::from(p.out.saturating_sub(p.lost)) < room {
                    open.push((b, p.entry.kind, p.slice + p.pull * 1e-6)); // the rest: a last resort
                }
            }
        }
        let mut some: Vec<KindId> = open.iter().map(|o| o.1).collect();
        some.dedup();
        some.sort_unstable();
        some.dedup();
        let kinds: Vec<_> = some.iter().filter_map(|k| Some((*k, self.kinds.get(k)?.pull))).collect();
        let kind = self.dice.pick(&kinds);
        let inside = |kind| open.iter().filter(|o| o.1 == kind).map(|o| (o.0, o.2)).collect::<Vec<_>>();
        match kind.and_then(|kind| self.dice.pick(&inside(kind))) {
            Some(b) => Drawn::One(b),
            None if able => Drawn::NoRoom,
            None if listed => Drawn::AllIll,
            None => Drawn::NoneLeft,
        }
    }

    /// Whether all proxies together hold too much, as far as one tells that has no room to count: it takes
    /// the others to be like itself. With load / (1 - load) held, twice the hold is a load of eight ninths,
    /// half of it two thirds. Turned away at once does no harm; waiting here would make no room.
    fn crowded(&self, value: f64, luck: f64) -> bool {
        if luck > self.loads.admitted(value < LOW) {
            return true;
        }
        let limit = if value < LOW { HOLD / 2.0 } else { HOLD * 2.0 };
        // What all say they hold goes before the guess that they are like this one. Where none does, answers
        // speak for low worth: with m held one takes 1 + m times its least, by `usual` a quarter of the aim.
        let each = self.cfg.classes.iter().zip(&self.classes);
        let slow = each.filter_map(|(c, s)| Some(s.latency.get()? / (c.aim.secs() * 0.25) - 1.0));
        let slow = slow.reduce(f64::max).filter(|_| value < LOW && !self.cfg.live_weights);
        let slack = self.loads.mean.or(slow).map_or(1.0, |m| (HOLD_ALL / m.max(0.1)).clamp(1.0, SLACK));
        let held = self.crowd.per_s().unwrap_or(0.0) * self.loads.fleet() * self.reached;
        self.many() && held > limit * slack * self.kinds.values().map(|k| k.cores).sum::<f64>()
    }

    /// Sends what is held, the densest worth first and the newest first inside it.
    fn pump(&mut self, now: Time, shared: &mut Allowance) {
        if self.held.is_empty() || self.blocked == f64::MAX && !self.closing {
            return;
        }
        let mut line: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.sent.is_empty() { r.value } else { f64::MAX };
                let density = self.cfg.classes[r.class].worth / self.work(r.class);
                line.push((density * r.value, r.came, id, value));
            }
        }
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in line {
            if value < self.blocked {
                self.held.push(id); // nothing less urgent finds room either, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let (again, work) = (r.sent.iter().any(|s| !s.unsent), self.work(r.class));
            let refused = !again && self.crowded(r.value, r.luck);
            let repeatable = self.may_send(now, &r);
            let sendable = repeatable && (!again || shared.extra >= 1.0) && !refused;
            let drawn = if sendable { Some(self.draw(now, &r)) } else { None };
            let reason = match drawn {
                Some(Drawn::NoneLeft) => GiveUpReason::NoBackendLeft,
                Some(_) => GiveUpReason::NoRoom,
                None if !repeatable => GiveUpReason::NotRepeatable,
                None if refused => GiveUpReason::Overloaded,
                None => GiveUpReason::RetryBudget,
            };
            let over = match drawn {
                Some(Drawn::One(backend)) => {
                    shared.extra -= f64::from(again);
                    self.send(now, id, &mut r, backend, work);
                    false
                }
                Some(Drawn::AllIll | Drawn::NoneLeft) if r.elsewhere => {
                    let handover = Box::new(Handover { state: r });
                    self.actions.push(Action::PassOn { request: id, handover });
                    continue;
                }
                // Waiting brings nothing: whatever comes back, it was there already.
                Some(Drawn::NoneLeft) if !r.sent.is_empty() => !r.out(),
                Some(_) if self.closing => !r.out(),
                Some(_) => {
                    if !again {
                        self.blocked = self.blocked.max(if r.value < LOW { LOW } else { f64::MAX });
                    }
                    self.held.push(id);
                    false
                }
                None => !r.out(),
            };
            self.requests.insert(id, r);
            if over {
                self.give_up(now, id, reason);
            }
        }
    }

    fn send(&mut self, now: Time, id: RequestId, r: &mut Request, to: BackendId, work: f64) {
        let Some(p) = self.peers.get_mut(&to) else { return };
        let attempt = AttemptNo(r.sent.len() as u32);
        let send_by = match self.cfg.classes[r.class].effect {
            Effect::Keyed(_, window) => {
                repeat_until(window, r.sent.iter().filter(|s| !s.never_ran).map(|s| s.at))
            }
            _ => None,
        };
        r.sent.push(Sent { to: p.entry.clone(), at: now, out: true, never_ran: false, unsent: false });
        p.out += 1;
        p.spent.retain(|s| now - s.0 < self.cfg.fall_window);
        p.spent.push((now, work));
        let trial = p.ejected.is_some();
        self.attempts.insert((id, attempt), Flight { to, class: r.class, sent: now });
        self.actions.push(Action::Dispatch { request: id, attempt, backend: to, send_by });
        if trial {
            self.recount();
        }
        let quiet = now + self.quiet(r.class);
        self.look_at = self.look_at.min(quiet).min(r.deadline - self.cfg.tick);
    }

    /// Final answer for a request that will not be served.
    fn give_up(&mut self, now: Time, id: RequestId, reason: GiveUpReason) {
        let Some(r) = self.requests.get(&id) else { return };
        self.given_up.add(reason);
        // By then what is out now has made room, or an ejected backend is tried again.
        let ready = self.kinds.values().any(|k| k.ready > 0.0);
        let retry_after = if ready { self.usual(r.class).times(2.0) } else { Micros::from_secs(EJECT_TERM) };
        // A client that is told in whole seconds comes back that much later.
        let back = now + Micros::from_secs(retry_after.secs().ceil());
        let dropped = |s: &Sent| match self.cfg.classes[r.class].effect {
            Effect::Keyed(KeyScope::All, window) => {
                self.cfg.only_realm == Some(s.to.realm) && back < repeat_end(window, s.at)
            }
            effect => effect == Effect::Free,
        };
        let harmless = r.sent.iter().all(|s| s.never_ran || dropped(s));
        let (refused, failed) =
            (Action::Refuse { request: id, retry_after }, Action::Fail { request: id, retry_after });
        self.actions.push(if harmless { refused } else { failed });
        self.close(id);
    }

    fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.held.retain(|h| *h != id);
        for (no, _) in r.sent.iter().enumerate().filter(|(_, s)| s.out && self.cfg.cancel) {
            self.actions.push(Action::Cancel { request: id, attempt: AttemptNo(no as u32) });
        }
    }

    /// A line for the operators, two a second at most.
    fn log(&mut self, now: Time, text: String) {
        if now >= self.log_at {
            self.log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }
}
