//! Draw: which backend a request goes to.

use super::*;

/// What `draw` finds.
pub(super) enum Drawn {
    One(BackendId),
    /// Some are in use that it may go to, but none has room.
    NoRoom,
    /// All that it may go to are out of use.
    AllIll,
    /// None is left that it may go to: it was at all of them, or there is none.
    NoneLeft,
}

impl Balancer {
    /// A backend for the request: kind by share, backend inside it by readiness, both at random.
    pub(super) fn draw(&mut self, now: Time, r: &Request) -> Drawn {
        let effect = self.cfg.classes[r.class].idempotency;
        let work = self.work(r.class);
        let any_free = self.cfg.classes.iter().any(|c| c.idempotency == Idempotency::Safe);
        let may_try = r.sent.is_empty() && (effect == Idempotency::Safe || !any_free);
        let (mut all, mut shunned) = (0.0, 0.0);
        for p in self.peers.values().filter(|p| p.ready > 0.0) {
            (all, shunned) = (all + 1.0, shunned + f64::from(p.shuns(now, r.class)));
        }
        let heed = shunned <= all * PANIC;
        let mut open: Vec<(BackendId, ServerTypeId, f64)> = Vec::new();
        let (mut listed, mut able) = (false, false);
        for (&b, p) in &self.peers {
            // A repeat outside the scope that knows the key would run twice.
            let place = BackendEntry::deduplication_placement;
            let known = |s: &Sent| match effect {
                Idempotency::Keyed(scope, _) => {
                    s.not_executed || scope.is_shared(place(&s.to), place(&p.entry))
                }
                _ => true,
            };
            let fresh = p.entry.state == BackendState::Ready
                && r.sent.iter().all(|s| (s.unsent || s.to.id != b) && known(s));
            listed |= fresh;
            able |= fresh && p.ejected.is_none() && !p.silent(r.class);
            let idle = p.silent(r.class) || p.full(now, r.class) || heed && p.shuns(now, r.class);
            if !fresh || idle || self.budget(now, p) < work {
                continue;
            }
            // Those beyond half of the fleet are used after all, but not where another pool can be asked.
            if let (Some(until), true) = (p.ejected, p.ready == 0.0 || r.elsewhere) {
                // Its term is over: one request at a time that may fail without harm tries it.
                if now >= until && may_try && p.out == 0 {
                    return Drawn::One(b);
                }
            } else if p.ready > 0.0 {
                // Never overfill: a crowded backend slows for long, so a full one is drawn again.
                let room = if r.value < LOW { (p.room / 2.0).ceil() } else { p.room };
                if f64::from(p.out.saturating_sub(p.lost)) < room {
                    open.push((b, p.entry.server_type, p.slice + p.pull * 1e-6));
                    // the rest: a last resort
                }
            }
        }
        let mut some: Vec<ServerTypeId> = open.iter().map(|o| o.1).collect();
        some.dedup();
        some.sort_unstable();
        some.dedup();
        let kinds: Vec<_> = some.iter().filter_map(|k| Some((*k, self.kinds.get(k)?.pull))).collect();
        let kind = self.dice.pick(&kinds);
        let inside = |kind| open.iter().filter(|o| o.1 == kind).map(|o| (o.0, o.2)).collect::<Vec<_>>();
        match kind.and_then(|kind| self.dice.pick(&inside(kind))) {
            Some(b) => Drawn::One(b),
            None if able => Drawn::NoRoom,
            None if listed => Drawn::AllIll,
            None => Drawn::NoneLeft,
        }
    }
}
