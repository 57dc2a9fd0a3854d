//! The life of every request, attempt and connection as one state machine without I/O.
//!
//! A driver tells [`Engine::handle`] what happened ([`Event`]) with the time at which it did, and carries out the
//! actions that come back ([`Action`]), in order and after the call has returned. The [`Policy`] selects backends and
//! decides on retries and rejection, in a program [`shaletide_routing::Pools`]; the engine holds every request to the
//! invariants whatever the policy asks for, by declining.
//!
//! # What a driver guarantees
//! - Every [`Action::Connect`] ends in one [`Event::Connected`] or [`Event::ConnectFailed`], unless the connection is
//!   closed before.
//! - Every [`Action::Send`] ends in one of [`Event::ResponseReceived`], [`Event::InvalidResponse`],
//!   [`Event::ConnectionClosed`], [`Event::ConnectionUnusable`] or, where [`Action::Close`] came first,
//!   [`Event::CloseCompleted`].
//! - [`Event::RequestWritten`] is told when the last byte of the request has been handed to the kernel, before anything
//!   else of that connection.
//! - [`Engine::wake_at`] is read after each call, and [`Event::Wake`] told then.
#![forbid(unsafe_code)]

mod attempt_rules;
mod connection_pool;
mod engine;
mod event;
mod known_backends;
pub mod monitor;
mod mutant;
mod policy;
mod request;
mod request_table;

pub use connection_pool::{ConnectionLimits, ConnectionState};
pub use engine::Engine;
pub use event::{Action, Event, FinalOutcome, RequestSpec};
pub use mutant::Mutant;
pub use policy::Policy;
pub use request::{Attempt, AttemptState, Request, RequestState};
