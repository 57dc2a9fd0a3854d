//! Retry: whether a request may be sent again, and what its client is told where it is not.

use super::*;

impl Balancer {
    pub(super) fn may_send(&self, now: Time, r: &Request) -> bool {
        let safe = |s: &Sent| match self.cfg.classes[r.class].idempotency {
            Idempotency::Safe => true,
            Idempotency::Keyed(_, window) => s.not_executed || now < retry_deadline(window, s.at),
            Idempotency::NonIdempotent => s.not_executed,
        };
        let alone = self.cfg.hedging || !r.out();
        alone && r.sent.len() < self.cfg.max_attempts as usize && r.sent.iter().all(safe)
    }

    pub(super) fn send(&mut self, now: Time, id: RequestId, r: &mut Request, to: BackendId, work: f64) {
        let Some(p) = self.peers.get_mut(&to) else { return };
        let attempt = AttemptNumber(r.sent.len() as u32);
        let send_by = match self.cfg.classes[r.class].idempotency {
            Idempotency::Keyed(_, window) => {
                first_retry_deadline(window, r.sent.iter().filter(|s| !s.not_executed).map(|s| s.at))
            }
            _ => None,
        };
        r.sent.push(Sent { to: p.entry.clone(), at: now, out: true, not_executed: false, unsent: false });
        p.out += 1;
        p.spent.retain(|s| now - s.0 < self.cfg.overload_window);
        p.spent.push((now, work));
        let trial = p.ejected.is_some();
        self.attempts.insert((id, attempt), Flight { to, class: r.class, sent: now });
        self.actions.push(Action::Dispatch { request: id, attempt, backend: to, send_by });
        if trial {
            self.recount();
        }
        let quiet = now + self.quiet(r.class);
        self.look_at = self.look_at.min(quiet).min(r.deadline - self.cfg.min_timer_interval);
    }

    /// Final answer for a request that will not be served.
    pub(super) fn give_up(&mut self, now: Time, id: RequestId, reason: GiveUpReason) {
        let Some(r) = self.requests.get(&id) else { return };
        self.given_up.add(reason);
        // By then what is out now has made room, or an ejected backend is tried again.
        let ready = self.kinds.values().any(|k| k.ready > 0.0);
        let retry_after = if ready { self.usual(r.class).times(2.0) } else { Micros::from_secs(EJECT_TERM) };
        // A client that is told in whole seconds comes back that much later.
        let back = now + Micros::from_secs(retry_after.secs().ceil());
        let dropped = |s: &Sent| match self.cfg.classes[r.class].idempotency {
            Idempotency::Keyed(DeduplicationScope::All, window) => {
                self.cfg.only_deduplication_domain == Some(s.to.deduplication_domain)
                    && back < retry_deadline(window, s.at)
            }
            effect => effect == Idempotency::Safe,
        };
        let harmless = r.sent.iter().all(|s| s.not_executed || dropped(s));
        let (refused, failed) =
            (Action::Reject { request: id, retry_after }, Action::Fail { request: id, retry_after });
        self.actions.push(if harmless { refused } else { failed });
        self.close(id);
    }

    pub(super) fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.held.retain(|h| *h != id);
        for (no, _) in r.sent.iter().enumerate().filter(|(_, s)| s.out && self.cfg.may_cancel_attempts) {
            self.actions.push(Action::Cancel { request: id, attempt: AttemptNumber(no as u32) });
        }
    }
}
