//! Write operations: batches, expiry of keys, and pruning. Each is one transaction.

use rusqlite::{params, Connection, OptionalExtension, Transaction, TransactionBehavior};
use shaletide_record::{Claim, ClaimRejection, KeyId, KeyState, Row, Write};
use shaletide_types::Time;

use super::convert::{limit_to_sql, state_code, state_from_code, time_to_sql, to_sql};
use super::errors::classify;
use super::read::{anchor, head};
use crate::{Anchor, CommitError, CommitOutcome, Head, NoteEncoder, Pruned, StoreError, Sums};

type RowResults = Vec<Result<u64, ClaimRejection>>;

pub(super) fn commit(
    db: &mut Connection, batch: &[Write], sums: &dyn Sums,
) -> Result<RowResults, CommitError> {
    let nothing = |error| CommitError { error, outcome: CommitOutcome::Nothing };
    let begun = db.transaction_with_behavior(TransactionBehavior::Immediate);
    let tx = begun.map_err(|error| nothing(classify(error)))?;
    let results = add_all(&tx, batch, sums).map_err(nothing)?;
    tx.commit().map_err(|error| CommitError { error: classify(error), outcome: CommitOutcome::Unknown })?;
    Ok(results)
}

fn add_all(tx: &Transaction<'_>, batch: &[Write], sums: &dyn Sums) -> Result<RowResults, StoreError> {
    let mut last = head(tx)?;
    let mut results = Vec::with_capacity(batch.len());
    for write in batch {
        let seq = last.seq + 1;
        if let Err(refused) = claim(tx, write, seq)? {
            results.push(Err(refused));
            continue;
        }
        last = append(tx, last, &write.row, sums)?;
        results.push(Ok(seq));
    }
    Ok(results)
}

/// Appends a row after the last one, and returns the new head.
fn append(tx: &Transaction<'_>, last: Head, row: &Row, sums: &dyn Sums) -> Result<Head, StoreError> {
    let mut row = Row { seq: last.seq + 1, ..row.clone() };
    row.sum = sums.sum(&last.sum, &row);
    insert(tx, &row)?;
    Ok(Head { seq: row.seq, sum: row.sum, run: row.run })
}

/// Applies the claim of a write to its key. The table's constraint decides whether the key is free.
fn claim(tx: &Transaction<'_>, write: &Write, seq: u64) -> Result<Result<(), ClaimRejection>, StoreError> {
    let row = &write.row;
    match &write.claim {
        Claim::None => {}
        Claim::Take(key) => return take(tx, key, row.at, seq),
        Claim::Set(key, state) => {
            let sql = "INSERT INTO keys (tenant, class, key, state, since, seq) VALUES (?1, ?2, ?3, ?4, ?5, ?6)
                 ON CONFLICT DO UPDATE SET state = excluded.state, since = excluded.since, seq = excluded.seq";
            let mut set = tx.prepare_cached(sql).map_err(classify)?;
            set.execute(key_values(key, *state, row.at, seq)).map_err(classify)?;
        }
        Claim::Free(key) => {
            let sql = "DELETE FROM keys WHERE tenant = ?1 AND class = ?2 AND key = ?3";
            let mut free = tx.prepare_cached(sql).map_err(classify)?;
            free.execute(params![key.tenant, key.class, key.key]).map_err(classify)?;
        }
        Claim::FreeOwn(key) => {
            let sql = "DELETE FROM keys WHERE tenant = ?1 AND class = ?2 AND key = ?3
                 AND EXISTS (SELECT 1 FROM rows AS r WHERE r.seq = keys.seq AND r.run = ?4 AND r.request IS ?5)";
            let mut free = tx.prepare_cached(sql).map_err(classify)?;
            let (run, request) = (to_sql(row.run), row.request.map(to_sql));
            free.execute(params![key.tenant, key.class, key.key, run, request]).map_err(classify)?;
        }
        Claim::FreeServed { through } => {
            let sql = "DELETE FROM keys WHERE state = 2 AND seq <= ?1";
            let mut free = tx.prepare_cached(sql).map_err(classify)?;
            free.execute([i64::try_from(*through).unwrap_or(i64::MAX)]).map_err(classify)?;
        }
    }
    Ok(Ok(()))
}

fn take(
    tx: &Transaction<'_>, key: &KeyId, at: Time, seq: u64,
) -> Result<Result<(), ClaimRejection>, StoreError> {
    let sql = "INSERT INTO keys (tenant, class, key, state, since, seq) VALUES (?1, ?2, ?3, ?4, ?5, ?6)
         ON CONFLICT DO NOTHING";
    let mut insert = tx.prepare_cached(sql).map_err(classify)?;
    if insert.execute(key_values(key, KeyState::InFlight, at, seq)).map_err(classify)? == 1 {
        return Ok(Ok(()));
    }
    let sql = "SELECT state FROM keys WHERE tenant = ?1 AND class = ?2 AND key = ?3";
    let mut holder = tx.prepare_cached(sql).map_err(classify)?;
    let state =
        holder.query_row(params![key.tenant, key.class, key.key], |row| row.get(0)).map_err(classify)?;
    Ok(Err(ClaimRejection::Taken(state_from_code(state))))
}

