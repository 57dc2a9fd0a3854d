//! Ejection: what the outcome of an attempt says of its backend, its kind and its class.

use super::*;

impl Balancer {
    /// Where one on trial has ended, the next may be due.
    pub(super) fn recount_after_probe(&mut self, id: BackendId) {
        if self.eligible == 0 || self.backends.get(&id).is_some_and(|p| p.ejected_until.is_some()) {
            self.recount_eligible();
        }
    }

    /// What an outcome says of the backend, its kind and its class.
    pub(super) fn record_outcome(
        &mut self, now: Time, id: BackendId, class: usize, sent: Time, end: &AttemptEnd,
    ) {
        let (usual, quiet) = (self.latencies.expected(class), self.latencies.lost_after(class));
        let silent = self.latencies.silent_after(class);
        self.latencies.record_overdue(now, class, sent, end.outcome);
        let many = self.is_large_fleet();
        let Some(p) = self.backends.get_mut(&id) else { return };
        let word = matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let silence = match end.outcome {
            Outcome::ConnectFailed => true,
            Outcome::TimedOut | Outcome::Cancelled => now >= sent + silent && p.last_response_at <= sent,
            _ => false,
        };
        if many
            && (word || silence)
            && self.zone_reachability.record_outcome(now, self.config.zone, &p.entry, silence)
        {
            (self.recompute_at, self.next_timer_at) = (now, now);
        }
        p.in_flight = p.in_flight.saturating_sub(1);
        p.suspected_lost = p.suspected_lost.saturating_sub(u32::from(now >= sent + quiet));
        match end.outcome {
            Outcome::Ok => {
                // Served requests only: errors, time-outs and refusals stay out of the speeds.
                let secs = end.latency.secs().max(1e-6);
                self.service_time_rate.record(now, secs);
                self.latencies.record_served(class, secs);
                let plain = self.latencies.normalize(class, secs);
                let kind = self.server_types.entry(p.entry.server_type).or_default();
                // A backend's own mean is over many more than this proxy's.
                let (secs, cap) = p
                    .reported_load
                    .fresh_latency_s(now)
                    .map_or((plain, LATENCY_SAMPLES), |own| (own, REPORTED_LATENCY_SAMPLES));
                kind.latency.record(secs, cap);
                // Of the same answers: a kind that gets less is not taken for as slow as it was before.
                kind.arrival_rate_when_served.record(kind.arrival_rate, cap);
                (p.last_response_at, p.error_rate) = (now, p.error_rate * (1.0 - ERROR_RATE_STEP));
                let part = p.class_mut(class);
                (part.last_response_at, part.error_rate) = (now, part.error_rate * (1.0 - ERROR_RATE_STEP));
                (part.consecutive_rejections, part.consecutive_ejections) = (0, 0);
                p.successful_probes += 1;
                if p.ejected_until.is_none() {
                    p.consecutive_ejections = 0;
                } else if p.successful_probes >= PROBES_TO_RECOVER {
                    (p.ejected_until, p.error_rate) = (None, 0.0);
                    p.by_class.clear();
                    self.recount_eligible();
                    self.log(now, format!("backend {} is back", id.0));
                }
            }
            // A full backend answers, and is left alone until it may have finished one, twice as long each
            // time that it is still full: busy is not ill. It may hold back one class only.
            Outcome::Rejected => {
                let part = p.class_mut(class);
                let wait = usual
                    .times(f64::from(part.consecutive_rejections.min(4)).exp2())
                    .secs()
                    .min(BASE_EJECTION_S / 2.0);
                (part.backoff_until, part.consecutive_rejections) =
                    (now + Micros::from_secs(wait), part.consecutive_rejections + 1);
            }
            // Given up after a long silence, and it is not the only one, or another pool can do without it.
            Outcome::Cancelled if now >= sent + silent && p.last_response_at <= sent => {
                if p.overdue_without_response > 1 || self.config.has_failover_pool {
                    self.eject(now, id, end.outcome);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.class_mut(class).last_response_at >= sent => {}
            Outcome::TimedOut if p.last_response_at < sent => self.eject(now, id, end.outcome),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                let bump = |errors: &mut f64| *errors += (1.0 - *errors) * ERROR_RATE_STEP;
                bump(&mut p.error_rate);
                bump(&mut p.class_mut(class).error_rate);
                if end.outcome == Outcome::Error {
                    (p.last_response_at, p.class_mut(class).last_response_at) = (now, now);
                }
                let limit = MAX_ERROR_RATE + 2.0 * self.median_error_rate;
                // Where another class was served just now, it is this one only.
                let good = |p: &BackendClassStats| {
                    p.error_rate < ERROR_RATE_STEP / 2.0
                        && now < p.last_response_at + Micros::from_secs(BASE_EJECTION_S)
                };
                let all_ill = p.error_rate > limit && !p.by_class.iter().any(good);
                if p.ejected_until.is_some() || all_ill {
                    self.eject(now, id, end.outcome);
                } else if p.class_mut(class).error_rate > limit {
                    self.eject_for_class(now, id, class);
                }
            }
        }
    }

    /// It fails at one class: the others go on there.
    pub(super) fn eject_for_class(&mut self, now: Time, id: BackendId, class: usize) {
        let Some(p) = self.backends.get_mut(&id) else { return };
        let part = p.class_mut(class);
        if now >= part.ejected_until {
            let term = BASE_EJECTION_S * f64::from(part.consecutive_ejections.min(2)).exp2();
            (part.ejected_until, part.consecutive_ejections) =
                (now + Micros::from_secs(term), part.consecutive_ejections + 1);
            self.log(now, format!("backend {} gets none of class {class}", id.0));
        }
    }

    pub(super) fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = BASE_EJECTION_S * (0.75 + 0.5 * self.rng.next_unit());
        let Some(p) = self.backends.get_mut(&id) else { return };
        if p.ejected_until.is_none_or(|until| now >= until) {
            p.ejected_until =
                Some(now + Micros::from_secs(term * f64::from(p.consecutive_ejections.min(2)).exp2()));
            (p.consecutive_ejections, p.successful_probes, p.health) = (p.consecutive_ejections + 1, 0, 0.0);
            self.next_timer_at = now;
            self.recount_eligible();
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }
}
