//! The four invariants, watched from outside the modules: by what the emulated hosts sent and answered.

use shaletide_types::*;
use std::collections::{BTreeMap, VecDeque};

/// A rule that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request was answered twice, or not before its time was up.
    Answer(RequestId),
    /// An effect may have happened twice.
    Twice(RequestId),
    /// A refusal of what may have run.
    Refusal(RequestId),
    /// Something new to a backend so long after the news that it drains or is gone.
    Drain(BackendId, Micros),
    /// A cold backend was sent more than it can bear, in thousandths of that.
    PushedOver(BackendId, u64),
}

/// So many are kept.
const KEPT: usize = 20;
/// Chance alone may bring so much more in a short window.
const SLACK: f64 = 1.15;

/// The watch.
#[derive(Clone, Debug, Default)]
pub struct InvariantObserver {
    /// The first that broke.
    pub broken: Vec<Violation>,
    /// How many broke.
    pub count: u64,
    cold: BTreeMap<BackendId, VecDeque<(Time, f64)>>,
    /// The most that a cold backend was sent in a window, as a part of what it bears.
    pub fullest: f64,
    /// The same as a part of what makes it fall: where that bears N requests of mean work, N + 3 x root of N + 3 of them, so
    /// that chance alone is no fault where N is small.
    pub nearest_fall: f64,
    /// The same as a part of N + 2 x root of N + 2, beyond which a backend falls on the operators' scenarios.
    pub nearest_operators_fall: f64,
}

impl InvariantObserver {
    /// Notes it.
    pub fn broke(&mut self, what: Violation) {
        self.count += 1;
        if self.broken.len() < KEPT {
            self.broken.push(what);
        }
    }

    /// A request that may run in any of these backends already, each with its cell and when, is sent to another.
    pub fn sent(
        &mut self, now: Time, id: RequestId, effect: Idempotency, ran: &[(DeduplicationGroupId, Time)],
        to: DeduplicationGroupId,
    ) {
        let fine = match effect {
            Idempotency::Safe => true,
            Idempotency::NonIdempotent => ran.is_empty(),
            Idempotency::Keyed(_, window) => ran.iter().all(|(cell, at)| *cell == to && now < *at + window),
        };
        if !fine {
            self.broke(Violation::Twice(id));
        }
    }

    /// It was rejected while these may have run.
    pub fn rejected(&mut self, id: RequestId, effect: Idempotency, ran: &[(DeduplicationGroupId, Time)]) {
        if !ran.is_empty() && effect != Idempotency::Safe {
            self.broke(Violation::Refusal(id));
        }
    }

    /// Work, s of a standard core, came to a backend that bears so much in the window.
    pub fn came(
        &mut self, now: Time, to: BackendId, (work_s, mean_s): (f64, f64), bears: f64, window: Micros,
    ) {
        let sums = self.cold.entry(to).or_default();
        sums.push_back((now, work_s));
        while sums.front().is_some_and(|(at, _)| now - *at >= window) {
            sums.pop_front();
        }
        // One that is heavy alone is nobody's fault.
        if sums.len() < 3 {
            return;
        }
        let sum = sums.iter().map(|s| s.1).sum::<f64>();
        let part = sum / bears.max(1e-9);
        let many = bears / mean_s;
        self.nearest_fall = self.nearest_fall.max(sum / mean_s / (many + 3.0 * many.sqrt() + 3.0));
        let bound = many + 2.0 * many.sqrt() + 2.0;
        self.nearest_operators_fall = self.nearest_operators_fall.max(sum / mean_s / bound);
        self.fullest = self.fullest.max(part);
        if part > SLACK {
            sums.clear();
            self.broke(Violation::PushedOver(to, (part * 1e3) as u64));
        }
    }
}
