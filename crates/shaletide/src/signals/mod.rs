//! The signals that the program handles. They are blocked in every thread from its first instruction on, and the event loop
//! reads them from a descriptor. No handler returns, so that no interrupted call loses work or does it twice. A signal that
//! arrives before the event loop runs stays pending in the kernel, or ends the program while a step of the start may block for
//! long.
//!
//! | Module | Concern |
//! |---|---|
//! | `low_level` | blocks the signals before `main`, ends the process at a signal; the unsafe code |
//! | `receiver` | reads the signals, and repeats interrupted reads |
//! | `events` | passes received signals to the parts of the daemon |

mod events;
mod low_level;
mod receiver;
#[cfg(test)]
mod tests;

pub use events::SignalEvents;
pub use receiver::SignalReceiver;

use nix::sys::signal::{SigSet, SigmaskHow, Signal};

/// The stop signals: they end the program in an orderly way.
pub const STOP_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];
/// The signals that the daemon receives: to stop, and to reload the configuration.
pub const DAEMON_SIGNALS: [Signal; 3] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
/// The signals that are blocked from the first instruction on. SIGXFSZ (a file at the limit on its size) is among them, as the
/// failed write reports the same: a log or a store of record that is full must not end the process.
const BLOCKED_AT_START: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ];
const _: () = assert!(mask_of(&BLOCKED_AT_START) == shaletide_entry_point::BLOCKED_SIGNALS);

/// Blocks these signals in the calling thread, and in threads that it starts afterwards.
pub fn block(signals: &[Signal]) {
    // Fails only for an invalid operation, and this one is constant.
    let _ = set_of(signals).thread_block();
}

/// Unblocks these signals in the calling thread; a pending one takes effect at once.
pub fn unblock(signals: &[Signal]) {
    let _ = set_of(signals).thread_unblock(); // as above
}

/// Blocks all handled signals again, at the beginning of `main`: constructors of libraries have run since the program's first
/// instruction, and may have unblocked signals.
pub fn block_all() {
    block(&BLOCKED_AT_START);
}

/// Unblocks the signals that the program has blocked, for commands that keep the default actions. Signals that were blocked
/// when the program was started stay blocked.
pub fn restore_inherited() {
    let is_inherited = |signal: &Signal| shaletide_entry_point::inherited_mask() & mask_bit(*signal) != 0;
    let ours: Vec<Signal> = BLOCKED_AT_START.into_iter().filter(|signal| !is_inherited(signal)).collect();
    unblock(&ours);
}

/// Makes a call that may block for long; meanwhile a stop signal ends the program at once with status 0.
///
/// This takes a handler: for the first process of a PID namespace the kernel drops an unblocked signal without one. The handler
/// stays installed, as a change back to an action that ignores the signal would discard a pending one; it does not run while
/// the signal is blocked.
pub fn stoppable<T>(call: impl FnOnce() -> T) -> T {
    STOP_SIGNALS.into_iter().for_each(low_level::exit_at);
    let _unblocked = UnblockedSignals::new(&STOP_SIGNALS);
    call()
}

/// Keeps signals unblocked in the thread that creates it. As it is dropped, also during a panic, it restores the thread's
/// previous mask.
struct UnblockedSignals {
    previous: Option<SigSet>,
}

impl UnblockedSignals {
    fn new(signals: &[Signal]) -> UnblockedSignals {
        let previous = set_of(signals).thread_swap_mask(SigmaskHow::SIG_UNBLOCK).ok(); // never fails, as above
        UnblockedSignals { previous }
    }
}

impl Drop for UnblockedSignals {
    fn drop(&mut self) {
        if let Some(previous) = &self.previous {
            let _ = previous.thread_set_mask(); // as above
        }
    }
}

/// Returns the bit of a signal in a kernel signal mask.
const fn mask_bit(signal: Signal) -> u64 {
    1 << (signal as u32 - 1)
}

/// Returns the kernel signal mask of these signals.
const fn mask_of(signals: &[Signal]) -> u64 {
    let mut mask = 0;
    let mut index = 0;
    while index < signals.len() {
        mask |= mask_bit(signals[index]);
        index += 1;
    }
    mask
}

fn set_of(signals: &[Signal]) -> SigSet {
    signals.iter().copied().collect()
}
