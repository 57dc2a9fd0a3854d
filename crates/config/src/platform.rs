//! The settings of an instance to the module's configuration, and the names that go with it: shared by
//! the proxy and the simulator's adapter.

use serde_json::Value;
use shaletide_balancer::*;

/// Names in the order of their numbers. Places and kinds met first in a list are numbered then.
#[derive(Clone, Debug, Default)]
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
    tenants: Vec<String>,
}

/// An entry of a backend list under its plain names; each proxy has numbers of its own for these.
#[derive(Clone, Debug)]
pub struct Row {
    /// Where it listens.
    pub address: String,
    zone: String,
    kind: String,
    entry: BackendEntry,
}

impl Row {
    /// `same` is what every proxy calls the backend: the order that they share is drawn from it.
    pub fn new(same: &str, address: &str, zone: &str, kind: &str, entry: BackendEntry) -> Row {
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3); // FNV-1a
        let mark = same.bytes().fold(0xcbf2_9ce4_8422_2325, fold) >> 20;
        let entry = BackendEntry { stable_hash: mark, ..entry };
        Row { address: address.into(), zone: zone.into(), kind: kind.into(), entry }
    }
}

fn number(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    });
    at as u32
}

impl Names {
    /// The zones in the order of their numbers.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The kinds in the order of their numbers.
    pub fn kinds(&self) -> &[String] {
        &self.kinds
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|n| n == name).map(ClassId)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|n| n == name).map(TenantId)
    }

    /// All classes, in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// All tenants, in the order of their numbers.
    pub fn tenants(&self) -> &[String] {
        &self.tenants
    }

    /// The row as this instance numbers it.
    pub fn entry(&mut self, row: &Row, id: BackendId) -> BackendEntry {
        let zone = ZoneId(number(&mut self.zones, &row.zone));
        let kind = ServerTypeId(number(&mut self.kinds, &row.kind));
        BackendEntry { id, zone, server_type: kind, ..row.entry.clone() }
    }
}

/// Up to here a float tells whole numbers apart.
const MOST_WHOLE: f64 = 9_007_199_254_740_992.0;

/// A value inside the settings, with the path that led to it.
struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Key<'a> {
    fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) };
        // On the platform null says that there is no value.
        Key { path, value: self.value.and_then(|v| v.get(name)).filter(|v| !v.is_null()) }
    }
    fn want<T>(&self, got: Option<T>, what: &str) -> Result<T, String> {
        got.ok_or_else(|| match self.value {
            Some(v) => format!("{}: expected {what}, got {v}", self.path),
            None => format!("{}: missing, expected {what}", self.path),
        })
    }
    fn text(&self) -> Result<&'a str, String> {
        self.want(self.value.and_then(Value::as_str), "text")
    }
    fn flag(&self) -> Result<bool, String> {
        self.want(self.value.and_then(Value::as_bool), "true or false")
    }
    fn real(&self) -> Result<f64, String> {
        self.want(self.value.and_then(Value::as_f64), "a number")
    }
    /// A whole number of at least 0; JSON does not tell 5 from 5.0.
    fn whole(&self) -> Option<u64> {
        let value = self.value?;
        let real = || value.as_f64().filter(|x| x.fract() == 0.0 && (0.0..=MOST_WHOLE).contains(x));
        value.as_u64().or_else(|| real().map(|x| x as u64))
    }
    fn micros(&self) -> Result<Micros, String> {
        self.want(self.whole(), "whole microseconds").map(Micros)
    }
    fn count(&self) -> Result<u32, String> {
        self.want(self.whole().and_then(|n| u32::try_from(n).ok()), "a whole number")
    }
    /// A number from 0 to 1.
    fn part(&self) -> Result<f64, String> {
        self.ranged(self.real()?, |x| (0.0..=1.0).contains(&x), "a part from 0 to 1")
    }
    /// A finite number above 0.
    fn positive(&self) -> Result<f64, String> {
        self.ranged(self.real()?, |x| x > 0.0 && x.is_finite(), "a finite number above 0")
    }
    /// A number that is at least 0.
    fn at_least_zero(&self) -> Result<f64, String> {
        self.ranged(self.real()?, |x| x >= 0.0, "a number of at least 0")
    }
    /// A finite number that is at least 0.
    fn amount(&self) -> Result<f64, String> {
        self.ranged(self.real()?, |x| x >= 0.0 && x.is_finite(), "a finite number of at least 0")
    }
    /// A time that is not 0.
    fn some_micros(&self) -> Result<Micros, String> {
        self.ranged(self.micros()?, |t| t.0 > 0, "whole microseconds, at least 1")
    }
    /// A whole number that is not 0.
    fn some_count(&self) -> Result<u32, String> {
        self.ranged(self.count()?, |n| n > 0, "a whole number, at least 1")
    }
    fn ranged<T: Copy>(&self, got: T, fits: impl Fn(T) -> bool, what: &str) -> Result<T, String> {
        self.want(Some(got).filter(|got| fits(*got)), what)
    }
    /// The items of a list that need not be there.
    fn items(&self) -> Result<Vec<Key<'a>>, String> {
        self.value.map_or(Ok(Vec::new()), |_| self.list())
    }
    fn list(&self) -> Result<Vec<Key<'a>>, String> {
        let items = self.want(self.value.and_then(Value::as_array), "an array")?;
        let item = |(i, v)| Key { path: format!("{}[{i}]", self.path), value: Some(v) };
        Ok(items.iter().enumerate().map(item).collect())
    }
}

