//! The subscriptions to discoveries: one for each pool whose list comes from a discovery.

use crate::setup::Setup;
use shaletide_balancer::PoolId;
use shaletide_discovery::{SubscriptionConfig, SubscriptionTarget};
use shaletide_net::Driver;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Keeps one pool's list up to date until it is dropped.
struct Subscription {
    target: watch::Sender<SubscriptionTarget>,
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

    /// Subscribes to the discoveries that the setup names, and ends the subscriptions of pools that have none any more. `ids`
    /// are the pools' numbers in their order; a discovery at a new address counts as available since `since`. To be called
    /// within a `LocalSet`.
    ///
    /// A subscription whose settings or address change goes on: a new one would not know which changes the earlier one may
    /// have missed.
    pub fn update(&mut self, setup: &Setup, ids: &[PoolId], since: Instant) {
        let required = required(setup, ids);
        self.by_pool.retain(|pool, _| required.iter().any(|required| required.pool == *pool));
        for required in required {
            match self.by_pool.get(&required.pool) {
                Some(subscription) => subscription.change_target(required, since),
                None => self.subscribe(setup, ids, required, since),
            }
        }
    }

    fn subscribe(&mut self, setup: &Setup, ids: &[PoolId], required: RequiredSubscription, since: Instant) {
        let RequiredSubscription { pool, address, config } = required;
        let (target, targets) = watch::channel(SubscriptionTarget { address, since, config });
        // An index is only valid at the discovery that the cached list came from.
        let has_cached_list = ids.first() == Some(&pool) && !setup.cached_list.endpoints.is_empty();
        let known_index = has_cached_list.then_some(setup.cached_list.index);
        let run = shaletide_discovery::run_subscription(self.driver.clone(), pool, targets, known_index);
        let task = tokio::task::spawn_local(run).abort_handle();
        self.by_pool.insert(pool, Subscription { target, task });
    }
}

impl Subscription {
    /// Switches to the discovery's address and settings, if they have changed.
    fn change_target(&self, required: RequiredSubscription, since: Instant) {
        let RequiredSubscription { address, config, .. } = required;
        self.target.send_if_modified(|target| {
            let has_changed = target.address != address || target.config != config;
            if has_changed {
                *target = SubscriptionTarget { address, since, config };
            }
            has_changed
        });
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
