//! The checksum chain over the rows of one store: an edited row, a missing one or a cut end shows.
//!
//! The sum of a row is SHA-256 over the sum of the row before it and the row's canonical bytes; before the first
//! row it is all zeros. The canonical bytes are, in this order, with numbers as eight bytes, the highest first:
//!
//! - `seq`, `at`, `run`;
//! - `kind`: its length in bytes, its bytes;
//! - `request`: one byte, 0 where there is none, else 1 and the number;
//! - `key`: one byte, 0 where there is none, else 1 and tenant, class and key, each as length and bytes;
//! - `backend`: one byte, 0 where there is none, else 1, length and bytes;
//! - `body`: length and bytes.
//!
//! Read from the front, each field says where it ends, so that two different rows never have the same bytes.

use crate::fact::Fact;
use crate::row::Row;
use sha2::{Digest, Sha256};

/// How far a chain has got; the default is one without rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// The number of its last row; the first is 1.
    pub seq: u64,
    /// That row's sum.
    pub head: [u8; 32],
}

/// Where a chain is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The first row that does not fit, or that is missing.
    pub seq: u64,
    /// What is wrong with it.
    pub why: BreakCause,
}

/// What is wrong with a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// Another row is in its place.
    Missing {
        /// The number of that one.
        found: u64,
    },
    /// Its sum is not that of its content and of the rows before it.
    Sum,
    /// Its sum is a true one, but not the one that was known.
    Known,
    /// The rows end before it, though it was known.
    Cut,
    /// No row says that the chain was cut at the anchor behind which this one comes.
    Anchor,
}

impl Chain {
    /// Numbers the next row and gives it its sum.
    pub fn add(&mut self, row: &mut Row) {
        row.seq = self.seq + 1;
        row.sum = sum(&self.head, row);
        *self = Chain { seq: row.seq, head: row.sum };
    }
}

/// The sum of a row behind one with the sum `before`. The row's own `sum` is not looked at.
pub fn sum(before: &[u8; 32], row: &Row) -> [u8; 32] {
    Sha256::new().chain_update(before).chain_update(canonical(row)).finalize().into()
}

/// The bytes of a row that its sum is over.
pub fn canonical(row: &Row) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(64 + row.kind.len() + row.body.len());
    [row.seq, row.at.0, row.run].iter().for_each(|n| bytes.extend(n.to_be_bytes()));
    put(&mut bytes, row.kind.as_bytes());
    bytes.push(row.request.is_some().into());
    row.request.iter().for_each(|n| bytes.extend(n.to_be_bytes()));
    bytes.push(row.key.is_some().into());
    if let Some(key) = &row.key {
        put(&mut bytes, key.tenant.as_bytes());
        put(&mut bytes, key.class.as_bytes());
        put(&mut bytes, &key.key);
    }
    bytes.push(row.backend.is_some().into());
    row.backend.iter().for_each(|name| put(&mut bytes, name.as_bytes()));
    put(&mut bytes, row.body.as_bytes());
    bytes
}

/// Length and bytes.
pub(crate) fn put(bytes: &mut Vec<u8>, field: &[u8]) {
    bytes.extend((field.len() as u64).to_be_bytes());
    bytes.extend(field);
}

/// Holds rows against their sums, from `anchor` on: the default, or where the rows before were pruned. `known` is
/// a head that was logged or exported before; the rows must have it.
///
/// # Errors
/// The first row that does not fit.
pub fn verify(
    anchor: Chain, rows: impl IntoIterator<Item = Row>, known: Option<Chain>,
) -> Result<Chain, Broken> {
    let mut chain = anchor;
    let mut anchored = anchor == Chain::default();
    fits(&chain, known)?;
    for row in rows {
        let seq = chain.seq + 1;
        if row.seq != seq {
            return Err(Broken { seq, why: BreakCause::Missing { found: row.seq } });
        }
        if row.sum != sum(&chain.head, &row) {
            return Err(Broken { seq, why: BreakCause::Sum });
        }
        chain = Chain { seq, head: row.sum };
        fits(&chain, known)?;
        anchored |= names(&row, &anchor);
    }
    if known.is_some_and(|k| k.seq > chain.seq) {
        return Err(Broken { seq: chain.seq + 1, why: BreakCause::Cut });
    }
    if !anchored {
        return Err(Broken { seq: anchor.seq + 1, why: BreakCause::Anchor });
    }
    Ok(chain)
}

fn fits(chain: &Chain, known: Option<Chain>) -> Result<(), Broken> {
    match known {
        Some(known) if known.seq == chain.seq && known.head != chain.head => {
            Err(Broken { seq: chain.seq, why: BreakCause::Known })
        }
        _ => Ok(()),
    }
}

/// The row says that all up to the anchor was pruned.
fn names(row: &Row, anchor: &Chain) -> bool {
    if row.kind != "pruned" {
        return false;
    }
    matches!(Fact::of(row), Fact::Pruned { through, sum, .. } if through == anchor.seq && sum == hex(&anchor.head))
}

/// In hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
