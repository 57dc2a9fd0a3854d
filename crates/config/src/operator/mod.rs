//! Reads the operators' file: turns its text into checked, typed values or into a report of all its problems.
//! Accesses no files and no clock: the caller passes the text and the file's name.

mod basics;
mod classes;
mod extension;
mod file;
mod names;
mod pools;
mod record;
mod reload;
mod request;
mod routes;
mod text;
mod types;

pub use extension::{read_extension, NodeConfigExtension, PlatformNames, PLATFORM_POOL};
pub use file::{read, read_bytes};
pub use text::{decode_utf8, MAX_FILE_BYTES};
pub use types::*;
