//! The platform's settings with values that a deployment may use: unusual but valid ones are applied; for invalid ones the
//! program exits and names the key.

mod harness;

use harness::*;

/// Returns the settings with each first text replaced by the second; each first text must occur.
fn settings(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(SETTINGS.to_string(), |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replace(old, new)
    })
}

fn start_proxy(backend: &BackendServer, settings: &str) -> Proxy {
    Proxy::start_with_settings(&[endpoint_json("b0", backend.address, "SERVING")], 1024, settings)
}

/// Checks that requests of each effect are served, without a tenant, with a known tenant and with an unknown one.
fn check_all_effects_served(proxy: &Proxy, changes: &[(&str, &str)]) {
    for request in [read_request(3.0), pay_request(3.0), vote_request(3.0)] {
        for tenant in ["", "X-Account: north\r\n", "X-Account: nobody knows\r\n"] {
            let id = format!("X-Correlation-Id: {}", tenant.len());
            let request = request.replacen("X-Correlation-Id: ", &format!("{tenant}{id}"), 1);
            assert_eq!(proxy.request(&request).status(), 200, "{changes:?} {request}");
        }
    }
}

#[test]
fn unusual_settings_are_applied() {
    let tenant = r#"[{"name":"north","quota_rps":500.0}]"#;
    let customers = format!(r#""customers":{tenant},"#);
    for changes in [
        &[(tenant, "[]")][..],
        &[(tenant, "null")],
        &[(&customers, "")],
        &[(r#""quota_rps":500.0"#, r#""quota_rps":0"#)],
        &[(r#""kinds":["big"],"#, "")],
        &[(r#""gain":1.0"#, r#""gain":0.0"#)],
        &[(r#""gain":1.0"#, r#""gain":0"#), (r#""gain":4.0"#, r#""gain":0"#)],
        &[
            ("\"aim_us\":900000", "\"aim_us\":9e5"),
            ("\"deadline_us\":3000000", "\"deadline_us\":3000000.0"),
            (r#""granularity_us":5000"#, r#""granularity_us":5e3"#),
            (r#""group_size":1"#, r#""group_size":1.0"#),
        ],
        &[(r#""name":"read""#, r#""aim_stretch":null,"new":{"a":[null]},"name":"read""#)],
        &[("\"aim_us\":900000", "\"aim_us\":3000000")],
        &[(
            r#""cancel":true,"max_attempts":4,"parallel_tries":true"#,
            r#""cancel":false,"max_attempts":1,"parallel_tries":false"#,
        )],
        &[(r#""max_retry_after_us":2000000"#, r#""max_retry_after_us":0"#)],
        &[(r#""window_us":500000"#, r#""window_us":0"#)],
        &[(r#""cold_from":0.3"#, r#""cold_from":0"#), (r#""ramp_time_us":9000000"#, r#""ramp_time_us":0"#)],
        &[(r#""tip_after_us":2000000"#, r#""tip_after_us":0"#)],
        &[
            (r#""conn_idle_us":60000000"#, r#""conn_idle_us":18446744073709551615"#),
            (r#""dial_timeout_us":300000"#, r#""dial_timeout_us":18446744073709551615"#),
        ],
        &[(r#""zones":["east"]"#, r#""zones":["x","y/z","Z","east","4","5","6"]"#)],
    ] {
        let backend = BackendServer::start(|_| ok_reply("x"));
        check_all_effects_served(&start_proxy(&backend, &settings(changes)), changes);
    }
}

/// The first segments of a path name the class; a class name may itself have several segments.
#[test]
fn class_name_with_slash_has_its_own_rules() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = start_proxy(&backend, &settings(&[(r#""name":"pay""#, r#""name":"read/PAY.1:a@b+c""#)]));
    let with_class_path = |request: String| request.replacen("/pay/k1", "/read/PAY.1:a@b+c/k1", 1);
    assert_eq!(proxy.request(&with_class_path(pay_request(3.0))).status(), 200);
    assert_eq!(backend.next_request().first, "POST /read/PAY.1:a@b+c/k1?q=1 HTTP/1.1");
    assert_eq!(
        proxy.request(&with_class_path(pay_request(3.0)).replacen("POST", "GET", 1)).status(),
        405,
        "the request is not taken for one of the class read"
    );
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    assert_eq!(backend.next_request().first, "GET /read/k1 HTTP/1.1");
    for disguised in ["/read%2FPAY.1:a@b+c/k1", "/read/PAY.1%3Aa@b+c/k1", "/read//PAY.1:a@b+c/k1"] {
        let request = read_request(3.0).replacen("/read/k1", disguised, 1);
        assert!(matches!(proxy.request(&request).status(), 400 | 404), "{disguised}");
    }
    assert_eq!(backend.request_count(), 2);
}

#[test]
fn invalid_settings_end_the_program_and_name_the_key() {
    for (old, new, key) in [
        (r#""gain":1.0"#, r#""gain":-1.0"#, "profiles[0].gain"),
        (r#""quota_rps":500.0"#, r#""quota_rps":-1"#, "customers[0].quota_rps"),
        (r#""customers":["#, r#""customers":7,"x":["#, "customers"),
        (r#""max_attempts":4"#, r#""max_attempts":0"#, "limits.max_attempts"),
        (r#""max_attempts":4"#, r#""max_attempts":1.5"#, "limits.max_attempts"),
        (r#""dial_timeout_us":300000"#, r#""dial_timeout_us":null"#, "limits.dial_timeout_us"),
        (r#""conn_idle_us":60000000"#, r#""conn_idle_us":-1"#, "limits.conn_idle_us"),
        (r#""fall_multiple":2.5"#, r#""fall_multiple":0"#, "rules.fall_multiple"),
        (r#""my_zone":"east""#, r#""my_zone":"west""#, "my_zone"),
        (r#""deadline_us":3000000"#, r#""deadline_us":800000"#, "profiles[0].aim_us"),
    ] {
        let settings = settings(&[(old, new)]);
        let config = format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","settings":{settings}}}"#
        );
        let out = program_command(Some(&config)).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{key}: {text}");
        assert!(text.contains(&format!("settings: {key}: ")), "{key}: {text}");
    }
}

/// Returns the values of `limits` and `known` in a configuration.
fn limits_and_known(config: &str) -> (&str, &str) {
    let between = |from: &str, to: &str| {
        let start = config.find(from).expect(from) + from.len();
        &config[start..start + config[start..].find(to).expect(to)]
    };
    (between(r#""limits":"#, r#","known""#), between(r#""known":"#, r#","settings""#))
}

/// An optional key of the configuration may be null.
#[test]
fn null_counts_as_absent_in_the_configuration() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let (_, config) = start_proxy(&backend, SETTINGS).config.clone();
    let (limits, known) = limits_and_known(&config);
    for omitted in [limits, known] {
        drop(program().start_with_config(&config.replacen(omitted, "null", 1), 1024));
        // returns once the program listens
    }
}

/// The cached endpoint list and the limit on descriptors are optional: an invalid value does not prevent the start, and the
/// proxy takes its backends from discovery.
#[test]
fn invalid_cached_list_or_descriptor_limit_does_not_prevent_start() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let (_, config) = start_proxy(&backend, SETTINGS).config.clone();
    let (limits, known) = limits_and_known(&config);
    for invalid in [
        r#"{"index":7.5,"snapshot":true,"endpoints":[]}"#,
        r#"{"index":null,"snapshot":true,"endpoints":[]}"#,
        r#"{"index":7,"snapshot":true,"endpoints":null}"#,
        r#"{"index":-1,"snapshot":true,"endpoints":[]}"#,
        "{}",
        "\"none\"",
    ] {
        drop(program().start_with_config(&config.replacen(known, invalid, 1), 1024));
        // returns once the program listens
    }
    for invalid in
        [r#"{"sockets":1024.0}"#, r#"{"sockets":null}"#, r#"{"sockets":-1}"#, r#"{"sockets":1e99}"#]
    {
        drop(program().start_with_config(&config.replacen(limits, invalid, 1), 1024));
    }
}
