//! What came of a load.

use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A whole answer of that status.
    Status(u16),
    /// The client left at its deadline.
    GaveUp,
    /// The connection ended without a whole answer.
    Broken,
    /// No connection came up.
    NoConnection,
    /// Nothing was written: the client's time was up when its connection was, because the client itself had been held up.
    Unsent,
}

/// A request as its client saw it. A retry is a request of its own.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Its place among the load's classes.
    pub class: usize,
    /// Its number: the id is `{run:08x}{number:08x}`, see [`LoadResult::id`].
    pub number: u32,
    /// When it arrived, and was ready to be sent, whether or not a connection was free.
    pub arrived: Time,
    /// From its arrival to its end.
    pub latency: Micros,
    /// How it ended.
    pub end: End,
    /// Its end is an answer, and came before the client's time was up.
    pub in_time: bool,
    /// It repeats one that was refused.
    pub retry: bool,
    /// It crossed the close of a kept connection, and was sent again on a new one.
    pub resent: bool,
    /// The client's own address on the connection that it was sent on last.
    pub client: Option<SocketAddr>,
}

/// The results of one class, retries included.
#[derive(Clone, Debug, Default)]
pub struct ClassResult {
    /// Its name.
    pub name: String,
    /// Requests.
    pub count: usize,
    /// Requests that are retries.
    pub retries: usize,
    /// Requests by how they ended.
    pub ends: BTreeMap<End, usize>,
    /// Answers of status 200 that came in time.
    pub served_in_time: usize,
    /// Of answers with status 200, in ascending order, µs.
    latencies: Vec<u64>,
}

impl ClassResult {
    /// Requests that ended with that status.
    pub fn status(&self, status: u16) -> usize {
        self.ends.get(&End::Status(status)).copied().unwrap_or(0)
    }

    /// The latency that this part (0 to 1) of the answers with status 200 did not exceed.
    pub fn latency(&self, part: f64) -> Option<Micros> {
        quantile(&self.latencies, part).map(Micros)
    }
}

/// The value that this part of the sorted ones does not exceed.
pub(super) fn quantile(sorted: &[u64], part: f64) -> Option<u64> {
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied()
}

/// What came of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// The names of its classes.
    pub classes: Vec<String>,
    /// Drawn from its seed: the first half of its ids.
    pub run: u32,
    /// Every request, in the order in which they ended.
    pub sent: Vec<Sent>,
    /// Requests that found no room in `sent`.
    pub unrecorded: u64,
    /// Requests that waited for a connection.
    pub waited_for_connection: u64,
    /// Arrivals that were left out, as all connections were busy.
    pub skipped: u64,
    /// Requests sent once more as their kept connection ended in the same moment.
    pub resent: u64,
    /// The most that an arrival came late by the clients' own fault: some 0.1 ms where there are cores enough.
    pub max_arrival_delay: Micros,
    /// Connections opened.
    pub connections: u64,
    /// Answers of status 200 whose body does not name their request: they are another's. Counted where bodies
    /// are the backends' own, that is where they hold a space.
    pub mismatched_answers: u64,
    /// Connections on which more came than the answer.
    pub excess_bytes: u64,
}

impl LoadResult {
    /// The id of a request of that number.
    pub fn id(&self, number: u32) -> String {
        format!("{:08x}{number:08x}", self.run)
    }

    /// Results by class, in the order of the load's classes.
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

    /// Results over all classes.
    pub fn total(&self) -> ClassResult {
        let mut total = ClassResult { name: "all".into(), ..ClassResult::default() };
        self.sent.iter().for_each(|sent| total.add(sent));
        total.latencies.sort_unstable();
        total
    }

    /// Requests to which no whole answer came.
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
        let ms = |part| self.latency(part).map_or(0.0, |l| l.secs() * 1e3);
        write!(f, "{}: {} requests, {} served in time, ", self.name, self.count, self.served_in_time)?;
        write!(f, "p50 {:.1} ms, p99 {:.1} ms, {:?}", ms(0.5), ms(0.99), self.ends)
    }
}

#[cfg(test)]
mod tests;
