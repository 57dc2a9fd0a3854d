//! The result of a commit that failed with an unknown outcome, read from the store once it is open again.

use shaletide_record::{Claim, ClaimRejection, KeyState, Row, Write};

use crate::{Head, Query, Store, StoreError};

/// The result of each row of a ticket; `None` if no row of the transaction is stored.
pub(super) type FoundRows = Option<Vec<Result<u64, ClaimRejection>>>;

/// Searches for the writes after the last acknowledged row. They were one transaction, so either all rows that were not
/// rejected are stored, or none.
///
/// # Errors
/// If the store cannot be read.
pub(super) fn find_rows(
    store: &dyn Store, acknowledged: Head, tickets: &[&[Write]],
) -> Result<Vec<FoundRows>, StoreError> {
    let limit = tickets.iter().map(|writes| writes.len()).sum();
    let rows = store.rows(&Query { after_seq: acknowledged.seq, limit, ..Query::default() })?;
    let mut rows = rows.iter().peekable();
    let mut any_found = false;
    let mut found = Vec::with_capacity(tickets.len());
    for writes in tickets {
        let mut result = Vec::with_capacity(writes.len());
        for write in *writes {
            match rows.next_if(|row| is_same_row(row, &write.row)) {
                Some(row) => {
                    any_found = true;
                    result.push(Ok(row.seq));
                }
                None => result.push(Err(rejection_of(store, write)?)),
            }
        }
        found.push(Some(result));
    }
    if !any_found {
        found.fill(None);
    }
    Ok(found)
}

/// Returns whether `found` is the row `written`, apart from the number and checksum that the store has set.
fn is_same_row(found: &Row, written: &Row) -> bool {
    let Row { seq, sum, .. } = *found;
    *found == Row { seq, sum, ..written.clone() }
}

/// Returns why a row is missing from a transaction that is stored: its key was taken.
fn rejection_of(store: &dyn Store, write: &Write) -> Result<ClaimRejection, StoreError> {
    let state = match &write.claim {
        Claim::Take(key) => store.key(key)?.map(|found| found.state),
        _ => None,
    };
    Ok(ClaimRejection::Taken(state.unwrap_or(KeyState::InFlight)))
}
