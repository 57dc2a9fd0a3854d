//! One table of the file under its schema: unknown keys are found when it is opened, and each value is read by
//! the kind, range and default that the schema has for it.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::schema::{self, Default, Key, Kind, Shape, SECTIONS};
use crate::values::{self, describe, Found};
use shaletide_balancer::Micros;
use std::ops::Range;
use toml::de::{DeString, DeTable, DeValue};
use toml::Spanned;

/// What a key holds.
#[derive(Clone, Debug)]
pub(crate) struct Field<T> {
    /// The value or its default; none where it is absent without a default, and where it was wrong.
    pub value: Option<T>,
    /// Where it stands; none: it is absent.
    pub at: Option<Range<usize>>,
}

impl<T> Field<T> {
    /// The value; where something was wrong, and so the whole file is refused, a stand-in.
    pub fn or(self, stand_in: T) -> T {
        self.value.unwrap_or(stand_in)
    }

    /// Whether it stands in the file and is wrong.
    pub fn is_wrong(&self) -> bool {
        self.at.is_some() && self.value.is_none()
    }
}

/// What a key holds that takes one thing or a list of them.
#[derive(Clone, Debug)]
pub(crate) struct Listed<T> {
    /// Those that were right.
    pub items: Vec<(T, Range<usize>)>,
    /// Whether none was wrong.
    pub sound: bool,
    /// Where the whole stands; none: it is absent.
    pub at: Option<Range<usize>>,
}

