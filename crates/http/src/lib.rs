//! The HTTP front: clients' connections, their requests read, checked and handed to the host, and the answers
//! that come back. It holds no pool, no address and no decision.
#![forbid(unsafe_code)]

mod bodies;
mod errand;
mod request;
mod rules;
mod server;

pub use request::Fault;
pub use rules::{ClassRule, Rules, RulesDef};
pub use server::{listen, Server};
