//! The program's entry point: blocks its signals, then loads the dynamic loader.
//!
//! The kernel starts an ordinary dynamically linked program in the dynamic loader, which runs for half a millisecond or more
//! before any code of the program. A signal that arrives meanwhile ends the process by its default action. Therefore the
//! program is linked without a request for a loader (no `PT_INTERP`), and the kernel starts it at the symbol
//! `shaletide_program_entry`. The code there blocks the signals by one system call, maps the loader as the kernel would have,
//! and continues in the loader, with the stack that the kernel made. The loader does its usual work and jumps to the same
//! symbol, whose code then continues in the C library's `_start`.
//!
//! This code runs before the loader has relocated anything: it must not use thread-local storage, the C library, functions
//! that the compiler would take from it (`memcpy`, `memset`), or addresses that need a relocation.
//!
//! This applies to x86-64 with glibc. On other targets the program starts as usual, and blocks its signals from
//! `.preinit_array`.
//!
//! | Module | Concern |
//! |---|---|
//! | `mask` | the signals, the portable function that blocks them, the inherited signal mask |
//! | `entry` | the first instruction, and where the process continues |
//! | `entry::loader` | maps the dynamic loader |
//! | `entry::program_headers` | the program's headers, completed by the request for a loader that its file lacks |
//! | `entry::stack` | the auxiliary vector on the initial stack |
//! | `entry::kernel` | system calls |
#![no_std]

#[cfg(all(target_os = "linux", target_env = "gnu", target_arch = "x86_64", target_pointer_width = "64"))]
mod entry;
mod mask;

pub use mask::{block_signals, inherited_mask, BLOCKED_SIGNALS};
