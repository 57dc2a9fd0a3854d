//! Maps the store's errors to the recorder's.

use shaletide_record::StoreFailure;
use shaletide_store::StoreError;

/// Returns the kind of a store's failure, grouped by the remedy that it needs.
pub(crate) fn store_failure(error: &StoreError) -> StoreFailure {
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
