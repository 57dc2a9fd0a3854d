//! A list in the platform's JSON form, and the entries of any list.

use crate::hash::deduplication_group_hash;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};
use shaletide_types::{BackendState, Time};
use std::net::SocketAddr;

/// A pool's list may hold so many entries; more are skipped.
pub const MAX_ENTRIES: usize = 100_000;
/// An entry with a longer name, zone or kind, in bytes, is a bad one.
pub const MAX_NAME: usize = 1_024;

/// A larger weight is none.
const MAX_WEIGHT: f64 = 1e6;

/// A list, or the changes to one. Entries are read one by one, so that a bad one spoils no other.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// What to ask for changes after.
    pub index: u64,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// The entries as they came.
    pub endpoints: Vec<Value>,
}

/// Entries that made no sense, or none but that nothing new may go to a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skipped {
    /// How many.
    pub count: usize,
    /// What was wrong with the first of them, and its beginning.
    pub first: String,
}

/// An entry that made sense.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every proxy.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// What sort of machine it is.
    pub server_type: String,
    /// Its bay: backends of one bay share which keys they have seen. For bays with names see [`bay`].
    pub deduplication_group: u64,
    /// How many cores it has.
    pub cores: u32,
    /// Its weight in thousandths; 0 where the list says none, or nothing that is one.
    pub weight: u32,
    /// What it may be sent.
    pub state: BackendState,
    /// When it last started, by the clock of whoever made the list, until [`crate::StartTimes`] has put the own clock's
    /// time there; `None` means long ago.
    pub started_at: Option<Time>,
}

/// A list of which each entry is still text.
#[derive(Deserialize)]
struct RawList<'a> {
    index: u64,
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

/// The least that an entry says.
#[derive(Deserialize)]
struct NameAndStatus {
    name: String,
    status: String,
}

#[derive(Deserialize)]
struct WireEntry {
    name: String,
    address: String,
    zone: Option<String>,
    #[serde(rename = "type")]
    kind: Option<String>,
    /// Without one it shares what it has seen with nobody.
    group: Option<u64>,
    /// Read leniently: an entry without it is as good.
    #[serde(default)]
    cores: Value,
    #[serde(default)]
    weight: Value,
    status: String,
    since_ms: Option<f64>,
}

impl Endpoint {
    fn read(value: &Value) -> Result<Endpoint, String> {
        let e = WireEntry::deserialize(value).map_err(|e| e.to_string())?;
        let state = match e.status.as_str() {
            "SERVING" => BackendState::Ready,
            "DRAINING" => BackendState::Draining,
            "DELETED" => BackendState::Gone,
            other => return Err(format!("unknown status {other:?}")),
        };
        let address = e.address.parse().map_err(|_| format!("bad address {:?}", e.address))?;
        let (zone, kind) = (e.zone.unwrap_or_default(), e.kind.unwrap_or_default());
        let since_ms = e.since_ms.unwrap_or_default();
        if [&e.name, &zone, &kind].iter().any(|text| text.len() > MAX_NAME) {
            return Err(format!("a name of more than {MAX_NAME} bytes"));
        }
        let cores = e.cores.as_u64().and_then(|n| u32::try_from(n).ok()).unwrap_or(1).max(1);
        let weight = e.weight.as_f64().filter(|w| (0.0..=MAX_WEIGHT).contains(w)).unwrap_or(0.0);
        let weight = (weight * 1e3).round() as u32;
        let started_at = (since_ms > 0.0).then_some(Time((since_ms * 1e3) as u64));
        let own = || deduplication_group_hash(&e.name);
        let group = e.group.unwrap_or_else(own);
        let (name, bay) = (e.name, group);
        Ok(Endpoint {
            name,
            address,
            zone,
            server_type: kind,
            deduplication_group: bay,
            cores,
            weight,
            state,
            started_at,
        })
    }

    /// Of an entry that makes no sense otherwise: that nothing new may go to the backend of that name. It counts as gone,
    /// as it is not known where it is.
    fn gone_backend(value: &Value) -> Option<Endpoint> {
        let NameAndStatus { name, status } = NameAndStatus::deserialize(value).ok()?;
        let nothing_new = matches!(status.as_str(), "DRAINING" | "DELETED") && name.len() <= MAX_NAME;
        nothing_new.then(|| Endpoint {
            deduplication_group: deduplication_group_hash(&name),
            name,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: String::new(),
            server_type: String::new(),
            cores: 1,
            weight: 0,
            state: BackendState::Gone,
            started_at: None,
        })
    }
}

impl List {
    /// Reads a list. One that is not text, or has a number that is none, is read entry by entry: what is wrong with
    /// one hides no other.
    ///
    /// # Errors
    /// It is no list.
    pub fn read(bytes: &[u8]) -> Result<List, serde_json::Error> {
        serde_json::from_slice(bytes).or_else(|_| {
            let text = String::from_utf8_lossy(bytes);
            let RawList { index, snapshot, endpoints } = serde_json::from_str(&text)?;
            let endpoints = endpoints.into_iter().map(|entry| value(entry.get())).collect();
            Ok(List { index, snapshot, endpoints })
        })
    }

    /// The entries that make sense, [`MAX_ENTRIES`] at most, and what is to be said of the others.
    pub fn entries(&self) -> (Vec<Endpoint>, Option<Skipped>) {
        let mut entries = Vec::with_capacity(self.endpoints.len().min(MAX_ENTRIES));
        let mut skipped: Option<Skipped> = None;
        for value in &self.endpoints {
            let why = match Endpoint::read(value) {
                Ok(entry) if entries.len() < MAX_ENTRIES => {
                    entries.push(entry);
                    continue;
                }
                Ok(_) => format!("more than {MAX_ENTRIES} entries"),
                Err(why) => {
                    entries.extend(Endpoint::gone_backend(value).filter(|_| entries.len() < MAX_ENTRIES));
                    why
                }
            };
            let sample = || format!("{why:.200}: {:.200}", value.to_string());
            skipped.get_or_insert_with(|| Skipped { count: 0, first: sample() }).count += 1;
        }
        (entries, skipped)
    }
}

/// An entry by itself, or of one that cannot be read as a whole what it says at the least.
fn value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| match serde_json::from_str(text) {
        Ok(NameAndStatus { name, status }) => json!({ "name": name, "status": status }),
        Err(_) => Value::Null,
    })
}

#[cfg(test)]
mod tests;
