//! One start of the program, which is stopped at a moment, receives signals, and continues.

use super::guards::{Folder, Process};
use super::moment::{self, Moment, Paths};
use super::tracer::{TraceError, Tracee};
use nix::sys::signal::{kill, SigSet, Signal};
use nix::unistd::Pid;
use shaletide_soak::artifacts::Artifacts;
use shaletide_soak::control::FaultControl;
use shaletide_testkit::{
    endpoint_list_json, ok_reply, read_request, BackendServer, Client, Clock, Entry, ListServer,
    RefusingPort, SETTINGS,
};
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Maximum time for a process to end, or to fulfil the awaited condition, even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time after the first answer in which a wrongly taken signal appears in the log on an idle machine.
const LOG_DELAY: Duration = Duration::from_millis(100);
/// Seed of the shim's random numbers. No call fails.
const SHIM_SEED: u64 = 7;
/// The answers of the backends.
const EARLIER: &str = "earlier";
const LATER: &str = "later";
/// Name of the proxy in its configuration by `NODE_CONFIG`.
const NODE_NAME: &str = "n0";

const DEPLOY_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
/// Suffix of `run` in the deploy file.
const DEPLOYED_PROGRAM: &str = "exec target/release/shaletide";
/// Shell script that stops itself, and then executes the program under test.
const STOP_AND_EXECUTE: &str = r#"kill -STOP $$; exec "$0" "$@""#;

/// State that a process inherits from its starter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inherited {
    /// Nothing special.
    Nothing,
    /// The soak's shim is preloaded.
    Shim,
    /// SIGHUP is blocked.
    Blocked,
    /// SIGHUP is ignored: started by `nohup`.
    IgnoredByNohup,
    /// SIGHUP is ignored: started by a shell with `trap '' HUP`.
    IgnoredByShell,
    /// The shell line `run` of the deploy file.
    DeployFile,
    /// The loader binds all functions at the start.
    BoundAtStart,
}

impl Inherited {
    /// Returns the script of the shell that stops itself and executes the program. `env` restores the default action of
    /// SIGHUP even if the test itself was started by `nohup`, which no shell can undo.
    fn shell_line(self) -> String {
        match self {
            Inherited::IgnoredByNohup => r#"kill -STOP $$; exec nohup "$0" "$@""#.into(),
            Inherited::IgnoredByShell => format!("trap '' HUP; {STOP_AND_EXECUTE}"),
            Inherited::DeployFile => deploy_run_line().replace(DEPLOYED_PROGRAM, STOP_AND_EXECUTE),
            Inherited::Blocked => STOP_AND_EXECUTE.into(),
            _ => r#"kill -STOP $$; exec env --default-signal=HUP "$0" "$@""#.into(),
        }
    }

    fn earlier_execs(self) -> usize {
        let executes_once =
            matches!(self, Inherited::IgnoredByShell | Inherited::DeployFile | Inherited::Blocked);
        usize::from(!executes_once)
    }

    /// Returns whether SIGHUP is ignored as the program starts.
    pub fn ignores(self) -> bool {
        matches!(self, Inherited::IgnoredByNohup | Inherited::IgnoredByShell | Inherited::DeployFile)
    }
}

/// Returns the shell line of the platform from the deploy file.
fn deploy_run_line() -> String {
    let deploy = std::fs::read_to_string(DEPLOY_FILE).expect("the deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let line = line.expect("`run` in the deploy file");
    assert!(line.ends_with(DEPLOYED_PROGRAM), "{line}");
    line.to_string()
}

/// The condition that is awaited before a process is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// It ends because of the signals alone.
    End,
    /// It serves by the later file.
    Served,
    /// It serves by the later file, and has logged that it took the file at SIGHUP.
    Taken,
}

/// The end of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The signals ended it, within this time.
    EndedBy(Signal),
    /// It ended by itself, with this status.
    Exited(i32),
    /// It served by what the file held as the signals were sent, and ended with status 0 at SIGTERM. `taken`: it has also
    /// logged that it took the file at SIGHUP.
    Served {
        /// See above.
        taken: bool,
    },
}

