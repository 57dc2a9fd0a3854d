//! What a proxy remembers: running estimates and plain records. No decisions.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use shaletide_types::*;

/// Memory of what a backend says it holds, s: about as long as one that is too full takes to turn slow.
const TOLD_MEMORY: f64 = 1.0;
/// What was said so long ago is worth nothing any more, s: a list did not come. Whoever is cut off hears of nothing.
const TOLD_WORTH: f64 = 2.2;
/// More than this is not believed, requests a core: backends hold some tens at most.
const TOLD_MOST: f64 = 64.0;

/// The proxy's own random numbers, the same on every machine for the same seed.
#[derive(Clone, Debug)]
pub(crate) struct Dice(Pcg32);

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice(Pcg32::seed_from_u64(seed))
    }

    /// Even from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// One of the items, each with its weight.
    pub fn pick<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let mut left = self.unit() * weighted.iter().map(|w| w.1).sum::<f64>();
        let mut hit = |w: &&(T, f64)| {
            left -= w.1;
            left < 0.0
        };
        weighted.iter().find(&mut hit).or(weighted.last()).map(|w| w.0)
    }
}

/// A mean over about the last `cap` samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub value: f64,
    pub count: f64,
}

impl Mean {
    pub fn add(&mut self, sample: f64, cap: f64) {
        self.count = (self.count + 1.0).min(cap);
        self.value += (sample - self.value) / self.count;
    }

    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Events a second over about the last `memory` seconds, unbiased from the start on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    memory: f64,
    events: f64,
    seen: f64,
    at: Option<Time>,
}

impl Rate {
    pub fn new(memory: f64) -> Rate {
        Rate { memory, events: 0.0, seen: 0.0, at: None }
    }

    /// From now on over so long, within a second and `most`.
    pub fn remember(&mut self, memory: f64, most: f64) {
        self.memory = memory.clamp(1.0, most);
    }

    /// Counts `level` for each second since the last call.
    pub fn pass(&mut self, now: Time, level: f64) {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        self.add(now, level * (1.0 - (-gap / self.memory).exp()) * self.memory);
    }

    /// Counts `events` at `now`; none just lets time pass.
    pub fn add(&mut self, now: Time, events: f64) {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        let fade = (-gap / self.memory).exp();
        self.events = self.events * fade + events;
        self.seen = self.seen * fade + (1.0 - fade) * self.memory;
        self.at = Some(now);
    }

    /// `None` until a twentieth of the memory has passed.
    pub fn per_s(&self) -> Option<f64> {
        (self.seen > self.memory / 20.0).then(|| self.events / self.seen)
    }
}

/// What the modules of all pools share: further attempts and tenants' quotas hold over them together.
#[derive(Clone, Debug)]
pub struct SharedLimits {
    /// Further attempts saved up.
    pub(crate) extra: f64,
    /// When it was last seen to.
    pub(crate) at: Option<Time>,
    /// By tenant.
    pub(crate) buckets: Vec<Bucket>,
}

/// So many further attempts a second are allowed over all proxies however few requests come, and at the start: where
/// one request comes in a second, a fifth of a further one for each leaves most that meet a dead backend without.
const EXTRA_LEAST: f64 = 2.0;

impl SharedLimits {
    /// Nothing saved up yet.
    pub fn new() -> SharedLimits {
        SharedLimits { extra: 0.0, at: None, buckets: Vec::new() }
    }

    /// A request came to one of so many proxies: it brings so much of a further attempt, up to `most` saved up.
    pub(crate) fn earn(&mut self, now: Time, ratio: f64, most: f64, proxies: u32) {
        let least = EXTRA_LEAST / f64::from(proxies);
        let gap = self.at.replace(now).map_or(1.0, |at| (now - at).secs());
        let floor = (self.extra + gap * least).min(least.max(1.0));
        self.extra = (self.extra + ratio).min(most).max(floor);
    }
}

impl Default for SharedLimits {
    fn default() -> SharedLimits {
        SharedLimits::new()
    }
}

/// A tenant's quota: it holds what it is due over `memory` seconds, and starts with that; where that is
/// less than `least` it may gather so much, as chance alone brings a few at once.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    memory: f64,
    least: f64,
    tokens: f64,
    at: Option<Time>,
}

impl Bucket {
    pub fn new(memory: f64, least: f64) -> Bucket {
        Bucket { memory, least, tokens: 0.0, at: None }
    }

    /// Takes a token if there is one, at so many a second.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        let due = rate * self.memory;
        self.tokens = match self.at {
            None => due.max(1.0),
            Some(at) => (self.tokens + rate * (now - at).secs()).min(due.max(self.least)),
        };
        self.at = Some(now);
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(within);
        within
    }
}

/// A core's size at the most, in thousandths of a standard one's: more is more cores.
const CORE_MOST: u32 = 2_000;

/// What is learned of a kind of machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Kind {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: Mean,
    /// Requests a second that came to one of its backends, as each of those was served.
    pub flow: Mean,
    /// Sum of its backends' readiness, and the same by cores.
    pub ready: f64,
    pub cores: f64,
    /// The largest weight of any of its backends, in thousandths, where weights tell sizes.
    pub size: u32,
    /// Requests a second that one backend could serve, and that come to one.
    pub speed: f64,
    pub comes: f64,
    /// Part of all proxies' traffic.
    pub share: f64,
    /// Part of this proxy's traffic.
    pub pull: f64,
    /// The pull of its backends passed so far, while slices are cut.
    pub walked: f64,
    /// How many backends there are of it.
    pub count: f64,
}

