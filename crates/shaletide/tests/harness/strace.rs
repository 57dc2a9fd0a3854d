//! Observes or delays the system calls of a running program with strace.

use shaletide_testkit::RunningProgram;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A strace process that is attached to another process until it is dropped.
pub struct Strace {
    child: Child,
    output: PathBuf,
}

impl Strace {
    /// Attaches to all threads of a process with these further arguments and writes the trace to `output`. Returns `None`
    /// if strace is not installed or has no permission to trace.
    pub fn attach(process: u32, output: &Path, arguments: &[&str]) -> Option<Strace> {
        let mut command = Command::new("strace");
        command.args(["-f", "-o"]).arg(output).args(arguments).args(["-p", &process.to_string()]);
        let Ok(mut child) = command.stderr(Stdio::piped()).spawn() else {
            eprintln!("skipped: strace is not installed");
            return None;
        };
        let mut lines = BufReader::new(child.stderr.take()?).lines();
        // The first line reports that strace is attached, or why it is not.
        match lines.next() {
            Some(Ok(line)) if line.contains("attached") => {
                std::thread::spawn(move || lines.for_each(drop));
                Some(Strace { child, output: output.into() })
            }
            line => {
                eprintln!("skipped: strace could not attach to the process: {line:?}");
                let _ = child.wait();
                None
            }
        }
    }

    /// Stops the traced program, which has no requests in flight. Checks that it logs its stop within `limit` and exits with
    /// status 0.
    pub fn expect_quiet_stop(self, proxy: &mut RunningProgram, limit: Duration) {
        let start = Instant::now();
        proxy.signal("TERM");
        proxy.log.expect(0, "shaletide: stopped");
        assert!(start.elapsed() < limit, "the program stopped after {:?}", start.elapsed());
        drop(self); // a traced process is reaped only after its tracer has been notified
        assert!(proxy.child.wait().unwrap().success());
    }

    /// Detaches and returns the lines of the trace.
    pub fn finish(mut self) -> Vec<String> {
        self.detach();
        let text = std::fs::read_to_string(&self.output).expect("the output of strace");
        text.lines().map(String::from).collect()
    }

    /// Sends SIGINT, on which strace detaches and flushes its buffer.
    fn detach(&mut self) {
        if matches!(self.child.try_wait(), Ok(Some(_))) {
            return;
        }
        let _ = Command::new("kill").args(["-INT", &self.child.id().to_string()]).status();
        for _ in 0..500 {
            if matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Strace {
    fn drop(&mut self) {
        self.detach();
    }
}
