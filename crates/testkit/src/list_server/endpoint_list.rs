//! The list, its versions, and who was told what. Pure: times are arguments.

use super::View;
use crate::checks::Drained;
use serde_json::json;
use shaletide_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Tellings that are kept; the oldest go first. One takes about 100 bytes.
pub const MAX_DELIVERIES: usize = 100_000;

/// What a backend may be sent, as the list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Requests.
    Serving,
    /// Nothing new.
    Draining,
    /// It is gone.
    Deleted,
}

impl Status {
    fn word(self) -> &'static str {
        match self {
            Status::Serving => "SERVING",
            Status::Draining => "DRAINING",
            Status::Deleted => "DELETED",
        }
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The same for everyone.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its bay.
    pub group: u64,
    /// What it may be sent.
    pub status: Status,
    /// Its weight.
    pub weight: f64,
    /// When it last started, Unix time in ms; 0 for long ago.
    pub since_ms: u64,
}

impl Entry {
    /// A serving one that started long ago.
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
            "group": self.group, "status": self.status.word(), "weight": self.weight,
            "since_ms": self.since_ms,
        })
    }

    /// As it stands in a list.
    pub fn text(&self) -> String {
        self.json().to_string()
    }
}

/// A change that was written to a watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The watcher's place.
    pub watcher: usize,
    /// Which entry.
    pub name: String,
    /// What it is from then on.
    pub status: Status,
    /// The version in which it changed.
    pub index: u64,
    /// When the last byte was written.
    pub at: Time,
}

/// What is written to a watcher and not told until it is.
pub struct Answer {
    pub body: String,
    /// The version that it brings up to.
    pub index: u64,
    changes: Vec<(String, Status, u64)>,
}

/// The list and its history.
pub struct EndpointList {
    index: u64,
    /// Entries with the version of their last change; deleted ones stay until they are compacted.
    entries: BTreeMap<String, (u64, Entry)>,
    /// Changes up to this version are forgotten.
    compacted: u64,
    /// The version that each watcher was brought up to.
    heard: Vec<u64>,
    told: Vec<Delivery>,
    views: Vec<View>,
    /// Calls that came.
    pub calls: u64,
}

impl EndpointList {
    pub fn new(watchers: &[&str], entries: Vec<Entry>) -> EndpointList {
        let entries = entries.into_iter().map(|e| (e.name.clone(), (1, e))).collect();
        let heard = vec![0; watchers.len()];
        EndpointList { index: 1, entries, compacted: 0, heard, told: Vec::new(), views: Vec::new(), calls: 0 }
    }

    /// The same where watchers are told addresses of their own.
    pub fn seen(self, views: Vec<View>) -> EndpointList {
        EndpointList { views, ..self }
    }

    pub fn index(&self) -> u64 {
        self.index
    }

    pub fn put(&mut self, entry: Entry) {
        self.index += 1;
        self.entries.insert(entry.name.clone(), (self.index, entry));
    }

    pub fn set(&mut self, name: &str, status: Status) {
        if let Some((changed, entry)) = self.entries.get_mut(name) {
            self.index += 1;
            (*changed, entry.status) = (self.index, status);
        }
    }

    pub fn compact(&mut self) {
        self.compacted = self.index;
        self.entries.retain(|_, (_, entry)| entry.status != Status::Deleted);
    }

    /// The answer to a call of a watcher; `None` where a watch has to wait.
    pub fn answer(&self, watcher: usize, after: Option<u64>) -> Option<Answer> {
        let changes = after.filter(|after| *after <= self.index && *after >= self.compacted);
        if changes == Some(self.index) {
            return None;
        }
        Some(self.write(watcher, changes))
    }

    /// The answer to a watch that waited for nothing.
    pub fn nothing(&self) -> Answer {
        self.write(usize::MAX, Some(self.index))
    }

    /// What changed after that version, or the whole list.
    fn write(&self, watcher: usize, after: Option<u64>) -> Answer {
        let view = self.views.get(watcher);
        let address = |e: &Entry| view.and_then(|view| view.get(&e.name)).copied().unwrap_or(e.address);
        let mentioned = |(changed, entry): &&(u64, Entry)| match after {
            Some(after) => *changed > after,
            None => entry.status != Status::Deleted,
        };
        let entries: Vec<_> = self.entries.values().filter(mentioned).collect();
        let lines: Vec<_> = entries.iter().map(|(_, entry)| entry.json_at(address(entry))).collect();
        let body = json!({"index": self.index, "snapshot": after.is_none(), "endpoints": lines}).to_string();
        // A whole list tells of the deleted by leaving them out.
        let told = self.entries.values().filter(|e| after.is_none() || mentioned(e));
        let changes = told.map(|(changed, e)| (e.name.clone(), e.status, *changed)).collect();
        Answer { body, index: self.index, changes }
    }

    /// An answer was written to a watcher.
    pub fn tell(&mut self, watcher: usize, answer: Answer, at: Time) {
        let Some(heard) = self.heard.get_mut(watcher) else { return };
        let new = answer.changes.into_iter().filter(|(_, _, index)| *index > *heard);
        self.told.extend(new.map(|(name, status, index)| Delivery { watcher, name, status, index, at }));
        *heard = answer.index.max(*heard);
        let over = self.told.len().saturating_sub(MAX_DELIVERIES);
        self.told.drain(..over);
    }

    pub fn told(&self) -> &[Delivery] {
        &self.told
    }

    pub fn all_told(&self, index: u64) -> bool {
        self.heard.iter().all(|heard| *heard >= index)
    }

    pub fn drained(&self) -> Vec<Drained> {
        let mut drained = Vec::new();
        for (name, (_, entry)) in &self.entries {
            let of = |watcher: usize| {
                // The first word of it counts: a deletion after a drain says nothing new.
                let unwanted = |t: &&Delivery| t.name == *name && t.watcher == watcher;
                let mut told: Vec<&Delivery> = self.told.iter().filter(unwanted).collect();
                let last_served = told.iter().rposition(|t| t.status == Status::Serving);
                told.drain(..last_served.map_or(0, |n| n + 1));
                told.first().map(|t| t.at)
            };
            if entry.status == Status::Serving {
                continue;
            }
            let all: Option<Vec<Time>> = (0..self.heard.len()).map(of).collect();
            if let Some(told) = all.and_then(|all| all.into_iter().max()) {
                drained.push(Drained { name: name.clone(), delivered_at: told });
            }
        }
        drained
    }
}

#[cfg(test)]
mod tests;
