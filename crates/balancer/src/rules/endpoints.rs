//! Endpoints: what the list says of the backends, backends that move between pools, and how many are in use.

use super::*;

impl Balancer {
    pub(super) fn members(&mut self, now: Time, update: EndpointUpdate, list: Vec<BackendEntry>) {
        match (update, self.cfg.discovery) {
            // A lost subscription is asked for again, later each time and not in step with others.
            (EndpointUpdate::SubscriptionLost, DiscoveryMode::Subscribe(within)) => {
                let wait = (self.ask.1 * 2.0).clamp(0.1, (within.secs() / 8.0).max(0.1));
                self.ask = (Some(now + Micros::from_secs(wait * (0.5 + self.dice.unit()))), wait);
                self.log(now, "discovery lost, asking again".into());
            }
            (EndpointUpdate::Delta | EndpointUpdate::Snapshot, _) => self.ask = (None, 0.0),
            _ => {}
        }
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            let listed: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
            let absent = |p: &&mut Peer| !listed.contains(&p.entry.id);
            self.peers.values_mut().filter(absent).for_each(|p| p.entry.state = BackendState::Gone);
        }
        let weighs = self.cfg.weights_report_load && self.many();
        for entry in list {
            let p = self.peers.entry(entry.id).or_default();
            if p.entry.started_at != entry.started_at {
                // A restarted process has nothing in common with the old one but its address.
                *p = Peer { out: p.out, spent: std::mem::take(&mut p.spent), ..Peer::default() };
            }
            p.entry = entry;
            if weighs {
                self.loads.weighed(now, p);
            }
            let sized = self
                .cfg
                .weights_report_cores
                .then(|| self.kinds.entry(p.entry.server_type).or_default().sized(&p.entry));
            p.entry.cores = p.entry.cores.max(sized.unwrap_or(1)); // which the list itself may not know
        }
        self.peers.retain(|_, p| p.entry.state != BackendState::Gone || p.out > 0);
        self.order = self.peers.keys().copied().collect();
        self.order.sort_by_key(|id| self.peers[id].entry.stable_hash);
        self.recount();
        (self.solve_at, self.look_at) = (now, now);
    }

    /// Gives a backend away to the module of another pool, with the attempts that it holds. The news of the
    /// list has to follow, as with `put_in`: by that the order is made anew, once for all that move.
    pub fn migrate_out(&mut self, id: BackendId) -> Option<MigratedBackend> {
        let peer = self.peers.remove(&id)?;
        let mut attempts = Vec::new();
        if peer.out > 0 {
            attempts.extend(self.attempts.iter().filter(|(_, a)| a.to == id).map(|(key, a)| (*key, *a)));
            self.attempts.retain(|_, a| a.to != id);
        }
        self.recount_moved(&peer, -1);
        self.solve_at = Time(0);
        Some(MigratedBackend { peer, attempts })
    }

    /// Takes in a backend that the module of another pool gave away.
    pub fn migrate_in(&mut self, moved: MigratedBackend) {
        self.attempts.extend(moved.attempts);
        self.recount_moved(&moved.peer, 1);
        self.peers.insert(moved.peer.entry.id, moved.peer);
        self.solve_at = Time(0);
    }

    /// As `recount`, for one more or less: thousands may move at once.
    pub(super) fn recount_moved(&mut self, peer: &Peer, by: i32) {
        match (peer.entry.state, peer.ejected) {
            (BackendState::Ready, None) => self.able = self.able.saturating_add_signed(by),
            (BackendState::Ready, Some(_)) if by < 0 => self.recount(),
            (BackendState::Ready, Some(until)) => {
                let at = if peer.out > 0 { Time(u64::MAX) } else { until };
                self.trial_at = Some(self.trial_at.map_or(at, |first| first.min(at)));
            }
            _ => {}
        }
    }

    /// Whether anything can be sent anywhere here.
    pub fn health(&self, now: Time) -> PoolHealth {
        match self.trial_at {
            _ if self.able > 0 => PoolHealth::Available,
            Some(at) if now >= at => PoolHealth::Available,
            Some(_) => PoolHealth::AllEjected,
            None => PoolHealth::Empty,
        }
    }

    /// Counts anew what `standing` tells; called at each change to it.
    pub(super) fn recount(&mut self) {
        let ready = self.peers.values().filter(|p| p.entry.state == BackendState::Ready);
        (self.able, self.trial_at) = (0, None);
        for p in ready {
            match p.ejected {
                None => self.able += 1,
                // One on trial already is due for the next when that has ended.
                Some(until) => {
                    let at = if p.out > 0 { Time(u64::MAX) } else { until };
                    self.trial_at = Some(self.trial_at.map_or(at, |first| first.min(at)));
                }
            }
        }
    }
}
