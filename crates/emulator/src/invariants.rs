//! Checks the four invariants from outside the modules, by what the emulated proxies sent and answered.

use shaletide_types::*;
use std::collections::{BTreeMap, VecDeque};

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request was answered twice, or not before its deadline.
    Answer(RequestId),
    /// A request may have been executed twice although its class forbids that.
    Twice(RequestId),
    /// A request that may have executed was rejected.
    Refusal(RequestId),
    /// A new request went to a backend this long after the update that it drains or is gone.
    Drain(BackendId, Micros),
    /// A cold backend was sent more than its capacity; the load in thousandths of that.
    PushedOver(BackendId, u64),
}

/// The number of violations kept for display.
const MAX_KEPT: usize = 20;
/// The tolerance for the load of a cold backend: in a short window, chance alone may exceed the capacity by this factor.
const SLACK: f64 = 1.15;

/// Observes a run and records violations.
#[derive(Clone, Debug, Default)]
pub struct InvariantObserver {
    /// The first violations.
    pub broken: Vec<Violation>,
    /// The number of violations.
    pub count: u64,
    cold: BTreeMap<BackendId, VecDeque<(Time, f64)>>,
    /// The peak load of a cold backend in a window, as a fraction of the capacity in that window.
    pub peak_cold_load: f64,
    /// The same peak as a fraction of the load at which a backend falls: with a capacity of N requests of mean work, N +
    /// 3 x root of N + 3 requests, so that chance alone is no violation if N is small.
    pub peak_of_fall_bound: f64,
    /// The same peak as a fraction of N + 2 x root of N + 2, beyond which a backend falls in the operators' scenarios.
    pub peak_of_operators_fall_bound: f64,
}

impl InvariantObserver {
    /// Records a violation.
    pub fn violated(&mut self, violation: Violation) {
        self.count += 1;
        if self.broken.len() < MAX_KEPT {
            self.broken.push(violation);
        }
    }

    /// Checks that an attempt may go to `to`. `prior` holds the deduplication group and the time of each earlier attempt
    /// that may have executed or may still execute.
    pub fn sent(
        &mut self, now: Time, id: RequestId, request_idempotency: Idempotency,
        prior: &[(DeduplicationGroupId, Time)], to: DeduplicationGroupId,
    ) {
        let allowed = match request_idempotency {
            Idempotency::Safe => true,
            Idempotency::NonIdempotent => prior.is_empty(),
            Idempotency::Keyed(_, window) => prior.iter().all(|(cell, at)| *cell == to && now < *at + window),
        };
        if !allowed {
            self.violated(Violation::Twice(id));
        }
    }

    /// Checks that a request may be rejected, given the earlier attempts that may have executed.
    pub fn rejected(
        &mut self, id: RequestId, request_idempotency: Idempotency, prior: &[(DeduplicationGroupId, Time)],
    ) {
        if !prior.is_empty() && request_idempotency != Idempotency::Safe {
            self.violated(Violation::Refusal(id));
        }
    }

    /// Records work, s of a standard core, that reached a cold backend, and checks the sum over the window against
    /// `window_capacity`.
    pub fn work_arrived(
        &mut self, now: Time, to: BackendId, (work_s, mean_s): (f64, f64), window_capacity: f64,
        window: Micros,
    ) {
        let sums = self.cold.entry(to).or_default();
        sums.push_back((now, work_s));
        while sums.front().is_some_and(|(at, _)| now - *at >= window) {
            sums.pop_front();
        }
        // A single heavy request is not the fault of the proxies.
        if sums.len() < 3 {
            return;
        }
        let sum = sums.iter().map(|s| s.1).sum::<f64>();
        let part = sum / window_capacity.max(1e-9);
        let capacity_requests = window_capacity / mean_s;
        self.peak_of_fall_bound = self
            .peak_of_fall_bound
            .max(sum / mean_s / (capacity_requests + 3.0 * capacity_requests.sqrt() + 3.0));
        let bound = capacity_requests + 2.0 * capacity_requests.sqrt() + 2.0;
        self.peak_of_operators_fall_bound = self.peak_of_operators_fall_bound.max(sum / mean_s / bound);
        self.peak_cold_load = self.peak_cold_load.max(part);
        if part > SLACK {
            sums.clear();
            self.violated(Violation::PushedOver(to, (part * 1e3) as u64));
        }
    }
}
