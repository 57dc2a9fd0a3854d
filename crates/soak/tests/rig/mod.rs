//! Runs the program with failing system calls between the testkit's stand-ins.
#![allow(dead_code)]

pub mod held_process;
pub mod late_ends;
pub mod stop_requests;

use shaletide_soak::artifacts::Artifacts;
use shaletide_soak::control::FaultControl;
pub use shaletide_testkit::*;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Seed of the shim's random numbers in these tests.
const SEED: u64 = 7;

static FOLDERS: AtomicU64 = AtomicU64::new(0);

/// A folder that is removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("shaletide-calls-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the program under test, which runs with the shim, and the control of its faults. Files in `watched` are subject to
/// disk faults.
pub fn faulty(folder: &Folder, watched: Option<&Path>) -> (Program, FaultControl) {
    let artifacts = Artifacts::find().expect("the program and the shim");
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let control = FaultControl::create(&folder.path().join(format!("faults-{number}"))).expect("a file");
    let variables = control.environment(&artifacts.shim, SEED, watched);
    let program = variables
        .into_iter()
        .fold(Program::at(&artifacts.program), |program, (name, value)| program.environment(name, value));
    (program, control)
}