impl Kind {
    /// The cores that such a backend has at the least, by the largest size that a list gave one: a core is taken for
    /// up to twice a standard one. Live weights are sizes of those that hold nothing, and smaller of others.
    pub fn sized(&mut self, backend: &BackendEntry) -> u32 {
        self.size = self.size.max(backend.weight);
        (self.size / CORE_MOST).max(1)
    }
}

/// What one source last said that a backend holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Said {
    /// Requests a core, over the last second or so.
    pub held: f64,
    /// The same as it was last heard.
    pub last: f64,
    at: Option<Time>,
}

impl Said {
    /// It says that it holds so many a core.
    pub fn hear(&mut self, now: Time, held: f64) {
        if !held.is_finite() || held < 0.0 {
            return;
        }
        // Nothing held, and never anything else said: an old list, or one from before the traffic.
        if held == 0.0 && self.at.is_none() {
            return;
        }
        let step = self.at.map_or(1.0, |at| 1.0 - (-(now - at).secs() / TOLD_MEMORY).exp());
        self.last = held.min(TOLD_MOST);
        self.held += (held.min(TOLD_MOST) - self.held) * step;
        self.at = Some(now);
    }

    pub fn fresh(&self, now: Time) -> Option<Said> {
        self.at.filter(|at| (now - *at).secs() < TOLD_WORTH).map(|_| *self)
    }
}

/// What a backend was last heard to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Told {
    /// By its own answers, and by the list, which may come late with what is long past.
    pub answers: Said,
    pub list: Said,
    /// How long serving one took there lately, s, and when it said so.
    pub latency: Option<(f64, Time)>,
    /// What part of an even share it can bear, as far as what it holds has shown.
    pub bears: Option<f64>,
}

impl Told {
    /// How long serving one took there lately, s, in the mean over all that it served.
    pub fn latency(&self, now: Time) -> Option<f64> {
        self.latency.filter(|(_, at)| (now - *at).secs() < TOLD_MEMORY).map(|(secs, _)| secs)
    }

    /// What it holds, if that is known and not old: its own word before the list's.
    pub fn fresh(&self, now: Time) -> Option<f64> {
        self.answers.fresh(now).or(self.list.fresh(now)).map(|said| said.held)
    }
}

/// What is known of a backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Peer {
    pub entry: BackendEntry,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub ready: f64,
    /// Its part of this proxy's traffic.
    pub pull: f64,
    /// Its part of this proxy's slice of its kind.
    pub slice: f64,
    /// How many attempts of this proxy it may hold.
    pub room: f64,
    /// How many it holds.
    pub out: u32,
    /// Running share of error answers.
    pub errors: f64,
    /// When it last answered anything.
    pub answered: Time,
    /// Of those it holds, how many are suspiciously old.
    pub lost: u32,
    /// ... and how many of these with nothing heard of it since.
    pub unheard: u32,
    /// Out of use, until this time at least.
    pub ejected: Option<Time>,
    /// Ejections without a good answer between them.
    pub strikes: i32,
    /// Good answers since the ejection.
    pub trials: u32,
    /// Work sent inside the fall window.
    pub spent: Vec<(Time, f64)>,
    /// The same by class, as far as it has met them: see `part`.
    pub parts: Vec<Part>,
    /// What it says of its own load.
    pub told: Told,
}

impl Peer {
    /// What is known of it for one class.
    pub fn part(&mut self, class: usize) -> &mut Part {
        if self.parts.len() <= class {
            self.parts.resize_with(class + 1, Part::default);
        }
        &mut self.parts[class]
    }

    /// It has gone silent, for the class at least.
    pub fn silent(&self, class: usize) -> bool {
        self.unheard > 1 || self.parts.get(class).is_some_and(|p| p.unheard > 1)
    }

    /// It was full for the class just now.
    pub fn full(&self, now: Time, class: usize) -> bool {
        self.parts.get(class).is_some_and(|p| now < p.full_until)
    }

    /// It fails at the class, though not at others.
    pub fn shuns(&self, now: Time, class: usize) -> bool {
        self.parts.get(class).is_some_and(|p| now < p.shunned)
    }
}

/// What is known of a backend for one class: it may fail at one and serve the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Part {
    /// Running share of error answers.
    pub errors: f64,
    /// When it last answered one.
    pub answered: Time,
    /// Suspiciously old attempts with no answer to one of the class since.
    pub unheard: u32,
    /// It was full for it and is left alone until then, and how often since it last served one.
    pub full_until: Time,
    pub fulls: u32,
    /// It gets none until then, and how often that was since it last served one.
    pub shunned: Time,
    pub strikes: u32,
}

/// What is learned of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassState {
    pub latency: Mean,
}

/// An attempt that has not ended: where, of which class, since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Flight {
    pub to: BackendId,
    pub class: usize,
    pub sent: Time,
}

/// An attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Sent {
    pub to: BackendEntry,
    pub at: Time,
    /// It has not ended yet.
    pub out: bool,
    /// Its outcome proves that it did not run.
    pub not_executed: bool,
    /// Nothing at all went out for it: it cost nobody anything.
    pub unsent: bool,
}

/// A request that is owed an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Request {
    pub class: usize,
    pub came: Time,
    pub aim: Time,
    pub deadline: Time,
    /// Its worth beside a first try within quota.
    pub value: f64,
    /// Drawn once, from 0 to 1: where only a part is let in, those below that part are.
    pub luck: f64,
    pub streaming: bool,
    /// Another pool can be asked where this one can take nothing.
    pub elsewhere: bool,
    pub sent: Vec<Sent>,
}

impl Request {
    /// Some attempt has not ended yet.
    pub fn out(&self) -> bool {
        self.sent.iter().any(|s| s.out)
    }
}
