//! The store of record: rows and keys made durable, read, and forgotten when their time is over. [`Store`] is the trait,
//! `conformance` its suite, [`SqliteStore`] its implementation; [`Writer`] is the thread that owns a store, so that
//! nothing else ever waits for a disk.
//!
//! The store decides one thing only: whether a key is free, by a constraint of the database and never by time. What a row
//! means, when a key is in doubt and what follows from it is decided in `shaletide-record`.
#![forbid(unsafe_code)]

mod error;
mod sqlite;
mod store;
mod verify;
mod writer;

#[cfg(any(test, feature = "conformance"))]
pub mod conformance;
#[cfg(any(test, feature = "conformance"))]
pub mod faults;
#[cfg(any(test, feature = "conformance"))]
pub mod memory;

pub use error::{Cause, CommitError, CommitOutcome, StoreError};
pub use sqlite::{SqliteOptions, SqliteReader, SqliteStore};
pub use store::{storable, Anchor, Head, Note, Pruned, Query, Store, StoreReader, Sums, MAX_ROW_BYTES};
pub use verify::{holds, verify, Broken, Verified};
pub use writer::{FactEncoder, Opener, Opening, SendError, StillBusy, Writer, WriterConfig, WriterEvent};
