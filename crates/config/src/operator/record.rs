//! The store of record, what of each class goes there, and the control socket.

use super::types::{ClassDef, RecordDef, Recording, WithoutKey};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::document::File;
use crate::schema::span;
use crate::section::Section;
use crate::values;
use shaletide_balancer::{Idempotency, Micros};
use std::ops::Range;
use std::path::PathBuf;

/// The store, as far as the classes want to know of it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// What the file says; where something in it is wrong, a stand-in.
    pub def: Option<RecordDef>,
    /// There is none, for certain.
    absent: bool,
    /// How long a request waits, and where that stands.
    wait: Option<(Micros, Option<Range<usize>>)>,
}

pub(super) fn record(diagnostics: &mut Diagnostics<'_>, file: &File<'_, '_>) -> Record {
    let absent = !file.may_contain(diagnostics, "record");
    let Some(section) = file.optional(diagnostics, "record") else {
        return Record { def: None, absent, wait: None };
    };
    let wait = section.span(diagnostics, "wait");
    let def = RecordDef {
        path: section.read(diagnostics, "path", values::file).or(PathBuf::new()),
        keep: section.span(diagnostics, "keep").or(Micros(0)),
        wait: wait.value.unwrap_or(Micros(0)),
        retry_after: section.span(diagnostics, "retry_after").or(Micros(0)),
    };
    Record { def: Some(def), absent, wait: wait.value.map(|value| (value, wait.at)) }
}

pub(super) fn control(diagnostics: &mut Diagnostics<'_>, file: &File<'_, '_>) -> Option<PathBuf> {
    let section = file.optional(diagnostics, "control")?;
    section.read(diagnostics, "socket", values::file).value
}

/// What goes on record of a class.
pub(super) fn recording(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, record: &Record, effect: Idempotency,
) -> Recording {
    let (word, key) = (section.word(diagnostics, "record"), section.word(diagnostics, "without_key"));
    let without_key = match key.value {
        Some("record") => WithoutKey::Record,
        _ => WithoutKey::Refuse,
    };
    let recording = match word.value {
        Some("none") => Recording::None,
        Some("facts") => Recording::Facts,
        Some(_) => Recording::Permit { without_key },
        None if effect == Idempotency::NonIdempotent && record.def.is_some() => {
            Recording::Permit { without_key }
        }
        None => Recording::None,
    };
    if let (Some(at), Some(word)) = (word.at.clone(), word.value.filter(|_| recording != Recording::None)) {
        if record.absent {
            let what = format!("class.record: {} without a store to record in", quoted(word));
            diagnostics.push(Diagnostic::at(
                at.clone(),
                what,
                "expected [record] with a `path`, or \"none\" here",
            ));
        }
        if matches!(recording, Recording::Permit { .. }) && effect != Idempotency::NonIdempotent {
            let diagnostic =
                Diagnostic::at(at, "class.record: the class is not unsafe", "expected \"none\" or \"facts\"");
            let diagnostic = match section.raw("effect") {
                Some((_, effect)) => diagnostic.with_related(effect, "its effect"),
                None => diagnostic.with_help("without `effect` a class is safe"),
            };
            diagnostics.push_missing(&section.at, diagnostic);
        }
    }
    // What `record` would have been is not known where it is wrong, or where [record] may be lost.
    let known = !word.is_wrong() && (word.at.is_some() || record.def.is_some() || record.absent);
    if let Some(at) = key.at.filter(|_| known && !matches!(recording, Recording::Permit { .. })) {
        let what = "class.without_key: the class asks for no permit";
        let diagnostic = Diagnostic::at(at, what, "expected in classes of record = \"permit\" only");
        diagnostics.push_missing(&section.at, diagnostic);
    }
    recording
}

impl Record {
    /// Puts down a wait that would use up a class's deadline.
    pub fn check_wait(&self, diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, class: &ClassDef) {
        let Some((wait, place)) = &self.wait else { return };
        // The stand-in for a deadline that is wrong.
        let unknown = class.deadline == Micros(1) || diagnostics.has_syntax_error_in(&section.at);
        if unknown || *wait < class.deadline || !matches!(class.record, Recording::Permit { .. }) {
            return;
        }
        let deadline = section.raw("deadline").map(|(_, at)| at);
        let at = place.clone().or(deadline.clone()).unwrap_or(section.at.clone());
        let (wait, limit) = (span(wait.0), span(class.deadline.0));
        let what = format!(
            "record.wait: {wait} is not under {limit}, the deadline of the class {}",
            quoted(&class.name)
        );
        let diagnostic =
            Diagnostic::at(at.clone(), what, "expected a wait under the deadline of each class with permits");
        diagnostics.push(match deadline.filter(|other| *other != at) {
            Some(other) => diagnostic.with_related(other, "the deadline"),
            None if place.is_none() => diagnostic.with_help(format!("without `wait` it is {wait}")),
            None => diagnostic.with_help(format!("without `deadline` it is {limit}")),
        });
    }
}
