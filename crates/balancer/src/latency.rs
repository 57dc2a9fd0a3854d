//! Latencies of attempts, by class and over all classes, and the ages from which an attempt is presumed lost.

use crate::interface::Class;
use crate::statistics::MovingAverage;
use shaletide_types::*;

/// Samples in a mean of latencies: the mean's error is about a tenth of their standard deviation.
pub(crate) const LATENCY_SAMPLES: f64 = 100.0;
/// Fraction of the latency objective that is assumed as the latency of an unloaded backend, and as the expected latency
/// before any is measured.
const UNLOADED_OBJECTIVE_FRACTION: f64 = 0.25;
/// Multiple of the expected latency after which an unanswered attempt counts as silence of its backend, and no longer
/// counts against the backend's capacity.
const SILENCE_AGE_FACTOR: f64 = 8.0;
/// Multiple of the expected latency after which an attempt no longer counts against the backend's capacity, while most
/// attempts of that age are never answered.
const LOSS_AGE_FACTOR: f64 = 2.5;
/// Samples in the fraction of overdue attempts that are answered.
const OVERDUE_SAMPLES: f64 = 30.0;
/// Number of overdue attempts that are assumed as answered before any is known.
const ANSWERED_PRIOR_SAMPLES: f64 = 5.0;

/// Latencies of served attempts, and the fractions of overdue attempts that are answered.
#[derive(Clone, Debug)]
pub(crate) struct LatencyModel {
    by_class: Vec<ClassLatency>,
    /// Mean latency over all classes, s.
    overall: MovingAverage,
    /// In ascending order of the age factor.
    overdue: [OverdueAttempts; 2],
}

#[derive(Clone, Debug)]
struct ClassLatency {
    objective: Micros,
    /// Mean time from dispatch to response of served attempts, s.
    served: MovingAverage,
}

/// Attempts that ended when they were older than a multiple of the expected latency.
#[derive(Clone, Debug)]
struct OverdueAttempts {
    /// Multiple of the expected latency.
    age_factor: f64,
    /// Fraction of these attempts that got a response.
    answered: MovingAverage,
}

impl LatencyModel {
    pub fn new(classes: &[Class]) -> LatencyModel {
        let overdue = |age_factor| OverdueAttempts {
            age_factor,
            answered: MovingAverage::with_prior(1.0, ANSWERED_PRIOR_SAMPLES),
        };
        let mut model = LatencyModel {
            by_class: Vec::new(),
            overall: MovingAverage::default(),
            overdue: [overdue(LOSS_AGE_FACTOR), overdue(SILENCE_AGE_FACTOR)],
        };
        model.set_classes(classes);
        model
    }

    /// Applies the classes of another configuration; the latencies of existing classes stay.
    pub fn set_classes(&mut self, classes: &[Class]) {
        self.by_class.resize_with(classes.len(), || ClassLatency {
            objective: Micros(0),
            served: MovingAverage::default(),
        });
        for (latency, class) in self.by_class.iter_mut().zip(classes) {
            latency.objective = class.latency_objective;
        }
    }

    /// Records a served attempt's time from dispatch to response.
    pub fn record_served(&mut self, class: usize, latency_s: f64) {
        self.by_class[class].served.record(latency_s, LATENCY_SAMPLES);
        self.overall.record(latency_s, LATENCY_SAMPLES);
    }

    /// Scales a latency of the class to a request of average work. The class must have a served attempt.
    pub fn normalize(&self, class: usize, latency_s: f64) -> f64 {
        latency_s * self.overall.value / self.by_class[class].served.value
    }

    /// Returns a class's work relative to the mean of all requests, estimated from latencies; 1 while nothing is known.
    pub fn relative_work(&self, class: usize) -> f64 {
        self.by_class[class].served.mean().map_or(1.0, |latency_s| latency_s / self.overall.value)
    }

    /// Returns the expected latency of a served request of the class.
    pub fn expected(&self, class: usize) -> Micros {
        let class = &self.by_class[class];
        let unloaded = class.objective.times(UNLOADED_OBJECTIVE_FRACTION);
        class.served.mean().map_or(unloaded, Micros::from_secs)
    }

    /// Returns the age from which an attempt of the class is presumed lost.
    pub fn lost_after(&self, class: usize) -> Micros {
        self.expected(class).times(self.loss_age_factor().unwrap_or(SILENCE_AGE_FACTOR))
    }

    /// Returns the age from which an unanswered attempt of the class counts against its backend.
    pub fn silent_after(&self, class: usize) -> Micros {
        self.expected(class).times(SILENCE_AGE_FACTOR)
    }

    /// Returns whether most attempts of some age are never answered.
    pub fn attempts_are_lost(&self) -> bool {
        self.loss_age_factor().is_some()
    }

    /// Returns the smallest multiple of the expected latency from which most attempts are never answered.
    fn loss_age_factor(&self) -> Option<f64> {
        let mostly_lost = self.overdue.iter().find(|overdue| overdue.answered.value < 0.5);
        mostly_lost.map(|overdue| overdue.age_factor)
    }

    /// Records how an attempt ended, if it was overdue by then.
    pub fn record_overdue(&mut self, now: Time, class: usize, sent_at: Time, outcome: Outcome) {
        let answered = match outcome {
            Outcome::Ok | Outcome::Error => 1.0,
            Outcome::TimedOut | Outcome::Cancelled => 0.0,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Reset | Outcome::NotSent => return,
        };
        let expected = self.expected(class);
        for overdue in &mut self.overdue {
            if now >= sent_at + expected.times(overdue.age_factor) {
                overdue.answered.record(answered, OVERDUE_SAMPLES);
            }
        }
    }

    /// Estimates the requests in flight on a core from the class with the highest relative latency: a processor-sharing
    /// core with m requests in flight takes 1 + m times as long as an unloaded one.
    pub fn estimated_in_flight_per_core(&self) -> Option<f64> {
        let estimates = self.by_class.iter().filter_map(|class| {
            let unloaded_s = class.objective.secs() * UNLOADED_OBJECTIVE_FRACTION;
            Some(class.served.mean()? / unloaded_s - 1.0)
        });
        estimates.reduce(f64::max)
    }
}
