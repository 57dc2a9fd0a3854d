//! The backends behind the measured program, and temporary directories.

use super::{BackendSpec, CpuCapacity, Fault, Fleet, Sending};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// A directory that is removed when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let at = std::env::temp_dir().join(format!("shaletide-bench-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&at).expect("a folder");
        Folder(at)
    }

    /// Returns the path of a file in the directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running backend; it ends when this is dropped.
pub struct Stock {
    pub name: &'static str,
    pub address: SocketAddr,
    _fleet: Fleet,
}

impl Stock {
    /// Starts a backend that sends its response in one segment, or head and body apart.
    pub fn new(apart: bool) -> Stock {
        let fleet = Fleet::start(vec![BackendSpec::new("s", CpuCapacity::warm(64, 100.0))]).expect("a box");
        if apart {
            fleet.backends()[0].set_fault(Fault::Send(Sending::TwoSegments));
        }
        let name = if apart { "head and body apart" } else { "at once" };
        Stock { name, address: fleet.backends()[0].address, _fleet: fleet }
    }
}
