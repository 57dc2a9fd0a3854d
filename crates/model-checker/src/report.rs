//! A world's row: what was looked at, and whether anything was left.

use crate::model::Model;
use crate::search::Exploration;

/// The head of the table.
pub const TABLE_HEADER: &str = "\
| world | bounds | states | transitions | depth | seconds | memory | exhausted |
|---|---|--:|--:|--:|--:|--:|---|";

/// A world's row of the table.
pub fn table_row(model: &Model, found: &Exploration) -> String {
    let exhausted = match (&found.counterexample, found.exhausted) {
        (Some(c), _) => format!("no: a rule is broken after {} steps", c.steps.len()),
        (None, true) => "yes".to_string(),
        (None, false) => "no: a limit was hit".to_string(),
    };
    format!(
        "| {} | {} | {} | {} | {} | {:.1} | {} MB | {exhausted} |",
        model.name,
        model.bounds(),
        with_thousands_separators(found.states as u64),
        with_thousands_separators(found.transitions),
        found.depth,
        found.took.as_secs_f64(),
        (found.bytes >> 20).max(1),
    )
}

/// 1234567 as 1,234,567.
fn with_thousands_separators(number: u64) -> String {
    let digits = number.to_string();
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

#[cfg(test)]
mod tests;
