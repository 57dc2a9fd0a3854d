//! Carrying out a load: one task draws arrivals, one task a request.

use super::http::{Exchange, Link};
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

/// With less time left nothing is sent.
const LEAST: Duration = Duration::from_millis(1);
/// The kernel sends a SYN again after so long: a connect that takes less was accepted at once.
const SYN_RETRANSMISSION: Duration = Duration::from_secs(1);

/// What the tasks of a load share.
struct Run {
    load: Load,
    to: SocketAddr,
    idle: Mutex<Vec<Link>>,
    places: Semaphore,
    result: Mutex<LoadResult>,
    next: AtomicU32,
}

/// A request of a load.
#[derive(Clone, Copy)]
struct Arrival {
    class: usize,
    at: Instant,
    /// The last part of its path.
    subject: u64,
    retry: bool,
}

/// How a request was sent.
#[derive(Clone, Copy, Default)]
struct Trail {
    /// It crossed the close of a kept connection, and was sent again.
    resent: bool,
    /// The client had no time left when its connection was up, by no fault of the other side.
    unsent: bool,
    /// The client's own address on the last connection.
    client: Option<SocketAddr>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Load {
    /// Puts the load on a proxy, in the tokio runtime that this is awaited in, and waits for all ends. Dropped
    /// midway, it stops.
    pub async fn run(self, to: SocketAddr) -> LoadResult {
        self.run_until(to, std::future::pending()).await
    }

    /// The same, but arrivals end early once `stop` is over.
    pub async fn run_until(self, to: SocketAddr, stop: impl Future<Output = ()>) -> LoadResult {
        let mut stop = std::pin::pin!(stop);
        let mut rng = SeededRng::new(self.seed);
        let classes = self.classes.iter().map(|c| c.name.clone()).collect();
        let result = LoadResult { classes, run: rng.next_u64() as u32, ..LoadResult::default() };
        let (gap, duration, begun) = (self.gap(), self.duration, Instant::now());
        let due_now = Arc::new(Notify::new());
        let pacer = Pacer::start(vec![due_now.clone()]).ok();
        let run = Arc::new(Run {
            to,
            idle: Mutex::new(Vec::new()),
            places: Semaphore::new(self.connections.clamp(1, 60_000)),
            result: Mutex::new(result),
            next: AtomicU32::new(0),
            load: self,
        });
        let (mut tasks, mut after, mut behind) = (JoinSet::new(), 0.0, Duration::ZERO);
        while !run.load.classes.is_empty() {
            after += gap.sample(&mut rng);
            if after >= duration.as_secs_f64() {
                break;
            }
            let (class, subject) = (run.load.class(rng.uniform()), rng.next_u64());
            let due = begun + Duration::from_secs_f64(after);
            tokio::select! {
                () = &mut stop => break,
                () = wait_until(&pacer, &due_now, due.into_std()) => {}
            }
            let at = Instant::now();
            behind = behind.max(at.saturating_duration_since(due));
            while tasks.try_join_next().is_some() {}
            if run.load.skip_when_busy && tasks.len() >= run.load.connections {
                locked(&run.result).skipped += 1;
                continue;
            }
            tasks.spawn(run.clone().client(Arrival { class, at, subject, retry: false }));
        }
        while tasks.join_next().await.is_some() {}
        let mut result = std::mem::take(&mut *locked(&run.result));
        result.max_arrival_delay = micros(behind);
        result
    }

    /// The same on a thread and a runtime of its own, for callers that have none; blocks until all is over.
    ///
    /// # Errors
    /// No runtime, that is no descriptors.
    pub fn run_blocking(self, to: SocketAddr) -> std::io::Result<LoadResult> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(runtime.block_on(self.run(to)))
    }
}

