//! The results of a load.

use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A complete answer with that status.
    Status(u16),
    /// The client gave up after its deadline.
    GaveUp,
    /// The connection ended without a complete answer.
    Broken,
    /// No connection could be opened.
    NoConnection,
    /// Nothing was sent: no time was left when the client had a connection, because the client itself had been delayed.
    Unsent,
}

/// A request as seen by its client. A retry is a separate request.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Index of its class in the classes of the load.
    pub class: usize,
    /// Its number: the id is `{run:08x}{number:08x}`, see [`LoadResult::id`].
    pub number: u32,
    /// When it arrived, that is when it was ready to be sent, whether or not a connection was free.
    pub arrived: Time,
    /// Time from its arrival to its end.
    pub latency: Micros,
    /// How it ended.
    pub end: End,
    /// Whether it ended with an answer before its deadline.
    pub in_time: bool,
    /// Whether it is the retry of a rejected request.
    pub retry: bool,
    /// Whether it was sent again on a new connection because its kept connection was closed meanwhile.
    pub resent: bool,
    /// The client's address on the connection on which it was sent last.
    pub client: Option<SocketAddr>,
}

/// The results of one class, retries included.
#[derive(Clone, Debug, Default)]
pub struct ClassResult {
    /// The name of the class.
    pub name: String,
    /// Number of requests.
    pub count: usize,
    /// Number of requests that are retries.
    pub retries: usize,
    /// Number of requests by their end.
    pub ends: BTreeMap<End, usize>,
    /// Number of answers with status 200 that came before the deadline.
    pub served_in_time: usize,
    /// Latencies of the answers with status 200, in ascending order, µs.
    latencies: Vec<u64>,
}

impl ClassResult {
    /// Returns the number of requests that ended with that status.
    pub fn status(&self, status: u16) -> usize {
        self.ends.get(&End::Status(status)).copied().unwrap_or(0)
    }

    /// Returns the latency that this fraction (0 to 1) of the answers with status 200 did not exceed.
    pub fn latency(&self, fraction: f64) -> Option<Micros> {
        quantile(&self.latencies, fraction).map(Micros)
    }
}

/// Returns the value that this fraction of the sorted values does not exceed.
pub(super) fn quantile(sorted: &[u64], fraction: f64) -> Option<u64> {
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied()
}

/// The results of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// First half of the request ids, drawn from the seed.
    pub run: u32,
    /// The recorded requests, in the order of their ends.
    pub sent: Vec<Sent>,
    /// Number of requests that are not in `sent` because it was full.
    pub unrecorded: u64,
    /// Number of requests that waited for a connection.
    pub waited_for_connection: u64,
    /// Number of arrivals that were skipped because no connection was available.
    pub skipped: u64,
    /// Number of requests that were sent once more because their kept connection was closed meanwhile.
    pub resent: u64,
    /// Largest delay of an arrival by the load clients themselves: about 0.1 ms if enough cores are free.
    pub max_arrival_delay: Micros,
    /// Number of opened connections.
    pub connections: u64,
    /// Number of answers with status 200 whose body names another request. Only the backends' own bodies are checked, that
    /// is bodies with a space in their first line.
    pub mismatched_answers: u64,
    /// Number of connections on which bytes beyond the answer were received.
    pub excess_bytes: u64,
}

impl LoadResult {
    /// Returns the id of the request with that number.
    pub fn id(&self, number: u32) -> String {
        format!("{:08x}{number:08x}", self.run)
    }

    /// Returns the results by class, in the order of the load's classes.
    pub fn by_class(&self) -> Vec<ClassResult> {
        let mut results: Vec<ClassResult> = self
            .classes
            .iter()
            .map(|name| ClassResult { name: name.clone(), ..Default::default() })
            .collect();
        for sent in &self.sent {
            results[sent.class].add(sent);
        }
        results.iter_mut().for_each(|class| class.latencies.sort_unstable());
        results
    }

    /// Returns the results over all classes.
    pub fn total(&self) -> ClassResult {
        let mut total = ClassResult { name: "all".into(), ..ClassResult::default() };
        self.sent.iter().for_each(|sent| total.add(sent));
        total.latencies.sort_unstable();
        total
    }

    /// Returns the number of requests without a complete answer.
    pub fn unanswered(&self) -> usize {
        self.sent.iter().filter(|sent| !matches!(sent.end, End::Status(_))).count()
    }
}

impl ClassResult {
    fn add(&mut self, sent: &Sent) {
        self.count += 1;
        self.retries += usize::from(sent.retry);
        *self.ends.entry(sent.end).or_default() += 1;
        if sent.end == End::Status(200) {
            self.served_in_time += usize::from(sent.in_time);
            self.latencies.push(sent.latency.0);
        }
    }
}

impl std::fmt::Display for ClassResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = |fraction| self.latency(fraction).map_or(0.0, |l| l.secs() * 1e3);
        write!(f, "{}: {} requests, {} served in time, ", self.name, self.count, self.served_in_time)?;
        write!(f, "p50 {:.1} ms, p99 {:.1} ms, {:?}", ms(0.5), ms(0.99), self.ends)
    }
}

#[cfg(test)]
mod tests;
