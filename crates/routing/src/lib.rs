//! Which pools a request may go to and in which order, and what a backend's answer means. No sockets, no
//! clock, no configuration text: typed values in, decisions out.
#![forbid(unsafe_code)]

mod answers;
mod form;
mod index;
mod last;
pub mod pools;
mod table;

pub use answers::{Answers, Errors, Proof, StatusSet, Verdict};
pub use form::{Form, Source};
pub use last::{gets, Decision, Gets, LastResponse};
pub use pools::Pools;
pub use table::{Asked, HeaderMatch, Match, Reason, Route, RouteId, Table};
