//! Which pools a request may go to and in which order, and what a backend's answer means. No sockets, no
//! clock, no configuration text: typed values in, decisions out.
#![forbid(unsafe_code)]

mod answers;
mod form;
mod index;
mod last;
pub mod pools;
mod table;

pub use answers::{ErrorResponses, NotExecutedProof, ResponseClass, ResponseRules, StatusSet};
pub use form::{AttributeSource, RequestFormat};
pub use last::{client_response, ClientResponse, Decision, LastResponse};
pub use pools::Pools;
pub use table::{HeaderMatch, Match, Mismatch, RequestAttributes, Route, RouteId, RouteTable};
