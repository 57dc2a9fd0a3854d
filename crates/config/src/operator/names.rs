//! The names of classes, tenants and pools, and what refers to them.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::section::Section;
use std::collections::HashMap;
use std::ops::Range;

/// Names in their order.
#[derive(Debug)]
pub(crate) struct Index {
    what: &'static str,
    names: Vec<(String, Range<usize>)>,
    numbers: HashMap<String, usize>,
    /// Whether every name is known: if not, one that is not found may be among the lost.
    complete: bool,
}

impl Index {
    /// The names of things that come from elsewhere.
    pub fn given(what: &'static str, names: impl IntoIterator<Item = String>) -> Index {
        let names: Vec<_> = names.into_iter().map(|n| (n, 0..0)).collect();
        let numbers = names.iter().enumerate().map(|(n, (name, _))| (name.clone(), n)).collect();
        Index { what, names, numbers, complete: true }
    }

    /// The `name` of each section; puts down those that stand twice. A name that is wrong still counts as one,
    /// so that what refers to it is no second problem.
    pub fn read(
        diagnostics: &mut Diagnostics<'_>, what: &'static str, sections: &[Section<'_, '_>], all: bool,
    ) -> Index {
        let mut index = Index { what, names: Vec::new(), numbers: HashMap::new(), complete: all };
        for (number, section) in sections.iter().enumerate() {
            let field = section.name(diagnostics, "name");
            let raw = section.raw("name").and_then(|(value, _)| Some(value.as_str()?.trim().to_string()));
            let (name, at) = (field.value.or(raw), field.at.unwrap_or(section.at.clone()));
            index.complete &= name.is_some() && !diagnostics.damage.is_unreadable(at.start);
            index.names.push((name.clone().unwrap_or_default(), at));
            if let Some(name) = name {
                index.numbers.entry(name).or_insert(number);
            }
        }
        let named = index.names.iter().filter(|(name, _)| !name.is_empty()).cloned();
        let twice = |name: &String| format!("the {what} {} stands twice", quoted(name));
        diagnostics.push_duplicates(named, twice, "expected another name");
        index
    }

    /// The same names, each with the next number, behind one more.
    pub fn behind(&self, first: &str) -> Index {
        let mut names = vec![(first.to_string(), 0..0)];
        names.extend(self.names.iter().cloned());
        let mut numbers: HashMap<String, usize> =
            self.numbers.iter().map(|(k, n)| (k.clone(), n + 1)).collect();
        numbers.insert(first.into(), 0);
        Index { what: self.what, names, numbers, complete: self.complete }
    }

    /// The names in their order; those that are lost are empty.
    pub fn in_order(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|(name, _)| name.as_str())
    }

    /// Where that name stands.
    pub fn place(&self, number: usize) -> Range<usize> {
        self.names.get(number).map_or(0..0, |(_, at)| at.clone())
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// The number of a name; puts down a name that nothing has.
    pub fn find(
        &self, diagnostics: &mut Diagnostics<'_>, path: &str, name: &str, at: Range<usize>,
    ) -> Option<usize> {
        let found = self.numbers.get(name).copied();
        if found.is_none() && self.complete {
            let what = format!("{path}: there is no {} {}", self.what, quoted(name));
            let near = diagnostics.suggest(name, self.in_order());
            let expected = match (near, self.names.as_slice()) {
                (Some(near), _) => format!("did you mean \"{near}\"?"),
                (None, []) => format!("the file has no {} at all", self.what),
                (None, names) if names.len() <= 8 => {
                    let known: Vec<&str> = self.in_order().collect();
                    format!("expected {}", crate::schema::one_of(&known))
                }
                (None, _) => format!("expected the name of a {}", self.what),
            };
            diagnostics.push(Diagnostic::at(at, what, expected));
        }
        found
    }
}
