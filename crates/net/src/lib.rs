//! The I/O shell around the state machines: the clock, streams, connections to backends, and the driver that runs the
//! engine. Translates between sockets and events; all decisions are made by the state machines.
#![forbid(unsafe_code)]

mod clock;
mod connection_table;
mod drive_connection;
mod driver;
mod exchange;
mod hop_by_hop;
mod io_error;
mod processor_time;
mod recording;
pub mod socket_table;
mod stream;
mod thread_channel;
pub mod timeout;
mod trace;

pub use clock::{to_duration, Clock};
pub use drive_connection::{drive_connection, BoxError};
pub use driver::{Driver, FinalResponse, PoolSetup, SubmitError, UpstreamConfig};
pub use exchange::{ExchangeFuture, ExchangeOutcome, ExchangeSpec, UpstreamRequest};
pub use hop_by_hop::{connection_names, strip_hop_by_hop};
pub use io_error::{
    accept_failure, is_shortage, listen_failure, retry_shortage, uninterrupted, AcceptFailure, ListenFailure,
    SystemCall, SystemErrors,
};
pub use recording::{RequestIdentity, RequestRecorder};
pub use stream::{PeerWatch, Stream};
pub use thread_channel::{thread_channel, ThreadReceiver, ThreadSender};
pub use trace::{request_trace_enabled, RequestEvent, RequestTrace, REQUEST_TARGET};
