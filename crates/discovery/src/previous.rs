//! The discovery before a move. The call that the move dropped may have been silent, so that changes which count as known
//! were missed: they are fetched by calls that do not wait for changes. Such a call is answered at once by a discovery that
//! is still there, and it has all that this discovery had at the move.

use crate::subscription::Subscription;
use crate::{apply_list, ListState, SubscriptionTarget, MOVE_ALLOWANCE};
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

/// The deadlines that follow from the last move.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MoveDeadlines {
    /// The time until which missed changes are fetched from the previous discovery. From then on the current one's list counts
    /// as known, or the pool's list has expired.
    pub(crate) fetch_previous_until: Instant,
    /// When the pool's list expires unless the current discovery sends one, also if the previous discovery answers. `None`
    /// without a move, or if a move is no reason to expire.
    pub(crate) list_expires_at: Option<Instant>,
}

impl MoveDeadlines {
    /// Returns the deadlines after another move, and sets when the pool's list expires. `state` is still that of the discovery
    /// before the move: if it has sent no list, neither has that list replaced the one before.
    pub(crate) fn after_move(self, next: SubscriptionTarget, state: &ListState) -> MoveDeadlines {
        let deadline = next.since + MOVE_ALLOWANCE + next.config.expiry_delay();
        let earlier = self.list_expires_at.filter(|_| !state.has_list());
        let expires_at = earlier.map_or(deadline, |earlier| earlier.min(deadline));
        let list_expires_at = next.config.has_expiry().then_some(expires_at);
        if let Some(at) = list_expires_at {
            state.expire_by(at);
        }
        MoveDeadlines { fetch_previous_until: state.expires_at().unwrap_or(deadline), list_expires_at }
    }
}

/// Calls the previous discovery until it answers, and applies its list. Returns earlier if that list is no longer wanted: it is
/// too late, or the current discovery has sent a list, as `state` says.
///
/// Cancel safe: if the future is dropped, the next one calls again.
pub(crate) async fn fetch_missed_changes(
    driver: &Rc<Driver>, pool: PoolId, previous: Option<&PreviousDiscovery>, deadlines: MoveDeadlines,
    state: &ListState,
) {
    let Some(previous) = previous.filter(|previous| !previous.has_answered.get()) else { return };
    let is_wanted = || !state.has_list() && Instant::now() < deadlines.fetch_previous_until;
    let subscription = Subscription::new(driver, pool, previous.target, previous.version, state);
    if let Some(list) = subscription.catch_up(is_wanted).await {
        previous.has_answered.set(true);
        apply_missed_changes(driver, pool, previous, &list);
        state.set_expiry(deadlines.list_expires_at);
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
