//! Valid files: the smallest one, the sample, and one in which each key differs from its default.

use shaletide_balancer::{
    BackendState, ClassId, DeduplicationScope, DiscoveryMode, Idempotency, Micros, PoolId, TenantId,
};
use shaletide_config::operator::{
    read, read_bytes, OperatorConfig, PoolSource, RecordMode, RecordStoreConfig, WithoutKey,
};
use shaletide_routing::{
    AttributeSource, ErrorResponses, HeaderMatch, NotExecutedProof, RequestFormat, ResponseRules, RouteMatch,
};

const SMALLEST: &str = r#"
[[listener]]
address = "127.0.0.1:8080"
[[class]]
name = "read"
[[pool]]
name = "all"
boxes = ["127.0.0.1:9001", "127.0.0.1:9002"]
"#;
const SAMPLE: &str = include_str!("../../../deploy/operator.example.toml");

fn read_valid(text: &str) -> OperatorConfig {
    read("f.toml", text).unwrap_or_else(|report| panic!("{report}"))
}

/// Reads the smallest file with more text appended.
fn smallest_with(more: &str) -> OperatorConfig {
    read_valid(&format!("{SMALLEST}\n{more}"))
}

#[test]
fn smallest_file_has_all_defaults() {
    let operator = read_valid(SMALLEST);
    assert_eq!(operator.balancer.validate(), Ok(()));
    assert_eq!((operator.proxy.name.as_str(), operator.proxy.seed), ("shaletide", None));
    assert_eq!((operator.proxy.proxies, operator.proxy.position), (1, 0));
    assert_eq!(operator.listeners, ["127.0.0.1:8080".parse().unwrap()]);
    assert_eq!(operator.limits.connect_timeout, Micros(300_000));
    assert_eq!((operator.limits.descriptors, operator.limits.max_body), (1024, 65536));
    assert_eq!(operator.limits.answer_stall, None);
    assert_eq!(operator.request_format, RequestFormat { id_required: false, ..RequestFormat::platform() });
    assert_eq!(operator.classes[0].methods, ["GET", "HEAD"]);
    assert_eq!(operator.classes[0].deadline, Micros(2_000_000));
    assert_eq!(operator.balancer.classes[0].idempotency, Idempotency::Safe);
    assert_eq!(operator.tenants, [""; 0]);
    assert_eq!(operator.routes.len(), 1);
    assert_eq!(
        (operator.routes[0].name.as_str(), &operator.routes[0].conditions),
        ("default", &RouteMatch::default())
    );
    assert_eq!(operator.routes[0].pools, [PoolId(0)]);
    assert_eq!(operator.routes[0].response_rules, ResponseRules::operator_default());
}

#[test]
fn default_response_rules_are_the_listed_statuses() {
    let served = "[answers]\nserved = [\"200-428\", 430, \"431-499\", 501, \"505-599\"]\nnever_ran = []\n";
    assert_eq!(
        smallest_with(&format!("{served}errors = \"as_they_are\"")).routes[0].response_rules,
        ResponseRules::operator_default()
    );
}

#[test]
fn backend_in_short_form_has_its_own_deduplication_group() {
    let operator = read_valid(SMALLEST);
    let PoolSource::Static(backends) = &operator.pools[0].source else { panic!("the pool is not static") };
    assert_eq!(backends.len(), 2);
    assert_eq!((backends[1].deduplication_group.as_str(), backends[1].zone.as_str()), ("127.0.0.1:9002", ""));
    assert_eq!((backends[1].server_type.as_str(), backends[1].cores), ("box", 1));
    assert_eq!(backends[1].state, BackendState::Ready);
    assert_eq!(operator.pools[0].deduplication_domain, "all");
}

