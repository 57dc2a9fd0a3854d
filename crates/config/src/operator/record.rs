//! The store of record, what of each class is recorded, and the control socket.

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

/// The store, as far as the classes are checked against it.
#[derive(Clone, Debug)]
pub(super) struct RecordContext {
    /// What the file says; with placeholders where something in it is invalid.
    pub store: Option<RecordStoreConfig>,
    /// There is certainly none.
    is_absent: bool,
    /// How long a request waits for its intent, and where that stands.
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

/// What is recorded of a class.
pub(super) fn record_mode(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, record: &RecordContext,
    idempotency: Idempotency,
) -> RecordMode {
    let word = section.choice(diagnostics, "record");
    let keyless = section.choice(diagnostics, "without_key");
    let without_key = match keyless.value {
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
    // Which mode was meant is not known where the word is invalid, or where [record] may be lost.
    let is_mode_known =
        !word.is_invalid() && (word.span.is_some() || record.store.is_some() || record.is_absent);
    if let (Some(span), true, RecordMode::None | RecordMode::Facts) = (keyless.span, is_mode_known, mode) {
        let message = "class.without_key: the class asks for no permit";
        let expected = "expected in classes of record = \"permit\" only";
        diagnostics.push_missing(&section.span, Diagnostic::at(span, message, expected));
    }
    mode
}

/// Reports a mode that wants a store where there is none, and intents of a class that is not unsafe.
fn check_mode(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, record: &RecordContext,
    idempotency: Idempotency, word: &Field<&'static str>, mode: RecordMode,
) {
    let (Some(span), Some(value)) = (word.span.clone(), word.value) else { return };
    if mode == RecordMode::None {
        return;
    }
    if record.is_absent {
        let message = format!("class.record: {} without a store to record in", quoted(value));
        let expected = "expected [record] with a `path`, or \"none\" here";
        diagnostics.push(Diagnostic::at(span.clone(), message, expected));
    }
    if matches!(mode, RecordMode::Intent { .. }) && idempotency != Idempotency::NonIdempotent {
        let expected = "expected \"none\" or \"facts\"";
        let diagnostic = Diagnostic::at(span, "class.record: the class is not unsafe", expected);
        let diagnostic = match section.span_of("effect") {
            Some(effect) => diagnostic.with_related(effect, "its effect"),
            None => diagnostic.with_help("without `effect` a class is safe"),
        };
        diagnostics.push_missing(&section.span, diagnostic);
    }
}

impl RecordContext {
    /// Reports a timeout of intents that would use up a class's deadline.
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
            "record.wait: {timeout} is not under {deadline}, the deadline of the class {}",
            quoted(&class.name)
        );
        let expected = "expected a wait under the deadline of each class with permits";
        let diagnostic = Diagnostic::at(span.clone(), message, expected);
        diagnostics.push(match deadline_span.filter(|other| *other != span) {
            Some(other) => diagnostic.with_related(other, "the deadline"),
            None if timeout_span.is_none() => diagnostic.with_help(format!("without `wait` it is {timeout}")),
            None => diagnostic.with_help(format!("without `deadline` it is {deadline}")),
        });
    }
}
