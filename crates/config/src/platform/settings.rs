//! Turns the settings into the balancer's configuration.

use super::error::SettingsError;
use super::names::{number, Names};
use super::setting::Setting;
use super::wire_names::{class, limits, objective, rules, settings, tenant, word};
use serde_json::Value;
use shaletide_balancer::{
    Class, Config, DeduplicationScope, DiscoveryMode, Idempotency, Micros, Tenant, ZoneId,
};

/// Reads the settings; unknown keys are skipped.
///
/// # Errors
///
/// Returns the path of the first key that is missing, has the wrong type or is out of range. The ranges are those of
/// [`Config::validate`], which therefore accepts the result.
pub fn read(settings: &Value) -> Result<(Config, Names), SettingsError> {
    let root = Setting::root(settings);
    let mut names = Names::default();
    for zone in root.get(settings::ZONES).list()? {
        number(&mut names.zones, zone.text()?);
    }
    for server_type in root.get(settings::SERVER_TYPES).optional_list()? {
        number(&mut names.server_types, server_type.text()?);
    }
    let zone = own_zone(&root, &names)?;
    let classes = read_classes(&root, &mut names)?;
    let tenants = read_tenants(&root, &mut names)?;
    let rules = root.get(settings::RULES);
    let discovery = discovery_mode(&root, &rules)?;
    let weight_source = root.get(settings::WEIGHT_SOURCE).as_text();
    let proxies = root.get(settings::PROXIES).positive_count()?;
    let position = root.get(settings::POSITION);
    let position = position.require_range(
        position.count()?,
        |position| position < proxies,
        "a whole number less than group_size",
    )?;
    let goal = root.get(settings::OBJECTIVE);
    let limits = root.get(settings::LIMITS);
    let config = Config {
        proxies,
        position,
        zone,
        classes,
        tenants,
        over_quota_weight_fraction: root.get(settings::OVER_QUOTA_WEIGHT_FRACTION).fraction()?,
        total_objective_weight: goal.get(objective::TOTAL_WEIGHT).fraction()?,
        worst_class_objective_weight: goal.get(objective::WORST_CLASS_WEIGHT).fraction()?,
        cross_zone_cost: root.get(settings::COSTS).get(objective::CROSS_ZONE_COST).non_negative()?,
        discovery,
        weights_report_load: weight_source == Some(word::WEIGHTS_ARE_LOAD),
        weights_report_cores: weight_source.is_some_and(weights_report_cores),
        max_attempts: limits.get(limits::MAX_ATTEMPTS).positive_count()?,
        may_cancel_attempts: limits.get(limits::MAY_CANCEL_ATTEMPTS).flag()?,
        hedging: limits.get(limits::HEDGING).flag()?,
        min_timer_interval: root.get(settings::MIN_TIMER_INTERVAL).positive_micros()?,
        initial_capacity_fraction: rules.get(rules::INITIAL_CAPACITY_FRACTION).fraction()?,
        slow_start_window: rules.get(rules::SLOW_START_WINDOW).micros()?,
        timer_lateness: Micros(0), // set by the daemon from its driver
        has_failover_pool: false,
        only_deduplication_domain: Some(0),
        overload_multiple: rules.get(rules::OVERLOAD_MULTIPLE).positive()?,
        overload_window: rules.get(rules::OVERLOAD_WINDOW).micros()?,
    };
    Ok((config, names))
}

fn own_zone(root: &Setting<'_>, names: &Names) -> Result<ZoneId, SettingsError> {
    let own = root.get(settings::ZONE);
    let number = own.as_text().and_then(|own| names.zones.iter().position(|zone| zone == own));
    Ok(ZoneId(own.require(number, "one of zones")? as u32))
}

fn discovery_mode(root: &Setting<'_>, rules: &Setting<'_>) -> Result<DiscoveryMode, SettingsError> {
    let mode = root.get(settings::DISCOVERY_MODE);
    match mode.text()? {
        word::DISCOVERY_PUSH => Ok(DiscoveryMode::Push),
        word::DISCOVERY_SUBSCRIBE => {
            Ok(DiscoveryMode::Subscribe(rules.get(rules::MAX_POLL_INTERVAL).micros()?))
        }
        _ => Err(mode.unexpected("automatic or subscribe")),
    }
}

