//! The store's errors in the recorder's terms.

use shaletide_record::StoreFailure;
use shaletide_store::StoreError;

/// What is wrong with the store, by who can repair it.
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
