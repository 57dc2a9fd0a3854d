//! The discovery before a move. The call that the move dropped may have been silent, so that changes which count as known
//! were missed: they are fetched by calls that do not wait for changes. Such a call is answered at once by a discovery that
//! is still there, and it has all that this discovery had at the move.

use crate::subscription::Subscription;
use crate::{apply_list, ListState, SubscriptionTarget};
use shaletide_balancer::{EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::Driver;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use tracing::info;

/// The discovery that sent the pool's list, after a move to another one.
#[derive(Debug)]
pub(crate) struct PreviousDiscovery {
    pub(crate) target: SubscriptionTarget,
    /// The version of its list that the pool has; `None` if a snapshot is needed.
    pub(crate) version: Option<u64>,
    /// Whether it has answered since the move, so that no change was missed.
    pub(crate) has_answered: Cell<bool>,
}

/// Calls the previous discovery until it answers, and applies its list. Returns earlier if that list is no longer wanted:
/// `until` is over, or the current discovery has sent a list, as `state` says.
///
/// Cancel safe: if the future is dropped, the next one calls again.
pub(crate) async fn fetch_missed_changes(
    driver: &Rc<Driver>, pool: PoolId, previous: Option<&PreviousDiscovery>, until: Instant,
    state: &ListState,
) {
    let Some(previous) = previous.filter(|previous| !previous.has_answered.get()) else { return };
    let is_wanted = || !state.has_list() && Instant::now() < until;
    let subscription = Subscription::new(driver, pool, previous.target, previous.version, state);
    if let Some(list) = subscription.catch_up(is_wanted).await {
        previous.has_answered.set(true);
        apply_missed_changes(driver, pool, previous, &list);
    }
}

fn apply_missed_changes(driver: &Rc<Driver>, pool: PoolId, previous: &PreviousDiscovery, list: &List) {
    info!(
        "pool {}: previous discovery at {} answered with list version {} and {} entries, earlier version {:?}",
        driver.pool_name(pool),
        previous.target.address,
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
