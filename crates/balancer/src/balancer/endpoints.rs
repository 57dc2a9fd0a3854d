//! Endpoint lists, and backends that move between pools.

use super::Balancer;
use crate::availability::Availability;
use crate::backend_stats::BackendStats;
use crate::interface::DiscoveryMode;
use crate::request::InFlightAttempt;
use shaletide_types::*;
use std::collections::BTreeSet;

/// What one balancer knows of a backend, on its way to another with the attempts in flight at the backend.
#[derive(Clone, Debug, PartialEq)]
pub struct MigratedBackend {
    stats: BackendStats,
    attempts: Vec<((RequestId, AttemptNumber), InFlightAttempt)>,
}

impl Balancer {
    /// Takes in a message about the endpoint list.
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
                let roll = self.rng.next_unit();
                let wait_s = self.discovery_poll.on_subscription_lost(now, assumed_known_after, roll);
                self.log(now, format!("discovery subscription lost: polling again in {wait_s:.1} s"));
            }
            (EndpointUpdate::Delta | EndpointUpdate::Snapshot, _) => self.discovery_poll.on_list(),
            (EndpointUpdate::SubscriptionLost | EndpointUpdate::Cached, _) => {}
        }
    }

    fn update_entry(&mut self, now: Time, entry: BackendEntry) {
        let weight_is_load = self.config.weights_report_load && self.sees_too_little_alone();
        let backend = self.backends.entry(entry.id).or_default();
        if backend.entry.started_at != entry.started_at {
            backend.reset_after_restart();
        }
        backend.entry = entry;
        if weight_is_load {
            self.load_reports.record_list_weight(now, backend);
        }
        // The list itself may not know the number of cores.
        let min_cores = if self.config.weights_report_cores {
            let server_type = self.server_types.entry(backend.entry.server_type).or_default();
            server_type.core_count_from_weight(&backend.entry)
        } else {
            1
        };
        backend.entry.cores = backend.entry.cores.max(min_cores);
    }

    /// Counts the backends in use anew: to be called when one was ejected, restored or listed otherwise, or when a
    /// probe has begun or ended.
    pub(super) fn recount_availability(&mut self) {
        self.availability = Availability::of(self.backends.values());
    }

    /// Gives a backend away to the balancer of another pool, with the attempts in flight there. An endpoint update has
    /// to follow here and there: by that the order of the backends is made anew, once for all that move.
    pub fn migrate_out(&mut self, id: BackendId) -> Option<MigratedBackend> {
        let stats = self.backends.remove(&id)?;
        let mut attempts = Vec::new();
        if stats.in_flight > 0 {
            let there = self.in_flight_attempts.iter().filter(|(_, attempt)| attempt.backend == id);
            attempts.extend(there.map(|(key, attempt)| (*key, *attempt)));
            self.in_flight_attempts.retain(|_, attempt| attempt.backend != id);
        }
        // Thousands may move at once: all are counted anew only where that cannot be helped.
        if stats.is_in_use() {
            self.availability.remove_in_use();
        } else if stats.is_ready() {
            self.recount_availability();
        }
        self.recompute_at = Time(0);
        Some(MigratedBackend { stats, attempts })
    }

    /// Takes in a backend that the balancer of another pool gave away.
    pub fn migrate_in(&mut self, moved: MigratedBackend) {
        self.in_flight_attempts.extend(moved.attempts);
        self.availability.add(&moved.stats);
        self.backends.insert(moved.stats.entry.id, moved.stats);
        self.recompute_at = Time(0);
    }
}
