//! The load that one backend reports in its responses and in the endpoint list.

use shaletide_types::*;

/// Window over which a backend's reports are averaged, s: about the time that an overloaded backend takes to become
/// slow.
const LOAD_AVERAGE_WINDOW_S: f64 = 1.0;
/// Maximum age of a sample, s. An older one shows that a list update is missing.
const LOAD_SAMPLE_MAX_AGE_S: f64 = 2.2;
/// Upper bound of a report, requests in flight on a core: real backends have at most a few tens.
const MAX_IN_FLIGHT_PER_CORE: f64 = 64.0;

/// Requests in flight at a backend, as one source reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadSample {
    /// Requests in flight on a core, averaged over about a second.
    pub average: f64,
    /// Requests in flight on a core by the latest report.
    pub latest: f64,
    recorded_at: Option<Time>,
}

impl LoadSample {
    /// Records a report of the requests in flight on a core. Impossible values are ignored.
    pub fn record(&mut self, now: Time, in_flight_per_core: f64) {
        if !in_flight_per_core.is_finite() || in_flight_per_core < 0.0 {
            return;
        }
        // A first report of an idle backend may be of an outdated list, or of one from before the traffic.
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

    /// Returns the sample, unless there is none or it is too old.
    pub fn if_fresh(&self, now: Time) -> Option<LoadSample> {
        let recorded_at = self.recorded_at?;
        ((now - recorded_at).secs() < LOAD_SAMPLE_MAX_AGE_S).then_some(*self)
    }
}

/// The load that a backend reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReportedLoad {
    /// From the load reports in its responses.
    pub in_responses: LoadSample,
    /// From its weight in the endpoint list, which may arrive late.
    pub in_list: LoadSample,
    latency: Option<ReportedLatency>,
    /// Factor on the backend's even share of the traffic, adjusted by its reports; `None` before the first adjustment.
    pub rebalancing_factor: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct ReportedLatency {
    seconds: f64,
    reported_at: Time,
}

impl ReportedLoad {
    /// Records the mean latency of the requests that the backend served recently.
    pub fn record_latency(&mut self, now: Time, seconds: f64) {
        self.latency = Some(ReportedLatency { seconds, reported_at: now });
    }

    /// Returns the latency that the backend reported last, s, unless the report is too old.
    pub fn latency_s(&self, now: Time) -> Option<f64> {
        let latency = self.latency?;
        ((now - latency.reported_at).secs() < LOAD_AVERAGE_WINDOW_S).then_some(latency.seconds)
    }

    /// Returns the requests in flight on a core, by its responses or else by the list; `None` where neither is fresh.
    pub fn in_flight_per_core(&self, now: Time) -> Option<f64> {
        let sample = self.in_responses.if_fresh(now).or(self.in_list.if_fresh(now))?;
        Some(sample.average)
    }
}
