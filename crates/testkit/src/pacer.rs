//! Wakes tasks on a separate thread with an accuracy of about 100 µs. The timers of the runtime are accurate to 1 to 2 ms
//! only, which is as long as a request may take.

use std::collections::BTreeSet;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;

#[derive(Default)]
struct State {
    due: BTreeSet<(Instant, usize)>,
    /// The wake-up time of each sleeper, if it has one.
    wake_times: Vec<Option<Instant>>,
    stopped: bool,
}

struct Shared {
    state: Mutex<State>,
    earlier: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for Pacer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a pacer")
    }
}

/// A timer thread with its sleepers, each with one wake-up time. The thread ends when this is dropped.
pub struct Pacer {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Pacer {
    /// Starts a timer thread for these sleepers.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(sleepers: Vec<Arc<Notify>>) -> std::io::Result<Pacer> {
        let state = State { wake_times: vec![None; sleepers.len()], ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), earlier: Condvar::new() });
        let thread_shared = shared.clone();
        let work = move || run_timer(&thread_shared, &sleepers);
        let thread = std::thread::Builder::new().name("pacer".into()).spawn(work)?;
        Ok(Pacer { shared, thread: Some(thread) })
    }

    /// Sets the time at which the sleeper with this index is notified once. It replaces the time set before; `None` clears
    /// it.
    pub fn set(&self, index: usize, wake_time: Option<Instant>) {
        let state = &mut *self.shared.state();
        let Some(old) = state.wake_times.get_mut(index) else { return };
        if *old == wake_time {
            return;
        }
        if let Some(old) = std::mem::replace(old, wake_time) {
            state.due.remove(&(old, index));
        }
        if let Some(wake_time) = wake_time {
            state.due.insert((wake_time, index));
            if state.due.first() == Some(&(wake_time, index)) {
                self.shared.earlier.notify_one();
            }
        }
    }
}

impl Drop for Pacer {
    fn drop(&mut self) {
        self.shared.state().stopped = true;
        self.shared.earlier.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_timer(shared: &Shared, sleepers: &[Arc<Notify>]) {
    let mut state = shared.state();
    while !state.stopped {
        let now = Instant::now();
        state = match state.due.first().copied() {
            Some((wake_time, index)) if wake_time <= now => {
                state.due.pop_first();
                state.wake_times[index] = None;
                sleepers[index].notify_one();
                state
            }
            Some((wake_time, _)) => {
                let waited = shared.earlier.wait_timeout(state, wake_time - now);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            None => shared.earlier.wait(state).unwrap_or_else(PoisonError::into_inner),
        };
    }
}

#[cfg(test)]
mod tests;
