//! Endpoint lists from discovery: either the platform's agent, which pushes them, or a service that has to be polled. The
//! lists are passed to the driver; the state machines interpret them.
#![forbid(unsafe_code)]

mod call;
mod poll_schedule;
mod subscription;

use shaletide_balancer::{DiscoveryMode, EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::{timeout, Driver};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use subscription::Subscription;
use tokio::sync::watch::Receiver;
use tracing::warn;

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

/// The address of discovery, and the time from which it applies: the start of the program, or the signal that changed the
/// address (a move).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAddress {
    /// The address on which discovery listens.
    pub address: SocketAddr,
    /// The time from which on, or soon after which, the lists of this discovery count as known.
    pub since: Instant,
}

/// Keeps a pool's list up to date for the lifetime of the process. `known_version` is the version of the list that the pool
/// already has. When discovery moves, the call in flight is dropped at once, as a long poll may take a long time. A version
/// has no meaning for another discovery, so that the new subscription begins with a snapshot.
///
/// Never returns. If the future is dropped, the pool keeps its current list.
pub async fn run_subscription(
    driver: Rc<Driver>, pool: PoolId, mut moves: Receiver<DiscoveryAddress>, known_version: Option<u64>,
    config: SubscriptionConfig,
) {
    // The responses of an agent are cheap, so that the subscription begins with a snapshot.
    let mut known_version = known_version.filter(|_| config.mode != DiscoveryMode::Push);
    let has_list = Cell::new(false);
    // The rest of the grace is left for the first response.
    let expiry_delay = config.grace * 3 / 4;
    let mut expires_at = moves.borrow().since + expiry_delay;
    loop {
        let address = moves.borrow_and_update().address;
        let subscription = Subscription::new(&driver, pool, address, known_version, config, &has_list);
        let expiry = expire_unconfirmed(&driver, pool, expires_at, config, &has_list);
        tokio::select! {
            _ = async { tokio::join!(subscription.run(), expiry) } => {}
            Ok(()) = moves.changed() => {
                let expires_after_move = moves.borrow().since + MOVE_ALLOWANCE + expiry_delay;
                expires_at =
                    if has_list.replace(false) { expires_after_move } else { expires_at.min(expires_after_move) };
                known_version = None;
            }
        }
    }
}

/// Removes all backends at time `at`, unless discovery has sent a list by then: they may have been draining in discovery for
/// the whole grace. The first list from discovery adds those that are ready again.
async fn expire_unconfirmed(
    driver: &Rc<Driver>, pool: PoolId, at: Instant, config: SubscriptionConfig, has_list: &Cell<bool>,
) {
    if !config.expires_unconfirmed_list || config.mode != DiscoveryMode::Push {
        return;
    }
    // If the startup itself took that long, the old list must not be used for even one turn of the event loop.
    if Instant::now() < at {
        timeout::sleep_until(at.into()).await;
    }
    if !has_list.get() {
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