/// The way in which the program receives its configuration.
enum Form {
    /// `serve --config FILE`: the file names the backend.
    OperatorFile,
    /// `NODE_CONFIG`, as on the platform: the file names a discovery service, which lists the backend.
    NodeConfig,
}

impl Form {
    /// Returns the number of the log's thread among the threads of a start, from 1. With an operators' file the first one
    /// reports a silent start.
    fn log_thread(&self) -> usize {
        match self {
            Form::OperatorFile => 2,
            Form::NodeConfig => 1,
        }
    }
}

/// A backend, and a discovery service that lists it.
struct Destination {
    backend: BackendServer,
    discovery: ListServer,
}

impl Destination {
    fn start(answer: &'static str) -> Destination {
        let backend = BackendServer::start(move |_| ok_reply(answer));
        let entry = Entry::new(answer, backend.address, "east", "big", 1);
        let discovery = ListServer::start(Clock::start(), &[NODE_NAME], vec![entry]).expect("a discovery");
        Destination { backend, discovery }
    }
}

/// The common parts of trials: the program, and a backend for each of two configurations.
pub struct Testbed {
    form: Form,
    artifacts: Artifacts,
    /// A library that is preloaded.
    preloaded: Option<PathBuf>,
    earlier: Destination,
    later: Destination,
}

impl Testbed {
    pub fn new() -> Testbed {
        Testbed {
            form: Form::OperatorFile,
            artifacts: Artifacts::find().expect("the program and the shim"),
            preloaded: None,
            earlier: Destination::start(EARLIER),
            later: Destination::start(LATER),
        }
    }

    /// Returns a testbed whose program is started by `NODE_CONFIG`.
    pub fn by_node_config() -> Testbed {
        Testbed { form: Form::NodeConfig, ..Testbed::new() }
    }

    /// Returns a testbed with another program.
    pub fn of_program(program: PathBuf) -> Testbed {
        let mut testbed = Testbed::new();
        testbed.artifacts.program = program;
        testbed
    }

    /// Returns a testbed whose program has a preloaded library.
    pub fn with_library(library: PathBuf) -> Testbed {
        Testbed { preloaded: Some(library), ..Testbed::new() }
    }

    /// Starts the program, stops it at this moment, rewrites its configuration, sends the signals in this order, and continues
    /// it. Returns the outcome, and the time from the signals to its end without the time for which it or this thread waited
    /// for a processor.
    pub fn trial(
        &self, inherited: Inherited, moment: Moment, signals: &[Signal], expected: Expected,
    ) -> Result<(Outcome, Duration), TraceError> {
        Trial::start(self, inherited).run(signals, |tracee, paths, earlier_execs| {
            moment.reach(tracee, paths, earlier_execs)?;
            Ok(expected)
        })
    }