/// How a kind of value is read.
type Parse<T> = fn(&Kind, &DeValue<'_>) -> Found<T>;

/// A table under its schema.
#[derive(Clone, Debug)]
pub(crate) struct Section<'v, 't> {
    schema: &'static schema::Section,
    /// The path to its keys.
    path: String,
    table: Option<&'v DeTable<'t>>,
    /// Keys that stand under a name near to theirs: they are neither missing nor at their defaults.
    misspelled: Vec<(&'static str, Range<usize>)>,
    /// Where its header stands, or the whole of an inline table.
    pub at: Range<usize>,
}

impl<'v, 't> Section<'v, 't> {
    /// The table; puts down each key that the schema does not know.
    pub fn open(
        diagnostics: &mut Diagnostics<'_>, schema: &'static schema::Section, table: &'v DeTable<'t>,
        at: Range<usize>,
    ) -> Section<'v, 't> {
        Section::open_at(diagnostics, schema, schema.name.into(), table, at)
    }

    /// The same for a table that stands in more than one place: with the path to its keys.
    pub fn open_at(
        diagnostics: &mut Diagnostics<'_>, schema: &'static schema::Section, path: String,
        table: &'v DeTable<'t>, at: Range<usize>,
    ) -> Section<'v, 't> {
        let mut misspelled = Vec::new();
        for key in table.keys().filter(|key| schema.key(key.get_ref()).is_none()) {
            let near = push_unknown_key(diagnostics, schema, &path, key);
            misspelled.extend(near.map(|near| (near, key.span())));
        }
        Section { schema, path, table: Some(table), misspelled, at }
    }

    /// A table that is absent: all its keys have their defaults.
    pub fn absent(schema: &'static schema::Section) -> Section<'v, 't> {
        Section { schema, path: schema.name.into(), table: None, misspelled: Vec::new(), at: 0..0 }
    }

    /// Whether the file has it.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Where a key stands under a wrong name.
    pub fn misspelled(&self, key: &str) -> Option<Range<usize>> {
        self.misspelled.iter().find(|(name, _)| *name == key).map(|(_, at)| at.clone())
    }

    /// The name of a key with the path to it.
    pub fn path(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    fn known(&self, key: &str) -> &'static Key {
        let known = self.schema.key(key);
        known.unwrap_or_else(|| unreachable!("the schema lacks {}.{key}", self.schema.name))
    }

    /// The value of a key as it stands, and where.
    pub fn raw(&self, key: &str) -> Option<(&'v DeValue<'t>, Range<usize>)> {
        let value = self.table?.get(key)?;
        Some((value.get_ref(), value.span()))
    }

    /// Puts down that a value is not what was expected.
    pub fn push_invalid(&self, diagnostics: &mut Diagnostics<'_>, key: &str, at: Range<usize>, found: &str) {
        let known = self.known(key);
        let diagnostic = Diagnostic::at(at.clone(), format!("{}: {found}", self.path(key)), {
            format!("expected {}", known.kind.expected())
        });
        let word = diagnostics.source.text.get(at).unwrap_or("").trim_matches(['"', '\'']);
        let help = match known.kind {
            Kind::Word(words) => {
                diagnostics.suggest(word, words.iter().copied()).map(|w| format!("did you mean \"{w}\"?"))
            }
            Kind::Address if word.starts_with("localhost") => Some("names are not looked up".into()),
            Kind::Methods if word.bytes().any(|b| b.is_ascii_lowercase()) => {
                Some("methods stand in capitals".into())
            }
            _ => None,
        };
        diagnostics.push(Diagnostic { help, ..diagnostic });
    }

    /// Puts down that a key is missing.
    pub fn push_missing(&self, diagnostics: &mut Diagnostics<'_>, key: &str) {
        let expected = format!("expected `{key}`: {}", self.known(key).kind.expected());
        let what = format!("{} is missing", self.path(key));
        diagnostics.push_missing(&self.at, Diagnostic::at(self.at.clone(), what, expected));
    }

    /// Reads a key.
    pub fn read<T>(&self, diagnostics: &mut Diagnostics<'_>, key: &str, parse: Parse<T>) -> Field<T> {
        let known = self.known(key);
        let Some((value, at)) = self.raw(key) else {
            if let Some(at) = self.misspelled(key) {
                return Field { value: None, at: Some(at) };
            }
            if known.default == Default::Must {
                self.push_missing(diagnostics, key);
            }
            return Field { value: default(known, parse), at: None };
        };
        let found = parse(&known.kind, value);
        let value = found.map_err(|found| self.push_invalid(diagnostics, key, at.clone(), &found)).ok();
        Field { value, at: Some(at) }
    }

    pub fn span(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<Micros> {
        self.read(diagnostics, key, values::span)
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

    pub fn word(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<&'static str> {
        self.read(diagnostics, key, values::word)
    }

    /// A whole number in a range that fits.
    pub fn count(&self, diagnostics: &mut Diagnostics<'_>, key: &str) -> Field<u32> {
        let field = self.read(diagnostics, key, values::count);
        let small =
            |n| u32::try_from(n).unwrap_or_else(|_| unreachable!("the schema's range of {key} is too wide"));
        Field { value: field.value.map(small), at: field.at }
    }

    /// One thing or a list of them; not an empty list, and nothing twice.
    pub fn listed<T: Clone + Eq + std::hash::Hash>(
        &self, diagnostics: &mut Diagnostics<'_>, key: &str, parse: Parse<T>,
    ) -> Listed<T> {
        let listed = self.items(diagnostics, key, parse);
        if listed.sound && listed.items.is_empty() {
            if let Some(at) = listed.at.clone() {
                self.push_invalid(diagnostics, key, at, "this list is empty");
                return Listed { sound: false, ..listed };
            }
        }
        let path = self.path(key);
        let again = listed.items.iter().cloned();
        diagnostics.push_duplicates(again, |_| format!("{path}: this stands twice"), "expected each once");
        listed
    }

    /// One thing or a list of them.
    pub fn items<T>(&self, diagnostics: &mut Diagnostics<'_>, key: &str, parse: Parse<T>) -> Listed<T> {
        let known = self.known(key);
        let Some((value, at)) = self.raw(key) else {
            if let Some(at) = self.misspelled(key) {
                return Listed { items: Vec::new(), sound: false, at: Some(at) };
            }
            if known.default == Default::Must {
                self.push_missing(diagnostics, key);
            }
            return Listed { items: Vec::new(), sound: known.default != Default::Must, at: None };
        };
        let mut listed = Listed { items: Vec::new(), sound: true, at: Some(at.clone()) };
        let one = [(value, at)];
        let each: Vec<_> = match value {
            DeValue::Array(items) => items.iter().map(|i| (i.get_ref(), i.span())).collect(),
            _ => one.to_vec(),
        };
        for (value, at) in each {
            match parse(&known.kind, value) {
                Ok(item) => listed.items.push((item, at)),
                Err(found) => {
                    self.push_invalid(diagnostics, key, at, &found);
                    listed.sound = false;
                }
            }
        }
        listed
    }

    /// The tables of a key that takes one or a list of them, each under that schema.
    pub fn tables(
        &self, diagnostics: &mut Diagnostics<'_>, key: &str, schema: &'static schema::Section,
    ) -> (Vec<Section<'v, 't>>, bool) {
        let mut sound = true;
        let mut tables = Vec::new();
        let each: Vec<_> = match self.raw(key) {
            Some((DeValue::Array(items), _)) => items.iter().map(|i| (i.get_ref(), i.span())).collect(),
            one => one.into_iter().collect(),
        };
        for (value, at) in each {
            match value {
                DeValue::Table(table) => tables.push(Section::open(diagnostics, schema, table, at)),
                _ => {
                    self.push_invalid(
                        diagnostics,
                        key,
                        at,
                        &format!("{} does not fit here", describe(value)),
                    );
                    sound = false;
                }
            }
        }
        (tables, sound)
    }
}

/// The schema's default, read as the file's own text would be.
fn default<T>(key: &Key, parse: Parse<T>) -> Option<T> {
    let Default::Is(text) = key.default else { return None };
    let value = DeValue::parse(text).ok().and_then(|v| parse(&key.kind, v.get_ref()).ok());
    Some(value.unwrap_or_else(|| unreachable!("the schema's default of {} is {text}", key.name)))
}

/// Puts down a key that the schema does not know; gives the one that was most likely meant.
fn push_unknown_key(
    diagnostics: &mut Diagnostics<'_>, schema: &'static schema::Section, path: &str,
    key: &Spanned<DeString<'_>>,
) -> Option<&'static str> {
    let (name, at) = (key.get_ref().as_ref(), key.span());
    let known: Vec<&'static str> = schema.keys.iter().map(|k| k.name).collect();
    let near = diagnostics.suggest(name, known.iter().copied());
    let elsewhere = SECTIONS.iter().find(|s| s.key(name).is_some());
    let expected = match (near, elsewhere) {
        (Some(near), _) => format!("did you mean `{near}`?"),
        (None, Some(section)) => format!("it belongs to {}", section.header()),
        (None, None) => format!("expected one of {}", known.join(", ")),
    };
    let place = if schema.shape == Shape::Inline { path.to_string() } else { schema.header() };
    diagnostics.push(Diagnostic::at(at, format!("unknown key {} in {place}", quoted(name)), expected));
    near
}
