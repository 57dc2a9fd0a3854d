//! Running estimates: a moving average over samples and a rate that decays with time.

use shaletide_types::*;

/// The mean of all samples until there are as many as the cap, and from then on an exponential mean over about that
/// many.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    /// The mean; 0 before the first sample.
    pub value: f64,
    /// Samples that the mean rests on, up to the cap.
    pub count: f64,
}

impl MovingAverage {
    /// An estimate that counts as so many samples of `value`.
    pub fn with_prior(value: f64, count: f64) -> MovingAverage {
        MovingAverage { value, count }
    }

    /// Adds a sample to a mean over about `cap` samples.
    pub fn record(&mut self, sample: f64, cap: f64) {
        self.count = (self.count + 1.0).min(cap);
        self.value += (sample - self.value) / self.count;
    }

    /// The mean; `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// A rate is given once the window's length over this number has passed: an earlier one would be chance alone.
const MIN_WINDOW_DIVISOR: f64 = 20.0;

/// Events a second over about the last `window_s` seconds. The time since the first call is weighted as the events
/// are, so that the estimate has no bias while the window is not full.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    window_s: f64,
    weighted_events: f64,
    weighted_s: f64,
    updated_at: Option<Time>,
}

impl DecayingRate {
    pub fn new(window_s: f64) -> DecayingRate {
        DecayingRate { window_s, weighted_events: 0.0, weighted_s: 0.0, updated_at: None }
    }

    /// Sets the window from now on, within 1 s and `max_s`.
    pub fn set_window(&mut self, window_s: f64, max_s: f64) {
        self.window_s = window_s.clamp(1.0, max_s);
    }

    /// Records that a quantity was at `level` since the last call: `level` events for each second.
    pub fn record_level(&mut self, now: Time, level: f64) {
        let elapsed_s = self.seconds_since_update(now);
        let decay = (-elapsed_s / self.window_s).exp();
        self.record(now, level * (1.0 - decay) * self.window_s);
    }

    /// Records `events` at `now`; 0 lets time pass.
    pub fn record(&mut self, now: Time, events: f64) {
        let elapsed_s = self.seconds_since_update(now);
        let decay = (-elapsed_s / self.window_s).exp();
        self.weighted_events = self.weighted_events * decay + events;
        self.weighted_s = self.weighted_s * decay + (1.0 - decay) * self.window_s;
        self.updated_at = Some(now);
    }

    /// The rate; `None` while too little of the window has passed.
    pub fn per_second(&self) -> Option<f64> {
        let is_known = self.weighted_s > self.window_s / MIN_WINDOW_DIVISOR;
        is_known.then(|| self.weighted_events / self.weighted_s)
    }

    fn seconds_since_update(&self, now: Time) -> f64 {
        self.updated_at.map_or(0.0, |at| (now - at).secs())
    }
}
