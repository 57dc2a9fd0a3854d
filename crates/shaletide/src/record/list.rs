//! `shaletide record list`: facts, one per line, or the keys that are not settled.

use super::args::{FactFilter, List};
use super::error::CommandError;
use super::text;
use super::time_zone::Zone;
use shaletide_record::{KeyState, Row, StoredKey};
use shaletide_store::{Query, StoreError, StoreReader};
use std::io::Write;

/// The number of rows read at a time.
pub const PAGE: usize = 1_000;

/// Converts a filter to a query.
pub fn query(filter: &FactFilter, zone: &Zone) -> Result<Query, CommandError> {
    let time =
        |what: &str, text: &Option<String>| text.as_ref().map(|text| zone.read(what, text)).transpose();
    Ok(Query {
        since: time("--since", &filter.since)?,
        until: time("--until", &filter.until)?,
        tenant: filter.tenant.clone(),
        backend: filter.backend.clone(),
        ..Query::default()
    })
}

pub fn list(
    store: &dyn StoreReader, args: &List, zone: &Zone, out: &mut dyn Write,
) -> Result<(), CommandError> {
    if args.in_doubt {
        return list_unsettled(store, args, zone, out);
    }
    let mut query = Query { after_seq: args.after, ..query(&args.filter, zone)? };
    let mut remaining = args.limit;
    writeln!(out, "times in {}", zone.name)?;
    while remaining > 0 {
        let page = rows(store, &mut query, remaining)?;
        if page.is_empty() {
            return Ok(());
        }
        for row in &page {
            let about = row.key.as_ref().filter(|_| row.kind != "asked");
            let about = about.map(|id| format!("{}, key {}: ", text::key_owner(id), text::key(&id.key)));
            let description = text::fact(row, |_| None, false);
            writeln!(
                out,
                "{}  {}{description}  [row {}]",
                zone.full(row.at),
                about.unwrap_or_default(),
                row.seq
            )?;
        }
        remaining -= page.len() as u64;
    }
    if !rows(store, &mut query.clone(), 1)?.is_empty() {
        writeln!(out, "there are more: --after {}", query.after_seq)?;
    }
    Ok(())
}

/// Returns the next page, and advances the query past it.
pub fn rows(store: &dyn StoreReader, query: &mut Query, remaining: u64) -> Result<Vec<Row>, StoreError> {
    query.limit = usize::try_from(remaining).unwrap_or(usize::MAX).min(PAGE);
    let page = store.rows(query)?;
    if let Some(last) = page.last() {
        query.after_seq = last.seq;
    }
    Ok(page)
}

fn list_unsettled(
    store: &dyn StoreReader, args: &List, zone: &Zone, out: &mut dyn Write,
) -> Result<(), CommandError> {
    let mut after: Option<StoredKey> = None;
    let mut remaining = args.limit;
    writeln!(out, "times in {}", zone.name)?;
    loop {
        let page = store.keys(after.as_ref().map(|held| &held.key), PAGE * 10)?;
        for held in page.iter().filter(|held| held.state != KeyState::Served) {
            if args.filter.tenant.as_ref().is_some_and(|tenant| *tenant != held.key.tenant) {
                continue;
            }
            let at = last_backend(store, held)?;
            if args.filter.backend.is_some() && args.filter.backend != at {
                continue;
            }
            if remaining == 0 {
                return Ok(writeln!(out, "there are more: --limit {}", args.limit.saturating_mul(10))?);
            }
            remaining -= 1;
            let state = text::state(held.state);
            let since = zone.full(held.since);
            let at = at.map_or("no backend".into(), |at| text::one_line(&at));
            let key = text::arguments(&held.key);
            writeln!(out, "{state} since {since}, last at {at}  [row {}]  {key}", held.seq)?;
        }
        match page.into_iter().last() {
            Some(last) => after = Some(last),
            None => return Ok(()),
        }
    }
}

/// Returns the backend of the key's last attempt.
fn last_backend(store: &dyn StoreReader, held: &StoredKey) -> Result<Option<String>, StoreError> {
    let id = &held.key;
    let mut query = Query {
        key: Some(id.key.clone()),
        tenant: Some(id.tenant.clone()),
        class: Some(id.class.clone()),
        kind: Some("intent".into()),
        ..Query::default()
    };
    let mut last = None;
    loop {
        let page = rows(store, &mut query, u64::MAX)?;
        match page.into_iter().last() {
            Some(row) => last = row.backend,
            None => return Ok(last),
        }
    }
}
