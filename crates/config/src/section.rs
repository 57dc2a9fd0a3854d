//! Reads one table of the file according to its schema. Opening a table reports its unknown keys; each value is read
//! with the kind, range and default that the schema defines.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::schema::{DefaultValue, KeySchema, SectionSchema, Shape, ValueKind, SECTIONS};
use crate::values::{self, describe, Parsed};
use shaletide_balancer::Micros;
use std::ops::Range;
use toml::de::{DeString, DeTable, DeValue};
use toml::Spanned;

/// The result of reading a key.
#[derive(Clone, Debug)]
pub(crate) struct Field<T> {
    /// The value or its default; `None` if it is invalid, or absent without a default.
    pub value: Option<T>,
    /// Byte range of the value; `None` if the key is absent.
    pub span: Option<Range<usize>>,
}

impl<T> Field<T> {
    /// Returns the value, or the placeholder if it is invalid; the whole file is then rejected.
    pub fn or_placeholder(self, placeholder: T) -> T {
        self.value.unwrap_or(placeholder)
    }

    /// Returns whether the key is present and its value invalid.
    pub fn is_invalid(&self) -> bool {
        self.span.is_some() && self.value.is_none()
    }
}

/// The result of reading a key that takes one item or a list of them.
#[derive(Clone, Debug)]
pub(crate) struct ListField<T> {
    /// The valid items, each with its byte range.
    pub items: Vec<(T, Range<usize>)>,
    /// Whether no item is invalid and no required list is missing.
    pub is_valid: bool,
    /// Byte range of the whole value; `None` if the key is absent.
    pub span: Option<Range<usize>>,
}

impl<T> ListField<T> {
    /// Returns the items without their byte ranges.
    pub fn into_values(self) -> Vec<T> {
        self.items.into_iter().map(|(item, _)| item).collect()
    }
}

