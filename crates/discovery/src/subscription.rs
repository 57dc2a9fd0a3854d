//! The subscription to one discovery: consecutive calls, which begin with a known version or with a snapshot.

use crate::call::{fetch, CallTimeouts, Connection, PollError};
use crate::poll_schedule::PollSchedule;
use crate::{apply_list, ListState, SubscriptionConfig, SubscriptionTarget, SILENT_POLL_ALLOWANCE};
use shaletide_balancer::{DiscoveryMode, EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::Driver;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The parameters of a call.
struct Call {
    uri: String,
    /// The version of the last list when the call was made.
    last_version: Option<u64>,
    /// The time for which discovery may wait for changes.
    wait: Duration,
    /// Whether discovery responds only when there are changes or the call's wait is over.
    is_long_poll: bool,
    timeouts: CallTimeouts,
    made_at: Instant,
}

/// The state of a subscription: the parameters of the next call, and the results of the previous ones.
pub(crate) struct Subscription<'a> {
    driver: &'a Rc<Driver>,
    pool: PoolId,
    address: SocketAddr,
    config: SubscriptionConfig,
    schedule: PollSchedule,
    /// What discovery has sent.
    state: &'a ListState,
    connection: Option<Connection>,
    /// The version of the pool's current list.
    version: u64,
    wants_snapshot: bool,
    /// Whether the next call does not wait for changes: it returns the missed changes at once. Later calls are long polls.
    is_catching_up: bool,
    /// The number of failed calls in a row.
    failures: u32,
    /// The number of long polls made.
    long_polls: u32,
    /// Whether the last call timed out although it did not wait for changes.
    immediate_call_timed_out: bool,
}

