//! SIGTERM and SIGINT end a waiting start at once, by the signal or with status 0, whatever it waits for. A reload whose file
//! cannot be read in time delays neither requests nor the stop.

mod harness;

use harness::start::*;
use harness::strace::Strace;
use harness::*;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::os::fd::OwnedFd;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The time within which a stop signal ends the program, even on a loaded machine.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// The interval between checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The number of voluntary context switches after which a start is known to repeat a call: it pauses 50 times a second.
const PAUSES_OF_REPEATED_CALL: u64 = 10;
/// Part of the log line on a repeated system call.
const SHORTAGE: &str = "a system call at the start failed";
/// Part of the log line on an incomplete configuration.
const INCOMPLETE: &str = "no configuration yet";
/// The stop signals with their numbers.
const STOP_SIGNALS: [(&str, i32); 2] = [("TERM", libc::SIGTERM), ("INT", libc::SIGINT)];
/// An address space, in KiB, that is enough for the program but not for a thread's stack of [`LARGE_STACK`].
const ADDRESS_SPACE_KIB: &str = "524288";
/// The size of a thread's stack, in bytes, that a process can have only without a limit on its address space.
const LARGE_STACK: &str = "1073741824";
/// A descriptor limit that is enough for the loader and the standard streams only.
const FEW_DESCRIPTORS: u64 = 4;
/// A descriptor limit that is more than enough for a start that waits for its configuration.
const ENOUGH_DESCRIPTORS: u64 = 20;

/// The strace option that delays the open call of a reload for longer than the test takes.
const DELAYED_OPEN: &str = "inject=openat:delay_enter=60s";
/// The time within which a program without clients stops.
const QUIET_STOP_LIMIT: Duration = Duration::from_secs(3);

/// A start under resource limits.
struct LimitedStart {
    process: KilledOnDrop,
    log: Log,
}

impl LimitedStart {
    /// Starts the program by this configuration under soft limits, given as options of the shell's `ulimit`.
    fn new(limits: &str, configuration: &Path) -> LimitedStart {
        LimitedStart::with(limits, configuration, &[])
    }

