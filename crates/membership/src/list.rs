//! Endpoint lists in the platform's JSON format, and the entries of any list. No other module knows the format's field names
//! and statuses.

use crate::hash::deduplication_group_hash;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};
use shaletide_types::{BackendState, Time};
use std::fmt;
use std::net::SocketAddr;

/// Maximum number of entries in a pool's list; further entries are skipped.
pub const MAX_ENTRIES: usize = 100_000;
/// Maximum length of a name, zone or server type, in bytes. An entry with a longer one is invalid.
pub const MAX_NAME: usize = 1_024;

/// Maximum weight. A larger weight is ignored.
const MAX_WEIGHT: f64 = 1e6;

/// A list, or the changes to a list. Entries are parsed one by one, so that an invalid entry does not hide others.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// The version after which to poll for changes.
    pub index: u64,
    /// Whether this is a whole list and not a list of changes.
    pub snapshot: bool,
    /// The unparsed entries.
    pub endpoints: Vec<Value>,
}

/// Invalid entries, including those of which only the status could be read that ends new requests to their backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skipped {
    /// The number of invalid entries.
    pub count: usize,
    /// The error of the first invalid entry, and the beginning of the entry.
    pub first: String,
}

/// A valid entry of a list, with its names.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The backend's name, which is the same at every proxy.
    pub name: String,
    /// The address at which the backend listens.
    pub address: SocketAddr,
    /// The zone's name.
    pub zone: String,
    /// The server type's name.
    pub server_type: String,
    /// The deduplication group; for groups with names see [`crate::deduplication_group_hash`].
    pub deduplication_group: u64,
    /// Number of cores.
    pub cores: u32,
    /// The weight in thousandths; 0 if the list has no valid weight.
    pub weight: u32,
    /// Whether the backend is ready, draining or gone.
    pub state: BackendState,
    /// When the backend last started; `None` means long ago. The time is by the clock of the list's source until
    /// [`crate::StartTimes`] replaces it by the local clock's.
    pub started_at: Option<Time>,
}

/// A list whose entries are unparsed JSON text.
#[derive(Deserialize)]
struct RawList<'a> {
    index: u64,
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

/// The minimal fields of an entry.
#[derive(Deserialize)]
struct NameAndStatus {
    name: String,
    status: String,
}

/// An entry with the platform's field names.
#[derive(Deserialize)]
struct WireEntry {
    name: String,
    address: String,
    zone: Option<String>,
    #[serde(rename = "type")]
    server_type: Option<String>,
    /// The deduplication group. A backend without one shares its known keys with no other backend.
    group: Option<u64>,
    /// Parsed leniently: an entry without a valid number of cores is valid.
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
    /// The entry does not have the format of an entry.
    Form(serde_json::Error),
    UnknownStatus(String),
    BadAddress(String),
    NameTooLong,
    /// The list already has [`MAX_ENTRIES`] valid entries.
    ListFull,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryError::Form(error) => write!(f, "{error}"),
            EntryError::UnknownStatus(status) => write!(f, "unknown status {status:?}"),
            EntryError::BadAddress(address) => write!(f, "invalid address {address:?}"),
            EntryError::NameTooLong => write!(f, "name, zone or type is longer than {MAX_NAME} bytes"),
            EntryError::ListFull => write!(f, "list has more than {MAX_ENTRIES} entries"),
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

    /// Returns the number of cores; 1 if it is absent or invalid.
    fn cores(&self) -> u32 {
        self.cores.as_u64().and_then(|cores| u32::try_from(cores).ok()).unwrap_or(1).max(1)
    }

    /// Returns the weight in thousandths; 0 if it is absent or invalid.
    fn weight(&self) -> u32 {
        let weight = self.weight.as_f64().filter(|weight| (0.0..=MAX_WEIGHT).contains(weight));
        (weight.unwrap_or(0.0) * 1e3).round() as u32
    }

    /// Returns the time of the last start, by the list's clock.
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

    /// Returns a gone backend for an invalid entry whose status says that its backend takes no new requests. The backend
    /// counts as gone because its address is not known.
    fn gone_backend(value: &Value) -> Option<Endpoint> {
        let NameAndStatus { name, status } = NameAndStatus::deserialize(value).ok()?;
        let takes_no_new_requests = matches!(status.as_str(), "DRAINING" | "DELETED");
        if !takes_no_new_requests || name.len() > MAX_NAME {
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
    /// Parses a list. A list that is not valid UTF-8, or has a number out of range, is parsed entry by entry, so that an
    /// invalid entry does not hide others.
    ///
    /// # Errors
    /// Returns an error if the bytes do not have the format of a list.
    pub fn read(bytes: &[u8]) -> Result<List, serde_json::Error> {
        serde_json::from_slice(bytes).or_else(|_| {
            let text = String::from_utf8_lossy(bytes);
            let RawList { index, snapshot, endpoints } = serde_json::from_str(&text)?;
            let endpoints = endpoints.into_iter().map(|entry| entry_value(entry.get())).collect();
            Ok(List { index, snapshot, endpoints })
        })
    }

    /// Returns the valid entries, at most [`MAX_ENTRIES`], and a summary of the skipped ones.
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

/// Parses an entry from its text. If that fails, returns its name and status alone, if those can be parsed.
fn entry_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| match serde_json::from_str(text) {
        Ok(NameAndStatus { name, status }) => json!({ "name": name, "status": status }),
        Err(_) => Value::Null,
    })
}

#[cfg(test)]
mod tests;
