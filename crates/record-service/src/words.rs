//! What the store says, in the recorder's words and an operator's.

use shaletide_record::StoreTrouble;
use shaletide_store::StoreError;

/// What ails it.
pub fn trouble(error: &StoreError) -> StoreTrouble {
    match error {
        StoreError::Slow(_) => StoreTrouble::Slow,
        StoreError::Busy(_) | StoreError::Owned { .. } => StoreTrouble::Locked,
        StoreError::Gone { .. } => StoreTrouble::Gone,
        StoreError::Full(_) => StoreTrouble::Full,
        StoreError::ReadOnly(_) => StoreTrouble::ReadOnly,
        StoreError::Corrupt(_) | StoreError::Cut { .. } | StoreError::Newer { .. } => StoreTrouble::Corrupt,
        _ => StoreTrouble::Failed,
    }
}