/// Returns whether weights in endpoint lists stand for cores: the exact number, an estimate, or the cores left over by load.
fn weights_report_cores(source: &str) -> bool {
    [word::WEIGHTS_ARE_CORES, word::WEIGHTS_ARE_ROUGH_CORES, word::WEIGHTS_ARE_LOAD].contains(&source)
}

fn read_tenants(root: &Setting<'_>, names: &mut Names) -> Result<Vec<Tenant>, SettingsError> {
    let mut tenants = Vec::new();
    for tenant in root.get(settings::TENANTS).optional_list()? {
        names.tenants.push(tenant.get(tenant::NAME).text()?.into());
        tenants.push(Tenant { quota_per_s: tenant.get(tenant::QUOTA_PER_S).finite_non_negative()? });
    }
    Ok(tenants)
}

fn read_classes(root: &Setting<'_>, names: &mut Names) -> Result<Vec<Class>, SettingsError> {
    let list = root.get(settings::CLASSES);
    let mut classes = Vec::new();
    for class in list.list()? {
        classes.push(read_class(&class, names)?);
    }
    if classes.is_empty() {
        return Err(list.unexpected("at least one class"));
    }
    Ok(classes)
}

/// Reads a class and appends its name.
fn read_class(class: &Setting<'_>, names: &mut Names) -> Result<Class, SettingsError> {
    let name = class.get(class::NAME);
    if name.as_text().is_some_and(|name| names.class(name).is_some()) {
        return Err(SettingsError::DuplicateName { path: name.path().into() });
    }
    names.classes.push(name.text()?.into());
    let per_work_hint = class.get(class::LATENCY_OBJECTIVE_PER_WORK_HINT);
    let objective = class.get(class::LATENCY_OBJECTIVE);
    let idempotency = read_idempotency(class)?;
    if objective.micros()? > class.get(class::DEADLINE).micros()? {
        let path = objective.path().into();
        return Err(SettingsError::ObjectiveAboveDeadline { path, deadline_key: class::DEADLINE });
    }
    Ok(Class {
        latency_objective: objective.positive_micros()?,
        latency_objective_per_work_hint: if per_work_hint.is_present() {
            per_work_hint.non_negative()?
        } else {
            0.0
        },
        idempotency,
        priority_weight: class.get(class::PRIORITY_WEIGHT).finite_non_negative()?,
        late_weight_fraction: class.get(class::LATE_WEIGHT_FRACTION).fraction()?,
    })
}

fn read_idempotency(class: &Setting<'_>) -> Result<Idempotency, SettingsError> {
    let idempotency = class.get(class::IDEMPOTENCY);
    match idempotency.text()? {
        word::IDEMPOTENCY_SAFE => Ok(Idempotency::Safe),
        word::IDEMPOTENCY_KEYED => {
            let scope = read_scope(&class.get(class::DEDUPLICATION_SCOPE))?;
            Ok(Idempotency::Keyed(scope, class.get(class::DEDUPLICATION_WINDOW).micros()?))
        }
        word::IDEMPOTENCY_NON_IDEMPOTENT => Ok(Idempotency::NonIdempotent),
        _ => Err(idempotency.unexpected("free, guarded or single_shot")),
    }
}

fn read_scope(scope: &Setting<'_>) -> Result<DeduplicationScope, SettingsError> {
    match scope.text()? {
        word::SCOPE_ALL => Ok(DeduplicationScope::All),
        word::SCOPE_ZONE => Ok(DeduplicationScope::Zone),
        word::SCOPE_GROUP => Ok(DeduplicationScope::Group),
        _ => Err(scope.unexpected("all, zone or cell")),
    }
}

/// Returns the deadline of each class in order.
pub(super) fn deadlines(root: &Setting<'_>) -> Result<Vec<Micros>, SettingsError> {
    let classes = root.get(settings::CLASSES).list()?;
    classes.iter().map(|class| class.get(class::DEADLINE).micros()).collect()
}
