//! Commands other than those that serve leave signals as whoever starts them has set them.

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
/// Signals that the program blocks as it begins, whatever it is to do.
const BLOCKED_AT_START: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ];
/// How long a signal that is blocked may take to show that it is not.
const SIGNAL_TIME: Duration = Duration::from_millis(200);
/// A signal that is not blocked has ended the program by then, on a loaded machine too.
const END_LIMIT: Duration = Duration::from_secs(1);
/// How often a test looks whether something has come about.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The program with no signal blocked or ignored as it starts, whatever the starter of this test has set.
fn program_with_default_signals() -> Command {
    let mut command = Command::new("env");
    command.args(["--default-signal", PROGRAM]);
    command
}

/// A command that waits for a file which comes by a pipe.
struct WaitingCommand {
    process: KilledOnDrop,
    pipe: std::fs::File,
    path: PathBuf,
}

impl WaitingCommand {
    /// Starts the program by that command with these signals blocked.
    fn start(name: &str, mut command: Command, blocked: &[Signal]) -> WaitingCommand {
        let path = std::env::temp_dir().join(format!("shaletide-command-{}-{name}", std::process::id()));
        make_fifo(&path);
        command.arg("check").arg(&path).env_remove("NODE_CONFIG").stdout(Stdio::null());
        let blocked: SigSet = blocked.iter().copied().collect();
        // The mask of this test's thread, which a process inherits.
        let previous = blocked.thread_swap_mask(SigmaskHow::SIG_SETMASK).unwrap();
        let process = KilledOnDrop(command.spawn().unwrap());
        previous.thread_set_mask().unwrap();
        let pipe = std::fs::File::create(&path).unwrap(); // the program has opened it, too
        WaitingCommand { process, pipe, path }
    }

    /// Which of [`BLOCKED_AT_START`] it blocks.
    fn blocked(&self) -> Vec<Signal> {
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

/// Guards against a command that a signal ends which its starter has blocked, to let it finish.
#[test]
fn command_keeps_signals_blocked_that_its_starter_has_blocked() {
    let mut command =
        WaitingCommand::start("kept", Command::new(PROGRAM), &[Signal::SIGTERM, Signal::SIGHUP]);
    assert_eq!(command.blocked(), [Signal::SIGTERM, Signal::SIGHUP]);
    command.signal("TERM");
    command.signal("HUP");
    std::thread::sleep(SIGNAL_TIME);
    assert_eq!(command.process.0.try_wait().unwrap(), None, "a signal that was blocked has ended it");
    command.pipe.write_all(b"{").unwrap();
    command.pipe = std::fs::File::open("/dev/null").unwrap(); // it is closed
    assert_eq!(command.process.0.wait().unwrap().code(), Some(2), "the file is invalid");
}

/// Guards against a command that keeps the signals blocked which the program blocks as it begins, and has to be killed.
#[test]
fn command_is_ended_by_signals_that_its_starter_has_not_blocked() {
    for (name, number) in [("TERM", libc::SIGTERM), ("INT", libc::SIGINT), ("HUP", libc::SIGHUP)] {
        let mut command = WaitingCommand::start(name, program_with_default_signals(), &[]);
        assert_eq!(command.blocked(), []);
        command.signal(name);
        let status = ends_within(&mut command.process.0, END_LIMIT);
        assert_eq!(status.and_then(|status| status.signal()), Some(number), "SIG{name}: {status:?}");
    }
}

/// Waits until the process writes to that descriptor and cannot go on.
fn wait_for_write(process: &Child, descriptor: i32) {
    let write = format!("{} {descriptor:#x} ", libc::SYS_write);
    let begun = Instant::now();
    while begun.elapsed() < WAIT_LIMIT {
        let call = std::fs::read_to_string(format!("/proc/{}/syscall", process.id())).unwrap();
        if call.starts_with(&write) {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("it does not write");
}

/// Guards against help, a version or a usage error that nobody reads and that has to be killed, as the signals which the
/// program blocks as it begins stay blocked.
#[test]
fn text_on_arguments_that_nobody_reads_is_ended_by_signals() {
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
