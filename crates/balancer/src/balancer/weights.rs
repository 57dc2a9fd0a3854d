//! Weights: each backend's part of the traffic, recomputed a few times a second. Errors, warm-up and load reports say
//! what a backend can take, the arrival rate and the learned speeds give each server type its share (HALB), and zone
//! affinity and subsetting say which part of it comes from this proxy.

use super::{Balancer, IN_FLIGHT_WINDOW_S};
use crate::admission::TARGET_IN_FLIGHT_PER_CORE;
use crate::backend_stats::BackendStats;
use crate::halb::halb_shares;
use crate::outlier::MAX_EJECTED_FRACTION;
use crate::request::PriorityLevel;
use crate::server_type::ServerTypeStats;
use crate::slow_start::warmup_fraction;
use crate::subset::Subset;
use crate::zone_affinity::ZoneAffinity;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// Weights are recomputed this often at most, s: far more often than the arrival rate changes ...
const RECOMPUTE_INTERVAL_S: f64 = 0.1;
/// ... and not before this many requests have come, as fewer are chance.
const MIN_RECOMPUTE_REQUESTS: f64 = 5.0;
/// Where no backend reports its load, the window of what this proxy has in flight is the time of this many requests.
const IN_FLIGHT_WINDOW_REQUESTS: f64 = 150.0;
/// Half of a backend's concurrency limit goes by zone affinity, the rest is the same for all proxies.
const AFFINITY_LIMIT_FRACTION: f64 = 0.5;
/// Added to every weight, times capacity, so that a backend without a part of the traffic is drawn only when all others
/// are at their limits.
const LEFTOVER_FACTOR: f64 = 1e-6;

impl Balancer {
    /// Recomputes the capacity factor and the part of the traffic of every backend and server type.
    pub(super) fn recompute_weights(&mut self, now: Time) {
        self.recompute_at = now + self.recompute_interval();
        self.queue.unblock();
        let unreachable = self.update_unreachable_zones(now);
        let uses_ejected = self.uses_ejected_backends(&unreachable);
        self.median_error_rate = self.compute_median_error_rate();
        if self.sees_too_little_alone() {
            self.aggregate_load_reports(now);
        }
        self.recompute_capacity_factors(now, &unreachable, uses_ejected);
        self.arrival_rate.record(now, 0.0);
        self.update_in_flight_window(now);
        let fleet_rate = self.fleet_arrival_rate();
        self.recompute_capacities(now, fleet_rate);
        self.recompute_traffic_shares(fleet_rate);
        self.distribute_weights(now);
    }

    fn recompute_interval(&self) -> Micros {
        let default_rate = MIN_RECOMPUTE_REQUESTS / RECOMPUTE_INTERVAL_S;
        let rate = self.arrival_rate.per_second().unwrap_or(default_rate).max(1.0);
        Micros::from_secs(RECOMPUTE_INTERVAL_S.max(MIN_RECOMPUTE_REQUESTS / rate))
    }

    /// The zones whose backends are sent nothing, and the part of the ready backends that is reachable. Where no ready
    /// backend is in a reachable zone all are used.
    fn update_unreachable_zones(&mut self, now: Time) -> BTreeSet<ZoneId> {
        let unreachable = self.zone_reachability.unreachable_zones(now);
        let ready = self.backends.values().filter(|backend| backend.is_ready());
        let mut all = 0.0;
        let mut reachable = 0.0;
        for backend in ready {
            all += 1.0;
            if !unreachable.contains(&backend.entry.zone) {
                reachable += 1.0;
            }
        }
        if reachable > 0.0 {
            self.reachable_fraction = reachable / all;
            unreachable
        } else {
            self.reachable_fraction = 1.0;
            BTreeSet::new()
        }
    }

    /// Whether so many reachable backends are ejected that they are used after all.
    fn uses_ejected_backends(&self, unreachable: &BTreeSet<ZoneId>) -> bool {
        let mut all = 0.0;
        let mut ejected = 0.0;
        for backend in self.backends.values().filter(|backend| backend.is_ready()) {
            if unreachable.contains(&backend.entry.zone) {
                continue;
            }
            all += 1.0;
            if backend.outlier.is_ejected() {
                ejected += 1.0;
            }
        }
        ejected > all * MAX_EJECTED_FRACTION
    }

    /// 0 where another pool can be asked: then a cause common to all is a reason to eject them.
    fn compute_median_error_rate(&self) -> f64 {
        if self.config.has_failover_pool {
            return 0.0;
        }
        let ready = self.backends.values().filter(|backend| backend.is_ready());
        let mut error_rates: Vec<f64> = ready.map(|backend| backend.outlier.error_rate).collect();
        error_rates.sort_by(f64::total_cmp);
        let middle = error_rates.len().saturating_sub(1) / 2;
        error_rates.get(middle).copied().unwrap_or(0.0)
    }

