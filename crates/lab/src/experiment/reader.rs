//! One table of the file: each key is read with its type, range and default; the remaining keys are unknown.

use super::findings::Findings;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Maximum number of items in a list.
const ITEMS: usize = 1_000;
/// Maximum length of a name, characters.
const NAME: usize = 64;
/// Maximum length of a text, bytes.
const TEXT: usize = 64 << 10;

/// Seconds as they are written in a file.
pub(super) fn shown(time: Duration) -> String {
    humantime::format_duration(time).to_string()
}

/// A table with its path and the keys that were read.
pub(super) struct Table<'d> {
    path: String,
    table: Option<&'d DeTable<'d>>,
    /// The span of its header, or of the whole inline table.
    pub at: Range<usize>,
    known: RefCell<BTreeSet<&'static str>>,
    findings: &'d RefCell<Findings>,
}

impl<'d> Table<'d> {
    pub fn new(
        path: String, table: Option<&'d DeTable<'d>>, at: Range<usize>, findings: &'d RefCell<Findings>,
    ) -> Table<'d> {
        Table { path, table, at, known: RefCell::default(), findings }
    }

    /// Reports a mistake.
    pub fn wrong(&self, at: Range<usize>, what: impl Into<String>, expected: impl Into<String>) {
        self.findings.borrow_mut().add(at, what, expected);
    }

    /// Reports a mistake in a key's value, with its path; in the whole table where it is absent.
    pub fn wrong_key(&self, key: &str, what: &str, expected: impl Into<String>) {
        let at = self.place(key).unwrap_or_else(|| self.at.clone());
        self.wrong(at, format!("{}: {what}", self.key(key)), expected);
    }

    pub fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// The span of a key's value.
    pub fn place(&self, key: &str) -> Option<Range<usize>> {
        Some(self.table?.get(key)?.span())
    }

    fn raw(&self, key: &'static str) -> Option<&'d Spanned<DeValue<'d>>> {
        self.known.borrow_mut().insert(key);
        self.table?.get(key)
    }

    /// A key's value by `read`; none where it is absent, or wrong, which is reported.
    fn read<T>(
        &self, key: &'static str, expected: &str, read: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.raw(key)?;
        let found = read(value.get_ref());
        if found.is_none() {
            let text = describe(value.get_ref());
            self.wrong(
                value.span(),
                format!("{}: {text} does not do", self.key(key)),
                format!("expected {expected}"),
            );
        }
        found
    }

    fn required<T>(&self, key: &'static str, expected: &str, found: Option<T>, stand_in: T) -> T {
        if self.place(key).is_none() {
            self.wrong(
                self.at.clone(),
                format!("{} is missing", self.key(key)),
                format!("expected {expected}"),
            );
        }
        found.unwrap_or(stand_in)
    }

    /// A duration within bounds.
    pub fn time(&self, key: &'static str, within: RangeInclusive<Duration>) -> Option<Duration> {
        let expected =
            format!("a time from {} to {}, such as \"2s\"", shown(*within.start()), shown(*within.end()));
        self.read(key, &expected, |value| {
            let time = humantime::parse_duration(value.as_str()?).ok()?;
            within.contains(&time).then_some(time)
        })
    }

    /// A duration with bounds in seconds and a default.
    pub fn time_or(&self, key: &'static str, within_s: (f64, f64), default_s: f64) -> Duration {
        let [from, to, default] = [within_s.0, within_s.1, default_s].map(Duration::from_secs_f64);
        self.time(key, from..=to).unwrap_or(default)
    }

    /// A required duration.
    pub fn time_needed(&self, key: &'static str, within_s: (f64, f64)) -> Duration {
        let [from, to] = [within_s.0, within_s.1].map(Duration::from_secs_f64);
        let found = self.time(key, from..=to);
        self.required(key, &format!("a time from {} to {}", shown(from), shown(to)), found, from)
    }

    /// A number within bounds, integer or float.
    pub fn number(&self, key: &'static str, within: (f64, f64)) -> Option<f64> {
        self.read(key, &format!("a number from {} to {}", within.0, within.1), |value| {
            let number = match value {
                DeValue::Float(f) => f.as_str().replace('_', "").parse::<f64>().ok()?,
                DeValue::Integer(i) => {
                    i64::from_str_radix(&i.as_str().replace('_', ""), i.radix()).ok()? as f64
                }
                _ => return None,
            };
            (within.0..=within.1).contains(&number).then_some(number)
        })
    }

    pub fn number_or(&self, key: &'static str, within: (f64, f64), default: f64) -> f64 {
        self.number(key, within).unwrap_or(default)
    }

    pub fn number_needed(&self, key: &'static str, within: (f64, f64)) -> f64 {
        let found = self.number(key, within);
        self.required(key, &format!("a number from {} to {}", within.0, within.1), found, within.0)
    }

    /// An integer within bounds.
    pub fn whole(&self, key: &'static str, within: (u64, u64)) -> Option<u64> {
        self.read(key, &format!("a whole number from {} to {}", within.0, within.1), |value| match value {
            DeValue::Integer(i) => {
                let number = u64::from_str_radix(&i.as_str().replace('_', ""), i.radix()).ok()?;
                (within.0..=within.1).contains(&number).then_some(number)
            }
            _ => None,
        })
    }

    pub fn whole_or(&self, key: &'static str, within: (u64, u64), default: u64) -> u64 {
        self.whole(key, within).unwrap_or(default)
    }

    /// One of the given words.
    pub fn word(&self, key: &'static str, words: &[&'static str]) -> Option<&'static str> {
        let expected = words.iter().map(|w| format!("\"{w}\"")).collect::<Vec<_>>().join(", ");
        self.read(key, &format!("one of {expected}"), |value| {
            let text = value.as_str()?;
            words.iter().find(|word| **word == text).copied()
        })
    }

    /// A required word; empty where it is absent or wrong.
    pub fn word_needed(&self, key: &'static str, words: &[&'static str]) -> &'static str {
        let found = self.word(key, words);
        let expected = words.iter().map(|w| format!("\"{w}\"")).collect::<Vec<_>>().join(", ");
        self.required(key, &format!("one of {expected}"), found, "")
    }

    /// Free text.
    pub fn text(&self, key: &'static str) -> Option<String> {
        let expected = format!("text of up to {TEXT} bytes");
        self.read(key, &expected, |value| Some(value.as_str().filter(|t| t.len() <= TEXT)?.to_string()))
    }

    /// An address of 127.0.0.0/8 with room for the following ones.
    pub fn loopback(&self, key: &'static str) -> Option<Ipv4Addr> {
        self.read(key, "an address from \"127.0.0.1\" to \"127.255.255.1\"", |value| {
            let address: Ipv4Addr = value.as_str()?.parse().ok()?;
            (address.is_loopback() && address <= Ipv4Addr::new(127, 255, 255, 1)).then_some(address)
        })
    }

    /// A name of letters, digits, `-`, `_` and `.`.
    pub fn name(&self, key: &'static str) -> Option<String> {
        self.read(key, NAMES, |value| named(value.as_str()?))
    }

    pub fn name_needed(&self, key: &'static str) -> String {
        let found = self.name(key);
        self.required(key, NAMES, found, String::new())
    }

    /// A name or a list of names, each with its span.
    pub fn names(&self, key: &'static str) -> Vec<(String, Range<usize>)> {
        let Some(value) = self.raw(key) else { return Vec::new() };
        let mut names = Vec::new();
        let mut take = |value: &Spanned<DeValue<'_>>| match value.get_ref().as_str().and_then(named) {
            Some(name) => names.push((name, value.span())),
            None => {
                let what = format!("{}: {} does not do", self.key(key), describe(value.get_ref()));
                self.wrong(value.span(), what, format!("expected {NAMES}"));
            }
        };
        match value.get_ref() {
            DeValue::Array(items) => items.iter().take(ITEMS).for_each(&mut take),
            _ => take(value),
        }
        names
    }

    /// A table, or an empty one where it is absent.
    pub fn table(&self, key: &'static str) -> Table<'d> {
        let value = self.raw(key);
        let inner = value.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            _ => {
                self.wrong(
                    value.span(),
                    format!("{} is no table", self.key(key)),
                    format!("expected [{key}]"),
                );
                None
            }
        });
        let at = value.map_or(self.at.clone(), Spanned::span);
        Table::new(self.key(key), inner, at, self.findings)
    }

    /// An array of tables.
    pub fn tables(&self, key: &'static str) -> Vec<Table<'d>> {
        let Some(value) = self.raw(key) else { return Vec::new() };
        let mut tables = Vec::new();
        let items = match value.get_ref() {
            DeValue::Array(items) => items.iter().take(ITEMS).collect(),
            _ => vec![value],
        };
        for item in items {
            match item.get_ref() {
                DeValue::Table(table) if matches!(value.get_ref(), DeValue::Array(_)) => {
                    tables.push(Table::new(self.key(key), Some(table), item.span(), self.findings));
                }
                _ => self.wrong(item.span(), format!("{} is no list of tables", self.key(key)), {
                    format!("expected [[{key}]]")
                }),
            }
        }
        tables
    }

    /// Whether the table has a key; the key then counts as read.
    pub fn has(&self, key: &'static str) -> bool {
        self.raw(key).is_some()
    }

    /// Reports the keys that were not read as unknown.
    pub fn end(&self) {
        let known = self.known.borrow();
        let Some(table) = self.table else { return };
        for key in table.keys().filter(|key| !known.contains(key.get_ref().as_ref())) {
            let all = known.iter().copied().collect::<Vec<_>>().join(", ");
            let what = format!("{} is unknown", self.key(key.get_ref()));
            self.wrong(key.span(), what, format!("expected one of: {all}"));
        }
    }
}

const NAMES: &str = "a name of up to 64 letters, digits, `-`, `_`, `.`";

fn named(text: &str) -> Option<String> {
    let sound = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (!text.is_empty() && text.len() <= NAME && text.chars().all(sound)).then(|| text.to_string())
}

fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("\"{}\"", text.chars().take(40).collect::<String>()),
        DeValue::Integer(number) => number.as_str().chars().take(40).collect(),
        DeValue::Float(number) => number.as_str().chars().take(40).collect(),
        DeValue::Boolean(value) => value.to_string(),
        DeValue::Datetime(_) => "a date".into(),
        DeValue::Array(_) => "a list".into(),
        DeValue::Table(_) => "a table".into(),
    }
}
