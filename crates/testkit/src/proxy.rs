//! The program itself, started with a configuration of its own.

use crate::{endpoint_list_json, Client, DiscoveryServer, Log, Message, RefusingPort};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// The platform's settings: classes of each effect, one kind, one zone.
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

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// Where the program's file is: only its own package's tests are told.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    /// Variables of its environment beside NODE_CONFIG.
    environment: Vec<(OsString, OsString)>,
}

/// The program at work; ends when this is dropped.
#[derive(Debug)]
pub struct RunningProgram {
    /// Its process.
    pub child: Child,
    /// Where it listens; the first of several.
    pub address: SocketAddr,
    /// What it says.
    pub log: Log,
    /// The files that it reads: NODE_CONFIG's and the one that adds to it, or the operators' file.
    pub files: Vec<PathBuf>,
}

/// The program at work by an operators' file, on ports that are its own.
#[derive(Debug)]
pub struct ServingProgram {
    running: RunningProgram,
    doors: Vec<RefusingPort>,
}

/// What came of a file that was read again.
#[derive(Clone, Debug)]
pub struct Reload {
    /// It was taken; else it was refused.
    pub accepted: bool,
    /// The number of the line that said so; the reasons follow it.
    pub line: usize,
}

/// The program at work with a configuration and a scripted discovery of its own.
#[derive(Debug)]
pub struct Proxy {
    running: RunningProgram,
    /// The discovery that it asks.
    pub discovery: DiscoveryServer,
    /// Where its configuration is, and what stands there.
    pub config: (PathBuf, String),
}

impl Program {
    /// The program in that file.
    pub fn at(path: impl Into<PathBuf>) -> Program {
        Program { path: path.into(), environment: Vec::new() }
    }

    /// The same program, started with this NODE_LOG.
    pub fn log_level(self, level: &str) -> Program {
        self.environment("NODE_LOG", level)
    }

    /// The same program, started with this variable in its environment.
    pub fn environment(mut self, name: impl Into<OsString>, value: impl Into<OsString>) -> Program {
        self.environment.push((name.into(), value.into()));
        self
    }

    /// Starts it with these entries as the list that it knows from before.
    pub fn start(&self, known: &[String]) -> Proxy {
        self.start_with(known, 1024, SETTINGS)
    }

    /// With a bound on its sockets and with settings.
    pub fn start_with(&self, known: &[String], sockets: u32, settings: &str) -> Proxy {
        self.start_with_limits(known, sockets, settings, 1024)
    }

    /// With a limit on descriptors that need not be the one it is told.
    pub fn start_with_limits(
        &self, known: &[String], sockets: u32, settings: &str, descriptors: u32,
    ) -> Proxy {
        let discovery = DiscoveryServer::start();
        let config = config(discovery.address, known, sockets, settings);
        let running = self.start_with_config(&config, descriptors);
        let path = running.files[0].clone();
        Proxy { running, discovery, config: (path, config) }
    }

    /// Starts it with these entries and settings where discovery is elsewhere, say a [`crate::ListServer`].
    pub fn start_with_discovery(
        &self, discovery: SocketAddr, known: &[String], settings: &str,
    ) -> RunningProgram {
        self.start_with_config(&config(discovery, known, 1024, settings), 1024)
    }

    /// Starts it with that configuration, and waits until it listens.
    pub fn start_with_config(&self, config: &str, descriptors: u32) -> RunningProgram {
        let path = written("json", config);
        let mut command = self.limited(Some(&path), descriptors);
        command.arg("--self-check");
        RunningProgram::start(command, vec![path])
    }

    /// Starts it at that address, which may be held by others, and does not wait for anything.
    pub fn spawn_at(&self, listen: SocketAddr, known: &[String]) -> Proxy {
        let discovery = DiscoveryServer::start();
        let config = config(discovery.address, known, 1024, SETTINGS);
        let config = config.replace("127.0.0.1:0", &listen.to_string());
        let path = written("json", &config);
        let running = self.spawn_with_config(listen, &path);
        Proxy { running, discovery, config: (path, config) }
    }

    /// Starts it by the configuration in that file, which need not be there, and does not wait for anything.
    pub fn spawn_with_config(&self, listen: SocketAddr, config: &Path) -> RunningProgram {
        let mut command = self.limited(Some(config), 1024);
        command.arg("--self-check");
        RunningProgram::launch(command, vec![config.into()], listen)
    }

    /// Starts it where discovery is elsewhere, with a file that adds to NODE_CONFIG: the second of its files.
    pub fn start_with_extension(&self, discovery: SocketAddr, settings: &str, with: &str) -> RunningProgram {
        let (path, with) = (written("json", &config(discovery, &[], 1024, settings)), written("toml", with));
        let mut command = self.limited(Some(&path), 1024);
        command.arg("--self-check").arg("--with").arg(&with);
        RunningProgram::start(command, vec![path, with])
    }