    fn aggregate_load_reports(&mut self, now: Time) {
        self.service_time_rate.record(now, 0.0);
        let own_in_flight = self.service_time_rate.per_second();
        self.load_reports.aggregate(now, self.backends.values(), self.config.proxies, own_in_flight);
        self.load_reports.rebalance(now, &mut self.backends);
    }

    /// A backend's capacity factor is 1 less its error rate, times its warm-up, times its load factor.
    fn recompute_capacity_factors(&mut self, now: Time, unreachable: &BTreeSet<ZoneId>, uses_ejected: bool) {
        for server_type in self.server_types.values_mut() {
            server_type.total_capacity_factor = 0.0;
            server_type.effective_cores = 0.0;
        }
        for backend in self.backends.values_mut() {
            let is_usable = backend.is_ready() && !unreachable.contains(&backend.entry.zone);
            let reliability = match backend.outlier.is_ejected() {
                _ if !is_usable => 0.0,
                true if uses_ejected => 1.0,
                true => 0.0,
                false => 1.0 - backend.outlier.error_rate,
            };
            let warmup = warmup_fraction(&self.config, now, &backend.entry);
            backend.capacity_factor = reliability * warmup * self.load_reports.load_factor(now, backend);
            let server_type = self.server_types.entry(backend.entry.server_type).or_default();
            server_type.total_capacity_factor += backend.capacity_factor;
            server_type.effective_cores += backend.capacity_factor * f64::from(backend.entry.cores);
        }
    }

    fn update_in_flight_window(&mut self, now: Time) {
        let window_s = if self.load_reports.is_reporting(now) {
            IN_FLIGHT_WINDOW_S
        } else {
            let rate = self.arrival_rate.per_second().unwrap_or(1.0).max(1e-3);
            IN_FLIGHT_WINDOW_REQUESTS / rate
        };
        self.in_flight_level.set_window(window_s, IN_FLIGHT_WINDOW_S);
    }

    /// Requests a second that all proxies bring to the reachable backends, if all are like this one; without those that
    /// are rejected.
    fn fleet_arrival_rate(&self) -> Option<f64> {
        let admitted = self.load_reports.admitted_fraction(PriorityLevel::Normal);
        let proxies = self.load_reports.fleet_size() * self.reachable_fraction * admitted;
        self.arrival_rate.per_second().map(|own| own * proxies)
    }

    /// A backend that answers in time T under an arrival rate of A serves 1 / T + A requests a second: it is taken for
    /// a shared processor.
    fn recompute_capacities(&mut self, now: Time, fleet_rate: Option<f64>) {
        let is_reporting = self.load_reports.is_reporting(now);
        for server_type in self.server_types.values_mut() {
            server_type.arrivals_per_s = if server_type.total_capacity_factor > 0.0 {
                fleet_rate.unwrap_or(0.0) * server_type.traffic_share / server_type.total_capacity_factor
            } else {
                0.0
            };
            let when_served = server_type.arrivals_when_served_per_s.mean().filter(|_| is_reporting);
            let arrivals_per_s = when_served.unwrap_or(server_type.arrivals_per_s);
            server_type.capacity_per_s = match server_type.latency.mean() {
                Some(latency_s) => 1.0 / latency_s + arrivals_per_s,
                None => 0.0,
            };
        }
    }

    /// Types without a latency are taken to be as fast as the others on average, by the list's relative speeds. Where
    /// none has one there is no rate to go by but the most that all can take: then traffic goes by speed, or by number.
    fn recompute_traffic_shares(&mut self, fleet_rate: Option<f64>) {
        let mut known_speed = 0.0;
        let mut known_types = 0.0;
        for (id, server_type) in self.server_types.iter().filter(|(_, known)| known.capacity_per_s > 0.0) {
            known_speed += server_type.capacity_per_s / self.load_reports.relative_speed(*id);
            known_types += 1.0;
        }
        let mean_speed = if known_types > 0.0 { known_speed / known_types } else { 1.0 };
        for (id, server_type) in &mut self.server_types {
            if server_type.capacity_per_s == 0.0 {
                server_type.capacity_per_s = mean_speed * self.load_reports.relative_speed(*id);
            }
        }
        let types = self.server_types.values();
        let table: Vec<(f64, f64)> =
            types.map(|known| (known.total_capacity_factor, known.capacity_per_s)).collect();
        let rate = if known_types > 0.0 {
            fleet_rate
        } else if self.load_reports.has_weights() {
            Some(table.iter().map(|(count, capacity_per_s)| count * capacity_per_s).sum())
        } else {
            None
        };
        for (server_type, share) in self.server_types.values_mut().zip(halb_shares(&table, rate)) {
            server_type.traffic_share = share;
        }
    }

