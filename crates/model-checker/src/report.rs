//! The result table: one row per model with its bounds, counts and whether it was exhausted.

use crate::model::Model;
use crate::search::Exploration;

/// The header of the table.
pub const TABLE_HEADER: &str = "\
| world | bounds | states | transitions | depth | seconds | memory | exhausted |
|---|---|--:|--:|--:|--:|--:|---|";

/// Returns the table row of a model.
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

/// Formats 1234567 as 1,234,567.
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
