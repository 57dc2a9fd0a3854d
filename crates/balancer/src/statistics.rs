//! Running estimates: a moving average and a decaying rate.

use shaletide_types::*;

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