/// Reads the settings; unknown keys are skipped.
///
/// # Errors
///
/// The first key that is missing, of the wrong type or out of its range, by its path in the settings. The
/// ranges are those of [`Config::validate`], which therefore finds nothing in what comes out.
pub fn read(settings: &Value) -> Result<(Config, Names), String> {
    let root = Key { path: String::new(), value: Some(settings) };
    let mut names = Names::default();
    for zone in root.get("zones").list()? {
        number(&mut names.zones, zone.text()?);
    }
    for kind in root.get("kinds").items()? {
        number(&mut names.kinds, kind.text()?);
    }
    let my_zone = root.get("my_zone");
    let zone = names.zones.iter().position(|z| my_zone.text().is_ok_and(|m| m == z));
    let zone = ZoneId(my_zone.want(zone, "one of zones")? as u32);
    let profiles = root.get("profiles");
    let mut classes = Vec::new();
    for profile in profiles.list()? {
        classes.push(class(&profile, &mut names)?);
    }
    if classes.is_empty() {
        return profiles.want(None, "at least one class");
    }
    let mut tenants = Vec::new();
    for tenant in root.get("customers").items()? {
        names.tenants.push(tenant.get("name").text()?.into());
        tenants.push(Tenant { quota_per_s: tenant.get("quota_rps").amount()? });
    }
    let (limits, rules, goal) = (root.get("limits"), root.get("rules"), root.get("blend"));
    let discovery = match root.get("discovery").text()? {
        "automatic" => DiscoveryMode::Push,
        "subscribe" => DiscoveryMode::Subscribe(rules.get("must_ask_in_us").micros()?),
        _ => return root.get("discovery").want(None, "automatic or subscribe"),
    };
    let weights = root.get("weight_source").value.and_then(Value::as_str);
    let (proxies, position) = (root.get("group_size").some_count()?, root.get("position"));
    let config = Config {
        proxies,
        position: position.ranged(
            position.count()?,
            |p| p < proxies,
            "a whole number less than group_size",
        )?,
        zone,
        classes,
        tenants,
        over_quota_weight_fraction: root.get("over_share_worth").part()?,
        total_objective_weight: goal.get("whole").part()?,
        worst_class_objective_weight: goal.get("worst_class").part()?,
        cross_zone_cost: root.get("costs").get("cross_zone").at_least_zero()?,
        discovery,
        weights_report_load: weights == Some("live"),
        weights_report_cores: weights.is_some_and(|weights| ["nominal", "rough", "live"].contains(&weights)),
        max_attempts: limits.get("max_attempts").some_count()?,
        may_cancel_attempts: limits.get("cancel").flag()?,
        hedging: limits.get("parallel_tries").flag()?,
        min_timer_interval: root.get("granularity_us").some_micros()?,
        initial_capacity_fraction: rules.get("cold_from").part()?,
        slow_start_window: rules.get("ramp_time_us").micros()?,
        has_failover_pool: false,
        only_deduplication_domain: Some(0),
        overload_multiple: rules.get("fall_multiple").positive()?,
        overload_window: rules.get("tip_after_us").micros()?,
    };
    Ok((config, names))
}

