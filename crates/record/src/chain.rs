//! The checksum chain over the rows of one store. It detects an edited row, a missing row and truncation.
//!
//! The sum of a row is the SHA-256 of the preceding row's sum followed by the row's canonical bytes. The sum that precedes
//! the first row is all zeros. The canonical bytes are the following fields in this order; a number is eight bytes, big-endian:
//!
//! - `seq`, `at`, `run`;
//! - `kind`: length in bytes, then the bytes;
//! - `request`: a 0 byte if there is none, else a 1 byte and the number;
//! - `key`: a 0 byte if there is none, else a 1 byte and tenant, class and key, each as length and bytes;
//! - `backend`: a 0 byte if there is none, else a 1 byte, length and bytes;
//! - `body`: length and bytes.
//!
//! Every field is self-delimiting, so two different rows never have the same bytes.

use crate::fact::Fact;
use crate::row::Row;
use sha2::{Digest, Sha256};

/// The last row of a chain. The default is a chain without rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// The number of the last row, counted from 1.
    pub seq: u64,
    /// The sum of the last row.
    pub head: [u8; 32],
}

/// The place and the cause of a break in a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The number of the first invalid or missing row.
    pub seq: u64,
    /// Why the row is invalid.
    pub cause: BreakCause,
}

/// Why a row is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// The row is missing and another one is in its place.
    Missing {
        /// The number of the row found instead.
        found: u64,
    },
    /// The sum does not match the row's content and the preceding rows.
    Sum,
    /// The sum matches the content, but differs from the known head.
    Known,
    /// The rows end before the known head.
    Cut,
    /// The rows start after an anchor, but no row records a prune up to that anchor.
    Anchor,
}

impl Chain {
    /// Appends a row: sets its number and its sum.
    pub fn add(&mut self, row: &mut Row) {
        row.seq = self.seq + 1;
        row.sum = sum(&self.head, row);
        *self = Chain { seq: row.seq, head: row.sum };
    }
}

/// Returns the sum of a row that follows one with the sum `before`. The row's own `sum` is not read.
pub fn sum(before: &[u8; 32], row: &Row) -> [u8; 32] {
    Sha256::new().chain_update(before).chain_update(canonical(row)).finalize().into()
}

/// Returns the canonical bytes of a row, over which its sum is computed.
pub fn canonical(row: &Row) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64 + row.kind.len() + row.body.len());
    [row.seq, row.at.0, row.run].iter().for_each(|n| bytes.extend(n.to_be_bytes()));
    push_field(&mut bytes, row.kind.as_bytes());
    bytes.push(row.request.is_some().into());
    row.request.iter().for_each(|n| bytes.extend(n.to_be_bytes()));
    bytes.push(row.key.is_some().into());
    if let Some(key) = &row.key {
        push_field(&mut bytes, key.tenant.as_bytes());
        push_field(&mut bytes, key.class.as_bytes());
        push_field(&mut bytes, &key.key);
    }
    bytes.push(row.backend.is_some().into());
    row.backend.iter().for_each(|name| push_field(&mut bytes, name.as_bytes()));
    push_field(&mut bytes, row.body.as_bytes());
    bytes
}

/// Appends the length and the bytes of a field.
pub(crate) fn push_field(bytes: &mut Vec<u8>, field: &[u8]) {
    bytes.extend((field.len() as u64).to_be_bytes());
    bytes.extend(field);
}

/// Verifies the sums of the rows that follow `anchor`, which is the default or the last pruned row. `known` is a head that
/// was logged or exported earlier and that the rows must contain.
///
/// # Errors
/// Returns the first invalid or missing row.
pub fn verify(
    anchor: Chain, rows: impl IntoIterator<Item = Row>, known: Option<Chain>,
) -> Result<Chain, Broken> {
    let mut chain = anchor;
    let mut anchored = anchor == Chain::default();
    check_known_head(&chain, known)?;
    for row in rows {
        let seq = chain.seq + 1;
        if row.seq != seq {
            return Err(Broken { seq, cause: BreakCause::Missing { found: row.seq } });
        }
        if row.sum != sum(&chain.head, &row) {
            return Err(Broken { seq, cause: BreakCause::Sum });
        }
        chain = Chain { seq, head: row.sum };
        check_known_head(&chain, known)?;
        anchored |= records_prune_to(&row, &anchor);
    }
    if known.is_some_and(|k| k.seq > chain.seq) {
        return Err(Broken { seq: chain.seq + 1, cause: BreakCause::Cut });
    }
    if !anchored {
        return Err(Broken { seq: anchor.seq + 1, cause: BreakCause::Anchor });
    }
    Ok(chain)
}

fn check_known_head(chain: &Chain, known: Option<Chain>) -> Result<(), Broken> {
    match known {
        Some(known) if known.seq == chain.seq && known.head != chain.head => {
            Err(Broken { seq: chain.seq, cause: BreakCause::Known })
        }
        _ => Ok(()),
    }
}

/// Returns whether the row records a prune of all rows up to the anchor.
fn records_prune_to(row: &Row, anchor: &Chain) -> bool {
    if row.kind != "pruned" {
        return false;
    }
    matches!(Fact::of(row), Fact::Pruned { through, sum, .. } if through == anchor.seq && sum == hex(&anchor.head))
}

/// Formats bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
