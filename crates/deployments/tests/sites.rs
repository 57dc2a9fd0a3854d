//! Sites drawn from seeds: the same for the same seed, different for other seeds, equal when read back, and varied.

use shaletide_deployments::draw::sites;
use shaletide_deployments::model::{
    CancelSupport, DiscoveryMode, Effect, Hints, KeyGroup, ReportSource, Site, Warmup, Weights,
};
use shaletide_deployments::validate::validate;
use shaletide_deployments::write::to_toml;

/// Number of seeds that the statistical tests cover.
const SEEDS: u64 = 300;
/// Number of sites per seed.
const SITES_PER_SEED: u32 = 2;

fn many_sites() -> Vec<Site> {
    (0..SEEDS).flat_map(|seed| sites(seed, SITES_PER_SEED)).collect()
}

fn texts(seed: u64, count: u32) -> Vec<String> {
    sites(seed, count).iter().map(|site| to_toml(site).unwrap()).collect()
}

/// Returns a site without its name, which contains the seed.
fn unnamed(mut site: Site) -> Site {
    site.name.clear();
    site
}

#[test]
fn same_seed_gives_same_bytes() {
    assert_eq!(texts(1, 12), texts(1, 12));
}

#[test]
fn first_site_of_seed_1_equals_the_fixture() {
    assert_eq!(texts(1, 1)[0], include_str!("fixtures/site-1-01.toml"));
}

#[test]
fn sites_of_a_smaller_count_are_the_first_of_a_larger() {
    assert_eq!(texts(7, 3), texts(7, 12)[..3]);
}

#[test]
fn sites_differ_within_a_seed_and_between_seeds() {
    let all: Vec<Site> = many_sites().into_iter().map(unnamed).collect();
    for (index, site) in all.iter().enumerate() {
        assert!(!all[..index].contains(site), "site {index} equals an earlier one");
    }
}

#[test]
fn extreme_seeds_give_valid_sites() {
    for site in [0, u64::MAX].into_iter().flat_map(|seed| sites(seed, 3)) {
        assert_eq!(validate(&site), [], "{}", site.name);
    }
}

#[test]
fn site_read_back_is_equal() {
    for site in many_sites() {
        let read: Site = toml::from_str(&to_toml(&site).unwrap()).unwrap();
        assert_eq!(read, site);
    }
}

#[test]
fn unknown_key_in_a_site_file_is_an_error() {
    let text = format!("colour = \"red\"\n{}", texts(1, 1)[0]);
    assert!(toml::from_str::<Site>(&text).unwrap_err().to_string().contains("colour"));
}

#[test]
fn every_site_is_valid() {
    for site in many_sites() {
        assert_eq!(validate(&site), [], "{}", site.name);
    }
}

#[test]
fn least_work_grows_with_the_cores_of_the_largest_machine() {
    for site in many_sites() {
        let kinds = &site.tier[0].kinds;
        let cores = f64::from(kinds.iter().map(|kind| kind.cores).max().unwrap());
        let least_work_ms = site.classes.iter().map(|class| class.work_ms.low).fold(f64::INFINITY, f64::min);
        assert!(least_work_ms >= 4.0 * cores, "{}: {least_work_ms} ms with {cores} cores", site.name);
    }
}

/// Asserts that at least a twentieth of the sites have a property.
fn assert_common(all: &[Site], property: &str, has: impl Fn(&Site) -> bool) {
    let count = all.iter().filter(|site| has(site)).count();
    assert!(count * 20 >= all.len(), "{property}: in {count} of {} sites", all.len());
}

#[test]
fn every_number_of_zones_kinds_classes_and_tenants_occurs() {
    let all = many_sites();
    for count in 1..=4 {
        assert_common(&all, &format!("{count} zones"), |site| site.net.zones.len() == count);
    }
    for count in 1..=3 {
        assert_common(&all, &format!("{count} kinds"), |site| site.tier[0].kinds.len() == count);
    }
    for count in 1..=5 {
        assert_common(&all, &format!("{count} classes"), |site| site.classes.len() == count);
    }
    for count in [0, 2, 3, 4, 5] {
        assert_common(&all, &format!("{count} tenants"), |site| site.tenants.len() == count);
    }
    for cores in [1, 2, 4, 8, 16] {
        let has = |site: &Site| site.tier[0].kinds.iter().any(|kind| kind.cores == cores);
        assert_common(&all, &format!("{cores} cores"), has);
    }
}