/// Reads a class and puts its name behind the others.
fn class(profile: &Key<'_>, names: &mut Names) -> Result<Class, String> {
    let name = profile.get("name");
    if names.classes.iter().any(|n| name.text().is_ok_and(|m| m == n)) {
        return Err(format!("{}: the name stands twice", name.path));
    }
    names.classes.push(name.text()?.into());
    let stretch = profile.get("aim_stretch");
    let (aim, deadline) = (profile.get("aim_us"), profile.get("deadline_us"));
    let effect = effect(profile)?;
    if aim.micros()? > deadline.micros()? {
        return Err(format!("{}: expected no more than deadline_us", aim.path));
    }
    Ok(Class {
        latency_objective: aim.some_micros()?,
        latency_objective_per_work_hint: if stretch.value.is_some() { stretch.at_least_zero()? } else { 0.0 },
        idempotency: effect,
        priority_weight: profile.get("gain").amount()?,
        late_weight_fraction: profile.get("late_worth").part()?,
    })
}

fn effect(profile: &Key<'_>) -> Result<Idempotency, String> {
    match profile.get("effect").text()? {
        "free" => Ok(Idempotency::Safe),
        "guarded" => {
            let scope = profile.get("key_scope");
            let scope = match scope.text()? {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Group,
                _ => return scope.want(None, "all, zone or cell"),
            };
            Ok(Idempotency::Keyed(scope, profile.get("window_us").micros()?))
        }
        "single_shot" => Ok(Idempotency::NonIdempotent),
        _ => profile.get("effect").want(None, "free, guarded or single_shot"),
    }
}

/// On the platform an answer is whole so soon after its first byte: its backends write small ones at once, and
/// what they spoil would hold its request to the deadline.
const PLATFORM_STALL: Micros = Micros(40_000);
/// A connection is closed when the head of a request, its first or its next, is not whole after this time.
const HEAD_TIMEOUT: Micros = Micros(2_100_000);
/// The body of a request is whole after this time: with the above under the 3 s that any client is owed.
const BODY_TIMEOUT: Micros = Micros(700_000);
/// A body may stall for so long.
const BODY_GRACE: Micros = Micros(500_000);
/// Where the settings do not say within what time nothing new may go to a backend that drains: what the operators' file
/// has for it then.
const DRAIN_GRACE: Micros = Micros(2_000_000);

/// A body that comes more slowly than so many bytes a second is not waited for.
const BODY_RATE: usize = 1 << 10;
/// Bytes that the bodies of all requests may hold together: a quarter of a process's 32 MB.
const HELD_BODIES: usize = 8 << 20;
/// The longest body of a request or an answer, in bytes.
const MAX_BODY: usize = 64 << 10;

/// What NODE_CONFIG says beside the settings, for [`operator`].
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: std::net::SocketAddr,
    /// Where discovery is.
    pub discovery: std::net::SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
}

