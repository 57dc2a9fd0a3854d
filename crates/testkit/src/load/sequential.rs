//! Sequential requests on one kept connection, to compare latencies.

use crate::{Client, LoadClass};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Measured latencies, sorted.
#[derive(Clone, Debug, Default)]
pub struct Latencies(Vec<u64>);

impl Latencies {
    /// Returns the latency that this fraction (0 to 1) of the requests did not exceed; zero without requests.
    pub fn quantile(&self, fraction: f64) -> Duration {
        Duration::from_nanos(super::result::quantile(&self.0, fraction).unwrap_or(0))
    }

    /// Returns the median.
    pub fn p50(&self) -> Duration {
        self.quantile(0.5)
    }

    /// Returns the latency that 1 % of the requests exceeded.
    pub fn p99(&self) -> Duration {
        self.quantile(0.99)
    }

    /// Returns the mean; zero without requests.
    pub fn mean(&self) -> Duration {
        Duration::from_nanos(self.0.iter().sum::<u64>() / (self.0.len() as u64).max(1))
    }

    /// Returns the number of latencies.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

/// Sends `count` requests of a class, each after the answer to the one before, and measures their latencies. It uses
/// blocking sockets, so that the latencies include no delays of an async runtime.
///
/// # Panics
/// An answer is missing or its status is not 200, so that there is nothing to compare.
pub fn measure_sequential(to: SocketAddr, class: &LoadClass, count: u32) -> Latencies {
    let mut client = Client::connect(to);
    let _ = client.0.get_ref().set_nodelay(true);
    let measure = |number: u32| {
        let id = format!("5e0{:05x}{number:08x}", std::process::id() & 0xf_ffff);
        let request = class.render(&id, u64::from(number), class.deadline.as_secs_f64(), false);
        let text = String::from_utf8_lossy(&request);
        let start = Instant::now();
        let answer = client.request(&text);
        let latency = start.elapsed();
        assert_eq!(answer.status(), 200, "request {number}");
        latency.as_nanos() as u64
    };
    let mut sorted: Vec<u64> = (0..count).map(measure).collect();
    sorted.sort_unstable();
    Latencies(sorted)
}
