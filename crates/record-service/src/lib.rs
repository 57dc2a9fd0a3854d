//! The recorder at work: what the driver does of requests on record goes in, writes go to the store's own thread, and their
//! commit outcomes come back. A thin shell; what is decided about keys is decided in `shaletide-record`.
//!
//! [`Record`] is what the daemon holds: it opens the store, again and again if need be, and starts a [`RecordService`]
//! once that is open.
#![forbid(unsafe_code)]

mod opening;
mod record;
mod service;
mod store_error;
mod store_writer;

pub use record::Record;
pub use service::{RecordService, Run};
pub use shaletide_store::StoreError;
