//! Whether a record is as it was written: every row's sum, from the anchor to the head.

use std::fmt;

use shaletide_record::Row;

use crate::{Head, Query, StoreError, StoreReader, Sums};

/// Rows read at a time.
const PAGE: usize = 1000;

/// A record whose sums are right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verified {
    /// How many rows there are.
    pub rows: u64,
    /// How many were pruned, ever.
    pub pruned: u64,
    /// Its last row.
    pub head: Head,
}

/// Where a record is not as it was written.
#[derive(Debug)]
#[non_exhaustive]
pub enum Broken {
    /// It cannot be read.
    Unreadable(StoreError),
    /// A row is missing.
    Missing {
        /// Its number.
        seq: u64,
    },
    /// A row, or one before it, is not as it was written.
    Changed {
        /// The first such.
        seq: u64,
    },
    /// A head that was noted elsewhere is not part of it: the end was cut off, or all of it written anew.
    Cut {
        /// The head that was noted.
        noted: Head,
        /// Where the record ends.
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

/// Has the store check itself, reads all rows and compares their sums; with a head noted elsewhere, also that this
/// one is still part of it. May run beside a writer: it ends at what was the head when it began.
///
/// # Errors
/// The first thing that is wrong.
pub fn verify<R: StoreReader + ?Sized>(
    store: &R, sums: &dyn Sums, noted: Option<Head>,
) -> Result<Verified, Broken> {
    store.check()?;
    let end = store.head()?;
    if let Some(noted) = noted {
        if !holds(store, &noted)? {
            return Err(Broken::Cut { noted, found: end });
        }
    }
    let mut anchor = store.anchor()?;
    let mut last = anchor.map_or(Head::default(), |anchor| anchor.through);
    let mut rows = 0;
    while last.seq < end.seq {
        let page = store.rows(&Query { after_seq: last.seq, limit: PAGE, ..Query::default() })?;
        if page.first().is_none_or(|row| row.seq != last.seq + 1) {
            // Pruned meanwhile, or missing.
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

/// Compares the sums of rows that follow `last`, and gives the new last.
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

/// Whether the record still has the row of that head, or had it until it was pruned.
///
/// # Errors
/// If it cannot be read.
pub fn holds<R: StoreReader + ?Sized>(store: &R, noted: &Head) -> Result<bool, StoreError> {
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
