//! The interface between the driver and a protocol: how one attempt of a request is carried out on a connection.

use crate::stream::{PeerWatch, Stream};
use crate::trace::RequestTrace;
use shaletide_routing::ResponseClass;
use shaletide_types::{AttemptNumber, LoadReport};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One attempt to be carried out.
pub struct ExchangeSpec {
    /// Its number, under which the protocol keeps the response.
    pub attempt: AttemptNumber,
    /// The connection, established and idle.
    pub stream: Stream,
    /// The backend's address.
    pub to: SocketAddr,
    /// Until when the response is awaited. The protocol tells the backend, in a header of the request, how much time is
    /// left until then as the exchange begins.
    pub deadline: Instant,
    /// A response that is not complete this long after its first byte is invalid.
    pub stall_timeout: Option<Duration>,
    /// The longest valid body, in bytes.
    pub max_body: usize,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExchangeOutcome {
    /// A complete response.
    Response {
        /// What it means by the request's route.
        class: ResponseClass,
        /// The response allows the connection to be reused.
        reusable: bool,
        /// Bytes followed the response.
        has_excess_bytes: bool,
        /// The load that the backend reports.
        report: Option<LoadReport>,
    },
    /// What was received is no valid response, or took too long.
    InvalidResponse,
    /// The connection was closed.
    ConnectionClosed,
}

/// An attempt in progress. Where it is dropped midway, the driver closes the connection.
pub type ExchangeFuture = Pin<Box<dyn Future<Output = ExchangeOutcome>>>;

/// A request that the driver sends to backends.
pub trait UpstreamRequest {
    /// The client's connection, if there is one: no attempt begins once the client has closed it.
    fn client(&self) -> Option<&PeerWatch>;

    /// Its trace, where requests are traced.
    fn trace(&self) -> Option<&Rc<RequestTrace>> {
        None
    }

    /// Writes the request and reads its response. Must call [`Stream::begin_request`] before the first byte, so that
    /// the driver knows when the last one was written.
    fn run(self: Rc<Self>, spec: ExchangeSpec) -> ExchangeFuture;
}
