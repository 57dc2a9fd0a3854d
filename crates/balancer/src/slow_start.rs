//! Slow start: limits how much work is sent to a backend that has just started. Such a backend is overloaded by more
//! than a multiple of its current capacity within a window; each proxy keeps to its own part of that budget. In
//! addition, `warmup_fraction` scales the backend's selection weight and concurrency limit (`balancer/weights.rs`).

use crate::interface::Config;
use crate::server_type::ServerTypeStats;
use shaletide_types::*;
use std::collections::BTreeMap;

/// Fraction of its budget that this proxy uses: the rest allows for differences between proxies and for expensive
/// requests.
const SLOW_START_SAFETY_FACTOR: f64 = 0.8;
/// Minimum budget, in requests of average work: without it a backend might never be used.
const MIN_BUDGET: f64 = 1.0;

/// Returns the fraction of its capacity that a backend has at least: grows from the configured fraction at its start
/// to 1.
pub(crate) fn warmup_fraction(config: &Config, now: Time, entry: &BackendEntry) -> f64 {
    let initial = config.initial_capacity_fraction;
    let elapsed = match entry.started_at {
        Some(started_at) => (now - started_at).secs() / config.slow_start_window.secs().max(1e-6),
        None => f64::MAX,
    };
    initial + (1.0 - initial) * elapsed.min(1.0)
}

/// Work of the attempts sent to a backend within the overload window, in requests of average work.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SentWork(Vec<(Time, f64)>);

impl SentWork {
    /// Adds an attempt, and removes those that are older than the window.
    pub fn record(&mut self, now: Time, work: f64, window: Micros) {
        self.0.retain(|(sent_at, _)| now - *sent_at < window);
        self.0.push((now, work));
    }

    fn total(&self, now: Time, window: Micros) -> f64 {
        let recent = self.0.iter().filter(|(sent_at, _)| now - *sent_at < window);
        recent.map(|(_, work)| work).sum()
    }
}

/// The work that may still be sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SlowStartBudget {
    /// The backend was warm throughout the overload window.
    Unlimited,
    /// Remaining budget, in requests of average work; negative where more was sent.
    Remaining(f64),
}

impl SlowStartBudget {
    /// Returns whether a request of this work exceeds the budget.
    pub fn is_exceeded_by(self, work: f64) -> bool {
        match self {
            SlowStartBudget::Unlimited => false,
            SlowStartBudget::Remaining(remaining) => remaining < work,
        }
    }
}

/// The inputs of the slow start budgets at one moment.
pub(crate) struct SlowStart<'a> {
    pub config: &'a Config,
    pub now: Time,
    /// Requests a second of each backend if the traffic were divided evenly.
    pub even_share_per_s: f64,
    pub server_types: &'a BTreeMap<ServerTypeId, ServerTypeStats>,
}

impl SlowStart<'_> {
    /// Returns the work that this proxy may still send to the backend within the overload window.
    pub fn budget(&self, entry: &BackendEntry, sent_work: &SentWork) -> SlowStartBudget {
        let window = self.config.overload_window;
        let fraction_at_window_start = warmup_fraction(self.config, self.now - window, entry);
        if fraction_at_window_start >= 1.0 {
            return SlowStartBudget::Unlimited;
        }
        let proxies = f64::from(self.config.proxies);
        let capacity_per_s = self.warm_capacity_per_s(entry);
        let all_proxies =
            self.config.overload_multiple * fraction_at_window_start * capacity_per_s * window.secs();
        let own_part = all_proxies / proxies;
        let budget = (own_part * SLOW_START_SAFETY_FACTOR).max(MIN_BUDGET);
        SlowStartBudget::Remaining(budget - sent_work.total(self.now, window))
    }

    /// Returns the requests a second that the backend can serve when it is warm: the capacity of its server type, or an
    /// even share of the traffic while the type has no measured latency.
    fn warm_capacity_per_s(&self, entry: &BackendEntry) -> f64 {
        let known = self.server_types.get(&entry.server_type);
        let Some((known, latency_s)) = known.and_then(|known| Some((known, known.latency.mean()?))) else {
            return self.even_share_per_s;
        };
        // Where few backends are ready the type's capacity is overestimated. A safe upper bound is one request per
        // latency on each core, plus one.
        let max_per_s = (1.0 + f64::from(entry.cores)) / latency_s;
        known.capacity_per_s.min(max_per_s)
    }
}
