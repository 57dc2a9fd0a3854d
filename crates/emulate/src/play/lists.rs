//! What proxies hear of the list, and when.

use super::world::*;
use super::Who;
use shaletide_base::*;
use shaletide_routing::pools::Event;
use std::collections::BTreeMap;

impl World<'_> {
    pub(super) fn period(&self) -> Micros {
        self.day.reports.as_ref().map_or(Micros(1_000_000), |r| r.period)
    }

    /// What is new in the list as one reads it now, and all weights.
    pub(super) fn tell_list(&mut self, proxy: usize, update: ListUpdate) {
        let lag = if self.who == Who::One { Micros(0) } else { self.day.list_lag };
        let seen = self
            .log
            .iter()
            .skip(self.proxies[proxy].told)
            .take_while(|l| l.at + lag <= self.now || l.at <= START);
        let news: BTreeMap<usize, BackendState> = seen.map(|l| (l.site, l.state)).collect();
        let told = self.log.partition_point(|l| l.at + lag <= self.now || l.at <= START);
        let p = &mut self.proxies[proxy];
        p.told = told;
        for (site, state) in &news {
            match state {
                BackendState::Ready => drop(p.ready.insert(*site)),
                _ => {
                    p.ready.remove(site);
                    p.drains.entry(*site).or_insert(self.now);
                }
            }
        }
        let weighs = self.who == Who::Program && self.day.reports.is_some();
        let mut rows: BTreeMap<usize, Backend> = BTreeMap::new();
        if weighs {
            let all = self.proxies[proxy].ready.iter();
            rows.extend(all.map(|site| (*site, self.rows[*site].clone())));
        }
        rows.extend(news.keys().map(|site| (*site, self.rows[*site].clone())));
        for (site, row) in &mut rows {
            if weighs {
                row.weight = self.sites[*site].weight(self.now, self.sizes[*site]);
            }
            // As it was when this became known: it may have gone on since.
            row.state = news.get(site).copied().unwrap_or(BackendState::Ready);
        }
        let backends: Vec<Backend> = rows.into_values().collect();
        if !backends.is_empty() {
            self.todo.push_back((proxy, Event::Members { pool: POOL, update, backends }));
        }
    }
}
