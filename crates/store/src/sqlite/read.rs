//! Read operations: the head, the keys, the rows of a query, and the backup.

use std::fs::File;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use rusqlite::types::Value;
use rusqlite::{params_from_iter, Connection, OptionalExtension};
use rustix::fs::{renameat_with, RenameFlags, CWD};
use shaletide_record::{KeyId, KeyState, Row, StoredKey};
use shaletide_types::Time;

use super::convert::{limit_to_sql, number_from_sql, state_code, state_from_code, time_to_sql, to_sql};
use super::errors::{classify, classify_io};
use super::files::sync_parent;
use super::open::{open_read_only, READER_BUSY_TIMEOUT};
use super::paths::with_suffix;
use crate::{Anchor, Head, Query, StoreError};

pub(super) fn head(db: &Connection) -> Result<Head, StoreError> {
    let last = "SELECT seq, sum, run FROM rows ORDER BY seq DESC LIMIT 1";
    let mut last = db.prepare_cached(last).map_err(classify)?;
    let found = last.query_row([], head_of).optional().map_err(classify)?;
    match found {
        Some(head) => Ok(head),
        None => Ok(anchor(db)?.map_or(Head::default(), |anchor| anchor.through)),
    }
}

fn head_of(row: &rusqlite::Row<'_>) -> rusqlite::Result<Head> {
    Ok(Head { seq: number_from_sql(row.get(0)?), sum: row.get(1)?, run: number_from_sql(row.get(2)?) })
}

pub(super) fn anchor(db: &Connection) -> Result<Option<Anchor>, StoreError> {
    let mut found = db.prepare_cached("SELECT seq, sum, run, rows FROM anchor").map_err(classify)?;
    let of =
        |row: &rusqlite::Row<'_>| Ok(Anchor { through: head_of(row)?, rows: number_from_sql(row.get(3)?) });
    found.query_row([], of).optional().map_err(classify)
}

pub(super) fn keys(
    db: &Connection, after: Option<&KeyId>, limit: usize,
) -> Result<Vec<StoredKey>, StoreError> {
    let first = "SELECT tenant, class, key, state, since, seq FROM keys ORDER BY tenant, class, key LIMIT ?1";
    let next = "SELECT tenant, class, key, state, since, seq FROM keys
         WHERE (tenant, class, key) > (?2, ?3, ?4) ORDER BY tenant, class, key LIMIT ?1";
    let mut values = vec![Value::Integer(limit_to_sql(limit))];
    if let Some(after) = after {
        values.extend([after.tenant.clone().into(), after.class.clone().into(), after.key.clone().into()]);
    }
    let mut found = db.prepare_cached(if after.is_some() { next } else { first }).map_err(classify)?;
    let rows = found.query_map(params_from_iter(values), stored_key_of).map_err(classify)?;
    rows.collect::<Result<_, _>>().map_err(classify)
}

pub(super) fn key(db: &Connection, key: &KeyId) -> Result<Option<StoredKey>, StoreError> {
    let sql = "SELECT tenant, class, key, state, since, seq FROM keys
         WHERE tenant = ?1 AND class = ?2 AND key = ?3";
    let mut found = db.prepare_cached(sql).map_err(classify)?;
    found.query_row((&key.tenant, &key.class, &key.key), stored_key_of).optional().map_err(classify)
}

fn stored_key_of(row: &rusqlite::Row<'_>) -> rusqlite::Result<StoredKey> {
    Ok(StoredKey {
        key: KeyId { tenant: row.get(0)?, class: row.get(1)?, key: row.get(2)? },
        state: state_from_code(row.get(3)?),
        since: Time(number_from_sql(row.get(4)?)),
        seq: number_from_sql(row.get(5)?),
    })
}

pub(super) fn rows(db: &Connection, query: &Query) -> Result<Vec<Row>, StoreError> {
    let (sql, values) = select(query);
    let mut found = db.prepare_cached(&sql).map_err(classify)?;
    let rows = found.query_map(params_from_iter(values), row_of).map_err(classify)?;
    rows.collect::<Result<_, _>>().map_err(classify)
}

