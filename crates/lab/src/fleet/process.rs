//! One process of the program under its guard, and the threads that read its output.

use super::ProcessReport;
use std::ffi::OsStr;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// Maximum length of a log line, bytes; a longer one is split.
pub const MAX_LOG_LINE: usize = 1_000;
/// Maximum number of log lines kept of a process; the rest are read and dropped.
pub const MAX_LOG_LINES: usize = 20_000;

/// A report of a process, with its proxy, the count of its starts and the time.
#[derive(Clone, Debug)]
pub struct ProcessMessage {
    pub proxy: usize,
    pub life: u32,
    pub at: Instant,
    pub report: ProcessReport,
}

/// How a process is started.
#[derive(Clone, Copy, Debug)]
pub struct Launch<'a> {
    pub lab: &'a Path,
    pub program: &'a Path,
    pub directory: &'a Path,
    pub descriptors: u64,
}

/// A guard with its process.
#[derive(Debug)]
pub struct Process {
    guard: Child,
    orders: Option<ChildStdin>,
    /// Known once the guard has reported it.
    pub pid: Option<u32>,
    pub life: u32,
    /// When it was sent SIGTERM.
    pub termed: Option<Instant>,
    /// It was signalled to end, by whichever signal.
    pub ending: bool,
    pub stopped: bool,
}

impl Process {
    /// Starts the program as `serve --config operator.toml` in its directory.
    ///
    /// # Errors
    /// The guard could not be started.
    pub fn start(
        launch: Launch<'_>, proxy: usize, life: u32, sender: &Sender<ProcessMessage>,
    ) -> io::Result<Process> {
        let limit = format!("ulimit -n {}; exec \"$0\" \"$@\"", launch.descriptors);
        let mut guard = Command::new(launch.lab)
            .args(["guard", "--", "sh", "-c", &limit])
            .arg(launch.program)
            .args(["serve", "--config", "operator.toml"])
            .current_dir(launch.directory)
            .env_remove("NODE_CONFIG")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .process_group(0) // signals of the terminal are handled by the lab
            .spawn()?;
        let orders = guard.stdin.take();
        if let Some(out) = guard.stdout.take() {
            let ended =
                ProcessMessage { proxy, life, at: Instant::now(), report: ProcessReport::Exited(None) };
            listen(out, usize::MAX, (proxy, life), sender.clone(), guard_report, Some(ended));
        }
        if let Some(err) = guard.stderr.take() {
            listen(
                err,
                MAX_LOG_LINES,
                (proxy, life),
                sender.clone(),
                |line| Some(ProcessReport::Log(line)),
                None,
            );
        }
        Ok(Process { guard, orders, pid: None, life, termed: None, ending: false, stopped: false })
    }

    /// Sends an order to the guard: the signal's name without `SIG`. It arrives within about a millisecond.
    pub fn order(&mut self, signal: &str) {
        if let Some(orders) = &mut self.orders {
            let _ = writeln!(orders, "{signal}").and_then(|()| orders.flush());
        }
    }

    /// Closes the channel of orders, whereupon the guard ends its process.
    pub fn close_orders(&mut self) {
        drop(self.orders.take());
    }

    /// Waits until the guard has ended. If it does not in time, or died before its process, both are killed.
    pub fn end(mut self, patience: Duration) {
        self.close_orders();
        let until = Instant::now() + patience;
        let sound = loop {
            match self.guard.try_wait() {
                Ok(Some(status)) => break status.success(),
                Ok(None) if Instant::now() < until => std::thread::sleep(Duration::from_millis(2)),
                _ => break false,
            }
        };
        if !sound {
            let _ = self.guard.kill();
            let _ = self.guard.wait();
            self.kill_orphan();
        }
    }

    /// Kills the process group of a guard that died without reporting its child's end.
    pub fn kill_orphan(&self) {
        let group = self.pid.and_then(|pid| rustix::process::Pid::from_raw(pid as i32));
        if let Some(group) = group {
            let _ = rustix::process::kill_process_group(group, rustix::process::Signal::KILL);
        }
    }
}

fn guard_report(line: String) -> Option<ProcessReport> {
    let (kind, number) = line.split_once(' ')?;
    match kind {
        "pid" => Some(ProcessReport::Pid(number.parse().ok()?)),
        "exited" => Some(ProcessReport::Exited(number.parse().ok())),
        "signalled" => Some(ProcessReport::Exited(None)),
        _ => None,
    }
}

/// Reads lines on a thread of its own until the stream ends, and then sends `last`, if given: a guard that was killed
/// does not report its child's end.
fn listen(
    stream: impl Read + Send + 'static, most: usize, (proxy, life): (usize, u32),
    sender: Sender<ProcessMessage>, parse: impl Fn(String) -> Option<ProcessReport> + Send + 'static,
    last: Option<ProcessMessage>,
) {
    let work = move || {
        let mut stream = BufReader::new(stream);
        let (mut line, mut lines) = (Vec::new(), 0);
        loop {
            line.clear();
            match (&mut stream).take(MAX_LOG_LINE as u64).read_until(b'\n', &mut line) {
                Ok(read) if read > 0 => {}
                _ => break,
            }
            lines += 1;
            if lines > most {
                continue;
            }
            let text = String::from_utf8_lossy(&line).trim_end().to_string();
            if let Some(report) = parse(text) {
                let _ = sender.send(ProcessMessage { proxy, life, at: Instant::now(), report });
            }
        }
        if let Some(last) = last {
            let _ = sender.send(ProcessMessage { at: Instant::now(), ..last });
        }
    };
    // Without a thread no report arrives, and the process counts as never ready.
    let _ = std::thread::Builder::new().name("listener".into()).spawn(work);
}

/// Whether the path is an executable file.
pub fn runs(program: &OsStr) -> bool {
    use std::os::unix::fs::PermissionsExt;
    std::fs::metadata(program).is_ok_and(|m| m.is_file() && m.permissions().mode() & 0o111 != 0)
}
