//! One process of the program under its guard, and the threads that listen to it.

use super::Word;
use std::ffi::OsStr;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// A line of a log is cut after so many bytes.
pub const MAX_LOG_LINE: usize = 1_000;
/// So many lines of a process's log are kept; the rest are read and dropped.
pub const MAX_LOG_LINES: usize = 20_000;

/// What was heard of a process: which, in which of its lives, when, what.
#[derive(Clone, Debug)]
pub struct Heard {
    pub proxy: usize,
    pub life: u32,
    pub at: Instant,
    pub word: Word,
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
    /// Known once the guard has told.
    pub pid: Option<u32>,
    pub life: u32,
    /// When it was asked to end.
    pub termed: Option<Instant>,
    /// It was told to end in any way.
    pub ending: bool,
    pub stopped: bool,
}

impl Process {
    /// Starts the program as `serve --config operator.toml` in its directory.
    ///
    /// # Errors
    /// The guard could not be started.
    pub fn start(launch: Launch<'_>, proxy: usize, life: u32, heard: &Sender<Heard>) -> io::Result<Process> {
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
            .process_group(0) // a terminal's signals are the lab's business
            .spawn()?;
        let orders = guard.stdin.take();
        if let Some(out) = guard.stdout.take() {
            let ended = Heard { proxy, life, at: Instant::now(), word: Word::Exited(None) };
            listen(out, usize::MAX, (proxy, life), heard.clone(), guard_word, Some(ended));
        }
        if let Some(err) = guard.stderr.take() {
            listen(err, MAX_LOG_LINES, (proxy, life), heard.clone(), |line| Some(Word::Log(line)), None);
        }
        Ok(Process { guard, orders, pid: None, life, termed: None, ending: false, stopped: false })
    }

    /// An order to the guard: the signal's name without `SIG`. It arrives within a millisecond or so.
    pub fn order(&mut self, signal: &str) {
        if let Some(orders) = &mut self.orders {
            let _ = writeln!(orders, "{signal}").and_then(|()| orders.flush());
        }
    }

    /// From now on the guard ends what it guards.
    pub fn let_go(&mut self) {
        drop(self.orders.take());
    }

    /// Waits until the guard is gone. Where it is not in time, or died before what it guards, both are killed.
    pub fn end(mut self, patience: Duration) {
        self.let_go();
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

    /// The guard is gone without a word of its child's end.
    pub fn kill_orphan(&self) {
        let group = self.pid.and_then(|pid| rustix::process::Pid::from_raw(pid as i32));
        if let Some(group) = group {
            let _ = rustix::process::kill_process_group(group, rustix::process::Signal::KILL);
        }
    }
}

fn guard_word(line: String) -> Option<Word> {
    let (word, number) = line.split_once(' ')?;
    match word {
        "pid" => Some(Word::Pid(number.parse().ok()?)),
        "exited" => Some(Word::Exited(number.parse().ok())),
        "signalled" => Some(Word::Exited(None)),
        _ => None,
    }
}

/// Reads lines on a thread of its own until the stream ends, and tells of that where there is a word for it: a guard
/// that was killed says nothing of its child's end.
fn listen(
    stream: impl Read + Send + 'static, most: usize, (proxy, life): (usize, u32), heard: Sender<Heard>,
    word: impl Fn(String) -> Option<Word> + Send + 'static, last: Option<Heard>,
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
            if let Some(word) = word(text) {
                let _ = heard.send(Heard { proxy, life, at: Instant::now(), word });
            }
        }
        if let Some(last) = last {
            let _ = heard.send(Heard { at: Instant::now(), ..last });
        }
    };
    // Without a thread nothing is heard of it, which shows as one that is never ready.
    let _ = std::thread::Builder::new().name("listener".into()).spawn(work);
}

/// Whether that is the file of a program that can be run.
pub fn runs(program: &OsStr) -> bool {
    use std::os::unix::fs::PermissionsExt;
    std::fs::metadata(program).is_ok_and(|m| m.is_file() && m.permissions().mode() & 0o111 != 0)
}
