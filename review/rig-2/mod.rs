//! Stand-ins for the cases 6 to 10: a platform agent, backends, clients, a relay and the program under test as a process of
//! its own. The standard library alone. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// prctl: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is played: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

// ---------------------------------------------------------------------------------------------- record

/// `record.txt`: one line for each thing that was sent, answered or run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    begun: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = std::fs::File::create(folder.join("record.txt")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Record { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.4} {text}");
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn at(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------------------------------------- random numbers

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
    pub fn hex(&mut self) -> String {
        format!("{:016x}", self.next())
    }
    /// A pause drawn from the exponential distribution.
    pub fn pause(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.unit()).ln())
    }
}

pub fn seed() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |t| t.as_nanos() as u64)
}

// ---------------------------------------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn class(&self) -> &str {
        self.path().split('/').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a stream; keeps what came behind one for the next.
#[derive(Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads a whole message; `Ok(None)` where the stream ends in order before one begins.
    pub fn read(&mut self, stream: &mut TcpStream) -> std::io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or("").to_string();
                let headers: Vec<(String, String)> = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
                    .collect();
                let mut message = Message { first, headers, body: Vec::new() };
                let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
                let whole = end + 4 + length;
                while self.buffer.len() < whole {
                    if self.fill(stream)? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.buffer[end + 4..whole].to_vec();
                self.buffer.drain(..whole);
                return Ok(Some(message));
            }
            if self.fill(stream)? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn fill(&mut self, stream: &mut TcpStream) -> std::io::Result<usize> {
        let mut chunk = [0; 16384];
        loop {
            match stream.read(&mut chunk) {
                Ok(n) => {
                    self.buffer.extend_from_slice(&chunk[..n]);
                    return Ok(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n" + body).into_bytes()
}

// ---------------------------------------------------------------------------------------------- agent

#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u64,
    pub status: &'static str,
    pub weight: f64,
    pub since_ms: u64,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr, group: u64) -> Entry {
        Entry {
            name: name.into(),
            address,
            zone: "quay-office".into(),
            kind: "new-box".into(),
            group,
            status: "SERVING",
            weight: 1.0,
            since_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\"weight\":{:.3},\"since_ms\":{}}}",
            self.name, self.address, self.zone, self.kind, self.group, self.status, self.weight, self.since_ms
        )
    }
}

#[derive(Default)]
struct Lists {
    index: u64,
    /// By name: the version of its last change and the entry.
    entries: BTreeMap<String, (u64, Entry)>,
}

impl Lists {
    fn json(&self, after: Option<u64>) -> String {
        let entries: Vec<String> = self
            .entries
            .values()
            .filter(|(at, entry)| match after {
                Some(after) => *at > after,
                None => entry.status != "DELETED",
            })
            .map(|(_, entry)| entry.json())
            .collect();
        format!("{{\"index\":{},\"snapshot\":{},\"endpoints\":[{}]}}", self.index, after.is_none(), entries.join(","))
    }
}

/// The platform's agent: answers at once with what it has, or a watch as soon as something is new.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    lists: Arc<(Mutex<Lists>, Condvar)>,
    /// Counts the times at which all open calls fell silent.
    silences: Count,
    /// Discovery is down: the agent says nothing.
    down: Flag,
}

impl Agent {
    pub fn start() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let agent = Agent { address, lists: Arc::default(), silences: Count::default(), down: Flag::default() };
        agent.lists.0.lock().unwrap().index = 1;
        let own = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        agent
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        while let Ok(Some(call)) = reader.read(&mut stream) {
            let silences = self.silences.get();
            let is_silent = || self.down.get() || self.silences.get() != silences;
            let number = |name: &str| -> Option<u64> {
                let query = call.path().split_once('?')?.1;
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let text = match number("after") {
                None => self.lists.0.lock().unwrap().json(None),
                Some(after) => {
                    let until = Instant::now() + ms(number("wait_ms").unwrap_or(0));
                    let mut lists = self.lists.0.lock().unwrap();
                    while lists.index <= after && Instant::now() < until && !is_silent() {
                        let left = until.saturating_duration_since(Instant::now());
                        lists = self.lists.1.wait_timeout(lists, left).unwrap().0;
                    }
                    lists.json(Some(after))
                }
            };
            // Such a call is never answered, and its connection stays open.
            while is_silent() {
                thread::sleep(ms(100));
                if self.down.get() {
                    self.silences.add();
                }
            }
            if stream.write_all(&response("200 OK", &[("Content-Type", "application/json")], &text)).is_err() {
                return;
            }
        }
    }

    /// Sets entries; the agent has the change from now on.
    pub fn set(&self, entries: &[Entry]) {
        let mut lists = self.lists.0.lock().unwrap();
        lists.index += 1;
        let index = lists.index;
        for entry in entries {
            lists.entries.insert(entry.name.clone(), (index, entry.clone()));
        }
        self.lists.1.notify_all();
    }

    /// All calls that are open now are never answered; later ones are.
    pub fn silence_open_calls(&self) {
        self.silences.add();
    }

    /// Discovery goes down, or is back: meanwhile the agent says nothing, and what was asked meanwhile is never answered.
    pub fn set_down(&self, down: bool) {
        if down {
            self.silences.add();
        }
        self.down.set(down);
    }

    pub fn known(&self) -> String {
        self.lists.0.lock().unwrap().json(None)
    }
}

// ---------------------------------------------------------------------------------------------- backends

/// Serves each connection of a listener in a thread of its own.
pub fn serve(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(stream));
        }
    });
    address
}

