//! Operators' files as the program reads them: with `check`, with `serve`, and with `--with` beside NODE_CONFIG.

mod harness;

use harness::*;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// A temporary file, which is removed when dropped.
struct ConfigFile(PathBuf);

impl ConfigFile {
    fn new(name: &str, bytes: impl AsRef<[u8]>) -> ConfigFile {
        let path = std::env::temp_dir().join(format!("shaletide-{}-{name}.toml", std::process::id()));
        std::fs::write(&path, bytes).unwrap();
        ConfigFile(path)
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn run(arguments: &[&str], file: &ConfigFile) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
    command.args(arguments).arg(&file.0).env_remove("NODE_CONFIG").stdin(Stdio::null());
    command.output().unwrap()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

/// Returns the text of a valid file with a listener, classes and a pool.
fn valid_file(listener: &RefusingPort) -> String {
    let address = listener.address();
    format!(
        "[[listener]]\naddress = \"{address}\"\n{CLASSES}[[pool]]\nname = \"p\"\nboxes = [\"127.0.0.1:9\"]\n"
    )
}

/// Checks that `check` and `serve` reject a file with status 2 and report all its problems in one run, without listening.
fn expect_rejected(name: &str, bytes: impl AsRef<[u8]>, reasons: &[&str]) {
    let (file, start) = (ConfigFile::new(name, bytes), Instant::now());
    for arguments in [&["check"][..], &["serve", "--config"]] {
        let output = run(arguments, &file);
        let text = stderr_text(&output);
        assert_eq!(output.status.code(), Some(2), "{name}: {text:.2000}");
        assert!(output.stdout.is_empty(), "{name}");
        for reason in reasons {
            assert!(text.contains(reason), "{name}: {reason} is not in {text:.4000}");
        }
        let forbidden = ["panicked", "listens on", "\u{1b}"];
        assert!(forbidden.iter().all(|part| !text.contains(part)), "{name}: {text:.2000}");
        assert!(text.len() < 500_000, "{name}: {} bytes", text.len());
    }
    assert!(start.elapsed() < WAIT_LIMIT, "{name}: {:?}", start.elapsed());
}

#[test]
fn check_reports_all_problems_at_once() {
    let listener = RefusingPort::new();
    let valid = valid_file(&listener);
    let invalid = valid
        .replace("aim = \"900ms\"", "aim = 900")
        .replace("\"keyed\"", "\"kyed\"")
        .replace("127.0.0.1:9\"", "127.0.0.1:9\", \"localhost:80\", \"127.0.0.1:9\"")
        + "[limits]\nmax_attempts = 99\ntik = \"1ms\"\n[[route]]\nname = \"r\"\npools = [\"q\"]\n";
    let reasons = [
        "class.aim: a time has a unit",
        "class.effect: `kyed`",
        "pool.boxes: `localhost:80`",
        "127.0.0.1:9 occurs twice",
        "limits.max_attempts: `99` is out of range",
        "did you mean `tick`?",
        "route.pools: there is no pool `q`",
    ];
    expect_rejected("nine", invalid, &reasons);
    let duplicate = valid.clone() + "[[pool]]\nname = \"q\"\nboxes = [{ address = \"127.0.0.1:9\" }]\n";
    expect_rejected("twice", duplicate, &["the address 127.0.0.1:9 occurs twice", "first here", "1 problem"]);
    expect_rejected("empty", "", &["the file is empty"]);
    expect_rejected(
        "port",
        valid.replace(&listener.address().to_string(), "127.0.0.1:0"),
        &["listener.address"],
    );
    let noise: Vec<u8> = (0..10_000_000u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    expect_rejected("noise", &noise, &["the file is too long", "4 MiB"]);
    let words = "a = b\n".repeat(200_000);
    expect_rejected("words", &words, &["more than 1000 syntax errors"]);
    let many = format!("{valid}[[pool]]\nname = \"q\"\nboxes = [{}]\n", "\"nowhere\",".repeat(900));
    expect_rejected("many", many, &["`nowhere`", "... and 700 more that are not shown", "900 problems"]);
    expect_rejected("bytes", [valid.as_bytes(), b"\n\xfe\xff"].concat(), &["the byte 0xfe is not UTF-8"]);
    for (name, deep) in [
        ("tables", "{a=".repeat(100_000)),
        ("lists", "[".repeat(300_000)),
        ("dots", "a.".repeat(100_000) + "a = 1"),
    ] {
        expect_rejected(name, format!("{valid}[rules]\nramp = {deep}"), &["problem"]);
    }
    let odd = valid.replace("name = \"p\"", "name = \"p\u{1b}[31m\u{202e}\u{0}ä b\"");
    expect_rejected("odd", odd.replace('\u{0}', "\\u0000").replace('\u{1b}', "\\u001b"), &["pool.name"]);
    expect_rejected("control", odd, &["problem"]);
}

#[test]
fn check_confirms_a_valid_file() {
    let listener = RefusingPort::new();
    let file = valid_file(&listener);
    let windows = file.replace('\n', "\r\n");
    let byte_order_mark = format!("\u{feff}{file}");
    let odd = file.replace("\"p\"", "'p-1_x.Y'").replace("\n\n", "\n  \t\n# ä ☂ \u{202e}\n");
    for (name, text) in
        [("plain", file.clone()), ("windows", windows), ("marked", byte_order_mark), ("odd-names", odd)]
    {
        let output = run(&["check"], &ConfigFile::new(name, text));
        assert_eq!((output.status.code(), stderr_text(&output).as_str()), (Some(0), ""), "{name}");
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            stdout.contains("valid: 1 listener, 3 classes, 0 tenants, 1 pool, 1 static backend, 1 route"),
            "{stdout}"
        );
    }
    let example = ConfigFile::new("example", include_str!("../../../deploy/operator.example.toml"));
    assert_eq!(run(&["check"], &example).status.code(), Some(0));
}

/// A file with CRLF line ends and a byte order mark is served and reloaded like any other.
#[test]
fn windows_line_ends_and_byte_order_mark_are_accepted() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let text = CLASSES.to_string() + &pool("p", &[(backend.address, "1")]);
    let windows = |text: &str| format!("\u{feff}{}", text.replace('\n', "\r\n"));
    let proxy = program().serve(&text);
    proxy.replace_file(0, windows(&proxy.file_text(&text)));
    assert!(proxy.reload_files().accepted);
    assert_eq!(proxy.request(&request("/pay/k", 3.0, "")).status(), 200);
    proxy.replace_file(0, windows(&proxy.file_text(&text.replace("boxes", "boxen"))));
    let reload = proxy.reload_files();
    assert!(!reload.accepted);
    let line = proxy.log.expect(reload.line, "boxen");
    assert!(!line.contains('\r'), "{line:?}");
}

/// 5,000 backends in 50 pools with 200 routes: a request goes to the pool of its route, and requests are served during
/// reloads.
#[test]
fn large_file_is_served_and_reloaded() {
    let backends = ["first", "last"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let file = |real_backend: usize, generation: usize| {
        // Keeps an idle client's connection open, however long the reload takes.
        let mut text = format!("[limits]\nhead_timeout = \"1min\"\n[rules]\ncold_from = 1.0\n{CLASSES}");
        for p in 0..50 {
            // Loopback addresses without a listener.
            let unused = (0..100).map(|n| {
                format!("{{ address = \"127.{}.{}.{}:9\", bay = {} }},\n", 1 + generation, p, n + 1, n / 4)
            });
            let real = format!("\"{}\"", backends[real_backend].address);
            let entries: String = if p == 49 { real } else { unused.collect() };
            text += &format!("[[pool]]\nname = \"p{p}\"\nboxes = [{entries}]\n");
        }
        let routes = (0..200)
            .map(|n| route(&format!("r{n}"), &format!("path = \"/read/{n}\""), &[&format!("p{}", n % 50)]));
        text + &routes.collect::<String>() + &route("pays", "class = \"pay\"", &["p49"])
    };
    let start = Instant::now();
    let proxy = program().serve(&file(0, 0));
    let start_time = start.elapsed();
    for round in 0..6 {
        // Each round has a new connection: one that is idle during a reload is closed.
        let mut client = proxy.client();
        assert_eq!(
            client.request(&request("/read/199", 3.0, "")).body,
            ["first", "last"][round % 2].as_bytes()
        );
        assert_eq!(client.request(&request("/pay/k", 3.0, "")).status(), 200);
        assert_eq!(proxy.request(&request("/read/200", 3.0, "")).status(), 404);
        let start = Instant::now();
        proxy.reload_accepted(&file((round + 1) % 2, round / 2));
        println!("started in {start_time:?}, reloaded in {:?}", start.elapsed());
    }
    assert_eq!(proxy.request(&request("/read/k", 3.0, "").replace("/read/k", "/read/49/x")).body, b"first");
}

#[test]
fn all_listeners_serve_and_drain() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let text = CLASSES.to_string() + &pool("p", &[(backend.address, "1")]);
    let mut proxy = program().serve_on((0..3).map(|_| RefusingPort::new()).collect(), &text);
    let mut clients: Vec<Client> = proxy.addresses().into_iter().map(Client::connect).collect();
    for client in &mut clients {
        for _ in 0..3 {
            assert_eq!(client.request(&request("/pay/k", 3.0, "")).status(), 200);
        }
    }
    let from = proxy.log.len();
    proxy.signal("TERM");
    proxy.log.expect(from, "stopping");
    let late: Vec<Client> = proxy.addresses().into_iter().map(Client::connect).collect();
    for mut client in clients.into_iter().chain(late) {
        // An idle connection may be closed; a request that arrives before the close is answered.
        let sent = std::io::Write::write_all(client.0.get_mut(), request("/read/k", 3.0, "").as_bytes());
        match client.answer() {
            Some(answer) => assert_eq!((answer.status(), answer.header("connection")), (200, Some("close"))),
            None => assert!(sent.is_ok() || sent.is_err(), "the connection was closed while idle"),
        }
        assert!(client.is_closed());
    }
    assert!(proxy.child.wait().unwrap().success());
    assert!(proxy.addresses().into_iter().all(|address| std::net::TcpStream::connect(address).is_err()));
}

fn extension_text(far: &BackendServer, sections: &str) -> String {
    pool("far", &[(far.address, "1")]) + sections
}

/// Returns a request of the class `vote`, which the platform defines.
fn vote() -> String {
    harness::vote_request(3.0)
}

#[test]
fn extension_file_adds_pools_and_routes() {
    let [near, far] = ["near", "far"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let clock = Clock::start();
    let entry = Entry::new("b0", near.address, "east", "big", 1);
    let discovery = ListServer::start(clock, &["n0"], vec![entry]).expect("a discovery");
    let routes = route("votes", "class = \"vote\"\ntenant = \"north\"", &["far"])
        + &route("rest", "", &["platform", "far"]);
    let proxy =
        program().start_with_extension(discovery.address(0), SETTINGS, &extension_text(&far, &routes));
    let north_vote = || vote().replace("X-Time-Left", "X-Account: north\r\nX-Time-Left");
    let start = Instant::now();
    while proxy.request(&read_request(3.0)).body != b"near" {
        assert!(start.elapsed() < WAIT_LIMIT, "the platform's pool does not serve first");
    }
    assert_eq!(proxy.request(&north_vote()).body, b"far");
    assert_eq!(proxy.request(&vote()).body, b"near");
    // A key that both sources set is rejected under the platform's name for it.
    proxy.replace_file(1, extension_text(&far, "[limits]\nmax_attempts = 2\n[[class]]\nname = \"x\"\n"));
    let reload = proxy.reload_files();
    assert!(!reload.accepted);
    proxy.log.expect(reload.line, "settings.limits.max_attempts");
    proxy.log.expect(reload.line, "settings.profiles");
    assert_eq!(proxy.request(&north_vote()).body, b"far");
    // Without a route, all requests go to the platform's pool first.
    proxy.replace_file(1, extension_text(&far, ""));
    assert!(proxy.reload_files().accepted);
    assert_eq!(proxy.request(&north_vote()).body, b"near");
    let version = discovery.drain("b0");
    assert!(discovery.wait_delivered(version));
    let start = Instant::now();
    while proxy.request(&pay_request(3.0)).body != b"far" {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "the other pool does not serve while the platform's pool drains"
        );
    }
    // A pool that the file no longer names is removed; the platform's pool stays.
    proxy.replace_file(1, "# nothing\n");
    assert!(proxy.reload_files().accepted);
    let before = far.request_count();
    assert_eq!(proxy.request(&pay_request(1.0)).status(), 503);
    let version = discovery.put(Entry::new("b0", near.address, "east", "big", 1));
    assert!(discovery.wait_delivered(version));
    let start = Instant::now();
    while proxy.request(&pay_request(3.0)).body != b"near" {
        assert!(start.elapsed() < WAIT_LIMIT, "the platform's pool does not serve again");
    }
    assert_eq!(far.request_count(), before);
}

#[test]
fn extension_that_sets_a_key_of_node_config_ends_the_start() {
    let node = ConfigFile::new(
        "node",
        r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":1,"settings":SETTINGS}"#
            .replace("SETTINGS", SETTINGS),
    );
    let extension = ConfigFile::new(
        "add",
        "[proxy]\nzone = \"x\"\n[rules]\nramp = \"1s\"\n[limits]\nhead_timeout = \"1s\"\n",
    );
    let output = Command::new(env!("CARGO_BIN_EXE_shaletide"))
        .arg("--with")
        .arg(&extension.0)
        .env("NODE_CONFIG", &node.0)
        .output()
        .unwrap();
    let text = stderr_text(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("settings.my_zone") && text.contains("settings.rules.ramp_time_us"), "{text}");
    assert!(text.contains("2 problems") && !text.contains("listens on"), "{text}");
}

/// `--with` extends NODE_CONFIG alone. Beside a command with an operators' file it would have no effect, so it is rejected.
#[test]
fn extension_is_rejected_beside_a_command() {
    let (file, extension) = (
        ConfigFile::new("alone", valid_file(&RefusingPort::new())),
        ConfigFile::new("beside", "# nothing\n"),
    );
    let extension = extension.0.to_str().expect("a path");
    for command in [&["--with", extension, "check"][..], &["--with", extension, "serve", "--config"]] {
        let output = run(command, &file);
        assert_eq!(output.status.code(), Some(2), "{command:?}");
        assert!(stderr_text(&output).contains("--with"), "{}", stderr_text(&output));
    }
}

/// A duration that the file no longer sets returns to its default.
#[test]
fn removed_key_returns_to_its_default() {
    let stalling =
        BackendServer::start(|_| Reply::Pieces(vec!["HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nca".into()]));
    let entries = vec![Entry::new("b0", stalling.address, "east", "big", 1)];
    let discovery = ListServer::start(Clock::start(), &["n0"], entries).expect("a discovery");
    let proxy =
        program().start_with_extension(discovery.address(0), SETTINGS, "[limits]\nanswer_stall = \"1min\"\n");
    let start = Instant::now();
    while proxy.request(&read_request(0.05)).status() == 503 && stalling.request_count() == 0 {
        assert!(start.elapsed() < WAIT_LIMIT, "the endpoint list does not arrive");
    }
    let start = Instant::now();
    proxy.request(&pay_request(1.5));
    assert!(
        start.elapsed() > Duration::from_secs(1),
        "the stalled response ended too early: {:?}",
        start.elapsed()
    );
    proxy.replace_file(1, "");
    assert!(proxy.reload_files().accepted);
    let start = Instant::now();
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 502);
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "the platform's limit of 40 ms does not apply: {:?}",
        start.elapsed()
    );
}
