//! The signals that the program blocks from its first instruction on, and the mask that its starter has passed on.

use core::ptr;
use core::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The signals that are blocked, as a mask: a bit each, the lowest for signal 1. They are SIGHUP, SIGINT, SIGTERM and SIGXFSZ.
pub const BLOCKED_SIGNALS: u64 =
    bit(libc::SIGHUP) | bit(libc::SIGINT) | bit(libc::SIGTERM) | bit(libc::SIGXFSZ);

/// The size of a mask, in bytes, as the system call wants to have it.
pub(crate) const MASK_BYTES: usize = size_of::<u64>();

static INHERITED_MASK: AtomicU64 = AtomicU64::new(0);
static IS_RECORDED: AtomicBool = AtomicBool::new(false);

const fn bit(signal: i32) -> u64 {
    1 << (signal - 1)
}

/// The mask of signals that the starter of the program had blocked, as exec passes it on; 0 where neither the program's entry
/// nor [`block_signals`] has run.
pub fn inherited_mask() -> u64 {
    INHERITED_MASK.load(Ordering::Relaxed)
}

/// Records the mask that the first call to block the signals has found. Later calls find those blocked.
pub(crate) fn record_inherited(mask: u64) {
    if !IS_RECORDED.swap(true, Ordering::Relaxed) {
        INHERITED_MASK.store(mask, Ordering::Relaxed);
    }
}

/// Blocks [`BLOCKED_SIGNALS`] in the calling thread, for a place in `.preinit_array`: the loader calls the functions there
/// before all constructors. It comes first where the kernel does not start the program at its own entry: on another processor,
/// or where a user starts the loader and names the program to it.
pub extern "C" fn block_signals() {
    let signals = BLOCKED_SIGNALS;
    let mut inherited = 0_u64;
    // SAFETY: the kernel reads one mask and writes one, both of this size.
    unsafe {
        libc::syscall(
            libc::SYS_rt_sigprocmask,
            libc::SIG_BLOCK,
            ptr::from_ref(&signals),
            ptr::from_mut(&mut inherited),
            MASK_BYTES,
        );
    }
    record_inherited(inherited);
}