/// A function that parses values of one kind.
type Parse<T> = fn(&ValueKind, &DeValue<'_>) -> Parsed<T>;

/// A table of the file with its schema.
#[derive(Clone, Debug)]
pub(crate) struct Section<'v, 't> {
    schema: &'static SectionSchema,
    /// Path that prefixes the names of its keys in messages.
    path: String,
    /// `None` if the table is absent; all its keys then have their defaults.
    table: Option<&'v DeTable<'t>>,
    /// Keys that are present under a similar, unknown name, with its span. They count neither as missing nor as defaulted.
    misspelled: Vec<(&'static str, Range<usize>)>,
    /// Byte range of its header, or of the whole inline table.
    pub span: Range<usize>,
}

impl<'v, 't> Section<'v, 't> {
    /// Opens a table and reports each key that the schema does not have.
    pub fn open(
        diagnostics: &mut Diagnostics<'_>, schema: &'static SectionSchema, table: &'v DeTable<'t>,
        span: Range<usize>,
    ) -> Section<'v, 't> {
        Section::open_at(diagnostics, schema, schema.name.into(), table, span)
    }

    /// Same as [`Section::open`] for a schema that several tables share; `path` prefixes the names of the keys.
    pub fn open_at(
        diagnostics: &mut Diagnostics<'_>, schema: &'static SectionSchema, path: String,
        table: &'v DeTable<'t>, span: Range<usize>,
    ) -> Section<'v, 't> {
        let mut misspelled = Vec::new();
        for key in table.keys().filter(|key| schema.key(key.get_ref()).is_none()) {
            if let Some(meant) = push_unknown_key(diagnostics, schema, &path, key) {
                misspelled.push((meant, key.span()));
            }
        }
        Section { schema, path, table: Some(table), misspelled, span }
    }

    /// Creates the section of an absent table; all its keys have their defaults.
    pub fn absent(schema: &'static SectionSchema) -> Section<'v, 't> {
        Section { schema, path: schema.name.into(), table: None, misspelled: Vec::new(), span: 0..0 }
    }

    /// Returns whether the file has the table.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Returns the span of the misspelled name that most likely means `key`.
    pub fn misspelled(&self, key: &str) -> Option<Range<usize>> {
        self.misspelled.iter().find(|(meant, _)| *meant == key).map(|(_, span)| span.clone())
    }

    /// Returns the name of a key with the path to it.
    pub fn path(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    fn key_schema(&self, key: &str) -> &'static KeySchema {
        let schema = self.schema.key(key);
        schema.unwrap_or_else(|| unreachable!("the schema lacks {}.{key}", self.schema.name))
    }

    /// Returns the unparsed value of a key and its span.
    pub fn raw(&self, key: &str) -> Option<(&'v DeValue<'t>, Range<usize>)> {
        let value = self.table?.get(key)?;
        Some((value.get_ref(), value.span()))
    }

    /// Returns the span of a key's value, if the key is present.
    pub fn span_of(&self, key: &str) -> Option<Range<usize>> {
        self.raw(key).map(|(_, span)| span)
    }

    /// Reports that a value is not what the schema expects; `found` describes the value.
    pub fn push_invalid(
        &self, diagnostics: &mut Diagnostics<'_>, key: &str, span: Range<usize>, found: &str,
    ) {
        let schema = self.key_schema(key);
        let expected = format!("expected {}", schema.kind.expected());
        let diagnostic = Diagnostic::at(span.clone(), format!("{}: {found}", self.path(key)), expected);
        let word = diagnostics.source.text.get(span).unwrap_or("").trim_matches(['"', '\'']);
        let help = match schema.kind {
            ValueKind::Choice(words) => {
                let meant = diagnostics.suggest(word, words.iter().copied());
                meant.map(|meant| format!("did you mean \"{meant}\"?"))
            }
            ValueKind::Address if word.starts_with("localhost") => Some("host names are not resolved".into()),
            ValueKind::Methods if word.bytes().any(|b| b.is_ascii_lowercase()) => {
                Some("methods are written in capital letters".into())
            }
            _ => None,
        };
        diagnostics.push(Diagnostic { help, ..diagnostic });
    }

    /// Reports that a key is missing.
    pub fn push_missing(&self, diagnostics: &mut Diagnostics<'_>, key: &str) {
        let expected = format!("expected `{key}`: {}", self.key_schema(key).kind.expected());
        let message = format!("{} is missing", self.path(key));
        diagnostics.push_missing(&self.span, Diagnostic::at(self.span.clone(), message, expected));
    }

    /// Reads the value of a key.
    pub fn read<T>(&self, diagnostics: &mut Diagnostics<'_>, key: &str, parse: Parse<T>) -> Field<T> {
        let schema = self.key_schema(key);
        let Some((value, span)) = self.raw(key) else {
            if let Some(span) = self.misspelled(key) {
                return Field { value: None, span: Some(span) };
            }
            if schema.default == DefaultValue::Required {
                self.push_missing(diagnostics, key);
            }
            return Field { value: default(schema, parse), span: None };
        };
        let value = match parse(&schema.kind, value) {
            Ok(value) => Some(value),
            Err(found) => {
                self.push_invalid(diagnostics, key, span.clone(), &found);
                None
            }
        };
        Field { value, span: Some(span) }
    }

    pub fn duration(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<Micros> {
        self.read(diagnostics, key, values::duration)
    }

    pub fn number(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<f64> {
        self.read(diagnostics, key, values::number)
    }

    pub fn flag(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<bool> {
        self.read(diagnostics, key, values::flag)
    }

    pub fn name(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<String> {
        self.read(diagnostics, key, values::name)
    }

    pub fn choice(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<&'static str> {
        self.read(diagnostics, key, values::choice)
    }

    /// Reads a whole number whose range in the schema fits `u32`.
    pub fn count(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<u32> {
        let field = self.read(diagnostics, key, values::integer);
        let narrow =
            |n| u32::try_from(n).unwrap_or_else(|_| unreachable!("the schema's range of {key} is too wide"));
        Field { value: field.value.map(narrow), span: field.span }
    }

    /// Reads one item or a list of them; reports an empty list and duplicates.
    pub fn distinct_items<T: Clone + Eq + std::hash::Hash>(
        &self, diagnostics: &mut Diagnostics<'_>, key: &str, parse: Parse<T>,
    ) -> ListField<T> {
        let list = self.items(diagnostics, key, parse);
        if list.is_valid && list.items.is_empty() {
            if let Some(span) = list.span.clone() {
                self.push_invalid(diagnostics, key, span, "this list is empty");
                return ListField { is_valid: false, ..list };
            }
        }
        let path = self.path(key);
        let items = list.items.iter().cloned();
        diagnostics.push_duplicates(
            items,
            |_| format!("{path}: duplicate value"),
            "expected each value once",
        );
        list
    }

    /// Reads one item or a list of them.
    pub fn items<T>(&self, diagnostics: &mut Diagnostics<'_>, key: &str, parse: Parse<T>) -> ListField<T> {
        let schema = self.key_schema(key);
        let Some((value, span)) = self.raw(key) else {
            if let Some(span) = self.misspelled(key) {
                return ListField { items: Vec::new(), is_valid: false, span: Some(span) };
            }
            let is_required = schema.default == DefaultValue::Required;
            if is_required {
                self.push_missing(diagnostics, key);
            }
            return ListField { items: Vec::new(), is_valid: !is_required, span: None };
        };
        let mut list = ListField { items: Vec::new(), is_valid: true, span: Some(span.clone()) };
        for (value, span) in one_or_many(value, span) {
            match parse(&schema.kind, value) {
                Ok(item) => list.items.push((item, span)),
                Err(found) => {
                    self.push_invalid(diagnostics, key, span, &found);
                    list.is_valid = false;
                }
            }
        }
        list
    }

    /// Reads a key that takes one table or a list of tables of that schema. Also returns whether all items are tables.
    pub fn tables(
        &self, diagnostics: &mut Diagnostics<'_>, key: &str, schema: &'static SectionSchema,
    ) -> (Vec<Section<'v, 't>>, bool) {
        let mut all_tables = true;
        let mut tables = Vec::new();
        let items = self.raw(key).map(|(value, span)| one_or_many(value, span)).unwrap_or_default();
        for (value, span) in items {
            match value {
                DeValue::Table(table) => tables.push(Section::open(diagnostics, schema, table, span)),
                _ => {
                    let found = format!("{} is not allowed here", describe(value));
                    self.push_invalid(diagnostics, key, span, &found);
                    all_tables = false;
                }
            }
        }
        (tables, all_tables)
    }
}

/// Returns the items of a list, or the value itself if it is not a list.
fn one_or_many<'v, 't>(value: &'v DeValue<'t>, span: Range<usize>) -> Vec<(&'v DeValue<'t>, Range<usize>)> {
    match value {
        DeValue::Array(items) => items.iter().map(|item| (item.get_ref(), item.span())).collect(),
        _ => vec![(value, span)],
    }
}

/// Parses the schema's default like a value of the file.
fn default<T>(schema: &KeySchema, parse: Parse<T>) -> Option<T> {
    let DefaultValue::Value(text) = schema.default else { return None };
    let value = DeValue::parse(text).ok().and_then(|v| parse(&schema.kind, v.get_ref()).ok());
    Some(value.unwrap_or_else(|| unreachable!("the schema's default of {} is {text}", schema.name)))
}

/// Reports a key that the schema does not have. Returns the key that was most likely meant.
fn push_unknown_key(
    diagnostics: &mut Diagnostics<'_>, schema: &'static SectionSchema, path: &str,
    key: &Spanned<DeString<'_>>,
) -> Option<&'static str> {
    let name = key.get_ref().as_ref();
    let known: Vec<&'static str> = schema.keys.iter().map(|key| key.name).collect();
    let meant = diagnostics.suggest(name, known.iter().copied());
    let elsewhere = SECTIONS.iter().find(|section| section.key(name).is_some());
    let expected = match (meant, elsewhere) {
        (Some(meant), _) => format!("did you mean `{meant}`?"),
        (None, Some(section)) => format!("it belongs to {}", section.header()),
        (None, None) => format!("expected one of {}", known.join(", ")),
    };
    let place = if schema.shape == Shape::Inline { path.to_string() } else { schema.header() };
    let message = format!("unknown key {} in {place}", quoted(name));
    diagnostics.push(Diagnostic::at(key.span(), message, expected));
    meant
}
