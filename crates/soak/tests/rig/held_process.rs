//! Sends signals by the system call itself, and stops processes.

use std::time::{Duration, Instant};

/// Maximum wait until a process is stopped.
const STILL_WAIT: Duration = Duration::from_secs(5);

/// Sends a signal to a process of the test; the call returns once it is pending there.
pub fn send_signal(pid: u32, signal: libc::c_int) {
    let pid = libc::pid_t::try_from(pid).expect("a process id");
    // SAFETY: a system call on plain numbers. The process is a child that was not waited for, so its id is its own.
    let result = unsafe { libc::kill(pid, signal) };
    assert_eq!(result, 0, "signal {signal} to {pid}");
}

/// Stops a process with SIGSTOP, and returns once it is stopped.
pub fn stop_process(pid: u32) {
    send_signal(pid, libc::SIGSTOP);
    let until = Instant::now() + STILL_WAIT;
    while !is_stopped(pid) {
        assert!(Instant::now() < until, "{pid} does not stop");
        std::hint::spin_loop();
    }
}

/// Continues a stopped process.
pub fn continue_process(pid: u32) {
    send_signal(pid, libc::SIGCONT);
}

/// Returns whether a process is in the state `T`: stopped by a signal.
fn is_stopped(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('T'))
}
