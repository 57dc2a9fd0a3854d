//! Invalid operators' files, hostile clients and faulty backends, tested against the program with an operators' file.

mod harness;

use harness::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// A running program with its operators' file; dropping it ends the program and removes the file. A file cannot leave the
/// choice of the port to the kernel, so `LISTEN` in it is replaced by an address that was free.
struct ServedProxy {
    child: Child,
    address: SocketAddr,
    path: PathBuf,
    log: mpsc::Receiver<String>,
}

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
const CLASSES: &str = "[[class]]\nname = \"read\"\n[[class]]\nname = \"pay\"\neffect = \"unsafe\"\n";

/// Returns the text of a file with a listener and one pool of these backends.
fn file(sections: &str, backends: &[&BackendServer]) -> String {
    let backends: Vec<String> = backends.iter().map(|b| format!("\"{}\"", b.address)).collect();
    let backends = backends.join(", ");
    format!("[[listener]]\naddress = \"LISTEN\"\n{sections}[[pool]]\nname = \"p\"\nboxes = [{backends}]\n")
}

impl ServedProxy {
    fn start(text: &str) -> ServedProxy {
        (0..10).find_map(|_| ServedProxy::try_start(text)).expect("a port that stays free")
    }

    fn try_start(text: &str) -> Option<ServedProxy> {
        let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let number = NEXT_NUMBER.fetch_add(1, SeqCst);
        let path =
            std::env::temp_dir().join(format!("shaletide-hostile-{}-{number}.toml", std::process::id()));
        std::fs::write(&path, text.replace("LISTEN", &address.to_string())).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
        command.args(["serve", "--config"]).arg(&path).env_remove("NODE_CONFIG").stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let (sender, log) = mpsc::channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(sender.send(line))));
        let served = ServedProxy { child, address, path, log };
        served.log.iter().any(|line| line.contains("listens on ")).then_some(served)
    }

    /// Waits for a log line that contains `text` and returns it.
    fn expect_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_LIMIT).expect("a line in the log");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    fn reload(&self, text: &str) {
        std::fs::write(&self.path, text.replace("LISTEN", &self.address.to_string())).unwrap();
        self.signal("HUP");
        self.expect_log("SIGHUP: ");
    }

    fn client(&self) -> Client {
        Client::connect(self.address)
    }
}

