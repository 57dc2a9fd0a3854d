//! What became of a commit that failed when it may have been done: read from the store, once it is back.

use shaletide_record::{Claim, ClaimRejection, KeyState, Row, Write};

use crate::{Head, Query, Store, StoreError};

/// What a ticket's rows have become; none if nothing of the transaction is on record.
pub(super) type FoundRows = Option<Vec<Result<u64, ClaimRejection>>>;

/// Looks for the writes behind the last row that was acknowledged. They were one transaction, so all of them are
/// there, but those that were rejected, or none.
///
/// # Errors
/// If the store cannot be read.
pub(super) fn find_rows(
    store: &dyn Store, acknowledged: Head, tickets: &[&[Write]],
) -> Result<Vec<FoundRows>, StoreError> {
    let limit = tickets.iter().map(|writes| writes.len()).sum();
    let rows = store.rows(&Query { after_seq: acknowledged.seq, limit, ..Query::default() })?;
    let mut rows = rows.iter().peekable();
    let mut any = false;
    let mut found = Vec::with_capacity(tickets.len());
    for writes in tickets {
        let mut result = Vec::with_capacity(writes.len());
        for write in *writes {
            match rows.next_if(|row| same(row, &write.row)) {
                Some(row) => {
                    any = true;
                    result.push(Ok(row.seq));
                }
                None => result.push(Err(holder(store, write)?)),
            }
        }
        found.push(Some(result));
    }
    if !any {
        found.fill(None);
    }
    Ok(found)
}

/// Whether it is this row, now that it has its number.
fn same(found: &Row, written: &Row) -> bool {
    let Row { seq, sum, .. } = *found;
    *found == Row { seq, sum, ..written.clone() }
}

/// Why a row of a transaction that was done is not there: its key was taken.
fn holder(store: &dyn Store, write: &Write) -> Result<ClaimRejection, StoreError> {
    let state = match &write.claim {
        Claim::Take(key) => store.key(key)?.map(|found| found.state),
        _ => None,
    };
    Ok(ClaimRejection::Taken(state.unwrap_or(KeyState::InFlight)))
}
