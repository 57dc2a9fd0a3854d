//! What a proxy remembers: running estimates and plain records. No decisions.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use shaletide_types::*;

/// Memory of what a backend says it holds, s: about as long as one that is too full takes to turn slow.
const LOAD_AVERAGE_WINDOW_S: f64 = 1.0;
/// What was said so long ago is worth nothing any more, s: a list did not come. Whoever is cut off hears of nothing.
const LOAD_SAMPLE_MAX_AGE_S: f64 = 2.2;
/// More than this is not believed, requests a core: backends hold some tens at most.
const MAX_IN_FLIGHT_PER_CORE: f64 = 64.0;

/// The proxy's own random numbers, the same on every machine for the same seed.
#[derive(Clone, Debug)]
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// Even from 0 up to 1.
    pub fn next_unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// One of the items, each with its weight.
    pub fn pick_weighted<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let mut left = self.next_unit() * weighted.iter().map(|w| w.1).sum::<f64>();
        let mut hit = |w: &&(T, f64)| {
            left -= w.1;
            left < 0.0
        };
        weighted.iter().find(&mut hit).or(weighted.last()).map(|w| w.0)
    }
}

/// A mean over about the last `cap` samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    pub value: f64,
    pub count: f64,
}

impl MovingAverage {
    pub fn record(&mut self, sample: f64, cap: f64) {
        self.count = (self.count + 1.0).min(cap);
        self.value += (sample - self.value) / self.count;
    }

    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Events a second over about the last `memory` seconds, unbiased from the start on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    memory_s: f64,
    weighted_events: f64,
    weighted_s: f64,
    updated_at: Option<Time>,
}

impl DecayingRate {
    pub fn new(memory: f64) -> DecayingRate {
        DecayingRate { memory_s: memory, weighted_events: 0.0, weighted_s: 0.0, updated_at: None }
    }

    /// From now on over so long, within a second and `most`.
    pub fn set_memory(&mut self, memory: f64, most: f64) {
        self.memory_s = memory.clamp(1.0, most);
    }

    /// Counts `level` for each second since the last call.
    pub fn record_level(&mut self, now: Time, level: f64) {
        let gap = self.updated_at.map_or(0.0, |at| (now - at).secs());
        self.record(now, level * (1.0 - (-gap / self.memory_s).exp()) * self.memory_s);
    }

    /// Counts `events` at `now`; none just lets time pass.
    pub fn record(&mut self, now: Time, events: f64) {
        let gap = self.updated_at.map_or(0.0, |at| (now - at).secs());
        let fade = (-gap / self.memory_s).exp();
        self.weighted_events = self.weighted_events * fade + events;
        self.weighted_s = self.weighted_s * fade + (1.0 - fade) * self.memory_s;
        self.updated_at = Some(now);
    }

    /// `None` until a twentieth of the memory has passed.
    pub fn per_second(&self) -> Option<f64> {
        (self.weighted_s > self.memory_s / 20.0).then(|| self.weighted_events / self.weighted_s)
    }
}

/// What the modules of all pools share: further attempts and tenants' quotas hold over them together.
#[derive(Clone, Debug)]
pub struct SharedLimits {
    /// Further attempts saved up.
    pub(crate) saved_retries: f64,
    /// When it was last seen to.
    pub(crate) deposited_at: Option<Time>,
    /// By tenant.
    pub(crate) tenant_quotas: Vec<TokenBucket>,
}

/// So many further attempts a second are allowed over all proxies however few requests come, and at the start: where
/// one request comes in a second, a fifth of a further one for each leaves most that meet a dead backend without.
const MIN_RETRIES_PER_S: f64 = 2.0;

impl SharedLimits {
    /// Nothing saved up yet.
    pub fn new() -> SharedLimits {
        SharedLimits { saved_retries: 0.0, deposited_at: None, tenant_quotas: Vec::new() }
    }

