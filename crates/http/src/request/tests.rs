//! Tests of `request` that need its private items.

use super::path::is_unambiguous;
use super::target::is_valid_host;
use super::*;
use crate::rules::RulesConfig;
use hyper::header::HOST;
use hyper::Version;
use shaletide_balancer::DeduplicationScope;
use shaletide_routing::{AttributeSource, RequestFormat};

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in lines {
        map.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    map
}

fn rules() -> Rules {
    Rules::new(config())
}

fn config() -> RulesConfig {
    let class = |name: &str, effect, methods: &[Method]| ClassRule {
        name: name.into(),
        idempotency: effect,
        methods: methods.to_vec(),
        deadline: Micros(1_000_000),
    };
    RulesConfig {
        format: RequestFormat {
            deduplication_group: Some(AttributeSource::Path(2)),
            ..RequestFormat::platform()
        },
        classes: vec![
            class("read", Idempotency::Safe, &[Method::GET, Method::HEAD]),
            class("vote", Idempotency::Keyed(DeduplicationScope::All, Micros(1)), &[Method::POST]),
            class("pay", Idempotency::NonIdempotent, &[Method::POST]),
        ],
        tenants: vec!["north".into()],
        routes: Vec::new(),
        zone: "east".into(),
        max_retry_after: Micros(2_000_000),
        retry_after_in_whole_seconds: true,
        head_timeout: Micros(1),
        body_timeout: Micros(1),
        min_body_bytes_per_s: 1,
        body_grace: Micros(1),
        max_buffered_body_bytes: 1,
        max_body: 64 * 1024,
        records_requests: false,
        max_stop_duration: None,
    }
}

/// `Connection` may name headers that neither the proxy nor a backend uses.
#[test]
fn connection_header_that_names_a_required_header_is_rejected() {
    let required_headers = &rules().required_headers;
    for line in ["close", "keep-alive, x-private", "", " , ,", "te", "x-account-2", "idempotency key"] {
        assert_eq!(
            check_connection_header(&headers(&[("connection", line)]), required_headers),
            Ok(()),
            "{line:?}"
        );
    }
    for name in [
        "content-length",
        "host",
        "idempotency-key",
        "x-account",
        "x-correlation-id",
        "x-facts",
        "x-repeat",
        "x-time-left",
        "x-weight-hint",
    ] {
        let with_close = format!("close,\t{} ", name.to_uppercase());
        for line in [name, &with_close] {
            let mut combined = headers(&[("connection", "close")]);
            combined.append("connection", HeaderValue::from_str(line).unwrap());
            assert_eq!(
                check_connection_header(&combined, required_headers),
                Err(RequestError::RequiredHeaderDropped),
                "{line:?}"
            );
        }
    }
}

#[test]
fn repeated_routing_header_is_rejected() {
    let key = AttributeLocation::Header(HeaderName::from_static("idempotency-key"));
    let read = |lines: &[(&'static str, &'static str)], location: &AttributeLocation| {
        let mut parts = hyper::Request::builder().uri("/read//k9").body(()).unwrap().into_parts().0;
        parts.headers = headers(lines);
        attribute(location, &parts).map(|text| text.map(String::from))
    };
    let name = "idempotency-key";
    assert_eq!(read(&[(name, "k")], &key), Ok(Some("k".into())));
    assert_eq!(read(&[], &key), Ok(None));
    assert_eq!(read(&[(name, "k"), (name, "k")], &key), Err(RequestError::InvalidAttribute));
    assert_eq!(read(&[(name, "")], &key), Ok(Some(String::new())));
    for (segment, segment_text) in [(1, Some("read")), (2, None), (3, Some("k9")), (4, None)] {
        assert_eq!(read(&[], &AttributeLocation::Path(segment)), Ok(segment_text.map(String::from)));
    }
}

#[test]
fn retry_after_is_rounded_up_to_whole_seconds() {
    let rules = rules();
    assert_eq!(rules.retry_after(Micros(1)), "1");
    assert_eq!(rules.retry_after(Micros(1_200_000)), "2");
    assert_eq!(rules.retry_after(Micros(9_000_000)), "2", "limited to max_retry_after");
}

/// The longest class name that is a prefix of the path is used.
#[test]
fn class_name_may_span_several_path_segments() {
    let mut config = config();
    for (name, effect) in [
        ("read/all", Idempotency::Safe),
        ("read/all/pay", Idempotency::NonIdempotent),
        ("a//b", Idempotency::Safe),
    ] {
        config.classes.push(ClassRule {
            name: name.into(),
            idempotency: effect,
            ..config.classes[0].clone()
        });
    }
    let rules = Rules::new(config);
    let class = |path: &str| {
        let parts = hyper::Request::builder().uri(path).body(()).unwrap().into_parts().0;
        class_of(&rules, &parts).map(|class| rules.classes[class.0].name.clone())
    };
    for (path, expected) in [
        ("/read/all/k", "read/all"),
        ("/read/all", "read/all"),
        ("/read/all/", "read/all"),
        ("/read/all/pay/k", "read/all/pay"),
        ("/read/all/payment", "read/all"),
        ("/read/al/k", "read"),
        ("/read", "read"),
        ("/a//b/k", "a//b"),
        ("/read/all/k%201", "read/all"),
    ] {
        assert_eq!(class(path), Ok(expected.into()), "{path}");
    }
    for path in [
        "/read%2fall/k",
        "/read/all%2Fpay/k",
        "/read/all;x/pay",
        "/read//all/k",
        "/read/all//pay",
        "/read/al%6c/k",
        "/read/all/%2570ay",
    ] {
        assert!(
            matches!(class(path), Err(RequestError::AmbiguousPath | RequestError::UnknownClass)),
            "{path}: {:?}",
            class(path)
        );
    }
    assert_eq!(class("/all/read"), Err(RequestError::UnknownClass));
}

