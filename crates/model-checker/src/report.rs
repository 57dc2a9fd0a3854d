//! A world's row: what was looked at, and whether anything was left.

use crate::search::Found;
use crate::world::World;

/// The head of the table.
pub const HEAD: &str = "\
| world | bounds | states | transitions | depth | seconds | memory | exhausted |
|---|---|--:|--:|--:|--:|--:|---|";

/// A world's row of the table.
pub fn row(world: &World, found: &Found) -> String {
    let exhausted = match (&found.counterexample, found.exhausted) {
        (Some(c), _) => format!("no: a rule is broken after {} steps", c.steps.len()),
        (None, true) => "yes".to_string(),
        (None, false) => "no: a limit was hit".to_string(),
    };
    format!(
        "| {} | {} | {} | {} | {} | {:.1} | {} MB | {exhausted} |",
        world.name,
        world.bounds(),
        grouped(found.states as u64),
        grouped(found.transitions),
        found.depth,
        found.took.as_secs_f64(),
        (found.bytes >> 20).max(1),
    )
}

/// 1234567 as 1,234,567.
fn grouped(number: u64) -> String {
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
