//! Processes of the program under test, each with its own configuration.

use crate::{endpoint_list_json, Client, DiscoveryServer, Log, Message, RefusingPort};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// Settings with a class of each idempotency, one server type and one zone.
pub const SETTINGS: &str = r#"{"blend":{"whole":0.6,"worst_class":0.2},"costs":{"cross_zone":0.0},
"customers":[{"name":"north","quota_rps":500.0}],"discovery":"automatic","position":0,"group_size":1,
"granularity_us":5000,"kinds":["big"],"my_zone":"east","zones":["east"],
"limits":{"cancel":true,"max_attempts":4,"parallel_tries":true,"dial_timeout_us":300000,
"conn_idle_us":60000000,"max_retry_after_us":2000000},"over_share_worth":0.1,
"profiles":[{"name":"read","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5},
{"name":"pay","aim_us":900000,"deadline_us":3000000,"effect":"single_shot","gain":4.0,"late_worth":0.5},
{"name":"vote","aim_us":900000,"deadline_us":3000000,"effect":"guarded","key_scope":"cell","window_us":500000,
"gain":4.0,"late_worth":0.5}],
"rules":{"cold_from":0.3,"fall_multiple":2.5,"must_ask_in_us":9000000,"ramp_time_us":9000000,"tip_after_us":2000000}}"#;

static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// The executable of the program. Cargo gives its path only to the tests of the program's own package.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    /// Environment variables other than NODE_CONFIG.
    environment: Vec<(OsString, OsString)>,
}

/// A running process of the program. It is killed when this is dropped.
#[derive(Debug)]
pub struct RunningProgram {
    /// The process.
    pub child: Child,
    /// The address of its first listener.
    pub address: SocketAddr,
    /// Its log.
    pub log: Log,
    /// The files that it reads: that of NODE_CONFIG and its extension, or the operator file.
    pub files: Vec<PathBuf>,
}

/// A running process that serves by an operator file, on reserved ports.
#[derive(Debug)]
pub struct ServingProgram {
    running: RunningProgram,
    listeners: Vec<RefusingPort>,
}

/// The result of a reload.
#[derive(Clone, Debug)]
pub struct Reload {
    /// Whether the files were accepted; otherwise they were refused.
    pub accepted: bool,
    /// Index of the log line with the result; the reasons follow it.
    pub line: usize,
}

/// A running process with a configuration by NODE_CONFIG and its own scripted discovery.
#[derive(Debug)]
pub struct Proxy {
    running: RunningProgram,
    /// The discovery server that it calls.
    pub discovery: DiscoveryServer,
    /// Path and text of its configuration.
    pub config: (PathBuf, String),
}

impl Program {
    /// Returns the program with the executable at that path.
    pub fn at(path: impl Into<PathBuf>) -> Program {
        Program { path: path.into(), environment: Vec::new() }
    }

    /// Sets NODE_LOG for its processes.
    pub fn log_level(self, level: &str) -> Program {
        self.environment("NODE_LOG", level)
    }

    /// Sets an environment variable for its processes.
    pub fn environment(mut self, name: impl Into<OsString>, value: impl Into<OsString>) -> Program {
        self.environment.push((name.into(), value.into()));
        self
    }

    /// Starts a process with these entries as the endpoint list that it knows from before.
    pub fn start(&self, known: &[String]) -> Proxy {
        self.start_with(known, 1024, SETTINGS)
    }

    /// Starts a process with these known entries, a limit on its sockets, and settings.
    pub fn start_with(&self, known: &[String], sockets: u32, settings: &str) -> Proxy {
        self.start_with_limits(known, sockets, settings, 1024)
    }

    /// Starts a process with a limit on file descriptors that may differ from the limit in its configuration.
    pub fn start_with_limits(
        &self, known: &[String], sockets: u32, settings: &str, descriptors: u32,
    ) -> Proxy {
        let discovery = DiscoveryServer::start();
        let config = config(discovery.address, known, sockets, settings);
        let running = self.start_with_config(&config, descriptors);
        let path = running.files[0].clone();
        Proxy { running, discovery, config: (path, config) }
    }

    /// Starts a process with these known entries and settings that uses the discovery at this address, for example a
    /// [`crate::ListServer`].
    pub fn start_with_discovery(
        &self, discovery: SocketAddr, known: &[String], settings: &str,
    ) -> RunningProgram {
        self.start_with_config(&config(discovery, known, 1024, settings), 1024)
    }