#[test]
fn sample_is_valid() {
    let operator = read_valid(SAMPLE);
    assert_eq!(operator.balancer.validate(), Ok(()));
    assert_eq!(operator.proxy.seed, Some(0x8c1f_30d2_7a5b_e964));
    assert_eq!(
        operator.balancer.classes[1].idempotency,
        Idempotency::Keyed(DeduplicationScope::Group, Micros(1_200_000))
    );
    assert_eq!(operator.classes[1].methods, ["POST", "PUT", "PATCH", "DELETE"]);
    assert_eq!(operator.balancer.classes[2].idempotency, Idempotency::NonIdempotent);
    assert_eq!(operator.request_format.default_class, Some(ClassId(0)));
    assert_eq!(operator.request_format.deduplication_group, Some(AttributeSource::Path(3)));
    assert_eq!(operator.request_format.zone, Some(AttributeSource::Header("x-zone".into())));
    let PoolSource::Static(backends) = &operator.pools[0].source else { panic!("the pool is not static") };
    assert_eq!((backends[2].deduplication_group.as_str(), backends[2].state), ("1", BackendState::Draining));
    let route = &operator.routes[0];
    assert_eq!(
        (&route.conditions.classes[..], &route.conditions.tenants[..]),
        (&[ClassId(1)][..], &[TenantId(0)][..])
    );
    assert_eq!(
        (route.conditions.deduplication_groups.join(","), route.conditions.zones.join(",")),
        ("1,annex".into(), "quay-office".into())
    );
    assert_eq!(route.conditions.headers, [HeaderMatch { name: "x-kind".into(), value: Some("eu".into()) }]);
    assert_eq!(route.pools, [PoolId(0), PoolId(1)]);
    // The route has its own `served` and `errors`, and `never_ran` of [answers].
    assert!(route.response_rules.served.contains(299) && !route.response_rules.served.contains(300));
    assert_eq!(route.response_rules.error_responses, ErrorResponses::Replace);
    let proof = NotExecutedProof { status: 503, header: "x-unprocessed".into(), value: Some("1".into()) };
    assert_eq!(route.response_rules.not_executed, [proof]);
    assert_eq!(operator.routes[1].response_rules.error_responses, ErrorResponses::Forward);
}

#[test]
fn commented_lines_of_the_sample_are_valid() {
    let backends = "boxes = [\"127.0.0.1:9011\", \"127.0.0.1:9012\"]\n";
    let text =
        SAMPLE.replace(backends, "").replace("# discovery", "discovery").replace("# must_ask", "must_ask");
    assert_ne!(text, SAMPLE);
    let PoolSource::Discovery { address, mode } = read_valid(&text).pools[1].source else {
        panic!("the pool has no discovery")
    };
    assert_eq!((address.port(), mode), (8500, DiscoveryMode::Subscribe(Micros(9_000_000))));
}

#[test]
fn every_key_sets_its_field() {
    let text = r#"
        [proxy]
        name = "q.1_a-B"
        zone = "z"
        proxies = 7
        position = 6
        seed = "Ff"
        [limits]
        descriptors = 128
        max_attempts = 16
        second_copies = false
        cancel = false
        connect_timeout = "1ms"
        idle_timeout = "1h"
        max_retry_after = "1min 30s"
        tick = "100us"
        answer_stall = "40.5ms"
        head_timeout = "1s 1us"
        body_timeout = "1m"
        body_rate = "2KiB"
        body_grace = "1s"
        held_bodies = "1MiB"
        max_body = "1.5KiB"
        [rules]
        cold_from = 1
        ramp = "3s"
        fall_multiple = 2
        fall_window = "4s"
        drain_grace = "0s"
        [goal]
        whole = 0.5
        worst_class = 0.25
        cross_zone_cost = 2
        over_quota_worth = 0
    "#;
    let OperatorConfig { proxy, limits, balancer: config, .. } = smallest_with(text);
    assert_eq!((proxy.name.as_str(), proxy.zone.as_str(), proxy.seed), ("q.1_a-B", "z", Some(255)));
    assert_eq!((config.proxies, config.position), (7, 6));
    assert_eq!((limits.descriptors, config.max_attempts), (128, 16));
    assert!(!config.hedging && !config.may_cancel_attempts);
    assert_eq!((limits.connect_timeout, limits.idle_timeout), (Micros(1000), Micros(3_600_000_000)));
    assert_eq!((limits.max_retry_after, config.min_timer_interval), (Micros(90_000_000), Micros(100)));
    assert_eq!((limits.answer_stall, limits.head_timeout), (Some(Micros(40_500)), Micros(1_000_001)));
    assert_eq!((limits.body_timeout, limits.max_body), (Micros(60_000_000), 1536));
    assert_eq!((limits.body_rate, limits.body_grace), (2048, Micros(1_000_000)));
    assert_eq!(limits.held_bodies, 1 << 20);
    assert_eq!(
        (config.initial_capacity_fraction, config.slow_start_window, config.overload_multiple),
        (1.0, Micros(3_000_000), 2.0)
    );
    assert_eq!((config.overload_window, limits.drain_grace), (Micros(4_000_000), Micros(0)));
    assert_eq!((config.total_objective_weight, config.worst_class_objective_weight), (0.5, 0.25));
    assert_eq!((config.cross_zone_cost, config.over_quota_weight_fraction), (2.0, 0.0));
}

