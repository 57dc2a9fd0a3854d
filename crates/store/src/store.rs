//! The interface that every store implements.

use std::path::Path;

use shaletide_record::{chain, Claim, ClaimRejection, KeyId, Row, StoredKey, Write};
use shaletide_types::Time;

use crate::{CommitError, StoreError};

/// The maximum total size of the texts and keys of one write, in bytes.
pub const MAX_ROW_BYTES: usize = 4 << 20;

/// Computes the checksum of a row from the checksum of the row before it. The row's own `sum` is ignored.
pub trait Sums: Send + Sync {
    /// Returns the checksum of `row`, whose number and run are already set.
    fn sum(&self, before: &[u8; 32], row: &Row) -> [u8; 32];
}

impl<F: Fn(&[u8; 32], &Row) -> [u8; 32] + Send + Sync> Sums for F {
    fn sum(&self, before: &[u8; 32], row: &Row) -> [u8; 32] {
        self(before, row)
    }
}

/// The end of a store: the last row, with the checksum that verifies all rows up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The number of the last row; 0 before the first row.
    pub seq: u64,
    /// The checksum of the last row; zeros before the first row.
    pub sum: [u8; 32],
    /// The run that wrote the last row; 0 before the first row. The next start of the proxy takes a higher number.
    pub run: u64,
}

/// Writes `ROW:SUM`, the form that `shaletide record verify --head` accepts.
impl std::fmt::Display for Head {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.seq, chain::hex(&self.sum))
    }
}

/// The remains of the pruned rows: enough to verify the rows after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// The last pruned row, as the head of the pruned rows.
    pub through: Head,
    /// How many rows have been pruned since the store was created.
    pub rows: u64,
}

/// The result of one pruning step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pruned {
    /// How many rows were pruned in this step.
    pub rows: u64,
    /// The anchor of all rows that have been pruned since the store was created; `None` if there are none.
    pub anchor: Option<Anchor>,
    /// Whether more rows can be pruned in another step.
    pub more: bool,
}

/// Encodes an anchor as a row. The `seq` and `sum` of that row are ignored.
pub type NoteEncoder<'a> = &'a dyn Fn(&Anchor) -> Row;

/// Selects the rows that match all conditions given here, in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Rows of this key, of any tenant and class.
    pub key: Option<Vec<u8>>,
    /// Rows of this tenant.
    pub tenant: Option<String>,
    /// Rows of this class.
    pub class: Option<String>,
    /// Rows of this run and, within it, of this request.
    pub request: Option<(u64, u64)>,
    /// Rows written at this time or later.
    pub since: Option<Time>,
    /// Rows written before this time.
    pub until: Option<Time>,
    /// Rows about this backend.
    pub backend: Option<String>,
    /// Rows of this kind.
    pub kind: Option<String>,
    /// Only rows of keys that are in doubt now.
    pub in_doubt: bool,
    /// Rows after this number; 0 for all.
    pub after_seq: u64,
    /// The maximum number of rows. The next page begins after the number of the last row returned.
    pub limit: usize,
}

/// Reads a store, concurrently with its writer.
pub trait StoreReader: Send {
    /// Returns the number, checksum and run of the last row.
    ///
    /// # Errors
    /// Any [`StoreError`]; reading changes nothing.
    fn head(&self) -> Result<Head, StoreError>;

    /// Returns the anchor of the pruned rows.
    ///
    /// # Errors
    /// Any [`StoreError`]; reading changes nothing.
    fn anchor(&self) -> Result<Option<Anchor>, StoreError>;

    /// Returns at most `limit` keys that are not free, in the order of [`KeyId`], after the key `after`.
    ///
    /// # Errors
    /// Any [`StoreError`]; reading changes nothing.
    fn keys(&self, after: Option<&KeyId>, limit: usize) -> Result<Vec<StoredKey>, StoreError>;

    /// Returns the state of a key; `None` if the key is free.
    ///
    /// # Errors
    /// Any [`StoreError`]; reading changes nothing.
    fn key(&self, key: &KeyId) -> Result<Option<StoredKey>, StoreError>;

    /// Returns the rows that match, at most [`Query::limit`].
    ///
    /// # Errors
    /// Any [`StoreError`]; reading changes nothing.
    fn rows(&self, query: &Query) -> Result<Vec<Row>, StoreError>;

    /// Checks that the store is consistent, its indexes included, as far as the store can tell. Takes time in proportion
    /// to its size.
    ///
    /// # Errors
    /// `Corrupt` if the store is inconsistent; any other if it cannot be read.
    fn check(&self) -> Result<(), StoreError>;

    /// Copies a consistent snapshot of the store into a new file. The file appears only when it is complete and durable.
    /// May block for long; the writer is not delayed.
    ///
    /// # Errors
    /// Any [`StoreError`]; also if the file exists already, in which case it is left unchanged.
    fn backup(&self, to: &Path) -> Result<(), StoreError>;
}

/// A store with one writer.
pub trait Store: StoreReader {
    /// Makes the whole batch durable, in order, in one transaction, before it returns. Sets the number and the checksum
    /// of each row: the caller's `seq` and `sum` are ignored, its `run` is kept.
    ///
    /// A [`Claim::Take`] of a key that is taken, also by an earlier row of the batch, rejects only its own row.
    /// [`Claim::Set`] of a key that is not stored inserts it; [`Claim::Free`] of a key that is not stored does nothing.
    /// [`Claim::FreeOwn`] does not free a key whose last row was pruned: the owner of that key is no longer known.
    ///
    /// # Errors
    /// Any [`StoreError`]. Either the whole batch is stored or none of it: see [`CommitOutcome`](crate::CommitOutcome).
    /// After an error the store must be opened again before the next write.
    fn commit(
        &mut self, batch: &[Write], sums: &dyn Sums,
    ) -> Result<Vec<Result<u64, ClaimRejection>>, CommitError>;

    /// Deletes at most `limit` keys that were served before `before`, and returns how many. A result below `limit` means
    /// that no more are left.
    ///
    /// # Errors
    /// Any [`StoreError`]; either the whole step was done or none of it.
    fn forget_served(&mut self, before: Time, limit: usize) -> Result<usize, StoreError>;

    /// Prunes at most `limit` rows from the beginning of the record, up to the first row that is not older than `before`
    /// or whose key is in doubt or in flight. The remaining rows stay verifiable, as there is no gap between them. If any
    /// rows were pruned, the row that `note` makes is appended in the same transaction.
    ///
    /// # Errors
    /// Any [`StoreError`]; either the whole step was done or none of it.
    fn prune(
        &mut self, before: Time, limit: usize, note: NoteEncoder<'_>, sums: &dyn Sums,
    ) -> Result<Pruned, StoreError>;
}

/// Returns whether any store can hold the write: its time and its size are within the limits of a database. A write
/// beyond them is a bug of the caller and must not make the batch fail for other callers.
pub fn storable(write: &Write) -> bool {
    let row = &write.row;
    let claimed = match &write.claim {
        Claim::None | Claim::FreeServed { .. } => None,
        Claim::Take(key) | Claim::Set(key, _) | Claim::Free(key) | Claim::FreeOwn(key) => Some(key),
    };
    let keys = row.key.iter().chain(claimed).map(|key| key.tenant.len() + key.class.len() + key.key.len());
    let texts = row.kind.len() + row.body.len() + row.backend.as_ref().map_or(0, String::len);
    row.at.0 <= i64::MAX as u64 && keys.sum::<usize>() + texts <= MAX_ROW_BYTES
}
