//! Selection: chooses the backend of an attempt. A server type is drawn by its share of the traffic, then one of its
//! backends by subset weight. An ejected backend that is due for a probe takes precedence.

use crate::backend_stats::BackendStats;
use crate::interface::Config;
use crate::outlier::MAX_EJECTED_FRACTION;
use crate::request::{Attempt, PriorityLevel, RequestState};
use crate::retry::may_follow_at;
use crate::rng::Rng;
use crate::server_type::ServerTypeStats;
use crate::slow_start::SlowStart;
use shaletide_types::*;
use std::collections::BTreeMap;

/// Fraction of its selection weight with which a backend outside of the subset is drawn: it is used only where all
/// those inside are at their limits.
const OUTSIDE_SUBSET_WEIGHT: f64 = 1e-6;

/// The result of a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    /// The attempt goes to this backend.
    Backend(BackendId),
    /// Eligible backends are in use, but none of them has capacity now.
    NoCapacity,
    /// All eligible backends are ejected or silent.
    AllEjected,
    /// No backend is eligible: the request was sent to all of them, or none is listed.
    NoneEligible,
}

/// Whether a backend can take a request now.
enum Suitability {
    /// The backend cannot take the request.
    None,
    /// The backend is ejected and due for a probe, and the request may be the probe.
    Probe,
    /// The backend has capacity.
    Capacity,
}

/// A backend with capacity for the request.
struct Candidate {
    id: BackendId,
    server_type: ServerTypeId,
    weight: f64,
}

/// The inputs of a selection at one moment.
pub(crate) struct Selector<'a> {
    pub config: &'a Config,
    pub now: Time,
    pub backends: &'a BTreeMap<BackendId, BackendStats>,
    pub server_types: &'a BTreeMap<ServerTypeId, ServerTypeStats>,
    pub slow_start: SlowStart<'a>,
}

impl Selector<'_> {
    /// Selects a backend for the request. `work` is the request's work relative to the mean. Draws two random numbers
    /// if a backend has capacity, one if none has, and none for a probe.
    pub fn select(&self, rng: &mut Rng, request: &RequestState, work: f64) -> Selection {
        let may_probe = self.may_probe(request);
        let applies_class_ejections = self.applies_class_ejections(request.class);
        let mut candidates: Vec<Candidate> = Vec::new();
        let mut any_eligible = false;
        let mut any_in_use = false;
        for (&id, backend) in self.backends {
            if !self.is_eligible(request, backend) {
                continue;
            }
            any_eligible = true;
            let is_silent = backend.outlier.is_silent(request.class);
            any_in_use |= !backend.outlier.is_ejected() && !is_silent;
            let is_backing_off = backend.outlier.is_backing_off(self.now, request.class);
            let is_class_ejected = backend.outlier.is_ejected_for_class(self.now, request.class);
            if is_silent || is_backing_off || applies_class_ejections && is_class_ejected {
                continue;
            }
            if self.slow_start.budget(&backend.entry, &backend.sent_work).is_exceeded_by(work) {
                continue;
            }
            match self.suitability(request, backend, may_probe) {
                Suitability::None => {}
                Suitability::Probe => return Selection::Backend(id),
                Suitability::Capacity => candidates.push(Candidate {
                    id,
                    server_type: backend.entry.server_type,
                    weight: backend.subset_weight + backend.selection_weight * OUTSIDE_SUBSET_WEIGHT,
                }),
            }
        }
        match self.draw(rng, &candidates) {
            Some(id) => Selection::Backend(id),
            None if any_in_use => Selection::NoCapacity,
            None if any_eligible => Selection::AllEjected,
            None => Selection::NoneEligible,
        }
    }

    /// Returns whether the request may be a probe: a first attempt of a safe class, or of any class if none is safe.
    fn may_probe(&self, request: &RequestState) -> bool {
        let is_safe = self.config.classes[request.class].idempotency == Idempotency::Safe;
        let any_safe = self.config.classes.iter().any(|class| class.idempotency == Idempotency::Safe);
        request.attempts.is_empty() && (is_safe || !any_safe)
    }

    /// Returns whether ejections for the class apply. Where most backends are ejected for it, they are used anyway, as
    /// the cause is then unlikely to be in the backends.
    fn applies_class_ejections(&self, class: usize) -> bool {
        let mut usable = 0.0;
        let mut ejected = 0.0;
        for backend in self.backends.values().filter(|backend| backend.capacity_factor > 0.0) {
            usable += 1.0;
            if backend.outlier.is_ejected_for_class(self.now, class) {
                ejected += 1.0;
            }
        }
        ejected <= usable * MAX_EJECTED_FRACTION
    }

    /// Returns whether the request may go to the backend: the backend is ready, was sent no attempt of the request, and
    /// discards repeats of earlier attempts that may have been executed.
    fn is_eligible(&self, request: &RequestState, backend: &BackendStats) -> bool {
        let is_new = |earlier: &Attempt| earlier.not_sent || earlier.backend.id != backend.entry.id;
        backend.is_ready()
            && request.attempts.iter().all(is_new)
            && may_follow_at(self.config.classes[request.class].idempotency, request, &backend.entry)
    }

    fn suitability(&self, request: &RequestState, backend: &BackendStats, may_probe: bool) -> Suitability {
        // Where too many backends are ejected they are used anyway, unless the request can fail over.
        let is_used_if_ejected = backend.capacity_factor > 0.0 && !request.may_fail_over;
        match backend.outlier.ejected_until {
            Some(until) if !is_used_if_ejected => {
                // One probe at a time.
                if self.now >= until && may_probe && backend.in_flight == 0 {
                    Suitability::Probe
                } else {
                    Suitability::None
                }
            }
            _ => {
                let limit = match request.priority_level() {
                    PriorityLevel::Low => (backend.concurrency_limit / 2.0).ceil(),
                    PriorityLevel::Normal => backend.concurrency_limit,
                };
                if backend.capacity_factor > 0.0 && backend.has_capacity(limit) {
                    Suitability::Capacity
                } else {
                    Suitability::None
                }
            }
        }
    }

    /// Draws a server type by its selection weight, then one of its candidates by their weights.
    fn draw(&self, rng: &mut Rng, candidates: &[Candidate]) -> Option<BackendId> {
        let mut types: Vec<ServerTypeId> = candidates.iter().map(|candidate| candidate.server_type).collect();
        types.dedup(); // most neighbours are of one type, so that less is left to sort
        types.sort_unstable();
        types.dedup();
        let mut weighted_types: Vec<(ServerTypeId, f64)> = Vec::with_capacity(types.len());
        for id in types {
            if let Some(server_type) = self.server_types.get(&id) {
                weighted_types.push((id, server_type.selection_weight));
            }
        }
        let drawn = rng.pick_weighted(&weighted_types)?;
        let of_type = candidates.iter().filter(|candidate| candidate.server_type == drawn);
        let weighted: Vec<(BackendId, f64)> =
            of_type.map(|candidate| (candidate.id, candidate.weight)).collect();
        rng.pick_weighted(&weighted)
    }
}
