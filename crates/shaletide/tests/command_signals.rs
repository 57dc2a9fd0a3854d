//! Commands other than those that serve restore the signal mask of the process that starts them.

mod harness;

use harness::start::*;
use harness::*;
use nix::sys::signal::{SigSet, SigmaskHow, Signal};
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shaletide");
/// The signals that the program blocks at its start, whatever its command.
const BLOCKED_AT_START: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ];
/// The time in which a signal that is wrongly not blocked takes effect.
const SIGNAL_DELAY: Duration = Duration::from_millis(200);
/// The limit for a signal that is not blocked to end the program, also on a loaded machine.
const END_LIMIT: Duration = Duration::from_secs(1);
/// The interval at which a test checks whether a condition holds.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Returns a command that starts the program with no signal blocked or ignored, whatever this test inherited.
fn program_with_default_signals() -> Command {
    let mut command = Command::new("env");
    command.args(["--default-signal", PROGRAM]);
    command
}

/// A `check` command that waits for its file, which it reads from a named pipe.
struct WaitingCommand {
    process: KilledOnDrop,
    pipe: std::fs::File,
    path: PathBuf,
}

impl WaitingCommand {
    /// Starts the program with `command` while these signals are blocked.
    fn start(name: &str, mut command: Command, blocked: &[Signal]) -> WaitingCommand {
        let path = std::env::temp_dir().join(format!("shaletide-command-{}-{name}", std::process::id()));
        make_fifo(&path);
        command.arg("check").arg(&path).env_remove("NODE_CONFIG").stdout(Stdio::null());
        let blocked: SigSet = blocked.iter().copied().collect();
        // A process inherits the mask of the thread that starts it.
        let previous = blocked.thread_swap_mask(SigmaskHow::SIG_SETMASK).unwrap();
        let process = KilledOnDrop(command.spawn().unwrap());
        previous.thread_set_mask().unwrap();
        let pipe = std::fs::File::create(&path).unwrap(); // returns once the program has opened the pipe
        WaitingCommand { process, pipe, path }
    }

    /// Returns the signals of [`BLOCKED_AT_START`] that the process blocks.
    fn blocked_signals(&self) -> Vec<Signal> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.0.id())).unwrap();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigBlk:")).unwrap();
        let mask = u64::from_str_radix(mask.trim(), 16).unwrap();
        BLOCKED_AT_START.into_iter().filter(|signal| mask >> (*signal as i32 - 1) & 1 == 1).collect()
    }

    fn signal(&self, name: &str) {
        send_signal(&self.process.0, name);
    }
}

impl Drop for WaitingCommand {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Guards against a command that is ended by a signal which its parent process blocked so that the command can finish.
#[test]
fn command_keeps_signals_blocked_that_its_parent_blocked() {
    let mut command =
        WaitingCommand::start("kept", Command::new(PROGRAM), &[Signal::SIGTERM, Signal::SIGHUP]);
    assert_eq!(command.blocked_signals(), [Signal::SIGTERM, Signal::SIGHUP]);
    command.signal("TERM");
    command.signal("HUP");
    std::thread::sleep(SIGNAL_DELAY);
    assert_eq!(command.process.0.try_wait().unwrap(), None, "a blocked signal ended the program");
    command.pipe.write_all(b"{").unwrap();
    command.pipe = std::fs::File::open("/dev/null").unwrap(); // closes the pipe
    assert_eq!(command.process.0.wait().unwrap().code(), Some(2), "the file is invalid");
}

/// Guards against a command that keeps signals blocked which the program blocks at its start, and then has to be killed.
#[test]
fn command_is_ended_by_signals_that_its_parent_did_not_block() {
    for (name, number) in [("TERM", libc::SIGTERM), ("INT", libc::SIGINT), ("HUP", libc::SIGHUP)] {
        let mut command = WaitingCommand::start(name, program_with_default_signals(), &[]);
        assert_eq!(command.blocked_signals(), []);
        command.signal(name);
        let status = ends_within(&mut command.process.0, END_LIMIT);
        assert_eq!(status.and_then(|status| status.signal()), Some(number), "SIG{name}: {status:?}");
    }
}

/// Waits until the process is blocked in a write to this descriptor.
fn wait_for_write(process: &Child, descriptor: i32) {
    let write = format!("{} {descriptor:#x} ", libc::SYS_write);
    let start = Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        let call = std::fs::read_to_string(format!("/proc/{}/syscall", process.id())).unwrap();
        if call.starts_with(&write) {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("the program does not write to descriptor {descriptor}");
}

/// Guards against a program that has to be killed while it writes a help text, a version or a usage error that nobody
/// reads, because the signals that it blocks at its start stay blocked.
#[test]
fn signals_end_the_program_while_it_writes_unread_help_or_usage_errors() {
    for (argument, descriptor) in [("--help", 1), ("--version", 1), ("--no-such-argument", 2)] {
        for (name, number) in [("TERM", libc::SIGTERM), ("INT", libc::SIGINT), ("HUP", libc::SIGHUP)] {
            let (_reader, writer) = full_socket();
            let writer = OwnedFd::from(writer);
            let mut command = program_with_default_signals();
            command
                .arg(argument)
                .env_remove("NODE_CONFIG")
                .stdout(writer.try_clone().unwrap())
                .stderr(writer);
            let mut process = KilledOnDrop(command.spawn().unwrap());
            wait_for_write(&process.0, descriptor);
            send_signal(&process.0, name);
            let status = ends_within(&mut process.0, END_LIMIT);
            assert_eq!(
                status.and_then(|status| status.signal()),
                Some(number),
                "{argument}, SIG{name}: {status:?}"
            );
        }
    }
}