#[test]
fn every_mode_of_lists_weights_reports_and_backends_occurs() {
    let all = many_sites();
    for mode in [DiscoveryMode::Push, DiscoveryMode::Ask] {
        assert_common(&all, &format!("{mode:?}"), |site| site.discovery.mode == mode);
    }
    for weights in [Weights::Nominal, Weights::Rough, Weights::None, Weights::Live] {
        assert_common(&all, &format!("weights {weights:?}"), |site| site.tier[0].weights == weights);
    }
    for how in [ReportSource::Answers, ReportSource::Probe, ReportSource::None] {
        assert_common(&all, &format!("reports {how:?}"), |site| site.tier[0].report.how == how);
    }
    for cancel in [CancelSupport::None, CancelSupport::Queued, CancelSupport::All] {
        let has = |site: &Site| site.tier[0].kinds.iter().any(|kind| kind.cancel == cancel);
        assert_common(&all, &format!("cancel {cancel:?}"), has);
    }
    for warm_by in [Warmup::Time, Warmup::Requests] {
        let has = |site: &Site| site.tier[0].kinds.iter().any(|kind| kind.warm_by == warm_by);
        assert_common(&all, &format!("warm by {warm_by:?}"), has);
    }
    assert_common(&all, "overload", |site| site.tier[0].overload.is_some());
    assert_common(&all, "no overload", |site| site.tier[0].overload.is_none());
}

#[test]
fn every_effect_and_key_group_occurs() {
    let all = many_sites();
    for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
        let has = |site: &Site| site.classes.iter().any(|class| class.effect == effect);
        assert_common(&all, &format!("{effect:?}"), has);
    }
    for group in [KeyGroup::All, KeyGroup::Zone, KeyGroup::Cell] {
        let has = |site: &Site| site.classes.iter().any(|class| class.group == Some(group));
        assert_common(&all, &format!("{group:?}"), has);
    }
    for hints in [Hints::None, Hints::Good, Hints::Rough] {
        assert_common(&all, &format!("hints {hints:?}"), |site| site.load.hints == hints);
    }
}

#[test]
fn every_allowance_occurs_granted_and_denied() {
    let all = many_sites();
    for granted in [true, false] {
        assert_common(&all, "probes", |site| site.allow.probes == granted);
        assert_common(&all, "cancel", |site| site.allow.cancel == granted);
        assert_common(&all, "second copies", |site| site.allow.second_copies == granted);
        assert_common(&all, "retry after", |site| site.allow.retry_after == granted);
    }
    for attempts in 1..=6 {
        assert_common(&all, &format!("{attempts} attempts"), |site| site.allow.max_attempts == attempts);
    }
}

#[test]
fn times_and_limits_reach_both_ends_of_their_ranges() {
    let all = many_sites();
    assert_common(&all, "grace under 400 ms", |site| site.rules.drain_grace_ms < 400);
    assert_common(&all, "grace over 2 s", |site| site.rules.drain_grace_ms > 2_000);
    assert_common(&all, "idle under 2 s", |site| site.tier[0].conn.idle_s < 2.0);
    assert_common(&all, "idle over 30 s", |site| site.tier[0].conn.idle_s > 30.0);
    assert_common(&all, "cap under 100", |site| site.tier[0].conn.cap_per_core.low < 100.0);
    assert_common(&all, "cap over 400", |site| site.tier[0].conn.cap_per_core.low > 400.0);
    assert_common(&all, "deadline under 0.5 s", |site| {
        site.classes.iter().any(|class| class.deadline_ms < 500)
    });
    assert_common(&all, "deadline over 3 s", |site| {
        site.classes.iter().any(|class| class.deadline_ms > 3_000)
    });
    assert_common(&all, "window under 0.5 s", |site| {
        site.classes.iter().any(|class| class.window_ms < Some(500))
    });
}