    /// Like [`LimitedStart::new`], with these variables in the environment.
    fn with(limits: &str, configuration: &Path, environment: &[(&str, &str)]) -> LimitedStart {
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("ulimit -S {limits}; exec \"$0\"")])
            .arg(env!("CARGO_BIN_EXE_shaletide"));
        command.env("NODE_CONFIG", configuration).stderr(Stdio::piped()).stdout(Stdio::null());
        command.envs(environment.iter().copied());
        let mut child = command.spawn().unwrap();
        let log = Log::follow(child.stderr.take().unwrap());
        LimitedStart { process: KilledOnDrop(child), log }
    }

    /// Starts the program without address space for the log's thread, and waits until it repeats the call.
    fn without_threads(configuration: &Path) -> LimitedStart {
        let limit = format!("-v {ADDRESS_SPACE_KIB}");
        let start = LimitedStart::with(&limit, configuration, &[("RUST_MIN_STACK", LARGE_STACK)]);
        start.wait_until_it_pauses();
        start
    }

    fn child(&mut self) -> &mut Child {
        &mut self.process.0
    }

    fn pid(&self) -> u32 {
        self.process.0.id()
    }

    fn signal(&self, name: &str) {
        send_signal(&self.process.0, name);
    }

    /// Sets a soft limit of the process and leaves its hard limit.
    fn set_limit(&self, resource: Resource, soft: Option<u64>) {
        let pid = Pid::from_raw(self.pid() as i32);
        let limit = Rlimit { current: soft, maximum: rustix::process::getrlimit(resource).maximum };
        prlimit(pid, resource, limit).unwrap();
    }

    /// Waits until the shell has executed the program and the program has paused [`PAUSES`] times.
    fn wait_until_it_pauses(&self) {
        let begun = Instant::now();
        let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_shaletide")).unwrap();
        let mut first_count = None;
        while begun.elapsed() < WAIT_LIMIT {
            let is_program =
                std::fs::read_link(format!("/proc/{}/exe", self.pid())).ok() == Some(program.clone());
            let count = self.voluntary_switches().filter(|_| is_program);
            first_count = first_count.or(count);
            if count.zip(first_count).is_some_and(|(now, first)| now >= first + PAUSES_OF_REPEATED_CALL) {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("the start does not pause");
    }

    /// Returns the number of voluntary context switches of the main thread.
    fn voluntary_switches(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))?;
        line.trim().parse().ok()
    }

    /// Waits until the main thread is in a call during which a stop signal ends the program: it blocks SIGHUP and none of
    /// [`STOP_SIGNALS`].
    fn wait_for_stoppable_call(&self) {
        let begun = Instant::now();
        while begun.elapsed() < WAIT_LIMIT {
            let blocked = self.signal_set("SigBlk:");
            if contains(blocked, libc::SIGHUP)
                && !STOP_SIGNALS.iter().any(|(_, number)| contains(blocked, *number))
            {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("the start does not unblock the stop signals");
    }

    /// Returns a set of signals from the status of the main thread.
    fn signal_set(&self, label: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let set = status.lines().find_map(|line| line.strip_prefix(label)).unwrap();
        u64::from_str_radix(set.trim(), 16).unwrap()
    }

    /// Sends the signal while it is not blocked, and expects a handler to end the start at once.
    fn expect_end_by_handler(&mut self, (name, number): (&str, i32)) {
        self.wait_for_stoppable_call();
        assert!(contains(self.signal_set("SigCgt:"), number), "SIG{name} has no handler");
        self.signal(name);
        let status = ends_within(self.child(), STOP_LIMIT);
        assert_eq!(status.and_then(|status| status.code()), Some(0), "SIG{name}: {status:?}");
    }

    /// Returns the descriptor under which the process has the file open.
    fn descriptor_of(&self, path: &Path) -> u64 {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap();
        let mut links = descriptors.map(|link| link.unwrap().path());
        let link = links
            .find(|link| std::fs::read_link(link).ok().as_deref() == Some(path))
            .expect("the file is open");
        link.file_name().unwrap().to_str().unwrap().parse().unwrap()
    }

    /// Sends the signal and expects it to end the start at once.
    fn expect_end(&mut self, (name, number): (&str, i32)) {
        assert_eq!(self.child().try_wait().unwrap(), None, "the start ended before the signal");
        self.signal(name);
        let status = ends_within(self.child(), STOP_LIMIT);
        let status =
            status.unwrap_or_else(|| panic!("SIG{name}: the start has not ended within {STOP_LIMIT:?}"));
        assert!(status.success() || status.signal() == Some(number), "SIG{name}: {status}");
    }
}

/// Returns whether a set of signals, in the form of `/proc`, contains this one.
fn contains(set: u64, signal: i32) -> bool {
    set >> (signal - 1) & 1 == 1
}

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("shaletide-stop-signals-{}-{name}", std::process::id()))
}

/// Guards against a start that has to be killed because the signal stays blocked while the log's thread cannot be created.
#[test]
fn stop_signal_ends_a_start_that_gets_no_thread() {
    for signal in STOP_SIGNALS {
        LimitedStart::without_threads(&path("absent")).expect_end(signal);
    }
}

/// Guards against a failed start that has to be killed because nobody reads its error message and the thread that would write
/// it cannot be created.
#[test]
fn stop_signal_ends_a_start_that_fails_without_a_thread_while_standard_error_is_full() {
    for signal in STOP_SIGNALS {
        let (_reader, writer) = full_socket();
        let limit = format!("ulimit -S -v {ADDRESS_SPACE_KIB}; exec \"$0\"");
        let mut command = Command::new("sh");
        command.args(["-c", &limit, env!("CARGO_BIN_EXE_shaletide")]).env("RUST_MIN_STACK", LARGE_STACK);
        command.env_remove("NODE_CONFIG").stderr(OwnedFd::from(writer)).stdout(Stdio::null());
        let mut start = LimitedStart {
            process: KilledOnDrop(command.spawn().unwrap()),
            log: Log::follow(std::io::empty()),
        };
        std::thread::sleep(Duration::from_millis(1_500)); // longer than the time that a thread would have to write it
        start.expect_end(signal);
    }
}

