//! The HTTP front: clients' connections, their requests read, checked and handed to the driver, and the answers
//! that come back. It holds no pool, no address and no decision.
#![forbid(unsafe_code)]

mod accept;
mod bodies;
mod close_reason;
mod connection;
mod counters;
mod eviction;
mod limits;
mod listener;
mod outgoing;
mod proxy;
mod request;
mod request_error;
mod request_id;
mod response;
mod rules;
mod serve;
mod server;
mod shutdown;
#[cfg(test)]
mod testing;
mod timer;
mod trace;
mod upstream;

pub use limits::CLIENT_OVERFLOW;
pub use listener::{listen, BoundSocket, ListenCall, ListenError};
pub use rules::{ClassRule, Rules, RulesDef};
pub use server::Server;
