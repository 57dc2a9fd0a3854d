//! What backends say of their own load, in the list and in their answers, and what follows of it: how large this
//! proxy's part of all traffic is, which backends are too full to be drawn, and what part of the requests there
//! is room for. Where so many proxies share the fleet that each alone sees next to nothing of it, this is how one
//! learns what the others do there. Nothing here draws a backend.
//!
//! A backend may say anything, late or never. What it says is held to what can be, counts for itself alone but for
//! one part in the fleet's mean, and is worth nothing when it is old.

use crate::backend_stats::BackendStats;
use crate::reported_load::LoadSample;
use crate::statistics::MovingAverage;
use shaletide_types::*;
use std::collections::BTreeMap;

/// A longer latency is not believed, ms.
const MAX_REPORTED_LATENCY_MS: f64 = 60_000.0;
/// The fleet's mean counts a backend with so many times the hold at most: one that lies or is choked moves it by
/// its part of that.
const MAX_SAMPLE_OVER_TARGET: f64 = 2.0;
/// So many backends have to have said something, and half of those in use.
const MIN_LIST_SAMPLES: f64 = 12.0;
/// ... or so many in answers to this proxy: those that it uses.
const MIN_RESPONSE_SAMPLES: f64 = 3.0;
/// By such a factor list and answers differ by chance.
const MAX_LIST_DEVIATION: f64 = 1.6;
/// So long after the last word, s, pools are still taken for ones whose backends speak.
const REPORTING_TIMEOUT_S: f64 = 30.0;
/// A shared processor that holds m is busy m / (1 + m) of the time. What is let in moves towards the part at which
/// that would be as wanted, by so many times the step a second: news is a second or two old.
const ADMISSION_GAIN_PER_S: f64 = 4.0;
/// It comes back by itself so fast where nothing is heard any more, a second.
const ADMISSION_RECOVERY_PER_S: f64 = 0.5;
/// However full all say they are, this part is let in: they may be wrong.
const MIN_ADMITTED_FRACTION: f64 = 0.4;
/// This part of the range turns away only what is worth little.
const LOW_PRIORITY_RANGE: f64 = 0.25;
/// A backend's part changes so fast when it holds twice what the others do, a second.
const REBALANCING_RATE_PER_S: f64 = 0.5;
/// ... between these parts.
const MIN_REBALANCING_FACTOR: f64 = 0.1;
const MAX_REBALANCING_FACTOR: f64 = 1.2;
/// However much it holds, so much of that is left at once.
const MIN_LOAD_FACTOR: f64 = 0.2;
/// This proxy's part of all traffic is learned over so long, s: what goes unanswered here for a while says nothing
/// of it ...
const FLEET_SIZE_WINDOW_S: f64 = 15.0;
/// ... at first over this, s: what was told is a guess.
const INITIAL_FLEET_SIZE_WINDOW_S: f64 = 2.0;
/// ... and is so many times an even one at most, ...
const MAX_FLEET_SHRINK_FACTOR: f64 = 4.0;
/// ... or one part in so many at least.
const MAX_FLEET_GROWTH_FACTOR: f64 = 2.0;

/// What is made of it for the fleet.
#[derive(Clone, Debug)]
pub(crate) struct LoadReports {
    /// The largest weight of any backend of a kind, a core: that of one that holds nothing.
    weight_per_core: BTreeMap<ServerTypeId, f64>,
    /// Requests a core that a backend in use holds in the mean; none where too few said anything.
    pub mean_in_flight_per_core: Option<f64>,
    /// The part of the requests that there is room for.
    admitted: f64,
    /// As many proxies like this one would make the fleet, and how long that was learned, s.
    fleet_size: f64,
    fleet_size_learned_s: f64,
    aggregated_at: Option<Time>,
    last_aggregate_at: Option<Time>,
    interval_s: f64,
}

impl LoadReports {
    pub fn new(proxies: u32) -> LoadReports {
        LoadReports {
            weight_per_core: BTreeMap::new(),
            mean_in_flight_per_core: None,
            admitted: 1.0,
            fleet_size: f64::from(proxies),
            fleet_size_learned_s: 0.0,
            aggregated_at: None,
            last_aggregate_at: None,
            interval_s: 0.0,
        }
    }

