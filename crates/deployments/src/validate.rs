//! Validation of sites, drawn here or read back: bounds of single values, and consistency between values.

use crate::model::{Class, DiscoveryMode, Effect, Hints, Kind, Range, ReportSource, Site, Tier, WorthUnit};
use std::fmt;

/// Maximum number of zones of a site.
pub const MAX_ZONES: usize = 4;
/// Maximum number of kinds of machines of a tier.
pub const MAX_KINDS: usize = 3;
/// Maximum number of classes of a site.
pub const MAX_CLASSES: usize = 5;
/// Maximum number of tenants of a site.
pub const MAX_TENANTS: usize = 5;
/// Maximum number of cores of a machine.
pub const MAX_CORES: u32 = 16;
/// Maximum number of attempts of a request.
pub const MAX_ATTEMPTS: u32 = 6;
/// Maximum number of figures in a load report.
pub const MAX_REPORT_FIELDS: usize = 4;
/// Maximum deviation of a sum of shares from 1.
const SUM_TOLERANCE: f64 = 1e-9;

/// An invalid value in a site.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The path of the key, with list positions counted from 0.
    pub path: String,
    /// The expected value.
    pub expected: &'static str,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: expected {}", self.path, self.expected)
    }
}

/// Returns all violations of a site, in the order of its keys.
pub fn validate(site: &Site) -> Vec<Violation> {
    let mut checks = Checks::default();
    check_fleet_and_network(&mut checks, site);
    check_load(&mut checks, site);
    check_discovery(&mut checks, site);
    check_policy(&mut checks, site);
    checks.require("tier", site.tier.len() == 1, "one tier");
    for (index, tier) in site.tier.iter().enumerate() {
        check_tier(&mut checks, &format!("tier.{index}"), tier, site);
    }
    let class_count = (1..=MAX_CLASSES).contains(&site.classes.len());
    checks.require("class", class_count, "one to five classes");
    for (index, class) in site.classes.iter().enumerate() {
        check_class(&mut checks, &format!("class.{index}"), class);
    }
    check_tenants(&mut checks, site);
    checks.violations
}

#[derive(Default)]
struct Checks {
    violations: Vec<Violation>,
}

impl Checks {
    fn require(&mut self, path: &str, holds: bool, expected: &'static str) {
        if !holds {
            self.violations.push(Violation { path: path.to_string(), expected });
        }
    }

    fn ordered<T: Copy + PartialOrd>(&mut self, path: &str, range: Range<T>) {
        self.require(path, range.low <= range.high, "a low end that is not above the high end");
    }

    fn positive(&mut self, path: &str, range: Range<f64>) {
        self.ordered(path, range);
        self.require(path, range.low > 0.0, "values above 0");
    }

    fn share(&mut self, path: &str, range: Range<f64>) {
        self.ordered(path, range);
        self.require(path, range.low >= 0.0 && range.high <= 1.0, "shares from 0 to 1");
    }
}

fn check_fleet_and_network(checks: &mut Checks, site: &Site) {
    checks.positive("day.length_s", site.day.length_s);
    checks.require("day.tick_ms", site.day.tick_ms > 0, "a value above 0");
    for (path, range) in [
        ("scale.servers", site.scale.servers),
        ("scale.balancers", site.scale.balancers),
        ("scale.big_servers", site.scale.big_servers),
        ("scale.big_balancers", site.scale.big_balancers),
    ] {
        checks.ordered(path, range);
        checks.require(path, range.low > 0, "values above 0");
    }
    let net = &site.net;
    checks.require("net.zones", (1..=MAX_ZONES).contains(&net.zones.len()), "one to four zones");
    checks.require("net.zones", all_different(&net.zones), "different names");
    checks.positive("net.same_ms", net.same_ms);
    checks.positive("net.cross_ms", net.cross_ms);
    checks.positive("net.client_ms", net.client_ms);
    checks.require(
        "net.cross_ms",
        net.cross_ms.low >= net.same_ms.low,
        "delays not below those of net.same_ms",
    );
}

fn check_load(checks: &mut Checks, site: &Site) {
    let load = &site.load;
    for (path, range) in [
        ("load.quiet", load.quiet),
        ("load.trouble", load.trouble),
        ("load.overload", load.overload),
        ("load.big", load.big),
        ("load.quota_of_capacity", load.quota_of_capacity),
    ] {
        checks.positive(path, range);
    }
    checks.require("load.shape", !load.shape.is_empty(), "at least one shape");
    checks.share("load.zone_skew", load.zone_skew);
    let even = site.net.zones.len() > 1 || load.zone_skew.high == 0.0;
    checks.require("load.zone_skew", even, "0 with one zone");
    let by_work = load.hints == Hints::None || load.worth_by == WorthUnit::Work;
    checks.require("load.worth_by", by_work, "\"work\" where requests tell their work");
    let keyed = site.affinity.is_none() || load.keys > 0;
    checks.require("fam", keyed, "no affinity without keys");
    checks.share("clients.try_share", site.clients.try_share);
    checks.require("clients.backoff", !site.clients.backoff.is_empty(), "at least one kind of back-off");
}