/// Guards against a stop signal that is lost by a start which is the first process of a container: there, the kernel drops
/// each signal that is neither blocked nor handled.
#[test]
fn stop_signal_has_a_handler_while_it_is_not_blocked() {
    for signal in STOP_SIGNALS {
        let fifo = path("handled");
        make_fifo(&fifo);
        LimitedStart::new("-n 1024", &fifo).expect_end_by_handler(signal); // blocks while it opens the pipe
        std::fs::remove_file(&fifo).unwrap();
        LimitedStart::without_threads(&path("absent")).expect_end_by_handler(signal);
    }
}

/// Guards against a start that has to be killed because the signal stays blocked while no event loop can be created.
#[test]
fn stop_signal_ends_a_start_that_gets_no_event_loop() {
    for signal in STOP_SIGNALS {
        let mut start = LimitedStart::new(&format!("-n {FEW_DESCRIPTORS}"), &path("absent"));
        start.log.expect(0, SHORTAGE);
        let is_built = start.log.since(0).iter().any(|line| line.contains("event loop built"));
        assert!(!is_built, "the event loop was built despite the limit");
        start.expect_end(signal);
    }
}

/// Guards against a start that panics if an event loop lacks one of its descriptors; each limit denies it a different one.
#[test]
fn start_waits_and_is_stopped_under_any_descriptor_limit() {
    for count in FEW_DESCRIPTORS..=ENOUGH_DESCRIPTORS {
        let mut start = LimitedStart::new(&format!("-n {count}"), &path("absent"));
        start.wait_until_it_pauses();
        start.expect_end(STOP_SIGNALS[0]);
    }
}

/// Guards against a start that has to be killed because the signal stays blocked while there is no descriptor to receive it
/// with.
#[test]
fn stop_signal_ends_a_start_that_gets_no_signal_descriptor() {
    for signal in STOP_SIGNALS {
        let fifo = path("signal-descriptor");
        make_fifo(&fifo);
        let mut start = LimitedStart::new("-n 1024", &fifo);
        let pipe = std::fs::File::create(&fifo).unwrap(); // returns once the program has opened the pipe, too
        start.set_limit(Resource::Nofile, Some(FEW_DESCRIPTORS));
        drop(pipe);
        let (shortage, _) = start.log.wait(0, |line| line.contains(SHORTAGE)).expect("a shortage");
        let (read, _) = start.log.wait(0, |line| line.contains("first reading")).expect("the step before");
        assert!(read < shortage, "descriptors ran out before the step that receives signals");
        start.expect_end(signal);
        std::fs::remove_file(&fifo).unwrap();
    }
}

/// Guards against a pause after which a stop signal is no longer blocked, or during which SIGHUP is not blocked. The start
/// continues once the shortage is over, handles the SIGHUP from the time of the pause, and shuts down in order.
#[test]
fn start_serves_after_a_shortage_of_threads_and_handles_sighup_sent_meanwhile() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let file = path("after-shortage.json");
    std::fs::write(&file, platform_configuration(&discovery, &listener)).unwrap();
    let mut start = LimitedStart::without_threads(&file);
    start.signal("HUP");
    start.wait_until_it_pauses();
    start.set_limit(Resource::As, None);
    start.log.expect(0, "listens on ");
    start.log.expect(0, "SIGHUP: taken");
    start.signal("TERM");
    assert_eq!(start.child().wait().unwrap().code(), Some(0));
    std::fs::remove_file(&file).unwrap();
}

