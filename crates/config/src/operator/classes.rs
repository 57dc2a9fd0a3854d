//! Classes and tenants.

use super::names::Index;
use super::record::{self, Record};
use super::types::ClassDef;
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::File;
use crate::section::Section;
use crate::values;
use shaletide_balancer::{Class, DeduplicationScope, Idempotency, Micros, Tenant};

/// Classes that a file may name: each has state of its own at every backend.
const MAX_CLASSES: usize = 64;
/// Tenants that a file may name: each has a token bucket.
const MAX_TENANTS: usize = 10_000;

/// The classes as the daemon and as the decision module want them, and their names.
pub(super) struct Classes {
    pub defs: Vec<ClassDef>,
    pub rules: Vec<Class>,
    pub names: Index,
}

pub(super) fn classes(diagnostics: &mut Diagnostics<'_>, file: &File<'_, '_>, record: &Record) -> Classes {
    let (sections, all) = file.list(diagnostics, "class", MAX_CLASSES);
    let names = Index::read(diagnostics, "class", &sections, all);
    let (mut defs, mut rules) = (Vec::new(), Vec::new());
    for (section, name) in sections.iter().zip(names.in_order()) {
        let (class, methods, deadline) = class(diagnostics, section);
        let recording = record::recording(diagnostics, section, record, class.idempotency);
        let def = ClassDef { name: name.to_string(), methods, deadline, record: recording };
        record.check_wait(diagnostics, section, &def);
        defs.push(def);
        rules.push(class);
    }
    Classes { defs, rules, names }
}

fn class(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>) -> (Class, Vec<String>, Micros) {
    let word = section.word(diagnostics, "effect");
    let effect = effect(diagnostics, section, word.value);
    let listed = section.listed(diagnostics, "methods", values::method);
    let methods: Vec<String> = match (listed.at, effect) {
        (Some(_), _) => listed.items.into_iter().map(|(m, _)| m).collect(),
        (None, Idempotency::Safe) => ["GET", "HEAD"].map(String::from).into(),
        (None, _) => ["POST", "PUT", "PATCH", "DELETE"].map(String::from).into(),
    };
    let (aim, deadline) = (section.span(diagnostics, "aim"), section.span(diagnostics, "deadline"));
    if let (Some(soon), Some(late)) = (aim.value, deadline.value) {
        if soon > late {
            let at = aim.at.clone().or(deadline.at.clone()).unwrap_or(section.at.clone());
            let late = crate::schema::span(late.0);
            let diagnostic = Diagnostic::at(at.clone(), "class.aim: it is over the deadline", {
                format!("expected an aim of at most {late}")
            });
            let other = deadline.at.clone().filter(|other| *other != at);
            let diagnostic = match other {
                Some(other) => diagnostic.with_related(other, "the deadline"),
                None if aim.at.is_none() => {
                    diagnostic.with_help(format!("without `aim` it is {}", crate::schema::span(soon.0)))
                }
                None => diagnostic.with_help(format!("without `deadline` it is {late}")),
            };
            diagnostics.push(diagnostic);
        }
    }
    let number = |diagnostics: &mut Diagnostics<'_>, key| section.number(diagnostics, key).or(0.0);
    let class = Class {
        latency_objective: aim.or(Micros(1)),
        latency_objective_per_work_hint: number(diagnostics, "aim_stretch"),
        idempotency: effect,
        priority_weight: number(diagnostics, "worth"),
        late_weight_fraction: number(diagnostics, "late_worth"),
    };
    (class, methods, deadline.or(Micros(1)))
}

/// What a second run does; `key_scope` and `key_window` stand where the class is keyed, and only there.
fn effect(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, word: Option<&str>) -> Idempotency {
    let (scope, window) = (section.word(diagnostics, "key_scope"), section.span(diagnostics, "key_window"));
    let keys = [("key_scope", &scope.at), ("key_window", &window.at)];
    if word == Some("keyed") {
        keys.iter()
            .filter(|(_, at)| at.is_none())
            .for_each(|(key, _)| section.push_missing(diagnostics, key));
    } else if let Some(word) = word {
        for (key, at) in keys.into_iter().filter_map(|(key, at)| Some((key, at.clone()?))) {
            let what = format!("class.{key}: the class is not keyed but {word}");
            let diagnostic = Diagnostic::at(at, what, "expected in classes of effect = \"keyed\" only");
            let other = section.raw("effect").map(|(_, at)| at);
            // A misspelt key's neighbour may have been lost to a syntax error in the same table.
            diagnostics.push_missing(
                &section.at,
                match other {
                    Some(other) => diagnostic.with_related(other, "its effect"),
                    None => diagnostic.with_help("without `effect` a class is safe"),
                },
            );
        }
    }
    let scope = match scope.value {
        Some("zone") => DeduplicationScope::Zone,
        Some("bay") => DeduplicationScope::Group,
        _ => DeduplicationScope::All,
    };
    match word {
        Some("keyed") => Idempotency::Keyed(scope, window.or(Micros(0))),
        Some("unsafe") => Idempotency::NonIdempotent,
        _ => Idempotency::Safe,
    }
}

/// The tenants and their names.
pub(super) fn tenants(diagnostics: &mut Diagnostics<'_>, file: &File<'_, '_>) -> (Vec<Tenant>, Index) {
    let (sections, all) = file.list(diagnostics, "tenant", MAX_TENANTS);
    let names = Index::read(diagnostics, "tenant", &sections, all);
    let tenants =
        sections.iter().map(|s| Tenant { quota_per_s: s.number(diagnostics, "quota").or(0.0) }).collect();
    (tenants, names)
}
