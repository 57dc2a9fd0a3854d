//! Parses the entries of endpoint lists.

use crate::error::WireError;
use crate::messages::backend_state;
use serde_json::Value;
use shaletide_balancer::{BackendEntry, DeduplicationGroupId, Time};
use shaletide_config::platform::NamedEntry;

/// Number of values in an entry: zone, deduplication group, server type, address, state, weight, start time.
const VALUES: usize = 7;
/// Maximum weight on the wire; a larger or a negative weight counts as 0.
const MAX_WEIGHT: f64 = 1e6;
/// Factor from the simulator's weights to the balancer's, which are whole numbers in thousandths.
const WEIGHT_SCALE: f64 = 1e3;

/// Parses an entry.
///
/// # Errors
/// The entry has the wrong number of values, or an invalid one.
pub fn read_entry(entry: &Value) -> Result<NamedEntry, WireError> {
    let error = |expected: &str| WireError::Entry { entry: entry.clone(), expected: expected.into() };
    let values = entry
        .as_array()
        .filter(|values| values.len() == VALUES)
        .ok_or_else(|| error("an array of 7 values"))?;
    let text = |index: usize, expected| values[index].as_str().ok_or_else(|| error(expected));
    let address = text(3, "an address")?;
    if !is_plain(address) {
        return Err(error("a plain address"));
    }
    let state = backend_state(text(4, "IN, LAME or OUT")?).ok_or_else(|| error("IN, LAME or OUT"))?;
    let started_at = match &values[6] {
        Value::Null => None,
        value => Some(value.as_u64().ok_or_else(|| error("a start time or null"))?),
    };
    let group = values[1].as_u64().ok_or_else(|| error("a cell number"))?;
    let entry = BackendEntry {
        deduplication_group: DeduplicationGroupId(group),
        state,
        weight: weight(&values[5]),
        started_at: started_at.filter(|time| *time > 0).map(Time),
        ..BackendEntry::default()
    };
    Ok(NamedEntry::new(address, address, text(0, "a zone")?, text(2, "a kind")?, entry))
}

fn weight(value: &Value) -> u32 {
    let weight = value.as_f64().filter(|weight| (0.0..=MAX_WEIGHT).contains(weight));
    weight.map_or(0, |weight| (weight * WEIGHT_SCALE).round() as u32)
}

/// Returns whether a text is not empty and needs no escapes in JSON.
fn is_plain(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\')
}
