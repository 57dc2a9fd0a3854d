//! The lifecycle of requests, attempts and connections as one state machine without I/O.
//!
//! A driver passes each [`Event`] to [`Engine::handle`] with the time at which it happened. It carries out the resulting
//! [`Action`]s in order, after the call has returned. The [`Policy`] selects backends and decides on retries and
//! rejection; in a program it is [`shaletide_routing::Pools`]. The engine enforces the invariants whatever the policy
//! asks for: it declines an action that would break one.
//!
//! # What a driver guarantees
//! - Every [`Action::Connect`] ends in one [`Event::Connected`] or [`Event::ConnectFailed`], unless the connection is
//!   closed before.
//! - Every [`Action::Send`] ends in one of [`Event::ResponseReceived`], [`Event::InvalidResponse`],
//!   [`Event::ConnectionClosed`], [`Event::ConnectionUnusable`] or, if [`Action::Close`] came first,
//!   [`Event::CloseCompleted`].
//! - [`Event::RequestWritten`] is passed when the last byte of the request has been handed to the kernel, before any
//!   further event of that connection.
//! - The driver reads [`Engine::wake_at`] after each call and passes [`Event::Wake`] at that time.
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
