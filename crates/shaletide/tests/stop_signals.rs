//! SIGTERM and SIGINT while a start waits: they end it at once, by the signal or with status 0, whatever it waits for. And
//! while a configuration that is read again does not come: that holds up neither requests nor the stop.

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

/// A signal to stop has ended the program by then, on a loaded machine too.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// How often a test looks whether something has come about.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A start that has given up the processor so often since it was looked at repeats a call: it pauses 50 times a second.
const PAUSES: u64 = 10;
/// The line on a call that is repeated.
const SHORTAGE: &str = "a system call at the start failed";
/// The line on a configuration that is not complete.
const INCOMPLETE: &str = "no configuration yet";
/// Signals to stop, with their numbers.
const STOP_SIGNALS: [(&str, i32); 2] = [("TERM", libc::SIGTERM), ("INT", libc::SIGINT)];
/// Room for the program, in KiB, though not for a thread's stack of [`LARGE_STACK`].
const ADDRESS_SPACE_KIB: &str = "524288";
/// A stack that a process may have once its address space has no limit, in bytes.
const LARGE_STACK: &str = "1073741824";
/// Descriptors for the loader and the standard streams alone.
const FEW_DESCRIPTORS: u64 = 4;
/// Descriptors for all that a start needs until it waits for its configuration, and some to spare.
const ENOUGH_DESCRIPTORS: u64 = 20;

/// How long the open call of a configuration that is read again is held up, in the words of strace: longer than the test.
const HELD_UP: &str = "inject=openat:delay_enter=60s";
/// A program whose clients have left has stopped by then.
const QUIET_STOP_LIMIT: Duration = Duration::from_secs(3);

/// A start under limits of its own.
struct LimitedStart {
    process: KilledOnDrop,
    log: Log,
}

impl LimitedStart {
    /// Starts the program by that configuration under these soft limits, in the words of the shell's `ulimit`.
    fn new(limits: &str, configuration: &Path) -> LimitedStart {
        LimitedStart::with(limits, configuration, &[])
    }

    /// The same with these variables in its environment.
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

    /// Starts it without room for the log's thread, and waits until it repeats the call.
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

    /// Waits until the program, and no more the shell, has paused [`PAUSES`] times.
    fn wait_until_it_pauses(&self) {
        let begun = Instant::now();
        let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_shaletide")).unwrap();
        let mut first_count = None;
        while begun.elapsed() < WAIT_LIMIT {
            let is_program =
                std::fs::read_link(format!("/proc/{}/exe", self.pid())).ok() == Some(program.clone());
            let count = self.voluntary_switches().filter(|_| is_program);
            first_count = first_count.or(count);
            if count.zip(first_count).is_some_and(|(now, first)| now >= first + PAUSES) {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("it does not pause");
    }

    /// How often the first thread has given up the processor.
    fn voluntary_switches(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))?;
        line.trim().parse().ok()
    }

    /// Waits until the first thread is in a call in which a signal to stop ends the program: it blocks SIGHUP and none of
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
        panic!("it is not in such a call");
    }

    /// A set of signals in the status of the first thread.
    fn signal_set(&self, label: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let set = status.lines().find_map(|line| line.strip_prefix(label)).unwrap();
        u64::from_str_radix(set.trim(), 16).unwrap()
    }

    /// Sends that signal while it is not blocked: a handler ends the start at once.
    fn expect_end_by_handler(&mut self, (name, number): (&str, i32)) {
        self.wait_for_stoppable_call();
        assert!(contains(self.signal_set("SigCgt:"), number), "SIG{name} has no handler");
        self.signal(name);
        let status = ends_within(self.child(), STOP_LIMIT);
        assert_eq!(status.and_then(|status| status.code()), Some(0), "SIG{name}: {status:?}");
    }

    /// The number under which the process has that file open.
    fn descriptor_of(&self, path: &Path) -> u64 {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid())).unwrap();
        let mut links = descriptors.map(|link| link.unwrap().path());
        let link =
            links.find(|link| std::fs::read_link(link).ok().as_deref() == Some(path)).expect("it is open");
        link.file_name().unwrap().to_str().unwrap().parse().unwrap()
    }

    /// Sends that signal, which has to end the start at once.
    fn expect_end(&mut self, (name, number): (&str, i32)) {
        assert_eq!(self.child().try_wait().unwrap(), None, "it has ended before");
        self.signal(name);
        let status = ends_within(self.child(), STOP_LIMIT);
        let status = status.unwrap_or_else(|| panic!("SIG{name}: it has not ended within {STOP_LIMIT:?}"));
        assert!(status.success() || status.signal() == Some(number), "SIG{name}: {status}");
    }
}

/// Whether a set of signals, as `/proc` has it, contains this one.
fn contains(set: u64, signal: i32) -> bool {
    set >> (signal - 1) & 1 == 1
}

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("shaletide-stop-signals-{}-{name}", std::process::id()))
}

/// Guards against a start that has to be killed, as the signal stays blocked while no thread is to be had for the log.
#[test]
fn stop_signal_ends_a_start_that_gets_no_thread() {
    for signal in STOP_SIGNALS {
        LimitedStart::without_threads(&path("absent")).expect_end(signal);
    }
}

/// Guards against a start that fails and has to be killed, as nobody reads its last word, and no thread is to be had that
/// would write it.
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
        std::thread::sleep(Duration::from_millis(1_500)); // over the time that a thread would have had
        start.expect_end(signal);
    }
}

