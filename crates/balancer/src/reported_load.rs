//! What one backend reports of its load, in its responses and in the endpoint list.

use shaletide_types::*;

/// Window of the average of what a backend reports, s: about as long as an overloaded one takes to become slow.
const LOAD_AVERAGE_WINDOW_S: f64 = 1.0;
/// A sample older than this is not used, s: a list has not come.
const LOAD_SAMPLE_MAX_AGE_S: f64 = 2.2;
/// A report of more counts as this, requests a core: backends have some tens in flight at most.
const MAX_IN_FLIGHT_PER_CORE: f64 = 64.0;

/// Requests in flight at a backend, by one source.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadSample {
    /// Requests a core, on average over about a second.
    pub average: f64,
    /// Requests a core by the latest report.
    pub latest: f64,
    recorded_at: Option<Time>,
}

impl LoadSample {
    /// Records a report of so many requests a core. What cannot be is passed over.
    pub fn record(&mut self, now: Time, in_flight_per_core: f64) {
        if !in_flight_per_core.is_finite() || in_flight_per_core < 0.0 {
            return;
        }
        // A first report of an idle backend: an old list, or one from before the traffic.
        if in_flight_per_core == 0.0 && self.recorded_at.is_none() {
            return;
        }
        let weight = match self.recorded_at {
            Some(at) => 1.0 - (-(now - at).secs() / LOAD_AVERAGE_WINDOW_S).exp(),
            None => 1.0,
        };
        self.latest = in_flight_per_core.min(MAX_IN_FLIGHT_PER_CORE);
        self.average += (self.latest - self.average) * weight;
        self.recorded_at = Some(now);
    }

    /// The sample, unless there is none or it is too old.
    pub fn if_fresh(&self, now: Time) -> Option<LoadSample> {
        let recorded_at = self.recorded_at?;
        ((now - recorded_at).secs() < LOAD_SAMPLE_MAX_AGE_S).then_some(*self)
    }
}

/// What a backend reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReportedLoad {
    /// By the load reports in its responses.
    pub in_responses: LoadSample,
    /// By its weight in the endpoint list, which may come late.
    pub in_list: LoadSample,
    latency: Option<ReportedLatency>,
    /// The part of an even share that the backend can take, as far as its reports have shown.
    pub rebalancing_factor: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct ReportedLatency {
    seconds: f64,
    reported_at: Time,
}

impl ReportedLoad {
    /// Records how long the backend took lately, on average over all that it served.
    pub fn record_latency(&mut self, now: Time, seconds: f64) {
        self.latency = Some(ReportedLatency { seconds, reported_at: now });
    }

    /// The latency that the backend reported last, s, unless that is too old.
    pub fn latency_s(&self, now: Time) -> Option<f64> {
        let latency = self.latency?;
        ((now - latency.reported_at).secs() < LOAD_AVERAGE_WINDOW_S).then_some(latency.seconds)
    }

    /// Requests in flight on each of its cores, by its responses or else by the list; `None` where neither is fresh.
    pub fn in_flight_per_core(&self, now: Time) -> Option<f64> {
        let sample = self.in_responses.if_fresh(now).or(self.in_list.if_fresh(now))?;
        Some(sample.average)
    }
}
