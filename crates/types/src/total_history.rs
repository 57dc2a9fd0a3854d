//! The history of a total that only grows, which tells by how much it has grown since a past moment.

use crate::{Micros, Time};
use std::collections::VecDeque;

/// Minimum growth that is recorded as a step; smaller growth counts with the next step.
const MIN_STEP: Micros = Micros(1_000);
/// Maximum number of steps that are kept; the oldest is dropped for a new one.
const MAX_STEPS: usize = 256;

/// A total and its recent growth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TotalHistory {
    latest: Micros,
    /// The moments at which the total had grown by a step, each with the total at that moment.
    steps: VecDeque<(Time, Micros)>,
}

impl TotalHistory {
    /// Records the total at `now`, which must not be earlier than in the last call.
    pub fn record(&mut self, now: Time, total: Micros) {
        self.latest = total;
        if self.steps.back().is_some_and(|(_, last)| total.0 < last.0 + MIN_STEP.0) {
            return;
        }
        if self.steps.len() == MAX_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back((now, total));
    }

    /// Returns the growth from the last step at or before `moment` to the last call. Counts from the oldest step that is kept
    /// if all are later.
    pub fn growth_since(&self, moment: Time) -> Micros {
        let earlier = self.steps.iter().rev().find(|(at, _)| *at <= moment).or(self.steps.front());
        earlier.map_or(Micros(0), |(_, earlier)| Micros(self.latest.0.saturating_sub(earlier.0)))
    }
}
