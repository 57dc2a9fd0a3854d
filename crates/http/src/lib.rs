//! The HTTP server side of the proxy: accepts client connections, reads and checks requests, submits them to the driver and
//! writes the responses. It also performs the HTTP exchange with a backend on behalf of the driver. It holds no pools and
//! makes no balancing decisions.
#![forbid(unsafe_code)]

mod accept;
mod bodies;
mod close_reason;
mod connection;
mod counters;
mod eviction;
mod executed_ids;
mod limits;
mod listener;
mod outgoing;
mod proxy;
mod readiness;
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

pub use limits::MAX_EXTRA_CLIENT_DESCRIPTORS;
pub use listener::{listen, BoundSocket, ListenCall, ListenError};
pub use rules::{ClassRule, Rules, RulesConfig};
pub use server::Server;
