//! Applies updates of the endpoint list, and moves backends between pools.

use super::Balancer;
use crate::availability::Availability;
use crate::backend_stats::BackendStats;
use crate::interface::DiscoveryMode;
use crate::request::InFlightAttempt;
use shaletide_types::*;
use std::collections::BTreeSet;

/// The state of a backend and its attempts in flight, on the way from one balancer to another.
#[derive(Clone, Debug, PartialEq)]
pub struct MigratedBackend {
    stats: BackendStats,
    attempts: Vec<((RequestId, AttemptNumber), InFlightAttempt)>,
}

impl Balancer {
    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(&mut self, now: Time, update: EndpointUpdate, entries: Vec<BackendEntry>) {
        self.update_discovery(now, update);
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            let listed: BTreeSet<BackendId> = entries.iter().map(|entry| entry.id).collect();
            for (id, backend) in &mut self.backends {
                if !listed.contains(id) {
                    backend.entry.state = BackendState::Gone;
                }
            }
        }
        for entry in entries {
            self.update_entry(now, entry);
        }
        self.backends.retain(|_, backend| backend.entry.state != BackendState::Gone || backend.in_flight > 0);
        self.hash_order = self.backends.keys().copied().collect();
        self.hash_order.sort_by_key(|id| self.backends[id].entry.stable_hash);
        self.recount_availability();
        self.recompute_at = now;
        self.timer.set_due(now);
    }

    fn update_discovery(&mut self, now: Time, update: EndpointUpdate) {
        match (update, self.config.discovery) {
            (EndpointUpdate::SubscriptionLost, DiscoveryMode::Subscribe(assumed_known_after)) => {
                let random = self.rng.next_unit();
                let wait_s = self.discovery_poll.on_subscription_lost(now, assumed_known_after, random);
                self.log(now, format!("discovery subscription lost: polling again in {wait_s:.1} s"));
            }
            (EndpointUpdate::Delta | EndpointUpdate::Snapshot, _) => self.discovery_poll.on_list(),
            (EndpointUpdate::SubscriptionLost | EndpointUpdate::Cached, _) => {}
        }
    }

    fn update_entry(&mut self, now: Time, entry: BackendEntry) {
        let weight_is_load = self.config.weights_report_load && self.is_large_fleet();
        let backend = self.backends.entry(entry.id).or_default();
        if backend.entry.started_at != entry.started_at {
            backend.reset_after_restart();
        }
        backend.entry = entry;
        if weight_is_load {
            self.load_reports.record_list_weight(now, backend);
        }
        // The list may carry no number of cores.
        let min_cores = if self.config.weights_report_cores {
            let server_type = self.server_types.entry(backend.entry.server_type).or_default();
            server_type.core_count_from_weight(&backend.entry)
        } else {
            1
        };
        backend.entry.cores = backend.entry.cores.max(min_cores);
    }

    /// Recounts the backends in use. Has to be called after a backend was ejected or restored, its list entry changed,
    /// or a probe began or ended.
    pub(super) fn recount_availability(&mut self) {
        self.availability = Availability::of(self.backends.values());
    }

    /// Removes a backend that moves to the balancer of another pool, and returns it with its attempts in flight. Both
    /// balancers need an endpoint update afterwards: it rebuilds the order of the backends, once for all that move.
    pub fn migrate_out(&mut self, id: BackendId) -> Option<MigratedBackend> {
        let stats = self.backends.remove(&id)?;
        let mut attempts = Vec::new();
        if stats.in_flight > 0 {
            let attempts_at_backend =
                self.in_flight_attempts.iter().filter(|(_, attempt)| attempt.backend == id);
            attempts.extend(attempts_at_backend.map(|(key, attempt)| (*key, *attempt)));
            self.in_flight_attempts.retain(|_, attempt| attempt.backend != id);
        }
        // Thousands of backends may move at once: a full recount is done only where it is unavoidable.
        if stats.is_in_use() {
            self.availability.remove_in_use();
        } else if stats.is_ready() {
            self.recount_availability();
        }
        self.recompute_at = Time(0);
        Some(MigratedBackend { stats, attempts })
    }

    /// Adds a backend that [`Balancer::migrate_out`] removed from the balancer of another pool.
    pub fn migrate_in(&mut self, moved: MigratedBackend) {
        self.in_flight_attempts.extend(moved.attempts);
        self.availability.add(&moved.stats);
        self.backends.insert(moved.stats.entry.id, moved.stats);
        self.recompute_at = Time(0);
    }
}
