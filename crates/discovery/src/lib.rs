//! Lists of backends, watched: the platform's agent, or a discovery that has to be asked. What comes is handed to
//! the driver; what it means is the machines' to say.
#![forbid(unsafe_code)]

mod call;
mod poll_schedule;

use call::{fetch, CallTimeouts, PollError};
use poll_schedule::PollSchedule;
use shaletide_balancer::{DiscoveryMode, EndpointUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::{timeout, Driver};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::sync::watch::Receiver;
use tracing::{info, warn};

/// After a move what the new discovery has counts as told so much later.
const MOVED: Duration = Duration::from_secs(4);

/// What is known of a discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchConfig {
    /// Whether it is to be asked.
    pub mode: DiscoveryMode,
    /// This proxy's number among all that watch it.
    pub position: u32,
    /// Nothing new may go to a backend later than this after discovery has told that it drains or is gone.
    pub grace: Duration,
    /// What it has counts as told from the start, and soon after a move, heard or not: a list from before that
    /// is gone by no longer than the grace lasts.
    pub strict: bool,
}

/// Where discovery is, and since when: the start of the program, or the signal that moved it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has counts from then on, or soon after.
    pub since: Instant,
}

/// Keeps the list up to date for as long as the program runs. When discovery moves the call that is out is
/// dropped at once, as it may wait for long. An index means nothing to another discovery: the list is taken
/// whole there.
///
/// Ends only by being dropped, which leaves the pool with the list that it has.
pub async fn watch(
    driver: Rc<Driver>, pool: PoolId, mut moved: Receiver<DiscoveryEndpoint>, known: Option<u64>,
    terms: WatchConfig,
) {
    // An agent's answers cost nothing: begin with the truth.
    let mut index = known.filter(|_| terms.mode != DiscoveryMode::Push);
    let heard = Cell::new(false);
    // Some of the grace is left for what is on its way.
    let mut until = moved.borrow().since + terms.grace * 3 / 4;
    loop {
        let at = moved.borrow_and_update().address;
        tokio::select! {
            _ = async { tokio::join!(follow(&driver, pool, at, index, terms, &heard), expire(&driver, pool, until, terms, &heard)) } => {}
            Ok(()) = moved.changed() => {
                let again = moved.borrow().since + MOVED + terms.grace * 3 / 4;
                until = if heard.replace(false) { again } else { until.min(again) };
                index = None;
            }
        }
    }
}

/// Takes all backends out of use at that moment, unless discovery has been heard: it may have known for as long as the
/// grace lasts that they drain. Its first list brings back those that serve.
async fn expire(driver: &Rc<Driver>, pool: PoolId, until: Instant, terms: WatchConfig, heard: &Cell<bool>) {
    if !terms.strict || terms.mode != DiscoveryMode::Push {
        return;
    }
    // Where the start itself took that long nothing may be served by that list, not even for a turn of the event loop.
    if Instant::now() < until {
        timeout::sleep_until(until.into()).await;
    }
    if !heard.get() {
        warn!("discovery has not been heard: its list of before is too old to go by");
        driver.update_endpoints(pool, EndpointUpdate::Snapshot, Vec::new());
    }
}

/// Follows one discovery for ever, from that index on or from the whole list.
async fn follow(
    driver: &Rc<Driver>, pool: PoolId, at: SocketAddr, from: Option<u64>, terms: WatchConfig,
    heard: &Cell<bool>,
) {
    let WatchConfig { mode, position, grace, .. } = terms;
    let asked = mode != DiscoveryMode::Push;
    let (mut whole, mut index) = (from.is_none(), from.unwrap_or(0));
    let (mut connection, mut failures, mut waits, mut previous_timed_out) = (None, 0u32, 0u32, false);
    let own = if asked { PollSchedule::polling(grace) } else { PollSchedule::pushing(grace) };
    // A call of the module's is answered once, by what it missed; only what follows waits for news.
    let mut catches_up = asked && !whole;
    if catches_up {
        driver.subscribe_requested(pool).await;
    }
    loop {
        let wait = if catches_up { Duration::ZERO } else { own.long_poll_wait(position, waits) };
        let uri = match whole {
            true => "/api/targets".to_string(),
            false => format!("/api/targets?after={index}&wait_ms={}", wait.as_millis()),
        };
        let waits_for_news = !whole && !catches_up;
        waits = waits.wrapping_add(u32::from(waits_for_news));
        let call_timeout = if waits_for_news {
            wait + own.response_timeout
        } else {
            own.immediate_timeout(previous_timed_out)
        };
        let asked_at = Instant::now();
        let timeouts = CallTimeouts {
            head: call_timeout,
            body_piece: own.response_timeout,
            body: own.body_timeout(failures),
        };
        let answer =
            fetch(&mut connection, at, &uri, timeouts).await.and_then(|list| require_snapshot(list, whole));
        previous_timed_out = !waits_for_news && matches!(answer, Err(PollError::TimedOut));
        match answer {
            Ok(list) => {
                if failures > 0 {
                    info!("discovery is back at {}", list.index);
                }
                let nothing_new = waits_for_news && list.index == index;
                (failures, catches_up) = (0, false);
                // Changes against a newer list than the answer's: discovery began anew, so take it whole.
                let gap = !list.snapshot && list.index < index;
                if !gap {
                    let update = if list.snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
                    tell(driver, pool, update, &list);
                    heard.set(true);
                    index = list.index;
                }
                whole = gap;
                // One that does not wait for news, or goes back each time, is not asked as fast as it answers.
                if nothing_new || gap {
                    tokio::time::sleep(own.min_pause.saturating_sub(asked_at.elapsed())).await;
                }
            }
            Err(e) => {
                connection = None;
                failures += 1;
                if failures.is_power_of_two() {
                    warn!("discovery failed: {e}");
                }
                // It may not know that version any more, nor ever again.
                whole |= matches!(e, PollError::Status(..500));
                if asked {
                    forget(driver.subscribe_requested(pool)).await;
                    driver.update_endpoints(pool, EndpointUpdate::SubscriptionLost, Vec::new());
                    // When to ask again is the module's to say, but not without bound.
                    let latest = own.latest_retry(asked_at, Instant::now(), position, failures);
                    let _ = tokio::time::timeout_at(latest.into(), driver.subscribe_requested(pool)).await;
                } else {
                    tokio::time::sleep(own.backoff(failures)).await;
                }
                // Whether it is back shows at once.
                catches_up = true;
            }
        }
    }
}

/// A call for a snapshot wants a snapshot.
fn require_snapshot(list: List, wanted: bool) -> Result<List, PollError> {
    if wanted && !list.snapshot {
        return Err(PollError::NotASnapshot);
    }
    Ok(list)
}

/// The module may have asked for a call while one was out, or before the first: that one is made, and calls for no other
/// at once when it fails.
async fn forget(asked: impl Future<Output = ()>) {
    let mut asked = pin!(asked);
    let _ = poll_fn(|cx| Poll::Ready(asked.as_mut().poll(cx))).await;
}

/// Hands a list on. Of the entries that make no sense one is logged, with their number: a list may be long.
pub fn tell(driver: &Rc<Driver>, pool: PoolId, update: EndpointUpdate, list: &List) {
    let (entries, skipped) = list.entries();
    if let Some(skipped) = skipped {
        warn!("{} discovery entries skipped, the first: {:.400}", skipped.count, skipped.first);
    }
    driver.set_list_version(pool, list.index);
    driver.update_endpoints(pool, update, entries);
}