/// Guards against a signal to stop that a start loses as the first process of a container, where the kernel drops each that
/// is neither blocked nor handled.
#[test]
fn stop_signal_has_a_handler_wherever_a_start_does_not_block_it() {
    for signal in STOP_SIGNALS {
        let fifo = path("handled");
        make_fifo(&fifo);
        LimitedStart::new("-n 1024", &fifo).expect_end_by_handler(signal); // opens the pipe, in vain
        std::fs::remove_file(&fifo).unwrap();
        LimitedStart::without_threads(&path("absent")).expect_end_by_handler(signal);
    }
}

/// Guards against a start that has to be killed, as the signal stays blocked while no event loop can be made.
#[test]
fn stop_signal_ends_a_start_that_gets_no_event_loop() {
    for signal in STOP_SIGNALS {
        let mut start = LimitedStart::new(&format!("-n {FEW_DESCRIPTORS}"), &path("absent"));
        start.log.expect(0, SHORTAGE);
        let is_built = start.log.since(0).iter().any(|line| line.contains("event loop built"));
        assert!(!is_built, "the event loop has got its descriptors");
        start.expect_end(signal);
    }
}

/// Guards against a start that panics where an event loop lacks one of its descriptors: which one, each count shows.
#[test]
fn start_waits_and_is_stopped_whatever_number_of_descriptors_it_has() {
    for count in FEW_DESCRIPTORS..=ENOUGH_DESCRIPTORS {
        let mut start = LimitedStart::new(&format!("-n {count}"), &path("absent"));
        start.wait_until_it_pauses();
        start.expect_end(STOP_SIGNALS[0]);
    }
}

/// Guards against a start that has to be killed, as the signal stays blocked while there is no descriptor to receive it by.
#[test]
fn stop_signal_ends_a_start_that_gets_no_signal_descriptor() {
    for signal in STOP_SIGNALS {
        let fifo = path("signal-descriptor");
        make_fifo(&fifo);
        let mut start = LimitedStart::new("-n 1024", &fifo);
        let pipe = std::fs::File::create(&fifo).unwrap(); // the program has opened it, too
        start.set_limit(Resource::Nofile, Some(FEW_DESCRIPTORS));
        drop(pipe);
        let (shortage, _) = start.log.wait(0, |line| line.contains(SHORTAGE)).expect("a shortage");
        let (read, _) = start.log.wait(0, |line| line.contains("first reading")).expect("the step before");
        assert!(read < shortage, "it lacked descriptors before it was to receive signals");
        start.expect_end(signal);
        std::fs::remove_file(&fifo).unwrap();
    }
}

/// Guards against a pause at whose end a signal to stop is not blocked any more, or in which SIGHUP is not: the start goes
/// on once the shortage is over, takes the SIGHUP that came meanwhile, and ends in an orderly way.
#[test]
fn start_serves_after_a_shortage_of_threads_in_which_a_hangup_came() {
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

/// Guards against a start that has to be killed, as it reads its configuration once more from a pipe, and nothing else is
/// done meanwhile.
#[test]
fn stop_signal_ends_a_start_that_reads_a_pipe_again() {
    for signal in STOP_SIGNALS {
        let fifo = path("read-again");
        let mut start = LimitedStart::new("-n 1024", &fifo);
        start.log.expect(0, INCOMPLETE);
        make_fifo(&fifo);
        let pipe = std::fs::File::create(&fifo).unwrap(); // the program has opened it, too
        start.signal("HUP");
        start.expect_end(signal);
        drop(pipe);
        std::fs::remove_file(&fifo).unwrap();
    }
}

/// Guards against a start that has to be killed, as it opens a pipe that nobody writes to.
#[test]
fn stop_signal_ends_a_start_that_opens_a_pipe_again() {
    for signal in STOP_SIGNALS {
        let fifo = path("opened-again");
        let mut start = LimitedStart::new("-n 1024", &fifo);
        start.log.expect(0, INCOMPLETE);
        make_fifo(&fifo);
        std::thread::sleep(Duration::from_millis(500)); // it reads ten times a second
        start.expect_end(signal);
        std::fs::remove_file(&fifo).unwrap();
    }
}

/// Guards against a configuration that is lost as it comes by a pipe after a first reading that found nothing.
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

/// Guards against a start that ends, or waits without a word, where there are no descriptors for the thread that reads.
#[test]
fn start_without_descriptors_to_read_on_goes_on_trying() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let fifo = path("no-reader");
    make_fifo(&fifo);
    let mut start = LimitedStart::new("-n 1024", &fifo);
    let pipe = std::fs::File::create(&fifo).unwrap(); // the program has opened it, too
                                                      // As the pipe is closed, one descriptor is free, which the signals get.
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

/// Guards against a configuration that is read again on the event loop: one on a disk that hangs would hold up all requests,
/// and the signal to stop.
#[test]
fn reload_that_hangs_holds_up_neither_requests_nor_the_stop() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let text = format!("{CLASSES}{}", pool("p", &[(backend.address, "a")]));
    let mut proxy = program().serve(&text);
    let (file, output) = (proxy.files[0].display().to_string(), path("strace"));
    let arguments = ["-e", "trace=openat", "-P", &file, "-e", HELD_UP];
    let Some(strace) = Strace::attach(proxy.child.id(), &output, &arguments) else { return };
    proxy.signal("HUP");
    let begun = Instant::now();
    while !thread_names(&proxy.child).contains(&"reload".to_string()) {
        assert!(begun.elapsed() < WAIT_LIMIT, "nothing is read");
        std::thread::sleep(POLL_INTERVAL);
    }
    for _ in 0..10 {
        assert_eq!(proxy.request(&request("/read/k", 3.0, "")).status(), 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(thread_names(&proxy.child).contains(&"reload".to_string()), "it was read");
    strace.expect_quiet_stop(&mut proxy, QUIET_STOP_LIMIT);
    std::fs::remove_file(&output).unwrap();
}
