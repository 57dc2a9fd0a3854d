//! The build script: sets linker options and checks a compiler flag.
//!
//! The program is linked at a fixed address, so that the loader has no addresses in it to relocate. Where the target allows it,
//! the kernel starts the program in its own code instead of in the loader, as a signal that arrives before the program's first
//! instruction ends the process (see the crate `entry-point`).
//!
//! The script warns if the build lacks the flag of `.cargo/config.toml` with which the event loop wakes itself through a pipe:
//! RUSTFLAGS in the environment silently replace the flags of that file. It does not fail, as an operator may set RUSTFLAGS for
//! unrelated reasons; the program logs the same warning at its start.

/// The environment variable by which cargo passes the flag to build scripts.
const WAKER_PIPE_VARIABLE: &str = "CARGO_CFG_MIO_UNSUPPORTED_FORCE_WAKER_PIPE";

/// The symbol of the program's first instruction.
const PROGRAM_ENTRY: &str = "shaletide_program_entry";

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    println!("cargo::rustc-link-arg-bins=-no-pie");
    if loads_loader_itself() {
        println!("cargo::rustc-link-arg-bins=-Wl,--no-dynamic-linker");
        println!("cargo::rustc-link-arg-bins=-Wl,-e,{PROGRAM_ENTRY}");
    }
    check_waker_flag();
}

/// Returns whether the crate `entry-point` supports the target. On other targets the kernel starts the loader.
fn loads_loader_itself() -> bool {
    let target = |name: &str| std::env::var(format!("CARGO_CFG_TARGET_{name}")).unwrap_or_default();
    target("OS") == "linux"
        && target("ENV") == "gnu"
        && target("ARCH") == "x86_64"
        && target("POINTER_WIDTH") == "64"
}

/// Warns if the event loop would wake itself through an eventfd.
fn check_waker_flag() {
    println!("cargo::rustc-check-cfg=cfg(mio_unsupported_force_waker_pipe)");
    if std::env::var_os(WAKER_PIPE_VARIABLE).is_none() {
        println!(
            "cargo::warning=built without `--cfg mio_unsupported_force_waker_pipe`: a signal can end the program while its \
             event loop wakes itself. RUSTFLAGS in the environment replace the flags of .cargo/config.toml; add it to them."
        );
    }
}
