//! Shares: the part of the traffic for each kind of backend by HALB, and how many each may hold.

use super::slow_start::warmth;
use super::*;

impl Balancer {
    /// Readiness of every backend, speed and share of every kind.
    pub(super) fn recompute_weights(&mut self, now: Time) {
        let few = MIN_RATE_SAMPLES
            / self.arrival_rate.per_second().unwrap_or(MIN_RATE_SAMPLES / RECOMPUTE_INTERVAL_S).max(1.0);
        self.recompute_at = now + Micros::from_secs(RECOMPUTE_INTERVAL_S.max(few));
        self.blocked_below = 0.0;
        let listed = || self.backends.values().filter(|p| p.entry.state == BackendState::Ready);
        let reached =
            listed().filter(|p| !self.zone_reachability.is_unreachable(now, p.entry.zone)).count() as f64;
        let heed = reached > 0.0;
        self.reachable_fraction = if heed { reached / listed().count() as f64 } else { 1.0 };
        let cut = |zone| heed && self.zone_reachability.is_unreachable(now, zone);
        let listed = listed().filter(|p| !cut(p.entry.zone));
        let (all, out) =
            listed.fold((0.0, 0.0), |n, p| (n.0 + 1.0, n.1 + f64::from(p.ejected_until.is_some())));
        let listed = self.backends.values().filter(|p| p.entry.state == BackendState::Ready);
        let mut errors: Vec<f64> = listed.map(|p| p.error_rate).collect();
        errors.sort_by(f64::total_cmp);
        // Where they fail for a reason of all, there is nobody better, unless another pool can be asked.
        let middle =
            errors.get(errors.len().saturating_sub(1) / 2).filter(|_| !self.config.has_failover_pool);
        self.median_error_rate = middle.copied().unwrap_or(0.0);
        if self.is_large_fleet() {
            self.service_time_rate.record(now, 0.0);
            self.load_reports.aggregate(
                now,
                self.backends.values(),
                self.config.proxies,
                self.service_time_rate.per_second(),
                TARGET_MEAN_IN_FLIGHT_PER_CORE,
            );
            self.load_reports.rebalance(now, &mut self.backends, TARGET_MEAN_IN_FLIGHT_PER_CORE);
        }
        self.server_types.values_mut().for_each(|k| (k.total_health, k.healthy_cores) = (0.0, 0.0));
        for p in self.backends.values_mut() {
            let k = self.server_types.entry(p.entry.server_type).or_default();
            let health = match p.ejected_until {
                _ if p.entry.state != BackendState::Ready || cut(p.entry.zone) => 0.0,
                Some(_) => f64::from(out > all * MAX_EJECTED_FRACTION),
                None => 1.0 - p.error_rate,
            };
            p.health = health * warmth(&self.config, now, &p.entry) * self.load_reports.load_factor(now, p);
            k.total_health += p.health;
            k.healthy_cores += p.health * f64::from(p.entry.cores);
        }
        self.arrival_rate.record(now, 0.0);
        // What is rejected comes to no backend.
        let carried = self.load_reports.fleet_size()
            * self.reachable_fraction
            * self.load_reports.admitted_fraction(false);
        let rate = self.arrival_rate.per_second().map(|r| r * carried);
        let told = self.load_reports.is_reporting(now);
        let own = IN_FLIGHT_WINDOW_REQUESTS / self.arrival_rate.per_second().unwrap_or(1.0).max(1e-3);
        self.in_flight_level.set_window(if told { IN_FLIGHT_WINDOW_S } else { own }, IN_FLIGHT_WINDOW_S);
        for k in self.server_types.values_mut() {
            let flow = if k.total_health > 0.0 {
                rate.unwrap_or(0.0) * k.traffic_share / k.total_health
            } else {
                0.0
            };
            k.arrival_rate = flow;
            let flow = k.arrival_rate_when_served.mean().filter(|_| told).unwrap_or(flow);
            k.service_rate = k.latency.mean().map_or(0.0, |t| 1.0 / t + flow);
        }
        let speeds = self
            .server_types
            .iter()
            .filter(|(_, k)| k.service_rate > 0.0)
            .map(|(id, k)| k.service_rate / self.load_reports.relative_speed(*id));
        let (sum, count) = speeds.fold((0.0, 0.0), |n, s| (n.0 + s, n.1 + 1.0));
        // Kinds without data: as fast as the others, or as the list's sizes have it.
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        let unknown = self.server_types.iter_mut().filter(|(_, k)| k.service_rate == 0.0);
        unknown.for_each(|(id, k)| k.service_rate = mean * self.load_reports.relative_speed(*id));
        let table: Vec<(f64, f64)> =
            self.server_types.values().map(|k| (k.total_health, k.service_rate)).collect();
        // Without data there is no rate to go by but the most that they can take: by size, then, as by count.
        let most = table.iter().map(|k| k.0 * k.1).sum::<f64>();
        let rate = if count > 0.0 { rate } else { self.load_reports.has_weights().then_some(most) };
        let shares = halb_shares(&table, rate);
        self.server_types.values_mut().zip(shares).for_each(|(k, share)| k.traffic_share = share);
        self.distribute_weights(now);
    }

