//! Helpers to start the program with a platform configuration and to observe its process from outside.

use super::SETTINGS;
use shaletide_testkit::*;
use std::path::Path;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

/// The interval at which [`ends_within`] checks whether a process has ended.
const END_INTERVAL: Duration = Duration::from_millis(2);

/// Returns a configuration in the platform's format.
pub fn platform_configuration(discovery: &DiscoveryServer, listener: &RefusingPort) -> String {
    let known = endpoint_list_json(4, true, &[]);
    format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","known":{known},
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"settings":{SETTINGS}}}"#,
        listener.address(),
        discovery.address
    )
}

/// Creates a named pipe, which has no writer yet.
pub fn make_fifo(path: &Path) {
    let _ = std::fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

/// Sends the signal with this name; the name has no `SIG` prefix.
pub fn send_signal(process: &Child, name: &str) {
    let status = Command::new("kill").args(["-s", name, &process.id().to_string()]).status().unwrap();
    assert!(status.success());
}

/// Waits for a process to end and returns its status; `None` if it has not ended within `limit`.
pub fn ends_within(child: &mut Child, limit: Duration) -> Option<ExitStatus> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if let Some(status) = child.try_wait().unwrap() {
            return Some(status);
        }
        std::thread::sleep(END_INTERVAL);
    }
    None
}

/// Returns the names of a process's threads, sorted. A thread that ends during the call may be missing.
pub fn thread_names(process: &Child) -> Vec<String> {
    let threads = std::fs::read_dir(format!("/proc/{}/task", process.id())).unwrap();
    let name = |thread: std::fs::DirEntry| std::fs::read_to_string(thread.path().join("comm"));
    let names = threads.filter_map(|thread| Some(name(thread.ok()?).ok()?.trim_end().to_string()));
    let mut names: Vec<String> = names.collect();
    names.sort();
    names
}
