//! Opens the sections of a file according to their schemas and reports unknown sections.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::schema::{self, NodeConfigKey, SectionSchema, Shape, SECTIONS};
use crate::section::Section;
use crate::values::describe;
use toml::de::{DeTable, DeValue};

/// The sections of the file.
pub(crate) struct Document<'v, 't> {
    table: &'v DeTable<'t>,
    /// Sections that are present under a similar, unknown name.
    misspelled: Vec<&'static str>,
    /// Whether the file extends `NODE_CONFIG`, so that no section is required.
    extends_node_config: bool,
}

/// All sections of one name.
pub(crate) struct Sections<'v, 't> {
    pub items: Vec<Section<'v, 't>>,
    /// Whether `items` is complete: an error may hide sections.
    pub is_complete: bool,
}

impl<'v, 't> Document<'v, 't> {
    /// Opens the file's tree. Reports each unknown section and each key outside of all sections.
    pub fn open(diagnostics: &mut Diagnostics<'_>, table: &'v DeTable<'t>) -> Document<'v, 't> {
        let mut misspelled = Vec::new();
        for (key, value) in table.iter().filter(|(key, _)| schema::section(key.get_ref()).is_none()) {
            let name = key.get_ref().as_ref();
            let is_key = !matches!(value.get_ref(), DeValue::Table(_) | DeValue::Array(_));
            let owner = SECTIONS.iter().find(|section| section.key(name).is_some()).filter(|_| is_key);
            let meant = diagnostics.suggest(name, SECTIONS.iter().map(|section| section.name));
            misspelled.extend(meant.filter(|_| !is_key));
            let expected = match (owner, meant.and_then(schema::section)) {
                (Some(section), _) => format!("it belongs to {}", section.header()),
                (None, Some(section)) => format!("did you mean {}?", section.header()),
                (None, None) => format!("expected one of {}", headers().join(", ")),
            };
            let message = if is_key {
                format!("key {} outside of all sections", quoted(name))
            } else {
                format!("unknown section {}", quoted(name))
            };
            diagnostics.push(Diagnostic::at(key.span(), message, expected));
        }
        Document { table, misspelled, extends_node_config: false }
    }

    /// Opens the tree of a file that extends `NODE_CONFIG`. Also reports each key that `NODE_CONFIG` sets or that the
    /// platform fixes.
    pub fn open_extension(diagnostics: &mut Diagnostics<'_>, table: &'v DeTable<'t>) -> Document<'v, 't> {
        let document = Document { extends_node_config: true, ..Document::open(diagnostics, table) };
        document.reject_node_config_keys(diagnostics);
        document
    }

    /// Returns whether the file has a section of that name, or may have one under a misspelled or unreadable header.
    pub fn may_contain(&self, diagnostics: &Diagnostics<'_>, name: &str) -> bool {
        let is_misspelled = self.misspelled.contains(&name);
        self.table.contains_key(name) || is_misspelled || diagnostics.damage.may_hide_section(name)
    }

    /// Opens a section that occurs at most once; `None` if it is absent or invalid.
    pub fn optional(&self, diagnostics: &mut Diagnostics<'_>, name: &str) -> Option<Section<'v, 't>> {
        if !self.table.contains_key(name) {
            return None;
        }
        Some(self.table(diagnostics, name)).filter(Section::is_present)
    }

    /// Opens a section that occurs at most once; an absent or invalid one has all defaults.
    pub fn table(&self, diagnostics: &mut Diagnostics<'_>, name: &str) -> Section<'v, 't> {
        let schema = section_schema(name);
        let Some(value) = self.table.get(name) else { return Section::absent(schema) };
        match value.get_ref() {
            DeValue::Table(table) => Section::open(diagnostics, schema, table, value.span()),
            other => {
                let expected = format!("expected {} once", schema.header());
                diagnostics.push(Diagnostic::at(value.span(), wrong_type(schema, other), expected));
                Section::absent(schema)
            }
        }
    }

    /// Opens the sections of that name; reports more than `max`, and a required one that is missing.
    pub fn list(&self, diagnostics: &mut Diagnostics<'_>, name: &str, max: usize) -> Sections<'v, 't> {
        let schema = section_schema(name);
        let mut list = Sections {
            items: Vec::new(),
            is_complete: !diagnostics.damage.may_hide_section(name) && !self.misspelled.contains(&name),
        };
        let Some(value) = self.table.get(name) else {
            if schema.required && list.is_complete && !self.extends_node_config {
                let message = format!("{} is missing", schema.header());
                let expected = format!("expected at least one: {}", schema.meaning);
                diagnostics.push(Diagnostic::for_file(message, expected));
            }
            return list;
        };
        let expected = format!("expected {} before each", schema.header());
        let DeValue::Array(items) = value.get_ref() else {
            list.is_complete = false;
            diagnostics.push(Diagnostic::at(value.span(), wrong_type(schema, value.get_ref()), expected));
            return list;
        };
        for item in items.iter().take(max) {
            match item.get_ref() {
                DeValue::Table(table) => {
                    list.items.push(Section::open(diagnostics, schema, table, item.span()));
                }
                other => {
                    list.is_complete = false;
                    diagnostics.push(Diagnostic::at(item.span(), wrong_type(schema, other), &expected));
                }
            }
        }
        if let Some(excess) = items.get(max) {
            list.is_complete = false;
            let message = format!("{} {} sections", items.len(), schema.header());
            diagnostics.push(Diagnostic::at(excess.span(), message, format!("expected at most {max}")));
        }
        list
    }

    fn reject_node_config_keys(&self, diagnostics: &mut Diagnostics<'_>) {
        for (name, value) in self.table {
            let Some(schema) = schema::section(name.get_ref()) else { continue };
            if let Some(node_config_name) = schema.node_config_name {
                let message =
                    format!("{} is not allowed in a file that extends NODE_CONFIG", schema.header());
                let expected = format!("NODE_CONFIG sets this as {node_config_name}");
                diagnostics.push(Diagnostic::at(name.span(), message, expected));
                continue;
            }
            let DeValue::Table(table) = value.get_ref() else { continue };
            for (key, _) in table.iter().filter(|_| schema.shape == Shape::Table) {
                let Some(key_schema) = schema.key(key.get_ref()) else { continue };
                let expected = match key_schema.node_config {
                    NodeConfigKey::Extends => continue,
                    NodeConfigKey::Named(name) => format!("NODE_CONFIG sets this as {name}"),
                    NodeConfigKey::Fixed => "the platform fixes this value".into(),
                };
                let path = format!("{}.{}", schema.name, key_schema.name);
                let message = format!("{path} is not allowed in a file that extends NODE_CONFIG");
                diagnostics.push(Diagnostic::at(key.span(), message, expected));
            }
        }
    }
}

fn wrong_type(schema: &SectionSchema, value: &DeValue<'_>) -> String {
    format!("{}: {} is not allowed here", schema.header(), describe(value))
}

fn section_schema(name: &str) -> &'static SectionSchema {
    schema::section(name).unwrap_or_else(|| unreachable!("the schema lacks [{name}]"))
}

fn headers() -> Vec<String> {
    SECTIONS.iter().map(SectionSchema::header).collect()
}
