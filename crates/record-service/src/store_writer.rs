//! Starts the store's writer for the service.

use crate::StoreError;
use shaletide_net::ThreadSender;
use shaletide_record::{chain, Row};
use shaletide_store::{Head, Opening, SqliteOptions, SqliteStore, Store, Writer, WriterConfig, WriterEvent};
use std::path::PathBuf;
use std::sync::Arc;

/// Maximum number of rows that wait for the store's thread, one per ticket. The recorder's own bounds are reached first.
const QUEUE_ROWS: usize = 80_000;
/// Maximum size of the rows that wait for the store's thread, in bytes; more than the recorder's own bounds allow.
const QUEUE_BYTES: usize = 512 << 20;

/// Starts the writer's thread with a store that is open already. After a failure the thread reopens the store itself.
///
/// # Errors
/// Fails if the system provides no thread.
pub(crate) fn start_writer(
    path: PathBuf, store: SqliteStore, head: &Head, events: ThreadSender<WriterEvent>,
) -> std::io::Result<Writer> {
    let mut first = Some(store);
    let opener = Box::new(move |opening: Opening| -> Result<Box<dyn Store>, StoreError> {
        if let (Opening::First, Some(store)) = (opening, first.take()) {
            return Ok(Box::new(store));
        }
        let options = SqliteOptions { create: false, ..SqliteOptions::new(&path) };
        Ok(Box::new(SqliteStore::open(&options)?))
    });
    let sums = Arc::new(|before: &[u8; 32], row: &Row| chain::sum(before, row));
    let notify = Box::new(move |event| events.send(event));
    let config =
        WriterConfig { queue: QUEUE_ROWS, queue_bytes: QUEUE_BYTES, ..WriterConfig::new(head.run + 1) };
    Writer::start(config, opener, sums, notify)
}
