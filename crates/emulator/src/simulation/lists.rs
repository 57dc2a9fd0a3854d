//! Delivery of the list of backends to the proxies.

use super::virtual_fleet::*;
use super::Policy;
use shaletide_routing::pools::Event;
use shaletide_types::*;
use std::collections::BTreeMap;

impl Fleet<'_> {
    pub(super) fn period(&self) -> Micros {
        self.scenario.reports.as_ref().map_or(Micros(1_000_000), |r| r.period)
    }

    /// Appends the present state of a backend to the log of the list.
    pub(super) fn log_state(&mut self, backend: usize, state: BackendState) {
        self.log.push(ListChange { at: self.now, backend, state, booted: self.backends[backend].booted });
    }

    /// Sends the present list to a proxy, with the delay of a fault if there is one.
    pub(super) fn send_list(&mut self, proxy: usize) {
        if self.proxies[proxy].pools.is_none() || self.faults.stopped.is_some() {
            return;
        }
        match self.faults.late {
            Micros(0) if self.proxies[proxy].delivered_as_of < self.now => {
                self.deliver_list(proxy, EndpointUpdate::Delta, self.now)
            }
            late => {
                let (epoch, as_of) = (self.proxies[proxy].epoch, self.now);
                self.schedule(self.now + late, SimEvent::ReceiveList { proxy, epoch, as_of });
            }
        }
    }

    /// Handles a list that was delayed; it is dropped if a newer one arrived before it.
    pub(super) fn receive_list(&mut self, proxy: usize, epoch: u32, as_of: Time) {
        let p = &self.proxies[proxy];
        if p.epoch == epoch && p.delivered_as_of < as_of && self.faults.stopped.is_none() {
            self.deliver_list(proxy, EndpointUpdate::Delta, as_of);
        }
    }

    /// Delivers the changes of the list up to `as_of`, and the weights of all backends.
    pub(super) fn deliver_list(&mut self, proxy: usize, update: EndpointUpdate, as_of: Time) {
        let lag = if self.policy == Policy::Centralized { Micros(0) } else { self.scenario.list_lag };
        let delivered = self.log.partition_point(|l| l.at + lag <= as_of || l.at <= START);
        let p = &mut self.proxies[proxy];
        // A proxy that started with a newer list than this one keeps what it has.
        let delivered_lines = self.log.get(p.delivered..delivered).unwrap_or_default();
        (p.delivered, p.delivered_as_of) = (p.delivered.max(delivered), as_of);
        let changes: BTreeMap<usize, &ListChange> = delivered_lines.iter().map(|l| (l.backend, l)).collect();
        for (backend, line) in &changes {
            match line.state {
                BackendState::Ready => {
                    p.ready.insert(*backend, line.booted);
                    p.unavailable_since.remove(backend);
                }
                _ => {
                    p.ready.remove(backend);
                    p.unavailable_since.entry(*backend).or_insert(self.now);
                }
            }
        }
        let with_weights = self.policy == Policy::Program && self.scenario.reports.is_some();
        let mut rows: BTreeMap<usize, BackendEntry> = BTreeMap::new();
        if with_weights {
            let row = |(backend, booted): (&usize, &Option<Time>)| {
                let state = BackendState::Ready;
                (*backend, BackendEntry { state, started_at: *booted, ..self.rows[*backend].clone() })
            };
            rows.extend(p.ready.iter().map(row));
        }
        // The state as logged: the backend may have changed since.
        rows.extend(changes.iter().map(|(backend, line)| {
            (
                *backend,
                BackendEntry { state: line.state, started_at: line.booted, ..self.rows[*backend].clone() },
            )
        }));
        if with_weights {
            for (backend, row) in &mut rows {
                row.weight = self.backends[*backend].weight(as_of, self.sizes[*backend]);
            }
        }
        let backends: Vec<BackendEntry> = rows.into_values().collect();
        if !backends.is_empty() {
            self.pending.push_back((proxy, Event::EndpointsUpdated { pool: POOL, update, backends }));
        }
    }
}
