//! Time-driven work: polls of discovery, lost attempts, expiry of requests, hedges.

use super::{Balancer, IN_FLIGHT_WINDOW_S};
use crate::give_up::GiveUpReason;
use crate::interface::Action;
use crate::limits::SharedLimits;
use crate::request::{Attempt, RequestState};
use crate::retry::may_send_attempt;
use shaletide_types::*;

/// Fraction of its time after which a queued request is given up, if a late answer has no value or it is certain that
/// no attempt was executed. Its client still has time to try elsewhere then.
const QUEUE_TIME_FRACTION: f64 = 0.5;
/// A request is given up earlier than its deadline by the usual lateness of timers, but by no more than its time
/// divided by this number, as its time may be short.
const GIVE_UP_LEAD_TIME_DIVISOR: u64 = 8;

/// The action that is due for a request.
enum DueAction {
    Nothing,
    /// Sends another attempt in addition to those in flight.
    Hedge,
    /// Cancels the attempt in flight, so that another one can be sent.
    Cancel(AttemptNumber),
    /// Gives the request up.
    Expire,
}

/// The time limit of a request.
struct RequestLimit {
    /// An answer after this time is useless.
    answer_by: Time,
    /// The request is given up this long before `answer_by`.
    lead_time: Micros,
}

impl Balancer {
    /// Runs the timers that are due, and sets the time at which the next one is.
    pub(super) fn run_timers(&mut self, now: Time, shared: &SharedLimits) {
        // Applies where nothing is due earlier.
        let mut next_at = now + Micros::from_secs(IN_FLIGHT_WINDOW_S);
        if self.discovery_poll.poll_if_due(now, self.config.discovery) {
            self.actions.push(Action::Subscribe);
        }
        next_at = self.discovery_poll.due_at().map_or(next_at, |at| next_at.min(at));
        next_at = next_at.min(self.mark_lost_attempts(now));
        next_at = next_at.min(self.hedge_or_expire_requests(now, shared));
        self.timer.set_due(next_at.max(now + self.config.min_timer_interval));
    }

    /// Recounts the attempts in flight that are presumed lost or overdue without a response. Returns the time at which
    /// the next attempt reaches one of these ages, or the maximum time if there is none.
    fn mark_lost_attempts(&mut self, now: Time) -> Time {
        for backend in self.backends.values_mut() {
            backend.suspected_lost = 0;
            backend.outlier.clear_overdue();
        }
        self.lost_to_unreachable_zones = 0;
        let mut next_at = Time(u64::MAX);
        for attempt in self.in_flight_attempts.values() {
            let lost_at = attempt.sent_at + self.latencies.lost_after(attempt.class);
            let silent_after = self.latencies.silent_after(attempt.class);
            for at in [lost_at, attempt.sent_at + silent_after] {
                if at > now {
                    next_at = next_at.min(at);
                }
            }
            let Some(backend) = self.backends.get_mut(&attempt.backend) else { continue };
            if now >= lost_at {
                backend.suspected_lost += 1;
                if self.zone_reachability.is_unreachable(now, backend.entry.zone) {
                    self.lost_to_unreachable_zones += 1;
                }
            }
            backend.outlier.count_if_overdue(now, attempt.class, attempt.sent_at, silent_after);
        }
        next_at
    }

    /// Hedges, cancels or expires the requests for which that is due. Returns the time at which the next request
    /// expires, or the maximum time if there is none.
    fn hedge_or_expire_requests(&mut self, now: Time, shared: &SharedLimits) -> Time {
        let mut next_at = Time(u64::MAX);
        let mut due = Vec::new();
        for (&id, request) in self.requests.iter().filter(|(_, request)| !request.streaming) {
            let limit = self.request_limit(request);
            next_at = next_at.min(limit.answer_by - limit.lead_time);
            match self.due_action(now, request, &limit, shared) {
                DueAction::Nothing => {}
                action => due.push((id, action)),
            }
        }
        let mut expired = Vec::new();
        for (id, action) in due {
            match action {
                DueAction::Nothing => {}
                DueAction::Hedge => self.queue.push_if_absent(id),
                DueAction::Cancel(attempt) => self.actions.push(Action::Cancel { request: id, attempt }),
                DueAction::Expire => expired.push(id),
            }
        }
        for id in expired {
            self.give_up(now, id, GiveUpReason::OutOfTime);
        }
        next_at
    }

