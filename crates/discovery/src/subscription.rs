//! The subscription to one discovery: one call after the other, from a known version on or from a snapshot.

use crate::call::{fetch, CallTimeouts, Connection, PollError};
use crate::poll_schedule::PollSchedule;
use crate::{apply_list, SubscriptionConfig};
use shaletide_balancer::{DiscoveryMode, EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::Driver;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// What a call asks for.
struct Call {
    uri: String,
    /// It is answered only when there are changes, or at the end of its wait.
    is_long_poll: bool,
    timeouts: CallTimeouts,
    made_at: Instant,
}

/// What the next call asks for, and how the last ones ended.
pub(crate) struct Subscription<'a> {
    driver: &'a Rc<Driver>,
    pool: PoolId,
    address: SocketAddr,
    config: SubscriptionConfig,
    schedule: PollSchedule,
    /// Set once discovery has sent a list.
    has_list: &'a Cell<bool>,
    connection: Option<Connection>,
    /// The version of the list that the pool has.
    version: u64,
    wants_snapshot: bool,
    /// The next call is answered at once, by what was missed; only those behind it wait for changes.
    catches_up: bool,
    /// Failed calls in a row.
    failures: u32,
    /// Long polls made.
    long_polls: u32,
    /// The last call timed out, though it waited for no changes.
    immediate_call_timed_out: bool,
}

impl<'a> Subscription<'a> {
    /// `known`: the version of the list that the pool has; without one it begins with a snapshot.
    pub(crate) fn new(
        driver: &'a Rc<Driver>, pool: PoolId, address: SocketAddr, known: Option<u64>,
        config: SubscriptionConfig, has_list: &'a Cell<bool>,
    ) -> Subscription<'a> {
        let polls = config.mode != DiscoveryMode::Push;
        let schedule = match polls {
            true => PollSchedule::polling(config.grace),
            false => PollSchedule::pushing(config.grace),
        };
        Subscription {
            driver,
            pool,
            address,
            config,
            schedule,
            has_list,
            connection: None,
            version: known.unwrap_or(0),
            wants_snapshot: known.is_none(),
            catches_up: polls && known.is_some(),
            failures: 0,
            long_polls: 0,
            immediate_call_timed_out: false,
        }
    }

    /// Calls discovery for ever. Dropped, it leaves the pool with the list that it has.
    pub(crate) async fn run(mut self) {
        if self.catches_up {
            self.driver.poll_requested(self.pool).await;
        }
        loop {
            let call = self.next_call();
            let fetched = fetch(&mut self.connection, self.address, &call.uri, call.timeouts).await;
            let result = fetched.and_then(|list| require_snapshot(list, self.wants_snapshot));
            self.immediate_call_timed_out = !call.is_long_poll && matches!(result, Err(PollError::TimedOut));
            match result {
                Ok(list) => self.on_list(&call, &list).await,
                Err(error) => self.on_failure(&call, error).await,
            }
        }
    }

    fn next_call(&mut self) -> Call {
        let wait = match self.catches_up {
            true => Duration::ZERO,
            false => self.schedule.long_poll_wait(self.config.position, self.long_polls),
        };
        let uri = match self.wants_snapshot {
            true => "/api/targets".to_string(),
            false => format!("/api/targets?after={}&wait_ms={}", self.version, wait.as_millis()),
        };
        let is_long_poll = !self.wants_snapshot && !self.catches_up;
        if is_long_poll {
            self.long_polls = self.long_polls.wrapping_add(1);
        }
        let head = match is_long_poll {
            true => wait + self.schedule.response_timeout,
            false => self.schedule.immediate_timeout(self.immediate_call_timed_out),
        };
        let body = self.schedule.body_timeout(self.failures);
        let timeouts = CallTimeouts { head, body_piece: self.schedule.response_timeout, body };
        Call { uri, is_long_poll, timeouts, made_at: Instant::now() }
    }

    async fn on_list(&mut self, call: &Call, list: &List) {
        if self.failures > 0 {
            info!(
                "pool {}: discovery at {} answers again after {} failed calls, list version {}",
                self.driver.pool_name(self.pool),
                self.address,
                self.failures,
                list.index
            );
        }
        self.failures = 0;
        self.catches_up = false;
        let is_unchanged = call.is_long_poll && list.index == self.version;
        // A delta of an older version than the pool's: discovery began anew, so a snapshot is due.
        let is_older = !list.snapshot && list.index < self.version;
        if !is_older {
            let update = if list.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
            apply_list(self.driver, self.pool, update, list);
            self.has_list.set(true);
            self.version = list.index;
        }
        self.wants_snapshot = is_older;
        // One that does not wait for changes, or goes back each time, is not polled as fast as it answers.
        if is_unchanged || is_older {
            tokio::time::sleep(self.schedule.min_pause.saturating_sub(call.made_at.elapsed())).await;
        }
    }

    async fn on_failure(&mut self, call: &Call, error: PollError) {
        self.connection = None;
        self.failures += 1;
        let failures = self.failures;
        if failures.is_power_of_two() {
            let (name, address) = (self.driver.pool_name(self.pool), self.address);
            warn!("pool {name}: discovery at {address}: call failed, {failures} in a row: {error}");
        }
        // It may not know that version any more, nor ever again.
        self.wants_snapshot |= matches!(error, PollError::Status(..500));
        if self.config.mode == DiscoveryMode::Push {
            tokio::time::sleep(self.schedule.backoff(failures)).await;
        } else {
            discard_request(self.driver.poll_requested(self.pool)).await;
            self.driver.update_endpoints(self.pool, EndpointUpdate::SubscriptionLost, Vec::new());
            // When to poll again is the balancer's decision, but not without bound.
            let position = self.config.position;
            let latest = self.schedule.latest_retry(call.made_at, Instant::now(), position, failures);
            let requested = self.driver.poll_requested(self.pool);
            let _ = tokio::time::timeout_at(latest.into(), requested).await;
        }
        // Whether it is back shows at once.
        self.catches_up = true;
    }
}

/// A call for a snapshot wants a snapshot.
fn require_snapshot(list: List, wants_snapshot: bool) -> Result<List, PollError> {
    if wants_snapshot && !list.snapshot {
        return Err(PollError::NotASnapshot);
    }
    Ok(list)
}

/// The balancer may have requested a call while one was in flight, or before the first: that one is made, and no other is
/// due at once when it fails.
async fn discard_request(requested: impl Future<Output = ()>) {
    let mut requested = pin!(requested);
    let _ = poll_fn(|cx| Poll::Ready(requested.as_mut().poll(cx))).await;
}
