//! Load clients for a proxy: an open load, whose arrivals do not wait for answers, and sequential requests.

mod http;
mod result;
mod run;
mod sequential;

pub use http::{Connection as KeptConnection, Exchange};
pub use result::{ClassResult, End, LoadResult, Sent};
pub use sequential::{measure_sequential, Latencies};

use crate::{Clock, Distribution};
use shaletide_types::{Idempotency, Micros};
use std::time::Duration;
use tokio::sync::watch;

/// Default for [`Load::crossing_limit`].
const CROSSING_LIMIT: Duration = Duration::from_millis(20);

/// A class of requests.
#[derive(Clone, Debug)]
pub struct LoadClass {
    /// Its name, which is the first segment of the path.
    pub name: String,
    /// Its share of all requests, in any unit.
    pub share: f64,
    /// The method; `None` for `GET` if the class is safe, and `POST` otherwise.
    pub method: Option<String>,
    /// Its idempotency. Each request of a keyed class has its own key.
    pub idempotency: Idempotency,
    /// How long the client waits; it is sent in `X-Time-Left`.
    pub deadline: Duration,
    /// Size of the body in bytes, for methods that have one.
    pub body_bytes: usize,
    /// Additional headers. They replace the generated headers of the same name.
    pub headers: Vec<(String, String)>,
}

impl LoadClass {
    /// Returns a class of share 1 with an empty body.
    pub fn new(name: &str, idempotency: Idempotency, deadline: Duration) -> LoadClass {
        LoadClass {
            name: name.into(),
            share: 1.0,
            method: None,
            idempotency,
            deadline,
            body_bytes: 0,
            headers: Vec::new(),
        }
    }

    fn method(&self) -> &str {
        let default = if self.idempotency == Idempotency::Safe { "GET" } else { "POST" };
        self.method.as_deref().unwrap_or(default)
    }

    /// Returns the request as it is sent.
    fn render(&self, id: &str, subject: u64, left: f64, repeat: bool) -> Vec<u8> {
        let (method, name) = (self.method(), &self.name);
        let mut head = format!("{method} /{name}/{subject:016x} HTTP/1.1\r\nHost: load\r\n");
        let mut line = |name: &str, value: &str| {
            if !self.headers.iter().any(|(other, _)| other.eq_ignore_ascii_case(name)) {
                head += &format!("{name}: {value}\r\n");
            }
        };
        line("X-Correlation-Id", id);
        line("X-Time-Left", &format!("{left:.6}"));
        if matches!(self.idempotency, Idempotency::Keyed(..)) {
            line("Idempotency-Key", &format!("k-{id}"));
        }
        if repeat {
            line("X-Repeat", "1");
        }
        let body = if matches!(method, "GET" | "HEAD") { 0 } else { self.body_bytes };
        if !matches!(method, "GET" | "HEAD") {
            line("Content-Length", &body.to_string());
        }
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + body, b'x');
        bytes
    }
}

/// How clients retry a rejected request: once, after the time in its `Retry-After`.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Upper bound of the delay; a longer `Retry-After` is cut down to it.
    pub max_delay: Duration,
    /// The delay without a valid `Retry-After`.
    pub default_delay: Duration,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry { max_delay: Duration::from_secs(1), default_delay: Duration::from_millis(50) }
    }
}

/// An open load: Poisson arrivals that do not depend on answers.
#[derive(Clone, Debug)]
pub struct Load {
    /// Arrivals per second.
    pub rate_per_s: f64,
    /// The classes of its requests.
    pub classes: Vec<LoadClass>,
    /// Seed of the arrivals, classes and ids.
    pub seed: u64,
    /// Largest number of connections. They are kept open and opened as needed. A request that finds all of them busy waits
    /// for one, and its latency still counts from its arrival.
    pub connections: usize,
    /// Whether a request that finds all connections busy is skipped instead. This bounds the number of waiting requests even
    /// on a slow machine.
    pub skip_when_busy: bool,
    /// Arrivals end after this time; open requests are waited for.
    pub duration: Duration,
    /// How clients retry rejected requests; `None` if they do not.
    pub retry: Option<Retry>,
    /// How long a client waits beyond its deadline before it gives up, so that late answers are recorded.
    pub late_answer_wait: Duration,
    /// Whether a request whose kept connection ends at once, without a byte of an answer, is sent once more with the same id
    /// on a new connection. The proxy closed the old connection while the request was being sent.
    pub resend: bool,
    /// A kept connection that ends earlier than this after a request was written counts as closed before the request was
    /// read.
    pub crossing_limit: Duration,
    /// Once true, no connection is opened any more, as by a load balancer that knows that its proxy is stopping: a request
    /// that finds no idle connection is skipped.
    pub existing_connections_only: Option<watch::Receiver<bool>>,
    /// The clock of the run.
    pub clock: Clock,
    /// Largest number of records that are kept; further requests are only counted. A record takes about 80 bytes.
    pub max_records: usize,
}

impl Load {
    /// Returns a load of `rate_per_s` requests per second of these classes, over at most 256 connections.
    pub fn new(rate_per_s: f64, classes: Vec<LoadClass>, duration: Duration) -> Load {
        Load {
            rate_per_s,
            classes,
            seed: 1,
            connections: 256,
            skip_when_busy: false,
            duration,
            retry: None,
            late_answer_wait: Duration::from_millis(50),
            resend: true,
            crossing_limit: CROSSING_LIMIT,
            existing_connections_only: None,
            clock: Clock::start(),
            max_records: 500_000,
        }
    }

    fn may_connect(&self) -> bool {
        self.existing_connections_only.as_ref().is_none_or(|only| !*only.borrow())
    }

    /// Returns the distribution of the gaps between arrivals, s.
    fn gap(&self) -> Distribution {
        Distribution::Exponential(1.0 / self.rate_per_s.max(1e-3))
    }

    /// Returns the index of the class for a number drawn uniformly from 0 to 1.
    fn class_index(&self, drawn: f64) -> usize {
        let total: f64 = self.classes.iter().map(|c| c.share).sum();
        let mut cumulative = 0.0;
        let found = self.classes.iter().position(|class| {
            cumulative += class.share;
            drawn * total < cumulative
        });
        found.unwrap_or(0)
    }
}

fn micros(span: Duration) -> Micros {
    Micros(span.as_micros() as u64)
}
