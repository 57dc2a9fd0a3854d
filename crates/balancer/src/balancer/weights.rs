//! Weights: each backend's share of the traffic, recomputed a few times a second. Errors, warm-up and load reports
//! determine how much a backend can take. The arrival rate and the learned speeds determine the share of each server
//! type (HALB). Zone affinity and subsetting determine the part of it that this proxy sends.

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

/// Minimum interval between two recomputations of the weights, s: far shorter than the time in which the arrival rate
/// changes.
const RECOMPUTE_INTERVAL_S: f64 = 0.1;
/// The weights are recomputed at most once per this many requests, as fewer are dominated by chance.
const MIN_RECOMPUTE_REQUESTS: f64 = 5.0;
/// Where no backend reports its load, this proxy's requests in flight are averaged over the time in which this many
/// requests arrive.
const IN_FLIGHT_WINDOW_REQUESTS: f64 = 150.0;
/// Fraction of a backend's concurrency limit that depends on zone affinity; the rest is the same for all proxies.
const AFFINITY_LIMIT_FRACTION: f64 = 0.5;
/// Multiple of the capacity factor that is added to every selection weight, so that a backend without a share of the
/// traffic is drawn only when all others are at their limits.
const LEFTOVER_FACTOR: f64 = 1e-6;

impl Balancer {
    /// Recomputes the capacity factor and the share of the traffic of every backend and server type.
    pub(super) fn recompute_weights(&mut self, now: Time) {
        self.recompute_at = now + self.recompute_interval();
        self.queue.unblock();
        let unreachable = self.update_unreachable_zones(now);
        let uses_ejected = self.uses_ejected_backends(&unreachable);
        self.median_error_rate = self.compute_median_error_rate();
        if self.is_large_fleet() {
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

    /// Updates the fraction of reachable backends, and returns the zones whose backends are not used. Where no ready
    /// backend is in a reachable zone, the zones are all used.
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

    /// Returns whether so many of the reachable backends are ejected that the ejected ones are used anyway.
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

    /// Returns the median error rate of the ready backends, or 0 where there is a failover pool: a fault common to all
    /// backends is then a reason to eject them all.
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

    /// Sets each backend's capacity factor to (1 - error rate) x warm-up x load factor.
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

    /// Returns the requests a second that all proxies send to the reachable backends, estimated as if every proxy had
    /// this one's traffic. Requests that admission control rejects are not counted.
    fn fleet_arrival_rate(&self) -> Option<f64> {
        let admitted = self.load_reports.admitted_fraction(PriorityLevel::Normal);
        let proxies = self.load_reports.fleet_size() * self.reachable_fraction * admitted;
        self.arrival_rate.per_second().map(|own| own * proxies)
    }

    /// Estimates each server type's capacity. A backend is modelled as a processor-sharing queue: with latency T at
    /// arrival rate A it can serve 1 / T + A requests a second.
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

    /// Computes each server type's share of the traffic. Types without a measured latency are assumed to be as fast as
    /// the others on average, scaled by the list's relative speeds. Where no type has a latency, the arrival rate
    /// cannot be compared with capacities, and the total of the relative speeds takes its place: traffic is then
    /// divided by speed, or by the number of backends where the list has no weights.
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

    /// Sets each backend's concurrency limit, selection weight and weight in this proxy's subset.
    fn distribute_weights(&mut self, now: Time) {
        // Where live weights are configured, zone affinity is off from the start, before the first report: a zone's own
        // clients could otherwise fill its backends.
        let expects_weights = self.is_large_fleet() && self.config.weights_report_load;
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

    /// Sets the concurrency limits and selection weights. Returns the number of backends with a share of this proxy's
    /// traffic.
    fn recompute_selection_weights(&mut self, are_reporting: bool) -> f64 {
        let affinity = ZoneAffinity::new(self.config.zone, self.traffic_share_by_zone());
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

    fn traffic_share_by_zone(&self) -> BTreeMap<ZoneId, f64> {
        let mut zone_shares: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for backend in self.backends.values().filter(|backend| backend.capacity_factor > 0.0) {
            *zone_shares.entry(backend.entry.zone).or_default() += traffic_part(&self.server_types, backend);
        }
        zone_shares
    }

    /// Sets each backend's weight in this proxy's subset. Where backends report their load, selection weights change
    /// constantly: every usable backend then has the same length on the circle, so that the subset stays stable.
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

/// Returns the fraction of all traffic that a backend should receive: its server type's share, divided by capacity
/// factor.
fn traffic_part(server_types: &BTreeMap<ServerTypeId, ServerTypeStats>, backend: &BackendStats) -> f64 {
    let Some(server_type) = server_types.get(&backend.entry.server_type) else { return 0.0 };
    server_type.traffic_share * backend.capacity_factor / server_type.total_capacity_factor.max(1e-9)
}

/// Returns a number from 0 to 1 that differs between the proxies at each backend, so that the limits that the proxies
/// round separately add up to the target.
fn rounding_offset(position: u32, proxies: u32, entry: &BackendEntry) -> f64 {
    let residue = entry.stable_hash.wrapping_add(u64::from(position)) % u64::from(proxies);
    (residue as f64 + 0.5) / f64::from(proxies)
}

/// Returns this proxy's concurrency limit at a backend, at least 1. With more proxies than the target, a limit below 1
/// would make proxies take turns; admission control enforces the target there instead.
fn concurrency_limit(even_limit: f64, affinity_factor: f64, rounding: f64) -> f64 {
    let even_fraction = 1.0 - AFFINITY_LIMIT_FRACTION;
    let limit = even_limit * (even_fraction + AFFINITY_LIMIT_FRACTION * affinity_factor);
    (limit + rounding).floor().max(1.0)
}
