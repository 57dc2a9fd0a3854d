//! Files that are too long, too deep, too many of something, or not meant to be read at all; and the time that a
//! large one takes.

use proptest::prelude::*;
use serde_json::json;
use shaletide_balancer::Micros;
use shaletide_config::operator::{read, read_bytes, read_extension, PlatformNames, PoolSource, MAX_FILE};
use shaletide_config::{platform, Report};
use std::time::{Duration, Instant};

/// A build without optimisation takes ten times as long.
const LONG: usize = if cfg!(debug_assertions) { 1 << 20 } else { MAX_FILE };
const SAMPLE: &str = include_str!("../../../deploy/operator.example.toml");
/// Far more than any of these takes, and far less than a quadratic loop would.
const PATIENCE: Duration = Duration::from_secs(20);

fn refused(text: &str) -> Report {
    let started = Instant::now();
    let report = read("f.toml", text).expect_err("it has mistakes");
    let printed = report.to_string();
    assert!(printed.len() < 500_000, "{}", printed.len());
    assert!(started.elapsed() < PATIENCE, "{:?}", started.elapsed());
    report
}

#[test]
fn ten_megabytes_are_rejected_before_parsing() {
    let noise: Vec<u8> = (0..10_000_000u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    let started = Instant::now();
    let report = read_bytes("f.toml", &noise).expect_err("too long");
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    assert_eq!(report.problems()[0].what, "the file is too long");
    assert!(read("f.toml", &" ".repeat(MAX_FILE + 1)).is_err());
}

#[test]
fn random_bytes_are_reported_as_not_toml() {
    for noise in ["%$#@\n", "=", "\"\n", "a=\n", "[\n", "a b\n", "a=\"\\q\"\n", "{"] {
        let report = refused(&noise.repeat(LONG / noise.len()));
        assert!(
            report.problems().iter().any(|p| p.what.contains("this is not TOML")) || report.total() < 100,
            "{report}"
        );
    }
    assert!(refused(&"a=1\n".repeat(100_000)).to_string().contains("not TOML"));
}

#[test]
fn deep_nesting_does_not_overflow_the_stack() {
    let most = LONG - 100;
    for text in [
        format!("[limits]\ntick = {}", "[".repeat(most)),
        format!("[limits]\ntick = {}{}", "[".repeat(most / 2), "]".repeat(most / 2)),
        format!("[limits]\ntick = {}", "{a=".repeat(most / 3)),
        format!("[{}a]", "a.".repeat(most / 2)),
        format!("{}a = 1", "a.".repeat(most / 2)),
        "[[a]]\n[[a.b]]\n[[a.b.c]]\n".repeat(1000),
    ] {
        // A test's thread has 2 MiB of stack, a quarter of a program's.
        refused(&text);
    }
    let deep = |n: usize| format!("[limits]\ntick = {}1{}", "[".repeat(n), "]".repeat(n));
    assert!(refused(&deep(200)).to_string().contains("too deeply nested"));
}

fn pool(name: &str, boxes: impl Iterator<Item = usize>) -> String {
    let boxes = boxes.map(|n| {
        format!("  {{ address = \"10.{}.{}.{}:80\", bay = {} }},\n", n >> 16, (n >> 8) & 255, n & 255, n / 4)
    });
    format!("[[pool]]\nname = \"{name}\"\nboxes = [\n{}]\n", boxes.collect::<String>())
}

fn head() -> String {
    "[[listener]]\naddress = \"127.0.0.1:8080\"\n[[class]]\nname = \"read\"\n".to_string()
}

#[test]
fn five_thousand_backends_and_two_hundred_routes_are_read_in_time() {
    let pools: String = (0..50).map(|p| pool(&format!("p{p}"), p * 100..p * 100 + 100)).collect();
    let route = |n: usize| {
        format!(
            "[[route]]\nname = \"r{n}\"\npath = \"/t{n}\"\nbay = {n}\npools = [\"p{}\", \"p{}\"]\n",
            n % 50,
            (n + 1) % 50
        )
    };
    let text = head() + &pools + &(0..200).map(route).collect::<String>();
    let started = Instant::now();
    let operator = read("f.toml", &text).unwrap_or_else(|report| panic!("{report}"));
    let took = started.elapsed();
    assert_eq!((operator.pools.len(), operator.routes.len()), (50, 200));
    eprintln!("{} bytes in {took:?}", text.len());
    assert!(took < Duration::from_secs(if cfg!(debug_assertions) { 5 } else { 1 }), "{took:?}");
}

#[test]
fn each_exceeded_bound_is_one_problem() {
    let many = |n: usize, line: &dyn Fn(usize) -> String| (0..n).map(line).collect::<String>();
    let fine = head() + &pool("p", 0..1);
    let cases = [
        (fine.clone() + &many(64, &|n| format!("[[class]]\nname = \"c{n}\"\n")), "65 of [[class]]"),
        (
            fine.clone() + &many(64, &|n| format!("[[listener]]\naddress = \"127.0.0.2:{}\"\n", n + 1)),
            "65 of [[listener]]",
        ),
        (
            fine.clone() + &many(10_001, &|n| format!("[[tenant]]\nname = \"t{n}\"\nquota = 1\n")),
            "10001 of [[tenant]]",
        ),
        (fine.clone() + &many(64, &|n| pool(&format!("p{n}"), n + 1..n + 2)), "65 of [[pool]]"),
        (head() + &pool("p", 0..5000) + &pool("q", 5000..10_001), "more than 10000 boxes"),
        (
            fine.clone()
                + &many(1_001, &|n| format!("[[route]]\nname = \"r{n}\"\npath = \"/{n}\"\npools = \"p\"\n")),
            "1001 of [[route]]",
        ),
    ];
    for (text, what) in cases {
        let report = refused(&text);
        assert_eq!((report.total(), report.problems()[0].what.as_str()), (1, what), "{report}");
    }
    let fits = head() + &pool("p", 0..5000) + &pool("q", 5000..10_000);
    assert!(read("f.toml", &fits).is_ok());
}

#[test]
fn file_of_1024_proxies_and_1024_backends_is_read() {
    for position in [0, 349, 1_023] {
        let proxy = format!("[proxy]\nproxies = 1024\nposition = {position}\n");
        let operator = read("f.toml", &(proxy + &head() + &pool("p", 0..1_024))).unwrap();
        assert_eq!((operator.proxy.proxies, operator.proxy.position), (1_024, position));
        let PoolSource::Static(backends) = &operator.pools[0].source else { panic!("a pool of the file") };
        assert_eq!(backends.len(), 1_024);
        assert_eq!(operator.balancer.validate(), Ok(()));
    }
}

/// The platform names no proxies and backends in its settings; that another release might does no harm.
#[test]
fn settings_of_350_proxies_and_1024_names_of_each_list_are_read() {
    let names = |what: &str| (0..1_024).map(|n| format!("{what}{n}")).collect::<Vec<_>>();
    let profiles: Vec<_> = names("class")
        .into_iter()
        .map(|name| {
            json!({"name": name, "aim_us": 1_000, "deadline_us": 2_000, "effect": "free", "gain": 1.0,
                "late_worth": 0.5})
        })
        .collect();
    let customers: Vec<_> =
        names("tenant").into_iter().map(|name| json!({"name": name, "quota_rps": 5})).collect();
    let settings = json!({
        "blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.0}, "customers": customers,
        "discovery": "automatic", "position": 349, "group_size": 350, "granularity_us": 5_000,
        "kinds": names("kind"), "zones": names("zone"), "my_zone": "zone1023", "peers": names("n"),
        "limits": {"cancel": true, "max_attempts": 3, "parallel_tries": true, "dial_timeout_us": 300_000,
            "conn_idle_us": 60_000_000, "max_retry_after_us": 2_000_000},
        "over_share_worth": 0.1, "profiles": profiles,
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 9_000_000,
            "ramp_time_us": 9_000_000, "tip_after_us": 2_000_000}
    });
    let started = Instant::now();
    let (config, names) = platform::read(&settings).unwrap();
    assert_eq!((config.proxies, config.position, config.validate()), (350, 349, Ok(())));
    let counts = [names.zones(), names.server_types(), names.classes(), names.tenants()].map(<[String]>::len);
    assert_eq!((counts, config.zone.0), ([1_024; 4], 1_023));
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

#[test]
fn comparison_of_many_tenants_in_many_routes_is_bounded() {
    let tenants: String = (0..10_000).map(|n| format!("[[tenant]]\nname = \"t{n}\"\nquota = 1\n")).collect();
    let text = head() + &pool("p", 0..1) + &tenants;
    let names = |from: usize, to: usize| (from..to).map(|n| format!("\"t{n}\",")).collect::<String>();
    let route = |n: usize, list: &str| {
        format!("[[route]]\nname = \"r{n}\"\npath = \"/{n}\"\ntenant = [{list}]\npools = \"p\"\n")
    };
    let fits: String = (0..200).map(|n| route(n, &names(0, 100))).collect();
    assert!(read("f.toml", &(text.clone() + &fits)).is_ok());
    let over: String = (0..201).map(|n| route(n, &names(0, 100))).collect();
    assert!(refused(&(text.clone() + &over)).to_string().contains("too many names in the conditions"));
    let unknown: String = (0..200).map(|n| route(n, &names(10_000, 10_100))).collect();
    assert_eq!(refused(&(text + &unknown)).total(), 20_000);
}

/// Whatever the text: a report that can be printed, or values that the decision module takes.
fn holds(bytes: &[u8]) {
    match read_bytes("f.toml", bytes) {
        Ok(operator) => {
            assert_eq!(operator.balancer.validate(), Ok(()));
            assert!(
                !operator.listeners.is_empty() && !operator.pools.is_empty() && !operator.routes.is_empty()
            );
            let pools = operator.routes.iter().flat_map(|r| &r.pools);
            assert!(pools.clone().all(|p| (p.0 as usize) < operator.pools.len()) && pools.count() > 0);
            assert!(operator.limits.connect_timeout > Micros(0));
        }
        Err(report) => {
            assert!(report.total() > 0 && !report.problems().is_empty());
            assert!(report.problems().iter().all(|p| !p.what.is_empty() && !p.block.is_empty()));
            assert!(report.problems().iter().is_sorted_by_key(|p| (p.line, p.column)), "{report}");
            let printed = report.to_string();
            assert!(!printed.chars().any(|c| c.is_control() && c != '\n'), "{printed:?}");
        }
    }
    if let Ok(text) = std::str::from_utf8(bytes) {
        let names = PlatformNames { classes: vec!["read".into()], tenants: vec!["milford".into()] };
        let _ = read_extension("f.toml", text, &names).map_err(|report| report.to_string());
    }
}

/// A change to a text: a place in it as a part of its length, how much goes, and what comes.
fn change() -> impl Strategy<Value = (f64, usize, Vec<u8>)> {
    let piece = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..8),
        "[\\[\\]{}\"'=,.#\n\r\t \\\\a-z0-9-]{0,6}".prop_map(String::into_bytes),
        prop::sample::select(vec![
            "[[pool]]\n",
            "[limits]\n",
            "\"\"\"",
            "= [",
            "é漢\u{202e}",
            "\r\n",
            "name = \"a\"\n"
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
    ];
    (0.0..1.0, prop_oneof![0usize..4, 0usize..200], piece)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: if cfg!(debug_assertions) { 400 } else { 5_000 },
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        holds(&bytes);
    }

    #[test]
    fn random_text_in_the_letters_of_toml_never_panics(text in "[\\[\\]{}\"'=,.#\n\r\t \\\\a-z0-9_é-]{0,300}") {
        holds(text.as_bytes());
    }

    #[test]
    fn random_changes_to_the_sample_never_panic(changes in prop::collection::vec(change(), 1..6)) {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        for (part, gone, piece) in changes {
            let at = (bytes.len() as f64 * part) as usize;
            let end = (at + gone).min(bytes.len());
            bytes.splice(at..end, piece);
        }
        holds(&bytes);
    }

    #[test]
    fn any_line_of_the_sample_may_be_missing_or_stand_twice(line in 0usize..130, twice: bool) {
        let mut lines: Vec<&str> = SAMPLE.lines().collect();
        let line = line % lines.len();
        match twice {
            true => lines.insert(line, lines[line]),
            false => { lines.remove(line); }
        }
        holds(lines.join("\n").as_bytes());
    }
}
