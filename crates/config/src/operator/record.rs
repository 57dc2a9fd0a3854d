//! Reads the store of record, the record mode of each class, and the control socket.

use super::types::{ClassConfig, RecordMode, RecordStoreConfig, WithoutKey};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::document::Document;
use crate::schema::duration_text;
use crate::section::{Field, Section};
use crate::values;
use shaletide_balancer::{Idempotency, Micros};
use std::ops::Range;
use std::path::PathBuf;

/// The parts of the store's section that the classes are checked against.
#[derive(Clone, Debug)]
pub(super) struct RecordContext {
    /// The store; invalid values are placeholders. `None` if the section is absent.
    pub store: Option<RecordStoreConfig>,
    /// Whether the file certainly has no store: no misspelled or unreadable section may be one.
    is_absent: bool,
    /// Maximum time that a request waits for its intent, and the span of the value.
    intent_timeout: Option<(Micros, Option<Range<usize>>)>,
}

pub(super) fn record(diagnostics: &mut Diagnostics<'_>, document: &Document<'_, '_>) -> RecordContext {
    let is_absent = !document.may_contain(diagnostics, "record");
    let Some(section) = document.optional(diagnostics, "record") else {
        return RecordContext { store: None, is_absent, intent_timeout: None };
    };
    let timeout = section.duration(diagnostics, "wait");
    let store = RecordStoreConfig {
        path: section.read(diagnostics, "path", values::file_path).or_placeholder(PathBuf::new()),
        retention: section.duration(diagnostics, "keep").or_placeholder(Micros(0)),
        intent_timeout: timeout.value.unwrap_or(Micros(0)),
        retry_after: section.duration(diagnostics, "retry_after").or_placeholder(Micros(0)),
    };
    let intent_timeout = timeout.value.map(|value| (value, timeout.span));
    RecordContext { store: Some(store), is_absent, intent_timeout }
}

pub(super) fn control(diagnostics: &mut Diagnostics<'_>, document: &Document<'_, '_>) -> Option<PathBuf> {
    let section = document.optional(diagnostics, "control")?;
    section.read(diagnostics, "socket", values::file_path).value
}

/// Reads the record mode of a class.
pub(super) fn record_mode(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, record: &RecordContext,
    idempotency: Idempotency,
) -> RecordMode {
    let word = section.choice(diagnostics, "record");
    let key_rule = section.choice(diagnostics, "without_key");
    let without_key = match key_rule.value {
        Some("record") => WithoutKey::Record,
        _ => WithoutKey::Reject,
    };
    let mode = match word.value {
        Some("none") => RecordMode::None,
        Some("facts") => RecordMode::Facts,
        Some(_) => RecordMode::Intent { without_key },
        None if idempotency == Idempotency::NonIdempotent && record.store.is_some() => {
            RecordMode::Intent { without_key }
        }
        None => RecordMode::None,
    };
    check_mode(diagnostics, section, record, idempotency, &word, mode);
    // The intended mode is unknown if the value is invalid, or if a syntax error may hide [record].
    let is_mode_known =
        !word.is_invalid() && (word.span.is_some() || record.store.is_some() || record.is_absent);
    if let (Some(span), true, RecordMode::None | RecordMode::Facts) = (key_rule.span, is_mode_known, mode) {
        let message = "class.without_key: the class does not use permits";
        let expected = "expected only in a class with record = \"permit\"";
        diagnostics.push_missing(&section.span, Diagnostic::at(span, message, expected));
    }
    mode
}

/// Reports a mode that requires a store if there is none, and intents for a class that is not unsafe.
fn check_mode(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, record: &RecordContext,
    idempotency: Idempotency, word: &Field<&'static str>, mode: RecordMode,
) {
    let (Some(span), Some(value)) = (word.span.clone(), word.value) else { return };
    if mode == RecordMode::None {
        return;
    }
    if record.is_absent {
        let message = format!("class.record: {} requires a store of record", quoted(value));
        let expected = "expected [record] with a `path`, or \"none\" here";
        diagnostics.push(Diagnostic::at(span.clone(), message, expected));
    }
    if matches!(mode, RecordMode::Intent { .. }) && idempotency != Idempotency::NonIdempotent {
        let expected = "expected \"none\" or \"facts\"";
        let diagnostic = Diagnostic::at(span, "class.record: the class is not unsafe", expected);
        let diagnostic = match section.span_of("effect") {
            Some(effect) => diagnostic.with_related(effect, "the effect"),
            None => diagnostic.with_help("`effect` defaults to \"safe\""),
        };
        diagnostics.push_missing(&section.span, diagnostic);
    }
}

impl RecordContext {
    /// Reports an intent timeout that is not shorter than the deadline of a class with intents.
    pub fn check_intent_timeout(
        &self, diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, class: &ClassConfig,
    ) {
        let Some((timeout, timeout_span)) = &self.intent_timeout else { return };
        let is_placeholder = class.deadline == Micros(1);
        let is_deadline_unknown = is_placeholder || diagnostics.has_syntax_error_in(&section.span);
        let has_intents = matches!(class.record, RecordMode::Intent { .. });
        if is_deadline_unknown || *timeout < class.deadline || !has_intents {
            return;
        }
        let deadline_span = section.span_of("deadline");
        let span = timeout_span.clone().or(deadline_span.clone()).unwrap_or(section.span.clone());
        let timeout = duration_text(timeout.0);
        let deadline = duration_text(class.deadline.0);
        let message = format!(
            "record.wait: {timeout} is not below {deadline}, the deadline of the class {}",
            quoted(&class.name)
        );
        let expected = "expected a time below the deadline of each class with record = \"permit\"";
        let diagnostic = Diagnostic::at(span.clone(), message, expected);
        diagnostics.push(match deadline_span.filter(|other| *other != span) {
            Some(other) => diagnostic.with_related(other, "the deadline"),
            None if timeout_span.is_none() => diagnostic.with_help(format!("`wait` defaults to {timeout}")),
            None => diagnostic.with_help(format!("`deadline` defaults to {deadline}")),
        });
    }
}
