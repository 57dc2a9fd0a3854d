//! Confirmation of the list of an agent that pushes its changes: short long polls in quick succession, beside the
//! subscription.
//!
//! A call that has fallen silent looks like one for which there is no change, and if discovery then goes down, no call shows
//! what was missed. What the agent had counts as known all the same. So the list is confirmed often: a change can only be
//! missed if the calls fall silent, the change happens and discovery goes down before the next confirmation is called for.

use crate::call::{fetch, CallTimeouts, Connection, PollError};
use crate::poll_schedule::PollSchedule;
use crate::{apply_list, ListState, SubscriptionTarget};
use shaletide_balancer::{DiscoveryMode, EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::Driver;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

/// The time for which a confirmation waits for changes.
pub(crate) const CONFIRMATION_WAIT: Duration = Duration::from_millis(30);
/// The time after that wait within which a response has to begin. Beyond it, the call counts as silent and is replaced at once.
pub(crate) const CONFIRMATION_RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// Calls an agent for confirmations, each as soon as the one before has ended, and applies the changes that they return.
/// Pauses while the agent has sent no list. Returns at once if the list has to be polled.
pub(crate) async fn confirm_list(
    driver: &Rc<Driver>, pool: PoolId, target: SubscriptionTarget, state: &ListState,
) {
    if target.config.mode != DiscoveryMode::Push {
        return;
    }
    let schedule = PollSchedule::of(target.config);
    let timeouts = CallTimeouts {
        head: CONFIRMATION_WAIT + CONFIRMATION_RESPONSE_TIMEOUT,
        body_piece: schedule.response_timeout,
        body: schedule.response_timeout,
    };
    let mut connection = None;
    let mut failures = 0;
    loop {
        state.wait_for_list().await;
        let made_at = Instant::now();
        match call_agent(&mut connection, target, timeouts, state).await {
            Ok(list) => {
                failures = 0;
                on_confirmation(driver, pool, state, &list);
                // An agent that does not wait for changes would otherwise be called without a pause.
                tokio::time::sleep(CONFIRMATION_WAIT.saturating_sub(made_at.elapsed())).await;
            }
            Err(error) => {
                connection = None;
                failures += 1;
                if target.config.expires_unconfirmed_list && matches!(error, PollError::Incomplete(_)) {
                    state.expire_by(made_at + target.config.expiry_delay());
                }
                debug!("pool {}: confirmation failed, {failures} in a row: {error}", driver.pool_name(pool));
                tokio::time::sleep(pause_after(failures, schedule)).await;
            }
        }
    }
}

async fn call_agent(
    connection: &mut Option<Connection>, target: SubscriptionTarget, timeouts: CallTimeouts,
    state: &ListState,
) -> Result<List, PollError> {
    let version = state.version().unwrap_or(0);
    let uri = format!("/api/targets?after={version}&wait_ms={}", CONFIRMATION_WAIT.as_millis());
    fetch(connection, target.address, &uri, timeouts).await
}

/// Applies the changes, unless the subscription has received them meanwhile. An older version, of an agent that was restarted,
/// is left to the subscription: it confirms nothing.
fn on_confirmation(driver: &Rc<Driver>, pool: PoolId, state: &ListState, list: &List) {
    let Some(version) = state.version().filter(|_| !state.has_expired()) else { return };
    if list.index > version {
        let update = if list.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        apply_list(driver, pool, update, list);
        state.set_received(list.index);
    } else if list.index == version {
        state.set_confirmed();
    }
}

/// The first failure may be that of a call that has fallen silent; a new one shows that at once.
fn pause_after(failures: u32, schedule: PollSchedule) -> Duration {
    match failures {
        1 => Duration::ZERO,
        _ => schedule.backoff(failures - 1),
    }
}
