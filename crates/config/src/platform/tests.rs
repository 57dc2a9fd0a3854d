use super::*;
use serde_json::{json, Value};
use shaletide_balancer::{DeduplicationScope, Idempotency, Micros};

fn node() -> NodeIdentity {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    NodeIdentity { name: "n0".into(), listen: address(1), discovery: address(2), seed: 3, descriptors: 256 }
}

fn settings() -> Value {
    json!({"blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.02},
        "customers": [{"name": "north", "quota_rps": 50.0}], "discovery": "subscribe", "position": 0,
        "group_size": 1, "granularity_us": 5000, "kinds": ["big"], "my_zone": "east",
        "zones": ["east", "west"], "novelty": [1, {"a": 2}], "over_share_worth": 0.1,
        "limits": {"cancel": true, "max_attempts": 3, "parallel_tries": true, "dial_timeout_us": 1000,
            "conn_idle_us": 2000, "max_retry_after_us": 3000},
        "profiles": [
            {"name": "read", "aim_us": 1, "deadline_us": 2, "effect": "free", "gain": 1.0, "late_worth": 0.0},
            {"name": "pay", "aim_us": 1, "deadline_us": 2, "effect": "guarded", "key_scope": "cell",
                "window_us": 5, "gain": 1.0, "late_worth": 0.0, "aim_stretch": 0.5}],
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 9, "ramp_time_us": 9,
            "tip_after_us": 2}})
}

/// Returns the settings with another value at that JSON pointer.
fn settings_with(pointer_path: &str, value: Value) -> Value {
    let mut settings = settings();
    *settings.pointer_mut(pointer_path).unwrap() = value;
    settings
}

#[test]
fn settings_are_read_and_unknown_keys_skipped() {
    let (config, names) = read(&settings()).unwrap();
    assert_eq!(config.validate(), Ok(()));
    assert_eq!(names.classes(), ["read", "pay"]);
    assert_eq!(names.tenants(), ["north"]);
    assert_eq!(config.classes[1].idempotency, Idempotency::Keyed(DeduplicationScope::Group, Micros(5)));
    let classes = operator_config(node(), &settings()).unwrap().0.classes;
    assert_eq!(classes.iter().map(|c| c.deadline).collect::<Vec<_>>(), [Micros(2), Micros(2)]);
}

#[test]
fn value_out_of_range_is_named_by_its_platform_path() {
    let zero = || json!(0);
    let cases = [
        ("/group_size", zero(), "group_size: expected a whole number, at least 1, got 0"),
        ("/position", json!(1), "position: expected a whole number less than group_size, got 1"),
        ("/profiles", json!([]), "profiles: expected at least one class, got []"),
        ("/profiles/0/aim_us", zero(), "profiles[0].aim_us: expected whole microseconds, at least 1, got 0"),
        ("/profiles/1/aim_us", json!(3), "profiles[1].aim_us: expected no more than deadline_us"),
        (
            "/profiles/1/aim_stretch",
            json!(-1),
            "profiles[1].aim_stretch: expected a number of at least 0, got -1",
        ),
        ("/profiles/0/gain", json!(-1), "profiles[0].gain: expected a finite number of at least 0, got -1"),
        ("/profiles/0/gain", json!(null), "profiles[0].gain: missing, expected a number"),
        ("/profiles/0/aim_us", json!(1.5), "profiles[0].aim_us: expected whole microseconds, got 1.5"),
        ("/rules/ramp_time_us", json!(1e19), "rules.ramp_time_us: expected whole microseconds, got 1e+19"),
        ("/position", json!(-1.0), "position: expected a whole number, got -1.0"),
        ("/customers", json!("none"), "customers: expected an array, got \"none\""),
        (
            "/profiles/1/late_worth",
            json!(1.5),
            "profiles[1].late_worth: expected a number from 0 to 1, got 1.5",
        ),
        ("/profiles/1/name", json!("read"), "profiles[1].name: an earlier class has the same name"),
        (
            "/profiles/1/key_scope",
            json!("bay"),
            "profiles[1].key_scope: expected all, zone or cell, got \"bay\"",
        ),
        (
            "/profiles/0/effect",
            json!("safe"),
            "profiles[0].effect: expected free, guarded or single_shot, got \"safe\"",
        ),
        (
            "/customers/0/quota_rps",
            json!(-0.5),
            "customers[0].quota_rps: expected a finite number of at least 0, got -0.5",
        ),
        ("/over_share_worth", json!(-0.1), "over_share_worth: expected a number from 0 to 1, got -0.1"),
        ("/blend/whole", json!(2), "blend.whole: expected a number from 0 to 1, got 2"),
        ("/blend/worst_class", json!(1.1), "blend.worst_class: expected a number from 0 to 1, got 1.1"),
        ("/costs/cross_zone", json!(-1), "costs.cross_zone: expected a number of at least 0, got -1"),
        ("/limits/max_attempts", zero(), "limits.max_attempts: expected a whole number, at least 1, got 0"),
        ("/granularity_us", zero(), "granularity_us: expected whole microseconds, at least 1, got 0"),
        ("/rules/cold_from", json!(1.01), "rules.cold_from: expected a number from 0 to 1, got 1.01"),
        ("/rules/fall_multiple", zero(), "rules.fall_multiple: expected a finite number above 0, got 0"),
        ("/rules/must_ask_in_us", json!("9"), "rules.must_ask_in_us: expected whole microseconds, got \"9\""),
        ("/discovery", json!("push"), "discovery: expected automatic or subscribe, got \"push\""),
        ("/my_zone", json!("north"), "my_zone: expected one of zones, got \"north\""),
    ];
    for (pointer_path, value, message) in cases {
        assert_eq!(read(&settings_with(pointer_path, value)).unwrap_err().to_string(), message);
    }
}

