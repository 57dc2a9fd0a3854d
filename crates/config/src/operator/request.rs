//! How a request is read, and what an answer means.

use super::names::Index;
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::schema::{Kind, MAX_PATH_PART, PLACE, PROOF};
use crate::section::Section;
use crate::values;
use shaletide_balancer::ClassId;
use shaletide_routing::{
    AttributeSource, ErrorResponses, NotExecutedProof, RequestFormat, ResponseRules, StatusSet,
};
use toml::de::{DeTable, DeValue};

/// The whole form of a request.
pub(super) fn form(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, classes: &Index,
) -> RequestFormat {
    let otherwise = section.name(diagnostics, "otherwise");
    let otherwise = otherwise.value.zip(otherwise.at);
    let otherwise =
        otherwise.and_then(|(name, at)| classes.find(diagnostics, "request.otherwise", &name, at));
    let stand_in = || AttributeSource::Path(1);
    RequestFormat {
        class: place(diagnostics, section, "class").unwrap_or_else(stand_in),
        default_class: otherwise.map(ClassId),
        tenant: place(diagnostics, section, "tenant"),
        key: place(diagnostics, section, "key").unwrap_or_else(stand_in),
        deduplication_group: place(diagnostics, section, "bay"),
        zone: place(diagnostics, section, "zone"),
        id: section.read(diagnostics, "id", values::header).or(String::new()),
        id_required: section.flag(diagnostics, "id_required").or(false),
        time_left: section.read(diagnostics, "time_left", values::header).or(String::new()),
    }
}

/// A place in a request, or the schema's default for it.
pub(super) fn place(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, key: &str,
) -> Option<AttributeSource> {
    let Some((value, at)) = section.raw(key) else {
        return section.read(diagnostics, key, default_place).value;
    };
    let DeValue::Table(table) = value else {
        section.push_invalid(diagnostics, key, at, &format!("{} does not fit here", values::describe(value)));
        return None;
    };
    let place = Section::open_at(diagnostics, &PLACE, section.path(key), table, at.clone());
    let (path, header) = (place.raw("path").is_some(), place.raw("header").is_some());
    match (path, header) {
        (true, false) => place.count(diagnostics, "path").value.map(|n| AttributeSource::Path(n as usize)),
        (false, true) => place.read(diagnostics, "header", values::header).value.map(AttributeSource::Header),
        (true, true) => {
            section.push_invalid(diagnostics, key, at, "it says two places");
            None
        }
        (false, false) => {
            // An unknown key in it has been put down already.
            if table.is_empty() {
                section.push_invalid(diagnostics, key, at, "it says no place");
            }
            None
        }
    }
}

/// A place in the plain form that the schema's defaults have.
fn default_place(_: &crate::schema::Kind, value: &DeValue<'_>) -> values::Found<AttributeSource> {
    let table: Option<&DeTable<'_>> = value.as_table();
    let get = |key: &str| table.and_then(|t| t.get(key)).map(|v| v.get_ref());
    match (get("path"), get("header")) {
        (Some(part), None) => {
            values::count(&Kind::Count(1, MAX_PATH_PART), part).map(|n| AttributeSource::Path(n as usize))
        }
        (None, Some(name)) => values::header(&crate::schema::Kind::Header, name).map(AttributeSource::Header),
        _ => Err("no place".into()),
    }
}

/// What an answer means. A key that is absent is as in `base`.
pub(super) fn answers(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, base: &ResponseRules,
) -> ResponseRules {
    let mut answers = base.clone();
    if section.raw("served").is_some() {
        let listed = section.listed(diagnostics, "served", values::statuses);
        answers.served = StatusSet::none();
        for ((first, last), at) in &listed.items {
            answers.served.add(*first, *last);
            // Whoever gets one comes again, and takes it that this does no harm.
            if let Some(status) = [429, 503].into_iter().find(|status| (first..=last).contains(&status)) {
                let what = format!(
                    "{}: {status} tells a client that coming again does no harm",
                    section.path("served")
                );
                let expected = "expected it under never_ran, with the header that proves it, or not at all";
                diagnostics.push(Diagnostic::at(at.clone(), what, expected));
            }
        }
    }
    if section.raw("never_ran").is_some() {
        let (tables, _) = section.tables(diagnostics, "never_ran", &PROOF);
        answers.not_executed = tables.iter().filter_map(|table| proof(diagnostics, table)).collect();
    }
    if section.raw("errors").is_some() {
        answers.error_responses = match section.word(diagnostics, "errors").value {
            Some("own_words") => ErrorResponses::Replace,
            _ => ErrorResponses::Forward,
        };
    }
    answers
}

fn proof(diagnostics: &mut Diagnostics<'_>, table: &Section<'_, '_>) -> Option<NotExecutedProof> {
    let status = table.count(diagnostics, "status");
    let header = table.read(diagnostics, "header", values::header);
    let value = table.read(diagnostics, "value", values::header_value);
    let status = u16::try_from(status.value?).ok()?;
    (!value.is_wrong()).then_some(NotExecutedProof { status, header: header.value?, value: value.value })
}
