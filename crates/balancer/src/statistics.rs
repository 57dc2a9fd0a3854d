//! Running estimates: a moving average over samples and an exponentially decaying rate.

use shaletide_types::*;

/// A mean over samples: the plain mean until their number reaches the cap, then an exponential mean over about that
/// many.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    /// The mean; 0 before the first sample.
    pub value: f64,
    /// Number of samples in the mean, up to the cap.
    pub count: f64,
}

impl MovingAverage {
    /// Creates a mean that starts as if `count` samples of `value` had been recorded.
    pub fn with_prior(value: f64, count: f64) -> MovingAverage {
        MovingAverage { value, count }
    }

    /// Adds a sample; the mean is over about `cap` samples.
    pub fn record(&mut self, sample: f64, cap: f64) {
        self.count = (self.count + 1.0).min(cap);
        self.value += (sample - self.value) / self.count;
    }

    /// Returns the mean; `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// A rate is returned once the window's length divided by this number has passed; an earlier one would be noise.
const MIN_WINDOW_DIVISOR: f64 = 20.0;

/// Events a second over about the last `window_s` seconds. The elapsed time decays in the same way as the events, so
/// that the estimate is unbiased while the window is not full.
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

    /// Sets the window, clamped to the range from 1 s to `max_s`.
    pub fn set_window(&mut self, window_s: f64, max_s: f64) {
        self.window_s = window_s.clamp(1.0, max_s);
    }

    /// Records that a quantity has been at `level` since the last call, which counts as `level` events for each second.
    pub fn record_level(&mut self, now: Time, level: f64) {
        let elapsed_s = self.seconds_since_update(now);
        let decay = (-elapsed_s / self.window_s).exp();
        self.record(now, level * (1.0 - decay) * self.window_s);
    }

    /// Records `events` at `now`; 0 only advances the time.
    pub fn record(&mut self, now: Time, events: f64) {
        let elapsed_s = self.seconds_since_update(now);
        let decay = (-elapsed_s / self.window_s).exp();
        self.weighted_events = self.weighted_events * decay + events;
        self.weighted_s = self.weighted_s * decay + (1.0 - decay) * self.window_s;
        self.updated_at = Some(now);
    }

    /// Returns the rate; `None` while too little of the window has passed.
    pub fn per_second(&self) -> Option<f64> {
        let is_known = self.weighted_s > self.window_s / MIN_WINDOW_DIVISOR;
        is_known.then(|| self.weighted_events / self.weighted_s)
    }

    fn seconds_since_update(&self, now: Time) -> f64 {
        self.updated_at.map_or(0.0, |at| (now - at).secs())
    }
}
