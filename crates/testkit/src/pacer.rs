//! Wakes tasks at moments to some 100 µs, from a thread of its own: timers of the runtime are as coarse as 1 to
//! 2 ms, which is as long as a request may take.

use std::collections::BTreeSet;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;

#[derive(Default)]
struct State {
    due: BTreeSet<(Instant, usize)>,
    /// Each sleeper's moment, if it has one.
    moments: Vec<Option<Instant>>,
    stopped: bool,
}

struct Shared {
    state: Mutex<State>,
    sooner: Condvar,
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

/// The thread and its sleepers, each with one moment at a time; ends when this is dropped.
pub struct Pacer {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Pacer {
    /// Starts a thread that notifies the sleeper of each place.
    ///
    /// # Errors
    /// No thread.
    pub fn start(sleepers: Vec<Arc<Notify>>) -> std::io::Result<Pacer> {
        let state = State { moments: vec![None; sleepers.len()], ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), sooner: Condvar::new() });
        let waker = shared.clone();
        let work = move || wake(&waker, &sleepers);
        let thread = std::thread::Builder::new().name("pacer".into()).spawn(work)?;
        Ok(Pacer { shared, thread: Some(thread) })
    }

    /// The sleeper of that place is notified then, once, and no more at the moment set before.
    pub fn set(&self, place: usize, moment: Option<Instant>) {
        let state = &mut *self.shared.state();
        let Some(old) = state.moments.get_mut(place) else { return };
        if *old == moment {
            return;
        }
        if let Some(old) = std::mem::replace(old, moment) {
            state.due.remove(&(old, place));
        }
        if let Some(moment) = moment {
            state.due.insert((moment, place));
            if state.due.first() == Some(&(moment, place)) {
                self.shared.sooner.notify_one();
            }
        }
    }
}

impl Drop for Pacer {
    fn drop(&mut self) {
        self.shared.state().stopped = true;
        self.shared.sooner.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn wake(shared: &Shared, sleepers: &[Arc<Notify>]) {
    let mut state = shared.state();
    while !state.stopped {
        let now = Instant::now();
        state = match state.due.first().copied() {
            Some((moment, place)) if moment <= now => {
                state.due.pop_first();
                state.moments[place] = None;
                sleepers[place].notify_one();
                state
            }
            Some((moment, _)) => {
                let waited = shared.sooner.wait_timeout(state, moment - now);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
            None => shared.sooner.wait(state).unwrap_or_else(PoisonError::into_inner),
        };
    }
}

#[cfg(test)]
mod tests;
