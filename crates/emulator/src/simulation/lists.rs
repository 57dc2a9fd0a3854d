//! What proxies hear of the list, and when.

use super::world::*;
use super::Policy;
use shaletide_routing::pools::Event;
use shaletide_types::*;
use std::collections::BTreeMap;

impl World<'_> {
    pub(super) fn period(&self) -> Micros {
        self.scenario.reports.as_ref().map_or(Micros(1_000_000), |r| r.period)
    }

    /// The list has that to say of a backend from now on.
    pub(super) fn logs(&mut self, backend: usize, state: BackendState) {
        self.log.push(Line { at: self.now, backend, state, booted: self.backends[backend].booted });
    }

    /// The list as it is goes out to a proxy.
    pub(super) fn sends_list(&mut self, proxy: usize) {
        if self.proxies[proxy].pools.is_none() || self.faults.stopped.is_some() {
            return;
        }
        match self.faults.late {
            Micros(0) if self.proxies[proxy].told_as_of < self.now => {
                self.tell_list(proxy, EndpointUpdate::Delta, self.now)
            }
            late => {
                let (life, as_of) = (self.proxies[proxy].life, self.now);
                self.at(self.now + late, Ev::Hears { proxy, life, as_of });
            }
        }
    }

    /// A list that was late has come, if nothing newer came before it.
    pub(super) fn hears(&mut self, proxy: usize, life: u32, as_of: Time) {
        let p = &self.proxies[proxy];
        if p.life == life && p.told_as_of < as_of && self.faults.stopped.is_none() {
            self.tell_list(proxy, EndpointUpdate::Delta, as_of);
        }
    }

    /// What was new in the list as one read it then, and all weights.
    pub(super) fn tell_list(&mut self, proxy: usize, update: EndpointUpdate, as_of: Time) {
        let lag = if self.policy == Policy::One { Micros(0) } else { self.scenario.list_lag };
        let told = self.log.partition_point(|l| l.at + lag <= as_of || l.at <= START);
        let p = &mut self.proxies[proxy];
        // One that began while the list was ahead of what it hears now keeps to what it knows.
        let seen = self.log.get(p.told..told).unwrap_or_default();
        (p.told, p.told_as_of) = (p.told.max(told), as_of);
        let news: BTreeMap<usize, &Line> = seen.iter().map(|l| (l.backend, l)).collect();
        for (backend, line) in &news {
            match line.state {
                BackendState::Ready => {
                    p.ready.insert(*backend, line.booted);
                    p.drains.remove(backend);
                }
                _ => {
                    p.ready.remove(backend);
                    p.drains.entry(*backend).or_insert(self.now);
                }
            }
        }
        let weighs = self.policy == Policy::Program && self.scenario.reports.is_some();
        let mut rows: BTreeMap<usize, BackendEntry> = BTreeMap::new();
        if weighs {
            let row = |(backend, booted): (&usize, &Option<Time>)| {
                let state = BackendState::Ready;
                (*backend, BackendEntry { state, started_at: *booted, ..self.rows[*backend].clone() })
            };
            rows.extend(p.ready.iter().map(row));
        }
        // As it was when this became known: it may have gone on since.
        rows.extend(news.iter().map(|(backend, line)| {
            (
                *backend,
                BackendEntry { state: line.state, started_at: line.booted, ..self.rows[*backend].clone() },
            )
        }));
        if weighs {
            for (backend, row) in &mut rows {
                row.weight = self.backends[*backend].weight(as_of, self.sizes[*backend]);
            }
        }
        let backends: Vec<BackendEntry> = rows.into_values().collect();
        if !backends.is_empty() {
            self.todo.push_back((proxy, Event::EndpointsUpdated { pool: POOL, update, backends }));
        }
    }
}
