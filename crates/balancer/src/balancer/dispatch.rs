//! Dispatch: decides what happens to each queued request, and carries the decision out.

use super::Balancer;
use crate::give_up::GiveUpReason;
use crate::interface::{Action, TransferredRequest};
use crate::limits::SharedLimits;
use crate::request::{Attempt, InFlightAttempt, RequestState};
use crate::retry::{may_send_attempt, start_by};
use crate::selection::{Selection, Selector};
use crate::slow_start::SlowStart;
use shaletide_types::*;

/// The decision on a queued request.
enum Decision {
    /// An attempt is sent to the backend.
    Send(BackendId),
    /// The request stays in the queue until a backend has capacity.
    Wait,
    /// No further attempt can be sent; one in flight may still bring the answer.
    AwaitAttempt,
    /// The request moves to the next pool.
    FailOver,
    /// The request will not be served.
    GiveUp(GiveUpReason),
}

/// A queued request with its sort keys for the dispatch order.
struct QueuedRequest {
    id: RequestId,
    arrived_at: Time,
    /// Priority weight per unit of work.
    weight_per_work: f64,
    /// No attempt has been sent yet.
    is_new: bool,
}

impl Balancer {
    /// Dispatches the queued requests as far as there is capacity.
    pub(super) fn dispatch_queued(&mut self, now: Time, shared: &mut SharedLimits) {
        if self.queue.is_empty() || self.queue.is_blocked_for_all() && !self.closed {
            return;
        }
        for queued in self.queue_by_priority() {
            self.dispatch(now, queued, shared);
        }
    }

    /// Empties the queue and returns its requests in the order of dispatch: highest priority weight per unit of work
    /// first, then the newest, which is the most likely to meet its deadline.
    fn queue_by_priority(&mut self) -> Vec<QueuedRequest> {
        let mut ordered = Vec::new();
        for id in self.queue.take_all() {
            let Some(request) = self.requests.get(&id) else { continue };
            let class_weight = self.config.classes[request.class].priority_weight;
            let class_weight_per_work = class_weight / self.latencies.relative_work(request.class);
            ordered.push(QueuedRequest {
                id,
                arrived_at: request.arrived_at,
                weight_per_work: class_weight_per_work * request.priority,
                is_new: request.attempts.is_empty(),
            });
        }
        ordered.sort_by(|a, b| {
            let by_weight = b.weight_per_work.total_cmp(&a.weight_per_work);
            by_weight.then(b.arrived_at.cmp(&a.arrived_at)).then(a.id.cmp(&b.id))
        });
        ordered
    }

    fn dispatch(&mut self, now: Time, queued: QueuedRequest, shared: &mut SharedLimits) {
        let id = queued.id;
        // The request is removed from the map during the decision, which borrows `self` mutably to draw random numbers.
        let Some(mut request) = self.requests.remove(&id) else { return };
        if queued.is_new && self.queue.is_blocked(request.priority_level()) {
            self.queue.push(id);
            self.requests.insert(id, request);
            return;
        }
        let decision = self.decide(now, &request, shared);
        let is_retry = request.was_sent();
        match decision {
            Decision::Send(backend) => {
                if is_retry {
                    shared.retry_budget.withdraw();
                }
                self.send_attempt(now, id, &mut request, backend);
            }
            Decision::Wait => {
                if !is_retry {
                    self.queue.block(request.priority_level());
                }
                self.queue.push(id);
            }
            Decision::FailOver => {
                let transferred = Box::new(TransferredRequest { state: request });
                self.actions.push(Action::FailOver { request: id, transferred });
                return;
            }
            Decision::AwaitAttempt | Decision::GiveUp(_) => {}
        }
        self.requests.insert(id, request);
        if let Decision::GiveUp(reason) = decision {
            self.give_up(now, id, reason);
        }
    }

    /// Decides on a queued request. Admission control applies to new requests, the retry budget to the others.
    fn decide(&mut self, now: Time, request: &RequestState, shared: &SharedLimits) -> Decision {
        let is_retry = request.was_sent();
        if !may_send_attempt(&self.config, now, request) {
            return decide_unsendable(request, GiveUpReason::NotRepeatable);
        }
        if !is_retry && self.is_overloaded(request) {
            return decide_unsendable(request, GiveUpReason::Overloaded);
        }
        if is_retry && !shared.retry_budget.has_retry() {
            return decide_unsendable(request, GiveUpReason::RetryBudget);
        }
        match self.select_backend(now, request) {
            Selection::Backend(backend) => Decision::Send(backend),
            Selection::AllEjected | Selection::NoneEligible if request.may_fail_over => Decision::FailOver,
            // Waiting is useless: a backend that becomes ready again has been tried before.
            Selection::NoneEligible if self.closed || !request.attempts.is_empty() => {
                decide_unsendable(request, GiveUpReason::NoEligibleBackend)
            }
            Selection::NoCapacity | Selection::AllEjected if self.closed => {
                decide_unsendable(request, GiveUpReason::PoolClosed)
            }
            Selection::NoCapacity | Selection::AllEjected | Selection::NoneEligible => Decision::Wait,
        }
    }

    fn select_backend(&mut self, now: Time, request: &RequestState) -> Selection {
        let work = self.latencies.relative_work(request.class);
        let fleet_rate = self.arrival_rate.per_second().unwrap_or(1.0) * self.load_reports.fleet_size();
        let slow_start = SlowStart {
            config: &self.config,
            now,
            even_share_per_s: fleet_rate / self.backends.len() as f64,
            server_types: &self.server_types,
        };
        let selector = Selector {
            config: &self.config,
            now,
            backends: &self.backends,
            server_types: &self.server_types,
            slow_start,
        };
        selector.select(&mut self.rng, request, work)
    }

    fn send_attempt(&mut self, now: Time, id: RequestId, request: &mut RequestState, to: BackendId) {
        let Some(backend) = self.backends.get_mut(&to) else { return };
        let attempt = AttemptNumber(request.attempts.len() as u32);
        let start_by = start_by(&self.config, request);
        request.attempts.push(Attempt {
            backend: backend.entry.clone(),
            sent_at: now,
            in_flight: true,
            not_executed: false,
            not_sent: false,
        });
        backend.in_flight += 1;
        let work = self.latencies.relative_work(request.class);
        backend.sent_work.record(now, work, self.config.overload_window);
        let is_probe = backend.outlier.is_ejected();
        let in_flight = InFlightAttempt { backend: to, class: request.class, sent_at: now };
        self.in_flight_attempts.insert((id, attempt), in_flight);
        self.actions.push(Action::Dispatch { request: id, attempt, backend: to, start_by });
        if is_probe {
            self.recount_availability();
        }
        self.timer.due_by(now + self.latencies.lost_after(request.class));
        self.timer.due_by(request.deadline - self.give_up_lead(request));
    }
}

/// Decides on a request for which no attempt can be sent now: it waits for one in flight, if there is one.
fn decide_unsendable(request: &RequestState, reason: GiveUpReason) -> Decision {
    if request.has_attempt_in_flight() {
        Decision::AwaitAttempt
    } else {
        Decision::GiveUp(reason)
    }
}
