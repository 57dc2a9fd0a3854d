//! Execution of a load: one task draws the arrivals, and each request has a task of its own.

use super::http::{Connection, Exchange};
use super::{micros, End, Load, LoadResult, Retry, Sent};
use crate::pacer::Pacer;
use crate::{Message, SeededRng};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Shortest time left with which a request is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);
/// Time after which the kernel retransmits a SYN. A connect that takes less was accepted at once.
const SYN_RETRANSMISSION: Duration = Duration::from_secs(1);

/// State shared by the tasks of a load.
struct Run {
    load: Load,
    to: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    connection_permits: Semaphore,
    result: Mutex<LoadResult>,
    next_number: AtomicU32,
}

/// The arrival of a request.
#[derive(Clone, Copy)]
struct Arrival {
    class: usize,
    at: Instant,
    /// The last segment of its path.
    subject: u64,
    retry: bool,
}

/// How a request was sent.
#[derive(Clone, Copy, Default)]
struct SendHistory {
    /// Whether it was sent again because its kept connection was closed meanwhile.
    resent: bool,
    /// Whether the client had no time left when it had a connection, without a delay by the peer.
    unsent: bool,
    /// The client's address on the last connection.
    client: Option<SocketAddr>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Load {
    /// Runs the load on a proxy, in the tokio runtime that awaits this, and waits until all requests have ended. Stops when
    /// it is cancelled.
    pub async fn run(self, to: SocketAddr) -> LoadResult {
        self.run_until(to, std::future::pending()).await
    }

    /// Runs the load as [`Load::run`] does, but ends the arrivals early once `stop` is ready.
    pub async fn run_until(self, to: SocketAddr, stop: impl Future<Output = ()>) -> LoadResult {
        let mut stop = std::pin::pin!(stop);
        let mut rng = SeededRng::new(self.seed);
        let classes = self.classes.iter().map(|c| c.name.clone()).collect();
        let result = LoadResult { classes, run: rng.next_u64() as u32, ..LoadResult::default() };
        let (gap, duration, start) = (self.gap(), self.duration, Instant::now());
        let due_now = Arc::new(Notify::new());
        let pacer = Pacer::start(vec![due_now.clone()]).ok();
        let run = Arc::new(Run {
            to,
            idle: Mutex::new(Vec::new()),
            connection_permits: Semaphore::new(self.connections.clamp(1, 60_000)),
            result: Mutex::new(result),
            next_number: AtomicU32::new(0),
            load: self,
        });
        let (mut tasks, mut elapsed_s, mut max_arrival_delay) = (JoinSet::new(), 0.0, Duration::ZERO);
        while !run.load.classes.is_empty() {
            elapsed_s += gap.sample(&mut rng);
            if elapsed_s >= duration.as_secs_f64() {
                break;
            }
            let (class, subject) = (run.load.class_index(rng.uniform()), rng.next_u64());
            let due = start + Duration::from_secs_f64(elapsed_s);
            tokio::select! {
                () = &mut stop => break,
                () = wait_until(&pacer, &due_now, due.into_std()) => {}
            }
            let at = Instant::now();
            max_arrival_delay = max_arrival_delay.max(at.saturating_duration_since(due));
            while tasks.try_join_next().is_some() {}
            if run.load.skip_when_busy && tasks.len() >= run.load.connections {
                locked(&run.result).skipped += 1;
                continue;
            }
            tasks.spawn(run.clone().run_client(Arrival { class, at, subject, retry: false }));
        }
        while tasks.join_next().await.is_some() {}
        let mut result = std::mem::take(&mut *locked(&run.result));
        result.max_arrival_delay = micros(max_arrival_delay);
        result
    }

    /// Runs the load on a runtime of its own, for callers without one, and blocks until all requests have ended.
    ///
    /// # Errors
    /// The runtime could not be built, as no file descriptor was available.
    pub fn run_blocking(self, to: SocketAddr) -> std::io::Result<LoadResult> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(runtime.block_on(self.run(to)))
    }
}

/// Waits with the pacer or, if its thread could not be started, with the less accurate timer of the runtime.
async fn wait_until(pacer: &Option<Pacer>, due_now: &Notify, due: std::time::Instant) {
    match pacer {
        Some(pacer) if due > std::time::Instant::now() => {
            pacer.set(0, Some(due));
            due_now.notified().await;
        }
        Some(_) => {}
        None => tokio::time::sleep_until(due.into()).await,
    }
}

impl Run {
    /// Runs a client with one request, and with a retry if that is rejected.
    async fn run_client(self: Arc<Self>, first: Arrival) {
        let answer = self.request(first).await;
        let rejected = answer.filter(|a| matches!(a.status(), 429 | 503));
        if let (Some(rejection), Some(retry)) = (rejected, self.load.retry) {
            tokio::time::sleep(retry_delay(&rejection, retry)).await;
            self.request(Arrival { at: Instant::now(), retry: true, ..first }).await;
        }
    }