type KeyValues<'a> = (&'a str, &'a str, &'a [u8], i64, i64, i64);

fn key_values(key: &KeyId, state: KeyState, at: Time, seq: u64) -> KeyValues<'_> {
    (&key.tenant, &key.class, &key.key, state_code(state), to_sql(at.0), to_sql(seq))
}

fn insert(tx: &Transaction<'_>, row: &Row) -> Result<(), StoreError> {
    let sql = "INSERT INTO rows (seq, at, run, kind, request, tenant, class, key, backend, body, sum)
         VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8, ?9, ?10, ?11)";
    let key = row.key.as_ref();
    let mut insert = tx.prepare_cached(sql).map_err(classify)?;
    let values = params![
        to_sql(row.seq),
        to_sql(row.at.0),
        to_sql(row.run),
        row.kind,
        row.request.map(to_sql),
        key.map(|key| &key.tenant),
        key.map(|key| &key.class),
        key.map(|key| &key.key),
        row.backend,
        row.body,
        row.sum,
    ];
    insert.execute(values).map_err(classify)?;
    Ok(())
}

pub(super) fn forget_served(db: &Connection, before: Time, limit: usize) -> Result<usize, StoreError> {
    let sql = "DELETE FROM keys WHERE (tenant, class, key) IN
         (SELECT tenant, class, key FROM keys WHERE state = 2 AND since < ?1 LIMIT ?2)";
    let mut forget = db.prepare_cached(sql).map_err(classify)?;
    forget.execute(params![time_to_sql(before), limit_to_sql(limit)]).map_err(classify)
}

pub(super) fn prune(
    db: &mut Connection, before: Time, limit: usize, note: NoteEncoder<'_>, sums: &dyn Sums,
) -> Result<Pruned, StoreError> {
    let tx = db.transaction_with_behavior(TransactionBehavior::Immediate).map_err(classify)?;
    let old = anchor(&tx)?;
    let Some(Prunable { last, rows, more }) = prunable(&tx, before, limit)? else {
        return Ok(Pruned { rows: 0, anchor: old, more: false });
    };
    let anchor = Anchor { through: last, rows: rows + old.map_or(0, |old| old.rows) };
    let sql = "INSERT OR REPLACE INTO anchor (one, seq, sum, run, rows) VALUES (1, ?1, ?2, ?3, ?4)";
    let values = params![to_sql(last.seq), last.sum, to_sql(last.run), to_sql(anchor.rows)];
    tx.execute(sql, values).map_err(classify)?;
    append(&tx, head(&tx)?, &note(&anchor), sums)?;
    tx.execute("DELETE FROM rows WHERE seq <= ?1", [to_sql(last.seq)]).map_err(classify)?;
    tx.commit().map_err(classify)?;
    Ok(Pruned { rows, anchor: Some(anchor), more })
}

/// The rows that one pruning step deletes.
struct Prunable {
    /// The last row to delete.
    last: Head,
    rows: u64,
    /// Whether more rows can be pruned in another step.
    more: bool,
}

/// Returns the rows that this step may prune; `None` if the oldest row has to stay.
fn prunable(tx: &Transaction<'_>, before: Time, limit: usize) -> Result<Option<Prunable>, StoreError> {
    let first_kept = first_unsettled(tx)?;
    let sql = "SELECT seq, sum, run, at FROM rows ORDER BY seq LIMIT ?1";
    let mut oldest = tx.prepare_cached(sql).map_err(classify)?;
    let limit = limit_to_sql(limit);
    let mut found = oldest.query([limit.saturating_add(1)]).map_err(classify)?;
    let mut prunable: Option<Prunable> = None;
    while let Some(row) = found.next().map_err(classify)? {
        let seq: i64 = row.get(0).map_err(classify)?;
        let at: i64 = row.get(3).map_err(classify)?;
        if at >= time_to_sql(before) || first_kept.is_some_and(|kept| seq >= kept) {
            break;
        }
        let rows = prunable.as_ref().map_or(0, |prunable| prunable.rows);
        if rows == limit as u64 {
            return Ok(prunable.map(|prunable| Prunable { more: true, ..prunable }));
        }
        let sum = row.get(1).map_err(classify)?;
        let run = row.get::<_, i64>(2).map_err(classify)? as u64;
        prunable = Some(Prunable { last: Head { seq: seq as u64, sum, run }, rows: rows + 1, more: false });
    }
    Ok(prunable)
}

/// Returns the number of the first row of any key that is in flight or in doubt.
fn first_unsettled(tx: &Transaction<'_>) -> Result<Option<i64>, StoreError> {
    let sql = "SELECT min(min(k.seq), min(ifnull(r.seq, k.seq))) FROM keys AS k LEFT JOIN rows AS r
         ON r.key = k.key AND r.tenant = k.tenant AND r.class = k.class WHERE k.state < 2";
    Ok(tx.query_row(sql, [], |row| row.get(0)).optional().map_err(classify)?.flatten())
}
