//! The life of every request, attempt and connection as one machine without I/O.
//!
//! A shell tells [`Engine::handle`] what happened ([`Event`]) with the time at which it did, and carries out what
//! comes back ([`Action`]), in order and after the call has returned. Which backend, whether to retry and what is
//! refused is the [`Policy`]'s to say, in a program [`shaletide_routing::Pools`]; the engine holds every request
//! to the rules whatever the policy asks, by declining.
//!
//! # What a shell owes
//! - Every [`Action::Open`] ends in one [`Event::Up`] or [`Event::ConnectFailed`], unless it is closed before.
//! - Every [`Action::Send`] ends in one of [`Event::Answered`], [`Event::InvalidResponse`], [`Event::Ended`],
//!   [`Event::Unfit`] or, where [`Action::Close`] came first, [`Event::Closed`].
//! - [`Event::Written`] is told when the last byte of the request has gone to the kernel, before anything else
//!   of that connection.
//! - [`Engine::wake_at`] is asked after each call, and [`Event::Wake`] told then.
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
