//! The subscriptions to discoveries: one for each pool whose list comes from a discovery.

use crate::setup::Setup;
use shaletide_balancer::PoolId;
use shaletide_discovery::{DiscoveryAddress, SubscriptionConfig};
use shaletide_net::Driver;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tracing::info;

/// Keeps one pool's list up to date until it is dropped.
struct Subscription {
    discovery: watch::Sender<DiscoveryAddress>,
    config: SubscriptionConfig,
    task: AbortHandle,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The subscription that a pool needs.
struct RequiredSubscription {
    pool: PoolId,
    address: SocketAddr,
    config: SubscriptionConfig,
}

/// All subscriptions.
pub struct Subscriptions {
    driver: Rc<Driver>,
    by_pool: HashMap<PoolId, Subscription>,
}

impl Subscriptions {
    pub fn new(driver: Rc<Driver>) -> Subscriptions {
        Subscriptions { driver, by_pool: HashMap::new() }
    }

    /// Subscribes to the discoveries that the setup names, and ends all other subscriptions. `ids` are the pools' numbers in
    /// their order; a discovery at a new address counts as available since `since`. To be called within a `LocalSet`.
    pub fn update(&mut self, setup: &Setup, ids: &[PoolId], since: Instant) {
        let required = required(setup, ids);
        self.by_pool.retain(|pool, subscription| {
            required.iter().any(|required| required.pool == *pool && required.config == subscription.config)
        });
        for required in required {
            match self.by_pool.get(&required.pool) {
                Some(subscription) => subscription.move_to(&self.driver, required, since),
                None => self.subscribe(setup, ids, required, since),
            }
        }
    }

    fn subscribe(&mut self, setup: &Setup, ids: &[PoolId], required: RequiredSubscription, since: Instant) {
        let RequiredSubscription { pool, address, config } = required;
        let (discovery, moves) = watch::channel(DiscoveryAddress { address, since });
        // An index is only valid at the discovery that the cached list came from.
        let has_cached_list = ids.first() == Some(&pool) && !setup.cached_list.endpoints.is_empty();
        let known_index = has_cached_list.then_some(setup.cached_list.index);
        let watch =
            shaletide_discovery::run_subscription(self.driver.clone(), pool, moves, known_index, config);
        let task = tokio::task::spawn_local(watch).abort_handle();
        self.by_pool.insert(pool, Subscription { discovery, config, task });
    }
}

impl Subscription {
    /// Switches to the discovery's new address, if it has changed.
    fn move_to(&self, driver: &Driver, required: RequiredSubscription, since: Instant) {
        let RequiredSubscription { pool, address, .. } = required;
        let has_moved = self.discovery.send_if_modified(|discovery| {
            let moves = discovery.address != address;
            if moves {
                *discovery = DiscoveryAddress { address, since };
            }
            moves
        });
        if has_moved {
            info!("pool {}: discovery is now at {address}", driver.pool_name(pool));
        }
    }
}

fn required(setup: &Setup, ids: &[PoolId]) -> Vec<RequiredSubscription> {
    let grace = Duration::from_micros(setup.operator.limits.drain_grace.0);
    let position = setup.operator.proxy.position;
    let mut required = Vec::new();
    for discovery in setup.discoveries() {
        let Some(pool) = ids.get(discovery.pool_index).copied() else { continue };
        let expires_unconfirmed_list = setup.expires_unconfirmed_list && ids.first() == Some(&pool);
        let config = SubscriptionConfig { mode: discovery.mode, position, grace, expires_unconfirmed_list };
        required.push(RequiredSubscription { pool, address: discovery.address, config });
    }
    required
}
