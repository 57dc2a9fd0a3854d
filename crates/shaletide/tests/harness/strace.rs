//! System calls of a running program, watched or delayed from outside by strace.

use shaletide_testkit::RunningProgram;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A strace that is attached to a process until it is dropped.
pub struct Strace {
    child: Child,
    output: PathBuf,
}

impl Strace {
    /// Attaches to all threads of a process with these further arguments and writes what it sees to `output`; `None`
    /// where there is no strace or it may not trace.
    pub fn attach(process: u32, output: &Path, arguments: &[&str]) -> Option<Strace> {
        let mut command = Command::new("strace");
        command.args(["-f", "-o"]).arg(output).args(arguments).args(["-p", &process.to_string()]);
        let Ok(mut child) = command.stderr(Stdio::piped()).spawn() else {
            eprintln!("skipped: no strace here");
            return None;
        };
        let mut lines = BufReader::new(child.stderr.take()?).lines();
        // The first line says that it is attached, or why not.
        match lines.next() {
            Some(Ok(line)) if line.contains("attached") => {
                std::thread::spawn(move || lines.for_each(drop));
                Some(Strace { child, output: output.into() })
            }
            line => {
                eprintln!("skipped: strace may not trace here: {line:?}");
                let _ = child.wait();
                None
            }
        }
    }

    /// Stops the traced program, whose clients have left: it says so within that time, and ends with status 0.
    pub fn expect_quiet_stop(self, proxy: &mut RunningProgram, limit: Duration) {
        let begun = Instant::now();
        proxy.signal("TERM");
        proxy.log.expect(0, "shaletide: stopped");
        assert!(begun.elapsed() < limit, "it has stopped after {:?}", begun.elapsed());
        drop(self); // a process that is traced is not gone before its tracer has taken note
        assert!(proxy.child.wait().unwrap().success());
    }

    /// Detaches, and returns the lines written.
    pub fn finish(mut self) -> Vec<String> {
        self.detach();
        let text = std::fs::read_to_string(&self.output).expect("strace's output");
        text.lines().map(String::from).collect()
    }

    /// SIGINT lets strace detach and write out what it has buffered.
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
