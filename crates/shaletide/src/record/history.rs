//! `shaletide record show`: the history of one key.

use super::args::KeyArgs;
use super::error::CommandError;
use super::list::{self, PAGE};
use super::text;
use super::time_zone::Zone;
use shaletide_record::{Fact, KeyId, KeyState, Row, StoredKey};
use shaletide_store::{Query, StoreError, StoreReader};
use shaletide_types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;

/// The most rows of a history that are printed, and the most corrections that are searched.
const MAX_ROWS: usize = 100_000;

pub fn show(
    store: &dyn StoreReader, key: &[u8], which: &KeyArgs, zone: &Zone, out: &mut dyn Write,
) -> Result<(), CommandError> {
    let query = Query {
        key: Some(key.to_vec()),
        tenant: which.tenant.clone(),
        class: which.class.clone(),
        ..Query::default()
    };
    let rows = all_rows(store, query)?;
    let keys: BTreeSet<&KeyId> = rows.iter().filter_map(|row| row.key.as_ref()).collect();
    if keys.is_empty() {
        return report_no_rows(store, key, which, zone, out);
    }
    let corrections = corrections(store, &rows)?;
    for (number, id) in keys.into_iter().enumerate() {
        if number > 0 {
            writeln!(out)?;
        }
        let rows: Vec<&Row> = rows.iter().filter(|row| row.key.as_ref() == Some(id)).collect();
        KeyHistory { store, id, held: store.key(id)?, corrections: &corrections, zone }.write(&rows, out)?;
    }
    Ok(())
}

/// Reports a key without rows: its rows may have been pruned while the store still holds its state.
fn report_no_rows(
    store: &dyn StoreReader, key: &[u8], which: &KeyArgs, zone: &Zone, out: &mut dyn Write,
) -> Result<(), CommandError> {
    let none = format!("nothing is on record about the key {}", text::key(key));
    let (Some(tenant), Some(class)) = (&which.tenant, &which.class) else {
        let pruned = store.anchor()?.is_some();
        let help = "; rows were pruned: give --tenant and --class to see the state of the key";
        return Err(CommandError::negative(none + if pruned { help } else { "" }));
    };
    let id = KeyId { tenant: tenant.clone(), class: class.clone(), key: key.to_vec() };
    let held = store.key(&id)?;
    if held.is_none() {
        return Err(CommandError::negative(none));
    }
    let corrections = BTreeMap::new();
    KeyHistory { store, id: &id, held, corrections: &corrections, zone }.write(&[], out)
}

fn all_rows(store: &dyn StoreReader, mut query: Query) -> Result<Vec<Row>, StoreError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let page = list::rows(store, &mut query, u64::MAX)?;
        let last = page.len() < PAGE;
        rows.extend(page);
        if last || rows.len() >= MAX_ROWS {
            return Ok(rows);
        }
    }
}

/// Returns the corrections of these rows, by the row that they correct. They follow these rows, and have no key if a running
/// proxy wrote them.
fn corrections(store: &dyn StoreReader, rows: &[Row]) -> Result<BTreeMap<u64, Vec<Row>>, StoreError> {
    let seqs: BTreeSet<u64> = rows.iter().map(|row| row.seq).collect();
    let mut found: BTreeMap<u64, Vec<Row>> = BTreeMap::new();
    let mut query = Query {
        kind: Some("correction".into()),
        after_seq: seqs.first().copied().unwrap_or_default(),
        ..Query::default()
    };
    for _ in 0..MAX_ROWS / PAGE {
        let page = list::rows(store, &mut query, u64::MAX)?;
        if page.is_empty() {
            break;
        }
        for row in page {
            match Fact::of(&row) {
                Fact::Correction { of, .. } if seqs.contains(&of) => found.entry(of).or_default().push(row),
                _ => {}
            }
        }
    }
    Ok(found)
}

struct KeyHistory<'a> {
    store: &'a dyn StoreReader,
    id: &'a KeyId,
    /// The key's state in the store; `None` if it is free.
    held: Option<StoredKey>,
    corrections: &'a BTreeMap<u64, Vec<Row>>,
    zone: &'a Zone,
}