/// Waits with the pacer, or coarsely where no thread was to be had for one.
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
    /// A client with one request, and a second if the first is refused.
    async fn client(self: Arc<Self>, first: Arrival) {
        let answer = self.request(first).await;
        let refused = answer.filter(|a| matches!(a.status(), 429 | 503));
        if let (Some(refusal), Some(retry)) = (refused, self.load.retry) {
            tokio::time::sleep(pause(&refusal, retry)).await;
            self.request(Arrival { at: Instant::now(), retry: true, ..first }).await;
        }
    }

    /// One request to its end. The answer, if one came.
    async fn request(&self, arrival: Arrival) -> Option<Message> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = locked(&self.result).id(number);
        let deadline = arrival.at + self.load.classes[arrival.class].deadline;
        let mut trail = Trail::default();
        let exchange = self.exchange(arrival, &id, deadline + self.load.late_answer_wait, &mut trail).await;
        let (end, answer) = match exchange {
            Ok(Exchange::Answer(message)) => (End::Status(message.status()), Some(message)),
            Ok(Exchange::Broken { .. }) => (End::Broken, None),
            Ok(Exchange::GaveUp) if trail.unsent => (End::Unsent, None),
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
            resent: trail.resent,
            client: trail.client,
        };
        let mut result = locked(&self.result);
        result.mismatched_answers += u64::from(answer.as_ref().is_some_and(|a| is_anothers(a, &id)));
        if result.sent.len() < self.load.max_records {
            result.sent.push(sent);
        } else {
            result.unrecorded += 1;
        }
        answer
    }

    /// Sends a request, once more if it crosses the close of its connection.
    async fn exchange(
        &self, arrival: Arrival, id: &str, until: Instant, trail: &mut Trail,
    ) -> std::io::Result<Exchange> {
        let class = &self.load.classes[arrival.class];
        let deadline = arrival.at + class.deadline;
        let free = self.places.try_acquire();
        let found_all_busy = free.is_err();
        let _place = match free {
            Ok(place) => place,
            Err(_) => {
                locked(&self.result).waited_for_connection += 1;
                match tokio::time::timeout_at(deadline, self.places.acquire()).await {
                    Ok(Ok(place)) => place,
                    _ => return Ok(Exchange::GaveUp),
                }
            }
        };
        loop {
            let asked_for_link = Instant::now();
            let mut link = if trail.resent { self.new_link(until).await? } else { self.link(until).await? };
            trail.client = link.local_address();
            let (used, written) = (link.used, Instant::now());
            let left = deadline.saturating_duration_since(written);
            if left < LEAST {
                let accepted_at_once = written - asked_for_link < SYN_RETRANSMISSION;
                trail.unsent = accepted_at_once && !found_all_busy && !trail.resent;
                return Ok(Exchange::GaveUp);
            }
            let request = class.render(id, arrival.subject, left.as_secs_f64(), arrival.retry);
            let exchange = link.send_request(&request, class.method(), until).await;
            if matches!(exchange, Exchange::Broken { began: false })
                && used
                && self.load.resend
                && !trail.resent
                && written.elapsed() < self.load.crossing_limit
            {
                trail.resent = true;
                locked(&self.result).resent += 1;
                continue;
            }
            if let Exchange::Answer(answer) = &exchange {
                self.keep(link, answer);
            }
            return Ok(exchange);
        }
    }

    /// A connection at rest, or a new one; the error `NotConnected` where none may be opened.
    async fn link(&self, until: Instant) -> std::io::Result<Link> {
        loop {
            let kept = locked(&self.idle).pop();
            match kept {
                Some(link) if link.is_idle() => return Ok(link),
                Some(_) => {}
                None => break,
            }
        }
        self.new_link(until).await
    }

    /// A new connection; the error `NotConnected` where none may be opened.
    async fn new_link(&self, until: Instant) -> std::io::Result<Link> {
        if !self.load.may_connect() {
            return Err(std::io::ErrorKind::NotConnected.into());
        }
        let link = Link::open(self.to, until).await?;
        locked(&self.result).connections += 1;
        Ok(link)
    }

    fn keep(&self, link: Link, answer: &Message) {
        if link.has_excess_bytes() {
            locked(&self.result).excess_bytes += 1;
            return;
        }
        let closing = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        if !closing {
            locked(&self.idle).push(link);
        }
    }
}

/// How long a client waits before it repeats what was refused.
fn pause(refusal: &Message, retry: Retry) -> Duration {
    let advice = refusal.header("retry-after").and_then(|s| s.parse::<f64>().ok());
    let advice = advice.filter(|s| s.is_finite() && *s >= 0.0);
    advice.map_or(retry.default_delay, |s| Duration::from_secs_f64(s.min(retry.max_delay.as_secs_f64())))
}

/// Whether a backend's own body names another request.
fn is_anothers(answer: &Message, id: &str) -> bool {
    let text = String::from_utf8_lossy(&answer.body);
    let named = text.lines().next().and_then(|line| line.split_once(' ')).map(|(_, named)| named.trim());
    answer.status() == 200 && named.is_some_and(|named| named != id)
}

#[cfg(test)]
mod tests;
