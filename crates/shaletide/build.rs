//! Settings of the program's build.
//!
//! It links the program at a fixed address, so that the loader has no address in it to relocate, and where it can so that the
//! kernel starts it in its own code instead of in the loader: a signal that comes before the program's first instruction ends
//! the process (crate `entry-point`).
//!
//! It warns where the build lacks the flag of `.cargo/config.toml` by which the event loop wakes itself through a pipe:
//! RUSTFLAGS in the environment replace the flags of that file without a word. It warns and does not fail, as flags that
//! have nothing to do with it are no reason to refuse an operator's build; the program says the same at its start.

/// The flag's name as cargo tells a build script of it.
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

/// Whether the crate `entry-point` has a first instruction for the target: on other ones the kernel starts the loader.
fn loads_loader_itself() -> bool {
    let target = |name: &str| std::env::var(format!("CARGO_CFG_TARGET_{name}")).unwrap_or_default();
    target("OS") == "linux"
        && target("ENV") == "gnu"
        && target("ARCH") == "x86_64"
        && target("POINTER_WIDTH") == "64"
}

/// Warns where the event loop would wake itself through an eventfd.
fn check_waker_flag() {
    println!("cargo::rustc-check-cfg=cfg(mio_unsupported_force_waker_pipe)");
    if std::env::var_os(WAKER_PIPE_VARIABLE).is_none() {
        println!(
            "cargo::warning=built without `--cfg mio_unsupported_force_waker_pipe`: a signal can end the program while its \
             event loop wakes itself. RUSTFLAGS in the environment replace the flags of .cargo/config.toml; add it to them."
        );
    }
}
