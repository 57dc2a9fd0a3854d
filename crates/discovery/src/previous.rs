//! The discovery before a move. The call that the move dropped may have been silent, so that changes which count as known
//! were missed: they are fetched by calls that do not wait for changes. Such a call is answered at once by a discovery that
//! is still there, and it has all that this discovery had at the move.

use crate::call::{fetch, CallTimeouts, PollError};
use crate::poll_schedule::PollSchedule;
use crate::subscription::{require_snapshot, targets_uri};
use crate::{apply_list, ListState, SubscriptionConfig};
use shaletide_balancer::{DiscoveryMode, EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::Driver;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The discovery that sent the pool's list, after a move to another one.
#[derive(Debug)]
pub(crate) struct PreviousDiscovery {
    pub(crate) address: SocketAddr,
    /// The settings of the subscription to it.
    pub(crate) config: SubscriptionConfig,
    /// The version of its list that the pool has; `None` if a snapshot is needed.
    pub(crate) version: Option<u64>,
    /// The time at which the lists of the next discovery count as known, and those of this one no longer matter.
    pub(crate) fetch_until: Instant,
    /// Whether it has answered since the move, so that no change was missed.
    pub(crate) has_answered: Cell<bool>,
}

/// Calls the previous discovery until it answers, and applies its list. Returns earlier if that list is no longer wanted: the
/// current discovery has sent one, the pool's list has expired, or [`PreviousDiscovery::fetch_until`] is over.
///
/// Cancel safe: if the future is dropped, the next one calls again.
pub(crate) async fn fetch_missed_changes(
    driver: &Rc<Driver>, pool: PoolId, previous: Option<&PreviousDiscovery>, state: &ListState,
) {
    let Some(previous) = previous.filter(|previous| !previous.has_answered.get()) else { return };
    let schedule = PollSchedule::of(previous.config);
    let is_wanted = || !state.has_list() && !state.has_expired.get() && Instant::now() < previous.fetch_until;
    let mut version = previous.version;
    let mut connection = None;
    let mut failures = 0;
    let mut has_timed_out = false;
    while is_wanted() {
        let made_at = Instant::now();
        let timeouts = CallTimeouts {
            head: schedule.immediate_timeout(has_timed_out),
            body_piece: schedule.response_timeout,
            body: schedule.body_timeout(failures),
        };
        let uri = targets_uri(version, Duration::ZERO);
        let fetched = fetch(&mut connection, previous.address, &uri, timeouts).await;
        match fetched.and_then(|list| require_snapshot(list, version.is_none())) {
            // A delta that is older than the pool's list means that discovery was restarted, so a snapshot is needed.
            Ok(list) if !list.snapshot && version.is_some_and(|version| list.index < version) => {
                version = None
            }
            Ok(list) => {
                if is_wanted() {
                    apply_missed_changes(driver, pool, previous, &list);
                }
                return;
            }
            Err(error) => {
                failures += 1;
                has_timed_out = matches!(error, PollError::TimedOut);
                if matches!(error, PollError::Status(..500)) {
                    version = None; // discovery may no longer have the version
                }
                log_failure(driver, pool, previous, failures, &error);
                pause(&schedule, previous.config, made_at, failures).await;
            }
        }
    }
}

fn apply_missed_changes(driver: &Rc<Driver>, pool: PoolId, previous: &PreviousDiscovery, list: &List) {
    previous.has_answered.set(true);
    info!(
        "pool {}: previous discovery at {} answered with list version {} and {} entries, earlier version {:?}",
        driver.pool_name(pool),
        previous.address,
        list.index,
        list.endpoints.len(),
        previous.version
    );
    if list.snapshot {
        apply_list(driver, pool, EndpointUpdate::Snapshot, list);
    } else if !list.endpoints.is_empty() {
        apply_list(driver, pool, EndpointUpdate::Delta, list);
    }
}

fn log_failure(
    driver: &Driver, pool: PoolId, previous: &PreviousDiscovery, failures: u32, error: &PollError,
) {
    if failures.is_power_of_two() {
        let (name, address) = (driver.pool_name(pool), previous.address);
        warn!("pool {name}: previous discovery at {address}: call failed, {failures} in a row: {error}");
    }
}

/// Waits between a failed call, made at `made_at`, and the next one.
async fn pause(schedule: &PollSchedule, config: SubscriptionConfig, made_at: Instant, failures: u32) {
    if config.mode == DiscoveryMode::Push {
        tokio::time::sleep(schedule.backoff(failures)).await;
    } else {
        let latest = schedule.latest_retry(made_at, Instant::now(), config.position, failures);
        tokio::time::sleep_until(latest.into()).await;
    }
}