/// What the backends ran, by the request's id or key.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<BTreeMap<String, Vec<(f64, String)>>>>);

impl Ledger {
    pub fn add(&self, id: &str, at: f64, by: &str) -> usize {
        let mut runs = self.0.lock().unwrap();
        let runs = runs.entry(id.to_string()).or_default();
        runs.push((at, by.to_string()));
        runs.len()
    }
    pub fn runs(&self, id: &str) -> Vec<(f64, String)> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
    pub fn all(&self) -> BTreeMap<String, Vec<(f64, String)>> {
        self.0.lock().unwrap().clone()
    }
}

// ---------------------------------------------------------------------------------------------- the program under test

pub fn root() -> PathBuf {
    std::env::var("ROOT").map(PathBuf::from).unwrap_or_else(|_| cannot_run("ROOT is not set"))
}

pub fn folder() -> PathBuf {
    std::env::var("CASE").map(PathBuf::from).unwrap_or_else(|_| cannot_run("CASE is not set"))
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"').map(String::from));
    line.unwrap_or_else(|| cannot_run("the deploy file has no `run`"))
}

/// A temporary folder that is removed at the end.
pub struct Temp(pub PathBuf);

impl Temp {
    pub fn new() -> Temp {
        let path = std::env::temp_dir().join(format!("shaletide-case-{}-{}", std::process::id(), seed()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Temp(path)
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot_run(&e.to_string()))
}

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    pub log: PathBuf,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the program as the platform does: `run` of the deploy file with the configuration that NODE_CONFIG names.
pub fn start_proxy(temp: &Path, name: &str, listen: SocketAddr, config: &str, agent: SocketAddr) -> Process {
    let path = temp.join(format!("{name}.json"));
    std::fs::write(&path, config).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let own = temp.join(format!("{name}.tmp"));
    let _ = std::fs::create_dir_all(&own);
    start(temp, name, &run_command(), |command| {
        command.env("NODE_NAME", name).env("NODE_LISTEN", listen.to_string());
        command.env("NODE_DISCOVERY", agent.to_string()).env("NODE_CONFIG", &path).env("TMPDIR", own);
    })
}

/// Starts `command` from the root, with its log in the temporary folder.
pub fn start(temp: &Path, name: &str, command: &str, with: impl FnOnce(&mut Command)) -> Process {
    let log = temp.join(format!("{name}.log"));
    let file = std::fs::OpenOptions::new().create(true).append(true).open(&log);
    let file = file.unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut shell = Command::new("/bin/sh");
    shell.arg("-c").arg(command).current_dir(root());
    shell.stdin(Stdio::null()).stdout(file.try_clone().unwrap()).stderr(file);
    with(&mut shell);
    // Ends with the case, however that ends. Kept across `exec`.
    let end_with_parent = || {
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
        Ok(())
    };
    unsafe { shell.pre_exec(end_with_parent) };
    let child = shell.spawn().unwrap_or_else(|e| cannot_run(&format!("{command}: {e}")));
    Process { child, log }
}

/// Waits until the readiness probe is answered with 200.
pub fn await_ready(at: SocketAddr, process: &mut Process) {
    let until = Instant::now() + ms(15_000);
    while Instant::now() < until {
        if process.ended().is_some() {
            cannot_run(&format!("the program ended: {}", process.log_text()));
        }
        if let Ok(mut stream) = TcpStream::connect(at) {
            let _ = stream.set_read_timeout(Some(ms(1000)));
            let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
            if let Ok(Some(answer)) = Reader::default().read(&mut stream) {
                if answer.status() == 200 {
                    return;
                }
            }
        }
        thread::sleep(ms(20));
    }
    cannot_run("the program was not ready within 15 s");
}

/// The figures of a deployment that a case may set; the others are those of the operators' site.
pub struct Figures {
    pub proxies: u32,
    pub position: u32,
    pub sockets: u32,
    pub grace_ms: u64,
    pub classes: String,
    pub discovery: &'static str,
    pub kinds: &'static str,
    /// The cost of crossing zones.
    pub cross_zone: f64,
}

pub fn class(name: &str, effect: &str, aim_ms: u64, deadline_ms: u64, scope: &str, window_ms: u64) -> String {
    format!(
        "{{\"aim_us\":{},\"deadline_us\":{},\"effect\":\"{effect}\",\"gain\":5.0,\"key_scope\":\"{scope}\",\"late_worth\":0.25,\"name\":\"{name}\",\"stream\":false,\"window_us\":{}}}",
        aim_ms * 1000, deadline_ms * 1000, window_ms * 1000
    )
}

/// The four classes of the operators' site.
pub fn site_classes() -> String {
    [
        class("lot-view", "free", 400, 800, "all", 5000),
        class("clock-price", "free", 200, 400, "all", 5000),
        class("bid", "guarded", 400, 2000, "cell", 1200),
        class("settle", "single_shot", 400, 1000, "all", 5000),
    ]
    .join(",")
}

impl Default for Figures {
    fn default() -> Figures {
        Figures {
            proxies: 1,
            position: 0,
            sockets: 1024,
            grace_ms: 2000,
            classes: site_classes(),
            discovery: "automatic",
            kinds: "\"new-box\",\"old-box\"",
            cross_zone: 0.03,
        }
    }
}

pub fn config(name: &str, listen: SocketAddr, agent: SocketAddr, known: &str, figures: &Figures) -> String {
    let Figures { proxies, position, sockets, grace_ms, classes, discovery, kinds, cross_zone } = figures;
    let settings = format!(
        r#"{{"blend":{{"whole":0.45,"worst_class":0.3,"worst_tenant":0.1,"worst_window":0.15}},"callers":{{"marks_retry":true}},
"costs":{{"connection":0.0,"cross_zone":{cross_zone:.3},"discovery":0.0,"handshake":0.0,"late_fail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.15}},
"customers":[{{"name":"milford","quota_rps":226.0,"share":0.62}},{{"name":"swansea","quota_rps":95.0,"share":0.26}},{{"name":"holyhead","quota_rps":44.0,"share":0.12}}],
"discovery":"{discovery}","family":"proxy","family_info":{{"warm_keys":false}},"granularity_us":5000,"group_size":{proxies},
"kinds":[{kinds}],"layer":0,
"limits":{{"cancel":true,"conn_idle_us":10000000,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,"dial_timeout_us":100000,"max_attempts":5,"max_retry_after_us":2000000,"max_streams":1,"open_cap":20000,"parallel_tries":true,"peers":false,"probes":true,"retry_after":false}},
"my_zone":"quay-office","over_share_worth":0.1,"position":{position},"profiles":[{classes}],
"report":{{"fields":["active","err_rps","avg_ms"],"how":"inline"}},
"rules":{{"answer_slack_us":20000,"cold_from":0.14,"fall_multiple":3.0,"must_ask_in_us":10000000,"ramp_time_us":24000000,"stop_sending_within_us":{},"tip_after_us":1000000}},
"tiers":["auction-web"],"value_by":"request","weight_source":"off","zones":["quay-office","cold-store"]}}"#,
        grace_ms * 1000
    );
    let mut rng = Rng::new(seed());
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{agent}\",\"seed\":\"{}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\"peers\":[],\"known\":{known},\"settings\":{settings}}}",
        rng.hex()
    )
}

// ---------------------------------------------------------------------------------------------- clients

/// How a client's try ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Answered(u16, String),
    /// The connection ended without a whole answer.
    Ended(String),
    /// Nothing came within the time that the client waited.
    Silent,
}

