//! Clients that put a load on a proxy: arrivals that do not wait for answers, or one request after the other.

mod http;
mod result;
mod run;
mod sequential;

pub use http::{Exchange, Link as KeptConnection};
pub use result::{ClassResult, End, LoadResult, Sent};
pub use sequential::{measure_sequential, Latencies};

use crate::{Clock, Distribution};
use shaletide_types::{Idempotency, Micros};
use std::time::Duration;
use tokio::sync::watch;

/// The usual [`Load::crossing_limit`].
const CROSSING_LIMIT: Duration = Duration::from_millis(20);

/// A sort of request.
#[derive(Clone, Debug)]
pub struct LoadClass {
    /// The first part of the path.
    pub name: String,
    /// Its part of all requests, in any unit.
    pub share: f64,
    /// None is as the platform has it: `GET` for what is safe to repeat, `POST` for the rest.
    pub method: Option<String>,
    /// Keyed ones bring a key of their own.
    pub idempotency: Idempotency,
    /// The client waits so long, and says so in `X-Time-Left`.
    pub deadline: Duration,
    /// Bytes of the body, for methods that have one.
    pub body_bytes: usize,
    /// Further headers; one that stands here is not sent with another value.
    pub headers: Vec<(String, String)>,
}

impl LoadClass {
    /// A class of share 1 with an empty body.
    pub fn new(name: &str, effect: Idempotency, deadline: Duration) -> LoadClass {
        LoadClass {
            name: name.into(),
            share: 1.0,
            method: None,
            idempotency: effect,
            deadline,
            body_bytes: 0,
            headers: Vec::new(),
        }
    }

    fn method(&self) -> &str {
        let usual = if self.idempotency == Idempotency::Safe { "GET" } else { "POST" };
        self.method.as_deref().unwrap_or(usual)
    }

    /// The request as it is sent.
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

/// How clients repeat what was refused: once, after the time that the refusal advises.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Advice beyond this is cut down to it.
    pub max_delay: Duration,
    /// The pause where there is no advice.
    pub default_delay: Duration,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry { max_delay: Duration::from_secs(1), default_delay: Duration::from_millis(50) }
    }
}

/// A load with arrivals at random (Poisson) that do not depend on answers.
#[derive(Clone, Debug)]
pub struct Load {
    /// Arrivals a second.
    pub rate_per_s: f64,
    /// What is asked for.
    pub classes: Vec<LoadClass>,
    /// Of arrivals, classes and ids.
    pub seed: u64,
    /// Connections at most. They are kept and opened as needed; a request that finds all busy waits for one, and
    /// its time counts from its arrival all the same.
    pub connections: usize,
    /// A request that finds all connections busy is left out instead: what waits then stays bounded, however slow the
    /// machine is.
    pub skip_when_busy: bool,
    /// Arrivals end after this; what is open then is waited for.
    pub duration: Duration,
    /// Whether clients repeat what was refused.
    pub retry: Option<Retry>,
    /// A client waits so long beyond its deadline before it leaves, so that late answers are seen.
    pub late_answer_wait: Duration,
    /// A request whose kept connection ends at once, with no byte of an answer, is sent once more under the same
    /// id, on a new connection: the proxy closed the old one in the same moment.
    pub resend: bool,
    /// A kept connection that ends sooner than this after a request was written was closed before the request was read.
    pub crossing_limit: Duration,
    /// Once true, no connection is opened any more, as by a front that has been told that its proxy ends: a request that
    /// finds none at rest is left out.
    pub existing_connections_only: Option<watch::Receiver<bool>>,
    /// The run's clock.
    pub clock: Clock,
    /// Records kept; the rest is counted. One takes about 80 bytes.
    pub max_records: usize,
}

impl Load {
    /// So many requests a second of these classes for so long, over 256 connections at most.
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

    /// The gap before the next arrival.
    fn gap(&self) -> Distribution {
        Distribution::Exponential(1.0 / self.rate_per_s.max(1e-3))
    }

    /// Which class a number from 0 to 1 stands for.
    fn class(&self, part: f64) -> usize {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        let mut upto = 0.0;
        let found = self.classes.iter().position(|class| {
            upto += class.share;
            part * all < upto
        });
        found.unwrap_or(0)
    }
}

fn micros(span: Duration) -> Micros {
    Micros(span.as_micros() as u64)
}