impl<'a> Subscription<'a> {
    /// Returns a subscription that begins with `known_version`, the version of the pool's current list, or with a snapshot if
    /// that is `None`.
    pub(crate) fn new(
        driver: &'a Rc<Driver>, pool: PoolId, target: SubscriptionTarget, known_version: Option<u64>,
        state: &'a ListState,
    ) -> Subscription<'a> {
        let SubscriptionTarget { address, config, .. } = target;
        let is_polled = config.mode != DiscoveryMode::Push;
        Subscription {
            driver,
            pool,
            address,
            config,
            schedule: PollSchedule::of(config),
            state,
            connection: None,
            version: known_version.unwrap_or(0),
            wants_snapshot: known_version.is_none(),
            is_catching_up: is_polled && known_version.is_some(),
            failures: 0,
            long_polls: 0,
            immediate_call_timed_out: false,
        }
    }

    /// Calls discovery in an endless loop. If the future is dropped, the pool keeps its current list.
    pub(crate) async fn run(mut self) {
        if self.is_catching_up {
            self.driver.poll_requested(self.pool).await;
        }
        loop {
            let (call, result) = self.make_call().await;
            match result {
                Ok(list) => self.on_list(&call, &list).await,
                Err(error) => self.on_failure(&call, &error).await,
            }
        }
    }

    /// Calls discovery without waiting for changes, until it answers, and returns its list. Returns `None` once the list is not
    /// wanted any more. Applies nothing. If the future is dropped, nothing was received.
    pub(crate) async fn catch_up(mut self, is_wanted: impl Fn() -> bool) -> Option<List> {
        self.is_catching_up = true;
        while is_wanted() {
            let (call, result) = self.make_call().await;
            match result {
                Ok(list) if self.is_older(&list) => self.wants_snapshot = true,
                Ok(list) => return Some(list).filter(|_| is_wanted()),
                Err(error) => {
                    self.record_failure(&error);
                    tokio::time::sleep_until(self.latest_retry(&call).into()).await;
                }
            }
        }
        None
    }

    async fn make_call(&mut self) -> (Call, Result<List, PollError>) {
        let call = self.next_call();
        let fetched = fetch(&mut self.connection, self.address, &call.uri, call.timeouts).await;
        let result = fetched.and_then(|list| require_snapshot(list, self.wants_snapshot));
        self.immediate_call_timed_out =
            !call.is_long_poll && result.as_ref().is_err_and(PollError::is_timeout);
        (call, result)
    }

    fn next_call(&mut self) -> Call {
        let last_version = self.state.version();
        // A confirmation may have returned a later version.
        self.version = last_version.unwrap_or(self.version);
        self.wants_snapshot |= self.state.has_expired();
        let wait = match self.is_catching_up {
            true => Duration::ZERO,
            false => self.schedule.long_poll_wait(self.config.position, self.long_polls),
        };
        let uri = match self.wants_snapshot {
            true => "/api/targets".to_string(),
            false => format!("/api/targets?after={}&wait_ms={}", self.version, wait.as_millis()),
        };
        let is_long_poll = !self.wants_snapshot && !self.is_catching_up;
        if is_long_poll {
            self.long_polls = self.long_polls.wrapping_add(1);
        }
        let head = match is_long_poll {
            true => wait + self.schedule.response_timeout,
            false => self.schedule.immediate_timeout(self.immediate_call_timed_out),
        };
        let body = self.schedule.body_timeout(self.failures);
        let timeouts = CallTimeouts { head, body_piece: self.schedule.response_timeout, body };
        Call { uri, last_version, wait, is_long_poll, timeouts, made_at: Instant::now() }
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
        self.is_catching_up = false;
        let is_unchanged = call.is_long_poll && list.index == self.version;
        let is_older = self.is_older(list);
        if self.was_overtaken(call, list) {
            self.state.set_confirmed();
        } else if !is_older {
            let update = if list.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
            apply_list(self.driver, self.pool, update, list);
            self.state.set_received(list.index);
            self.version = list.index;
        }
        self.wants_snapshot = is_older;
        // A discovery that does not wait for changes, or always returns an older version, would otherwise be polled without
        // a pause.
        if is_unchanged || is_older {
            tokio::time::sleep(self.schedule.min_pause.saturating_sub(call.made_at.elapsed())).await;
        }
    }

    /// Whether a list is a delta that is older than the pool's list, as discovery was restarted, or one for a list that has
    /// expired meanwhile: a snapshot is needed.
    fn is_older(&self, list: &List) -> bool {
        !list.snapshot && (list.index < self.version || self.state.has_expired())
    }

    /// Whether a confirmation has returned this list, or a later one, while the call was in flight.
    fn was_overtaken(&self, call: &Call, list: &List) -> bool {
        let version = self.state.version().filter(|_| !self.state.has_expired());
        version != call.last_version
            && version.is_some_and(|version| (self.version..=version).contains(&list.index))
    }

    async fn on_failure(&mut self, call: &Call, error: &PollError) {
        self.record_failure(error);
        if let Some(known_at) = self.missed_changes_known_at(call, error) {
            self.state.expire_by(known_at + self.config.expiry_delay());
        }
        if self.config.mode == DiscoveryMode::Push {
            tokio::time::sleep_until(self.latest_retry(call).into()).await;
        } else {
            discard_request(self.driver.poll_requested(self.pool)).await;
            self.driver.update_endpoints(self.pool, EndpointUpdate::SubscriptionLost, Vec::new());
            // The balancer decides when to poll again, up to a maximum delay.
            let requested = self.driver.poll_requested(self.pool);
            let _ = tokio::time::timeout_at(self.latest_retry(call).into(), requested).await;
        }
        // A call without a wait shows at once whether discovery is reachable again.
        self.is_catching_up = true;
    }

    /// Returns the time from which on changes that a failed call may have missed count as known to the proxy, if they do so
    /// before discovery answers another call.
    ///
    /// Where lists are polled, discovery ends its long polls when it goes down. So one that is never answered has fallen
    /// silent, and one that ends without an answer has missed nothing. An agent that pushes lists is silent while discovery is
    /// down, so that silence shows nothing; it knows all of an answer of which only a part was received.
    fn missed_changes_known_at(&self, call: &Call, error: &PollError) -> Option<Instant> {
        if !self.config.expires_unconfirmed_list {
            return None;
        }
        match (self.config.mode, error) {
            (DiscoveryMode::Push, PollError::Incomplete(_)) => Some(call.made_at),
            (DiscoveryMode::Push, _) => None,
            (_, PollError::Incomplete(_)) => Some(call.made_at + call.wait + SILENT_POLL_ALLOWANCE),
            (_, PollError::TimedOut) if call.is_long_poll => {
                Some(call.made_at + call.wait + SILENT_POLL_ALLOWANCE)
            }
            _ => None,
        }
    }

    fn record_failure(&mut self, error: &PollError) {
        self.connection = None;
        self.failures += 1;
        let failures = self.failures;
        if failures.is_power_of_two() {
            let (name, address) = (self.driver.pool_name(self.pool), self.address);
            let confirmation = self.state.last_confirmation();
            warn!("pool {name}: discovery at {address}: call failed, {failures} in a row: {error}; {confirmation}");
        }
        // Such a status may mean that discovery no longer has the version, and will never have it again.
        self.wants_snapshot |= matches!(error, PollError::Status(..500));
    }

    /// Returns the latest time of the next call after one that has just failed.
    fn latest_retry(&self, call: &Call) -> Instant {
        let now = Instant::now();
        match self.config.mode {
            DiscoveryMode::Push => now + self.schedule.backoff(self.failures),
            _ => self.schedule.latest_retry(call.made_at, now, self.config.position, self.failures),
        }
    }
}

/// Returns an error if a call for a snapshot returned a delta.
fn require_snapshot(list: List, wants_snapshot: bool) -> Result<List, PollError> {
    if wants_snapshot && !list.snapshot {
        return Err(PollError::NotASnapshot);
    }
    Ok(list)
}

/// Discards a pending request for a poll. The balancer may have made it while the call that has just failed was in flight, or
/// before the first call; it must not cause another call at once.
async fn discard_request(requested: impl Future<Output = ()>) {
    let mut requested = pin!(requested);
    let _ = poll_fn(|cx| Poll::Ready(requested.as_mut().poll(cx))).await;
}
