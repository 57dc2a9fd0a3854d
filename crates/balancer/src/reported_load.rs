//! What a backend reports of its load.

use shaletide_types::*;

/// Memory of what a backend says it holds, s: about as long as one that is too full takes to turn slow.
const LOAD_AVERAGE_WINDOW_S: f64 = 1.0;
/// What was said so long ago is worth nothing any more, s: a list did not come. Whoever is cut off hears of nothing.
const LOAD_SAMPLE_MAX_AGE_S: f64 = 2.2;
/// More than this is not believed, requests a core: backends hold some tens at most.
const MAX_IN_FLIGHT_PER_CORE: f64 = 64.0;

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
