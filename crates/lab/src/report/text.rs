//! A verdict for a terminal.

use super::tables::{self, Table};
use crate::judge::{Ruling, Verdict};
use std::fmt::Write;

/// The whole report as text, without pictures. About as long as the tables have rows: no run makes it more than some
/// hundreds of lines.
pub fn text(verdict: &Verdict) -> String {
    let findings = &verdict.findings;
    let mut text = String::new();
    let _ = writeln!(text, "{}, seed {}, {}", findings.name, findings.seed, findings.build);
    let _ = writeln!(text, "{}", ruling(verdict));
    for why in verdict.void.iter().chain(&verdict.failed) {
        let _ = writeln!(text, "  {why}");
    }
    for table in tables::all(verdict) {
        write_table(&mut text, &table);
    }
    breaches(&mut text, verdict);
    if !findings.command.is_empty() {
        let _ = writeln!(text, "\nTo repeat: {}", findings.command);
    }
    text
}

/// The result in capitals.
pub(super) fn ruling(verdict: &Verdict) -> &'static str {
    match verdict.ruling {
        Ruling::Passed => "PASSED",
        Ruling::Failed => "FAILED",
        Ruling::Void => "VOID: it shows nothing",
    }
}

fn write_table(text: &mut String, table: &Table) {
    let length = |cell: &str| cell.chars().count();
    let widths: Vec<usize> = (0..table.head.len())
        .map(|column| {
            let cells = table.rows.iter().map(|row| length(&row[column]));
            cells.chain([length(table.head[column])]).max().unwrap_or(0)
        })
        .collect();
    let _ = writeln!(text, "\n{}", table.title);
    let head: Vec<String> = table.head.iter().map(|cell| (*cell).to_owned()).collect();
    for row in std::iter::once(&head).chain(&table.rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "  {}", line.trim_end());
    }
}

fn breaches(text: &mut String, verdict: &Verdict) {
    for check in verdict.findings.checks.iter().filter(|check| check.broken > 0) {
        let _ = writeln!(text, "\n{} broken {} times", check.name, check.broken);
        for breach in &check.breaches {
            let at = breach.at_us.map_or_else(|| "-".into(), tables::seconds);
            let proxy = breach.proxy.map_or_else(String::new, |proxy| format!(" proxy {proxy}"));
            let _ = writeln!(text, "  at {at} s{proxy}: {}", breach.what);
            for line in &breach.log {
                let at = tables::seconds(line.at_us);
                let _ = writeln!(text, "    {at} s proxy {}: {}", line.proxy, printable(&line.line));
            }
        }
    }
}

/// The text without control characters, which a terminal would interpret.
fn printable(line: &str) -> String {
    line.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}
