//! The thin shell around the machines: the clock, streams, connections to backends, and the driver that tells the
//! machines what happens and carries out what they ask. It translates and decides nothing.
#![forbid(unsafe_code)]

mod connection_table;
mod drive_connection;
mod driver;
mod exchange;
mod io_error;
mod recording;
pub mod socket_table;
mod stream;
pub mod timeout;
mod trace;

pub use drive_connection::{drive_connection, BoxError};
pub use driver::{Driver, FinalResponse, PoolSetup, SubmitError, UpstreamConfig};
pub use exchange::{ExchangeFuture, ExchangeOutcome, ExchangeSpec, UpstreamRequest};
pub use io_error::{
    accept_failure, is_shortage, listen_failure, retry_shortage, uninterrupted, AcceptFailure, ListenFailure,
    SystemCall, SystemErrors,
};
pub use recording::{RequestIdentity, RequestRecorder};
pub use stream::{PeerWatch, Stream};
pub use trace::{request_trace_enabled, RequestEvent, RequestTrace, REQUEST_TARGET};

use shaletide_balancer::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The module's time: the monotonic clock, set once to the wall clock's time so that it can be read in logs. No other
/// machine's time is set against it, as the wall clock may have been wrong at the start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: u64,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// A clock that shows Unix time from now on, and never goes back.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as u64 }
    }
    /// The time.
    pub fn now(&self) -> Time {
        Time(self.unix + self.start.elapsed().as_micros() as u64)
    }
    /// When the monotonic clock shows that time.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.0.saturating_sub(self.unix))).into()
    }
}

/// The same span for tokio.
pub fn span(of: shaletide_balancer::Micros) -> Duration {
    Duration::from_micros(of.0)
}

/// What `Connection` lines say to concern one connection only.
pub fn connection_names(headers: &hyper::HeaderMap) -> Vec<hyper::header::HeaderName> {
    let lines = headers.get_all(hyper::header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    lines.flat_map(|line| line.split(',')).filter_map(|name| name.trim().parse().ok()).collect()
}

/// Headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut hyper::HeaderMap) {
    use hyper::header::*;
    connection_names(headers).into_iter().for_each(|name| drop(headers.remove(name)));
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
