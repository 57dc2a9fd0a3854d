//! The interface between the driver and a protocol: one attempt of a request, carried out on a connection.

use crate::stream::{PeerWatch, Stream};
use crate::trace::RequestTrace;
use shaletide_routing::ResponseClass;
use shaletide_types::{AttemptNumber, LoadReport};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The input of an attempt.
pub struct ExchangeSpec {
    /// The attempt's number, under which the protocol stores the response.
    pub attempt: AttemptNumber,
    /// An established, idle connection.
    pub stream: Stream,
    /// The backend's address.
    pub to: SocketAddr,
    /// The time until which the response is awaited. The protocol sends the backend, in a header of the request, the time
    /// that is left until then when the exchange begins.
    pub deadline: Instant,
    /// The time after its first byte at which an incomplete response counts as invalid; `None` for no limit.
    pub stall_timeout: Option<Duration>,
    /// The longest valid body, in bytes.
    pub max_body: usize,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExchangeOutcome {
    /// A complete response.
    Response {
        /// The response's class by the rules of the request's route.
        class: ResponseClass,
        /// Whether the response allows the connection to be reused.
        reusable: bool,
        /// Whether excess bytes followed the response.
        has_excess_bytes: bool,
        /// The load that the backend reported, if any.
        report: Option<LoadReport>,
    },
    /// An invalid response, or one that took too long.
    InvalidResponse,
    /// The connection was closed before a complete response.
    ConnectionClosed,
}

/// An attempt in progress. If the driver drops it before its end, it also closes the connection.
pub type ExchangeFuture = Pin<Box<dyn Future<Output = ExchangeOutcome>>>;

/// A request that the driver sends to backends.
pub trait UpstreamRequest {
    /// Returns the client's connection, if there is one. No attempt begins once the client has closed it.
    fn client(&self) -> Option<&PeerWatch>;

    /// Returns the request's trace, if requests are traced.
    fn trace(&self) -> Option<&Rc<RequestTrace>> {
        None
    }

    /// Writes the request and reads its response. Must call [`Stream::begin_request`] before the first byte is written, so
    /// that the driver knows when the last byte was written.
    fn run_attempt(self: Rc<Self>, spec: ExchangeSpec) -> ExchangeFuture;
}
