//! Runs the clients of one process: the ordinary load, and clients that disconnect.

use super::Testbed;
use super::KILL_AFTER;
use crate::clients::{run_disconnecting_clients, ClientDisconnect};
use crate::settings::RunSettings;
use shaletide_testkit::{Load, LoadClass, LoadResult};
use shaletide_types::{DeduplicationScope, Idempotency, Micros, Time};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Rate of the ordinary load at each proxy, requests per second.
const RATE_PER_S: f64 = 40.0;
/// Mean pause between two disconnecting clients of a proxy, ms.
const DISCONNECT_PAUSE_MS: f64 = 60.0;
/// Time that a client waits for an answer after its deadline.
const ANSWER_WAIT_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// Body size of a non-idempotent request, in bytes: large enough to take several writes and reads.
const LONG_BODY_BYTES: usize = 20_000;

fn class(name: &str, idempotency: Idempotency, body: usize, deadline_us: u64) -> LoadClass {
    let deadline = Duration::from_micros(deadline_us);
    let headers = vec![("X-Account".into(), "north".into())];
    LoadClass { body_bytes: body, headers, ..LoadClass::new(name, idempotency, deadline) }
}

fn classes(settings: &RunSettings) -> Vec<LoadClass> {
    let keyed = Idempotency::Keyed(DeduplicationScope::Group, Micros(settings.deduplication_window_us));
    let [read, pay, vote] = settings.deadlines_us;
    vec![
        class("read", Idempotency::Safe, 0, read),
        class("pay", Idempotency::NonIdempotent, LONG_BODY_BYTES, pay),
        class("vote", keyed, 20, vote),
    ]
}

/// The clients of one process.
pub(super) struct Clients {
    /// Set when clients may use only connections that are already open.
    pub(super) existing_only: watch::Sender<bool>,
    /// Set when clients may not send any further request.
    stop: watch::Sender<bool>,
    load: JoinHandle<LoadResult>,
    disconnecting: JoinHandle<Vec<ClientDisconnect>>,
    disconnecting_run: u32,
}

impl Clients {
    pub(super) fn start(testbed: &Arc<Testbed>, proxy: usize, end: Time) -> Clients {
        let (existing_only, no_new) = watch::channel(false);
        let (stop, mut stopped) = watch::channel(false);
        let (to, clock) = (testbed.slots[proxy].address(), testbed.clock);
        let longest = Duration::from_micros(testbed.settings.longest_stop_us()) + KILL_AFTER;
        let remaining = Duration::from_micros((end - clock.now()).0) + longest;
        let disconnecting_run = testbed.next_client_run();
        let load = Load {
            seed: testbed.seed.wrapping_mul(7919) + u64::from(disconnecting_run),
            clock,
            late_answer_wait: ANSWER_WAIT_AFTER_DEADLINE,
            existing_connections_only: Some(no_new.clone()),
            ..Load::new(RATE_PER_S, classes(&testbed.settings), remaining)
        };
        let stop_load = async move {
            let _ = stopped.wait_for(|stop| *stop).await; // an error means that the run has ended
        };
        let load = tokio::spawn(async move { load.run_until(to, stop_load).await });
        let disconnecting = tokio::spawn(run_disconnecting_clients(
            to,
            clock,
            disconnecting_run,
            DISCONNECT_PAUSE_MS,
            no_new,
        ));
        Clients { existing_only, stop, load, disconnecting, disconnecting_run }
    }

    /// Waits for the open requests, and returns the results of the clients.
    pub(super) async fn finish(self) -> Option<(LoadResult, (u32, Vec<ClientDisconnect>))> {
        self.existing_only.send_replace(true);
        self.stop.send_replace(true);
        let (load, disconnects) = (self.load.await.ok()?, self.disconnecting.await.ok()?);
        Some((load, (self.disconnecting_run, disconnects)))
    }
}
