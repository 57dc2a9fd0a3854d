//! What a front brings: how its request is sent to a backend in its protocol, and what comes back.

use crate::stream::{PeerWatch, Stream};
use shaletide_base::{AttemptNo, LoadReport};
use shaletide_routing::Verdict;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// One attempt as a front is asked to carry it out.
pub struct Leg {
    /// Its number, under which the front keeps what comes.
    pub attempt: AttemptNo,
    /// The connection, up and with nothing on it.
    pub stream: Stream,
    /// Where that leads.
    pub to: SocketAddr,
    /// How long the answer is waited for.
    pub left: Duration,
    /// An answer that is not whole so long after its first byte is spoilt.
    pub stall: Option<Duration>,
    /// So is one whose body is longer than this, in bytes.
    pub max_body: usize,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Heard {
    /// A whole answer.
    Answered {
        /// What it means.
        verdict: Verdict,
        /// The connection may be used again for all that the answer says.
        keep: bool,
        /// More came than the answer.
        behind: bool,
        /// What the backend says of its own load.
        report: Option<LoadReport>,
    },
    /// What came can never become an answer, or takes longer than it may.
    Spoilt,
    /// The connection ended.
    Ended,
}

/// An attempt under way. Dropped midway it leaves the connection in no defined state: the host closes it.
pub type Run = Pin<Box<dyn Future<Output = Heard>>>;

/// A request that a front keeps while the host sends it.
pub trait Errand {
    /// The client's connection, where the request has one to itself: no attempt begins once the client has closed it.
    fn client(&self) -> Option<&PeerWatch>;

    /// Writes the request once and reads its answer. [`Stream::begin_request`] has to be told before the first byte,
    /// so that the host knows when the last one is out.
    fn run(self: Rc<Self>, leg: Leg) -> Run;
}