/// Guards against a start that has to be killed because it handles nothing else while it reads its configuration again from a
/// pipe.
#[test]
fn stop_signal_ends_a_start_that_reads_a_pipe_again() {
    for signal in STOP_SIGNALS {
        let fifo = path("read-again");
        let mut start = LimitedStart::new("-n 1024", &fifo);
        start.log.expect(0, INCOMPLETE);
        make_fifo(&fifo);
        let pipe = std::fs::File::create(&fifo).unwrap(); // returns once the program has opened the pipe, too
        start.signal("HUP");
        start.expect_end(signal);
        drop(pipe);
        std::fs::remove_file(&fifo).unwrap();
    }
}

/// Guards against a start that has to be killed because it opens a pipe that nobody writes to.
#[test]
fn stop_signal_ends_a_start_that_opens_a_pipe_again() {
    for signal in STOP_SIGNALS {
        let fifo = path("opened-again");
        let mut start = LimitedStart::new("-n 1024", &fifo);
        start.log.expect(0, INCOMPLETE);
        make_fifo(&fifo);
        std::thread::sleep(Duration::from_millis(500)); // the program reads its configuration ten times a second
        start.expect_end(signal);
        std::fs::remove_file(&fifo).unwrap();
    }
}

/// Guards against a configuration that is lost because it arrives by a pipe after a first reading that found none.
#[test]
fn start_serves_by_a_pipe_that_is_read_again() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let fifo = path("served-by-pipe");
    let mut start = LimitedStart::new("-n 1024", &fifo);
    start.log.expect(0, INCOMPLETE);
    make_fifo(&fifo);
    std::fs::write(&fifo, platform_configuration(&discovery, &listener)).unwrap();
    start.log.expect(0, "listens on ");
    start.signal("TERM");
    assert_eq!(start.child().wait().unwrap().code(), Some(0));
    std::fs::remove_file(&fifo).unwrap();
}

/// Guards against a start that ends, or waits without a log line, if there are no descriptors for the thread that reads.
#[test]
fn start_without_descriptors_for_the_reading_thread_retries() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let fifo = path("no-reader");
    make_fifo(&fifo);
    let mut start = LimitedStart::new("-n 1024", &fifo);
    let pipe = std::fs::File::create(&fifo).unwrap(); // returns once the program has opened the pipe, too

    // Closing the pipe frees one descriptor, which the signals get.
    start.set_limit(Resource::Nofile, Some(start.descriptor_of(&fifo) + 1));
    drop(pipe);
    start.log.expect(
        0,
        "no configuration yet: cannot start a thread to read the configuration: Too many open files",
    );
    std::fs::remove_file(&fifo).unwrap();
    std::fs::write(&fifo, platform_configuration(&discovery, &listener)).unwrap();
    start.set_limit(Resource::Nofile, Some(1024));
    start.log.expect(0, "listens on ");
    start.signal("TERM");
    assert_eq!(start.child().wait().unwrap().code(), Some(0));
    std::fs::remove_file(&fifo).unwrap();
}

/// Guards against a reload that reads its file on the event loop: a disk that hangs would block all requests and the stop.
#[test]
fn reload_that_hangs_delays_neither_requests_nor_the_stop() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let text = format!("{CLASSES}{}", pool("p", &[(backend.address, "a")]));
    let mut proxy = program().serve(&text);
    let (file, output) = (proxy.files[0].display().to_string(), path("strace"));
    let arguments = ["-e", "trace=openat", "-P", &file, "-e", DELAYED_OPEN];
    let Some(strace) = Strace::attach(proxy.child.id(), &output, &arguments) else { return };
    proxy.signal("HUP");
    let begun = Instant::now();
    while !thread_names(&proxy.child).contains(&"reload".to_string()) {
        assert!(begun.elapsed() < WAIT_LIMIT, "the reload has not started");
        std::thread::sleep(POLL_INTERVAL);
    }
    for _ in 0..10 {
        assert_eq!(proxy.request(&request("/read/k", 3.0, "")).status(), 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(thread_names(&proxy.child).contains(&"reload".to_string()), "the reload has ended");
    strace.expect_quiet_stop(&mut proxy, QUIET_STOP_LIMIT);
    std::fs::remove_file(&output).unwrap();
}
