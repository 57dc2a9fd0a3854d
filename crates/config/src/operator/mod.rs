//! The operators' file: raw text in; all that is wrong with it, or typed values that cannot be wrong, out.
//! No files and no clock: the caller brings the text and its name.

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
pub use text::{utf8, MAX_FILE};
pub use types::*;
