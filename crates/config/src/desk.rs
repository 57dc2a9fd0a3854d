//! Where the reader puts down what it finds wrong, instead of stopping at the first. It also knows which parts
//! of the text are so broken that nothing that is found there is news.

use crate::report::{Finding, Report};
use crate::source::Source;
use std::collections::HashMap;
use std::hash::Hash;
use std::ops::Range;

/// So many names are compared for all suggestions of a file together.
const COMPARISONS: usize = 200_000;
/// So many findings are kept; the rest are counted.
const KEPT: usize = 10_000;

/// What the syntax errors have spoilt.
#[derive(Debug, Default)]
pub(crate) struct Damage {
    /// Where the syntax errors are.
    pub errors: Vec<usize>,
    /// What lies here says nothing: syntax errors have moved or cut it.
    pub lost: Vec<Range<usize>>,
    /// Sections of these kinds are missing ...
    pub kinds: Vec<&'static str>,
    /// ... or of any kind.
    pub any_kind: bool,
    /// Where sections begin, in order.
    pub headers: Vec<usize>,
}

impl Damage {
    /// Whether sections of that kind may be missing.
    pub fn hides(&self, kind: &str) -> bool {
        self.any_kind || self.kinds.contains(&kind)
    }

    /// Whether what lies there says nothing.
    pub fn is_lost(&self, at: usize) -> bool {
        self.lost.iter().any(|l| l.contains(&at))
    }
}

/// The findings so far.
#[derive(Debug)]
pub(crate) struct Desk<'t> {
    pub source: &'t Source<'t>,
    pub damage: Damage,
    findings: Vec<Finding>,
    over: usize,
    comparisons: usize,
}

impl<'t> Desk<'t> {
    pub fn new(source: &'t Source<'t>) -> Desk<'t> {
        Desk { source, damage: Damage::default(), findings: Vec::new(), over: 0, comparisons: COMPARISONS }
    }

    /// Puts a finding down, unless it lies where a syntax error has spoilt the text.
    pub fn add(&mut self, finding: Finding) {
        if !finding.at.as_ref().is_some_and(|at| self.damage.is_lost(at.start)) {
            self.add_syntax(finding);
        }
    }

    /// Puts a finding down wherever it lies.
    pub fn add_syntax(&mut self, finding: Finding) {
        match self.findings.len() < KEPT {
            true => self.findings.push(finding),
            false => self.over += 1,
        }
    }

    /// Puts down that something is missing from a table, unless a syntax error in it may have hidden it.
    pub fn missing(&mut self, table: &Range<usize>, finding: Finding) {
        if !self.broken(table) {
            self.add(finding);
        }
    }

    /// Whether a syntax error lies in this table.
    pub fn broken(&self, table: &Range<usize>) -> bool {
        let next = self.damage.headers.partition_point(|h| *h <= table.start);
        let end = self.damage.headers.get(next).copied().unwrap_or(usize::MAX);
        // An inline table ends before the next header; that of a section begins as its header does.
        let inline = self.damage.headers.binary_search(&table.start).is_err();
        let end = if inline { table.end } else { end };
        self.damage.errors.iter().any(|e| (table.start..end).contains(e))
    }

    /// Whether nothing was found.
    pub fn is_clear(&self) -> bool {
        self.findings.is_empty()
    }

    /// The known name that `name` was most likely meant to be.
    pub fn nearest<'n>(&mut self, name: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
        let length = name.chars().count();
        // A third of the letters may be wrong; two in short names, and one in the shortest.
        let most = (length / 3).max(if length < 4 { 1 } else { 2 });
        let mut best: Option<(usize, &str)> = None;
        for candidate in known {
            if candidate.chars().count().abs_diff(length) > most || candidate == name {
                continue;
            }
            let Some(left) = self.comparisons.checked_sub(1) else { break };
            self.comparisons = left;
            let far = strsim::osa_distance(&name.to_lowercase(), &candidate.to_lowercase());
            if far <= most && best.is_none_or(|(least, _)| far < least) {
                best = Some((far, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Puts down every second stand of a thing, with the first.
    pub fn twice<K: Hash + Eq>(
        &mut self, things: impl IntoIterator<Item = (K, Range<usize>)>, what: impl Fn(&K) -> String,
        expected: &str,
    ) {
        let mut first: HashMap<K, Range<usize>> = HashMap::new();
        for (thing, at) in things {
            match first.get(&thing) {
                Some(before) => {
                    let finding = Finding::at(at, what(&thing), expected).also(before.clone(), "first here");
                    self.add(finding);
                }
                None => {
                    first.insert(thing, at);
                }
            }
        }
    }

    /// The report, if anything was found.
    pub fn report(self, file: &str) -> Result<(), Report> {
        match self.findings.is_empty() {
            true => Ok(()),
            false => Err(Report::new(file, self.source, self.findings, self.over)),
        }
    }
}

/// Characters of a text from the file that a message quotes.
const QUOTED: usize = 60;

/// A text from the file as messages quote it.
pub(crate) fn quoted(text: &str) -> String {
    let mut shown: String = text.chars().take(QUOTED).collect();
    if shown.len() < text.len() {
        shown.push('…');
    }
    format!("`{shown}`")
}
