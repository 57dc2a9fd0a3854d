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
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn sleepers_are_woken_in_order_and_not_at_moments_that_were_put_off() {
        let sleepers: Vec<_> = (0..3).map(|_| Arc::new(Notify::new())).collect();
        let pacer = Pacer::start(sleepers.clone()).expect("a thread");
        let begun = Instant::now();
        let after = |ms| Some(begun + Duration::from_millis(ms));
        pacer.set(0, after(60));
        pacer.set(1, after(20));
        pacer.set(2, after(1));
        pacer.set(2, None);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
        let woken = runtime.block_on(async {
            let mut woken = Vec::new();
            for _ in 0..2 {
                tokio::select! {
                    () = sleepers[0].notified() => woken.push(0),
                    () = sleepers[1].notified() => woken.push(1),
                    () = sleepers[2].notified() => woken.push(2),
                }
                woken.push(begun.elapsed().as_millis() as usize / 20);
            }
            woken
        });
        assert!(woken[0] == 1 && woken[2] == 0 && woken[1] >= 1 && woken[3] >= 3, "{woken:?}");
    }
}
