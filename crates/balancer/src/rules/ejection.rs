//! Ejection: what the outcome of an attempt says of its backend, its kind and its class.

use super::*;

impl Balancer {
    /// Where one on trial has ended, the next may be due.
    pub(super) fn recount_trial(&mut self, id: BackendId) {
        if self.able == 0 || self.peers.get(&id).is_some_and(|p| p.ejected.is_some()) {
            self.recount();
        }
    }

    /// What an outcome says of the backend, its kind and its class.
    pub(super) fn learn(&mut self, now: Time, id: BackendId, class: usize, sent: Time, end: &AttemptEnd) {
        let (usual, quiet) = (self.usual(class), self.quiet(class));
        let silent = usual.times(SILENT_AFTER);
        for (age, answered) in &mut self.answered {
            match end.outcome {
                _ if now < sent + usual.times(*age) => {}
                Outcome::Ok | Outcome::Error => answered.add(1.0, OLD_SAMPLES),
                Outcome::TimedOut | Outcome::Cancelled => answered.add(0.0, OLD_SAMPLES),
                _ => {}
            }
        }
        let many = self.many();
        let Some(p) = self.peers.get_mut(&id) else { return };
        let word = matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let silence = match end.outcome {
            Outcome::ConnectFailed => true,
            Outcome::TimedOut | Outcome::Cancelled => now >= sent + silent && p.answered <= sent,
            _ => false,
        };
        if many && (word || silence) && self.reach.ended(now, self.cfg.zone, &p.entry, silence) {
            (self.solve_at, self.look_at) = (now, now);
        }
        p.out = p.out.saturating_sub(1);
        p.lost = p.lost.saturating_sub(u32::from(now >= sent + quiet));
        match end.outcome {
            Outcome::Ok => {
                // Served requests only: errors, time-outs and refusals stay out of the speeds.
                let secs = end.latency.secs().max(1e-6);
                self.served.add(now, secs);
                self.classes[class].latency.add(secs, KIND_SAMPLES);
                self.overall.add(secs, KIND_SAMPLES);
                let plain = secs * self.overall.value / self.classes[class].latency.value;
                let kind = self.kinds.entry(p.entry.server_type).or_default();
                // A backend's own mean is over many more than this proxy's.
                let (secs, cap) =
                    p.told.latency(now).map_or((plain, KIND_SAMPLES), |own| (own, TOLD_SAMPLES));
                kind.latency.add(secs, cap);
                // Of the same answers: a kind that gets less is not taken for as slow as it was before.
                kind.flow.add(kind.comes, cap);
                (p.answered, p.errors) = (now, p.errors * (1.0 - ERROR_STEP));
                let part = p.part(class);
                (part.answered, part.errors) = (now, part.errors * (1.0 - ERROR_STEP));
                (part.fulls, part.strikes) = (0, 0);
                p.trials += 1;
                if p.ejected.is_none() {
                    p.strikes = 0;
                } else if p.trials >= TRIALS {
                    (p.ejected, p.errors) = (None, 0.0);
                    p.parts.clear();
                    self.recount();
                    self.log(now, format!("backend {} is back", id.0));
                }
            }
            // A full backend answers, and is left alone until it may have finished one, twice as long each
            // time that it is still full: busy is not ill. It may hold back one class only.
            Outcome::Rejected => {
                let part = p.part(class);
                let wait = usual.times(f64::from(part.fulls.min(4)).exp2()).secs().min(EJECT_TERM / 2.0);
                (part.full_until, part.fulls) = (now + Micros::from_secs(wait), part.fulls + 1);
            }
            // Given up after a long silence, and it is not the only one, or another pool can do without it.
            Outcome::Cancelled if now >= sent + silent && p.answered <= sent => {
                if p.unheard > 1 || self.cfg.has_failover_pool {
                    self.eject(now, id, end.outcome);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.part(class).answered >= sent => {}
            Outcome::TimedOut if p.answered < sent => self.eject(now, id, end.outcome),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                let bump = |errors: &mut f64| *errors += (1.0 - *errors) * ERROR_STEP;
                bump(&mut p.errors);
                bump(&mut p.part(class).errors);
                if end.outcome == Outcome::Error {
                    (p.answered, p.part(class).answered) = (now, now);
                }
                let limit = ERROR_LIMIT + 2.0 * self.common;
                // Where another class was served just now, it is this one only.
                let good = |p: &Part| {
                    p.errors < ERROR_STEP / 2.0 && now < p.answered + Micros::from_secs(EJECT_TERM)
                };
                let all_ill = p.errors > limit && !p.parts.iter().any(good);
                if p.ejected.is_some() || all_ill {
                    self.eject(now, id, end.outcome);
                } else if p.part(class).errors > limit {
                    self.shun(now, id, class);
                }
            }
        }
    }

    /// It fails at one class: the others go on there.
    pub(super) fn shun(&mut self, now: Time, id: BackendId, class: usize) {
        let Some(p) = self.peers.get_mut(&id) else { return };
        let part = p.part(class);
        if now >= part.shunned {
            let term = EJECT_TERM * f64::from(part.strikes.min(2)).exp2();
            (part.shunned, part.strikes) = (now + Micros::from_secs(term), part.strikes + 1);
            self.log(now, format!("backend {} gets none of class {class}", id.0));
        }
    }

    pub(super) fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = EJECT_TERM * (0.75 + 0.5 * self.dice.unit());
        let Some(p) = self.peers.get_mut(&id) else { return };
        if p.ejected.is_none_or(|until| now >= until) {
            p.ejected = Some(now + Micros::from_secs(term * f64::from(p.strikes.min(2)).exp2()));
            (p.strikes, p.trials, p.ready) = (p.strikes + 1, 0, 0.0);
            self.look_at = now;
            self.recount();
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }
}
