//! Starts by a configuration of the platform, and what is seen of their processes from outside.

use super::SETTINGS;
use shaletide_testkit::*;
use std::path::Path;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

/// How often it is looked whether a process has ended.
const END_INTERVAL: Duration = Duration::from_millis(2);

/// A configuration as the platform writes it.
pub fn platform_configuration(discovery: &DiscoveryServer, listener: &RefusingPort) -> String {
    let known = endpoint_list_json(4, true, &[]);
    format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","known":{known},
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"settings":{SETTINGS}}}"#,
        listener.address(),
        discovery.address
    )
}

/// Makes a named pipe that nobody writes to yet.
pub fn make_fifo(path: &Path) {
    let _ = std::fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

/// Sends a signal, by its name without SIG.
pub fn send_signal(process: &Child, name: &str) {
    let sent = Command::new("kill").args(["-s", name, &process.id().to_string()]).status().unwrap();
    assert!(sent.success());
}

/// The status with which a process ends within that time; `None` where it does not.
pub fn ends_within(child: &mut Child, limit: Duration) -> Option<ExitStatus> {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if let Some(status) = child.try_wait().unwrap() {
            return Some(status);
        }
        std::thread::sleep(END_INTERVAL);
    }
    None
}

/// The names of a process's threads, in the order of the alphabet. One that ends meanwhile may be missing.
pub fn thread_names(process: &Child) -> Vec<String> {
    let threads = std::fs::read_dir(format!("/proc/{}/task", process.id())).unwrap();
    let name = |thread: std::fs::DirEntry| std::fs::read_to_string(thread.path().join("comm"));
    let names = threads.filter_map(|thread| Some(name(thread.ok()?).ok()?.trim_end().to_string()));
    let mut names: Vec<String> = names.collect();
    names.sort();
    names
}
