//! One request after the other on one kept connection, to compare latencies.

use crate::{Client, LoadClass};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Latencies, sorted.
#[derive(Clone, Debug, Default)]
pub struct Latencies(Vec<u64>);

impl Latencies {
    /// The latency that this part (0 to 1) did not exceed; zero where there is none.
    pub fn quantile(&self, part: f64) -> Duration {
        Duration::from_nanos(super::result::quantile(&self.0, part).unwrap_or(0))
    }

    /// The median.
    pub fn p50(&self) -> Duration {
        self.quantile(0.5)
    }

    /// What one in a hundred exceeded.
    pub fn p99(&self) -> Duration {
        self.quantile(0.99)
    }

    /// The mean; zero where there is none.
    pub fn mean(&self) -> Duration {
        Duration::from_nanos(self.0.iter().sum::<u64>() / (self.0.len() as u64).max(1))
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

/// Sends `count` requests of a class, each when the answer to the last has come, and takes the time of each.
/// Blocking sockets: nothing of a runtime is in the figures.
///
/// # Panics
/// Where an answer does not come or is not 200: then there is nothing to compare.
pub fn measure_sequential(to: SocketAddr, class: &LoadClass, count: u32) -> Latencies {
    let mut client = Client::connect(to);
    let _ = client.0.get_ref().set_nodelay(true);
    let took = |number: u32| {
        let id = format!("5e0{:05x}{number:08x}", std::process::id() & 0xf_ffff);
        let request = class.render(&id, u64::from(number), class.deadline.as_secs_f64(), false);
        let text = String::from_utf8_lossy(&request);
        let begun = Instant::now();
        let answer = client.request(&text);
        let took = begun.elapsed();
        assert_eq!(answer.status(), 200, "request {number}");
        took.as_nanos() as u64
    };
    let mut sorted: Vec<u64> = (0..count).map(took).collect();
    sorted.sort_unstable();
    Latencies(sorted)
}
