//! The control socket, in a folder on a disk that hangs: at the start its lock is a pipe that nobody reads.

mod harness;

use harness::start::*;
use harness::strace::Strace;
use harness::*;
use rustix::fs::{flock, FlockOperation};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

/// How long the opening of the socket's lock is held up, in the words of strace: longer than the test.
const HELD_UP: &str = "inject=openat:delay_enter=60s";
/// A signal to stop has ended a start by then, on a loaded machine too.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// A stop without requests has ended by then, on a loaded machine too.
const QUIET_STOP_LIMIT: Duration = Duration::from_secs(5);
/// Requests over more than the pause of 200 ms between two attempts to bind.
const REQUESTS: usize = 20;

/// A start that has the control socket in a folder of its own.
struct ControlStart {
    folder: PathBuf,
    process: KilledOnDrop,
    log: Log,
    listener: RefusingPort,
}

impl ControlStart {
    /// Starts the program, and waits until it opens the socket's lock, which hangs.
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
fn stop_signal_ends_a_start_whose_control_socket_hangs() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    for signal in ["TERM", "INT"] {
        let mut start = ControlStart::hanging(signal, &backend);
        send_signal(&start.process.0, signal);
        let status = ends_within(&mut start.process.0, STOP_LIMIT);
        assert_eq!(status.and_then(|status| status.code()), Some(0), "SIG{signal}: {status:?}");
    }
}

/// Guards against a start that waits for the disk of its control socket without end, and serves nobody.
#[test]
fn start_whose_control_socket_hangs_serves_without_it() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let start = ControlStart::hanging("serves", &backend);
    start.log.expect(0, "listens on ");
    let mut client = Client::connect(start.listener.address());
    assert_eq!(client.request(&request("/read/k", 3.0, "")).status(), 200);
}

/// Guards against a control socket that is bound on the event loop once requests are served: its folder may lie on a disk that
/// hangs.
#[test]
fn control_socket_that_is_waited_for_on_a_hanging_disk_holds_up_neither_requests_nor_the_stop() {
    let folder = std::env::temp_dir().join(format!("shaletide-control-{}", std::process::id()));
    std::fs::create_dir(&folder).unwrap();
    let (socket, lock_path) = (folder.join("control.sock"), folder.join("control.sock.lock"));
    let lock = std::fs::File::create(&lock_path).unwrap();
    flock(&lock, FlockOperation::NonBlockingLockExclusive).unwrap(); // as a process that serves it
    let backend = BackendServer::start(|_| ok_reply("x"));
    let control = format!("[control]\nsocket = {:?}\n", socket.display().to_string());
    let mut proxy = program().serve(&format!("{CLASSES}{control}{}", pool("p", &[(backend.address, "a")])));
    proxy.log.expect(0, "no control socket yet");
    let (output, lock_name) = (folder.join("strace"), lock_path.display().to_string());
    let arguments = ["-e", "trace=openat", "-P", &lock_name, "-e", HELD_UP];
    let Some(strace) = Strace::attach(proxy.child.id(), &output, &arguments) else { return };
    for _ in 0..REQUESTS {
        assert_eq!(proxy.request(&request("/read/k", 3.0, "")).status(), 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(thread_names(&proxy.child).contains(&"control-socket".to_string()), "nothing is opened");
    strace.expect_quiet_stop(&mut proxy, QUIET_STOP_LIMIT);
    drop(lock);
    std::fs::remove_dir_all(&folder).unwrap();
}
