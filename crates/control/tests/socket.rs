//! Tests of the control socket: access, rejected commands and bounds.

use rustix::net::{socket_with, AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use shaletide_control::{
    send_command, send_command_with_timeout, Command, ControlError, ControlServer, Key, Reply, MAX_LINE,
    MAX_TEXT,
};
use std::io::{BufRead, BufReader, Write};
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::time::Duration;

/// Timeout for an event that is due at once; long enough for a loaded machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A temporary directory that is removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> TempFolder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("shaletide-control-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        TempFolder(path)
    }
    fn socket(&self) -> PathBuf {
        self.0.join("c")
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run_local<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// A control socket server on its own thread until dropped. Received commands are sent to `received`.
struct TestServer {
    received: mpsc::Receiver<Command>,
    end: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl TestServer {
    fn at(path: &Path) -> TestServer {
        let (command_sender, received) = mpsc::channel();
        let (end, ended) = tokio::sync::oneshot::channel::<()>();
        let (ready, is_ready) = mpsc::channel();
        let path = path.to_path_buf();
        let thread = std::thread::spawn(move || {
            run_local(async move {
                let control = ControlServer::bind(&path).unwrap();
                ready.send(()).unwrap();
                let handler = move |command: Command| {
                    command_sender.send(command.clone()).unwrap();
                    async move {
                        match command {
                            Command::Ping {} => Reply::Done("here".into()),
                            Command::Prune { .. } => std::future::pending().await,
                            other => Reply::Refused(format!("{other:?}")),
                        }
                    }
                };
                tokio::select! {
                    () = control.serve(handler) => {}
                    _ = ended => {}
                }
            });
        });
        is_ready.recv().unwrap();
        TestServer { received, end: Some(end), thread: Some(thread) }
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        drop(self.end.take());
        self.thread.take().unwrap().join().unwrap();
    }
}

fn resolve(key: &[u8]) -> Command {
    Command::Resolve {
        tenant: "milford".into(),
        class: "settle".into(),
        key: Key(key.to_vec()),
        ran: false,
        by: "jo".into(),
        note: "no execution on backend-7\naccording to its log, \"x\"".into(),
    }
}

#[test]
fn command_is_answered_and_socket_is_private_to_its_owner() {
    let folder = TempFolder::new();
    let server = TestServer::at(&folder.socket());
    let mode = folder.socket().symlink_metadata().unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(send_command(&folder.socket(), &Command::Ping {}).unwrap(), Reply::Done("here".into()));
    assert_eq!(server.received.recv().unwrap(), Command::Ping {});
    let all: Vec<u8> = (0..=255).collect();
    assert!(matches!(send_command(&folder.socket(), &resolve(&all)).unwrap(), Reply::Refused(_)));
    assert_eq!(server.received.recv().unwrap(), resolve(&all));
    drop(server);
    assert!(!folder.socket().exists(), "the socket is removed");
}

#[test]
fn socket_mode_is_0600_under_any_umask() {
    // A thread checks the mode all the time while sockets are created.
    let folder = TempFolder::new();
    let (stop, stopped) = mpsc::channel::<()>();
    let (first_seen, is_seen) = mpsc::channel::<()>();
    let path = folder.socket();
    let watcher = std::thread::spawn(move || {
        let mut seen = 0;
        while stopped.try_recv() == Err(mpsc::TryRecvError::Empty) {
            let Ok(found) = path.symlink_metadata() else { continue };
            assert_eq!(found.permissions().mode() & 0o077, 0);
            seen += 1;
            if seen == 1 {
                first_seen.send(()).unwrap();
            }
        }
        seen
    });
    for _ in 0..200 {
        run_local(async { drop(ControlServer::bind(&folder.socket()).unwrap()) });
    }
    let _held = TestServer::at(&folder.socket());
    // On a busy machine, the thread may not have run until now.
    is_seen.recv_timeout(Duration::from_secs(20)).unwrap();
    std::thread::sleep(Duration::from_millis(5));
    drop(stop);
    assert!(watcher.join().unwrap() > 0);
}

#[test]
fn socket_of_a_live_process_is_in_use_and_that_of_a_dead_one_is_replaced() {
    let folder = TempFolder::new();
    let server = TestServer::at(&folder.socket());
    run_local(async {
        assert!(matches!(ControlServer::bind(&folder.socket()), Err(ControlError::InUse { .. })));
    });
    assert!(send_command(&folder.socket(), &Command::Ping {}).is_ok(), "the first process still serves");
    drop(server);
    // A program that does not use the lock.
    let other = UnixListener::bind(folder.socket()).unwrap();
    run_local(async {
        assert!(matches!(ControlServer::bind(&folder.socket()), Err(ControlError::InUse { .. })));
    });
    drop(other);
    assert!(folder.socket().exists(), "the file of the closed socket remains");
    assert!(matches!(send_command(&folder.socket(), &Command::Ping {}), Err(ControlError::Absent { .. })));
    let _served = TestServer::at(&folder.socket());
    assert!(send_command(&folder.socket(), &Command::Ping {}).is_ok());
}

/// Returns a listener that accepts no connections and whose queue is full, and the connections in that queue.
fn full_listener(path: &Path) -> (OwnedFd, Vec<OwnedFd>) {
    let address = SocketAddrUnix::new(path).unwrap();
    let socket =
        || socket_with(AddressFamily::UNIX, SocketType::STREAM, SocketFlags::NONBLOCK, None).unwrap();
    let listener = socket();
    rustix::net::bind(&listener, &address).unwrap();
    rustix::net::listen(&listener, 0).unwrap();
    let mut waiting = Vec::new();
    loop {
        let client = socket();
        match rustix::net::connect(&client, &address) {
            Ok(()) => waiting.push(client),
            Err(error) => {
                assert_eq!(error, rustix::io::Errno::AGAIN);
                return (listener, waiting);
            }
        }
    }
}

/// Guards against a proxy that blocks in start, service and stop because its connect to the socket waits for another process
/// that listens there but accepts no connections.
#[test]
fn socket_with_full_queue_is_reported_in_use_without_delay() {
    let folder = TempFolder::new();
    let _full = full_listener(&folder.socket());
    let (done, is_done) = mpsc::channel();
    let path = folder.socket();
    std::thread::spawn(move || {
        let bound = run_local(async { ControlServer::bind(&path).map(drop) });
        done.send(matches!(bound, Err(ControlError::InUse { .. }))).unwrap();
    });
    assert_eq!(is_done.recv_timeout(EVENT_TIMEOUT), Ok(true));
}

#[test]
fn file_that_is_not_a_socket_is_left_unchanged() {
    let folder = TempFolder::new();
    std::fs::write(folder.socket(), "mine").unwrap();
    run_local(async {
        assert!(matches!(ControlServer::bind(&folder.socket()), Err(ControlError::NotASocket { .. })));
        let missing_folder = folder.0.join("no/c");
        assert!(matches!(ControlServer::bind(&missing_folder), Err(ControlError::Io { .. })));
    });
    assert_eq!(std::fs::read(folder.socket()).unwrap(), b"mine");
}

#[test]
fn invalid_lines_are_answered_and_the_next_line_is_read() {
    let folder = TempFolder::new();
    let _served = TestServer::at(&folder.socket());
    let mut stream = UnixStream::connect(folder.socket()).unwrap();
    let mut answers = BufReader::new(stream.try_clone().unwrap()).lines();
    let mut exchange = |line: &[u8]| {
        stream.write_all(line).unwrap();
        answers.next().unwrap().unwrap()
    };
    for line in ["", "{}", "[1]", "{\"command\":\"dance\"}", "{\"command\":\"ping\",\"more\":1}", "\u{0}"] {
        assert!(exchange(format!("{line}\n").as_bytes()).contains("\"senseless\""), "{line}");
    }
    assert!(exchange(b"\xff\xfe\n").contains("\"senseless\""));
    let invalid_key = "{\"command\":\"resolve\",\"tenant\":\"\",\"class\":\"s\",\
        \"key\":\"0g\",\"ran\":true,\"by\":\"b\",\"note\":\"n\"}\n";
    assert!(exchange(invalid_key.as_bytes()).contains("hex digits"));
    assert!(exchange(invalid_key.replace("0g", "0a").replace("\"b\"", "\" \"").as_bytes())
        .contains("by may not be empty"));
    assert_eq!(exchange(b"{\"command\":\"ping\"}\n"), "{\"reply\":\"done\",\"said\":\"here\"}");
}

#[test]
fn line_longer_than_the_maximum_is_rejected() {
    let folder = TempFolder::new();
    let _served = TestServer::at(&folder.socket());
    let mut stream = UnixStream::connect(folder.socket()).unwrap();
    stream.write_all(&vec![b' '; MAX_LINE]).unwrap();
    let replies: Vec<String> = BufReader::new(stream).lines().map(Result::unwrap).collect();
    assert!(replies.len() == 1 && replies[0].contains("longer than"), "answered and closed: {replies:?}");
}

#[test]
fn command_that_is_too_long_is_not_sent() {
    let folder = TempFolder::new();
    let long = Command::Correct { of: 1, by: "jo".into(), text: "x".repeat(MAX_TEXT + 1) };
    assert!(matches!(send_command(&folder.socket(), &long), Err(ControlError::Command(_))));
    assert!(matches!(
        send_command(&folder.socket(), &resolve(&vec![0; MAX_LINE])),
        Err(ControlError::Command(_))
    ));
    let ten_kilobytes = resolve(&vec![7; 10 << 10]);
    assert!(matches!(send_command(&folder.socket(), &ten_kilobytes), Err(ControlError::Absent { .. })));
}

#[test]
fn command_in_progress_delays_no_other_and_excess_connections_wait() {
    let folder = TempFolder::new();
    let server = TestServer::at(&folder.socket());
    let pending_command = Command::Prune { before: 1, by: "jo".into() };
    let short_timeout = Duration::from_millis(50);
    assert!(matches!(
        send_command_with_timeout(&folder.socket(), &pending_command, short_timeout),
        Err(ControlError::TimedOut)
    ));
    assert_eq!(server.received.recv().unwrap(), pending_command);
    assert!(send_command(&folder.socket(), &Command::Ping {}).is_ok());
    let idle: Vec<UnixStream> = (0..8).map(|_| UnixStream::connect(folder.socket()).unwrap()).collect();
    assert!(matches!(
        send_command_with_timeout(&folder.socket(), &Command::Ping {}, short_timeout),
        Err(ControlError::TimedOut)
    ));
    drop(idle);
    assert!(send_command(&folder.socket(), &Command::Ping {}).is_ok());
}