    /// Runs a trial of SIGHUP at the stop with this number, from 1, among those before and after the system calls of the
    /// program's main thread. Returns the outcome and the required one; `None` if its event loop waits before that stop.
    pub fn trial_at_stop(&self, number: usize) -> Result<Option<(Outcome, Outcome)>, TraceError> {
        let mut required = Outcome::EndedBy(Signal::SIGHUP);
        let played =
            Trial::start(self, Inherited::Nothing).run(&[Signal::SIGHUP], |tracee, _, earlier_execs| {
                let is_masked = moment::reach_stop(number, tracee, earlier_execs)?;
                if is_masked {
                    required = Outcome::Served { taken: true };
                }
                Ok(if is_masked { Expected::Taken } else { Expected::End })
            });
        match played {
            Ok((outcome, _)) => Ok(Some((outcome, required))),
            Err(TraceError::NotReached(_)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Starts the program, inspects it at the moment to which `inspect` runs it, and kills it.
    pub fn inspect<T>(
        &self, inherited: Inherited,
        inspect: impl FnOnce(&mut Tracee, &Paths, usize) -> Result<T, TraceError>,
    ) -> Result<T, TraceError> {
        Trial::start(self, inherited).hold(inspect).map(|(_, inspected)| inspected)
    }

    /// Returns the path of the program.
    pub fn program(&self) -> &Path {
        &self.artifacts.program
    }

    fn configuration(&self, listen_port: &RefusingPort, destination: &Destination) -> String {
        match self.form {
            Form::OperatorFile => operator_file(listen_port.address(), destination.backend.address),
            Form::NodeConfig => node_config(listen_port.address(), destination.discovery.address(0)),
        }
    }

    /// Adds the arguments or the environment variable with the configuration.
    fn add_configuration(&self, command: &mut Command, configuration: &Path) {
        match self.form {
            Form::OperatorFile => command.args(["serve", "--self-check", "--config"]).arg(configuration),
            Form::NodeConfig => command.arg("--self-check").env("NODE_CONFIG", configuration),
        };
    }
}

fn operator_file(listen: SocketAddr, backend: SocketAddr) -> String {
    format!(
        "[[listener]]\naddress = \"{}\"\n\
             [[class]]\nname = \"read\"\naim = \"900ms\"\ndeadline = \"3s\"\n\
             [[pool]]\nname = \"p\"\nboxes = [\"{}\"]\n",
        listen, backend
    )
}

fn node_config(listen: SocketAddr, discovery: SocketAddr) -> String {
    let known = endpoint_list_json(0, true, &[]);
    format!(
        r#"{{"name":"{NODE_NAME}","listen":"{listen}","discovery":"{discovery}","seed":"1",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

struct Trial<'a> {
    testbed: &'a Testbed,
    inherited: Inherited,
    folder: Folder,
    listen_port: RefusingPort,
    process: Process,
    /// The result of [`Trial::processor_wait`] when the process was last checked.
    processor_waited: Duration,
    _control: Option<FaultControl>,
}

impl<'a> Trial<'a> {
    /// Starts the shell that stops itself and then executes the program.
    fn start(testbed: &'a Testbed, inherited: Inherited) -> Trial<'a> {
        let (folder, listen_port) = (Folder::new("signal-moments"), RefusingPort::new());
        let configuration = folder.file("proxy.toml");
        std::fs::write(&configuration, testbed.configuration(&listen_port, &testbed.earlier))
            .expect("a file");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &inherited.shell_line()]).arg(&testbed.artifacts.program);
        testbed.add_configuration(&mut command, &configuration);
        command.current_dir(folder.path());
        let log = File::create(folder.file("log")).expect("a file");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let mut control = None;
        if inherited == Inherited::Shim {
            let made = FaultControl::create(&folder.file("faults")).expect("a file");
            made.preload(&mut command, &testbed.artifacts.shim, SHIM_SEED, None);
            control = Some(made);
        }
        if let Some(library) = &testbed.preloaded {
            command.env("LD_PRELOAD", library);
        }
        if inherited == Inherited::BoundAtStart {
            command.env("LD_BIND_NOW", "1");
        }
        let process = Process(spawn(&mut command, inherited == Inherited::Blocked));
        Trial {
            testbed,
            inherited,
            folder,
            listen_port,
            process,
            processor_waited: Duration::ZERO,
            _control: control,
        }
    }

    fn configuration(&self) -> PathBuf {
        self.folder.file("proxy.toml")
    }

    /// Stops the process at the moment to which `reach` runs it, and returns the result of `reach`.
    fn hold<T>(
        &self, reach: impl FnOnce(&mut Tracee, &Paths, usize) -> Result<T, TraceError>,
    ) -> Result<(Tracee, T), TraceError> {
        let mut tracee = Tracee::take(self.process.0.id())?;
        let paths = Paths {
            program: self.testbed.program(),
            configuration: &self.configuration(),
            log_thread: self.testbed.form.log_thread(),
        };
        let reached = reach(&mut tracee, &paths, self.inherited.earlier_execs())?;
        Ok((tracee, reached))
    }

    /// Runs the trial with the signals at the moment to which `reach` runs the process. `reach` returns the expected condition.
    fn run(
        mut self, signals: &[Signal],
        reach: impl FnOnce(&mut Tracee, &Paths, usize) -> Result<Expected, TraceError>,
    ) -> Result<(Outcome, Duration), TraceError> {
        let (tracee, expected) = self.hold(reach)?;
        self.rewrite(&self.configuration());
        for signal in signals {
            self.send(*signal);
        }
        let (sent, waited_before) = (Instant::now(), self.processor_wait());
        self.processor_waited = waited_before;
        tracee.release()?;
        let outcome = match expected {
            Expected::End => outcome_of(self.wait()),
            _ => self.serve(expected),
        };
        let waited = self.processor_waited.saturating_sub(waited_before);
        Ok((outcome, sent.elapsed().saturating_sub(waited)))
    }

    /// Atomically replaces the earlier configuration by the later one.
    fn rewrite(&self, configuration: &Path) {
        let next = configuration.with_extension("next");
        std::fs::write(&next, self.testbed.configuration(&self.listen_port, &self.testbed.later))
            .expect("a file");
        std::fs::rename(&next, configuration).expect("a file");
    }

    fn send(&self, signal: Signal) {
        kill(Pid::from_raw(self.process.0.id() as i32), signal).expect("a process");
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.file("log")).unwrap_or_default()
    }

    fn has_taken(&self) -> bool {
        self.log().contains("SIGHUP: taken")
    }

    /// Waits until the process answers by the later configuration, or has ended; then stops it.
    fn serve(&mut self, expected: Expected) -> Outcome {
        let until = Instant::now() + TIMEOUT;
        while !(self.answers_by_later() && (expected == Expected::Served || self.has_taken())) {
            if let Some(status) = self.process.0.try_wait().expect("a process") {
                return outcome_of(status);
            }
            assert!(Instant::now() < until, "{expected:?} does not come:\n{}", self.log());
            std::thread::sleep(POLL_INTERVAL);
        }
        if expected == Expected::Served {
            std::thread::sleep(LOG_DELAY);
        }
        self.send(Signal::SIGTERM);
        match outcome_of(self.wait()) {
            Outcome::Exited(0) => Outcome::Served { taken: self.has_taken() },
            outcome => outcome,
        }
    }

    fn answers_by_later(&self) -> bool {
        self.log().contains("listens on ")
            && Client::connect(self.listen_port.address()).request(&read_request(3.0)).body
                == LATER.as_bytes()
    }

    /// Returns the time for which the process's main thread and this thread were runnable but waited for a processor.
    fn processor_wait(&self) -> Duration {
        let of = |folder: String| {
            let text = std::fs::read_to_string(format!("/proc/{folder}/schedstat")).ok()?;
            text.split_whitespace().nth(1)?.parse().ok().map(Duration::from_nanos)
        };
        let waits = [of(self.process.0.id().to_string()), of("thread-self".into())];
        waits.into_iter().flatten().sum()
    }

    fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + TIMEOUT;
        loop {
            self.processor_waited = self.processor_waited.max(self.processor_wait());
            if let Some(status) = self.process.0.try_wait().expect("a process") {
                return status;
            }
            assert!(Instant::now() < until, "it has not ended:\n{}", self.log());
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Starts a process with SIGHUP blocked or not, regardless of this thread's mask, which a child inherits.
fn spawn(command: &mut Command, is_hangup_blocked: bool) -> Child {
    let mut signals = SigSet::thread_get_mask().expect("a mask");
    let before = signals;
    match is_hangup_blocked {
        true => signals.add(Signal::SIGHUP),
        false => signals.remove(Signal::SIGHUP),
    }
    signals.thread_set_mask().expect("a mask");
    let child = command.spawn();
    before.thread_set_mask().expect("a mask");
    child.expect("a process")
}

fn outcome_of(status: ExitStatus) -> Outcome {
    let signal = status.signal().and_then(|number| Signal::try_from(number).ok());
    signal.map_or_else(|| Outcome::Exited(status.code().unwrap_or(-1)), Outcome::EndedBy)
}
