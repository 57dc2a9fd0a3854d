//! The signals that the program blocks from its first instruction on, and the inherited signal mask.

use core::ptr;
use core::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The mask of the blocked signals: SIGHUP, SIGINT, SIGTERM and SIGXFSZ. Bit 0 is signal 1.
pub const BLOCKED_SIGNALS: u64 =
    bit(libc::SIGHUP) | bit(libc::SIGINT) | bit(libc::SIGTERM) | bit(libc::SIGXFSZ);

/// The size of a mask, in bytes, which the system call takes as an argument.
pub(crate) const MASK_BYTES: usize = size_of::<u64>();

static INHERITED_MASK: AtomicU64 = AtomicU64::new(0);
static IS_RECORDED: AtomicBool = AtomicBool::new(false);

const fn bit(signal: i32) -> u64 {
    1 << (signal - 1)
}

/// Returns the mask of signals that were blocked when the program was started, which exec passes on; 0 if neither the program's
/// entry nor [`block_signals`] has run.
pub fn inherited_mask() -> u64 {
    INHERITED_MASK.load(Ordering::Relaxed)
}

/// Records the mask from before the first call to block the signals. Later calls are ignored, as the signals are blocked then.
pub(crate) fn record_inherited(mask: u64) {
    if !IS_RECORDED.swap(true, Ordering::Relaxed) {
        INHERITED_MASK.store(mask, Ordering::Relaxed);
    }
}

/// Blocks [`BLOCKED_SIGNALS`] in the calling thread. To be put in `.preinit_array`, whose functions the loader calls before all
/// constructors. It is the first code to block them if the kernel does not start the program at its own entry: on other
/// processors, or if a user runs the loader with the program as its argument.
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
