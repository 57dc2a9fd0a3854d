//! Files as operators write them, read by the program itself: `check`, `serve`, and `--with` beside NODE_CONFIG.

mod harness;

use harness::*;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// A file that is gone with this.
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

fn said(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

/// A sound file with a listener, a class and a pool.
fn sound(listener: &RefusingPort) -> String {
    let at = listener.address();
    format!("[[listener]]\naddress = \"{at}\"\n{CLASSES}[[pool]]\nname = \"p\"\nboxes = [\"127.0.0.1:9\"]\n")
}

/// Both refuse it with status 2 and all that is wrong in one run; nothing listens meanwhile.
fn refused(name: &str, bytes: impl AsRef<[u8]>, reasons: &[&str]) {
    let (file, begun) = (ConfigFile::new(name, bytes), Instant::now());
    for arguments in [&["check"][..], &["serve", "--config"]] {
        let output = run(arguments, &file);
        let text = said(&output);
        assert_eq!(output.status.code(), Some(2), "{name}: {text:.2000}");
        assert!(output.stdout.is_empty(), "{name}");
        for reason in reasons {
            assert!(text.contains(reason), "{name}: {reason} is not in {text:.4000}");
        }
        let bad = ["panicked", "listens on", "\u{1b}"];
        assert!(bad.iter().all(|bad| !text.contains(bad)), "{name}: {text:.2000}");
        assert!(text.len() < 500_000, "{name}: {} bytes", text.len());
    }
    assert!(begun.elapsed() < WAIT_LIMIT, "{name}: {:?}", begun.elapsed());
}

#[test]
fn check_reports_all_problems_at_once() {
    let door = RefusingPort::new();
    let sound = sound(&door);
    let nine = sound
        .replace("aim = \"900ms\"", "aim = 900")
        .replace("\"keyed\"", "\"kyed\"")
        .replace("127.0.0.1:9\"", "127.0.0.1:9\", \"localhost:80\", \"127.0.0.1:9\"")
        + "[limits]\nmax_attempts = 99\ntik = \"1ms\"\n[[route]]\nname = \"r\"\npools = [\"q\"]\n";
    let nine_reasons = [
        "class.aim: a time has a unit",
        "class.effect: `kyed`",
        "pool.boxes: `localhost:80`",
        "127.0.0.1:9 occurs twice",
        "limits.max_attempts: `99` is out of range",
        "did you mean `tick`?",
        "route.pools: there is no pool `q`",
    ];
    refused("nine", nine, &nine_reasons);
    let twice = sound.clone() + "[[pool]]\nname = \"q\"\nboxes = [{ address = \"127.0.0.1:9\" }]\n";
    refused("twice", twice, &["the address 127.0.0.1:9 occurs twice", "first here", "1 problem"]);
    refused("empty", "", &["the file is empty"]);
    refused("port", sound.replace(&door.address().to_string(), "127.0.0.1:0"), &["listener.address"]);
    let noise: Vec<u8> = (0..10_000_000u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    refused("noise", &noise, &["the file is too long", "4 MiB"]);
    let words = "a = b\n".repeat(200_000);
    refused("words", &words, &["more than 1000 syntax errors"]);
    let many = format!("{sound}[[pool]]\nname = \"q\"\nboxes = [{}]\n", "\"nowhere\",".repeat(900));
    refused("many", many, &["`nowhere`", "... and 700 more that are not shown", "900 problems"]);
    refused("bytes", [sound.as_bytes(), b"\n\xfe\xff"].concat(), &["the byte 0xfe is not UTF-8"]);
    for (name, deep) in [
        ("tables", "{a=".repeat(100_000)),
        ("lists", "[".repeat(300_000)),
        ("dots", "a.".repeat(100_000) + "a = 1"),
    ] {
        refused(name, format!("{sound}[rules]\nramp = {deep}"), &["problem"]);
    }
    let odd = sound.replace("name = \"p\"", "name = \"p\u{1b}[31m\u{202e}\u{0}ä b\"");
    refused("odd", odd.replace('\u{0}', "\\u0000").replace('\u{1b}', "\\u001b"), &["pool.name"]);
    refused("control", odd, &["problem"]);
}

#[test]
fn check_confirms_a_valid_file() {
    let door = RefusingPort::new();
    let file = sound(&door);
    let windows = file.replace('\n', "\r\n");
    let marked = format!("\u{feff}{file}");
    let odd = file.replace("\"p\"", "'p-1_x.Y'").replace("\n\n", "\n  \t\n# ä ☂ \u{202e}\n");
    for (name, text) in
        [("plain", file.clone()), ("windows", windows), ("marked", marked), ("odd-names", odd)]
    {
        let output = run(&["check"], &ConfigFile::new(name, text));
        assert_eq!((output.status.code(), said(&output).as_str()), (Some(0), ""), "{name}");
        let told = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            told.contains("valid: 1 listener, 3 classes, 0 tenants, 1 pool, 1 static backend, 1 route"),
            "{told}"
        );
    }
    let example = ConfigFile::new("example", include_str!("../../../deploy/operator.example.toml"));
    assert_eq!(run(&["check"], &example).status.code(), Some(0));
}

/// As it comes from other systems, it is served and read again all the same.
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

/// 5,000 backends in 50 pools and 200 routes: a request goes where its route says, and while the file is read again
/// all goes on.
#[test]
fn large_file_is_served_and_reloaded() {
    let backends = ["first", "last"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let file = |at: usize, moved: usize| {
        // The client at rest is waited for, however long the file takes.
        let mut text = format!("[limits]\nhead_timeout = \"1min\"\n[rules]\ncold_from = 1.0\n{CLASSES}");
        for p in 0..50 {
            // Addresses of this machine on which nobody listens.
            let boxes = (0..100).map(|n| {
                format!("{{ address = \"127.{}.{}.{}:9\", bay = {} }},\n", 1 + moved, p, n + 1, n / 4)
            });
            let real = format!("\"{}\"", backends[at].address);
            let boxes: String = if p == 49 { real } else { boxes.collect() };
            text += &format!("[[pool]]\nname = \"p{p}\"\nboxes = [{boxes}]\n");
        }
        let routes = (0..200)
            .map(|n| route(&format!("r{n}"), &format!("path = \"/read/{n}\""), &[&format!("p{}", n % 50)]));
        text + &routes.collect::<String>() + &route("pays", "class = \"pay\"", &["p49"])
    };
    let begun = Instant::now();
    let proxy = program().serve(&file(0, 0));
    let started = begun.elapsed();
    for round in 0..6 {
        // A connection of its own each round: one that is idle while the file is read is closed.
        let mut client = proxy.client();
        assert_eq!(
            client.request(&request("/read/199", 3.0, "")).body,
            ["first", "last"][round % 2].as_bytes()
        );
        assert_eq!(client.request(&request("/pay/k", 3.0, "")).status(), 200);
        assert_eq!(proxy.request(&request("/read/200", 3.0, "")).status(), 404);
        let begun = Instant::now();
        proxy.reload_accepted(&file((round + 1) % 2, round / 2));
        println!("started in {started:?}, read again in {:?}", begun.elapsed());
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
        // One at rest may be closed, one that asks before is answered.
        let asked = std::io::Write::write_all(client.0.get_mut(), request("/read/k", 3.0, "").as_bytes());
        match client.answer() {
            Some(answer) => assert_eq!((answer.status(), answer.header("connection")), (200, Some("close"))),
            None => assert!(asked.is_ok() || asked.is_err(), "it was closed at rest"),
        }
        assert!(client.is_closed());
    }
    assert!(proxy.child.wait().unwrap().success());
    assert!(proxy.addresses().into_iter().all(|at| std::net::TcpStream::connect(at).is_err()));
}

fn with(far: &BackendServer, more: &str) -> String {
    pool("far", &[(far.address, "1")]) + more
}

/// A request of the platform's class.
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
    let proxy = program().start_with_extension(discovery.address(0), SETTINGS, &with(&far, &routes));
    let of_north = || vote().replace("X-Time-Left", "X-Account: north\r\nX-Time-Left");
    let begun = Instant::now();
    while proxy.request(&read_request(3.0)).body != b"near" {
        assert!(begun.elapsed() < WAIT_LIMIT, "the platform's pool is preferred");
    }
    assert_eq!(proxy.request(&of_north()).body, b"far");
    assert_eq!(proxy.request(&vote()).body, b"near");
    // What both say is refused, by the platform's word for it.
    proxy.replace_file(1, with(&far, "[limits]\nmax_attempts = 2\n[[class]]\nname = \"x\"\n"));
    let reload = proxy.reload_files();
    assert!(!reload.accepted);
    proxy.log.expect(reload.line, "settings.limits.max_attempts");
    proxy.log.expect(reload.line, "settings.profiles");
    assert_eq!(proxy.request(&of_north()).body, b"far");
    // Without a route, all go to the platform's pool first.
    proxy.replace_file(1, with(&far, ""));
    assert!(proxy.reload_files().accepted);
    assert_eq!(proxy.request(&of_north()).body, b"near");
    let version = discovery.drain("b0");
    assert!(discovery.wait_delivered(version));
    let begun = Instant::now();
    while proxy.request(&pay_request(3.0)).body != b"far" {
        assert!(begun.elapsed() < WAIT_LIMIT, "the other pool serves where the platform's drains");
    }
    // Nothing is left of a pool that the file names no more, and the platform's goes on.
    proxy.replace_file(1, "# nothing\n");
    assert!(proxy.reload_files().accepted);
    let before = far.request_count();
    assert_eq!(proxy.request(&pay_request(1.0)).status(), 503);
    let version = discovery.put(Entry::new("b0", near.address, "east", "big", 1));
    assert!(discovery.wait_delivered(version));
    let begun = Instant::now();
    while proxy.request(&pay_request(3.0)).body != b"near" {
        assert!(begun.elapsed() < WAIT_LIMIT, "it serves again");
    }
    assert_eq!(far.request_count(), before);
}

#[test]
fn extension_with_a_key_of_node_config_ends_the_start() {
    let node = ConfigFile::new(
        "node",
        r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":1,"settings":SETTINGS}"#
            .replace("SETTINGS", SETTINGS),
    );
    let add = ConfigFile::new(
        "add",
        "[proxy]\nzone = \"x\"\n[rules]\nramp = \"1s\"\n[limits]\nhead_timeout = \"1s\"\n",
    );
    let output = Command::new(env!("CARGO_BIN_EXE_shaletide"))
        .arg("--with")
        .arg(&add.0)
        .env("NODE_CONFIG", &node.0)
        .output()
        .unwrap();
    let text = said(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("settings.my_zone") && text.contains("settings.rules.ramp_time_us"), "{text}");
    assert!(text.contains("2 problems") && !text.contains("listens on"), "{text}");
}

/// The file that adds is for NODE_CONFIG alone: beside an operators' file it would be of no effect.
#[test]
fn extension_is_rejected_beside_a_command() {
    let (file, add) =
        (ConfigFile::new("alone", sound(&RefusingPort::new())), ConfigFile::new("beside", "# nothing\n"));
    let add = add.0.to_str().expect("a path");
    for command in [&["--with", add, "check"][..], &["--with", add, "serve", "--config"]] {
        let output = run(command, &file);
        assert_eq!(output.status.code(), Some(2), "{command:?}");
        assert!(said(&output).contains("--with"), "{}", said(&output));
    }
}

/// A time that the file says no more is again what it is without the file.
#[test]
fn removed_key_returns_to_its_default() {
    let stalling =
        BackendServer::start(|_| Reply::Pieces(vec!["HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nca".into()]));
    let entries = vec![Entry::new("b0", stalling.address, "east", "big", 1)];
    let discovery = ListServer::start(Clock::start(), &["n0"], entries).expect("a discovery");
    let proxy =
        program().start_with_extension(discovery.address(0), SETTINGS, "[limits]\nanswer_stall = \"1min\"\n");
    let begun = Instant::now();
    while proxy.request(&read_request(0.05)).status() == 503 && stalling.request_count() == 0 {
        assert!(begun.elapsed() < WAIT_LIMIT, "the list comes");
    }
    let begun = Instant::now();
    proxy.request(&pay_request(1.5));
    assert!(begun.elapsed() > Duration::from_secs(1), "the answer may take its time: {:?}", begun.elapsed());
    proxy.replace_file(1, "");
    assert!(proxy.reload_files().accepted);
    let begun = Instant::now();
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 502);
    assert!(begun.elapsed() < Duration::from_secs(2), "40 ms, as the platform has it: {:?}", begun.elapsed());
}
