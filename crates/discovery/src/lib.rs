//! Endpoint lists from discovery: either the platform's agent, which pushes them, or a service that has to be polled. The
//! lists are passed to the driver; the state machines interpret them.
#![forbid(unsafe_code)]

mod call;
mod poll_schedule;
mod previous;
mod subscription;

use previous::{fetch_missed_changes, PreviousDiscovery};
use shaletide_balancer::{DiscoveryMode, EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::{timeout, Driver};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use subscription::Subscription;
use tokio::sync::watch::Receiver;
use tracing::{info, warn};

/// The time after a move from which on the lists of the new discovery count as known (see
/// [`SubscriptionConfig::expires_unconfirmed_list`]).
const MOVE_ALLOWANCE: Duration = Duration::from_secs(4);

/// Settings of the subscription to a pool's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionConfig {
    /// Whether the list is pushed or has to be polled.
    pub mode: DiscoveryMode,
    /// This proxy's number among all proxies that subscribe.
    pub position: u32,
    /// The time after which no new request may be sent to a backend that discovery has reported as draining or gone.
    pub grace: Duration,
    /// Whether a list that discovery has not confirmed since the start, or since a move, expires before the grace is over.
    /// From the start, and from soon after a move, the platform treats the lists of discovery as known to the proxy, whether
    /// or not they were received (they "count as known"): an earlier list may be used no longer than the grace. Applies only
    /// to lists that are pushed.
    pub expires_unconfirmed_list: bool,
}

impl SubscriptionConfig {
    /// The time after which an unconfirmed list expires. The rest of the grace is left for the first response.
    fn expiry_delay(&self) -> Duration {
        self.grace * 3 / 4
    }

    /// Whether an unconfirmed list expires at all.
    fn has_expiry(&self) -> bool {
        self.expires_unconfirmed_list && self.mode == DiscoveryMode::Push
    }
}

/// The discovery that a pool subscribes to, and the time from which it applies: the start of the program, or the signal that
/// changed the address (a move).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionTarget {
    /// The address on which discovery listens.
    pub address: SocketAddr,
    /// The time from which on, or soon after which, the lists of this discovery count as known.
    pub since: Instant,
    /// The settings of the subscription.
    pub config: SubscriptionConfig,
}

/// What the current discovery has sent so far.
#[derive(Debug, Default)]
struct ListState {
    /// The version of its last list; `None` until it has sent one.
    version: Cell<Option<u64>>,
    /// When it last answered a call with a list.
    confirmed_at: Cell<Option<Instant>>,
}

impl ListState {
    fn has_list(&self) -> bool {
        self.version.get().is_some()
    }

    fn set_received(&self, version: u64) {
        self.version.set(Some(version));
        self.confirmed_at.set(Some(Instant::now()));
    }

    /// Returns a text for the log that says which version was confirmed last, and how long ago.
    fn last_confirmation(&self) -> String {
        match (self.version.get(), self.confirmed_at.get()) {
            (Some(version), Some(at)) => {
                format!("list version {version} was confirmed {} ms ago", at.elapsed().as_millis())
            }
            _ => "it has sent no list".to_string(),
        }
    }
}

