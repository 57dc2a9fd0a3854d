//! The result of a check: how many cases it judged, and which broke it.

use serde::{Deserialize, Serialize};

/// Maximum number of breaches of a check that are kept with a description; all are counted.
pub const MAX_BREACHES: usize = 20;

/// The consequence of a breach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A rule of the product: the run fails.
    Rule,
    /// The lab's own accounts: the run is void.
    Lab,
}

/// A line of a proxy's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// When it was read.
    pub at_us: u64,
    /// The proxy.
    pub proxy: u32,
    /// The line, cut to 400 characters.
    pub line: String,
}

/// A case that broke a check.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Breach {
    /// When.
    pub at_us: Option<u64>,
    /// The proxy that it went through, where that is known.
    pub proxy: Option<u32>,
    /// A description.
    pub what: String,
    /// Log lines around it, see [`super::excerpt`].
    pub log: Vec<LogLine>,
}

/// A check over a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// Its name, the same in every run.
    pub name: &'static str,
    /// The consequence of a breach.
    pub kind: Kind,
    /// Cases that it judged: with none, it shows nothing.
    pub judged: u64,
    /// Cases that broke it.
    pub broken: u64,
    /// The first of them.
    pub breaches: Vec<Breach>,
}

impl Check {
    /// A check without cases yet.
    pub(crate) fn new(name: &'static str, kind: Kind) -> Check {
        Check { name, kind, judged: 0, broken: 0, breaches: Vec::new() }
    }

    /// Counts a case that broke it, and keeps it up to the maximum.
    pub(crate) fn breach(&mut self, at_us: Option<u64>, proxy: Option<u32>, what: impl FnOnce() -> String) {
        self.broken += 1;
        if self.breaches.len() < MAX_BREACHES {
            self.breaches.push(Breach { at_us, proxy, what: what(), log: Vec::new() });
        }
    }
}
