//! The first instructions of the program: they block its signals, and load the dynamic loader after that.
//!
//! The kernel starts a usual program that is linked dynamically in the dynamic loader, which works for half a millisecond and
//! more before anything of the program runs. By its default action a signal that comes meanwhile ends the process. So the
//! program is linked without a request for a loader (no `PT_INTERP`), and the kernel starts it at the instruction with the symbol
//! `shaletide_program_entry`. That blocks the signals by one system call, maps the loader as the kernel would have, and goes on
//! in it, with the stack that the kernel made. The loader then does all that it always does and jumps to the same
//! instruction, which now goes on to the C library's `_start`.
//!
//! All of this runs before the loader has relocated anything: no thread-local storage, nothing of the C library, no function
//! that the compiler would take from it (`memcpy`, `memset`), and no address that a relocation has to complete.
//!
//! That is so on x86-64 with glibc. Elsewhere the program starts as usual, and blocks its signals from `.preinit_array` on.
//!
//! | Module | Concern |
//! |---|---|
//! | `mask` | the signals, the call that blocks them on any processor, the mask that the starter has passed on |
//! | `entry` | the first instruction, and where the process goes from there |
//! | `entry::loader` | maps the dynamic loader |
//! | `entry::program_headers` | the program's headers with the request for a loader that its file lacks |
//! | `entry::stack` | the auxiliary vector as the kernel has laid it out |
//! | `entry::kernel` | system calls |
#![no_std]

#[cfg(all(target_os = "linux", target_env = "gnu", target_arch = "x86_64", target_pointer_width = "64"))]
mod entry;
mod mask;

pub use mask::{block_signals, inherited_mask, BLOCKED_SIGNALS};
