//! The clients of one process: the ordinary load, and clients that leave.

use super::processes::KILL_AFTER;
use super::World;
use crate::clients::{leave, Departure};
use crate::settings::RunSettings;
use shaletide_testkit::{Load, LoadClass, LoadResult};
use shaletide_types::{DeduplicationScope, Idempotency, Micros, Time};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Requests a second of the ordinary load at each proxy.
const RATE_PER_S: f64 = 40.0;
/// The mean pause between two clients of a proxy that leave, ms.
const LEAVE_PAUSE_MS: f64 = 60.0;
/// A client waits so long after its deadline for an answer that comes late.
const PATIENCE_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// The body of a request that is unsafe to repeat, in bytes: some writes and reads.
const LONG_BODY: usize = 20_000;

fn class(name: &str, effect: Idempotency, body: usize, deadline_us: u64) -> LoadClass {
    let deadline = Duration::from_micros(deadline_us);
    let headers = vec![("X-Account".into(), "north".into())];
    LoadClass { body, headers, ..LoadClass::new(name, effect, deadline) }
}

fn classes(settings: &RunSettings) -> Vec<LoadClass> {
    let keyed = Idempotency::Keyed(DeduplicationScope::Group, Micros(settings.window_us));
    let [read, pay, vote] = settings.deadlines_us;
    vec![
        class("read", Idempotency::Safe, 0, read),
        class("pay", Idempotency::NonIdempotent, LONG_BODY, pay),
        class("vote", keyed, 20, vote),
    ]
}

/// The clients of one process.
pub(super) struct Clients {
    /// No new connections any more.
    pub(super) existing_only: watch::Sender<bool>,
    /// Nothing any more.
    stop: watch::Sender<bool>,
    load: JoinHandle<LoadResult>,
    leaving: JoinHandle<Vec<Departure>>,
    leaving_run: u32,
}

impl Clients {
    pub(super) fn start(world: &Arc<World>, place: usize, end: Time) -> Clients {
        let (existing_only, no_new) = watch::channel(false);
        let (stop, mut stopped) = watch::channel(false);
        let (to, clock) = (world.slots[place].address(), world.clock);
        let longest = Duration::from_micros(world.settings.longest_stop_us()) + KILL_AFTER;
        let left = Duration::from_micros((end - clock.now()).0) + longest;
        let leaving_run = world.next_run();
        let load = Load {
            seed: world.seed.wrapping_mul(7919) + u64::from(leaving_run),
            clock,
            patience: PATIENCE_AFTER_DEADLINE,
            existing_connections_only: Some(no_new.clone()),
            ..Load::new(RATE_PER_S, classes(&world.settings), left)
        };
        let stop_load = async move {
            let _ = stopped.wait_for(|stop| *stop).await; // or the run has ended
        };
        let load = tokio::spawn(async move { load.run_until(to, stop_load).await });
        let leaving = tokio::spawn(leave(to, clock, leaving_run, LEAVE_PAUSE_MS, no_new));
        Clients { existing_only, stop, load, leaving, leaving_run }
    }

    /// Waits for what is open, and returns what the clients got.
    pub(super) async fn end(self) -> Option<(LoadResult, (u32, Vec<Departure>))> {
        self.existing_only.send_replace(true);
        self.stop.send_replace(true);
        let (load, departures) = (self.load.await.ok()?, self.leaving.await.ok()?);
        Some((load, (self.leaving_run, departures)))
    }
}
