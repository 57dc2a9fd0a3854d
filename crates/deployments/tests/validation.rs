//! Invalid sites are rejected with the path of each invalid key, and all violations are reported together.

use shaletide_deployments::draw::sites;
use shaletide_deployments::model::{Effect, KeyGroup, Range, ReportField, ReportSource, Site};
use shaletide_deployments::validate::validate;
use shaletide_deployments::write::{to_toml, WriteError};

/// Returns a site with tenants and one zone.
fn sample() -> Site {
    let mut all = sites(1, 50).into_iter();
    all.find(|site| !site.tenants.is_empty() && site.net.zones.len() == 1).unwrap()
}

/// Returns the paths of the violations of a site after a change.
fn paths_after(change: impl Fn(&mut Site)) -> Vec<String> {
    let mut site = sample();
    change(&mut site);
    validate(&site).into_iter().map(|violation| violation.path).collect()
}

#[test]
fn reversed_range_is_reported() {
    let paths = paths_after(|site| site.load.quiet = Range { low: 0.5, high: 0.2 });
    assert_eq!(paths, ["load.quiet"]);
}

#[test]
fn zones_out_of_bounds_or_duplicate_are_reported() {
    assert_eq!(paths_after(|site| site.net.zones.clear()), ["net.zones"]);
    assert_eq!(paths_after(|site| site.net.zones = vec!["a".into(), "a".into()]), ["net.zones"]);
    let five = ["a", "b", "c", "d", "e"].map(String::from).to_vec();
    assert_eq!(paths_after(|site| site.net.zones = five.clone()), ["net.zones"]);
}

#[test]
fn skew_between_zones_with_one_zone_is_reported() {
    let paths = paths_after(|site| site.load.zone_skew = Range { low: 0.0, high: 0.2 });
    assert_eq!(paths, ["load.zone_skew"]);
}

#[test]
fn cores_out_of_bounds_are_reported() {
    for cores in [0, 17] {
        assert_eq!(paths_after(|site| site.tier[0].kinds[0].cores = cores), ["tier.0.kind.0.cores"]);
    }
}

#[test]
fn deadline_before_aim_is_reported() {
    let paths = paths_after(|site| site.classes[0].deadline_ms = site.classes[0].aim_ms - 1);
    assert_eq!(paths, ["class.0.deadline_ms"]);
}

#[test]
fn keyed_class_without_window_and_safe_class_with_group_are_reported() {
    let keyed = paths_after(|site| {
        site.classes[0].effect = Effect::Keyed;
        site.classes[0].group = Some(KeyGroup::All);
        site.classes[0].window_ms = None;
    });
    assert_eq!(keyed, ["class.0.effect"]);
    let safe = paths_after(|site| {
        site.classes[0].effect = Effect::Safe;
        site.classes[0].group = Some(KeyGroup::All);
        site.classes[0].window_ms = None;
    });
    assert_eq!(safe, ["class.0.effect"]);
}

#[test]
fn reports_by_probes_without_allowed_probes_are_reported() {
    let paths = paths_after(|site| {
        site.allow.probes = false;
        site.tier[0].report.how = ReportSource::Probe;
        site.tier[0].report.fields = vec![ReportField::Queue];
    });
    assert_eq!(paths, ["tier.0.report.how"]);
}

#[test]
fn discovery_keys_of_both_modes_are_reported() {
    let paths = paths_after(|site| {
        site.discovery.period_ms = Some(Range { low: 100.0, high: 200.0 });
        site.discovery.timeout_ms = Some(1_000);
    });
    assert_eq!(paths, ["discovery"]);
}

#[test]
fn tenant_shares_that_add_up_to_less_than_one_are_reported() {
    assert_eq!(paths_after(|site| site.tenants[0].share = 0.0), ["tenant"]);
}

#[test]
fn connect_timeout_shorter_than_a_handshake_is_reported() {
    let paths = paths_after(|site| site.tier[0].conn.connect_timeout_ms = 0);
    assert_eq!(paths, ["tier.0.conn.connect_timeout_ms"]);
}

#[test]
fn all_violations_are_reported_together_and_nothing_is_serialized() {
    let mut site = sample();
    site.allow.max_attempts = 0;
    site.rules.fall_multiple = 0.0;
    site.tier.clear();
    let error = to_toml(&site).unwrap_err();
    let WriteError::Invalid { violations, .. } = &error else { panic!("{error}") };
    let paths: Vec<&str> = violations.iter().map(|violation| violation.path.as_str()).collect();
    assert_eq!(paths, ["allow.max_attempts", "rules.fall_multiple", "tier"]);
    assert!(error.to_string().contains("rules.fall_multiple: expected a value above 1"), "{error}");
}
