//! The signals that the program handles: blocked in every thread from its first instruction on, and read from a
//! descriptor by the event loop. No handler returns, so that nothing is lost or done twice where a call is interrupted, and a
//! signal that comes before the event loop stands waits in the kernel, or ends the program where a step of the start may
//! block for long.
//!
//! | Module | Concern |
//! |---|---|
//! | `low_level` | blocks the signals before `main`, ends the process at a signal; the unsafe code |
//! | `receiver` | reads them, repeated where a read is interrupted |
//! | `events` | tells the parts of the daemon which signals have come |

mod events;
mod low_level;
mod receiver;
#[cfg(test)]
mod tests;

pub use events::SignalEvents;
pub use receiver::SignalReceiver;

use nix::sys::signal::{SigSet, SigmaskHow, Signal};

/// The signals that end the program in an orderly way.
pub const STOP_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];
/// Those that the daemon receives: to stop, and to read the configuration again.
pub const DAEMON_SIGNALS: [Signal; 3] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
/// Those that are blocked from the first instruction on. Of a file that reaches the limit on its size (SIGXFSZ) the failed
/// write tells: a log or a store of record that is full is no reason to end.
const BLOCKED_AT_START: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ];
const _: () = assert!(mask_of(&BLOCKED_AT_START) == shaletide_entry_point::BLOCKED_SIGNALS);

/// Blocks these signals in the calling thread, and in those that it starts from now on.
pub fn block(signals: &[Signal]) {
    // It fails for an invalid operation alone, and this one is constant.
    let _ = set_of(signals).thread_block();
}

/// Unblocks these signals in the calling thread: one that has come takes effect at once.
pub fn unblock(signals: &[Signal]) {
    let _ = set_of(signals).thread_unblock(); // as above
}

/// Blocks all that the program handles once more, at the beginning of `main`: between the program's first instruction and
/// that, constructors of libraries run, and may unblock signals.
pub fn block_all() {
    block(&BLOCKED_AT_START);
}

/// Unblocks what the program has blocked, for commands that leave signals to the system: what the starter of the program has
/// blocked stays so.
pub fn restore_inherited() {
    let is_inherited = |signal: &Signal| shaletide_entry_point::inherited_mask() & mask_bit(*signal) != 0;
    let ours: Vec<Signal> = BLOCKED_AT_START.into_iter().filter(|signal| !is_inherited(signal)).collect();
    unblock(&ours);
}

/// Makes a call that may block for long; a signal to stop ends the program with status 0 at once meanwhile.
///
/// By a handler: the kernel drops a signal without one that the first process of a PID namespace does not block. The handler
/// stays for good, as a change back to an action that ignores the signal would discard one that waits; it does not run while
/// the signal is blocked.
pub fn stoppable<T>(call: impl FnOnce() -> T) -> T {
    STOP_SIGNALS.into_iter().for_each(low_level::exit_at);
    let _unblocked = UnblockedSignals::new(&STOP_SIGNALS);
    call()
}

/// Keeps signals unblocked in the thread that makes it. As it is dropped, also where the stack unwinds, that thread blocks
/// what it has blocked before.
struct UnblockedSignals {
    previous: Option<SigSet>,
}

impl UnblockedSignals {
    fn new(signals: &[Signal]) -> UnblockedSignals {
        let previous = set_of(signals).thread_swap_mask(SigmaskHow::SIG_UNBLOCK).ok(); // fails never, as above
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

/// The bit of a signal in a mask as the kernel has it.
const fn mask_bit(signal: Signal) -> u64 {
    1 << (signal as u32 - 1)
}

/// The mask of these signals as the kernel has it.
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
