//! Timers: what time alone calls for, and when an attempt is taken for lost.

use super::*;

impl Balancer {
    /// What time alone brings about, and when to look again.
    pub(super) fn run_timers(&mut self, now: Time, shared: &SharedLimits) {
        let mut next = now + Micros::from_secs(IN_FLIGHT_WINDOW_S); // nothing else may be due
        if let (Some(at), DiscoveryMode::Subscribe(within)) = (self.discovery_poll.0, self.config.discovery) {
            if now >= at {
                self.discovery_poll.0 = Some(now + within.times(0.5)); // unanswered so long, the call itself was lost
                self.actions.push(Action::Subscribe);
            }
        }
        next = self.discovery_poll.0.map_or(next, |at| next.min(at));
        for p in self.backends.values_mut() {
            (p.suspected_lost, p.overdue_without_response) = (0, 0);
            p.by_class.iter_mut().for_each(|part| part.overdue_without_response = 0);
        }
        self.lost_to_unreachable_zones = 0;
        for &InFlightAttempt { backend, class, sent_at: sent } in self.in_flight_attempts.values() {
            let lost = sent + self.latencies.lost_after(class);
            let silent = sent + self.latencies.silent_after(class);
            next = [lost, silent].into_iter().filter(|at| *at > now).fold(next, Time::min);
            let Some(p) = self.backends.get_mut(&backend) else { continue };
            self.lost_to_unreachable_zones +=
                u32::from(now >= lost && self.zone_reachability.is_unreachable(now, p.entry.zone));
            p.suspected_lost += u32::from(now >= lost);
            p.overdue_without_response += u32::from(now >= silent && p.last_response_at <= sent);
            let part = p.class_mut(class);
            part.overdue_without_response += u32::from(now >= silent && part.last_response_at <= sent);
        }
        let losing = self.latencies.attempts_are_lost();
        let mut over = Vec::new();
        for (&id, r) in self.requests.iter().filter(|(_, r)| !r.streaming) {
            let usual = self.latencies.expected(r.class);
            // A client whose request nobody has seen is told before half of its time is over.
            let unseen = r.attempts.iter().all(|s| s.not_executed);
            let late_pays = self.config.classes[r.class].late_weight_fraction > 0.0 && !unseen;
            let half = r.arrived_at + (r.deadline - r.arrived_at).times(0.5) + usual
                - self.config.min_timer_interval;
            let last_start = if late_pays { r.deadline } else { r.objective_at.min(half) };
            let old = |s: &Attempt| losing && now >= s.sent_at + self.latencies.lost_after(r.class);
            let ill =
                |s: &Attempt| self.backends.get(&s.backend.id).is_none_or(|p| p.ejected_until.is_some());
            let lost = |s: &Attempt| s.in_flight && (ill(s) || old(s));
            let lost = r.has_attempt_in_flight() && r.attempts.iter().all(|s| !s.in_flight || lost(s));
            // The deadline's own tick would be too late to answer; a request that was held so long
            // that it cannot make it is refused while that is still harmless.
            let last_start = if r.has_attempt_in_flight() { r.deadline } else { last_start.min(r.deadline) };
            let margin = if r.has_attempt_in_flight() {
                self.config.min_timer_interval
            } else {
                usual.max(self.config.min_timer_interval)
            };
            if now + margin >= last_start {
                over.push(id);
            } else if lost
                && (now + usual < r.objective_at || late_pays && now + usual < r.deadline)
                && shared.retry_budget.has_retry()
            {
                // Age alone is a reason only where answers are lost: copies of merely heavy requests crowd
                // every backend.
                if self.config.hedging {
                    if self.may_send_attempt(now, r) && !self.queued.contains(&id) {
                        self.queued.push(id);
                    }
                } else if self.config.may_cancel_attempts
                    && self.config.classes[r.class].idempotency != Idempotency::NonIdempotent
                {
                    // Where no copy may run beside it, it is called back to make way for the next.
                    self.actions.push(Action::Cancel {
                        request: id,
                        attempt: AttemptNumber(r.attempts.len() as u32 - 1),
                    });
                }
            }
            next = next.min(last_start - margin);
        }
        self.next_timer_at = next.max(now + self.config.min_timer_interval);
        over.into_iter().for_each(|id| self.give_up(now, id, GiveUpReason::OutOfTime));
    }
}
