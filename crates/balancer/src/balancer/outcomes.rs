//! Updates the statistics of backend, server type, class and zone when an attempt ends.

use super::Balancer;
use crate::interface::AttemptEnd;
use crate::latency::LATENCY_SAMPLES;
use crate::outlier::{OutlierState, UnservedAttempt, Verdict};
use crate::request::InFlightAttempt;
use crate::zone_reachability::{ReachabilityChange, Response};
use shaletide_types::*;

/// Samples in a server type's mean latency where backends report their latency: each report is a mean over many
/// requests.
const REPORTED_LATENCY_SAMPLES: f64 = 30.0;
/// Lower bound of a measured latency, s.
const MIN_LATENCY_S: f64 = 1e-6;

impl Balancer {
    /// Records the end of an attempt.
    pub(super) fn record_outcome(&mut self, now: Time, attempt: InFlightAttempt, end: &AttemptEnd) {
        // Read before the attempt itself changes the model.
        let expected_latency = self.latencies.expected(attempt.class);
        let lost_after = self.latencies.lost_after(attempt.class);
        self.latencies.record_overdue(now, attempt.class, attempt.sent_at, end.outcome);
        let unserved = UnservedAttempt {
            class: attempt.class,
            sent_at: attempt.sent_at,
            silent_after: self.latencies.silent_after(attempt.class),
            median_error_rate: self.median_error_rate,
            has_failover_pool: self.config.has_failover_pool,
        };
        if self.backends.contains_key(&attempt.backend) {
            self.record_reachability(now, attempt, end.outcome, unserved.silent_after);
            self.release_capacity(now, attempt, lost_after);
            let verdict = match end.outcome {
                Outcome::Ok => self.record_served(now, attempt, end.latency),
                outcome => self.record_unserved(now, attempt.backend, outcome, unserved, expected_latency),
            };
            self.apply_verdict(now, attempt, verdict, end.outcome);
        }
        self.recount_after_probe(attempt.backend);
    }

    /// Recounts the availability where no backend is in use or this one is ejected, as the next probe may then be due.
    fn recount_after_probe(&mut self, id: BackendId) {
        let is_ejected = self.backends.get(&id).is_some_and(|backend| backend.outlier.is_ejected());
        if is_ejected || !self.availability.has_backend_in_use() {
            self.recount_availability();
        }
    }

    /// Records whether the backend's zone responded. Used only in a large fleet, where one proxy sees little of each
    /// backend.
    fn record_reachability(
        &mut self, now: Time, attempt: InFlightAttempt, outcome: Outcome, silent_after: Micros,
    ) {
        let Some(backend) = self.backends.get(&attempt.backend).filter(|_| self.is_large_fleet()) else {
            return;
        };
        let was_silent =
            now >= attempt.sent_at + silent_after && backend.outlier.is_silent_since(attempt.sent_at);
        let response = match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => Response::Received,
            Outcome::ConnectFailed => Response::Silence,
            Outcome::TimedOut | Outcome::Cancelled if was_silent => Response::Silence,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset | Outcome::NotSent => return,
        };
        let change = self.zone_reachability.record(now, self.config.zone, &backend.entry, response);
        if change == ReachabilityChange::Changed {
            self.recompute_at = now;
            self.timer.set_due(now);
        }
    }

    fn release_capacity(&mut self, now: Time, attempt: InFlightAttempt, lost_after: Micros) {
        let Some(backend) = self.backends.get_mut(&attempt.backend) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        if now >= attempt.sent_at + lost_after {
            backend.suspected_lost = backend.suspected_lost.saturating_sub(1);
        }
    }

    /// Records a served attempt. Only served attempts count in latencies: the duration of an error, a timeout or a
    /// rejection does not show a backend's speed.
    fn record_served(&mut self, now: Time, attempt: InFlightAttempt, latency: Micros) -> Verdict {
        let latency_s = latency.secs().max(MIN_LATENCY_S);
        self.service_time_rate.record(now, latency_s);
        self.latencies.record_served(attempt.class, latency_s);
        let Some(backend) = self.backends.get_mut(&attempt.backend) else { return Verdict::Keep };
        let server_type = self.server_types.entry(backend.entry.server_type).or_default();
        let (type_latency_s, samples) = match backend.reported_load.latency_s(now) {
            Some(reported_s) => (reported_s, REPORTED_LATENCY_SAMPLES),
            None => (self.latencies.normalize(attempt.class, latency_s), LATENCY_SAMPLES),
        };
        server_type.latency.record(type_latency_s, samples);
        // Latency and load have to be of the same attempts: else a type with less traffic than before would be taken to
        // be as slow as it was under the higher load.
        server_type.arrivals_when_served_per_s.record(server_type.arrivals_per_s, samples);
        backend.outlier.record_success(now, attempt.class)
    }

    fn record_unserved(
        &mut self, now: Time, id: BackendId, outcome: Outcome, attempt: UnservedAttempt,
        expected_latency: Micros,
    ) -> Verdict {
        let Some(backend) = self.backends.get_mut(&id) else { return Verdict::Keep };
        match outcome {
            Outcome::Rejected => {
                backend.outlier.record_rejection(now, attempt.class, expected_latency);
                Verdict::Keep
            }
            Outcome::Cancelled => backend.outlier.record_cancellation(now, attempt),
            Outcome::TimedOut => backend.outlier.record_timeout(now, attempt),
            Outcome::Error => backend.outlier.record_error_response(now, attempt),
            Outcome::Reset | Outcome::ConnectFailed => backend.outlier.record_failure(now, attempt),
            Outcome::Ok | Outcome::NotSent => Verdict::Keep,
        }
    }

    fn apply_verdict(&mut self, now: Time, attempt: InFlightAttempt, verdict: Verdict, outcome: Outcome) {
        match verdict {
            Verdict::Keep => {}
            Verdict::Restored => {
                self.recount_availability();
                self.log(now, format!("backend {} restored: its probes succeeded", attempt.backend.0));
            }
            Verdict::Eject => self.eject(now, attempt.backend, outcome),
            Verdict::EjectForClass => self.eject_for_class(now, attempt.backend, attempt.class),
        }
    }

    fn eject(&mut self, now: Time, id: BackendId, outcome: Outcome) {
        let first_term_s = OutlierState::first_term_s(self.rng.next_unit());
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let Some(term_s) = backend.outlier.eject(now, first_term_s) else { return };
        backend.capacity_factor = 0.0;
        let percent = backend.outlier.error_rate * 100.0;
        self.timer.set_due(now);
        self.recount_availability();
        let reason = describe(outcome);
        self.log(
            now,
            format!("backend {} ejected for {term_s:.1} s: {reason}, error rate {percent:.0} %", id.0),
        );
    }

    fn eject_for_class(&mut self, now: Time, id: BackendId, class: usize) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let Some(term_s) = backend.outlier.eject_for_class(now, class) else { return };
        let percent = backend.outlier.class_error_rate(class) * 100.0;
        self.log(
            now,
            format!(
                "backend {} excluded from class {class} for {term_s:.1} s: error rate {percent:.0} %",
                id.0
            ),
        );
    }
}

/// Describes the outcome that led to an ejection, for the log.
fn describe(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "request served",
        Outcome::Error => "error response",
        Outcome::Rejected => "request rejected",
        Outcome::TimedOut => "no response in time",
        Outcome::ConnectFailed => "connection failed",
        Outcome::Reset => "connection broken",
        Outcome::Cancelled => "no response before the attempt was cancelled",
        Outcome::NotSent => "nothing sent",
    }
}
