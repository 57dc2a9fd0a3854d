//! The endpoint list, its versions, and what was delivered to which watcher. Pure: times are arguments.

use super::View;
use crate::checks::Drained;
use serde_json::json;
use shaletide_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Largest number of deliveries that are kept; the oldest are dropped first. One takes about 100 bytes.
pub const MAX_DELIVERIES: usize = 100_000;

/// The status of a backend in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes requests.
    Serving,
    /// It must not be sent new requests.
    Draining,
    /// It is removed.
    Deleted,
}

impl Status {
    fn name(self) -> &'static str {
        match self {
            Status::Serving => "SERVING",
            Status::Draining => "DRAINING",
            Status::Deleted => "DELETED",
        }
    }
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name, the same for all watchers.
    pub name: String,
    /// The address of its listener.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its server type.
    pub kind: String,
    /// Its deduplication group.
    pub group: u64,
    /// Its status.
    pub status: Status,
    /// Its weight.
    pub weight: f64,
    /// When it last started, Unix time in ms; 0 for long ago.
    pub since_ms: u64,
}

impl Entry {
    /// Returns a serving entry of a backend that started long ago.
    pub fn new(name: &str, address: SocketAddr, zone: &str, kind: &str, group: u64) -> Entry {
        Entry {
            name: name.into(),
            address,
            zone: zone.into(),
            kind: kind.into(),
            group,
            status: Status::Serving,
            weight: 1.0,
            since_ms: 0,
        }
    }

    fn json(&self) -> serde_json::Value {
        self.json_at(self.address)
    }

    fn json_at(&self, address: SocketAddr) -> serde_json::Value {
        json!({
            "name": self.name, "address": address.to_string(), "zone": self.zone, "type": self.kind,
            "group": self.group, "status": self.status.name(), "weight": self.weight,
            "since_ms": self.since_ms,
        })
    }

    /// Returns the entry as JSON, as it is written in a list.
    pub fn text(&self) -> String {
        self.json().to_string()
    }
}

/// The delivery of a change to a watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The index of the watcher.
    pub watcher: usize,
    /// The name of the changed entry.
    pub name: String,
    /// The new status.
    pub status: Status,
    /// The list version of the change.
    pub index: u64,
    /// When the last byte of the answer was written.
    pub at: Time,
}

/// An answer to a watcher. Its changes count as delivered once it is written.
pub struct Answer {
    pub body: String,
    /// The list version of the answer.
    pub index: u64,
    changes: Vec<(String, Status, u64)>,
}

/// The endpoint list and its history.
pub struct EndpointList {
    index: u64,
    /// Entries with the version of their last change; deleted entries stay until the list is compacted.
    entries: BTreeMap<String, (u64, Entry)>,
    /// Changes up to this version can no longer be sent as deltas.
    compacted: u64,
    /// The last version that was delivered to each watcher.
    delivered_versions: Vec<u64>,
    deliveries: Vec<Delivery>,
    views: Vec<View>,
    /// Number of calls so far.
    pub calls: u64,
}

impl EndpointList {
    pub fn new(watchers: &[&str], entries: Vec<Entry>) -> EndpointList {
        let entries = entries.into_iter().map(|e| (e.name.clone(), (1, e))).collect();
        let delivered_versions = vec![0; watchers.len()];
        EndpointList {
            index: 1,
            entries,
            compacted: 0,
            delivered_versions,
            deliveries: Vec::new(),
            views: Vec::new(),
            calls: 0,
        }
    }

    /// Sets the address views of the watchers.
    pub fn with_views(self, views: Vec<View>) -> EndpointList {
        EndpointList { views, ..self }
    }

    pub fn index(&self) -> u64 {
        self.index
    }

    pub fn put(&mut self, entry: Entry) {
        self.index += 1;
        self.entries.insert(entry.name.clone(), (self.index, entry));
    }

    pub fn set_status(&mut self, name: &str, status: Status) {
        if let Some((changed, entry)) = self.entries.get_mut(name) {
            self.index += 1;
            (*changed, entry.status) = (self.index, status);
        }
    }

    pub fn compact(&mut self) {
        self.compacted = self.index;
        self.entries.retain(|_, (_, entry)| entry.status != Status::Deleted);
    }

    /// Returns the answer to a call of a watcher; `None` if a long poll has to wait for a change.
    pub fn answer(&self, watcher: usize, after: Option<u64>) -> Option<Answer> {
        let base = after.filter(|after| *after <= self.index && *after >= self.compacted);
        if base == Some(self.index) {
            return None;
        }
        Some(self.render(watcher, base))
    }

    /// Returns the answer to a long poll that timed out without a change.
    pub fn empty_delta(&self) -> Answer {
        self.render(usize::MAX, Some(self.index))
    }

    /// Returns the delta after a version, or a snapshot.
    fn render(&self, watcher: usize, after: Option<u64>) -> Answer {
        let view = self.views.get(watcher);
        let address = |e: &Entry| view.and_then(|view| view.get(&e.name)).copied().unwrap_or(e.address);
        let included = |(changed, entry): &&(u64, Entry)| match after {
            Some(after) => *changed > after,
            None => entry.status != Status::Deleted,
        };
        let entries: Vec<_> = self.entries.values().filter(included).collect();
        let lines: Vec<_> = entries.iter().map(|(_, entry)| entry.json_at(address(entry))).collect();
        let body = json!({"index": self.index, "snapshot": after.is_none(), "endpoints": lines}).to_string();
        // A snapshot delivers a deletion by omitting the entry.
        let delivered = self.entries.values().filter(|e| after.is_none() || included(e));
        let changes = delivered.map(|(changed, e)| (e.name.clone(), e.status, *changed)).collect();
        Answer { body, index: self.index, changes }
    }

    /// Records that an answer was written to a watcher.
    pub fn record_delivery(&mut self, watcher: usize, answer: Answer, at: Time) {
        let Some(delivered_version) = self.delivered_versions.get_mut(watcher) else { return };
        let new = answer.changes.into_iter().filter(|(_, _, index)| *index > *delivered_version);
        self.deliveries.extend(new.map(|(name, status, index)| Delivery {
            watcher,
            name,
            status,
            index,
            at,
        }));
        *delivered_version = answer.index.max(*delivered_version);
        let excess = self.deliveries.len().saturating_sub(MAX_DELIVERIES);
        self.deliveries.drain(..excess);
    }

    pub fn deliveries(&self) -> &[Delivery] {
        &self.deliveries
    }

    pub fn is_delivered(&self, index: u64) -> bool {
        self.delivered_versions.iter().all(|version| *version >= index)
    }

    pub fn drained(&self) -> Vec<Drained> {
        let mut drained = Vec::new();
        for (name, (_, entry)) in &self.entries {
            let delivered_to = |watcher: usize| {
                // The first delivery counts: a deletion after a drain changes nothing for new requests.
                let concerned = |d: &&Delivery| d.name == *name && d.watcher == watcher;
                let mut deliveries: Vec<&Delivery> = self.deliveries.iter().filter(concerned).collect();
                let last_serving = deliveries.iter().rposition(|d| d.status == Status::Serving);
                deliveries.drain(..last_serving.map_or(0, |n| n + 1));
                deliveries.first().map(|d| d.at)
            };
            if entry.status == Status::Serving {
                continue;
            }
            let times: Option<Vec<Time>> = (0..self.delivered_versions.len()).map(delivered_to).collect();
            if let Some(delivered_at) = times.and_then(|times| times.into_iter().max()) {
                drained.push(Drained { name: name.clone(), delivered_at });
            }
        }
        drained
    }
}

#[cfg(test)]
mod tests;