    fn request_limit(&self, request: &RequestState) -> RequestLimit {
        let lead_time = self.give_up_lead(request);
        if request.has_attempt_in_flight() {
            return RequestLimit { answer_by: request.deadline, lead_time };
        }
        // A queued request that can no longer be answered in time is rejected while that is harmless.
        let expected = self.latencies.expected(request.class);
        if self.may_be_late(request) {
            return RequestLimit { answer_by: request.deadline, lead_time: expected.max(lead_time) };
        }
        let min_interval = self.config.min_timer_interval;
        let time = (request.deadline - request.arrived_at).times(QUEUE_TIME_FRACTION);
        let rejected_at = request.arrived_at + time + expected - min_interval;
        let answer_by = request.objective_at.min(rejected_at).min(request.deadline);
        RequestLimit { answer_by, lead_time: expected.max(min_interval) }
    }

    /// Returns how long before its deadline a request is given up at the latest: at the deadline it can only time out.
    pub(super) fn give_up_lead(&self, request: &RequestState) -> Micros {
        let part_of_time = (request.deadline - request.arrived_at).0 / GIVE_UP_LEAD_TIME_DIVISOR;
        self.config.timer_lateness.min(Micros(part_of_time)).max(self.config.min_timer_interval)
    }

    /// Returns whether a request is kept after its latency objective: a late answer still has weight, and the client
    /// cannot safely try elsewhere, as the request may have been executed.
    fn may_be_late(&self, request: &RequestState) -> bool {
        self.config.classes[request.class].late_weight_fraction > 0.0 && !request.is_not_executed()
    }

    fn due_action(
        &self, now: Time, request: &RequestState, limit: &RequestLimit, shared: &SharedLimits,
    ) -> DueAction {
        if now + limit.lead_time >= limit.answer_by {
            return DueAction::Expire;
        }
        if !self.needs_another_attempt(now, request) || !shared.retry_budget.has_retry() {
            return DueAction::Nothing;
        }
        if self.config.hedging {
            return if may_send_attempt(&self.config, now, request) {
                DueAction::Hedge
            } else {
                DueAction::Nothing
            };
        }
        let is_repeatable = self.config.classes[request.class].idempotency != Idempotency::NonIdempotent;
        if self.config.may_cancel_attempts && is_repeatable {
            DueAction::Cancel(AttemptNumber(request.attempts.len() as u32 - 1))
        } else {
            DueAction::Nothing
        }
    }

    /// Returns whether all attempts in flight are worth replacing and another one can still be answered in time.
    fn needs_another_attempt(&self, now: Time, request: &RequestState) -> bool {
        let mut in_flight = request.attempts.iter().filter(|attempt| attempt.in_flight);
        let all_worth_replacing =
            in_flight.all(|attempt| self.is_worth_replacing(now, request.class, attempt));
        if !request.has_attempt_in_flight() || !all_worth_replacing {
            return false;
        }
        let answered_at = now + self.latencies.expected(request.class);
        answered_at < request.objective_at || self.may_be_late(request) && answered_at < request.deadline
    }

    /// Returns whether the attempt is unlikely to be answered: its backend is gone or ejected, or the attempt is old
    /// while attempts are being lost. Age alone is not enough: hedges of requests that merely take long would overload
    /// every backend.
    fn is_worth_replacing(&self, now: Time, class: usize, attempt: &Attempt) -> bool {
        let backend = self.backends.get(&attempt.backend.id);
        let is_backend_ejected = backend.is_none_or(|backend| backend.outlier.is_ejected());
        let is_old = now >= attempt.sent_at + self.latencies.lost_after(class);
        is_backend_ejected || is_old && self.latencies.attempts_are_lost()
    }
}
