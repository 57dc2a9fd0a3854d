//! Admission: which of the held requests are sent now, and which are rejected.

use super::draw::Drawn;
use super::*;

impl Balancer {
    /// Whether all proxies together hold too much, as far as one tells that has no room to count: it takes
    /// the others to be like itself. With load / (1 - load) held, twice the hold is a load of eight ninths,
    /// half of it two thirds. Turned away at once does no harm; waiting here would make no room.
    pub(super) fn crowded(&self, value: f64, luck: f64) -> bool {
        if luck > self.loads.admitted(value < LOW) {
            return true;
        }
        let limit = if value < LOW { HOLD / 2.0 } else { HOLD * 2.0 };
        // What all say they hold goes before the guess that they are like this one. Where none does, answers
        // speak for low worth: with m held one takes 1 + m times its least, by `usual` a quarter of the aim.
        let each = self.cfg.classes.iter().zip(&self.classes);
        let slow =
            each.filter_map(|(c, s)| Some(s.latency.get()? / (c.latency_objective.secs() * 0.25) - 1.0));
        let slow = slow.reduce(f64::max).filter(|_| value < LOW && !self.cfg.weights_report_load);
        let slack = self.loads.mean.or(slow).map_or(1.0, |m| (HOLD_ALL / m.max(0.1)).clamp(1.0, SLACK));
        let held = self.crowd.per_s().unwrap_or(0.0) * self.loads.fleet() * self.reached;
        self.many() && held > limit * slack * self.kinds.values().map(|k| k.cores).sum::<f64>()
    }

    /// Sends what is held, the densest worth first and the newest first inside it.
    pub(super) fn pump(&mut self, now: Time, shared: &mut SharedLimits) {
        if self.held.is_empty() || self.blocked == f64::MAX && !self.closing {
            return;
        }
        let mut line: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.sent.is_empty() { r.value } else { f64::MAX };
                let density = self.cfg.classes[r.class].priority_weight / self.work(r.class);
                line.push((density * r.value, r.came, id, value));
            }
        }
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in line {
            if value < self.blocked {
                self.held.push(id); // nothing less urgent finds room either, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let (again, work) = (r.sent.iter().any(|s| !s.unsent), self.work(r.class));
            let refused = !again && self.crowded(r.value, r.luck);
            let repeatable = self.may_send(now, &r);
            let sendable = repeatable && (!again || shared.extra >= 1.0) && !refused;
            let drawn = if sendable { Some(self.draw(now, &r)) } else { None };
            let reason = match drawn {
                Some(Drawn::NoneLeft) => GiveUpReason::NoBackendLeft,
                Some(_) => GiveUpReason::NoRoom,
                None if !repeatable => GiveUpReason::NotRepeatable,
                None if refused => GiveUpReason::Overloaded,
                None => GiveUpReason::RetryBudget,
            };
            let over = match drawn {
                Some(Drawn::One(backend)) => {
                    shared.extra -= f64::from(again);
                    self.send(now, id, &mut r, backend, work);
                    false
                }
                Some(Drawn::AllIll | Drawn::NoneLeft) if r.elsewhere => {
                    let handover = Box::new(TransferredRequest { state: r });
                    self.actions.push(Action::FailOver { request: id, handover });
                    continue;
                }
                // Waiting brings nothing: whatever comes back, it was there already.
                Some(Drawn::NoneLeft) if !r.sent.is_empty() => !r.out(),
                Some(_) if self.closing => !r.out(),
                Some(_) => {
                    if !again {
                        self.blocked = self.blocked.max(if r.value < LOW { LOW } else { f64::MAX });
                    }
                    self.held.push(id);
                    false
                }
                None => !r.out(),
            };
            self.requests.insert(id, r);
            if over {
                self.give_up(now, id, reason);
            }
        }
    }
}
