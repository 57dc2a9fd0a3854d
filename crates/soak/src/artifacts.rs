//! Finds the program under test and the shim. Cargo builds both into the folder of the current executable.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The build artifacts that a run needs.
#[derive(Clone, Debug)]
pub struct Artifacts {
    /// The program under test.
    pub program: PathBuf,
    /// The library preloaded into the program.
    pub shim: PathBuf,
}

impl Artifacts {
    /// Finds the files in the folder of the current executable, and builds missing ones.
    ///
    /// # Errors
    /// Cargo cannot be run, or the build fails.
    pub fn find() -> io::Result<Artifacts> {
        let own = std::env::current_exe()?;
        let folder = own
            .parent()
            .filter(|folder| folder.ends_with("deps"))
            .map_or_else(|| own.parent().map(Path::to_path_buf), |deps| deps.parent().map(Path::to_path_buf));
        let folder = folder.ok_or(io::ErrorKind::NotFound)?;
        let program = folder.join("shaletide");
        let shim = folder.join("examples/libfault_shim.so");
        let is_release = folder.ends_with("release");
        if !program.is_file() {
            build(&["--package", "shaletide", "--bin", "shaletide"], is_release)?;
        }
        if !shim.is_file() {
            build(&["--package", "shaletide-soak", "--example", "fault_shim"], is_release)?;
        }
        Ok(Artifacts { program, shim })
    }
}

fn build(target: &[&str], is_release: bool) -> io::Result<()> {
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.args(["build", "--locked"]).args(target);
    if is_release {
        cargo.arg("--release");
    }
    let status = cargo.status()?;
    if status.success() {
        Ok(())
    } else {
        Err(io::Error::other(format!("cargo build {target:?}: {status}")))
    }
}
