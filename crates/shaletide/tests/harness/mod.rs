//! The test kit for this package's program. Cargo passes the program's path only to the package's own tests.
#![allow(dead_code)]

pub mod backend_pair;
pub mod ending_backend;
pub mod partition;
pub mod start;
pub mod strace;
pub mod trace;

pub use shaletide_testkit::*;

/// Returns this package's program.
pub fn program() -> Program {
    Program::at(env!("CARGO_BIN_EXE_shaletide"))
}

/// Returns a command that runs the program, with the given configuration or none.
pub fn program_command(config: Option<&str>) -> std::process::Command {
    program().command(config)
}

/// Starts this package's program.
pub trait StartProxy {
    fn start(known: &[String]) -> Proxy {
        program().start(known)
    }
    fn start_with_settings(known: &[String], sockets: u32, settings: &str) -> Proxy {
        program().start_with(known, sockets, settings)
    }
    /// Starts the program under a system limit on descriptors, which may differ from the limit in its configuration.
    fn start_with_descriptor_limit(
        known: &[String], sockets: u32, settings: &str, descriptors: u32,
    ) -> Proxy {
        program().start_with_limits(known, sockets, settings, descriptors)
    }
}

impl StartProxy for Proxy {}

/// Starts this package's program with one backend.
pub fn proxy_with_one_backend(backend: &BackendServer) -> Proxy {
    Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")])
}

/// Returns settings with this grace for a discovery that pushes its lists.
pub fn push_settings(grace_ms: u64) -> String {
    SETTINGS.replace("\"rules\":{", &format!("\"rules\":{{\"stop_sending_within_us\":{grace_ms}000,"))
}

/// Returns settings with this grace for a discovery that is subscribed to, with an engine that need not call for a minute.
pub fn subscribe_settings(grace_ms: u64) -> String {
    push_settings(grace_ms)
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("_in_us\":9000000", "_in_us\":60000000")
}

/// The head of an operators' file: one class of each effect. The listeners are added when the file is served.
pub const CLASSES: &str = r#"
[[class]]
name = "read"
aim = "900ms"
deadline = "3s"

[[class]]
name = "settle"
effect = "keyed"
key_scope = "bay"
key_window = "10s"
aim = "900ms"
deadline = "3s"

[[class]]
name = "pay"
effect = "unsafe"
aim = "900ms"
deadline = "3s"
"#;

/// Returns the section of a pool whose backends are given by address and deduplication domain.
pub fn pool(name: &str, backends: &[(std::net::SocketAddr, &str)]) -> String {
    let entry =
        |(at, bay): &(std::net::SocketAddr, &str)| format!("{{ address = \"{at}\", bay = \"{bay}\" }}, ");
    format!("[[pool]]\nname = \"{name}\"\nboxes = [{}]\n", backends.iter().map(entry).collect::<String>())
}

/// Returns the section of a pool in a deduplication group.
pub fn pool_in_domain(name: &str, group: &str, backends: &[(std::net::SocketAddr, &str)]) -> String {
    pool(name, backends) + &format!("repeat_group = \"{group}\"\n")
}

/// Returns the section of a route to pools in order of preference; `conditions` has a line for each condition.
pub fn route(name: &str, conditions: &str, pools: &[&str]) -> String {
    format!("[[route]]\nname = \"{name}\"\n{conditions}\npools = {pools:?}\n")
}

/// Returns a request of the class of [`CLASSES`] that its path names, with a new id. A keyed request has its id as its key.
/// `left_s` is its time left in seconds, `extra` holds further header lines.
pub fn request(path: &str, left_s: f64, extra: &str) -> String {
    let keyed = path.starts_with("/settle");
    let get = path.starts_with("/read");
    let id = format!("{:x}", REQUESTS.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + 0xabc000);
    let method = if get { "GET" } else { "POST" };
    let key = if keyed { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    let (length, body) = if get { ("", "") } else { ("Content-Length: 4\r\n", "cash") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left_s}\r\n{key}{length}{extra}\r\n{body}"
    )
}

/// Returns the id of a request.
pub fn id_of(request: &str) -> &str {
    request.split("X-Correlation-Id: ").nth(1).and_then(|rest| rest.split('\r').next()).expect("a request id")
}

static REQUESTS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Sends enough requests to fill the retry budget for several retries: each request adds a fraction of a retry.
pub fn fill_retry_budget(client: &mut Client, path: &str) {
    for _ in 0..30 {
        assert_eq!(client.request(&request(path, 3.0, "")).status(), 200);
    }
}

/// Takes SQLite's write lock, as another program might: until the connection is dropped no other commit succeeds.
pub fn lock_store(store: &std::path::Path) -> rusqlite::Connection {
    let db = rusqlite::Connection::open(store).unwrap();
    db.busy_timeout(WAIT_LIMIT).unwrap();
    db.execute_batch("BEGIN IMMEDIATE").unwrap();
    db
}

/// Runs `shaletide record resolve` for `record.db` over `control.sock`, both in `folder`.
pub fn resolve(folder: &std::path::Path, key: &str, ran: bool) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_shaletide"));
    command.args(["record", "resolve", key, "--ran", if ran { "yes" } else { "no" }]);
    command.args(["--by", "jo", "--note", "the box's own record"]).env_remove("NODE_CONFIG");
    command.arg("--store").arg(folder.join("record.db")).arg("--control").arg(folder.join("control.sock"));
    let output = command.output().unwrap();
    assert!(output.status.success(), "{key}: {}", String::from_utf8_lossy(&output.stderr));
}

/// Returns a pair of connected sockets. The second accepts no more bytes until the first is read.
pub fn full_socket() -> (std::os::unix::net::UnixStream, std::os::unix::net::UnixStream) {
    use std::io::{ErrorKind, Write};
    let (reader, mut writer) = std::os::unix::net::UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    loop {
        match writer.write(b"\n") {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
    writer.set_nonblocking(false).unwrap();
    (reader, writer)
}

/// Kills the process when dropped, also when a check has failed.
pub struct KilledOnDrop(pub std::process::Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill(); // the process may have ended
        let _ = self.0.wait();
    }
}
