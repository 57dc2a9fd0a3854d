//! Starts that cannot create the thread of the log.

mod harness;

use harness::start::*;
use harness::*;
use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// An address space, in KiB, that is enough for the program but not for a thread's stack of [`LARGE_STACK`].
const ADDRESS_SPACE_KIB: u32 = 524_288;
/// The stack of a thread, in bytes.
const LARGE_STACK: &str = "1073741824";
/// The beginning of the line on a repeated system call, written while there is no log.
const SHORTAGE: &str = "shaletide: a system call at the start failed for ";
/// The time between two such lines, in seconds by the program's clock, even on a loaded machine.
const LINE_INTERVAL: std::ops::Range<f64> = 0.9..3.0;
/// The most such lines of a start by an operators' file: it retries for 8 s, with a line at once and then one each second.
const MAX_SHORTAGE_LINES: usize = 9;
/// The number of pauses of 20 ms after which a start must still be retrying.
const PAUSES: u32 = 10;

/// Guards against a panic in the log's library in place of a message that says why the program cannot start.
#[test]
fn start_by_operators_file_without_threads_ends_with_its_reason() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let file = std::env::temp_dir().join(format!("shaletide-no-threads-{}.toml", std::process::id()));
    let listener = RefusingPort::new();
    let text =
        format!("listen = \"{}\"\n{CLASSES}{}", listener.address(), pool("p", &[(backend.address, "a")]));
    std::fs::write(&file, text).unwrap();
    let shell_script = format!("ulimit -S -v {ADDRESS_SPACE_KIB}; exec \"$0\" serve --config \"$1\"");
    let mut command = Command::new("sh");
    command.args(["-c", &shell_script, env!("CARGO_BIN_EXE_shaletide")]).arg(&file);
    command.env("RUST_MIN_STACK", LARGE_STACK).env_remove("NODE_CONFIG").stdout(Stdio::null());
    let output = command.stderr(Stdio::piped()).output().unwrap();
    let error_text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{error_text}");
    let lines: Vec<&str> = error_text.lines().collect();
    let (last, shortages) = lines.split_last().expect("lines");
    assert!(last.starts_with("shaletide: cannot start the log: "), "{error_text}");
    assert!(shortages.iter().all(|line| line.starts_with(SHORTAGE)), "{error_text}");
    assert!((1..=MAX_SHORTAGE_LINES).contains(&shortages.len()), "{error_text}");
    std::fs::remove_file(&file).unwrap();
}

/// A start by a platform's configuration, with address space for the program but not for the log's thread.
struct ThreadlessStart {
    process: KilledOnDrop,
    listener: RefusingPort,
    configuration: PathBuf,
    _discovery: DiscoveryServer,
}

impl ThreadlessStart {
    fn new(name: &str, standard_error: impl Into<Stdio>) -> ThreadlessStart {
        let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
        let name = format!("shaletide-no-threads-{}-{name}.json", std::process::id());
        let configuration = std::env::temp_dir().join(name);
        std::fs::write(&configuration, platform_configuration(&discovery, &listener)).unwrap();
        let shell_script = format!("ulimit -S -v {ADDRESS_SPACE_KIB}; exec \"$0\"");
        let mut command = Command::new("sh");
        command.args(["-c", &shell_script, env!("CARGO_BIN_EXE_shaletide")]).stdout(Stdio::null());
        command.env("RUST_MIN_STACK", LARGE_STACK).env("NODE_CONFIG", &configuration);
        let process = KilledOnDrop(command.stderr(standard_error).spawn().unwrap());
        ThreadlessStart { process, listener, configuration, _discovery: discovery }
    }

    /// Removes the limit that prevents the process from creating threads.
    fn allow_threads(&self) {
        let pid = Pid::from_raw(self.process.0.id() as i32);
        let limit = Rlimit { current: None, maximum: getrlimit(Resource::As).maximum };
        prlimit(pid, Resource::As, limit).unwrap();
    }

    /// Waits until the shell has executed the program.
    fn wait_for_program(&self) {
        let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_shaletide")).unwrap();
        let link = Path::new("/proc").join(self.process.0.id().to_string()).join("exe");
        let begun = Instant::now();
        while std::fs::read_link(&link).ok().as_ref() != Some(&program) {
            assert!(begun.elapsed() < WAIT_LIMIT, "the shell has not executed the program");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits until the program is ready.
    fn expect_ready(&self) {
        let begun = Instant::now();
        while std::net::TcpStream::connect(self.listener.address()).is_err() {
            assert!(begun.elapsed() < WAIT_LIMIT, "the program does not become ready");
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut client = Client::connect(self.listener.address());
        assert_eq!(client.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    }
}

impl Drop for ThreadlessStart {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.configuration);
    }
}

/// Guards against a start that waits for its log's thread without a line that says so.
#[test]
fn start_without_threads_reports_the_shortage_at_once_and_then_once_a_second() {
    let mut start = ThreadlessStart::new("says-so", Stdio::piped());
    let log = Log::follow(start.process.0.stderr.take().unwrap());
    let mut next = 0;
    let mut times = Vec::new();
    for _ in 0..4 {
        let (number, line) = log.wait(next, |_| true).expect("a line");
        next = number + 1;
        let time = line.strip_prefix(SHORTAGE).and_then(|rest| rest.split(' ').next());
        times.push(time.unwrap_or_else(|| panic!("{line}")).parse::<f64>().unwrap());
    }
    assert_eq!(times[0], 0.0);
    assert!(times.windows(2).all(|pair| LINE_INTERVAL.contains(&(pair[1] - pair[0]))), "{times:?}");
    start.allow_threads();
    start.expect_ready();
    log.expect(next, "start: log started");
}

/// Guards against a start that blocks while its line on the shortage is not read.
#[test]
fn start_without_threads_retries_while_standard_error_is_full() {
    let (_reader, writer) = full_socket();
    let start = ThreadlessStart::new("unread-socket", std::os::fd::OwnedFd::from(writer));
    start.wait_for_program();
    std::thread::sleep(PAUSES * Duration::from_millis(20));
    start.allow_threads();
    start.expect_ready();
}
