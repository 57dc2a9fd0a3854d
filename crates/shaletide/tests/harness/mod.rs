//! The kit with this package's program, whose path only its own tests know.
#![allow(dead_code)]

pub mod start;
pub mod strace;
pub mod trace;

pub use shaletide_testkit::*;

/// This package's program.
pub fn program() -> Program {
    Program::at(env!("CARGO_BIN_EXE_shaletide"))
}

/// The program's command, with a configuration or without any.
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
    /// With a limit on descriptors that need not be the one it is told.
    fn start_with_descriptor_limit(
        known: &[String], sockets: u32, settings: &str, descriptors: u32,
    ) -> Proxy {
        program().start_with_limits(known, sockets, settings, descriptors)
    }
}

impl StartProxy for Proxy {}

/// The head of an operators' file: further attempts at once, and a class of each effect. Listeners are added when
/// it is served.
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

/// A pool of backends, each with its bay.
pub fn pool(name: &str, boxes: &[(std::net::SocketAddr, &str)]) -> String {
    let one =
        |(at, bay): &(std::net::SocketAddr, &str)| format!("{{ address = \"{at}\", bay = \"{bay}\" }}, ");
    format!("[[pool]]\nname = \"{name}\"\nboxes = [{}]\n", boxes.iter().map(one).collect::<String>())
}

/// The same in a group that drops repeats.
pub fn pool_in_domain(name: &str, group: &str, boxes: &[(std::net::SocketAddr, &str)]) -> String {
    pool(name, boxes) + &format!("repeat_group = \"{group}\"\n")
}

/// A route with conditions, a line each, to pools in order of preference.
pub fn route(name: &str, when: &str, pools: &[&str]) -> String {
    format!("[[route]]\nname = \"{name}\"\n{when}\npools = {pools:?}\n")
}

/// A request of a class of [`CLASSES`], by its path, under an id of its own; one with a key has the id for it.
pub fn request(path: &str, left: f64, more: &str) -> String {
    let keyed = path.starts_with("/settle");
    let get = path.starts_with("/read");
    let id = format!("{:x}", REQUESTS.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + 0xabc000);
    let method = if get { "GET" } else { "POST" };
    let key = if keyed { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    let (length, body) = if get { ("", "") } else { ("Content-Length: 4\r\n", "cash") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\n{key}{length}{more}\r\n{body}"
    )
}

/// The id that a request was given.
pub fn id_of(request: &str) -> &str {
    request.split("X-Correlation-Id: ").nth(1).and_then(|rest| rest.split('\r').next()).expect("an id")
}

static REQUESTS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// The module saves up its further attempts from the requests that come: so many pay for several.
pub fn fill_retry_budget(client: &mut Client, path: &str) {
    for _ in 0..30 {
        assert_eq!(client.request(&request(path, 3.0, "")).status(), 200);
    }
}

/// Holds SQLite's writing lock, as another program might: nothing else becomes durable meanwhile.
pub fn lock_store(store: &std::path::Path) -> rusqlite::Connection {
    let db = rusqlite::Connection::open(store).unwrap();
    db.busy_timeout(WAIT_LIMIT).unwrap();
    db.execute_batch("BEGIN IMMEDIATE").unwrap();
    db
}

/// `shaletide record resolve` by way of `control.sock`, for `record.db`, both in that folder.
pub fn resolve(folder: &std::path::Path, key: &str, ran: bool) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_shaletide"));
    command.args(["record", "resolve", key, "--ran", if ran { "yes" } else { "no" }]);
    command.args(["--by", "jo", "--note", "the box's own record"]).env_remove("NODE_CONFIG");
    command.arg("--store").arg(folder.join("record.db")).arg("--control").arg(folder.join("control.sock"));
    let output = command.output().unwrap();
    assert!(output.status.success(), "{key}: {}", String::from_utf8_lossy(&output.stderr));
}

/// A pair of sockets, the second of which takes no more bytes until the first is read.
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

/// A process that is killed as this is dropped, also where a check has failed.
pub struct KilledOnDrop(pub std::process::Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}