impl KeyHistory<'_> {
    fn write(&self, rows: &[&Row], out: &mut dyn Write) -> Result<(), CommandError> {
        writeln!(out, "{}, key {}", text::key_owner(self.id), text::key(&self.id.key))?;
        writeln!(out, "times in {}", self.zone.name)?;
        let proves = |row: &&&Row| matches!(row.kind.as_str(), "withdrawn" | "doubted" | "resolved");
        let durable = self.held.is_some() || rows.iter().find(proves).is_some();
        let mut day = String::new();
        let mut run = None;
        let mut request = None;
        let mut backends: BTreeMap<(u64, Option<u64>, u32), String> = BTreeMap::new();
        for row in rows {
            let today = self.zone.day(row.at);
            if today != day {
                writeln!(out, "\n{today}")?;
                day = today;
            }
            if run != Some(row.run) {
                writeln!(out, "  {}", self.run_start(row)?)?;
                (run, request) = (Some(row.run), None);
            }
            if row.request != request {
                match row.request {
                    Some(number) => writeln!(out, "  request {number} of run {}", row.run)?,
                    None => writeln!(out, "  afterwards")?,
                }
                request = row.request;
            }
            if let Fact::Intent { attempt, seen } = Fact::of(row) {
                backends.insert((row.run, row.request, attempt), seen.backend);
            }
            let to = |attempt| backends.get(&(row.run, row.request, attempt)).cloned();
            self.write_line(row, &text::fact(row, to, durable), out)?;
            self.write_corrections(row, out)?;
        }
        if rows.is_empty() {
            writeln!(out, "\nits rows were pruned")?;
        }
        self.write_state(out)
    }

    fn write_corrections(&self, row: &Row, out: &mut dyn Write) -> Result<(), CommandError> {
        for correction in self.corrections.get(&row.seq).into_iter().flatten() {
            let fact = text::fact(correction, |_| None, false);
            let at = self.zone.full(correction.at);
            writeln!(out, "                 row {}, {at}: {fact}", correction.seq)?;
        }
        Ok(())
    }

    fn write_line(&self, row: &Row, description: &str, out: &mut dyn Write) -> Result<(), CommandError> {
        Ok(writeln!(out, "    {}  {description}  [row {}]", self.zone.clock(row.at), row.seq)?)
    }

    /// Describes the start of a row's run, if it is still on record. Runs do not overlap, so that a binary search finds a run's
    /// first row.
    fn run_start(&self, row: &Row) -> Result<String, CommandError> {
        let from = self.store.anchor()?.map_or(0, |anchor| anchor.through.seq);
        let mut low = from + 1;
        let mut high = row.seq;
        while low < high {
            let middle = low + (high - low) / 2;
            let found = self.row_at(middle)?;
            match found.filter(|found| found.run < row.run) {
                Some(_) => low = middle + 1,
                None => high = middle,
            }
        }
        let first = self.row_at(low)?.filter(|first| first.kind == "start");
        Ok(match first {
            Some(first) => format!("{} ({})", text::fact(&first, |_| None, false), self.zone.full(first.at)),
            None => format!("run {}; its start is not on record", row.run),
        })
    }

    fn row_at(&self, seq: u64) -> Result<Option<Row>, StoreError> {
        let page = self.store.rows(&Query { after_seq: seq - 1, limit: 1, ..Query::default() })?;
        Ok(page.into_iter().next())
    }

    /// Writes the current state of the key.
    fn write_state(&self, out: &mut dyn Write) -> Result<(), CommandError> {
        let since = |at: Time| self.zone.full(at);
        let description = match &self.held {
            None => "now: free; a request with this key will be sent".into(),
            Some(held) if held.state == KeyState::Served => {
                format!("now: served (row {}); a request with this key will be rejected", held.seq)
            }
            Some(held) if held.state == KeyState::InDoubt => format!(
                "now: in doubt since {} (row {}), until it is resolved; a request with this key will be rejected\n     \
                 shaletide record resolve {} --ran yes|no --by NAME --note TEXT",
                since(held.since),
                held.seq,
                text::arguments(self.id)
            ),
            Some(held) => format!(
                "now: in flight since {} (row {}); in doubt if the proxy that sent it has ended",
                since(held.since),
                held.seq
            ),
        };
        Ok(writeln!(out, "\n{description}")?)
    }
}
