//! The one module with unsafe code: a function in a section of the executable, which the loader calls before `main`, a signal
//! handler, and the registration of a descriptor with the event loop, whose lifetime the types cannot check.
#![allow(unsafe_code)]

use nix::sys::signal::{sigaction, SaFlags, SigAction, SigHandler, SigSet, Signal};
use nix::sys::signalfd::SignalFd;
use std::io;
use tokio::io::unix::AsyncFd;
use tokio::io::Interest;

/// Blocks the program's signals before `main`, and before the C library and the Rust runtime initialize themselves, unless the
/// first instruction of the program has already done so. Otherwise their default action would end the process until the
/// event loop runs, some milliseconds later.
///
/// The loader calls the entries of this section before all other code of the process, while it has one thread.
#[cfg(not(test))]
#[used]
#[link_section = ".preinit_array"]
static BLOCK_AT_START: extern "C" fn() = shaletide_entry_point::block_signals;

/// Makes the process end at once with status 0 when a thread that does not block this signal receives it.
pub(super) fn exit_at(signal: Signal) {
    let action = SigAction::new(SigHandler::Handler(exit_at_once), SaFlags::empty(), SigSet::empty());
    // SAFETY: the handler makes one system call, which may be made at any moment, and does not return.
    let _ = unsafe { sigaction(signal, &action) }; // fails only for signals that cannot be handled
}

extern "C" fn exit_at_once(_signal: libc::c_int) {
    // SAFETY: POSIX allows the call in a signal handler.
    unsafe { libc::_exit(libc::EXIT_SUCCESS) }
}

/// Registers the descriptor with the event loop in whose context this is called.
///
/// # Errors
/// The error of the system call.
pub(super) fn watch(descriptor: SignalFd) -> io::Result<AsyncFd<SignalFd>> {
    // SAFETY: the descriptor is open, belongs to the object, and is closed only as that is dropped.
    Ok(unsafe { AsyncFd::register_with_interest(descriptor, Interest::READABLE) }?)
}
