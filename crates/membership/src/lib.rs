//! What the endpoint lists say of backends, and which pool each backend belongs to. No sockets, no clock, no logging:
//! the driver reads the lists and passes the time, hands on what comes out and logs it.
//!
//! [`List`] reads a list in the platform's form. [`Directory`] holds what the list of each pool says, numbers the
//! backends, gives an address that several lists have to one of them, and says what each pool's balancer is notified of.
//! [`StartTimes`] turns listed start times into those of the local clock.
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
