//! Retry: whether a request may be sent again, and what its client is told where it is not.

use super::*;

impl Balancer {
    pub(super) fn may_send_attempt(&self, now: Time, r: &RequestState) -> bool {
        let safe = |s: &Attempt| match self.config.classes[r.class].idempotency {
            Idempotency::Safe => true,
            Idempotency::Keyed(_, window) => s.not_executed || now < retry_deadline(window, s.sent_at),
            Idempotency::NonIdempotent => s.not_executed,
        };
        let alone = self.config.hedging || !r.has_attempt_in_flight();
        alone && r.attempts.len() < self.config.max_attempts as usize && r.attempts.iter().all(safe)
    }

    pub(super) fn send_attempt(
        &mut self, now: Time, id: RequestId, r: &mut RequestState, to: BackendId, work: f64,
    ) {
        let Some(p) = self.backends.get_mut(&to) else { return };
        let attempt = AttemptNumber(r.attempts.len() as u32);
        let send_by = match self.config.classes[r.class].idempotency {
            Idempotency::Keyed(_, window) => {
                first_retry_deadline(window, r.attempts.iter().filter(|s| !s.not_executed).map(|s| s.sent_at))
            }
            _ => None,
        };
        r.attempts.push(Attempt {
            backend: p.entry.clone(),
            sent_at: now,
            in_flight: true,
            not_executed: false,
            not_sent: false,
        });
        p.in_flight += 1;
        p.sent_during_window.retain(|s| now - s.0 < self.config.overload_window);
        p.sent_during_window.push((now, work));
        let trial = p.ejected_until.is_some();
        self.in_flight_attempts
            .insert((id, attempt), InFlightAttempt { backend: to, class: r.class, sent_at: now });
        self.actions.push(Action::Dispatch { request: id, attempt, backend: to, send_by });
        if trial {
            self.recount_eligible();
        }
        let quiet = now + self.latencies.lost_after(r.class);
        self.next_timer_at = self.next_timer_at.min(quiet).min(r.deadline - self.config.min_timer_interval);
    }

    /// Final answer for a request that will not be served.
    pub(super) fn give_up(&mut self, now: Time, id: RequestId, reason: GiveUpReason) {
        let Some(r) = self.requests.get(&id) else { return };
        self.give_up_counts.add(reason);
        // By then what is out now has made room, or an ejected backend is tried again.
        let ready = self.server_types.values().any(|k| k.total_health > 0.0);
        let retry_after = if ready {
            self.latencies.expected(r.class).times(2.0)
        } else {
            Micros::from_secs(BASE_EJECTION_S)
        };
        // A client that is told in whole seconds comes back that much later.
        let back = now + Micros::from_secs(retry_after.secs().ceil());
        let dropped = |s: &Attempt| match self.config.classes[r.class].idempotency {
            Idempotency::Keyed(DeduplicationScope::All, window) => {
                self.config.only_deduplication_domain == Some(s.backend.deduplication_domain)
                    && back < retry_deadline(window, s.sent_at)
            }
            effect => effect == Idempotency::Safe,
        };
        let harmless = r.attempts.iter().all(|s| s.not_executed || dropped(s));
        let (refused, failed) =
            (Action::Reject { request: id, retry_after }, Action::Fail { request: id, retry_after });
        self.actions.push(if harmless { refused } else { failed });
        self.remove_request(id);
    }

    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.queued.retain(|h| *h != id);
        for (no, _) in
            r.attempts.iter().enumerate().filter(|(_, s)| s.in_flight && self.config.may_cancel_attempts)
        {
            self.actions.push(Action::Cancel { request: id, attempt: AttemptNumber(no as u32) });
        }
    }
}
