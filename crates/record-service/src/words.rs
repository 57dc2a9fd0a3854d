//! What the store says, in the recorder's words and an operator's.

use shaletide_record::StoreFailure;
use shaletide_store::StoreError;

/// What ails it.
pub fn trouble(error: &StoreError) -> StoreFailure {
    match error {
        StoreError::Slow(_) => StoreFailure::Slow,
        StoreError::Busy(_) | StoreError::Owned { .. } => StoreFailure::Locked,
        StoreError::Gone { .. } => StoreFailure::Gone,
        StoreError::Full(_) => StoreFailure::Full,
        StoreError::ReadOnly(_) => StoreFailure::ReadOnly,
        StoreError::Corrupt(_) | StoreError::Cut { .. } | StoreError::Newer { .. } => StoreFailure::Corrupt,
        _ => StoreFailure::Failed,
    }
}
