//! Warns at the start of the daemon about a missing build flag.

use tracing::warn;

/// Whether the event loop wakes itself through a pipe, as `.cargo/config.toml` sets it. Otherwise it uses an eventfd, and
/// ends the process if a signal interrupts the write to it.
const WAKES_THROUGH_PIPE: bool = cfg!(mio_unsupported_force_waker_pipe);

/// Logs a warning if the build lacks the flag.
pub fn warn_about_missing_build_flag() {
    if !WAKES_THROUGH_PIPE {
        warn!(
            "built without `--cfg mio_unsupported_force_waker_pipe`: a signal can end the program while its event loop \
             wakes itself; build it with the flags of .cargo/config.toml, which RUSTFLAGS replace"
        );
    }
}
