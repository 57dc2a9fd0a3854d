//! Files that are too long, too deeply nested, have too many items or are not TOML, and the time to read a large file.

use proptest::prelude::*;
use serde_json::json;
use shaletide_balancer::Micros;
use shaletide_config::operator::{
    read, read_bytes, read_extension, PlatformNames, PoolSource, MAX_FILE_BYTES,
};
use shaletide_config::{platform, Report};
use std::time::{Duration, Instant};

/// Length of a long text in bytes. An unoptimised build takes ten times as long, so it uses a shorter text.
const LONG_TEXT_BYTES: usize = if cfg!(debug_assertions) { 1 << 20 } else { MAX_FILE_BYTES };
const SAMPLE: &str = include_str!("../../../deploy/operator.example.toml");
/// Far more than any of these files takes, and far less than a quadratic loop would take.
const MAX_READ_TIME: Duration = Duration::from_secs(20);

fn read_invalid(text: &str) -> Report {
    let started = Instant::now();
    let report = read("f.toml", text).expect_err("the text has problems");
    let printed = report.to_string();
    assert!(printed.len() < 500_000, "{}", printed.len());
    assert!(started.elapsed() < MAX_READ_TIME, "{:?}", started.elapsed());
    report
}

#[test]
fn ten_megabytes_are_rejected_before_parsing() {
    let noise: Vec<u8> = (0..10_000_000u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    let started = Instant::now();
    let report = read_bytes("f.toml", &noise).expect_err("too long");
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    assert_eq!(report.problems()[0].summary, "the file is too long");
    assert!(read("f.toml", &" ".repeat(MAX_FILE_BYTES + 1)).is_err());
}

#[test]
fn random_bytes_are_reported_as_not_toml() {
    for noise in ["%$#@\n", "=", "\"\n", "a=\n", "[\n", "a b\n", "a=\"\\q\"\n", "{"] {
        let report = read_invalid(&noise.repeat(LONG_TEXT_BYTES / noise.len()));
        assert!(
            report.problems().iter().any(|p| p.summary.contains("this is not TOML")) || report.total() < 100,
            "{report}"
        );
    }
    assert!(read_invalid(&"a=1\n".repeat(100_000)).to_string().contains("not TOML"));
}

#[test]
fn deep_nesting_does_not_overflow_the_stack() {
    let most = LONG_TEXT_BYTES - 100;
    for text in [
        format!("[limits]\ntick = {}", "[".repeat(most)),
        format!("[limits]\ntick = {}{}", "[".repeat(most / 2), "]".repeat(most / 2)),
        format!("[limits]\ntick = {}", "{a=".repeat(most / 3)),
        format!("[{}a]", "a.".repeat(most / 2)),
        format!("{}a = 1", "a.".repeat(most / 2)),
        "[[a]]\n[[a.b]]\n[[a.b.c]]\n".repeat(1000),
    ] {
        // The thread of a test has a stack of 2 MiB, a quarter of that of a program.
        read_invalid(&text);
    }
    let deep = |n: usize| format!("[limits]\ntick = {}1{}", "[".repeat(n), "]".repeat(n));
    assert!(read_invalid(&deep(200)).to_string().contains("too deeply nested"));
}

fn pool(name: &str, backend_numbers: impl Iterator<Item = usize>) -> String {
    let backend_numbers = backend_numbers.map(|n| {
        format!("  {{ address = \"10.{}.{}.{}:80\", bay = {} }},\n", n >> 16, (n >> 8) & 255, n & 255, n / 4)
    });
    format!("[[pool]]\nname = \"{name}\"\nboxes = [\n{}]\n", backend_numbers.collect::<String>())
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
    let elapsed_time = started.elapsed();
    assert_eq!((operator.pools.len(), operator.routes.len()), (50, 200));
    eprintln!("{} bytes in {elapsed_time:?}", text.len());
    assert!(
        elapsed_time < Duration::from_secs(if cfg!(debug_assertions) { 5 } else { 1 }),
        "{elapsed_time:?}"
    );
}

#[test]
fn each_exceeded_bound_is_one_problem() {
    let many = |n: usize, line: &dyn Fn(usize) -> String| (0..n).map(line).collect::<String>();
    let valid_file = head() + &pool("p", 0..1);
    let cases = [
        (
            valid_file.clone() + &many(64, &|n| format!("[[class]]\nname = \"c{n}\"\n")),
            "65 [[class]] sections",
        ),
        (
            valid_file.clone() + &many(64, &|n| format!("[[listener]]\naddress = \"127.0.0.2:{}\"\n", n + 1)),
            "65 [[listener]] sections",
        ),
        (
            valid_file.clone() + &many(10_001, &|n| format!("[[tenant]]\nname = \"t{n}\"\nquota = 1\n")),
            "10001 [[tenant]] sections",
        ),
        (valid_file.clone() + &many(64, &|n| pool(&format!("p{n}"), n + 1..n + 2)), "65 [[pool]] sections"),
        (head() + &pool("p", 0..5000) + &pool("q", 5000..10_001), "more than 10000 backends"),
        (
            valid_file.clone()
                + &many(1_001, &|n| format!("[[route]]\nname = \"r{n}\"\npath = \"/{n}\"\npools = \"p\"\n")),
            "1001 [[route]] sections",
        ),
    ];
    for (text, summary) in cases {
        let report = read_invalid(&text);
        assert_eq!((report.total(), report.problems()[0].summary.as_str()), (1, summary), "{report}");
    }
    let at_limit = head() + &pool("p", 0..5000) + &pool("q", 5000..10_000);
    assert!(read("f.toml", &at_limit).is_ok());
}

#[test]
fn file_of_1024_proxies_and_1024_backends_is_read() {
    for position in [0, 349, 1_023] {
        let proxy = format!("[proxy]\nproxies = 1024\nposition = {position}\n");
        let operator = read("f.toml", &(proxy + &head() + &pool("p", 0..1_024))).unwrap();
        assert_eq!((operator.proxy.proxies, operator.proxy.position), (1_024, position));
        let PoolSource::Static(backends) = &operator.pools[0].source else {
            panic!("the pool is not static")
        };
        assert_eq!(backends.len(), 1_024);
        assert_eq!(operator.balancer.validate(), Ok(()));
    }
}

/// The platform's settings have no lists of proxies or backends; a later release that adds such lists must still be read.
#[test]
fn settings_of_350_proxies_and_1024_names_of_each_list_are_read() {
    let names = |prefix: &str| (0..1_024).map(|n| format!("{prefix}{n}")).collect::<Vec<_>>();
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
    let at_limit: String = (0..200).map(|n| route(n, &names(0, 100))).collect();
    assert!(read("f.toml", &(text.clone() + &at_limit)).is_ok());
    let above_limit: String = (0..201).map(|n| route(n, &names(0, 100))).collect();
    assert!(read_invalid(&(text.clone() + &above_limit))
        .to_string()
        .contains("too many names in the conditions"));
    let unknown: String = (0..200).map(|n| route(n, &names(10_000, 10_100))).collect();
    assert_eq!(read_invalid(&(text + &unknown)).total(), 20_000);
}

/// Checks that any text gives a report that can be printed, or values that the balancer accepts.
fn check_result(bytes: &[u8]) {
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
            assert!(report.problems().iter().all(|p| !p.summary.is_empty() && !p.block.is_empty()));
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

/// A change to a text: its position as a fraction of the length, the number of bytes removed, and the bytes inserted.
fn text_change() -> impl Strategy<Value = (f64, usize, Vec<u8>)> {
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
        check_result(&bytes);
    }

    #[test]
    fn random_text_of_toml_characters_never_panics(text in "[\\[\\]{}\"'=,.#\n\r\t \\\\a-z0-9_é-]{0,300}") {
        check_result(text.as_bytes());
    }

    #[test]
    fn random_changes_to_the_sample_never_panic(changes in prop::collection::vec(text_change(), 1..6)) {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        for (fraction, removed, piece) in changes {
            let at = (bytes.len() as f64 * fraction) as usize;
            let end = (at + removed).min(bytes.len());
            bytes.splice(at..end, piece);
        }
        check_result(&bytes);
    }

    #[test]
    fn sample_with_a_removed_or_repeated_line_never_panics(line in 0usize..130, twice: bool) {
        let mut lines: Vec<&str> = SAMPLE.lines().collect();
        let line = line % lines.len();
        match twice {
            true => lines.insert(line, lines[line]),
            false => { lines.remove(line); }
        }
        check_result(lines.join("\n").as_bytes());
    }
}
