//! The sections of a file: opened under their schemas; unknown ones are reported.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::schema::{self, Platform, Shape, SECTIONS};
use crate::section::Section;
use crate::values::describe;
use toml::de::{DeTable, DeValue};

/// The sections of the file.
pub(crate) struct File<'v, 't> {
    table: &'v DeTable<'t>,
    /// Sections that stand under a name near to theirs.
    misspelled: Vec<&'static str>,
    /// It adds to NODE_CONFIG, so that no section must be there.
    adds: bool,
}

impl<'v, 't> File<'v, 't> {
    /// The file's tree; puts down each section that no schema knows, and keys outside of all sections.
    pub fn open(diagnostics: &mut Diagnostics<'_>, table: &'v DeTable<'t>) -> File<'v, 't> {
        let mut misspelled = Vec::new();
        for (key, value) in table.iter().filter(|(key, _)| schema::section(key.get_ref()).is_none()) {
            let name = key.get_ref().as_ref();
            let is_key = !matches!(value.get_ref(), DeValue::Table(_) | DeValue::Array(_));
            let home = SECTIONS.iter().find(|s| s.key(name).is_some()).filter(|_| is_key);
            let near = diagnostics.suggest(name, SECTIONS.iter().map(|s| s.name));
            misspelled.extend(near.filter(|_| !is_key));
            let expected = match (home, near.and_then(schema::section)) {
                (Some(section), _) => format!("it belongs to {}", section.header()),
                (None, Some(section)) => format!("did you mean {}?", section.header()),
                (None, None) => format!("expected one of {}", headers().join(", ")),
            };
            let what = match is_key {
                true => format!("key {} outside of all sections", quoted(name)),
                false => format!("unknown section {}", quoted(name)),
            };
            diagnostics.push(Diagnostic::at(key.span(), what, expected));
        }
        File { table, misspelled, adds: false }
    }

    /// Whether a section of that name is there, or may have been meant to be.
    pub fn may_contain(&self, diagnostics: &Diagnostics<'_>, name: &str) -> bool {
        self.table.contains_key(name)
            || self.misspelled.contains(&name)
            || diagnostics.damage.may_hide_section(name)
    }

    /// A section that stands once, if it is there.
    pub fn optional(&self, diagnostics: &mut Diagnostics<'_>, name: &str) -> Option<Section<'v, 't>> {
        self.table.contains_key(name).then(|| self.table(diagnostics, name)).filter(Section::is_present)
    }

    /// A section that stands once; all defaults where it is absent.
    pub fn table(&self, diagnostics: &mut Diagnostics<'_>, name: &str) -> Section<'v, 't> {
        let schema = known(name);
        let Some(value) = self.table.get(name) else { return Section::absent(schema) };
        match value.get_ref() {
            DeValue::Table(table) => Section::open(diagnostics, schema, table, value.span()),
            other => {
                let what = format!("{}: {} does not fit here", schema.header(), describe(other));
                diagnostics.push(Diagnostic::at(
                    value.span(),
                    what,
                    format!("expected {} once", schema.header()),
                ));
                Section::absent(schema)
            }
        }
    }

    /// A section that stands any number of times, at most `most`. The flag says whether all of them are here.
    pub fn list(
        &self, diagnostics: &mut Diagnostics<'_>, name: &str, most: usize,
    ) -> (Vec<Section<'v, 't>>, bool) {
        let schema = known(name);
        let mut all = !diagnostics.damage.may_hide_section(name) && !self.misspelled.contains(&name);
        let Some(value) = self.table.get(name) else {
            if schema.required && all && !self.adds {
                let what = format!("{} is missing", schema.header());
                diagnostics
                    .push(Diagnostic::for_file(what, format!("expected at least one: {}", schema.meaning)));
            }
            return (Vec::new(), all);
        };
        let mut sections = Vec::new();
        let expected = format!("expected {} before each", schema.header());
        let wrong =
            |value: &DeValue<'_>| format!("{}: {} does not fit here", schema.header(), describe(value));
        match value.get_ref() {
            DeValue::Array(items) => {
                for item in items.iter().take(most) {
                    match item.get_ref() {
                        DeValue::Table(table) => {
                            sections.push(Section::open(diagnostics, schema, table, item.span()));
                        }
                        other => {
                            all = false;
                            diagnostics.push(Diagnostic::at(item.span(), wrong(other), &expected));
                        }
                    }
                }
                if let Some(over) = items.get(most) {
                    all = false;
                    let what = format!("{} of {}", items.len(), schema.header());
                    diagnostics.push(Diagnostic::at(over.span(), what, format!("expected at most {most}")));
                }
            }
            other => {
                all = false;
                diagnostics.push(Diagnostic::at(value.span(), wrong(other), &expected));
            }
        }
        (sections, all)
    }

    /// The tree of a file that adds to NODE_CONFIG; puts down also each key that NODE_CONFIG has a word for, or
    /// for which the platform leaves no choice.
    pub fn open_extension(diagnostics: &mut Diagnostics<'_>, table: &'v DeTable<'t>) -> File<'v, 't> {
        let file = File { adds: true, ..File::open(diagnostics, table) };
        file.reject_platform_keys(diagnostics);
        file
    }

    fn reject_platform_keys(&self, diagnostics: &mut Diagnostics<'_>) {
        for (name, value) in self.table {
            let Some(schema) = schema::section(name.get_ref()) else { continue };
            if let Some(word) = schema.platform {
                let what = format!("{} has no place in a file that adds to NODE_CONFIG", schema.header());
                diagnostics.push(Diagnostic::at(
                    name.span(),
                    what,
                    format!("NODE_CONFIG says this as {word}"),
                ));
                continue;
            }
            let DeValue::Table(table) = value.get_ref() else { continue };
            for (key, _) in table.iter().filter(|_| schema.shape == Shape::Table) {
                let Some(known) = schema.key(key.get_ref()) else { continue };
                let expected = match known.platform {
                    Platform::Adds => continue,
                    Platform::Says(word) => format!("NODE_CONFIG says this as {word}"),
                    Platform::Fixed => "the platform leaves no choice here".into(),
                };
                let what =
                    format!("{}.{} has no place in a file that adds to NODE_CONFIG", schema.name, known.name);
                diagnostics.push(Diagnostic::at(key.span(), what, expected));
            }
        }
    }
}

fn known(name: &str) -> &'static schema::Section {
    schema::section(name).unwrap_or_else(|| unreachable!("the schema lacks [{name}]"))
}

fn headers() -> Vec<String> {
    SECTIONS.iter().map(schema::Section::header).collect()
}