#[test]
fn missing_setting_is_named_with_what_was_expected() {
    let mut without = settings();
    without["blend"] = json!({});
    assert_eq!(read(&without).unwrap_err().to_string(), "blend.whole: missing, expected a number");
    let mut settings = settings();
    settings["limits"].as_object_mut().unwrap().remove("dial_timeout_us");
    let missing = "limits.dial_timeout_us: missing, expected whole microseconds";
    assert_eq!(operator_config(node(), &settings).unwrap_err().to_string(), missing);
}

/// JSON does not distinguish 5 from 5.0, and the platform writes null for an absent value.
#[test]
fn integral_floats_are_integers_and_null_is_absent() {
    let (plain, _) = read(&settings()).unwrap();
    for (pointer_path, value) in [
        ("/granularity_us", json!(5000.0)),
        ("/group_size", json!(1.0)),
        ("/limits/max_attempts", json!(3.0)),
        ("/rules/ramp_time_us", json!(9.0)),
        ("/profiles/1/window_us", json!(5.0)),
    ] {
        assert_eq!(
            read(&settings_with(pointer_path, value)).map(|r| r.0),
            Ok(plain.clone()),
            "{pointer_path}"
        );
    }
    let (config, _) = read(&settings_with("/profiles/1/aim_stretch", json!(null))).unwrap();
    assert_eq!(config.classes[1].latency_objective_per_work_hint, 0.0);
    let (operator, _) =
        operator_config(node(), &settings_with("/limits/conn_idle_us", json!(2000.0))).unwrap();
    assert_eq!(operator.limits.idle_timeout, Micros(2000));
}

/// Some sites have no tenants, and server types need not be listed in the settings.
#[test]
fn optional_lists_are_empty_when_absent() {
    for absent in [json!(null), json!([])] {
        for list in ["customers", "kinds"] {
            let mut without = settings();
            without[list] = absent.clone();
            let (config, names) = read(&without).unwrap();
            assert_eq!(config.tenants.len(), names.tenants().len());
            assert_eq!(
                (names.tenants().len(), names.server_types().len()),
                if list == "kinds" { (1, 0) } else { (0, 1) }
            );
        }
    }
    let mut without = settings();
    for list in ["customers", "kinds"] {
        without.as_object_mut().unwrap().remove(list);
    }
    let (config, names) = read(&without).unwrap();
    assert_eq!((config.tenants.len(), names.server_types().len()), (0, 0));
}

#[test]
fn bounds_are_inclusive() {
    for (pointer_path, value) in [
        ("/rules/cold_from", json!(0)),
        ("/rules/cold_from", json!(1)),
        ("/rules/ramp_time_us", json!(0)),
        ("/rules/tip_after_us", json!(0)),
        ("/costs/cross_zone", json!(0)),
        ("/customers/0/quota_rps", json!(0)),
        ("/profiles/0/gain", json!(0)),
        ("/profiles/1/aim_us", json!(2)),
        ("/profiles/1/window_us", json!(0)),
    ] {
        let (config, _) = read(&settings_with(pointer_path, value)).unwrap();
        assert_eq!(config.validate(), Ok(()));
    }
}
