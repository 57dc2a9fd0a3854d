//! An endpoint list in the platform's JSON form, and the entries of any list. The only place that spells the form's
//! field names and states.

use crate::hash::deduplication_group_hash;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};
use shaletide_types::{BackendState, Time};
use std::fmt;
use std::net::SocketAddr;

/// A pool's list may hold so many entries; more are skipped.
pub const MAX_ENTRIES: usize = 100_000;
/// An entry with a longer name, zone or server type, in bytes, is invalid.
pub const MAX_NAME: usize = 1_024;

/// A larger weight counts as none.
const MAX_WEIGHT: f64 = 1e6;

/// A list, or the changes to one. Entries are read one by one, so that an invalid one does not hide others.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// The version after which to poll for changes.
    pub index: u64,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// The entries as they came.
    pub endpoints: Vec<Value>,
}

/// Entries that were invalid, or of which no more could be read than that their backend takes no new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skipped {
    /// How many.
    pub count: usize,
    /// What was wrong with the first of them, and its beginning.
    pub first: String,
}

/// A valid entry of a list, with its names.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every proxy.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its server type's name.
    pub server_type: String,
    /// Its deduplication group; for groups with names see [`crate::deduplication_group_hash`].
    pub deduplication_group: u64,
    /// How many cores it has.
    pub cores: u32,
    /// Its weight in thousandths; 0 where the list has none, or none that is valid.
    pub weight: u32,
    /// What it may be sent.
    pub state: BackendState,
    /// When it last started, by the clock of whoever made the list, until [`crate::StartTimes`] has put the local
    /// clock's time there; `None` means long ago.
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

/// The least that an entry has to say.
#[derive(Deserialize)]
struct NameAndStatus {
    name: String,
    status: String,
}

/// An entry by the platform's field names.
#[derive(Deserialize)]
struct WireEntry {
    name: String,
    address: String,
    zone: Option<String>,
    #[serde(rename = "type")]
    server_type: Option<String>,
    /// Without one it shares the keys it has seen with no other backend.
    group: Option<u64>,
    /// Read leniently: an entry without it is valid.
    #[serde(default)]
    cores: Value,
    #[serde(default)]
    weight: Value,
    status: String,
    since_ms: Option<f64>,
}

/// Why an entry is skipped.
#[derive(Debug)]
enum EntryError {
    /// It does not have the form of an entry.
    Form(serde_json::Error),
    UnknownStatus(String),
    BadAddress(String),
    NameTooLong,
    /// The list holds [`MAX_ENTRIES`] before it.
    ListFull,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryError::Form(error) => write!(f, "{error}"),
            EntryError::UnknownStatus(status) => write!(f, "unknown status {status:?}"),
            EntryError::BadAddress(address) => write!(f, "bad address {address:?}"),
            EntryError::NameTooLong => write!(f, "a name of more than {MAX_NAME} bytes"),
            EntryError::ListFull => write!(f, "more than {MAX_ENTRIES} entries"),
        }
    }
}

impl WireEntry {
    fn state(&self) -> Result<BackendState, EntryError> {
        match self.status.as_str() {
            "SERVING" => Ok(BackendState::Ready),
            "DRAINING" => Ok(BackendState::Draining),
            "DELETED" => Ok(BackendState::Gone),
            other => Err(EntryError::UnknownStatus(other.to_string())),
        }
    }

    /// How many cores it has; 1 where that is absent or invalid.
    fn cores(&self) -> u32 {
        self.cores.as_u64().and_then(|cores| u32::try_from(cores).ok()).unwrap_or(1).max(1)
    }

    /// Its weight in thousandths; 0 where that is absent or invalid.
    fn weight(&self) -> u32 {
        let weight = self.weight.as_f64().filter(|weight| (0.0..=MAX_WEIGHT).contains(weight));
        (weight.unwrap_or(0.0) * 1e3).round() as u32
    }

    /// When it last started, by the list's clock.
    fn started_at(&self) -> Option<Time> {
        let since_ms = self.since_ms.unwrap_or_default();
        (since_ms > 0.0).then_some(Time((since_ms * 1e3) as u64))
    }
}

impl Endpoint {
    fn read(value: &Value) -> Result<Endpoint, EntryError> {
        let entry = WireEntry::deserialize(value).map_err(EntryError::Form)?;
        let state = entry.state()?;
        let address = entry.address.parse().map_err(|_| EntryError::BadAddress(entry.address.clone()))?;
        let cores = entry.cores();
        let weight = entry.weight();
        let started_at = entry.started_at();
        let zone = entry.zone.unwrap_or_default();
        let server_type = entry.server_type.unwrap_or_default();
        if [&entry.name, &zone, &server_type].iter().any(|text| text.len() > MAX_NAME) {
            return Err(EntryError::NameTooLong);
        }
        let deduplication_group = entry.group.unwrap_or_else(|| deduplication_group_hash(&entry.name));
        Ok(Endpoint {
            name: entry.name,
            address,
            zone,
            server_type,
            deduplication_group,
            cores,
            weight,
            state,
            started_at,
        })
    }

    /// Of an invalid entry: that its backend takes no new requests, if it says so. The backend counts as gone, as its
    /// address is not known.
    fn gone_backend(value: &Value) -> Option<Endpoint> {
        let NameAndStatus { name, status } = NameAndStatus::deserialize(value).ok()?;
        let takes_nothing_new = matches!(status.as_str(), "DRAINING" | "DELETED");
        if !takes_nothing_new || name.len() > MAX_NAME {
            return None;
        }
        Some(Endpoint {
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
    /// Reads a list. One that is not UTF-8, or has a number that JSON's numbers cannot hold, is read entry by entry:
    /// what is wrong with one hides no other.
    ///
    /// # Errors
    /// It does not have the form of a list.
    pub fn read(bytes: &[u8]) -> Result<List, serde_json::Error> {
        serde_json::from_slice(bytes).or_else(|_| {
            let text = String::from_utf8_lossy(bytes);
            let RawList { index, snapshot, endpoints } = serde_json::from_str(&text)?;
            let endpoints = endpoints.into_iter().map(|entry| entry_value(entry.get())).collect();
            Ok(List { index, snapshot, endpoints })
        })
    }

    /// The valid entries, [`MAX_ENTRIES`] at most, and what was skipped.
    pub fn entries(&self) -> (Vec<Endpoint>, Option<Skipped>) {
        let mut entries = Vec::with_capacity(self.endpoints.len().min(MAX_ENTRIES));
        let mut skipped: Option<Skipped> = None;
        for value in &self.endpoints {
            let error = match Endpoint::read(value) {
                Ok(entry) if entries.len() < MAX_ENTRIES => {
                    entries.push(entry);
                    continue;
                }
                Ok(_) => EntryError::ListFull,
                Err(error) => {
                    entries.extend(Endpoint::gone_backend(value).filter(|_| entries.len() < MAX_ENTRIES));
                    error
                }
            };
            let first = || format!("{:.200}: {:.200}", error.to_string(), value.to_string());
            skipped.get_or_insert_with(|| Skipped { count: 0, first: first() }).count += 1;
        }
        (entries, skipped)
    }
}

/// One entry from its text; of one that cannot be read, what it says at the least.
fn entry_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| match serde_json::from_str(text) {
        Ok(NameAndStatus { name, status }) => json!({ "name": name, "status": status }),
        Err(_) => Value::Null,
    })
}

#[cfg(test)]
mod tests;
