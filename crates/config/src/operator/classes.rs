//! Reads the classes and the tenants.

use super::names::NameIndex;
use super::record::{self, RecordContext};
use super::types::ClassConfig;
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::Document;
use crate::schema::duration_text;
use crate::section::{Field, Section};
use crate::values;
use shaletide_balancer::{Class, DeduplicationScope, Idempotency, Micros, Tenant};

/// Maximum number of classes in a file; each has its own state for every backend.
const MAX_CLASSES: usize = 64;
/// Maximum number of tenants in a file; each has a token bucket.
const MAX_TENANTS: usize = 10_000;

/// The classes for the daemon, the classes for the balancer, and their names, all in the same order.
pub(super) struct Classes {
    pub configs: Vec<ClassConfig>,
    pub balancer_classes: Vec<Class>,
    pub names: NameIndex,
}

/// The values of one class that do not depend on the store of record.
struct ClassSection {
    class: Class,
    methods: Vec<String>,
    deadline: Micros,
}

pub(super) fn classes(
    diagnostics: &mut Diagnostics<'_>, document: &Document<'_, '_>, record: &RecordContext,
) -> Classes {
    let sections = document.list(diagnostics, "class", MAX_CLASSES);
    let names = NameIndex::of_sections(diagnostics, "class", &sections);
    let mut configs = Vec::new();
    let mut balancer_classes = Vec::new();
    for (section, name) in sections.items.iter().zip(names.in_order()) {
        let ClassSection { class, methods, deadline } = read_class(diagnostics, section);
        let record_mode = record::record_mode(diagnostics, section, record, class.idempotency);
        let config = ClassConfig { name: name.to_string(), methods, deadline, record: record_mode };
        record.check_intent_timeout(diagnostics, section, &config);
        configs.push(config);
        balancer_classes.push(class);
    }
    Classes { configs, balancer_classes, names }
}

fn read_class(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>) -> ClassSection {
    let effect = section.choice(diagnostics, "effect");
    let idempotency = read_idempotency(diagnostics, section, effect.value);
    let listed = section.distinct_items(diagnostics, "methods", values::method);
    let methods = match (&listed.span, idempotency) {
        (Some(_), _) => listed.into_values(),
        (None, Idempotency::Safe) => ["GET", "HEAD"].map(String::from).into(),
        (None, _) => ["POST", "PUT", "PATCH", "DELETE"].map(String::from).into(),
    };
    let objective = section.duration(diagnostics, "aim");
    let deadline = section.duration(diagnostics, "deadline");
    check_objective(diagnostics, section, &objective, &deadline);
    let class = Class {
        latency_objective: objective.or_placeholder(Micros(1)),
        latency_objective_per_work_hint: section.number(diagnostics, "aim_stretch").or_placeholder(0.0),
        idempotency,
        priority_weight: section.number(diagnostics, "worth").or_placeholder(0.0),
        late_weight_fraction: section.number(diagnostics, "late_worth").or_placeholder(0.0),
    };
    ClassSection { class, methods, deadline: deadline.or_placeholder(Micros(1)) }
}

/// Reports a latency objective above the deadline.
fn check_objective(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, objective: &Field<Micros>,
    deadline: &Field<Micros>,
) {
    let (Some(objective_time), Some(deadline_time)) = (objective.value, deadline.value) else { return };
    if objective_time <= deadline_time {
        return;
    }
    let span = objective.span.clone().or(deadline.span.clone()).unwrap_or(section.span.clone());
    let limit = duration_text(deadline_time.0);
    let expected = format!("expected an aim of at most {limit}");
    let diagnostic = Diagnostic::at(span.clone(), "class.aim: the aim is above the deadline", expected);
    let deadline_span = deadline.span.clone().filter(|other| *other != span);
    diagnostics.push(match deadline_span {
        Some(deadline_span) => diagnostic.with_related(deadline_span, "the deadline"),
        None if objective.span.is_none() => {
            diagnostic.with_help(format!("`aim` defaults to {}", duration_text(objective_time.0)))
        }
        None => diagnostic.with_help(format!("`deadline` defaults to {limit}")),
    });
}

/// Reads the idempotency of a class. `key_scope` and `key_window` are required for a keyed class and not allowed otherwise.
fn read_idempotency(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, effect: Option<&str>,
) -> Idempotency {
    let scope = section.choice(diagnostics, "key_scope");
    let window = section.duration(diagnostics, "key_window");
    let keyed_only = [("key_scope", scope.span.clone()), ("key_window", window.span.clone())];
    for (key, span) in keyed_only {
        match (effect, span) {
            (Some("keyed"), None) => section.push_missing(diagnostics, key),
            (Some("keyed"), Some(_)) | (Some(_), None) | (None, _) => {}
            (Some(other), Some(span)) => {
                let message = format!("class.{key}: the class is not keyed but {other}");
                let expected = "expected only in a class with effect = \"keyed\"";
                let diagnostic = Diagnostic::at(span, message, expected);
                let diagnostic = match section.span_of("effect") {
                    Some(effect) => diagnostic.with_related(effect, "the effect"),
                    None => diagnostic.with_help("`effect` defaults to \"safe\""),
                };
                // A syntax error in the same table may hide `effect` itself.
                diagnostics.push_missing(&section.span, diagnostic);
            }
        }
    }
    match effect {
        Some("keyed") => {
            Idempotency::Keyed(deduplication_scope(scope.value), window.or_placeholder(Micros(0)))
        }
        Some("unsafe") => Idempotency::NonIdempotent,
        _ => Idempotency::Safe,
    }
}

fn deduplication_scope(word: Option<&str>) -> DeduplicationScope {
    match word {
        Some("zone") => DeduplicationScope::Zone,
        Some("bay") => DeduplicationScope::Group,
        _ => DeduplicationScope::All,
    }
}

/// The tenants and their names, in the same order.
pub(super) struct Tenants {
    pub balancer_tenants: Vec<Tenant>,
    pub names: NameIndex,
}

pub(super) fn tenants(diagnostics: &mut Diagnostics<'_>, document: &Document<'_, '_>) -> Tenants {
    let sections = document.list(diagnostics, "tenant", MAX_TENANTS);
    let names = NameIndex::of_sections(diagnostics, "tenant", &sections);
    let mut balancer_tenants = Vec::new();
    for section in &sections.items {
        let quota_per_s = section.number(diagnostics, "quota").or_placeholder(0.0);
        balancer_tenants.push(Tenant { quota_per_s });
    }
    Tenants { balancer_tenants, names }
}