    /// A request came to one of so many proxies: it brings so much of a further attempt, up to `most` saved up.
    pub(crate) fn deposit(&mut self, now: Time, ratio: f64, most: f64, proxies: u32) {
        let least = MIN_RETRIES_PER_S / f64::from(proxies);
        let gap = self.deposited_at.replace(now).map_or(1.0, |at| (now - at).secs());
        let floor = (self.saved_retries + gap * least).min(least.max(1.0));
        self.saved_retries = (self.saved_retries + ratio).min(most).max(floor);
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
pub(crate) struct TokenBucket {
    window_s: f64,
    least_capacity: f64,
    tokens: f64,
    refilled_at: Option<Time>,
}

impl TokenBucket {
    pub fn new(memory: f64, least: f64) -> TokenBucket {
        TokenBucket { window_s: memory, least_capacity: least, tokens: 0.0, refilled_at: None }
    }

    /// Takes a token if there is one, at so many a second.
    pub fn try_take(&mut self, now: Time, rate: f64) -> bool {
        let due = rate * self.window_s;
        self.tokens = match self.refilled_at {
            None => due.max(1.0),
            Some(at) => (self.tokens + rate * (now - at).secs()).min(due.max(self.least_capacity)),
        };
        self.refilled_at = Some(now);
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(within);
        within
    }
}

/// A core's size at the most, in thousandths of a standard one's: more is more cores.
const MAX_WEIGHT_PER_CORE: u32 = 2_000;

/// What is learned of a kind of machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTypeStats {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: MovingAverage,
    /// Requests a second that came to one of its backends, as each of those was served.
    pub arrival_rate_when_served: MovingAverage,
    /// Sum of its backends' readiness, and the same by cores.
    pub total_health: f64,
    pub healthy_cores: f64,
    /// The largest weight of any of its backends, in thousandths, where weights tell sizes.
    pub largest_weight: u32,
    /// Requests a second that one backend could serve, and that come to one.
    pub service_rate: f64,
    pub arrival_rate: f64,
    /// BackendClassStats of all proxies' traffic.
    pub traffic_share: f64,
    /// BackendClassStats of this proxy's traffic.
    pub total_selection_weight: f64,
    /// The pull of its backends passed so far, while slices are cut.
    pub cumulative_weight: f64,
    /// How many backends there are of it.
    pub eligible_backends: f64,
}

impl ServerTypeStats {
    /// The cores that such a backend has at the least, by the largest size that a list gave one: a core is taken for
    /// up to twice a standard one. Live weights are sizes of those that hold nothing, and smaller of others.
    pub fn core_count_from_weight(&mut self, backend: &BackendEntry) -> u32 {
        self.largest_weight = self.largest_weight.max(backend.weight);
        (self.largest_weight / MAX_WEIGHT_PER_CORE).max(1)
    }
}

/// What one source last said that a backend holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadSample {
    /// Requests a core, over the last second or so.
    pub average: f64,
    /// The same as it was last heard.
    pub latest: f64,
    recorded_at: Option<Time>,
}

impl LoadSample {
    /// It says that it holds so many a core.
    pub fn record(&mut self, now: Time, held: f64) {
        if !held.is_finite() || held < 0.0 {
            return;
        }
        // Nothing held, and never anything else said: an old list, or one from before the traffic.
        if held == 0.0 && self.recorded_at.is_none() {
            return;
        }
        let step =
            self.recorded_at.map_or(1.0, |at| 1.0 - (-(now - at).secs() / LOAD_AVERAGE_WINDOW_S).exp());
        self.latest = held.min(MAX_IN_FLIGHT_PER_CORE);
        self.average += (held.min(MAX_IN_FLIGHT_PER_CORE) - self.average) * step;
        self.recorded_at = Some(now);
    }

    pub fn if_fresh(&self, now: Time) -> Option<LoadSample> {
        self.recorded_at.filter(|at| (now - *at).secs() < LOAD_SAMPLE_MAX_AGE_S).map(|_| *self)
    }
}

/// What a backend was last heard to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReportedLoad {
    /// By its own answers, and by the list, which may come late with what is long past.
    pub in_responses: LoadSample,
    pub in_list: LoadSample,
    /// How long serving one took there lately, s, and when it said so.
    pub latency_s: Option<(f64, Time)>,
    /// What part of an even share it can bear, as far as what it holds has shown.
    pub rebalancing_factor: Option<f64>,
}

impl ReportedLoad {
    /// How long serving one took there lately, s, in the mean over all that it served.
    pub fn fresh_latency_s(&self, now: Time) -> Option<f64> {
        self.latency_s.filter(|(_, at)| (now - *at).secs() < LOAD_AVERAGE_WINDOW_S).map(|(secs, _)| secs)
    }