    /// As many proxies like this one as would make the fleet: those that are told of where reports tell nothing.
    pub fn fleet_size(&self) -> f64 {
        self.fleet_size
    }

    /// The list's word: the size over one and what is held a core, where weights are live.
    pub fn record_list_weight(&mut self, now: Time, p: &mut BackendStats) {
        let weight = f64::from(p.entry.weight) / f64::from(p.entry.cores.max(1));
        if weight > 0.0 {
            let size = self.weight_per_core.entry(p.entry.server_type).or_default();
            *size = size.max(weight);
            p.reported_load.in_list.record(now, *size / weight - 1.0);
        }
    }

    /// The backend's own word.
    pub fn record_report(&mut self, now: Time, p: &mut BackendStats, report: &LoadReport) {
        // Nothing served lately reads as no time at all.
        if let Some(ms) = report.latency_ms.filter(|ms| *ms > 0.0 && *ms <= MAX_REPORTED_LATENCY_MS) {
            p.reported_load.latency_s = Some((ms / 1e3, now));
        }
        if let Some(held) = report.in_flight {
            p.reported_load.in_responses.record(now, held / f64::from(p.entry.cores.max(1)));
        }
    }

    /// Takes stock. `own` is what this proxy's served requests take up at them, `hold` the wanted load a core.
    pub fn aggregate<'a>(
        &mut self, now: Time, peers: impl Iterator<Item = &'a BackendStats>, proxies: u32, own: Option<f64>,
        hold: f64,
    ) {
        let (mut used, mut held) = (0.0, 0.0);
        let (mut list, mut answers, mut both) =
            (MovingAverage::default(), MovingAverage::default(), (0.0, 0.0));
        for p in peers.filter(|p| p.entry.state == BackendState::Ready && p.ejected_until.is_none()) {
            used += 1.0;
            let cut = |said: LoadSample| said.latest.min(hold * MAX_SAMPLE_OVER_TARGET);
            let (l, a) = (p.reported_load.in_list.if_fresh(now), p.reported_load.in_responses.if_fresh(now));
            if let Some(said) = l {
                list.record(cut(said), f64::MAX);
                held += said.average * f64::from(p.entry.cores);
            }
            if let Some(said) = a {
                answers.record(cut(said), f64::MAX);
            }
            if let (Some(l), Some(a)) = (l, a) {
                both = (both.0 + cut(l), both.1 + cut(a));
            }
        }
        let gap = self.aggregated_at.map_or(0.0, |at| (now - at).secs().min(1.0));
        self.aggregated_at = Some(now);
        // A list that came late tells what is past: those that answered here show by how much it is off.
        let off = if answers.count < MIN_RESPONSE_SAMPLES { 1.0 } else { (both.1 + hold) / (both.0 + hold) };
        let late = !(1.0 / MAX_LIST_DEVIATION..MAX_LIST_DEVIATION).contains(&off);
        self.mean_in_flight_per_core = if list.count >= MIN_LIST_SAMPLES && list.count * 2.0 >= used && !late
        {
            Some(list.value)
        } else if answers.count >= MIN_RESPONSE_SAMPLES {
            Some(answers.value)
        } else {
            None
        };
        let Some(mean) = self.mean_in_flight_per_core else {
            // Nobody says anything: what was let in by old news is not held on to.
            self.admitted = (self.admitted * (gap * ADMISSION_RECOVERY_PER_S).exp()).min(1.0);
            return;
        };
        (self.last_aggregate_at, self.interval_s) = (Some(now), gap);
        if list.count >= MIN_LIST_SAMPLES && list.count * 2.0 >= used && !late {
            self.learn_fleet_size(gap, held * used / list.count, own, f64::from(proxies));
        }
        let busy = |held: f64| held.max(0.1) / (1.0 + held.max(0.1));
        let step = (busy(hold) / busy(mean)).powf(ADMISSION_GAIN_PER_S * gap);
        self.admitted = (self.admitted * step).clamp(MIN_ADMITTED_FRACTION, 1.0);
    }

    /// What all hold over what this one has there.
    fn learn_fleet_size(&mut self, gap: f64, all: f64, own: Option<f64>, proxies: f64) {
        let fleet = own.filter(|own| *own > 0.0).map_or(proxies, |own| all / own);
        let fleet =
            fleet.clamp(proxies / MAX_FLEET_SHRINK_FACTOR, proxies * MAX_FLEET_GROWTH_FACTOR).max(1.0);
        // Own and all are counted over different seconds: a slow mean of the two, quicker at first.
        self.fleet_size_learned_s += gap;
        let step = 1.0
            - (-gap / self.fleet_size_learned_s.clamp(INITIAL_FLEET_SIZE_WINDOW_S, FLEET_SIZE_WINDOW_S))
                .exp();
        self.fleet_size *= (fleet / self.fleet_size).powf(step);
    }

    /// Backends have spoken of their load not long ago, even if nothing new is heard just now.
    pub fn is_reporting(&self, now: Time) -> bool {
        self.last_aggregate_at.is_some_and(|at| (now - at).secs() < REPORTING_TIMEOUT_S)
    }

    /// The list says how fast a backend of some kind is.
    pub fn has_weights(&self) -> bool {
        !self.weight_per_core.is_empty()
    }

    /// What the list says of how fast a backend of that kind is beside one of another; 1 where it says nothing.
    pub fn relative_speed(&self, kind: ServerTypeId) -> f64 {
        self.weight_per_core.get(&kind).copied().unwrap_or(1.0)
    }

    /// The part that is let in of requests that are worth much, or little.
    pub fn admitted_fraction(&self, low: bool) -> f64 {
        if low {
            ((self.admitted - (1.0 - LOW_PRIORITY_RANGE)) / LOW_PRIORITY_RANGE).max(0.0)
        } else {
            (self.admitted / (1.0 - LOW_PRIORITY_RANGE)).min(1.0)
        }
    }

    /// After stock was taken: how much of an even part each backend bears.
    pub fn rebalance(&self, now: Time, peers: &mut BTreeMap<BackendId, BackendStats>, hold: f64) {
        let Some(mean) = self.mean_in_flight_per_core else { return };
        let wanted = mean.max(hold / 2.0);
        let mut sum = (0.0, 0.0);
        for p in peers.values_mut().filter(|p| p.entry.state == BackendState::Ready) {
            let Some(held) = p.reported_load.in_flight_per_core(now) else { continue };
            let off = ((held - wanted) / wanted).clamp(-1.0, 1.0);
            let bears = p.reported_load.rebalancing_factor.unwrap_or(1.0)
                * (-off * REBALANCING_RATE_PER_S * self.interval_s).exp();
            let bears = bears.clamp(MIN_REBALANCING_FACTOR, MAX_REBALANCING_FACTOR);
            p.reported_load.rebalancing_factor = Some(bears);
            sum = (sum.0 + bears, sum.1 + 1.0);
        }
        // A part of what all bear: a kind that is fuller than the others gets less, however fast it is taken to be.
        for bears in peers.values_mut().filter_map(|p| p.reported_load.rebalancing_factor.as_mut()) {
            *bears = (*bears * sum.1 / f64::max(sum.0, 1e-9))
                .clamp(MIN_REBALANCING_FACTOR, MAX_REBALANCING_FACTOR);
        }
    }

    /// How much of its part a backend gets, in reports' eyes: one that holds more than the others less, for long by
    /// what it was seen to bear and at once by what it holds. One that seems idle gets no more for that: it may be
    /// one that nothing comes to.
    pub fn load_factor(&self, now: Time, p: &BackendStats) -> f64 {
        let spoken = self.is_reporting(now);
        let held = self
            .mean_in_flight_per_core
            .and_then(|mean| Some((mean, p.reported_load.in_flight_per_core(now)?)));
        let now = held.map_or(1.0, |(mean, held)| ((1.0 + mean) / (1.0 + held)).clamp(MIN_LOAD_FACTOR, 1.0));
        p.reported_load.rebalancing_factor.filter(|_| spoken).unwrap_or(1.0) * now
    }
}
