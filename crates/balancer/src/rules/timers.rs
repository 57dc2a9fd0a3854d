//! Timers: what time alone calls for, and when an attempt is taken for lost.

use super::*;

impl Balancer {
    /// What time alone brings about, and when to look again.
    pub(super) fn look_after(&mut self, now: Time, shared: &SharedLimits) {
        let mut next = now + Micros::from_secs(CROWD_MEMORY); // nothing else may be due
        if let (Some(at), DiscoveryMode::Subscribe(within)) = (self.ask.0, self.cfg.discovery) {
            if now >= at {
                self.ask.0 = Some(now + within.times(0.5)); // unanswered so long, the call itself was lost
                self.actions.push(Action::Subscribe);
            }
        }
        next = self.ask.0.map_or(next, |at| next.min(at));
        for p in self.peers.values_mut() {
            (p.lost, p.unheard) = (0, 0);
            p.parts.iter_mut().for_each(|part| part.unheard = 0);
        }
        self.lost = 0;
        for &Flight { to: backend, class, sent } in self.attempts.values() {
            let (lost, silent) = (sent + self.quiet(class), sent + self.usual(class).times(SILENT_AFTER));
            next = [lost, silent].into_iter().filter(|at| *at > now).fold(next, Time::min);
            let Some(p) = self.peers.get_mut(&backend) else { continue };
            self.lost += u32::from(now >= lost && self.reach.cut(now, p.entry.zone));
            p.lost += u32::from(now >= lost);
            p.unheard += u32::from(now >= silent && p.answered <= sent);
            let part = p.part(class);
            part.unheard += u32::from(now >= silent && part.answered <= sent);
        }
        let losing = self.losing().is_some();
        let mut over = Vec::new();
        for (&id, r) in self.requests.iter().filter(|(_, r)| !r.streaming) {
            let usual = self.usual(r.class);
            // A client whose request nobody has seen is told before half of its time is over.
            let unseen = r.sent.iter().all(|s| s.not_executed);
            let late_pays = self.cfg.classes[r.class].late_weight_fraction > 0.0 && !unseen;
            let half = r.came + (r.deadline - r.came).times(0.5) + usual - self.cfg.min_timer_interval;
            let last_start = if late_pays { r.deadline } else { r.aim.min(half) };
            let old = |s: &Sent| losing && now >= s.at + self.quiet(r.class);
            let ill = |s: &Sent| self.peers.get(&s.to.id).is_none_or(|p| p.ejected.is_some());
            let lost = |s: &Sent| s.out && (ill(s) || old(s));
            let lost = r.out() && r.sent.iter().all(|s| !s.out || lost(s));
            // The deadline's own tick would be too late to answer; a request that was held so long
            // that it cannot make it is refused while that is still harmless.
            let last_start = if r.out() { r.deadline } else { last_start.min(r.deadline) };
            let margin =
                if r.out() { self.cfg.min_timer_interval } else { usual.max(self.cfg.min_timer_interval) };
            if now + margin >= last_start {
                over.push(id);
            } else if lost
                && (now + usual < r.aim || late_pays && now + usual < r.deadline)
                && shared.extra >= 1.0
            {
                // Age alone is a reason only where answers are lost: copies of merely heavy requests crowd
                // every backend.
                if self.cfg.hedging {
                    if self.may_send(now, r) && !self.held.contains(&id) {
                        self.held.push(id);
                    }
                } else if self.cfg.may_cancel_attempts
                    && self.cfg.classes[r.class].idempotency != Idempotency::NonIdempotent
                {
                    // Where no copy may run beside it, it is called back to make way for the next.
                    self.actions.push(Action::Cancel {
                        request: id,
                        attempt: AttemptNumber(r.sent.len() as u32 - 1),
                    });
                }
            }
            next = next.min(last_start - margin);
        }
        self.look_at = next.max(now + self.cfg.min_timer_interval);
        over.into_iter().for_each(|id| self.give_up(now, id, GiveUpReason::OutOfTime));
    }

    /// What a served request of the class usually takes; before any was served, a quarter of its aim.
    pub(super) fn usual(&self, class: usize) -> Micros {
        let known = self.classes[class].latency.get();
        known.map_or(self.cfg.classes[class].latency_objective.times(0.25), Micros::from_secs)
    }

    /// The age, in usual times, from which most attempts are never answered.
    pub(super) fn losing(&self) -> Option<f64> {
        self.answered.iter().find(|(_, answered)| answered.value < 0.5).map(|(age, _)| *age)
    }

    /// An attempt older than this is taken for lost.
    pub(super) fn quiet(&self, class: usize) -> Micros {
        self.usual(class).times(self.losing().unwrap_or(SILENT_AFTER))
    }
}
