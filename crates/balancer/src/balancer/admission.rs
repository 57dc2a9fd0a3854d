//! Admission: which of the held requests are sent now, and which are rejected.

use super::selection::Selection;
use super::*;

impl Balancer {
    /// Whether all proxies together hold too much, as far as one tells that has no room to count: it takes
    /// the others to be like itself. With load / (1 - load) held, twice the hold is a load of eight ninths,
    /// half of it two thirds. Turned away at once does no harm; waiting here would make no room.
    pub(super) fn is_overloaded(&self, value: f64, luck: f64) -> bool {
        if luck > self.load_reports.admitted_fraction(value < LOW_PRIORITY) {
            return true;
        }
        let limit = if value < LOW_PRIORITY {
            TARGET_IN_FLIGHT_PER_CORE / 2.0
        } else {
            TARGET_IN_FLIGHT_PER_CORE * 2.0
        };
        // What all say they hold goes before the guess that they are like this one. Where none does, answers
        // speak for low worth: with m held one takes 1 + m times its least, by `usual` a quarter of the aim.
        let slow = self
            .latencies
            .estimated_in_flight_per_core()
            .filter(|_| value < LOW_PRIORITY && !self.config.weights_report_load);
        let slack =
            self.load_reports.mean_in_flight_per_core.or(slow).map_or(1.0, |m| {
                (TARGET_MEAN_IN_FLIGHT_PER_CORE / m.max(0.1)).clamp(1.0, MAX_OVERLOAD_SLACK)
            });
        let held = self.in_flight_level.per_second().unwrap_or(0.0)
            * self.load_reports.fleet_size()
            * self.reachable_fraction;
        self.is_large_fleet()
            && held > limit * slack * self.server_types.values().map(|k| k.healthy_cores).sum::<f64>()
    }

    /// Sends what is held, the densest worth first and the newest first inside it.
    pub(super) fn dispatch_queued(&mut self, now: Time, shared: &mut SharedLimits) {
        if self.queued.is_empty() || self.blocked_below == f64::MAX && !self.draining {
            return;
        }
        let mut line: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.queued) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.attempts.is_empty() { r.priority } else { f64::MAX };
                let density =
                    self.config.classes[r.class].priority_weight / self.latencies.relative_work(r.class);
                line.push((density * r.priority, r.arrived_at, id, value));
            }
        }
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in line {
            if value < self.blocked_below {
                self.queued.push(id); // nothing less urgent finds room either, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let (again, work) =
                (r.attempts.iter().any(|s| !s.not_sent), self.latencies.relative_work(r.class));
            let refused = !again && self.is_overloaded(r.priority, r.admission_roll);
            let repeatable = self.may_send_attempt(now, &r);
            let sendable = repeatable && (!again || shared.retry_budget.has_retry()) && !refused;
            let drawn = if sendable { Some(self.select_backend(now, &r)) } else { None };
            let reason = match drawn {
                Some(Selection::NoneEligible) => GiveUpReason::NoBackendLeft,
                Some(_) => GiveUpReason::NoRoom,
                None if !repeatable => GiveUpReason::NotRepeatable,
                None if refused => GiveUpReason::Overloaded,
                None => GiveUpReason::RetryBudget,
            };
            let over = match drawn {
                Some(Selection::Backend(backend)) => {
                    if again {
                        shared.retry_budget.withdraw();
                    }
                    self.send_attempt(now, id, &mut r, backend, work);
                    false
                }
                Some(Selection::AllEjected | Selection::NoneEligible) if r.may_fail_over => {
                    let handover = Box::new(TransferredRequest { state: r });
                    self.actions.push(Action::FailOver { request: id, handover });
                    continue;
                }
                // Waiting brings nothing: whatever comes back, it was there already.
                Some(Selection::NoneEligible) if !r.attempts.is_empty() => !r.has_attempt_in_flight(),
                Some(_) if self.draining => !r.has_attempt_in_flight(),
                Some(_) => {
                    if !again {
                        self.blocked_below = self.blocked_below.max(if r.priority < LOW_PRIORITY {
                            LOW_PRIORITY
                        } else {
                            f64::MAX
                        });
                    }
                    self.queued.push(id);
                    false
                }
                None => !r.has_attempt_in_flight(),
            };
            self.requests.insert(id, r);
            if over {
                self.give_up(now, id, reason);
            }
        }
    }
}
