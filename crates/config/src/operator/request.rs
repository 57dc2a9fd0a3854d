//! Reads the format of requests and the rules for responses.

use super::names::NameIndex;
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::schema::{ValueKind, ATTRIBUTE_SOURCE, MAX_PATH_PART, NOT_EXECUTED_PROOF};
use crate::section::Section;
use crate::values;
use shaletide_balancer::ClassId;
use shaletide_routing::{
    AttributeSource, ErrorResponses, NotExecutedProof, RequestFormat, ResponseRules, StatusSet,
};
use toml::de::{DeTable, DeValue};

/// Replaces an invalid source; the file is then rejected.
const PLACEHOLDER: AttributeSource = AttributeSource::Path(1);

/// Statuses that tell a client that a retry does no harm.
const RETRYABLE_STATUSES: [u16; 2] = [429, 503];

/// Reads the request format.
pub(super) fn request_format(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, classes: &NameIndex,
) -> RequestFormat {
    let default_class = section.name(diagnostics, "otherwise");
    let default_class = match (default_class.value, default_class.span) {
        (Some(name), Some(span)) => classes.find(diagnostics, "request.otherwise", &name, span),
        _ => None,
    };
    RequestFormat {
        class: attribute_source(diagnostics, section, "class").unwrap_or(PLACEHOLDER),
        default_class: default_class.map(ClassId),
        tenant: attribute_source(diagnostics, section, "tenant"),
        key: attribute_source(diagnostics, section, "key").unwrap_or(PLACEHOLDER),
        deduplication_group: attribute_source(diagnostics, section, "bay"),
        zone: attribute_source(diagnostics, section, "zone"),
        id: section.read(diagnostics, "id", values::header).or_placeholder(String::new()),
        id_required: section.flag(diagnostics, "id_required").or_placeholder(false),
        time_left: section.read(diagnostics, "time_left", values::header).or_placeholder(String::new()),
    }
}

/// Reads where a request carries an attribute, or returns the schema's default.
pub(super) fn attribute_source(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, key: &str,
) -> Option<AttributeSource> {
    let Some((value, span)) = section.raw(key) else {
        return section.read(diagnostics, key, default_attribute_source).value;
    };
    let DeValue::Table(table) = value else {
        let found = format!("{} is not allowed here", values::describe(value));
        section.push_invalid(diagnostics, key, span, &found);
        return None;
    };
    let source = Section::open_at(diagnostics, &ATTRIBUTE_SOURCE, section.path(key), table, span.clone());
    match (source.raw("path").is_some(), source.raw("header").is_some()) {
        (true, false) => {
            source.count(diagnostics, "path").value.map(|part| AttributeSource::Path(part as usize))
        }
        (false, true) => {
            source.read(diagnostics, "header", values::header).value.map(AttributeSource::Header)
        }
        (true, true) => {
            section.push_invalid(diagnostics, key, span, "`path` and `header` are both given");
            None
        }
        (false, false) => {
            // If the table is not empty, its unknown keys are already reported.
            if table.is_empty() {
                section.push_invalid(diagnostics, key, span, "neither `path` nor `header` is given");
            }
            None
        }
    }
}

/// Parses the schema's default of an attribute source.
fn default_attribute_source(_: &ValueKind, value: &DeValue<'_>) -> values::Parsed<AttributeSource> {
    let table: Option<&DeTable<'_>> = value.as_table();
    let get = |key: &str| table.and_then(|table| table.get(key)).map(|value| value.get_ref());
    match (get("path"), get("header")) {
        (Some(part), None) => values::integer(&ValueKind::Integer(1, MAX_PATH_PART), part)
            .map(|part| AttributeSource::Path(part as usize)),
        (None, Some(name)) => values::header(&ValueKind::Header, name).map(AttributeSource::Header),
        _ => Err("neither `path` nor `header` is given".into()),
    }
}

/// Reads response rules. An absent key has its value from `base`.
pub(super) fn response_rules(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, base: &ResponseRules,
) -> ResponseRules {
    let mut rules = base.clone();
    if section.raw("served").is_some() {
        rules.served = served(diagnostics, section);
    }
    if section.raw("never_ran").is_some() {
        let (tables, _) = section.tables(diagnostics, "never_ran", &NOT_EXECUTED_PROOF);
        rules.not_executed =
            tables.iter().filter_map(|table| not_executed_proof(diagnostics, table)).collect();
    }
    if section.raw("errors").is_some() {
        rules.error_responses = match section.choice(diagnostics, "errors").value {
            Some("own_words") => ErrorResponses::Replace,
            _ => ErrorResponses::Forward,
        };
    }
    rules
}

/// Reads the statuses that count as served; reports a status that tells clients that a retry does no harm.
fn served(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>) -> StatusSet {
    let ranges = section.distinct_items(diagnostics, "served", values::statuses);
    let mut served = StatusSet::empty();
    for ((first, last), span) in &ranges.items {
        served.add(*first, *last);
        let retryable = RETRYABLE_STATUSES.into_iter().find(|status| (first..=last).contains(&status));
        if let Some(status) = retryable {
            let path = section.path("served");
            let message = format!("{path}: {status} tells a client that a retry does no harm");
            let expected = "expected it under never_ran with the header that proves it, or not at all";
            diagnostics.push(Diagnostic::at(span.clone(), message, expected));
        }
    }
    served
}

fn not_executed_proof(
    diagnostics: &mut Diagnostics<'_>, table: &Section<'_, '_>,
) -> Option<NotExecutedProof> {
    let status = table.count(diagnostics, "status");
    let header = table.read(diagnostics, "header", values::header);
    let value = table.read(diagnostics, "value", values::header_value);
    let status = u16::try_from(status.value?).ok()?;
    if value.is_invalid() {
        return None;
    }
    Some(NotExecutedProof { status, header: header.value?, value: value.value })
}
