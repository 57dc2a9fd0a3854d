//! Endpoint lists from discovery: either the platform's agent, which pushes them, or a service that has to be polled. The
//! lists are passed to the driver; the state machines interpret them.
#![forbid(unsafe_code)]

mod call;
mod confirmation;
mod list_state;
mod poll_schedule;
mod previous;
mod subscription;

use confirmation::confirm_list;
use list_state::ListState;
use previous::{fetch_missed_changes, MoveDeadlines, PreviousDiscovery};
use shaletide_balancer::{DiscoveryMode, EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::Driver;
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
/// The time after the end of a long poll's wait from which on changes that it has missed count as known, where lists are
/// polled (see [`SubscriptionConfig::expires_unconfirmed_list`]).
const SILENT_POLL_ALLOWANCE: Duration = Duration::from_secs(2);

/// Settings of the subscription to a pool's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionConfig {
    /// Whether the list is pushed or has to be polled.
    pub mode: DiscoveryMode,
    /// This proxy's number among all proxies that subscribe.
    pub position: u32,
    /// The time after which no new request may be sent to a backend that discovery has reported as draining or gone.
    pub grace: Duration,
    /// Whether the pool's list expires before the grace is over where it may lack changes that the platform treats as known
    /// to the proxy, whether or not they were received (they "count as known"). Where lists are pushed, these are all that
    /// discovery has from the start, and from soon after a move; and changes of which only a part was received. Where they
    /// are polled, what a long poll has missed that was never answered, or only in part, from soon after the end of its wait.
    pub expires_unconfirmed_list: bool,
}

impl SubscriptionConfig {
    /// The time after which an unconfirmed list expires. The rest of the grace is left for the first response.
    fn expiry_delay(&self) -> Duration {
        self.grace * 3 / 4
    }

    /// Whether a list expires that the discovery of the start, or of a move, has not confirmed.
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
    if target.config.has_expiry() {
        state.set_expiry(Some(target.since + target.config.expiry_delay()));
    }
    let mut previous: Option<PreviousDiscovery> = None;
    let mut move_deadlines = MoveDeadlines { fetch_previous_until: target.since, list_expires_at: None };
    loop {
        let subscription = Subscription::new(&driver, pool, target, known_version, &state);
        let confirmations = confirm_list(&driver, pool, target, &state);
        let expiry = state.expire_lists(&driver, pool);
        let missed_changes = fetch_missed_changes(&driver, pool, previous.as_ref(), move_deadlines, &state);
        tokio::select! {
            _ = async { tokio::join!(subscription.run(), confirmations, expiry, missed_changes) } => {}
            Ok(()) = targets.changed() => {
                let next = *targets.borrow_and_update();
                if next.address != target.address {
                    log_move(&driver, pool, target.address, next.address, &state);
                    previous = previous_after_move(previous, target, next.address, &state, known_version);
                    move_deadlines = move_deadlines.after_move(next, &state);
                    state.reset();
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
        version: state.version().or(known_version).filter(|_| !state.has_expired()),
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
