//! `shaletide record verify`: checks that every row is as it was written.

use super::error::CommandError;
use super::list;
use shaletide_record::{chain, Fact, Row};
use shaletide_store::{verify, Broken, Head, Query, StoreError, StoreReader};
use shaletide_types::error_chain;
use std::io::Write;

/// Checks every row and the head that was noted earlier, and prints the result.
pub fn check(store: &dyn StoreReader, noted: Option<&str>, out: &mut dyn Write) -> Result<(), CommandError> {
    let noted = noted.map(head_of).transpose()?;
    let sums = |before: &[u8; 32], row: &Row| chain::sum(before, row);
    let verified = verify(store, &sums, noted).map_err(|broken| match &broken {
        Broken::Unreadable(StoreError::Corrupt(_)) => {
            CommandError::negative(format!("broken: {}", error_chain(&broken)))
        }
        Broken::Unreadable(_) => CommandError::invalid(error_chain(&broken)),
        _ => CommandError::negative(format!("broken: {broken}")),
    })?;
    if let Some(anchor) = store.anchor()? {
        if !is_prune_recorded(store, &anchor.through)? {
            let through = anchor.through.seq;
            let why = format!("rows up to {through} were pruned, and no row records by whom");
            return Err(CommandError::negative(format!("broken: {why}")));
        }
    }
    let head = verified.head.to_string();
    Ok(writeln!(
        out,
        "whole: {} rows, {} taken out before them\nhead {head}",
        verified.rows, verified.pruned
    )?)
}

fn head_of(text: &str) -> Result<Head, CommandError> {
    let parsed = text.split_once(':').and_then(|(seq, sum)| {
        let sum = shaletide_control::Key::try_from(sum.to_string()).ok()?;
        Some(Head { seq: seq.parse().ok()?, sum: sum.0.try_into().ok()?, run: 0 })
    });
    parsed
        .ok_or_else(|| CommandError::invalid(format!("--head {text}: expected ROW:SUM as verify prints it")))
}

/// Returns whether a row records that all rows up to this one were pruned.
fn is_prune_recorded(store: &dyn StoreReader, through: &Head) -> Result<bool, StoreError> {
    let sum = chain::hex(&through.sum);
    let records_prune = |row: &Row| match Fact::of(row) {
        Fact::Pruned { through: seq, sum: is, .. } => seq == through.seq && is == sum,
        _ => false,
    };
    let mut query = Query { kind: Some("pruned".into()), ..Query::default() };
    loop {
        let page = list::rows(store, &mut query, u64::MAX)?;
        if page.is_empty() || page.iter().any(records_prune) {
            return Ok(!page.is_empty());
        }
    }
}
