//! Accepts requests, passes them to other pools and ends them.

use super::Balancer;
use crate::give_up::GiveUpReason;
use crate::interface::{Action, Arrival, AttemptEnd, Class, TransferredRequest};
use crate::limits::SharedLimits;
use crate::outlier::BASE_EJECTION_S;
use crate::request::RequestState;
use crate::retry::is_rejection_harmless;
use shaletide_types::*;

/// `Retry-After` as a multiple of the expected latency: the attempts in flight now have ended by then and freed their
/// capacity.
const RETRY_AFTER_LATENCIES: f64 = 2.0;

impl Balancer {
    /// Accepts a client's request and queues it.
    pub(super) fn accept(&mut self, now: Time, arrival: Arrival, shared: &mut SharedLimits) {
        let Some(class) = self.config.classes.get(arrival.class.0) else { return };
        if self.requests.contains_key(&arrival.request) {
            return;
        }
        self.arrival_rate.record(now, 1.0);
        shared.retry_budget.deposit(now, self.latencies.attempts_are_lost(), self.config.proxies);
        let is_over_quota = self.is_over_quota(now, arrival.tenant, shared);
        let objective = latency_objective(class, arrival.work_hint);
        let request = RequestState {
            class: arrival.class.0,
            arrived_at: now,
            objective_at: now + objective.min(arrival.time_left),
            deadline: now + arrival.time_left,
            priority: self.priority(class, arrival.is_client_retry, is_over_quota),
            admission_random: self.admission_random(),
            streaming: false,
            may_fail_over: arrival.may_fail_over,
            attempts: Vec::new(),
        };
        self.requests.insert(arrival.request, request);
        self.queue.push(arrival.request);
    }

    /// Takes a token for the request from this proxy's part of the tenant's quota. Returns whether the quota is
    /// exceeded.
    fn is_over_quota(&self, now: Time, tenant: Option<TenantId>, shared: &mut SharedLimits) -> bool {
        shared.set_tenant_count(self.config.tenants.len());
        let Some(id) = tenant else { return false };
        let Some(tenant) = self.config.tenants.get(id.0) else { return false };
        let rate_per_s = tenant.quota_per_s / self.load_reports.fleet_size();
        !shared.take_from_quota(now, id, rate_per_s)
    }

    /// Returns the priority relative to that of a new request within its quota. A client's retry has used up time
    /// already, so that its answer mostly counts with the late weight only, and serving it before a new request would
    /// make both late.
    fn priority(&self, class: &Class, is_client_retry: bool, is_over_quota: bool) -> f64 {
        let by_lateness = if is_client_retry { class.late_weight_fraction } else { 1.0 };
        let by_quota = if is_over_quota { self.config.over_quota_weight_fraction } else { 1.0 };
        by_lateness * by_quota
    }

    /// Draws the random number for admission control, or returns 0 where load reports cannot limit admission.
    fn admission_random(&mut self) -> f64 {
        let expects_reports = self.is_large_fleet() && self.config.weights_report_load;
        if self.load_reports.mean_in_flight_per_core().is_some() || expects_reports {
            self.rng.next_unit()
        } else {
            0.0
        }
    }

    /// Accepts a request that failed over from the balancer of another pool, with its state unchanged.
    pub(super) fn accept_failed_over(&mut self, now: Time, id: RequestId, request: TransferredRequest) {
        if self.requests.contains_key(&id) || request.state.class >= self.config.classes.len() {
            return;
        }
        self.arrival_rate.record(now, 1.0);
        self.requests.insert(id, request.state);
        self.queue.push(id);
        self.timer.set_due(now);
    }

    /// Removes all queued requests and returns them, for another pool that can take them now.
    pub fn release_queued(&mut self) -> Vec<(RequestId, TransferredRequest)> {
        let mut released = Vec::new();
        for id in self.queue.take_all() {
            if let Some(state) = self.requests.remove(&id) {
                released.push((id, TransferredRequest { state }));
            }
        }
        released
    }

    /// Records that the response of an attempt started to stream, if the attempt is still in flight.
    pub(super) fn on_stream_started(&mut self, id: RequestId, attempt: AttemptNumber) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.attempts.get(attempt.0 as usize).is_some_and(|attempt| attempt.in_flight) {
            request.streaming = true;
        }
    }

    /// Handles the end of an attempt: updates the statistics, and removes its request or queues it again.
    pub(super) fn on_attempt_ended(&mut self, now: Time, end: AttemptEnd) {
        let id = end.request;
        // The backend or the request may have moved to another pool meanwhile.
        if let Some(attempt) = self.in_flight_attempts.remove(&(id, end.attempt)) {
            self.record_outcome(now, attempt, &end);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(attempt) = request.attempts.get_mut(end.attempt.0 as usize) {
            attempt.in_flight = false;
            attempt.not_executed = end.outcome.not_executed();
            attempt.not_sent = end.outcome == Outcome::NotSent;
        }
        if end.request_answered || end.outcome == Outcome::Ok {
            self.remove_request(id);
        } else if !request.has_attempt_in_flight() {
            self.queue.push_if_absent(id); // `dispatch_queued` retries it or gives it up
        }
    }

    /// Ends a request that will not be served: rejects it where that is harmless, else fails it.
    pub(super) fn give_up(&mut self, now: Time, id: RequestId, reason: GiveUpReason) {
        let Some(request) = self.requests.get(&id) else { return };
        self.give_up_counts.add(reason);
        let has_backend =
            self.server_types.values().any(|server_type| server_type.total_capacity_factor > 0.0);
        let retry_after = if has_backend {
            self.latencies.expected(request.class).times(RETRY_AFTER_LATENCIES)
        } else {
            // An ejected backend is probed after about this time.
            Micros::from_secs(BASE_EJECTION_S)
        };
        // The header `Retry-After` has whole seconds.
        let client_returns_at = now + Micros::from_secs(retry_after.secs().ceil());
        let answer = if is_rejection_harmless(&self.config, request, client_returns_at) {
            Action::Reject { request: id, retry_after, reason }
        } else {
            Action::Fail { request: id, retry_after, reason }
        };
        self.actions.push(answer);
        self.remove_request(id);
    }

    /// Removes a request that needs no answer any more, and cancels its attempts in flight.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.queue.remove(id);
        if !self.config.may_cancel_attempts {
            return;
        }
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight {
                self.actions.push(Action::Cancel { request: id, attempt: AttemptNumber(number as u32) });
            }
        }
    }
}

/// Returns the time within which an answer has its full priority weight: the class's objective, extended for the
/// request's work.
fn latency_objective(class: &Class, work_hint: Option<Micros>) -> Micros {
    let for_work = work_hint.unwrap_or_default().times(class.latency_objective_per_work_hint);
    Micros(class.latency_objective.0.saturating_add(for_work.0))
}
