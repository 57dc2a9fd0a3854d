//! SQLite: one file, one owner, readers beside it.

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
