//! Selects the route and the pools of a request, classifies backend responses and decides what the client receives.
//! There are no sockets, no clock and no configuration text: typed values in, decisions out.
#![forbid(unsafe_code)]

mod client_response;
mod index;
pub mod pools;
mod request_format;
mod response_rules;
mod route_bits;
mod route_match;
mod shadowed;
mod status_set;
mod table;

pub use client_response::{client_response, ClientResponse, FinalDecision, LastResponse};
pub use pools::Pools;
pub use request_format::{AttributeSource, RequestFormat};
pub use response_rules::{ErrorResponses, NotExecutedProof, ResponseClass, ResponseRules};
pub use route_match::{HeaderMatch, Mismatch, RequestAttributes, RouteMatch};
pub use status_set::StatusSet;
pub use table::{Route, RouteId, RouteTable};
