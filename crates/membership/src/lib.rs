//! Endpoint lists, and the assignment of backends to pools. This crate has no sockets, reads no clock and logs nothing: the
//! driver reads the lists, passes the time, and forwards and logs the results.
//!
//! [`List`] parses a list in the platform's format. [`Directory`] holds the list of each pool, numbers the backends, assigns
//! an address in several lists to one pool, and produces the updates for each pool's balancer. [`StartTimes`] converts listed
//! start times to the local clock.
#![forbid(unsafe_code)]

mod address_owners;
mod directory;
mod hash;
mod interner;
mod list;
mod pool;
mod reload;
mod start_times;

pub use address_owners::Conflict;
pub use directory::{BackendMove, Directory, DirectoryUpdate};
pub use hash::{deduplication_group_hash, stable_hash};
pub use interner::MAX_NUMBERED;
pub use list::{Endpoint, List, Skipped, MAX_ENTRIES, MAX_NAME};
pub use pool::{PoolSpec, Source};
pub use start_times::StartTimes;