#[test]
fn store_of_record_and_control_socket_are_off_by_default() {
    let pay = "[[class]]\nname = \"pay\"\neffect = \"unsafe\"\n";
    let off = smallest_with(&format!("{pay}record = \"none\"\n"));
    assert_eq!((off.record, off.control), (None, None));
    assert!(off.classes.iter().all(|class| class.record == RecordMode::None));
    let on = smallest_with(&format!("{pay}[record]\npath = \"/var/lib/r.db\"\n[control]\nsocket = \"c\"\n"));
    let expected = RecordStoreConfig {
        path: "/var/lib/r.db".into(),
        retention: Micros(30 * 86_400_000_000),
        intent_timeout: Micros(50_000),
        retry_after: Micros(1_000_000),
    };
    assert_eq!((on.record, on.control), (Some(expected), Some("c".into())));
    let reject_without_key = RecordMode::Intent { without_key: WithoutKey::Reject };
    assert_eq!([on.classes[0].record, on.classes[1].record], [RecordMode::None, reject_without_key]);
    let record = "[record]\npath = \"r\"\nkeep = \"1h\"\nwait = \"1s\"\nretry_after = \"3s\"\n";
    let explicit = smallest_with(&format!(
        "{pay}without_key = \"record\"\n[[class]]\nname = \"b\"\nrecord = \"facts\"\n[[class]]\nname = \"c\"\n\
         effect = \"unsafe\"\nrecord = \"none\"\n{record}"
    ));
    let records: Vec<RecordMode> = explicit.classes.iter().skip(1).map(|class| class.record).collect();
    let record = RecordMode::Intent { without_key: WithoutKey::Record };
    assert_eq!(records, [record, RecordMode::Facts, RecordMode::None]);
    let store = explicit.record.unwrap();
    assert_eq!(
        (store.retention, store.intent_timeout, store.retry_after),
        (Micros(3_600_000_000), Micros(1_000_000), Micros(3_000_000))
    );
}

#[test]
fn times_keep_their_microseconds() {
    for (text, micros) in
        [("1.2s", 1_200_000), ("999.999ms", 999_999), ("0.000101s", 101), ("1s", 1_000_000), ("123us", 123)]
    {
        assert_eq!(
            smallest_with(&format!("[rules]\ndrain_grace = \"{text}\"")).limits.drain_grace,
            Micros(micros),
            "{text}"
        );
    }
}

#[test]
fn single_value_counts_as_a_list() {
    let one = "class = \"read\"\nzone = \"a\"\nbay = 7\nmethod = \"GET\"\nheader = { name = \"X-A\" }\npools = \"all\"";
    let list = "class = [\"read\"]\nzone = [\"a\"]\nbay = [\"7\"]\nmethod = [\"GET\"]\nheader = [{ name = \"x-a\" }]\n\
                pools = [\"all\"]";
    let route = |text| smallest_with(&format!("[[route]]\nname = \"r\"\n{text}")).routes[0].clone();
    assert_eq!(route(one), route(list));
}

