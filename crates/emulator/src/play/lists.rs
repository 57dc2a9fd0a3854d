//! What proxies hear of the list, and when.

use super::world::*;
use super::Who;
use shaletide_routing::pools::Event;
use shaletide_types::*;
use std::collections::BTreeMap;

impl World<'_> {
    pub(super) fn period(&self) -> Micros {
        self.day.reports.as_ref().map_or(Micros(1_000_000), |r| r.period)
    }

    /// The list has that to say of a backend from now on.
    pub(super) fn logs(&mut self, site: usize, state: BackendState) {
        self.log.push(Line { at: self.now, site, state, booted: self.sites[site].booted });
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
        let lag = if self.who == Who::One { Micros(0) } else { self.day.list_lag };
        let told = self.log.partition_point(|l| l.at + lag <= as_of || l.at <= START);
        let p = &mut self.proxies[proxy];
        // One that began while the list was ahead of what it hears now keeps to what it knows.
        let seen = self.log.get(p.told..told).unwrap_or_default();
        (p.told, p.told_as_of) = (p.told.max(told), as_of);
        let news: BTreeMap<usize, &Line> = seen.iter().map(|l| (l.site, l)).collect();
        for (site, line) in &news {
            match line.state {
                BackendState::Ready => {
                    p.ready.insert(*site, line.booted);
                    p.drains.remove(site);
                }
                _ => {
                    p.ready.remove(site);
                    p.drains.entry(*site).or_insert(self.now);
                }
            }
        }
        let weighs = self.who == Who::Program && self.day.reports.is_some();
        let mut rows: BTreeMap<usize, BackendEntry> = BTreeMap::new();
        if weighs {
            let row = |(site, booted): (&usize, &Option<Time>)| {
                let state = BackendState::Ready;
                (*site, BackendEntry { state, started_at: *booted, ..self.rows[*site].clone() })
            };
            rows.extend(p.ready.iter().map(row));
        }
        // As it was when this became known: it may have gone on since.
        rows.extend(news.iter().map(|(site, line)| {
            (*site, BackendEntry { state: line.state, started_at: line.booted, ..self.rows[*site].clone() })
        }));
        if weighs {
            for (site, row) in &mut rows {
                row.weight = self.sites[*site].weight(as_of, self.sizes[*site]);
            }
        }
        let backends: Vec<BackendEntry> = rows.into_values().collect();
        if !backends.is_empty() {
            self.todo.push_back((proxy, Event::EndpointsUpdated { pool: POOL, update, backends }));
        }
    }
}
