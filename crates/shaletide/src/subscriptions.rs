//! The subscriptions to discoveries, one for each pool that has one.

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

/// Keeps one pool's list up to date; dropped, it ends.
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

/// What a pool's subscription should be.
struct Wanted {
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

    /// Subscribes to the discoveries that the setup names, and to no other. `ids` are the pools' numbers in their order;
    /// a discovery at a new address is there since that time. Within a `LocalSet`.
    pub fn update(&mut self, setup: &Setup, ids: &[PoolId], since: Instant) {
        let wanted = wanted(setup, ids);
        self.by_pool.retain(|pool, subscription| {
            wanted.iter().any(|wanted| wanted.pool == *pool && wanted.config == subscription.config)
        });
        for wanted in wanted {
            match self.by_pool.get(&wanted.pool) {
                Some(subscription) => subscription.move_to(&self.driver, wanted, since),
                None => self.subscribe(setup, ids, wanted, since),
            }
        }
    }

    fn subscribe(&mut self, setup: &Setup, ids: &[PoolId], wanted: Wanted, since: Instant) {
        let Wanted { pool, address, config } = wanted;
        let (discovery, moves) = watch::channel(DiscoveryAddress { address, since });
        // An index means something only to the discovery that the cached list came from.
        let has_cached_list = ids.first() == Some(&pool) && !setup.cached_list.endpoints.is_empty();
        let known_index = has_cached_list.then_some(setup.cached_list.index);
        let watch =
            shaletide_discovery::run_subscription(self.driver.clone(), pool, moves, known_index, config);
        let task = tokio::task::spawn_local(watch).abort_handle();
        self.by_pool.insert(pool, Subscription { discovery, config, task });
    }
}

impl Subscription {
    /// Follows a discovery to another address.
    fn move_to(&self, driver: &Driver, wanted: Wanted, since: Instant) {
        let Wanted { pool, address, .. } = wanted;
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

fn wanted(setup: &Setup, ids: &[PoolId]) -> Vec<Wanted> {
    let grace = Duration::from_micros(setup.operator.limits.drain_grace.0);
    let position = setup.operator.proxy.position;
    let mut wanted = Vec::new();
    for discovery in setup.discoveries() {
        let Some(pool) = ids.get(discovery.pool_index).copied() else { continue };
        let expires_unconfirmed_list = setup.expires_unconfirmed_list && ids.first() == Some(&pool);
        let config = SubscriptionConfig { mode: discovery.mode, position, grace, expires_unconfirmed_list };
        wanted.push(Wanted { pool, address: discovery.address, config });
    }
    wanted
}