    /// Starts a process with that configuration and waits until it listens.
    pub fn start_with_config(&self, config: &str, descriptors: u32) -> RunningProgram {
        let path = write_temp_file("json", config);
        let mut command = self.limited_command(Some(&path), descriptors);
        command.arg("--self-check");
        RunningProgram::start(command, vec![path])
    }

    /// Starts a process that listens at that address, which may be in use, and waits for nothing.
    pub fn spawn_at(&self, listen: SocketAddr, known: &[String]) -> Proxy {
        let discovery = DiscoveryServer::start();
        let config = config(discovery.address, known, 1024, SETTINGS);
        let config = config.replace("127.0.0.1:0", &listen.to_string());
        let path = write_temp_file("json", &config);
        let running = self.spawn_with_config(listen, &path);
        Proxy { running, discovery, config: (path, config) }
    }

    /// Starts a process with the configuration in that file, which may be missing, and waits for nothing.
    pub fn spawn_with_config(&self, listen: SocketAddr, config: &Path) -> RunningProgram {
        let mut command = self.limited_command(Some(config), 1024);
        command.arg("--self-check");
        RunningProgram::launch(command, vec![config.into()], listen)
    }

    /// Starts a process that uses the discovery at this address, with a file that extends NODE_CONFIG. The extension is the
    /// second of its files.
    pub fn start_with_extension(&self, discovery: SocketAddr, settings: &str, with: &str) -> RunningProgram {
        let (path, with) =
            (write_temp_file("json", &config(discovery, &[], 1024, settings)), write_temp_file("toml", with));
        let mut command = self.limited_command(Some(&path), 1024);
        command.arg("--self-check").arg("--with").arg(&with);
        RunningProgram::start(command, vec![path, with])
    }

    /// Starts a process that serves by an operator file without listeners; one listener is added.
    pub fn serve(&self, text: &str) -> ServingProgram {
        self.serve_on(vec![RefusingPort::new()], text)
    }

    /// Starts a process that serves by an operator file with its own listener, without the self-check, for measurements.
    pub fn serve_file(&self, file: impl Fn(SocketAddr) -> String) -> ServingProgram {
        let listener = RefusingPort::new();
        let path = write_temp_file("toml", &file(listener.address()));
        let mut command = self.limited_command(None, 1024);
        command.args(["serve", "--config"]).arg(&path);
        ServingProgram { running: RunningProgram::start(command, vec![path]), listeners: vec![listener] }
    }

    /// Starts a process that serves by an operator file with its own listeners, one of them at this address, and waits for
    /// nothing.
    pub fn spawn_serving(&self, listen: SocketAddr, text: &str) -> RunningProgram {
        let path = write_temp_file("toml", text);
        let mut command = self.limited_command(None, 1024);
        command.args(["serve", "--self-check", "--config"]).arg(&path);
        RunningProgram::launch(command, vec![path], listen)
    }

    /// Starts a process that serves by an operator file without listeners; a listener is added at each of these ports.
    pub fn serve_on(&self, listeners: Vec<RefusingPort>, text: &str) -> ServingProgram {
        let path = write_temp_file("toml", &with_listeners(&listeners, text));
        let mut command = self.limited_command(None, 1024);
        command.args(["serve", "--self-check", "--config"]).arg(&path);
        let running = RunningProgram::start(command, vec![path]);
        for listener in &listeners {
            running.log.expect(0, &format!("listens on {},", listener.address()));
        }
        ServingProgram { running, listeners }
    }

    /// Returns the command that starts a process, with a configuration or without one.
    pub fn command(&self, config: Option<&str>) -> Command {
        self.limited_command(config.map(|config| write_temp_file("json", config)).as_deref(), 1024)
    }

    fn limited_command(&self, config: Option<&Path>, descriptors: u32) -> Command {
        let mut command = Command::new("sh");
        let line = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        command.args(["-c", &line]).arg(&self.path);
        command.env_remove("NODE_CONFIG").stderr(Stdio::piped()).stdout(Stdio::null());
        if let Some(path) = config {
            command.env("NODE_CONFIG", path);
        }
        command.envs(self.environment.iter().map(|(name, value)| (name, value)));
        command
    }
}

impl RunningProgram {
    fn start(command: Command, files: Vec<PathBuf>) -> RunningProgram {
        let mut running = RunningProgram::launch(command, files, SocketAddr::from(([0, 0, 0, 0], 0)));
        let line = running.log.expect(0, "listens on ");
        let at = line.split("listens on ").nth(1).and_then(|rest| rest.split(',').next());
        running.address = at.and_then(|at| at.parse().ok()).expect("an address");
        running
    }

