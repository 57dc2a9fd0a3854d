//! Log lines around a breach: those of its proxy, or of all if it is unknown, from two seconds before to
//! one second after. The bounds keep a report readable.

use super::check::{Check, LogLine};
use super::facts::{Facts, SECOND_US};

/// Maximum number of lines around one breach.
pub const MAX_LINES: usize = 12;
/// Maximum length of a line, characters.
pub const MAX_CHARACTERS: usize = 400;
/// Span before the breach.
pub const BACK_US: u64 = 2 * SECOND_US;
/// Span after the breach.
pub const ON_US: u64 = SECOND_US;

/// Adds to each breach the log lines around it, the nearest in time if there are too many.
pub(crate) fn add(checks: &mut [Check], facts: &Facts<'_>) {
    for breach in checks.iter_mut().flat_map(|check| &mut check.breaches) {
        let Some(at_us) = breach.at_us else { continue };
        breach.log = around(facts, at_us, breach.proxy);
    }
}

fn around(facts: &Facts<'_>, at_us: u64, proxy: Option<u32>) -> Vec<LogLine> {
    let (from_us, to_us) = (at_us.saturating_sub(BACK_US), at_us.saturating_add(ON_US));
    let first = facts.logs.partition_point(|log| log.0 < from_us);
    let near = facts.logs[first..].iter().take_while(|log| log.0 <= to_us);
    let mut near: Vec<_> = near.filter(|log| proxy.is_none_or(|p| p == log.1)).collect();
    near.sort_by_key(|log| log.0.abs_diff(at_us));
    near.truncate(MAX_LINES);
    near.sort_by_key(|log| log.0);
    let line = |log: &&(u64, u32, &str)| LogLine {
        at_us: log.0,
        proxy: log.1,
        line: log.2.chars().take(MAX_CHARACTERS).collect(),
    };
    near.iter().map(line).collect()
}
