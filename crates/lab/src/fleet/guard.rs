//! `shaletide-lab guard`: the parent of one process of the program, which makes sure that the latter
//! ends when the lab does, however that ends. The lab holds the guard's standard input; orders are written there, one
//! a line, and when it closes the guard kills its child. Reports go to standard output.
//!
//! The guard signals its child only before it is reaped, so that the signal cannot reach another process that was
//! given the same id since. The child has a process group of its own, and its own children end with it.

use rustix::process::{kill_process_group, waitid, Pid, Signal, WaitId, WaitIdOptions};
use std::ffi::OsString;
use std::io::{BufRead, Write};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The exit status where the child could not be started.
const NOT_STARTED: u8 = 125;

/// The child until it is reaped.
type Guarded = Arc<Mutex<Option<Child>>>;

fn locked(child: &Guarded) -> MutexGuard<'_, Option<Child>> {
    child.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes a line for the lab; errors are ignored, as the lab may have ended.
fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Starts that command and guards it until it or the lab ends.
pub fn run(command: &[OsString]) -> ExitCode {
    let Some((program, arguments)) = command.split_first() else {
        eprintln!("shaletide-lab guard: no program to guard");
        return ExitCode::from(NOT_STARTED);
    };
    let started = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .process_group(0)
        .spawn();
    let child = match started {
        Ok(child) => child,
        Err(e) => {
            eprintln!("shaletide-lab guard: cannot start {}: {e}", program.to_string_lossy());
            return ExitCode::from(NOT_STARTED);
        }
    };
    let pid = Pid::from_child(&child);
    say(&format!("pid {}", child.id()));
    let guarded: Guarded = Arc::new(Mutex::new(Some(child)));
    let waiting = guarded.clone();
    let waiter = std::thread::spawn(move || wait(&waiting, pid));
    obey(&guarded, pid);
    if locked(&guarded).is_some() {
        let _ = kill_process_group(pid, Signal::KILL);
    }
    let _ = waiter.join();
    ExitCode::SUCCESS
}

/// Carries out orders until standard input is closed.
fn obey(guarded: &Guarded, pid: Pid) {
    for line in std::io::stdin().lock().lines() {
        let signal = match line.as_deref() {
            Ok("KILL") => Signal::KILL,
            Ok("TERM") => Signal::TERM,
            Ok("STOP") => Signal::STOP,
            Ok("CONT") => Signal::CONT,
            Ok("HUP") => Signal::HUP,
            Ok(_) => continue,
            Err(_) => return,
        };
        let child = locked(guarded);
        if child.is_some() {
            let _ = kill_process_group(pid, signal);
        }
    }
}

/// Waits for the child's end, reports it, and ends the guard.
fn wait(guarded: &Guarded, pid: Pid) {
    let ended = WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
    while matches!(waitid(WaitId::Pid(pid), ended), Err(rustix::io::Errno::INTR)) {}
    let Some(mut child) = locked(guarded).take() else { return };
    // Not reaped yet: its process id and group id are still its own.
    let _ = kill_process_group(pid, Signal::KILL);
    match child.wait().map(|status| (status.code(), status.signal())) {
        Ok((Some(code), _)) => say(&format!("exited {code}")),
        Ok((None, Some(signal))) => say(&format!("signalled {signal}")),
        _ => say("signalled 0"),
    }
    std::process::exit(0);
}