    /// Runs a request to its end and returns its answer, if there is one.
    async fn request(&self, arrival: Arrival) -> Option<Message> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = locked(&self.result).id(number);
        let deadline = arrival.at + self.load.classes[arrival.class].deadline;
        let mut history = SendHistory::default();
        let exchange = self.exchange(arrival, &id, deadline + self.load.late_answer_wait, &mut history).await;
        let (end, answer) = match exchange {
            Ok(Exchange::Answer(message)) => (End::Status(message.status()), Some(message)),
            Ok(Exchange::Broken { .. }) => (End::Broken, None),
            Ok(Exchange::GaveUp) if history.unsent => (End::Unsent, None),
            Ok(Exchange::GaveUp) => (End::GaveUp, None),
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => (End::GaveUp, None),
            Err(e) if e.kind() == std::io::ErrorKind::NotConnected => {
                locked(&self.result).skipped += 1;
                return None;
            }
            Err(_) => (End::NoConnection, None),
        };
        let now = Instant::now();
        let sent = Sent {
            class: arrival.class,
            number,
            arrived: self.load.clock.at(arrival.at.into_std()),
            latency: micros(now.saturating_duration_since(arrival.at)),
            end,
            in_time: answer.is_some() && now <= deadline,
            retry: arrival.retry,
            resent: history.resent,
            client: history.client,
        };
        let mut result = locked(&self.result);
        result.mismatched_answers += u64::from(answer.as_ref().is_some_and(|a| names_other_request(a, &id)));
        if result.sent.len() < self.load.max_records {
            result.sent.push(sent);
        } else {
            result.unrecorded += 1;
        }
        answer
    }

    /// Sends a request, and once more if its kept connection was closed meanwhile.
    async fn exchange(
        &self, arrival: Arrival, id: &str, until: Instant, history: &mut SendHistory,
    ) -> std::io::Result<Exchange> {
        let class = &self.load.classes[arrival.class];
        let deadline = arrival.at + class.deadline;
        let immediate = self.connection_permits.try_acquire();
        let found_all_busy = immediate.is_err();
        let _permit = match immediate {
            Ok(permit) => permit,
            Err(_) => {
                locked(&self.result).waited_for_connection += 1;
                match tokio::time::timeout_at(deadline, self.connection_permits.acquire()).await {
                    Ok(Ok(permit)) => permit,
                    _ => return Ok(Exchange::GaveUp),
                }
            }
        };
        loop {
            let connection_wanted_at = Instant::now();
            let mut connection = if history.resent {
                self.new_connection(until).await?
            } else {
                self.connection(until).await?
            };
            history.client = connection.local_address();
            let (used, written) = (connection.used, Instant::now());
            let left = deadline.saturating_duration_since(written);
            if left < MIN_TIME_LEFT {
                let accepted_at_once = written - connection_wanted_at < SYN_RETRANSMISSION;
                history.unsent = accepted_at_once && !found_all_busy && !history.resent;
                return Ok(Exchange::GaveUp);
            }
            let request = class.render(id, arrival.subject, left.as_secs_f64(), arrival.retry);
            let exchange = connection.send_request(&request, class.method(), until).await;
            if matches!(exchange, Exchange::Broken { began: false })
                && used
                && self.load.resend
                && !history.resent
                && written.elapsed() < self.load.crossing_limit
            {
                history.resent = true;
                locked(&self.result).resent += 1;
                continue;
            }
            if let Exchange::Answer(answer) = &exchange {
                self.keep(connection, answer);
            }
            return Ok(exchange);
        }
    }

    /// Returns an idle connection or a new one, or the error `NotConnected` if none may be opened.
    async fn connection(&self, until: Instant) -> std::io::Result<Connection> {
        loop {
            let kept = locked(&self.idle).pop();
            match kept {
                Some(connection) if connection.is_idle() => return Ok(connection),
                Some(_) => {}
                None => break,
            }
        }
        self.new_connection(until).await
    }

    /// Opens a connection. Returns the error `NotConnected` if none may be opened.
    async fn new_connection(&self, until: Instant) -> std::io::Result<Connection> {
        if !self.load.may_connect() {
            return Err(std::io::ErrorKind::NotConnected.into());
        }
        let connection = Connection::open(self.to, until).await?;
        locked(&self.result).connections += 1;
        Ok(connection)
    }

    fn keep(&self, connection: Connection, answer: &Message) {
        if connection.has_excess_bytes() {
            locked(&self.result).excess_bytes += 1;
            return;
        }
        let closing = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if !closing {
            locked(&self.idle).push(connection);
        }
    }
}

/// Returns how long a client waits before it retries a rejected request.
fn retry_delay(rejection: &Message, retry: Retry) -> Duration {
    let retry_after_s = rejection.header("retry-after").and_then(|s| s.parse::<f64>().ok());
    let retry_after_s = retry_after_s.filter(|s| s.is_finite() && *s >= 0.0);
    retry_after_s
        .map_or(retry.default_delay, |s| Duration::from_secs_f64(s.min(retry.max_delay.as_secs_f64())))
}

/// Returns whether a backend's own body names another request.
fn names_other_request(answer: &Message, id: &str) -> bool {
    let text = String::from_utf8_lossy(&answer.body);
    let named = text.lines().next().and_then(|line| line.split_once(' ')).map(|(_, named)| named.trim());
    answer.status() == 200 && named.is_some_and(|named| named != id)
}

#[cfg(test)]
mod tests;
