//! Endpoints: what the list says of the backends, backends that move between pools, and how many are in use.

use super::*;

impl Balancer {
    pub(super) fn update_endpoints(&mut self, now: Time, update: EndpointUpdate, list: Vec<BackendEntry>) {
        match (update, self.config.discovery) {
            // A lost subscription is asked for again, later each time and not in step with others.
            (EndpointUpdate::SubscriptionLost, DiscoveryMode::Subscribe(within)) => {
                let wait = (self.discovery_poll.1 * 2.0).clamp(0.1, (within.secs() / 8.0).max(0.1));
                self.discovery_poll =
                    (Some(now + Micros::from_secs(wait * (0.5 + self.rng.next_unit()))), wait);
                self.log(now, "discovery lost, asking again".into());
            }
            (EndpointUpdate::Delta | EndpointUpdate::Snapshot, _) => self.discovery_poll = (None, 0.0),
            _ => {}
        }
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            let listed: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
            let absent = |p: &&mut BackendStats| !listed.contains(&p.entry.id);
            self.backends.values_mut().filter(absent).for_each(|p| p.entry.state = BackendState::Gone);
        }
        let weighs = self.config.weights_report_load && self.is_large_fleet();
        for entry in list {
            let p = self.backends.entry(entry.id).or_default();
            if p.entry.started_at != entry.started_at {
                // A restarted process has nothing in common with the old one but its address.
                *p = BackendStats {
                    in_flight: p.in_flight,
                    sent_during_window: std::mem::take(&mut p.sent_during_window),
                    ..BackendStats::default()
                };
            }
            p.entry = entry;
            if weighs {
                self.load_reports.record_list_weight(now, p);
            }
            let sized = self.config.weights_report_cores.then(|| {
                self.server_types.entry(p.entry.server_type).or_default().core_count_from_weight(&p.entry)
            });
            p.entry.cores = p.entry.cores.max(sized.unwrap_or(1)); // which the list itself may not know
        }
        self.backends.retain(|_, p| p.entry.state != BackendState::Gone || p.in_flight > 0);
        self.hash_order = self.backends.keys().copied().collect();
        self.hash_order.sort_by_key(|id| self.backends[id].entry.stable_hash);
        self.recount_eligible();
        (self.recompute_at, self.next_timer_at) = (now, now);
    }

    /// Gives a backend away to the module of another pool, with the attempts that it holds. The news of the
    /// list has to follow, as with `put_in`: by that the order is made anew, once for all that move.
    pub fn migrate_out(&mut self, id: BackendId) -> Option<MigratedBackend> {
        let peer = self.backends.remove(&id)?;
        let mut attempts = Vec::new();
        if peer.in_flight > 0 {
            attempts.extend(
                self.in_flight_attempts.iter().filter(|(_, a)| a.backend == id).map(|(key, a)| (*key, *a)),
            );
            self.in_flight_attempts.retain(|_, a| a.backend != id);
        }
        self.count_moved_backend(&peer, -1);
        self.recompute_at = Time(0);
        Some(MigratedBackend { stats: peer, attempts })
    }

    /// Takes in a backend that the module of another pool gave away.
    pub fn migrate_in(&mut self, moved: MigratedBackend) {
        self.in_flight_attempts.extend(moved.attempts);
        self.count_moved_backend(&moved.stats, 1);
        self.backends.insert(moved.stats.entry.id, moved.stats);
        self.recompute_at = Time(0);
    }

    /// As `recount`, for one more or less: thousands may move at once.
    pub(super) fn count_moved_backend(&mut self, peer: &BackendStats, by: i32) {
        match (peer.entry.state, peer.ejected_until) {
            (BackendState::Ready, None) => self.eligible = self.eligible.saturating_add_signed(by),
            (BackendState::Ready, Some(_)) if by < 0 => self.recount_eligible(),
            (BackendState::Ready, Some(until)) => {
                let at = if peer.in_flight > 0 { Time(u64::MAX) } else { until };
                self.next_probe_at = Some(self.next_probe_at.map_or(at, |first| first.min(at)));
            }
            _ => {}
        }
    }

    /// Whether anything can be sent anywhere here.
    pub fn health(&self, now: Time) -> PoolHealth {
        match self.next_probe_at {
            _ if self.eligible > 0 => PoolHealth::Available,
            Some(at) if now >= at => PoolHealth::Available,
            Some(_) => PoolHealth::AllEjected,
            None => PoolHealth::Empty,
        }
    }

    /// Counts anew what `standing` tells; called at each change to it.
    pub(super) fn recount_eligible(&mut self) {
        let ready = self.backends.values().filter(|p| p.entry.state == BackendState::Ready);
        (self.eligible, self.next_probe_at) = (0, None);
        for p in ready {
            match p.ejected_until {
                None => self.eligible += 1,
                // One on trial already is due for the next when that has ended.
                Some(until) => {
                    let at = if p.in_flight > 0 { Time(u64::MAX) } else { until };
                    self.next_probe_at = Some(self.next_probe_at.map_or(at, |first| first.min(at)));
                }
            }
        }
    }
}
