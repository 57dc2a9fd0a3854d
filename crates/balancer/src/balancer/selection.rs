//! Draw: which backend a request goes to.

use super::*;

/// What `draw` finds.
pub(super) enum Selection {
    Backend(BackendId),
    /// Some are in use that it may go to, but none has room.
    NoCapacity,
    /// All that it may go to are out of use.
    AllEjected,
    /// None is left that it may go to: it was at all of them, or there is none.
    NoneEligible,
}

impl Balancer {
    /// A backend for the request: kind by share, backend inside it by readiness, both at random.
    pub(super) fn select_backend(&mut self, now: Time, r: &RequestState) -> Selection {
        let effect = self.config.classes[r.class].idempotency;
        let work = self.latencies.relative_work(r.class);
        let any_free = self.config.classes.iter().any(|c| c.idempotency == Idempotency::Safe);
        let may_try = r.attempts.is_empty() && (effect == Idempotency::Safe || !any_free);
        let (mut all, mut shunned) = (0.0, 0.0);
        for p in self.backends.values().filter(|p| p.health > 0.0) {
            (all, shunned) = (all + 1.0, shunned + f64::from(p.is_ejected_for_class(now, r.class)));
        }
        let heed = shunned <= all * MAX_EJECTED_FRACTION;
        let mut open: Vec<(BackendId, ServerTypeId, f64)> = Vec::new();
        let (mut listed, mut able) = (false, false);
        for (&b, p) in &self.backends {
            // A repeat outside the scope that knows the key would run twice.
            let place = BackendEntry::deduplication_placement;
            let known = |s: &Attempt| match effect {
                Idempotency::Keyed(scope, _) => {
                    s.not_executed || scope.is_shared(place(&s.backend), place(&p.entry))
                }
                _ => true,
            };
            let fresh = p.entry.state == BackendState::Ready
                && r.attempts.iter().all(|s| (s.not_sent || s.backend.id != b) && known(s));
            listed |= fresh;
            able |= fresh && p.ejected_until.is_none() && !p.is_silent(r.class);
            let idle = p.is_silent(r.class)
                || p.is_backing_off(now, r.class)
                || heed && p.is_ejected_for_class(now, r.class);
            if !fresh || idle || self.slow_start_budget(now, p) < work {
                continue;
            }
            // Those beyond half of the fleet are used after all, but not where another pool can be asked.
            if let (Some(until), true) = (p.ejected_until, p.health == 0.0 || r.may_fail_over) {
                // Its term is over: one request at a time that may fail without harm tries it.
                if now >= until && may_try && p.in_flight == 0 {
                    return Selection::Backend(b);
                }
            } else if p.health > 0.0 {
                // Never overfill: a crowded backend slows for long, so a full one is drawn again.
                let room = if r.priority < LOW_PRIORITY {
                    (p.concurrency_limit / 2.0).ceil()
                } else {
                    p.concurrency_limit
                };
                if f64::from(p.in_flight.saturating_sub(p.suspected_lost)) < room {
                    open.push((b, p.entry.server_type, p.subset_weight + p.selection_weight * 1e-6));
                    // the rest: a last resort
                }
            }
        }
        let mut some: Vec<ServerTypeId> = open.iter().map(|o| o.1).collect();
        some.dedup();
        some.sort_unstable();
        some.dedup();
        let kinds: Vec<_> = some
            .iter()
            .filter_map(|k| Some((*k, self.server_types.get(k)?.total_selection_weight)))
            .collect();
        let kind = self.rng.pick_weighted(&kinds);
        let inside = |kind| open.iter().filter(|o| o.1 == kind).map(|o| (o.0, o.2)).collect::<Vec<_>>();
        match kind.and_then(|kind| self.rng.pick_weighted(&inside(kind))) {
            Some(b) => Selection::Backend(b),
            None if able => Selection::NoCapacity,
            None if listed => Selection::AllEjected,
            None => Selection::NoneEligible,
        }
    }
}