    /// Serves by an operators' file, in which listeners are not said: one is added.
    pub fn serve(&self, text: &str) -> ServingProgram {
        self.serve_on(vec![RefusingPort::new()], text)
    }

    /// Serves by an operators' file that says itself where it listens, without a self-check: for measurements.
    pub fn serve_file(&self, file: impl Fn(SocketAddr) -> String) -> ServingProgram {
        let door = RefusingPort::new();
        let path = written("toml", &file(door.address()));
        let mut command = self.limited(None, 1024);
        command.args(["serve", "--config"]).arg(&path);
        ServingProgram { running: RunningProgram::start(command, vec![path]), doors: vec![door] }
    }

    /// Serves by an operators' file that says itself where it listens, this address among others, and does not wait for
    /// anything.
    pub fn spawn_serving(&self, listen: SocketAddr, text: &str) -> RunningProgram {
        let path = written("toml", text);
        let mut command = self.limited(None, 1024);
        command.args(["serve", "--self-check", "--config"]).arg(&path);
        RunningProgram::launch(command, vec![path], listen)
    }

    /// The same with a listener at each of these.
    pub fn serve_on(&self, doors: Vec<RefusingPort>, text: &str) -> ServingProgram {
        let path = written("toml", &with_listeners(&doors, text));
        let mut command = self.limited(None, 1024);
        command.args(["serve", "--self-check", "--config"]).arg(&path);
        ServingProgram { running: RunningProgram::start(command, vec![path]), doors }
    }

    /// The command to run it, with a configuration or without any.
    pub fn command(&self, config: Option<&str>) -> Command {
        self.limited(config.map(|config| written("json", config)).as_deref(), 1024)
    }

    fn limited(&self, config: Option<&Path>, descriptors: u32) -> Command {
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

    /// Waits until it answers that it is ready; `None` where its process ends before.
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

    /// Puts another text in a file's place, whole at any moment.
    pub fn replace_file(&self, file: usize, text: impl AsRef<[u8]>) {
        let next = self.files[file].with_extension("next");
        std::fs::write(&next, text).unwrap();
        std::fs::rename(&next, &self.files[file]).unwrap();
    }

    /// Has it read its files again, and waits for what it says of them.
    ///
    /// # Panics
    /// Where it says nothing.
    pub fn reload_files(&self) -> Reload {
        let from = self.log.len();
        self.signal("HUP");
        let said = self.log.wait(from, |line| line.contains("SIGHUP: "));
        let (at, line) = said.expect("a word on the file that was read again");
        Reload { accepted: line.contains("SIGHUP: taken"), line: at }
    }

    /// A client with a connection to it.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// One request on a connection of its own.
    pub fn request(&self, request: &str) -> Message {
        self.client().request(request)
    }

    /// Sends it the signal of that name, without `SIG`.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }
}

impl ServingProgram {
    /// Where it listens.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.doors.iter().map(RefusingPort::address).collect()
    }

    /// That text with its listeners, as a file of its own has to have them.
    pub fn file_text(&self, text: &str) -> String {
        with_listeners(&self.doors, text)
    }

    /// Has it read that text, to which its listeners are added, and waits for what it says of it.
    pub fn reload(&self, text: &str) -> Reload {
        self.replace_file(0, self.file_text(text));
        self.reload_files()
    }

    /// The same where the file has to be taken.
    ///
    /// # Panics
    /// Where it is not.
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
    /// Another configuration, in which discovery is elsewhere.
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
        // Whatever the test looked at: no rule may break behind its back.
        let broken = self.log.since(0).into_iter().find(|line| line.contains("self-check:"));
        if let Some(line) = broken.filter(|_| !std::thread::panicking()) {
            panic!("{line}");
        }
    }
}

/// Whether a request on a connection of its own is answered with 200; anything else is none.
fn is_answered_200(at: SocketAddr, request: &[u8]) -> bool {
    use std::io::{Read, Write};
    let Ok(mut tcp) = std::net::TcpStream::connect(at) else { return false };
    let _ = tcp.set_read_timeout(Some(crate::WAIT_LIMIT));
    let mut answer = Vec::new();
    let done = tcp.write_all(request).and_then(|()| tcp.read_to_end(&mut answer));
    done.is_ok() && answer.starts_with(b"HTTP/1.1 200")
}

fn with_listeners(doors: &[RefusingPort], text: &str) -> String {
    let listener = |door: &RefusingPort| format!("[[listener]]\naddress = \"{}\"\n", door.address());
    doors.iter().map(listener).collect::<String>() + text
}

fn config(discovery: SocketAddr, known: &[String], sockets: u32, settings: &str) -> String {
    let known = endpoint_list_json(4, true, known);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

fn written(kind: &str, config: &str) -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("shaletide-{}-{number}.{kind}", std::process::id()));
    std::fs::write(&path, config).unwrap();
    path
}