#[test]
fn discovery_mode_push_is_read() {
    let pool = "[[pool]]\nname = \"d\"\ndiscovery = \"[::1]:8500\"\ndiscovery_mode = \"push\"";
    let operator = smallest_with(pool);
    let PoolSource::Discovery { address, mode } = operator.pools[1].source else {
        panic!("the pool has no discovery")
    };
    assert_eq!((address.to_string().as_str(), mode), ("[::1]:8500", DiscoveryMode::Push));
    assert_eq!(operator.routes[0].pools, [PoolId(0), PoolId(1)]);
}

#[test]
fn windows_line_ends_and_byte_order_mark_change_nothing() {
    let windows = format!("\u{feff}{}", SAMPLE.replace('\n', "\r\n"));
    assert_eq!(read_bytes("f.toml", windows.as_bytes()).unwrap(), read_valid(SAMPLE));
}

#[test]
fn needs_restart_names_exactly_the_changed_keys() {
    let old = read_valid(SAMPLE);
    assert_eq!(old.needs_restart(&old), [""; 0]);
    let changes = [
        ("name = \"quay-1\"", "name = \"quay-2\"", "proxy.name: changed"),
        ("position = 0", "position = 1\nproxies = 2", "proxy.position: changed,proxy.proxies: changed"),
        ("seed = ", "# seed = ", "proxy.seed: changed"),
        ("descriptors = 1024", "descriptors = 2048", "limits.descriptors: changed"),
        (
            "127.0.0.1:8080",
            "127.0.0.1:8081",
            "listener.address: 127.0.0.1:8080 was removed,listener.address: 127.0.0.1:8081 was added",
        ),
        ("name = \"pay\"", "name = \"spend\"", "class.name: pay was removed"),
        (
            "effect = \"unsafe\"",
            "effect = \"safe\"",
            "class.effect: changed for pay,class.record: changed for pay",
        ),
        ("key_window = \"1.2s\"", "key_window = \"1.3s\"", "class.effect: changed for settle"),
        ("[[tenant]]", "[[tenant]]\nname = \"other\"\nquota = 1\n[[tenant]]", ""),
        ("quota = 180.0", "quota = 1", ""),
        ("path = \"record.db\"", "path = \"other.db\"", "record.path: changed"),
        ("socket = \"control.sock\"", "socket = \"other.sock\"", "control.socket: changed"),
        ("record = \"permit\"", "record = \"permit\" # ", "same"),
        ("without_key = \"refuse\"", "without_key = \"record\"", "class.record: changed for pay"),
        ("keep = \"30d\"", "keep = \"1d\"", ""),
        ("aim = \"400ms\"", "aim = \"300ms\"", ""),
        ("\"127.0.0.1:9001\"", "\"127.0.0.1:9091\"", ""),
        ("max_attempts = 3", "max_attempts = 4", ""),
    ];
    for (from, to, expected) in changes {
        let mut text = SAMPLE.replacen(from, to, 1);
        if to.contains("proxies = 2") {
            text = text.replacen("proxies = 1 ", "# proxies = 1 ", 1);
        }
        if to == "effect = \"safe\"" {
            text =
                text.replacen("record = \"permit\"", "# \"permit\"", 1).replacen("without_key = ", "# ", 1);
        }
        let new = read_valid(&text);
        if expected == "same" {
            assert_eq!(new, old, "{from}");
            continue;
        }
        assert_ne!(new, old, "{from}");
        assert_eq!(old.needs_restart(&new).join(","), expected, "{from}");
    }
    let without_tenant = SAMPLE
        .replace("tenant = [\"milford\"]", "")
        .replace("[[tenant]]\nname = \"milford\"", "[[tenant]]\nname = \"x\"");
    assert_eq!(old.needs_restart(&read_valid(&without_tenant)), ["tenant.name: milford was removed"]);
}