/// Keeps a pool's list up to date for the lifetime of the process. `known_version` is the version of the list that the pool
/// already has. When discovery moves, the call in flight is dropped at once, as a long poll may take a long time. A version
/// has no meaning for another discovery, so that the new subscription begins with a snapshot. What the dropped call would
/// have returned counts as known all the same: it is fetched from the previous discovery, until the new one has sent its
/// first list.
///
/// Never returns. If the future is dropped, the pool keeps its current list.
pub async fn run_subscription(
    driver: Rc<Driver>, pool: PoolId, mut targets: Receiver<SubscriptionTarget>, known_version: Option<u64>,
) {
    let mut target = *targets.borrow_and_update();
    // The responses of an agent are cheap, so that the subscription begins with a snapshot.
    let mut known_version = known_version.filter(|_| target.config.mode != DiscoveryMode::Push);
    let state = ListState::default();
    let mut expires_at = target.since + target.config.expiry_delay();
    let mut previous: Option<PreviousDiscovery> = None;
    let mut fetch_previous_until = expires_at;
    loop {
        let subscription = Subscription::new(&driver, pool, target, known_version, &state);
        let expiry = expire_unconfirmed(&driver, pool, expires_at, target.config, &state);
        let missed_changes =
            fetch_missed_changes(&driver, pool, previous.as_ref(), fetch_previous_until, &state);
        tokio::select! {
            _ = async { tokio::join!(subscription.run(), expiry, missed_changes) } => {}
            Ok(()) = targets.changed() => {
                let next = *targets.borrow_and_update();
                if next.address != target.address {
                    log_move(&driver, pool, target.address, next.address, &state);
                    previous = previous_after_move(previous, target, next.address, &state, known_version);
                    let expires_after_move = next.since + MOVE_ALLOWANCE + next.config.expiry_delay();
                    expires_at = match state.has_list() {
                        true => expires_after_move,
                        false => expires_at.min(expires_after_move),
                    };
                    // From then on the new discovery's list counts as known, or the pool's list has expired.
                    fetch_previous_until =
                        if next.config.has_expiry() { expires_at } else { expires_after_move };
                    state.version.set(None);
                }
                // With other settings, too, a call without a wait replaces the one that was dropped.
                known_version = None;
                target = next;
            }
        }
    }
}

/// Returns the discovery from which changes may have been missed, after a move from `current` to the address `next`. That is
/// the last one that has sent a list, as the pool has its list, or the one of the start.
fn previous_after_move(
    previous: Option<PreviousDiscovery>, current: SubscriptionTarget, next: SocketAddr, state: &ListState,
    known_version: Option<u64>,
) -> Option<PreviousDiscovery> {
    let unanswered = previous.filter(|previous| !previous.has_answered.get() && !state.has_list());
    let previous = unanswered.unwrap_or_else(|| PreviousDiscovery {
        target: current,
        version: state.version.get().or(known_version),
        has_answered: Cell::new(false),
    });
    // The subscription itself calls a discovery that is the current one again.
    Some(previous).filter(|previous| previous.target.address != next)
}

/// Logs a move, with what tells whether changes of the earlier discovery may have been missed.
fn log_move(driver: &Driver, pool: PoolId, from: SocketAddr, to: SocketAddr, state: &ListState) {
    info!(
        "pool {}: discovery moves from {from} to {to}; of {from}: {}",
        driver.pool_name(pool),
        state.last_confirmation()
    );
}

/// Removes all backends at time `at`, unless discovery has sent a list by then: they may have been draining in discovery for
/// the whole grace. The first list from discovery adds those that are ready again.
async fn expire_unconfirmed(
    driver: &Rc<Driver>, pool: PoolId, at: Instant, config: SubscriptionConfig, state: &ListState,
) {
    if !config.has_expiry() {
        return;
    }
    // If the startup itself took that long, the old list must not be used for even one turn of the event loop.
    if Instant::now() < at {
        timeout::sleep_until(at.into()).await;
    }
    if !state.has_list() {
        warn!(
            "pool {}: discovery sent no list in time; removing all backends of the earlier list",
            driver.pool_name(pool)
        );
        driver.update_endpoints(pool, EndpointUpdate::Snapshot, Vec::new());
    }
}

/// Passes a list to the driver. Logs the number of invalid entries and only the first of them, as a list may be long.
pub fn apply_list(driver: &Rc<Driver>, pool: PoolId, update: EndpointUpdate, list: &List) {
    let (entries, skipped) = list.entries();
    if let Some(skipped) = skipped {
        let name = driver.pool_name(pool);
        warn!("pool {name}: {} discovery entries skipped, the first: {:.400}", skipped.count, skipped.first);
    }
    driver.set_list_version(pool, list.index);
    driver.update_endpoints(pool, update, entries);
}