#[test]
fn path_with_dot_segments_or_backslashes_is_ambiguous() {
    for path in [
        "/",
        "/read",
        "/read/",
        "/read//k",
        "/vote/k%201",
        "/vote/a%2Fb",
        "/vote/a%2fb.%2Fc",
        "/read/v1.2..3",
        "/read/...",
        "/read/.a",
        "/read/a.",
        "/read/a;..",
        "/read/%",
        "/read/%2",
        "/read/%zz",
        "/read/%2e%2e%2e",
        "/read/%25",
        "/read/\u{e9}",
    ] {
        assert!(is_unambiguous(path), "{path}");
    }
    let dots = [".", "..", "%2e", "%2E", ".%2e", "%2e.", "%2E%2e", "..;", "..;a=b", "..%3b", "%252e%252E"];
    for dots in dots {
        for path in [
            format!("/{dots}"),
            format!("/{dots}/pay/k"),
            format!("/read/{dots}"),
            format!("/read/{dots}/pay"),
            format!("/read/k/{dots}/x"),
            format!("/read%2f{dots}%2Fpay"),
            format!("/read/a%2F{dots}"),
            format!("/read/{dots}%252fpay"),
        ] {
            assert!(!is_unambiguous(&path), "{path}");
        }
    }
    for path in ["//", "//pay", "/%2fpay", "/\\pay", "/read\\k", "/read/a%5cb", "/read/a%5Cb", "/read/%255cb"]
    {
        assert!(!is_unambiguous(path), "{path}");
    }
}

#[test]
fn host_is_valid_only_as_name_or_address_with_optional_port() {
    for host in ["s", "service.internal", "S-1.a_b.", "10.1.0.18:8443", "s:0", "[::1]", "[fd00::1]:80"] {
        assert!(is_valid_host(host), "{host}");
    }
    for host in [
        "",
        " ",
        ".",
        "a..b",
        ".a",
        "a b",
        "a/b",
        "a\\b",
        "user@s",
        "a,b",
        "a?b",
        "a#b",
        "a%62",
        "*",
        "\u{e9}",
        ":80",
        "s:",
        "s:http",
        "s:+80",
        "s:-1",
        "s:65536",
        "s:80:80",
        "::1",
        "[::1",
        "::1]",
        "[]",
        "[s]",
        "[10.0.0.1]",
        "[::1]x",
        "[::1]:",
        "[::1]:x",
        "[::1]80",
        "x[::1]",
        "[[::1]]",
        "[::1%25eth0]",
    ] {
        assert!(!is_valid_host(host), "{host}");
    }
    assert!(is_valid_host(&"a.".repeat(127)) && !is_valid_host(&"a.".repeat(128)));
}

#[test]
fn absolute_target_that_differs_from_the_host_header_is_rejected() {
    let check = |target: &str, host: Option<&str>, version: Version| {
        let mut request = hyper::Request::builder().uri(target).version(version);
        if let Some(host) = host {
            request = request.header(HOST, host);
        }
        check_target(&request.body(()).unwrap().into_parts().0)
    };
    for (target, host, expected) in [
        ("/read/k", Some("s"), Ok(())),
        ("http://s/read/k", Some("s"), Ok(())),
        ("http://S:80/read/k", Some("s"), Ok(())),
        ("http://s", Some("s:80"), Ok(())),
        ("http://s:8080/read/k", Some("s"), Err(RequestError::InvalidHost)),
        ("http://other/read/k", Some("s"), Err(RequestError::InvalidHost)),
        ("http://u@s/read/k", Some("s"), Err(RequestError::InvalidHost)),
        ("http://s/read/../pay", Some("s"), Err(RequestError::AmbiguousPath)),
        ("/read/k", None, Err(RequestError::InvalidHost)),
        ("http://s/read/k", None, Err(RequestError::InvalidHost)),
        ("*", Some("s"), Err(RequestError::InvalidTarget)),
        ("s:80", Some("s:80"), Err(RequestError::InvalidTarget)),
    ] {
        assert_eq!(check(target, host, Version::HTTP_11), expected, "{target} {host:?}");
    }
    assert_eq!(check("/read/k", None, Version::HTTP_10), Ok(()));
    assert_eq!(check("/read/k", Some(""), Version::HTTP_10), Err(RequestError::InvalidHost));
}
