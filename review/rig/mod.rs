//! Stand-ins for the cases of the review: backends, the discovery agent, clients, and the platform that starts the proxies.
//! Standard library only. Every address is on the loopback.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What happened, one line an event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    pub fn add(&self, text: impl Into<String>) -> f64 {
        let now = self.now_ms();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    /// Adds a line and shows it.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{text}");
        self.add(text);
    }

    pub fn save(&self, to: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:10.1} ms  {line}\n")).collect();
        fs::write(to, text).expect("record.txt");
    }
}

/// A request as a backend or the agent reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("x-correlation-id")
    }
}

/// A response as a client reads it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn closes(&self) -> bool {
        self.headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read too far.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(to: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&to, Duration::from_secs(2))?))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16384];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buffer.extend_from_slice(&part[..read]);
                Ok(())
            }
        }
    }

    /// Reads a head and a body by its `Content-Length`. Returns the first line, the headers and the body.
    fn message(&mut self) -> io::Result<(String, HashMap<String, String>, Vec<u8>)> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_string();
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        let body = self.buffer.drain(..length).collect();
        Ok((first, headers, body))
    }

    pub fn read_request(&mut self) -> io::Result<Request> {
        let (first, headers, body) = self.message()?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().into();
        let path = words.next().unwrap_or_default().into();
        Ok(Request { method, path, headers, body })
    }

    pub fn read_response(&mut self) -> io::Result<Response> {
        let (first, headers, body) = self.message()?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        Ok(Response { status, headers, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A 200 with its length.
pub fn ok(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Serves each connection of a listener on a thread of its own. `serve` handles one request and returns whether the
/// connection stays open. A connection that stands idle is closed after `idle`, as the settings say.
pub fn serve<F>(idle: Duration, serve: F) -> SocketAddr
where
    F: Fn(&Request, &mut Connection) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = stream.set_read_timeout(Some(idle));
                let mut connection = Connection::new(stream);
                while let Ok(request) = connection.read_request() {
                    if !serve(&request, &mut connection) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u32,
    pub status: String,
    pub since_ms: u64,
}

impl Endpoint {
    pub fn new(name: &str, address: SocketAddr, kind: &str, group: u32) -> Endpoint {
        let zone = "quay-office".into();
        Endpoint { name: name.into(), address, zone, kind: kind.into(), group, status: "SERVING".into(), since_ms: 0 }
    }

    fn json(&self) -> String {
        let Endpoint { name, address, zone, kind, group, status, since_ms } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":{group},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    }
}

pub fn list_json(index: u64, endpoints: &[Endpoint]) -> String {
    let entries: Vec<String> = endpoints.iter().map(Endpoint::json).collect();
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

struct AgentState {
    index: u64,
    endpoints: Vec<Endpoint>,
    silent: bool,
    /// Calls that came in an earlier era are never answered.
    era: u64,
}

/// The agent of a discovery that pushes. It answers each call at once or, if it is a watch, as soon as there is something
/// newer; it always answers with the whole list, as the protocol allows. While it is silent it answers nothing.
#[derive(Clone)]
pub struct Agent {
    state: Arc<(Mutex<AgentState>, Condvar)>,
    pub address: SocketAddr,
}

impl Agent {
    pub fn start(index: u64, endpoints: Vec<Endpoint>, record: Record) -> Agent {
        let state = Arc::new((Mutex::new(AgentState { index, endpoints, silent: false, era: 0 }), Condvar::new()));
        let shared = state.clone();
        let address = serve(Duration::from_secs(300), move |request, connection| {
            let (lock, changed) = &*shared;
            let number = |name: &str| -> Option<u64> {
                let query = request.path.split_once('?')?.1;
                let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
                pair.parse().ok()
            };
            let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
            let mut state = lock.lock().unwrap();
            if state.silent {
                drop(state);
                record.add(format!("agent: no answer to {}", request.path));
                thread::sleep(Duration::from_secs(300));
                return false;
            }
            let era = state.era;
            while number("after") == Some(state.index) && Instant::now() < until && !state.silent && state.era == era {
                state = changed.wait_timeout(state, until - Instant::now()).unwrap().0;
            }
            if state.silent || state.era != era {
                drop(state);
                record.add(format!("agent: {} falls silent", request.path));
                thread::sleep(Duration::from_secs(300));
                return false;
            }
            let body = match number("after") == Some(state.index) {
                true => format!(r#"{{"index":{},"snapshot":false,"endpoints":[]}}"#, state.index),
                false => list_json(state.index, &state.endpoints),
            };
            drop(state);
            connection.write(&ok(&body)).is_ok()
        });
        Agent { state, address }
    }

    /// Changes the list: from now on it counts as told.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Endpoint>)) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        change(&mut state.endpoints);
        state.index += 1;
        self.state.1.notify_all();
        state.index
    }

    /// Lets the open watches fall silent. New calls are answered.
    pub fn silence_watches(&self) {
        self.state.0.lock().unwrap().era += 1;
        self.state.1.notify_all();
    }

    /// While it is silent no call is answered, not even later.
    pub fn set_silent(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        self.state.1.notify_all();
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The settings of the operators' page WIRE, with the number of proxies and the proxy's own.
pub fn settings(proxies: usize, position: usize) -> String {
    include_str!("settings.json").replace("\"PROXIES\"", &proxies.to_string()).replace("\"POSITION\"", &position.to_string())
}

/// A proxy, started as the platform does.
pub struct Proxy {
    pub name: String,
    pub listen: SocketAddr,
    config: PathBuf,
    discovery: SocketAddr,
    log: PathBuf,
    child: Child,
}

/// A free port. It is bound anew at once by the proxy, which is started next.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn temporary() -> PathBuf {
    PathBuf::from(std::env::var("RIG_TMP").expect("RIG_TMP"))
}

fn spawn(name: &str, listen: SocketAddr, discovery: SocketAddr, config: &PathBuf, log: &PathBuf) -> Child {
    let run = std::env::var("RIG_RUN").expect("RIG_RUN: the command `run` of the deploy file");
    let root = std::env::var("RIG_ROOT").expect("RIG_ROOT");
    let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    let child = Command::new("/bin/sh")
        .args(["-c", &run])
        .current_dir(root)
        .env("NODE_NAME", name)
        .env("NODE_LISTEN", listen.to_string())
        .env("NODE_DISCOVERY", discovery.to_string())
        .env("NODE_CONFIG", config)
        .env("TMPDIR", temporary())
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the proxy");
    // For the script, which ends what is left if this program is ended itself.
    let pids = fs::OpenOptions::new().create(true).append(true).open(temporary().join("pids"));
    writeln!(pids.unwrap(), "{}", child.id()).unwrap();
    child
}

impl Proxy {
    pub fn start(name: &str, discovery: SocketAddr, known: &str, settings: &str) -> Proxy {
        let listen = free_address();
        let config = temporary().join(format!("{name}.json"));
        let log = temporary().join(format!("{name}.log"));
        write_config(&config, name, listen, discovery, known, settings);
        let child = spawn(name, listen, discovery, &config, &log);
        let proxy = Proxy { name: name.into(), listen, config, discovery, log, child };
        proxy.await_ready();
        proxy
    }

    /// Waits until `GET /-/ready` is answered with 200.
    fn await_ready(&self) {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(15) {
            if let Ok(mut probe) = Connection::open(self.listen) {
                let _ = probe.stream.set_read_timeout(Some(Duration::from_secs(1)));
                let asked = probe.write(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
                if asked.is_ok() && probe.read_response().is_ok_and(|answer| answer.status == 200) {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        println!("{} is not ready after 15 s", self.name);
        std::process::exit(2);
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([format!("-{signal}"), self.child.id().to_string()]).status();
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Kills the proxy outright and starts it again, under its name and address, with the list that it had.
    pub fn kill_and_restart(&mut self, known: &str, settings: &str) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        write_config(&self.config, &self.name, self.listen, self.discovery, known, settings);
        self.child = spawn(&self.name, self.listen, self.discovery, &self.config, &self.log);
        self.await_ready();
    }

    /// Writes a configuration with another discovery and sends SIGHUP.
    pub fn move_discovery(&mut self, discovery: SocketAddr, known: &str, settings: &str) {
        self.discovery = discovery;
        let next = self.config.with_extension("next");
        write_config(&next, &self.name, self.listen, discovery, known, settings);
        fs::rename(&next, &self.config).unwrap();
        self.signal("HUP");
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_config(
    to: &PathBuf, name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str,
) {
    let text = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    );
    fs::write(to, text).unwrap();
}

/// Random numbers from a seed (splitmix64).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An exponential pause with this mean.
    pub fn pause(&mut self, mean_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.unit()).ln() * mean_s)
    }

    pub fn hex(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// The text of a request. The method follows from whether there is a body or a key.
pub fn request_text(method: &str, class: &str, id: &str, key: Option<&str>, time_left_s: f64, body: &str) -> String {
    let mut text = format!(
        "{method} /{class}/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Account: milford\r\nX-Time-Left: {time_left_s:.3}\r\n"
    );
    if let Some(key) = key {
        text += &format!("Idempotency-Key: {key}\r\n");
    }
    if method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text + "\r\n" + body
}

/// Whether the disruption is played: not with TROUBLE=0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
