//! Verification that a record is as it was written: checks the checksum of every row from the anchor to the head.

use std::fmt;

use shaletide_record::Row;

use crate::{Head, Query, StoreError, StoreReader, Sums};

/// How many rows are read at a time.
const PAGE: usize = 1000;

/// A record whose checksums are all correct.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verified {
    /// How many rows the record has.
    pub rows: u64,
    /// How many rows have been pruned since the store was created.
    pub pruned: u64,
    /// The last row.
    pub head: Head,
}

/// The reason why a record failed verification.
#[derive(Debug)]
#[non_exhaustive]
pub enum Broken {
    /// The record cannot be read.
    Unreadable(StoreError),
    /// A row is missing.
    Missing {
        /// The number of the missing row.
        seq: u64,
    },
    /// A row, or a row before it, is not as it was written.
    Changed {
        /// The number of the first row whose checksum does not match.
        seq: u64,
    },
    /// A head that was noted elsewhere is not part of the record: its end was cut off, or all of it was rewritten.
    Cut {
        /// The head that was noted.
        noted: Head,
        /// The head of the record.
        found: Head,
    },
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Unreadable(_) => write!(f, "the record cannot be read"),
            Broken::Missing { seq } => write!(f, "row {seq} is missing"),
            Broken::Changed { seq } => write!(f, "row {seq}, or one before it, was changed"),
            Broken::Cut { noted, found } if found.seq < noted.seq => {
                write!(f, "rows {} to {} are missing at the end", found.seq + 1, noted.seq)
            }
            Broken::Cut { noted, .. } => write!(f, "row {} is not the one that was noted", noted.seq),
        }
    }
}

impl std::error::Error for Broken {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Broken::Unreadable(error) => Some(error),
            _ => None,
        }
    }
}

impl From<StoreError> for Broken {
    fn from(error: StoreError) -> Broken {
        Broken::Unreadable(error)
    }
}

/// Runs the store's own check, reads all rows and compares their checksums. If `noted`, a head that was noted elsewhere,
/// is given, also checks that it is still part of the record. May run concurrently with a writer: it reads up to the head
/// of the time when it started.
///
/// # Errors
/// The first difference found.
pub fn verify<R: StoreReader + ?Sized>(
    store: &R, sums: &dyn Sums, noted: Option<Head>,
) -> Result<Verified, Broken> {
    store.check()?;
    let end = store.head()?;
    if let Some(noted) = noted {
        if !contains_head(store, &noted)? {
            return Err(Broken::Cut { noted, found: end });
        }
    }
    let mut anchor = store.anchor()?;
    let mut last = anchor.map_or(Head::default(), |anchor| anchor.through);
    let mut rows = 0;
    while last.seq < end.seq {
        let page = store.rows(&Query { after_seq: last.seq, limit: PAGE, ..Query::default() })?;
        if page.first().is_none_or(|row| row.seq != last.seq + 1) {
            // The row was pruned in the meantime, or it is missing.
            let now = store.anchor()?;
            match now.filter(|now| now.through.seq > last.seq) {
                Some(pruned) => {
                    anchor = now;
                    last = pruned.through;
                }
                None => return Err(Broken::Missing { seq: last.seq + 1 }),
            }
            continue;
        }
        rows += page.len() as u64;
        last = check_page(last, &page, sums)?;
    }
    Ok(Verified { rows, pruned: anchor.map_or(0, |anchor| anchor.rows), head: last })
}

/// Compares the checksums of the rows after `last`, and returns the new last row.
fn check_page(mut last: Head, page: &[Row], sums: &dyn Sums) -> Result<Head, Broken> {
    for row in page {
        if row.seq != last.seq + 1 {
            return Err(Broken::Missing { seq: last.seq + 1 });
        }
        if row.sum != sums.sum(&last.sum, row) {
            return Err(Broken::Changed { seq: row.seq });
        }
        last = Head { seq: row.seq, sum: row.sum, run: row.run };
    }
    Ok(last)
}

/// Returns whether the record has the row of the head `noted`, or had it until the row was pruned.
///
/// # Errors
/// If the record cannot be read.
pub fn contains_head<R: StoreReader + ?Sized>(store: &R, noted: &Head) -> Result<bool, StoreError> {
    if noted.seq == 0 {
        return Ok(true);
    }
    if let Some(anchor) = store.anchor()? {
        if noted.seq < anchor.through.seq {
            return Ok(true);
        }
        if noted.seq == anchor.through.seq {
            return Ok(noted.sum == anchor.through.sum);
        }
    }
    let found = store.rows(&Query { after_seq: noted.seq - 1, limit: 1, ..Query::default() })?;
    Ok(found.first().is_some_and(|row| row.seq == noted.seq && row.sum == noted.sum))
}
