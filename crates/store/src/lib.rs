//! The store of record: makes rows and keys durable, reads them, and deletes them when their retention is over. [`Store`]
//! is the trait, `conformance` its test suite, and [`SqliteStore`] its implementation. [`Writer`] is the thread that owns a
//! store, so that no other thread waits for a disk.
//!
//! The store makes one decision: whether a key is free. A constraint of the database makes it, never a time. The crate
//! `shaletide-record` decides what a row means, when a key is in doubt and what follows from it.
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
pub use store::{
    storable, Anchor, Head, NoteEncoder, Pruned, Query, Store, StoreReader, Sums, MAX_ROW_BYTES,
};
pub use verify::{contains_head, verify, Broken, Verified};
pub use writer::{FactEncoder, Opener, Opening, SendError, StillBusy, Writer, WriterConfig, WriterEvent};
