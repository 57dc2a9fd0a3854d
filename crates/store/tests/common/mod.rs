//! Test directories for stores, and child processes that work on them.
#![allow(dead_code, reason = "each test file uses some of it")]

pub mod writer_harness;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use shaletide_store::conformance::plain_sum;
use shaletide_store::{verify, SqliteOptions, SqliteStore, Verified};

/// A directory for one test, removed when dropped.
pub struct TestDirectory {
    path: PathBuf,
}

impl TestDirectory {
    pub fn new(name: &str) -> TestDirectory {
        static CREATED: AtomicU32 = AtomicU32::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let name = format!("shaletide-store-{name}-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        TestDirectory { path }
    }
    pub fn dir(&self) -> &Path {
        &self.path
    }
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
    pub fn db(&self) -> PathBuf {
        self.file("record.db")
    }
    pub fn options(&self) -> SqliteOptions {
        SqliteOptions::new(self.db())
    }
    pub fn open(&self) -> SqliteStore {
        SqliteStore::open(&self.options()).expect("opens")
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

pub fn verified(store: &SqliteStore) -> Verified {
    verify(store, &plain_sum, None).expect("verifies")
}

/// Returns the path of the example `child`. `cargo test` builds it with the tests, `cargo test --test NAME` does not.
pub fn child_program() -> PathBuf {
    let tests = std::env::current_exe().expect("a path");
    let program = tests.parent().and_then(Path::parent).expect("target").join("examples/child");
    assert!(program.exists(), "not built yet: cargo build -p shaletide-store --example child");
    program
}

pub fn child(args: &[&str]) -> Command {
    let mut command = Command::new(child_program());
    command.args(args);
    command
}

pub fn is_installed(program: &str) -> bool {
    Command::new(program).arg("--version").output().is_ok_and(|out| out.status.success())
}