fn check_discovery(checks: &mut Checks, site: &Site) {
    let discovery = &site.discovery;
    checks.positive("discovery.notice_s", discovery.notice_s);
    checks.positive("discovery.silent_notice_s", discovery.silent_notice_s);
    checks.positive("discovery.add_s", discovery.add_s);
    let pushed = discovery.mode == DiscoveryMode::Push;
    let push_keys = [discovery.period_ms.is_some(), discovery.spread_ms.is_some()];
    let ask_keys = [
        discovery.capacity.is_some(),
        discovery.all_call_s.is_some(),
        discovery.call_lines.is_some(),
        discovery.timeout_ms.is_some(),
    ];
    let fitting = push_keys.iter().all(|set| *set == pushed) && ask_keys.iter().all(|set| *set != pushed);
    checks.require("discovery", fitting, "all keys of its mode and no others");
}

fn check_policy(checks: &mut Checks, site: &Site) {
    let attempts = (1..=MAX_ATTEMPTS).contains(&site.allow.max_attempts);
    checks.require("allow.max_attempts", attempts, "1 to 6 attempts");
    checks.require("rules.fall_multiple", site.rules.fall_multiple > 1.0, "a value above 1");
    checks.require("rules.fall_ms", site.rules.fall_ms > 0, "a value above 0");
    let goal = &site.goal;
    let sum = goal.whole + goal.worst_window + goal.worst_class + goal.worst_tenant;
    checks.require("goal", (sum - 1.0).abs() < SUM_TOLERANCE, "weights that add up to 1");
    for (index, fault) in site.faults.iter().enumerate() {
        let lasts = fault.len_s.mildest > 0.0 && fault.len_s.worst > 0.0;
        checks.require(&format!("trouble.{index}.len_s"), lasts, "values above 0");
    }
}

fn check_tier(checks: &mut Checks, path: &str, tier: &Tier, site: &Site) {
    checks.ordered(&format!("{path}.cell_size"), tier.cell_size);
    let report = &tier.report;
    let reported = report.how != ReportSource::None;
    let fields = report.fields.len() <= MAX_REPORT_FIELDS && report.fields.is_empty() != reported;
    checks.require(&format!("{path}.report.fields"), fields, "one to four fields, none without reports");
    let probed = report.how != ReportSource::Probe || site.allow.probes;
    checks.require(&format!("{path}.report.how"), probed, "no reports by probes if probes are not allowed");
    checks.require(
        &format!("{path}.conn.streams"),
        tier.conn.streams == 1,
        "1 request per connection at a time",
    );
    let timeout = f64::from(tier.conn.connect_timeout_ms);
    let round_trip = 2.0 * site.net.cross_ms.high;
    let reachable = timeout > tier.conn.handshake_rtts.high * round_trip;
    checks.require(
        &format!("{path}.conn.connect_timeout_ms"),
        reachable,
        "more than the duration of a handshake across zones",
    );
    checks.positive(&format!("{path}.conn.cap_per_core"), tier.conn.cap_per_core);
    let count = (1..=MAX_KINDS).contains(&tier.kinds.len());
    checks.require(&format!("{path}.kind"), count, "one to three kinds");
    for (index, kind) in tier.kinds.iter().enumerate() {
        check_kind(checks, &format!("{path}.kind.{index}"), kind);
    }
}

fn check_kind(checks: &mut Checks, path: &str, kind: &Kind) {
    checks.require(&format!("{path}.cores"), (1..=MAX_CORES).contains(&kind.cores), "1 to 16 cores");
    checks.positive(&format!("{path}.share"), kind.share);
    checks.positive(&format!("{path}.speed"), kind.speed);
    checks.positive(&format!("{path}.slots_per_core"), kind.slots_per_core);
    checks.positive(&format!("{path}.cold_s"), kind.cold_s);
    checks.share(&format!("{path}.cold_from"), kind.cold_from);
    checks.share(&format!("{path}.error_rate"), kind.error_rate);
}

fn check_class(checks: &mut Checks, path: &str, class: &Class) {
    checks.positive(&format!("{path}.share"), class.share);
    checks.positive(&format!("{path}.work_ms"), class.work_ms);
    checks.ordered(&format!("{path}.io_ms"), class.io_ms);
    let feasible = f64::from(class.aim_ms) > class.work_ms.high + class.io_ms.high;
    checks.require(
        &format!("{path}.aim_ms"),
        feasible,
        "more than the mean work plus the time without a core",
    );
    let later = class.deadline_ms >= class.aim_ms;
    checks.require(&format!("{path}.deadline_ms"), later, "a value not below the aim");
    let keyed = class.effect == Effect::Keyed;
    let keys = class.group.is_some() == keyed && class.window_ms.is_some() == keyed;
    checks.require(&format!("{path}.effect"), keys, "group and window for a keyed class and for no other");
}

fn check_tenants(checks: &mut Checks, site: &Site) {
    checks.require("tenant", site.tenants.len() <= MAX_TENANTS, "at most five tenants");
    let sum: f64 = site.tenants.iter().map(|tenant| tenant.share).sum();
    let whole = site.tenants.is_empty() || (sum - 1.0).abs() < SUM_TOLERANCE;
    checks.require("tenant", whole, "shares that add up to 1");
    let judged = !site.tenants.is_empty() || site.goal.worst_tenant == 0.0;
    checks.require("goal.worst_tenant", judged, "0 without tenants");
}

fn all_different(names: &[String]) -> bool {
    names.iter().enumerate().all(|(index, name)| !names[..index].contains(name))
}
