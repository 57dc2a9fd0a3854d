//! Runs the recorder: passes the driver's events to it, sends its writes to the store's own thread, and returns their commit
//! outcomes to it. This is a thin layer; all decisions about keys are made in `shaletide-record`.
//!
//! [`Record`] is held by the daemon. It opens the store, repeatedly if necessary, and starts a [`RecordService`] once the
//! store is open.
#![forbid(unsafe_code)]

mod opening;
mod record;
mod service;
mod store_error;
mod store_writer;

pub use record::Record;
pub use service::{RecordService, Run};
pub use shaletide_store::StoreError;
