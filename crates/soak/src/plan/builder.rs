//! Makes the random draws of a plan and collects its steps.

use super::{FaultKind, ProcessEnd, ProcessStart, Restart, Scale, Step, StopSignals, TimedStep};
use shaletide_testkit::SeededRng;
use std::time::Duration;

/// Step of the wall clocks: an hour, in seconds.
pub(super) const HOUR_S: i64 = 3600;
/// Maximum pause between the ends of two proxies in a series, s.
const LONGEST_PAUSE_S: f64 = 0.4;

/// Builds a plan. Methods whose description begins with "Draws" advance the random numbers, so the order of their calls is
/// part of the plan of a seed.
pub(super) struct PlanBuilder {
    rng: SeededRng,
    pub(super) scale: Scale,
    steps: Vec<TimedStep>,
}

impl PlanBuilder {
    /// Returns a builder without steps for the plan of a seed.
    pub(super) fn new(seed: u64, scale: &Scale) -> PlanBuilder {
        PlanBuilder { rng: SeededRng::named(seed, "plan"), scale: *scale, steps: Vec::new() }
    }

    /// Returns the steps ordered by time. Steps with the same time keep the order in which they were added.
    pub(super) fn into_steps(self) -> Vec<TimedStep> {
        let mut steps = self.steps;
        steps.sort_by_key(|timed| timed.at);
        steps
    }

    /// Returns the time during which clients send requests, in seconds.
    pub(super) fn length_s(&self) -> f64 {
        self.scale.length.as_secs_f64()
    }

    /// Draws true with this probability.
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.rng.chance(probability)
    }

    /// Draws a number below a bound.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound.max(1) as u64) as usize
    }

    /// Draws a number between two bounds.
    pub(super) fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.rng.uniform()
    }

    /// Draws a number of milliseconds between two bounds, uniformly on a logarithmic scale.
    pub(super) fn log_millis(&mut self, least: f64, most: f64) -> u64 {
        (least * (most / least).powf(self.rng.uniform())) as u64
    }

    /// Draws a time in the middle of the run, in seconds, so that faults overlap.
    pub(super) fn time(&mut self) -> f64 {
        let length_s = self.length_s();
        self.between(0.1 * length_s, 0.7 * length_s)
    }

    /// Draws a fraction of the numbers below a bound without repetition; at least one.
    pub(super) fn sample(&mut self, bound: usize, part: f64) -> Vec<usize> {
        let mut left: Vec<usize> = (0..bound).collect();
        let count = ((bound as f64 * part) as usize).clamp(1, bound);
        (0..count).map(|_| left.swap_remove(self.below(left.len()))).collect()
    }

    /// Draws a fraction of the proxies.
    pub(super) fn sample_proxies(&mut self, part: f64) -> Vec<usize> {
        self.sample(self.scale.proxies, part)
    }

    /// Draws a fraction of the backends.
    pub(super) fn sample_backends(&mut self, part: f64) -> Vec<usize> {
        self.sample(self.scale.backends, part)
    }

    /// Draws the number of fault kinds that the scale sets. Most runs have two of [`FaultKind::STARTS_AND_ENDS`].
    pub(super) fn draw_kinds(&mut self) -> Vec<FaultKind> {
        let count = self.scale.faults.min(FaultKind::DRAWN.len());
        let mut drawn = Vec::new();
        if self.chance(0.7) {
            let mut related = FaultKind::STARTS_AND_ENDS.to_vec();
            drawn.extend((0..count.min(2)).map(|_| related.swap_remove(self.below(related.len()))));
        }
        let mut left: Vec<FaultKind> =
            FaultKind::DRAWN.into_iter().filter(|kind| !drawn.contains(kind)).collect();
        while drawn.len() < count {
            drawn.push(left.swap_remove(self.below(left.len())));
        }
        drawn
    }

    /// Draws the signals of a stop.
    pub(super) fn stop_signals(&mut self) -> StopSignals {
        [StopSignals::Single, StopSignals::Single, StopSignals::Twice, StopSignals::WithHangups]
            [self.below(4)]
    }

    /// Draws the pause before the next proxy of a series ends, in seconds.
    pub(super) fn pause_s(&mut self) -> f64 {
        self.between(0.0, LONGEST_PAUSE_S)
    }

    /// Adds a step at this time, in seconds from the start of the run.
    pub(super) fn add(&mut self, at_s: f64, step: Step) {
        self.steps.push(TimedStep { at: Duration::from_secs_f64(at_s.max(0.0)), step });
    }

    /// Adds a restart of a proxy at this time, in seconds from the start of the run.
    pub(super) fn add_restart(&mut self, at_s: f64, proxy: usize, end: ProcessEnd, start: ProcessStart) {
        self.add(at_s, Step::Restart(proxy, Restart { end, start }));
    }
}