/// The platform's configuration on the model of the operators' file: one pool, told by discovery, one route, and
/// the platform's own table of answers. The names come back for what the model leaves to the caller to number.
///
/// # Errors
///
/// The first key that is missing, of the wrong type or out of its range, by its path in the settings.
pub fn operator(node: Node, settings: &Value) -> Result<(crate::operator::Operator, Names), String> {
    use crate::operator::{ClassDef, Limits, Operator, PoolDef, ProxyDef, Recording, Source, PLATFORM_POOL};
    use shaletide_routing::{Match, RequestFormat, ResponseRules, Route};
    let (config, names) = read(settings)?;
    let root = Key { path: String::new(), value: Some(settings) };
    let limits = root.get("limits");
    let grace = root.get("rules").get("stop_sending_within_us");
    let drain_grace = if grace.value.is_some() { grace.micros()? } else { DRAIN_GRACE };
    let (mut classes, profiles) = (Vec::new(), root.get("profiles").list()?);
    for ((profile, name), class) in profiles.iter().zip(&names.classes).zip(&config.classes) {
        let method = if class.idempotency == Idempotency::Safe { "GET" } else { "POST" };
        let deadline = profile.get("deadline_us").micros()?;
        classes.push(ClassDef {
            name: name.clone(),
            methods: vec![method.into()],
            deadline,
            record: Recording::None,
        });
    }
    let operator = Operator {
        proxy: ProxyDef {
            name: node.name,
            zone: names.zones.get(config.zone.0 as usize).cloned().unwrap_or_default(),
            proxies: config.proxies,
            position: config.position,
            seed: Some(node.seed),
        },
        listeners: vec![node.listen],
        limits: Limits {
            descriptors: node.sockets,
            connect_timeout: limits.get("dial_timeout_us").micros()?,
            idle_timeout: limits.get("conn_idle_us").micros()?,
            max_retry_after: limits.get("max_retry_after_us").micros()?,
            answer_stall: Some(PLATFORM_STALL),
            head_timeout: HEAD_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            body_rate: BODY_RATE,
            body_grace: BODY_GRACE,
            held_bodies: HELD_BODIES,
            max_body: MAX_BODY,
            drain_grace,
        },
        classes,
        tenants: names.tenants.clone(),
        form: RequestFormat::platform(),
        pools: vec![PoolDef {
            name: PLATFORM_POOL.into(),
            repeat_group: PLATFORM_POOL.into(),
            source: Source::Discovery { address: node.discovery, mode: config.discovery },
        }],
        routes: vec![Route {
            name: "default".into(),
            when: Match::default(),
            pools: vec![PoolId(0)],
            answers: ResponseRules::platform(),
        }],
        record: None,
        control: None,
        config,
    };
    Ok((operator, names))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn node() -> Node {
        let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
        Node { name: "n0".into(), listen: at(1), discovery: at(2), seed: 3, sockets: 256 }
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

    /// The settings with another value at that place.
    fn with(place: &str, value: Value) -> Value {
        let mut settings = settings();
        *settings.pointer_mut(place).unwrap() = value;
        settings
    }

    #[test]
    fn the_settings_are_read_and_unknown_keys_skipped() {
        let (config, names) = read(&settings()).unwrap();
        assert_eq!(config.validate(), Ok(()));
        assert_eq!(names.classes(), ["read", "pay"]);
        assert_eq!(names.tenants(), ["north"]);
        assert_eq!(config.classes[1].idempotency, Idempotency::Keyed(DeduplicationScope::Group, Micros(5)));
        let classes = operator(node(), &settings()).unwrap().0.classes;
        assert_eq!(classes.iter().map(|c| c.deadline).collect::<Vec<_>>(), [Micros(2), Micros(2)]);
    }

    #[test]
    fn what_is_out_of_range_is_named_as_the_platform_names_it() {
        let zero = || json!(0);
        let cases = [
            ("/group_size", zero(), "group_size: expected a whole number, at least 1, got 0"),
            ("/position", json!(1), "position: expected a whole number less than group_size, got 1"),
            ("/profiles", json!([]), "profiles: expected at least one class, got []"),
            (
                "/profiles/0/aim_us",
                zero(),
                "profiles[0].aim_us: expected whole microseconds, at least 1, got 0",
            ),
            ("/profiles/1/aim_us", json!(3), "profiles[1].aim_us: expected no more than deadline_us"),
            (
                "/profiles/1/aim_stretch",
                json!(-1),
                "profiles[1].aim_stretch: expected a number of at least 0, got -1",
            ),
            (
                "/profiles/0/gain",
                json!(-1),
                "profiles[0].gain: expected a finite number of at least 0, got -1",
            ),
            ("/profiles/0/gain", json!(null), "profiles[0].gain: missing, expected a number"),
            ("/profiles/0/aim_us", json!(1.5), "profiles[0].aim_us: expected whole microseconds, got 1.5"),
            (
                "/rules/ramp_time_us",
                json!(1e19),
                "rules.ramp_time_us: expected whole microseconds, got 1e+19",
            ),
            ("/position", json!(-1.0), "position: expected a whole number, got -1.0"),
            ("/customers", json!("none"), "customers: expected an array, got \"none\""),
            (
                "/profiles/1/late_worth",
                json!(1.5),
                "profiles[1].late_worth: expected a part from 0 to 1, got 1.5",
            ),
            ("/profiles/1/name", json!("read"), "profiles[1].name: the name stands twice"),
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
            ("/over_share_worth", json!(-0.1), "over_share_worth: expected a part from 0 to 1, got -0.1"),
            ("/blend/whole", json!(2), "blend.whole: expected a part from 0 to 1, got 2"),
            ("/blend/worst_class", json!(1.1), "blend.worst_class: expected a part from 0 to 1, got 1.1"),
            ("/costs/cross_zone", json!(-1), "costs.cross_zone: expected a number of at least 0, got -1"),
            (
                "/limits/max_attempts",
                zero(),
                "limits.max_attempts: expected a whole number, at least 1, got 0",
            ),
            ("/granularity_us", zero(), "granularity_us: expected whole microseconds, at least 1, got 0"),
            ("/rules/cold_from", json!(1.01), "rules.cold_from: expected a part from 0 to 1, got 1.01"),
            ("/rules/fall_multiple", zero(), "rules.fall_multiple: expected a finite number above 0, got 0"),
            (
                "/rules/must_ask_in_us",
                json!("9"),
                "rules.must_ask_in_us: expected whole microseconds, got \"9\"",
            ),
            ("/discovery", json!("push"), "discovery: expected automatic or subscribe, got \"push\""),
            ("/my_zone", json!("north"), "my_zone: expected one of zones, got \"north\""),
        ];
        for (place, value, message) in cases {
            assert_eq!(read(&with(place, value)).unwrap_err(), message);
        }
    }

    #[test]
    fn what_is_missing_is_named_with_what_was_expected() {
        let mut without = settings();
        without["blend"] = json!({});
        assert_eq!(read(&without).unwrap_err(), "blend.whole: missing, expected a number");
        let mut settings = settings();
        settings["limits"].as_object_mut().unwrap().remove("dial_timeout_us");
        let missing = "limits.dial_timeout_us: missing, expected whole microseconds";
        assert_eq!(operator(node(), &settings).unwrap_err(), missing);
    }

    /// JSON does not tell 5 from 5.0, and the platform writes null where there is no value.
    #[test]
    fn whole_floats_are_whole_numbers_and_null_is_no_value() {
        let (plain, _) = read(&settings()).unwrap();
        for (place, value) in [
            ("/granularity_us", json!(5000.0)),
            ("/group_size", json!(1.0)),
            ("/limits/max_attempts", json!(3.0)),
            ("/rules/ramp_time_us", json!(9.0)),
            ("/profiles/1/window_us", json!(5.0)),
        ] {
            assert_eq!(read(&with(place, value)).map(|r| r.0), Ok(plain.clone()), "{place}");
        }
        let (config, _) = read(&with("/profiles/1/aim_stretch", json!(null))).unwrap();
        assert_eq!(config.classes[1].latency_objective_per_work_hint, 0.0);
        let (operator, _) = operator(node(), &with("/limits/conn_idle_us", json!(2000.0))).unwrap();
        assert_eq!(operator.limits.idle_timeout, Micros(2000));
    }

    /// Some sites have no tenants, and nothing hangs on the kinds being named ahead.
    #[test]
    fn lists_that_need_not_be_there_are_empty_without_them() {
        for absent in [json!(null), json!([])] {
            for list in ["customers", "kinds"] {
                let mut without = settings();
                without[list] = absent.clone();
                let (config, names) = read(&without).unwrap();
                assert_eq!(config.tenants.len(), names.tenants().len());
                assert_eq!(
                    (names.tenants().len(), names.kinds().len()),
                    if list == "kinds" { (1, 0) } else { (0, 1) }
                );
            }
        }
        let mut without = settings();
        for list in ["customers", "kinds"] {
            without.as_object_mut().unwrap().remove(list);
        }
        let (config, names) = read(&without).unwrap();
        assert_eq!((config.tenants.len(), names.kinds().len()), (0, 0));
    }

    #[test]
    fn the_least_and_the_most_are_in_range() {
        for (place, value) in [
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
            let (config, _) = read(&with(place, value)).unwrap();
            assert_eq!(config.validate(), Ok(()));
        }
    }
}