    /// Each backend's part of this proxy's traffic: its kind's share by readiness. Where crossing zones costs
    /// traffic stays near so far as all proxies together still give every backend the same part: a zone
    /// whose backends are due less than its proxies bring sends its surplus to the zones due more.
    pub(super) fn distribute_weights(&mut self, now: Time) {
        let fleet = self.load_reports.fleet_size();
        let part = |kinds: &BTreeMap<ServerTypeId, ServerTypeStats>, p: &BackendStats| {
            kinds
                .get(&p.entry.server_type)
                .map_or(0.0, |k| k.traffic_share * p.health / k.total_health.max(1e-9))
        };
        let mut due: BTreeMap<ZoneId, f64> = BTreeMap::new();
        let ready = self.backends.values().filter(|p| p.health > 0.0);
        ready.for_each(|p| *due.entry(p.entry.zone).or_default() += part(&self.server_types, p));
        let zones = due.len() as f64;
        let rich: f64 = due.values().map(|d| (d * zones - 1.0).max(0.0)).sum();
        let own = due.get(&self.config.zone).copied().unwrap_or(0.0);
        self.server_types.values_mut().for_each(|k| {
            (k.total_selection_weight, k.cumulative_weight, k.eligible_backends) = (0.0, 0.0, 0.0)
        });
        // Where lists weigh, news is on its way from the start: a zone's clients alone would fill its backends.
        let told =
            self.load_reports.is_reporting(now) || self.is_large_fleet() && self.config.weights_report_load;
        let mut reached = 0.0;
        for p in self.backends.values_mut() {
            let here = due.get(&p.entry.zone).map_or(0.0, |d| d.max(1e-9));
            let far = (1.0 - own * zones).max(0.0) * (here * zones - 1.0).max(0.0) / rich.max(1e-9);
            let near = if p.entry.zone == self.config.zone { (own * zones).min(1.0) } else { far };
            let bias =
                if !told && self.config.cross_zone_cost > 0.0 && here > 0.0 { near / here } else { 1.0 };
            // Half of the room for all goes by that part, half evenly; each has a room of one at least, as
            // more proxies than the hold would wait for turns. There `crowded` keeps the hold.
            let turn = p.entry.stable_hash.wrapping_add(u64::from(self.config.position));
            let coin =
                ((turn % u64::from(self.config.proxies)) as f64 + 0.5) / f64::from(self.config.proxies);
            let fair = TARGET_IN_FLIGHT_PER_CORE / fleet * p.health * f64::from(p.entry.cores);
            p.concurrency_limit = (fair * (0.5 + 0.5 * bias) + coin).floor().max(1.0);
            // The trace takes the overflow where all that have a part are full.
            let drawn = part(&self.server_types, p) * bias;
            p.selection_weight = drawn + p.health * 1e-6;
            reached += f64::from(drawn > 0.0);
            let k = self.server_types.entry(p.entry.server_type).or_default();
            k.total_selection_weight += p.selection_weight;
            k.eligible_backends += f64::from(p.health > 0.0);
        }
        // This proxy's slice of each kind: the same width for all, begun at evenly spread places, so that all
        // slices together cover every backend by its pull.
        let shared = if told { PROXIES_PER_REPORTING_BACKEND } else { PROXIES_PER_BACKEND };
        let width = (shared / fleet * self.backends.len() as f64 / reached.max(1.0)).min(1.0);
        let start = (f64::from(self.config.position) * 0.618_033_988_749_895).fract();
        for id in &self.hash_order {
            let Some(p) = self.backends.get_mut(id) else { continue };
            let k = self.server_types.entry(p.entry.server_type).or_default();
            // Where pulls follow what backends say they move all the time; by count a slice stays.
            let (pull, all) = if told {
                (f64::from(p.health > 0.0), k.eligible_backends)
            } else {
                (p.selection_weight, k.total_selection_weight)
            };
            let from = k.cumulative_weight / all.max(1e-9);
            k.cumulative_weight += pull;
            let to = k.cumulative_weight / all.max(1e-9);
            let inside = |start: f64| (to.min(start + width) - from.max(start)).max(0.0);
            p.subset_weight = inside(start) + inside(start - 1.0);
            if told {
                p.subset_weight *= p.selection_weight;
            }
        }
    }
}