/// A client that keeps its connection between requests.
pub struct Client {
    to: SocketAddr,
    kept: Option<TcpStream>,
}

pub struct Ask<'a> {
    pub class: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub safe: bool,
    pub time_left: Duration,
    /// How long the client waits for the answer before it gives up and closes.
    pub patience: Duration,
    pub body: &'a str,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, kept: None }
    }

    fn bytes(ask: &Ask<'_>) -> Vec<u8> {
        let method = if ask.safe { "GET" } else { "POST" };
        let mut text = format!(
            "{method} /{}/{} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\nX-Account: milford\r\nX-Time-Left: {:.3}\r\n",
            ask.class, ask.id, ask.id, ask.time_left.as_secs_f64()
        );
        if let Some(key) = ask.key {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        if !ask.safe {
            text += &format!("Content-Length: {}\r\n", ask.body.len());
        }
        (text + "\r\n" + if ask.safe { "" } else { ask.body }).into_bytes()
    }

    /// Sends a request and reads its answer. A kept connection that the proxy closed between requests is replaced once, as the
    /// protocol page has it.
    pub fn ask(&mut self, ask: &Ask<'_>) -> Answer {
        let bytes = Client::bytes(ask);
        let was_kept = self.kept.is_some();
        match self.once(&bytes, ask.patience) {
            Answer::Ended(_) if was_kept => self.once(&bytes, ask.patience),
            answer => answer,
        }
    }

    fn once(&mut self, bytes: &[u8], patience: Duration) -> Answer {
        let mut stream = match self.kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(self.to) {
                Ok(stream) => stream,
                Err(error) => return Answer::Ended(format!("no connection: {error}")),
            },
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(patience));
        if let Err(error) = stream.write_all(bytes) {
            return Answer::Ended(error.to_string());
        }
        match Reader::default().read(&mut stream) {
            Ok(Some(answer)) => {
                let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                if !closes {
                    self.kept = Some(stream);
                }
                Answer::Answered(answer.status(), answer.text())
            }
            Ok(None) => Answer::Ended("closed without an answer".into()),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Answer::Silent,
            Err(error) => Answer::Ended(error.to_string()),
        }
    }
}

// ---------------------------------------------------------------------------------------------- shared flags

#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self, on: bool) {
        self.0.store(on, Ordering::SeqCst)
    }
    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

#[derive(Clone, Default)]
pub struct Count(Arc<AtomicU64>);

impl Count {
    pub fn add(&self) -> u64 {
        self.0.fetch_add(1, Ordering::SeqCst) + 1
    }
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}
