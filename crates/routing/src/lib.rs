//! Which pools a request may go to and in which order, and what a backend's answer means. No sockets, no
//! clock, no configuration text: typed values in, decisions out.
#![forbid(unsafe_code)]

mod client_response;
mod index;
pub mod pools;
mod request_format;
mod response_rules;
mod table;

pub use client_response::{client_response, ClientResponse, Decision, LastResponse};
pub use pools::Pools;
pub use request_format::{AttributeSource, RequestFormat};
pub use response_rules::{ErrorResponses, NotExecutedProof, ResponseClass, ResponseRules, StatusSet};
pub use table::{HeaderMatch, Match, Mismatch, RequestAttributes, Route, RouteId, RouteTable};
