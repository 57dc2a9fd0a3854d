//! Operators' commands to a running proxy.

use crate::record::text;
use shaletide_control::{Command, Reply};
use shaletide_net::thread_channel;
use shaletide_record::{Fact, KeyId};
use shaletide_record_service::{Record, RecordService};
use shaletide_store::{Query, SqliteReader, StoreReader};
use shaletide_types::Time;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The reply while the store of record is down or not open yet.
const STORE_DOWN: &str = "the store of record accepts no writes now";

/// Executes one command.
pub async fn handle(record: Option<Rc<Record>>, command: Command) -> Reply {
    let Some(record) = record else {
        return match command {
            Command::Ping {} => Reply::Done("running, without a store of record".into()),
            _ => Reply::Refused("this proxy has no store of record".into()),
        };
    };
    let Some(service) = record.service() else {
        return match command {
            Command::Ping {} => Reply::Done(format!("running; {STORE_DOWN}")),
            _ => Reply::Refused(STORE_DOWN.into()),
        };
    };
    match command {
        Command::Ping {} => Reply::Done(match service.is_store_down() {
            true => format!("running; {STORE_DOWN}"),
            false => "running".into(),
        }),
        Command::Resolve { tenant, class, key, ran, by, note } => {
            let key = KeyId { tenant, class, key: key.0 };
            text::resolved(service.resolve(key, ran, by, note).await, ran)
        }
        Command::Prune { before, by } => match service.prune(Time(before), by).await {
            Ok(0) => Reply::Done("no row is older, or the oldest is of a key that is not settled".into()),
            Ok(rows) => Reply::Done(format!("rows pruned: {rows}")),
            Err(why) => Reply::Refused(why),
        },
        Command::Correct { of, by, text } => {
            let correction = Fact::Correction { of, by, text };
            correct(&service, record.path().to_path_buf(), of, correction).await
        }
        other => Reply::Senseless(format!("unknown command in this version: {other:?}")),
    }
}

/// Records a correction of the row `of`, if there is such a row.
async fn correct(service: &RecordService, store: PathBuf, of: u64, correction: Fact) -> Reply {
    match find_row(store, of).await {
        Ok(true) if service.is_store_down() => Reply::Refused(STORE_DOWN.into()),
        Ok(true) => {
            service.record_fact(correction);
            match service.flush().await {
                true => Reply::Done(format!("on record; row {of} stays as it is")),
                false => Reply::Refused("not on record yet: the outcome of the write is unknown".into()),
            }
        }
        Ok(false) => Reply::Refused(format!("there is no row {of}")),
        Err(why) => Reply::Refused(why),
    }
}

/// Calls [`has_row`] on a separate thread, as a hanging disk must not block the event loop.
async fn find_row(store: PathBuf, of: u64) -> Result<bool, String> {
    let (found_tx, mut found_rx) = thread_channel().map_err(|error| error.to_string())?;
    let search = move || found_tx.send(has_row(&store, of));
    std::thread::Builder::new().name("row".into()).spawn(search).map_err(|error| error.to_string())?;
    found_rx.recv().await.unwrap_or_else(|| Err("the thread that reads the store failed".into()))
}

/// Returns whether the store has a row of this number.
fn has_row(store: &Path, of: u64) -> Result<bool, String> {
    let query = Query { after_seq: of.saturating_sub(1), limit: 1, ..Query::default() };
    let rows = SqliteReader::open(store).and_then(|reader| reader.rows(&query)).map_err(|e| e.to_string())?;
    Ok(of > 0 && rows.first().is_some_and(|row| row.seq == of))
}
