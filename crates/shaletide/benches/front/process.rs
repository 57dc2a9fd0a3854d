//! Reads the kernel's figures about a process, and pins processes to cores.

use std::path::Path;
use std::process::{Command, Stdio};

/// The cores that this process may use.
#[derive(Debug)]
pub struct Cores(Vec<usize>);

impl Cores {
    pub fn own() -> Cores {
        let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let list = text.lines().find_map(|line| line.strip_prefix("Cpus_allowed_list:")).unwrap_or_default();
        let range = |part: &str| {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            Some(first.trim().parse::<usize>().ok()?..=last.trim().parse::<usize>().ok()?)
        };
        Cores(list.split(',').filter_map(range).flatten().collect())
    }

    /// Pins all threads of a process to one core: number 0 for the measured process, the next numbers for others.
    pub fn pin(&self, pid: u32, number: usize) {
        if let Some(core) = self.0.get(number) {
            let mut command = Command::new("taskset");
            command.args(["-acp", &core.to_string(), &pid.to_string()]).stdout(Stdio::null());
            let _ = command.status();
        }
    }
}

impl std::fmt::Display for Cores {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let model = text.lines().find_map(|line| line.strip_prefix("model name")).unwrap_or(": unknown");
        write!(f, "{} of the cores of {}", self.0.len(), model.trim_start_matches([' ', '\t', ':']))
    }
}

/// Returns the number in a line of `/proc/PID/status`, such as `VmRSS` in kB.
pub fn status(pid: u32, name: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Returns the number of open descriptors of a process.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns the processor time of the first thread of a process, in ns (requests are handled by this thread alone). The
/// resolution is 10 ms if the kernel has no schedstat.
pub fn processor_time(pid: u32) -> u64 {
    let first = |text: String| text.split_whitespace().next()?.parse().ok();
    let exact = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok().and_then(first);
    exact.unwrap_or_else(|| {
        let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        (ticks(11) + ticks(12)) * 10_000_000
    })
}

/// Returns whether the program is installed, and prints a line if it is not.
pub fn is_installed(program: &str) -> bool {
    let paths = std::env::var_os("PATH").unwrap_or_default();
    let is_found = std::env::split_paths(&paths).any(|folder| folder.join(program).is_file());
    if !is_found {
        println!("not measured: no {program}\n");
    }
    is_found
}

/// Returns the size of a file, in bytes.
pub fn size(path: &Path) -> u64 {
    path.metadata().map_or(0, |m| m.len())
}