    fn launch(mut command: Command, files: Vec<PathBuf>, address: SocketAddr) -> RunningProgram {
        let mut child = command.spawn().unwrap();
        let log = Log::follow(child.stderr.take().unwrap());
        RunningProgram { child, address, log, files }
    }

    /// Waits until the process reports that it is ready. Returns the time, or `None` if the process ends first.
    pub fn wait_ready(&mut self) -> Option<std::time::Instant> {
        let probe = b"GET /-/ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
        while matches!(self.child.try_wait(), Ok(None)) {
            if is_answered_200(self.address, probe) {
                return Some(std::time::Instant::now());
            }
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
        None
    }

    /// Replaces a file of the process atomically.
    pub fn replace_file(&self, file: usize, text: impl AsRef<[u8]>) {
        let next = self.files[file].with_extension("next");
        std::fs::write(&next, text).unwrap();
        std::fs::rename(&next, &self.files[file]).unwrap();
    }

    /// Makes the process reload its files and waits for the result.
    ///
    /// # Panics
    /// The process logs no result.
    pub fn reload_files(&self) -> Reload {
        let from = self.log.len();
        self.signal("HUP");
        let logged = self.log.wait(from, |line| line.contains("SIGHUP: "));
        let (index, line) = logged.expect("a log line with the result of the reload");
        Reload { accepted: line.contains("SIGHUP: taken"), line: index }
    }

    /// Opens a client connection to the process.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a request on a new connection and returns its answer.
    pub fn request(&self, request: &str) -> Message {
        self.client().request(request)
    }

    /// Sends the process the signal of that name, given without `SIG`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }
}

impl ServingProgram {
    /// Returns the addresses of its listeners.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().map(RefusingPort::address).collect()
    }

    /// Returns an operator file of that text with the listeners of this process added.
    pub fn file_text(&self, text: &str) -> String {
        with_listeners(&self.listeners, text)
    }

    /// Makes the process reload that text, to which its listeners are added, and waits for the result.
    pub fn reload(&self, text: &str) -> Reload {
        self.replace_file(0, self.file_text(text));
        self.reload_files()
    }

    /// Makes the process reload that text, to which its listeners are added, and expects that it accepts the file.
    ///
    /// # Panics
    /// The process refuses the file.
    pub fn reload_accepted(&self, text: &str) {
        let reload = self.reload(text);
        assert!(reload.accepted, "{}", self.log.since(reload.line).join("\n"));
    }
}

impl std::ops::Deref for ServingProgram {
    type Target = RunningProgram;
    fn deref(&self) -> &RunningProgram {
        &self.running
    }
}

impl std::ops::DerefMut for ServingProgram {
    fn deref_mut(&mut self) -> &mut RunningProgram {
        &mut self.running
    }
}

impl Proxy {
    /// Replaces the configuration by one with another address of discovery.
    pub fn move_discovery(&self, to: SocketAddr) {
        let moved = self.config.1.replace(&self.discovery.address.to_string(), &to.to_string());
        std::fs::write(&self.config.0, moved).unwrap();
    }
}

impl std::ops::Deref for Proxy {
    type Target = RunningProgram;
    fn deref(&self) -> &RunningProgram {
        &self.running
    }
}

impl std::ops::DerefMut for Proxy {
    fn deref_mut(&mut self) -> &mut RunningProgram {
        &mut self.running
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
        // A violation found by the self-check fails the test, whatever the test itself checks.
        let violation = self.log.since(0).into_iter().find(|line| line.contains("self-check:"));
        if let Some(line) = violation.filter(|_| !std::thread::panicking()) {
            panic!("{line}");
        }
    }
}

/// Sends a request on a new connection and returns whether the answer has status 200; any error counts as `false`.
fn is_answered_200(address: SocketAddr, request: &[u8]) -> bool {
    use std::io::{Read, Write};
    let Ok(mut tcp) = std::net::TcpStream::connect(address) else { return false };
    let _ = tcp.set_read_timeout(Some(crate::WAIT_LIMIT));
    let mut answer = Vec::new();
    let received = tcp.write_all(request).and_then(|()| tcp.read_to_end(&mut answer));
    received.is_ok() && answer.starts_with(b"HTTP/1.1 200")
}

fn with_listeners(listeners: &[RefusingPort], text: &str) -> String {
    let section = |listener: &RefusingPort| format!("[[listener]]\naddress = \"{}\"\n", listener.address());
    listeners.iter().map(section).collect::<String>() + text
}

fn config(discovery: SocketAddr, known: &[String], sockets: u32, settings: &str) -> String {
    let known = endpoint_list_json(4, true, known);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

fn write_temp_file(extension: &str, text: &str) -> PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("shaletide-{}-{number}.{extension}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}
