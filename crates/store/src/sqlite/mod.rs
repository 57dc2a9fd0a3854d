//! The store in an SQLite database: one file, one owner, and any number of concurrent readers.

mod convert;
mod errors;
mod files;
mod open;
mod options;
mod paths;
mod read;
mod schema;
mod store;
mod write;

pub use options::SqliteOptions;
pub use store::{SqliteReader, SqliteStore};
