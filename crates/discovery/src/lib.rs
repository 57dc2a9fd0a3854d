//! Endpoint lists from discovery: the platform's agent, which pushes them, or a service that has to be polled. What comes
//! is handed to the driver; what it means is decided by the machines.
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

/// After a move what the new discovery has counts as known so much later.
const MOVE_ALLOWANCE: Duration = Duration::from_secs(4);

/// How a pool's list is had from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionConfig {
    /// Whether it is pushed or has to be polled.
    pub mode: DiscoveryMode,
    /// This proxy's number among all that subscribe.
    pub position: u32,
    /// No new request may go to a backend later than this after discovery has said that it is draining or gone.
    pub grace: Duration,
    /// From the start, and from soon after a move, the platform holds the proxy responsible for what discovery has, whether
    /// or not it was received ("it counts as known"): a list from before that moment, which discovery has not confirmed
    /// since, is used no longer than the grace. Only where lists are pushed.
    pub expires_unconfirmed_list: bool,
}

/// Where discovery is, and since when: the start of the program, or the signal that moved it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAddress {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has counts from then on, or soon after.
    pub since: Instant,
}

/// Keeps a pool's list up to date for as long as the program runs. `known`: the version of the list that the pool has
/// already. When discovery moves the call in flight is dropped at once, as it may wait for long. A version means nothing
/// to another discovery: there the subscription begins with a snapshot.
///
/// Ends only by being dropped, which leaves the pool with the list that it has.
pub async fn run_subscription(
    driver: Rc<Driver>, pool: PoolId, mut moves: Receiver<DiscoveryAddress>, known: Option<u64>,
    config: SubscriptionConfig,
) {
    // An agent's responses cost nothing: begin with a snapshot.
    let mut known = known.filter(|_| config.mode != DiscoveryMode::Push);
    let has_list = Cell::new(false);
    // Some of the grace is left for the first response.
    let part_of_grace = config.grace * 3 / 4;
    let mut expires_at = moves.borrow().since + part_of_grace;
    loop {
        let address = moves.borrow_and_update().address;
        let subscription = Subscription::new(&driver, pool, address, known, config, &has_list);
        let expiry = expire_unconfirmed(&driver, pool, expires_at, config, &has_list);
        tokio::select! {
            _ = async { tokio::join!(subscription.run(), expiry) } => {}
            Ok(()) = moves.changed() => {
                let expires_after_move = moves.borrow().since + MOVE_ALLOWANCE + part_of_grace;
                expires_at =
                    if has_list.replace(false) { expires_after_move } else { expires_at.min(expires_after_move) };
                known = None;
            }
        }
    }
}

/// Takes all backends out of use at that moment, unless discovery has sent a list: it may have known for as long as the
/// grace lasts that they are draining. Its first list brings back those that are ready.
async fn expire_unconfirmed(
    driver: &Rc<Driver>, pool: PoolId, at: Instant, config: SubscriptionConfig, has_list: &Cell<bool>,
) {
    if !config.expires_unconfirmed_list || config.mode != DiscoveryMode::Push {
        return;
    }
    // Where the start itself took that long nothing may be sent by the old list, not even for one turn of the event loop.
    if Instant::now() < at {
        timeout::sleep_until(at.into()).await;
    }
    if !has_list.get() {
        warn!(
            "pool {}: discovery has sent no list in time: all backends of the earlier list are taken out of use",
            driver.pool_name(pool)
        );
        driver.update_endpoints(pool, EndpointUpdate::Snapshot, Vec::new());
    }
}

/// Hands a list to the driver. Of the invalid entries one is logged, with their number: a list may be long.
pub fn apply_list(driver: &Rc<Driver>, pool: PoolId, update: EndpointUpdate, list: &List) {
    let (entries, skipped) = list.entries();
    if let Some(skipped) = skipped {
        let name = driver.pool_name(pool);
        warn!("pool {name}: {} discovery entries skipped, the first: {:.400}", skipped.count, skipped.first);
    }
    driver.set_list_version(pool, list.index);
    driver.update_endpoints(pool, update, entries);
}
