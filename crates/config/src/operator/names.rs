//! The names of classes, tenants, pools and routes, and the lookup of references to them.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::document::Sections;
use crate::schema::one_of;
use std::collections::HashMap;
use std::ops::Range;

/// Maximum number of known names that the message about an unknown name lists.
const MAX_LISTED_NAMES: usize = 8;

/// Names in order, and the number of each.
#[derive(Debug)]
pub(crate) struct NameIndex {
    /// The kind of item that has these names, for messages.
    noun: &'static str,
    names: Vec<(String, Range<usize>)>,
    numbers: HashMap<String, usize>,
    /// Whether every name is known. If not, a name that is not found may be one that an error hides.
    is_complete: bool,
}

impl NameIndex {
    /// Creates an index of names that are not from the file.
    pub fn of_names(noun: &'static str, names: impl IntoIterator<Item = String>) -> NameIndex {
        let names: Vec<_> = names.into_iter().map(|name| (name, 0..0)).collect();
        let numbers = names.iter().enumerate().map(|(number, (name, _))| (name.clone(), number)).collect();
        NameIndex { noun, names, numbers, is_complete: true }
    }

    /// Creates an index of the `name` of each section and reports duplicates. An invalid name is included, so that
    /// references to it are not reported as well.
    pub fn of_sections(
        diagnostics: &mut Diagnostics<'_>, noun: &'static str, sections: &Sections<'_, '_>,
    ) -> NameIndex {
        let mut index =
            NameIndex { noun, names: Vec::new(), numbers: HashMap::new(), is_complete: sections.is_complete };
        for (number, section) in sections.items.iter().enumerate() {
            let field = section.name(diagnostics, "name");
            let raw = section.raw("name").and_then(|(value, _)| Some(value.as_str()?.trim().to_string()));
            let name = field.value.or(raw);
            let span = field.span.unwrap_or(section.span.clone());
            index.is_complete &= name.is_some() && !diagnostics.damage.is_unreadable(span.start);
            index.names.push((name.clone().unwrap_or_default(), span));
            if let Some(name) = name {
                index.numbers.entry(name).or_insert(number);
            }
        }
        let known = index.names.iter().filter(|(name, _)| !name.is_empty()).cloned();
        let message = |name: &String| format!("the {noun} {} is defined twice", quoted(name));
        diagnostics.push_duplicates(known, message, "expected another name");
        index
    }

    /// Returns the index with `first` put before the other names, whose numbers grow by one.
    pub fn with_first(&self, first: &str) -> NameIndex {
        let mut names = vec![(first.to_string(), 0..0)];
        names.extend(self.names.iter().cloned());
        let mut numbers: HashMap<String, usize> =
            self.numbers.iter().map(|(name, number)| (name.clone(), number + 1)).collect();
        numbers.insert(first.into(), 0);
        NameIndex { noun: self.noun, names, numbers, is_complete: self.is_complete }
    }

    /// Returns the names in order; unknown names are empty.
    pub fn in_order(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|(name, _)| name.as_str())
    }

    /// Returns the span of the name with that number.
    pub fn span(&self, number: usize) -> Range<usize> {
        self.names.get(number).map_or(0..0, |(_, span)| span.clone())
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns the number of a name; reports an unknown name. `path` is the key that refers to it.
    pub fn find(
        &self, diagnostics: &mut Diagnostics<'_>, path: &str, name: &str, span: Range<usize>,
    ) -> Option<usize> {
        let number = self.numbers.get(name).copied();
        if number.is_none() && self.is_complete {
            let message = format!("{path}: there is no {} {}", self.noun, quoted(name));
            let meant = diagnostics.suggest(name, self.in_order());
            let expected = match (meant, self.names.as_slice()) {
                (Some(meant), _) => format!("did you mean \"{meant}\"?"),
                (None, []) => format!("the file defines no {}", self.noun),
                (None, names) if names.len() <= MAX_LISTED_NAMES => {
                    let known: Vec<&str> = self.in_order().collect();
                    format!("expected {}", one_of(&known))
                }
                (None, _) => format!("expected the name of a {}", self.noun),
            };
            diagnostics.push(Diagnostic::at(span, message, expected));
        }
        number
    }
}
