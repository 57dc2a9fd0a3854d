//! The control socket in a folder on a disk that hangs. At the start its lock file is a named pipe without a reader, whose
//! opening blocks.

mod harness;

use harness::start::*;
use harness::strace::Strace;
use harness::*;
use rustix::fs::{flock, FlockOperation};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

/// strace's argument that delays the opening of the socket's lock, for longer than the test runs.
const OPEN_DELAY: &str = "inject=openat:delay_enter=60s";
/// The limit for a stop signal to end a start, also on a loaded machine.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// The limit for a stop without requests, also on a loaded machine.
const QUIET_STOP_LIMIT: Duration = Duration::from_secs(5);
/// The number of requests, enough to last longer than the pause of 200 ms between two attempts to bind the socket.
const REQUESTS: usize = 20;

/// A process at its start, with its control socket in a temporary folder.
struct ControlStart {
    folder: PathBuf,
    process: KilledOnDrop,
    log: Log,
    listener: RefusingPort,
}

impl ControlStart {
    /// Starts the program and waits until it has read its configuration; it then hangs when it opens the socket's lock.
    fn hanging(name: &str, backend: &BackendServer) -> ControlStart {
        let folder = std::env::temp_dir().join(format!("shaletide-control-{name}-{}", std::process::id()));
        std::fs::create_dir(&folder).unwrap();
        make_fifo(&folder.join("control.sock.lock"));
        let (file, listener) = (folder.join("start.toml"), RefusingPort::new());
        let socket = folder.join("control.sock").display().to_string();
        let control = format!("[control]\nsocket = {socket:?}\n");
        let address = listener.address();
        let pools = pool("p", &[(backend.address, "a")]);
        let text = format!("[[listener]]\naddress = \"{address}\"\n{CLASSES}{control}{pools}");
        std::fs::write(&file, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
        command.args(["serve", "--config"]).arg(&file).env_remove("NODE_CONFIG");
        let mut child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        let log = Log::follow(child.stderr.take().unwrap());
        let start = ControlStart { folder, process: KilledOnDrop(child), log, listener };
        start.log.expect(0, "start: configuration complete");
        start
    }
}

impl Drop for ControlStart {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Guards against a start that cannot be stopped while the disk of its control socket hangs.
#[test]
fn stop_signal_ends_start_while_control_socket_hangs() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    for signal in ["TERM", "INT"] {
        let mut start = ControlStart::hanging(signal, &backend);
        send_signal(&start.process.0, signal);
        let status = ends_within(&mut start.process.0, STOP_LIMIT);
        assert_eq!(status.and_then(|status| status.code()), Some(0), "SIG{signal}: {status:?}");
    }
}

/// Guards against a start that waits for the disk of its control socket without a limit and never serves.
#[test]
fn start_serves_without_a_control_socket_that_hangs() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let start = ControlStart::hanging("serves", &backend);
    start.log.expect(0, "listens on ");
    let mut client = Client::connect(start.listener.address());
    assert_eq!(client.request(&request("/read/k", 3.0, "")).status(), 200);
}

/// Guards against binding the control socket on the event loop while requests are served: the disk of its folder may hang.
#[test]
fn control_socket_on_a_hanging_disk_delays_neither_requests_nor_shutdown() {
    let folder = std::env::temp_dir().join(format!("shaletide-control-{}", std::process::id()));
    std::fs::create_dir(&folder).unwrap();
    let (socket, lock_path) = (folder.join("control.sock"), folder.join("control.sock.lock"));
    let lock = std::fs::File::create(&lock_path).unwrap();
    flock(&lock, FlockOperation::NonBlockingLockExclusive).unwrap(); // as a process that serves the socket holds it
    let backend = BackendServer::start(|_| ok_reply("x"));
    let control = format!("[control]\nsocket = {:?}\n", socket.display().to_string());
    let mut proxy = program().serve(&format!("{CLASSES}{control}{}", pool("p", &[(backend.address, "a")])));
    proxy.log.expect(0, "no control socket yet");
    let (output, lock_name) = (folder.join("strace"), lock_path.display().to_string());
    let arguments = ["-e", "trace=openat", "-P", &lock_name, "-e", OPEN_DELAY];
    let Some(strace) = Strace::attach(proxy.child.id(), &output, &arguments) else { return };
    for _ in 0..REQUESTS {
        assert_eq!(proxy.request(&request("/read/k", 3.0, "")).status(), 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(
        thread_names(&proxy.child).contains(&"control-socket".to_string()),
        "no thread opens the control socket"
    );
    strace.expect_quiet_stop(&mut proxy, QUIET_STOP_LIMIT);
    drop(lock);
    std::fs::remove_dir_all(&folder).unwrap();
}