impl Drop for ServedProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// With `cancel = false` an attempt still ends at its request's deadline: a backend that never responds does not hold a
/// connection.
#[test]
fn attempt_that_may_not_be_cancelled_ends_at_its_deadline() {
    let silent = BackendServer::start(|_| Reply::Silence);
    let served = ServedProxy::start(&file(&format!("[limits]\ncancel = false\n{CLASSES}"), &[&silent]));
    let answer = served.client().request(&read_request(0.3));
    assert!(matches!(answer.status(), 502..=504), "{}", answer.status());
    let start = Instant::now();
    silent.wait_closed();
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// A request keeps the deadline under which it was accepted, even when the program shuts down after a reload with shorter
/// deadlines.
#[test]
fn shutdown_waits_for_requests_accepted_under_a_longer_deadline() {
    let gate = Arc::new(Gate::default());
    let response_gate = gate.clone();
    let slow = BackendServer::start(move |_| Reply::Gate(response_gate.clone()));
    let classes =
        |deadline: &str| CLASSES.replace("\"unsafe\"", &format!("\"unsafe\"\ndeadline = \"{deadline}\""));
    let classes = |deadline: &str| classes(deadline).replace("\"read\"", "\"read\"\ndeadline = \"500ms\"");
    let mut served = ServedProxy::start(&file(&classes("10s"), &[&slow]));
    let mut client = served.client();
    client.send(&pay_request(9.0));
    slow.next_request();
    served.reload(&file(&classes("500ms"), &[&slow]));
    served.signal("TERM");
    std::thread::sleep(Duration::from_millis(1500)); // longer than the linger and all deadlines of the new file
    gate.open();
    assert_eq!(client.answer().expect("the response that is owed").body, b"gated");
    assert!(served.child.wait().unwrap().success());
}

/// A file that cannot be read to its end blocks neither requests nor later reloads: a named pipe without a writer, or a file
/// of 1 TiB.
#[test]
fn endless_file_does_not_block_reload() {
    let good = BackendServer::start(|_| ok_reply("x"));
    let text = file(CLASSES, &[&good]);
    let served = ServedProxy::start(&text);
    std::fs::remove_file(&served.path).unwrap();
    let status = Command::new("mkfifo").arg(&served.path).status().unwrap();
    assert!(status.success());
    served.signal("HUP");
    served.expect_log("SIGHUP: nothing changes");
    assert_eq!(served.client().request(&read_request(2.0)).status(), 200);
    std::fs::remove_file(&served.path).unwrap();
    let endless = std::fs::File::create(&served.path).unwrap();
    endless.set_len(1 << 40).unwrap();
    let start = Instant::now();
    served.signal("HUP");
    served.expect_log("SIGHUP: nothing changes");
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    served.reload(&text.replace("\"p\"", "\"q\""));
    assert_eq!(served.client().request(&read_request(2.0)).status(), 200);
}

/// Signals that arrive while a file is read cause one more read, and the last file is applied.
#[test]
fn last_of_many_reloads_is_applied() {
    let (old, new) = (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
    let served = ServedProxy::start(&file(CLASSES, &[&old]));
    for _ in 0..50 {
        std::fs::write(&served.path, "{").unwrap();
        served.signal("HUP");
    }
    std::fs::write(&served.path, file(CLASSES, &[&new]).replace("LISTEN", &served.address.to_string()))
        .unwrap();
    served.signal("HUP");
    served.expect_log("SIGHUP: taken");
    let mut client = served.client();
    (0..5).for_each(|_| assert_eq!(client.request(&read_request(2.0)).body, b"new"));
}

/// A path that matches a non-idempotent class only when decoded or normalized differently is rejected. It does not fall
/// through to the class given by `otherwise`, whose requests may be retried.
#[test]
fn ambiguous_path_to_unsafe_class_is_rejected() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let status_of = |form: &str, path: &str| {
        let any = "[[class]]\nname = \"any\"\nmethods = [\"GET\", \"POST\"]\n";
        let form = format!("[request]\notherwise = \"any\"\n{form}{CLASSES}{any}");
        let served = ServedProxy::start(&file(&form, &[&backend]));
        let post = format!("POST {path} HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n");
        served.client().request(&post).status()
    };
    for path in ["/%70ay/x", "/%2570ay/x", "/pay;a=1/x", "/pay%3Ba/x", "/pay%2Fx", "/pay%252fx"] {
        assert_eq!(status_of("", path), 400, "{path}");
    }
    let second = "class = { path = 2 }\n";
    for path in ["/v1//pay/x", "/v1%2Fpay/x", "/v1/%70ay", "/%2Fv1/pay", "/v1;a/%2fpay"] {
        assert_eq!(status_of(second, path), 400, "{path}");
    }
    for (form, path) in
        [("", "/x/pay"), ("", "/x%20y"), ("", "/pay/%41//b;c"), (second, "/pay//x"), (second, "/v1/pay")]
    {
        assert_eq!(status_of(form, path), 200, "{path}");
    }
}

/// The proxy never requests a protocol upgrade, so a response with status 101 is invalid and is not forwarded.
#[test]
fn protocol_switch_is_an_invalid_response() {
    for headers in
        ["Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n", "Upgrade: x\r\n\r\n"]
    {
        let pieces = vec![format!("HTTP/1.1 101 X\r\n{headers}")];
        let backend = BackendServer::start(move |_| Reply::Pieces(pieces.clone()));
        let served = ServedProxy::start(&file(CLASSES, &[&backend]));
        assert_eq!(served.client().request(&pay_request(1.0)).status(), 502, "{headers:?}");
    }
}

/// The limit applies to requests and responses alike.
#[test]
fn max_body_limits_request_and_response() {
    let length = |n: u32| if n == 0 { 2000 } else { 2001 };
    let backend = BackendServer::start(move |n| ok_reply(&"x".repeat(length(n))));
    let text = file(&format!("[limits]\nmax_body = \"2KB\"\n{CLASSES}"), &[&backend]);
    let served = ServedProxy::start(&text);
    let post = |length: usize| {
        let body = "y".repeat(length);
        format!("POST /pay/x HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}")
    };
    assert_eq!(served.client().request(&post(2000)).body.len(), 2000);
    assert_eq!(served.client().request(&post(2001)).status(), 413);
    assert_eq!(served.client().request(&post(0)).status(), 502, "the response is too long");
    served.reload(&text.replace("2KB", "3KB"));
    assert_eq!(served.client().request(&post(2001)).body.len(), 2001);
}

/// A work hint that overflows does not make its request fail.
#[test]
fn overflowing_work_hint_is_ignored() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let classes = CLASSES.replace("\"read\"", "\"read\"\naim_stretch = 2.0");
    let served = ServedProxy::start(&file(&classes, &[&backend]));
    for hint in ["1e300", "1e19", "9223372036854775808", "0"] {
        let get = format!("GET /read/x HTTP/1.1\r\nHost: s\r\nX-Weight-Hint: {hint}\r\n\r\n");
        assert_eq!(served.client().request(&get).status(), 200, "{hint}");
    }
}

/// Guards against a busy loop: a discovery that answers a long poll at once with an empty delta is polled with pauses.
#[test]
fn discovery_that_answers_at_once_is_polled_with_pauses() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let (_, answer) = proxy.discovery.next_call();
    answer
        .send((200, endpoint_list_json(7, true, &[endpoint_json("b0", backend.address, "SERVING")])))
        .unwrap();
    let (_, answer) = proxy.discovery.next_call();
    let start = Instant::now();
    answer.send((200, endpoint_list_json(7, false, &[]))).unwrap();
    for _ in 0..9 {
        let (target, answer) = proxy.discovery.next_call();
        assert!(target.contains("after=7&"), "{target}");
        answer.send((200, endpoint_list_json(7, false, &[]))).unwrap();
    }
    assert!(start.elapsed() > Duration::from_millis(300), "{:?}", start.elapsed());
    let (_, answer) = proxy.discovery.next_call();
    answer
        .send((200, endpoint_list_json(8, false, &[endpoint_json("b0", backend.address, "DRAINING")])))
        .unwrap();
    let (_, _long_poll) = proxy.discovery.next_call();
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 503, "a delta is applied at once");
}