    /// Gives each backend its concurrency limit, its selection weight and its weight in this proxy's subset.
    fn distribute_weights(&mut self, now: Time) {
        // Live weights come from the start on: a zone's clients alone would fill its backends.
        let expects_weights = self.sees_too_little_alone() && self.config.weights_report_load;
        let are_reporting = self.load_reports.is_reporting(now) || expects_weights;
        let reachable = self.recompute_selection_weights(are_reporting);
        let subset = Subset::new(
            self.config.position,
            self.load_reports.fleet_size(),
            self.backends.len(),
            reachable,
            are_reporting,
        );
        self.recompute_subset_weights(subset, are_reporting);
    }

    /// Gives the number of backends that have a part of this proxy's traffic.
    fn recompute_selection_weights(&mut self, are_reporting: bool) -> f64 {
        let affinity = ZoneAffinity::new(self.config.zone, self.traffic_due_by_zone());
        let has_affinity = !are_reporting && self.config.cross_zone_cost > 0.0;
        for server_type in self.server_types.values_mut() {
            server_type.selection_weight = 0.0;
        }
        let mut reachable = 0.0;
        for backend in self.backends.values_mut() {
            let factor = if has_affinity { affinity.factor(backend.entry.zone) } else { 1.0 };
            let target = TARGET_IN_FLIGHT_PER_CORE / self.load_reports.fleet_size();
            let even_limit = target * backend.capacity_factor * f64::from(backend.entry.cores);
            let rounding = rounding_offset(self.config.position, self.config.proxies, &backend.entry);
            backend.concurrency_limit = concurrency_limit(even_limit, factor, rounding);
            let traffic = traffic_part(&self.server_types, backend) * factor;
            if traffic > 0.0 {
                reachable += 1.0;
            }
            backend.selection_weight = traffic + backend.capacity_factor * LEFTOVER_FACTOR;
            let server_type = self.server_types.entry(backend.entry.server_type).or_default();
            server_type.selection_weight += backend.selection_weight;
        }
        reachable
    }

    fn traffic_due_by_zone(&self) -> BTreeMap<ZoneId, f64> {
        let mut due: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for backend in self.backends.values().filter(|backend| backend.capacity_factor > 0.0) {
            *due.entry(backend.entry.zone).or_default() += traffic_part(&self.server_types, backend);
        }
        due
    }

    /// Where backends report, selection weights change all the time: there a subset goes by number, so that it stays.
    fn recompute_subset_weights(&mut self, subset: Subset, are_reporting: bool) {
        let length = |backend: &BackendStats| match are_reporting {
            true if backend.capacity_factor > 0.0 => 1.0,
            true => 0.0,
            false => backend.selection_weight,
        };
        let mut totals: BTreeMap<ServerTypeId, f64> = BTreeMap::new();
        for backend in self.backends.values() {
            *totals.entry(backend.entry.server_type).or_default() += length(backend);
        }
        let mut positions: BTreeMap<ServerTypeId, f64> = BTreeMap::new();
        for id in &self.hash_order {
            let Some(backend) = self.backends.get_mut(id) else { continue };
            let total = totals.get(&backend.entry.server_type).copied().unwrap_or(0.0).max(1e-9);
            let position = positions.entry(backend.entry.server_type).or_default();
            let from = *position / total;
            *position += length(backend);
            let to = *position / total;
            backend.subset_weight = subset.overlap(from, to);
            if are_reporting {
                backend.subset_weight *= backend.selection_weight;
            }
        }
    }
}

/// The part of all traffic that a backend is due: that of its server type by capacity factor.
fn traffic_part(server_types: &BTreeMap<ServerTypeId, ServerTypeStats>, backend: &BackendStats) -> f64 {
    let Some(server_type) = server_types.get(&backend.entry.server_type) else { return 0.0 };
    server_type.traffic_share * backend.capacity_factor / server_type.total_capacity_factor.max(1e-9)
}

/// A number from 0 to 1, different for each proxy at a backend, so that the limits of all proxies add up to the target
/// when each rounds its own.
fn rounding_offset(position: u32, proxies: u32, entry: &BackendEntry) -> f64 {
    let turn = entry.stable_hash.wrapping_add(u64::from(position)) % u64::from(proxies);
    (turn as f64 + 0.5) / f64::from(proxies)
}

/// Attempts of this proxy that may be in flight at a backend. At least one: with more proxies than the target they
/// would have to take turns, and there admission control keeps to the target.
fn concurrency_limit(even_limit: f64, affinity_factor: f64, rounding: f64) -> f64 {
    let even_fraction = 1.0 - AFFINITY_LIMIT_FRACTION;
    let limit = even_limit * (even_fraction + AFFINITY_LIMIT_FRACTION * affinity_factor);
    (limit + rounding).floor().max(1.0)
}