/// Returns the statement for a query, with its parameters.
fn select(query: &Query) -> (String, Vec<Value>) {
    let time = |time: Time| Value::Integer(time_to_sql(time));
    let after = Value::Integer(i64::try_from(query.after_seq).unwrap_or(i64::MAX));
    let mut sql = "SELECT seq, at, run, kind, request, tenant, class, key, backend, body, sum FROM rows AS r
         WHERE seq > "
        .to_owned();
    // The index on times finds the first row. The plus sign keeps SQLite from searching for it row by row. The index is
    // not used any further: rows read in the order of times would all have to be sorted for each page.
    let first = query.since.filter(|_| query.after_seq == 0);
    let begin = "ifnull((SELECT min(+f.seq) - 1 FROM rows AS f WHERE f.at >= ?), 9223372036854775807)";
    sql.push_str(if first.is_some() { begin } else { "?" });
    let mut values = vec![first.map_or(after, time)];
    let mut add_condition = |condition: &str, value: Option<Value>| {
        if let Some(value) = value {
            sql.push_str(" AND ");
            sql.push_str(condition);
            values.push(value);
        }
    };
    add_condition("key = ?", query.key.clone().map(Value::Blob));
    add_condition("+tenant = ?", query.tenant.clone().map(Value::Text));
    add_condition("+class = ?", query.class.clone().map(Value::Text));
    add_condition("request = ?", query.request.map(|(_, request)| Value::Integer(to_sql(request))));
    add_condition("run = ?", query.request.map(|(run, _)| Value::Integer(to_sql(run))));
    // The clock may have been set back, so the time of each row after the first match is checked too.
    add_condition("+at >= ?", query.since.map(time));
    add_condition("+at < ?", query.until.map(time));
    add_condition("+backend = ?", query.backend.clone().map(Value::Text));
    add_condition("+kind = ?", query.kind.clone().map(Value::Text));
    let doubt = Value::Integer(state_code(KeyState::InDoubt));
    add_condition(
        "seq IN (SELECT d.seq FROM keys AS k CROSS JOIN rows AS d ON d.key = k.key AND d.tenant = k.tenant
             AND d.class = k.class WHERE k.state = ? AND k.state < 2)",
        query.in_doubt.then_some(doubt),
    );
    sql.push_str(" ORDER BY seq LIMIT ?");
    values.push(Value::Integer(limit_to_sql(query.limit)));
    (sql, values)
}

fn row_of(row: &rusqlite::Row<'_>) -> rusqlite::Result<Row> {
    let key: Option<Vec<u8>> = row.get(7)?;
    let key = match key {
        Some(key) => Some(KeyId { tenant: row.get(5)?, class: row.get(6)?, key }),
        None => None,
    };
    Ok(Row {
        seq: number_from_sql(row.get(0)?),
        at: Time(number_from_sql(row.get(1)?)),
        run: number_from_sql(row.get(2)?),
        kind: row.get(3)?,
        request: row.get::<_, Option<i64>>(4)?.map(number_from_sql),
        key,
        backend: row.get(8)?,
        body: row.get(9)?,
        sum: row.get(10)?,
    })
}

/// Runs SQLite's own check of all pages, and of the indexes against the tables.
pub(super) fn check(db: &Connection) -> Result<(), StoreError> {
    let found: String = db.query_row("PRAGMA integrity_check(1)", [], |row| row.get(0)).map_err(classify)?;
    if found == "ok" {
        return Ok(());
    }
    Err(StoreError::Corrupt(found.into()))
}

/// Copies the database through a separate connection, which sees a snapshot of the time when the copy began.
pub(super) fn backup(path: &Path, to: &Path) -> Result<(), StoreError> {
    if to.symlink_metadata().is_ok() {
        return Err(StoreError::Other(format!("{} is there already", to.display()).into()));
    }
    let part = with_suffix(to, ".part");
    // Removes what a killed backup may have left.
    let _ = std::fs::remove_file(&part);
    let copied = copy(path, &part, to);
    let _ = std::fs::remove_file(&part);
    copied
}

fn copy(path: &Path, part: &Path, to: &Path) -> Result<(), StoreError> {
    let file = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(part);
    drop(file.map_err(classify_io)?);
    let db = open_read_only(path, READER_BUSY_TIMEOUT)?;
    let name =
        part.to_str().ok_or_else(|| StoreError::Other("the path of the backup is not valid UTF-8".into()))?;
    db.execute("VACUUM INTO ?1", [name]).map_err(classify)?;
    File::open(part).and_then(|file| file.sync_all()).map_err(classify_io)?;
    // Does not replace a file that was created in the meantime. A hard link would leave two names if the process ended
    // before the old one was removed.
    renameat_with(CWD, part, CWD, to, RenameFlags::NOREPLACE).map_err(|error| classify_io(error.into()))?;
    sync_parent(to)
}
