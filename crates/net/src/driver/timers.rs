//! The engine's timer, and the sweep of idle connections.

use super::Driver;
use crate::processor_time::{ProcessorTime, ProcessorTimeHistory};
use crate::timeout;
use shaletide_engine::Event;
use shaletide_types::{Micros, Time};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tracing::debug;

/// The part of each client's deadline that is reserved for sending the response, in addition to the lateness of timers.
const MIN_DEADLINE_MARGIN: Micros = Micros(3_000);
/// The upper bound of the reserved part, the lateness of timers included.
const MAX_DEADLINE_MARGIN: Micros = Micros(20_000);
/// The interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The timer of [`shaletide_engine::Engine::wake_at`].
#[derive(Default)]
pub(super) struct EngineTimer {
    /// The time at which the timer is set to fire.
    timer_at: Cell<Option<Time>>,
    /// Signalled when the engine needs the timer earlier than it is set.
    timer_changed: Notify,
    /// How late the timer fires: the largest lateness seen, decayed by one sixteenth each time the timer fires.
    timer_lateness: Cell<Micros>,
    /// The thread's processor time, sampled only if late timers are logged.
    processor_times: RefCell<ProcessorTimeHistory>,
}

impl EngineTimer {
    /// Makes [`Driver::run_timers`] reset the timer if the engine needs it earlier than it is set.
    pub fn notify_if_earlier(&self, wake_at: Option<Time>) {
        let Some(wake_at) = wake_at else { return };
        if self.timer_at.get().is_none_or(|timer_at| wake_at < timer_at) {
            self.timer_changed.notify_one();
        }
    }

    pub fn lateness(&self) -> Micros {
        self.timer_lateness.get()
    }

    fn record_lateness(&self, lateness: Micros) {
        let faded = Micros(self.timer_lateness.get().0 * 15 / 16);
        self.timer_lateness.set(lateness.max(faded));
    }
}

/// Whether late timers are logged.
fn lateness_logged() -> bool {
    tracing::enabled!(tracing::Level::DEBUG)
}

impl Driver {
    /// How late the engine's timer usually fires at most. A greater lateness means that the process was stopped or busy.
    pub const USUAL_TIMER_LATENESS: Micros = Micros(5_000);

    /// Returns the part of a client's deadline that is reserved for sending the response.
    pub fn deadline_margin(&self) -> Micros {
        Micros((MIN_DEADLINE_MARGIN.0 + self.timer.lateness().0).min(MAX_DEADLINE_MARGIN.0))
    }

    /// Wakes the engine at the times that it requests. Runs for the lifetime of the process; dropping the future stops all
    /// timers of requests and decisions.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            if lateness_logged() {
                self.timer.processor_times.borrow_mut().sample(self.clock.now());
            }
            let wake_at = self.state.borrow().engine.wake_at();
            self.timer.timer_at.set(wake_at);
            let Some(wake_at) = wake_at else {
                self.timer.timer_changed.notified().await;
                continue;
            };
            let due = tokio::time::sleep_until(self.clock.instant(wake_at));
            tokio::select! {
                _ = due => self.on_timer(wake_at).await,
                _ = self.timer.timer_changed.notified() => {}
            }
            // A round of decisions over large pools may take longer than the interval until the next round.
            tokio::task::yield_now().await;
        }
    }

    /// Handles the firing of the timer that was set to `wake_at`.
    async fn on_timer(self: &Rc<Self>, wake_at: Time) {
        // Responses that arrived meanwhile are read first, so that they do not count as late.
        if self.clock.now() - wake_at > Driver::USUAL_TIMER_LATENESS {
            timeout::poll_sockets().await;
        }
        let lateness = self.clock.now() - wake_at;
        if lateness > Driver::USUAL_TIMER_LATENESS && lateness_logged() {
            self.timer.processor_times.borrow_mut().sample(self.clock.now());
            self.log_lateness(wake_at, lateness);
        }
        self.timer.record_lateness(lateness);
        self.handle_event(Event::Wake);
    }

    /// Logs the timer's lateness with the thread's processor time, which distinguishes a shortage of processors from an
    /// event loop that was busy or suspended.
    fn log_lateness(&self, wake_at: Time, lateness: Micros) {
        let ProcessorTime { run, waited } = self.timer.processor_times.borrow().since(wake_at);
        let milliseconds = |span: Micros| span.0 as f64 / 1_000.0;
        let (late_ms, waited_ms, run_ms) = (milliseconds(lateness), milliseconds(waited), milliseconds(run));
        debug!(
            "the engine's timer fired {late_ms:.1} ms late; the event loop waited {waited_ms:.1} ms for a processor \
             meanwhile and ran {run_ms:.1} ms"
        );
    }

    /// Every 500 ms, closes the idle connections that the backend has closed or on which bytes have arrived. Runs for the
    /// lifetime of the process.
    pub async fn sweep_idle_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let unusable = self.state.borrow().connections.with_pending_input();
            for connection in unusable {
                self.handle_event(Event::ConnectionUnusable { connection });
            }
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            if let Some(checker) = &mut state.checker {
                checker.check_retained_state(self.clock.now(), &state.engine);
            }
        }
    }
}
