//! Measures how many processes SIGHUP ends, by the time from their start to the signal.
//!
//! The program blocks SIGHUP in its first instructions. The signal ends the process in the window before them, in which the
//! kernel executes it. There is no such window if the process that starts the program blocks the signal first.
//!
//! `cargo test --locked --release -p shaletide-soak --test start_window -- --ignored --nocapture --test-threads=1`

mod guards;

use guards::{Folder, Process};
use shaletide_soak::artifacts::Artifacts;
use shaletide_soak::hangups::blocks_hangup;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

/// Number of starts for each moment.
const STARTS: usize = 100;
/// Times from the return of the call that starts the process to the signal.
const MOMENTS: [Duration; 7] = [
    Duration::ZERO,
    Duration::from_micros(250),
    Duration::from_micros(500),
    Duration::from_micros(1000),
    Duration::from_micros(1500),
    Duration::from_micros(2000),
    Duration::from_micros(3000),
];
/// Maximum time for a process to end by SIGHUP, even on a busy machine.
const END_TIME: Duration = Duration::from_millis(50);
/// Final part of a pause, which is spent spinning for the exact moment.
const EXACT_PART: Duration = Duration::from_micros(200);

/// A running shell that sends SIGHUP on request: starting `kill` each time would take a millisecond.
struct Sender {
    shell: Child,
    requests: ChildStdin,
    answers: BufReader<ChildStdout>,
}

impl Sender {
    fn new() -> Sender {
        let script = "while read -r process; do kill -s HUP \"$process\"; echo \"$?\"; done";
        let mut command = Command::new("sh");
        command.args(["-c", script]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut shell = command.spawn().unwrap();
        let requests = shell.stdin.take().unwrap();
        let answers = BufReader::new(shell.stdout.take().unwrap());
        Sender { shell, requests, answers }
    }

    /// Sends SIGHUP to a process that is not waited for yet, and returns once it is sent.
    fn hang_up(&mut self, process: &Process) {
        writeln!(self.requests, "{}", process.id()).unwrap();
        let mut status = String::new();
        self.answers.read_line(&mut status).unwrap();
        assert_eq!(status, "0\n", "kill's status");
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.shell.kill(); // it may have ended
        let _ = self.shell.wait();
    }
}

fn wait_until(moment: Instant) {
    let left = moment.saturating_duration_since(Instant::now());
    std::thread::sleep(left.saturating_sub(EXACT_PART));
    while Instant::now() < moment {
        std::hint::spin_loop();
    }
}

/// Returns whether SIGHUP at this time after its start ends a process.
fn is_ended_by_hangup(process: &mut Process, sender: &mut Sender, moment: Duration) -> bool {
    wait_until(Instant::now() + moment);
    sender.hang_up(process);
    std::thread::sleep(END_TIME);
    let Some(status) = process.0.try_wait().unwrap() else { return false };
    assert_eq!(status.signal(), Some(1), "ended, and not by SIGHUP: {status}");
    true
}

/// Starts processes in rounds, each with every moment once, and returns how many have ended, by moment.
fn count_ended() -> [usize; MOMENTS.len()] {
    let artifacts = Artifacts::find().expect("the program and the shim");
    let folder = Folder::new("start-window");
    let mut sender = Sender::new();
    let mut ended = [0; MOMENTS.len()];
    for _ in 0..STARTS {
        for (moment, ended) in MOMENTS.into_iter().zip(&mut ended) {
            let mut process = Process::start(&artifacts, &folder);
            *ended += usize::from(is_ended_by_hangup(&mut process, &mut sender, moment));
        }
    }
    ended
}

fn load_average() -> String {
    std::fs::read_to_string("/proc/loadavg").unwrap_or_default().trim().to_owned()
}

/// Prints how many processes end. If this process blocks SIGHUP, its children inherit the mask, and none may end.
#[test]
#[ignore = "a measurement: 700 starts, a minute"]
fn ends_by_the_moment_of_the_signal() {
    let is_blocked = blocks_hangup(std::process::id()).expect("this process");
    let how = if is_blocked { "with SIGHUP blocked" } else { "as usual" };
    println!("started {how}; load average {}", load_average());
    let counts = count_ended();
    for (moment, ended) in MOMENTS.into_iter().zip(counts) {
        println!("{:4} us after the start: {ended} of {STARTS} ended", moment.as_micros());
    }
    println!("load average {}", load_average());
    if is_blocked {
        assert_eq!(counts, [0; MOMENTS.len()], "ended of {STARTS} each, though SIGHUP is blocked");
    }
}

/// Guards against a program that unblocks an inherited SIGHUP: repeats the measurement in a process that blocks it.
#[test]
#[ignore = "a measurement: 700 starts, a minute"]
fn no_process_ends_whose_starter_blocks_the_signal() {
    let own = std::env::current_exe().unwrap();
    let mut command = Command::new("env");
    command.arg("--block-signal=HUP").arg(own);
    command.args(["--exact", "ends_by_the_moment_of_the_signal", "--ignored", "--nocapture"]);
    let output = command.output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    println!("{text}");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains("started with SIGHUP blocked"), "the block is not inherited");
}