    /// What it holds, if that is known and not old: its own word before the list's.
    pub fn in_flight_per_core(&self, now: Time) -> Option<f64> {
        self.in_responses.if_fresh(now).or(self.in_list.if_fresh(now)).map(|said| said.average)
    }
}

/// What is known of a backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BackendStats {
    pub entry: BackendEntry,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub health: f64,
    /// Its part of this proxy's traffic.
    pub selection_weight: f64,
    /// Its part of this proxy's slice of its kind.
    pub subset_weight: f64,
    /// How many attempts of this proxy it may hold.
    pub concurrency_limit: f64,
    /// How many it holds.
    pub in_flight: u32,
    /// Running share of error answers.
    pub error_rate: f64,
    /// When it last answered anything.
    pub last_response_at: Time,
    /// Of those it holds, how many are suspiciously old.
    pub suspected_lost: u32,
    /// ... and how many of these with nothing heard of it since.
    pub overdue_without_response: u32,
    /// Out of use, until this time at least.
    pub ejected_until: Option<Time>,
    /// Ejections without a good answer between them.
    pub consecutive_ejections: i32,
    /// Good answers since the ejection.
    pub successful_probes: u32,
    /// Work sent inside the fall window.
    pub sent_during_window: Vec<(Time, f64)>,
    /// The same by class, as far as it has met them: see `part`.
    pub by_class: Vec<BackendClassStats>,
    /// What it says of its own load.
    pub reported_load: ReportedLoad,
}

impl BackendStats {
    /// What is known of it for one class.
    pub fn class_mut(&mut self, class: usize) -> &mut BackendClassStats {
        if self.by_class.len() <= class {
            self.by_class.resize_with(class + 1, BackendClassStats::default);
        }
        &mut self.by_class[class]
    }

    /// It has gone silent, for the class at least.
    pub fn is_silent(&self, class: usize) -> bool {
        self.overdue_without_response > 1
            || self.by_class.get(class).is_some_and(|p| p.overdue_without_response > 1)
    }

    /// It was full for the class just now.
    pub fn is_backing_off(&self, now: Time, class: usize) -> bool {
        self.by_class.get(class).is_some_and(|p| now < p.backoff_until)
    }

    /// It fails at the class, though not at others.
    pub fn is_ejected_for_class(&self, now: Time, class: usize) -> bool {
        self.by_class.get(class).is_some_and(|p| now < p.ejected_until)
    }
}

/// What is known of a backend for one class: it may fail at one and serve the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BackendClassStats {
    /// Running share of error answers.
    pub error_rate: f64,
    /// When it last answered one.
    pub last_response_at: Time,
    /// Suspiciously old attempts with no answer to one of the class since.
    pub overdue_without_response: u32,
    /// It was full for it and is left alone until then, and how often since it last served one.
    pub backoff_until: Time,
    pub consecutive_rejections: u32,
    /// It gets none until then, and how often that was since it last served one.
    pub ejected_until: Time,
    pub consecutive_ejections: u32,
}

/// What is learned of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLatency {
    pub latency: MovingAverage,
}

/// An attempt that has not ended: where, of which class, since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    pub backend: BackendId,
    pub class: usize,
    pub sent_at: Time,
}

/// An attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    pub backend: BackendEntry,
    pub sent_at: Time,
    /// It has not ended yet.
    pub in_flight: bool,
    /// Its outcome proves that it did not run.
    pub not_executed: bool,
    /// Nothing at all went out for it: it cost nobody anything.
    pub not_sent: bool,
}

/// A request that is owed an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestState {
    pub class: usize,
    pub arrived_at: Time,
    pub objective_at: Time,
    pub deadline: Time,
    /// Its worth beside a first try within quota.
    pub priority: f64,
    /// Selection once, from 0 to 1: where only a part is let in, those below that part are.
    pub admission_roll: f64,
    pub streaming: bool,
    /// Another pool can be asked where this one can take nothing.
    pub may_fail_over: bool,
    pub attempts: Vec<Attempt>,
}

impl RequestState {
    /// Some attempt has not ended yet.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|s| s.in_flight)
    }
}
