//! The interface of every store.

use std::path::Path;

use shaletide_record::{chain, Claim, ClaimRejection, KeyId, Row, StoredKey, Write};
use shaletide_types::Time;

use crate::{CommitError, StoreError};

/// The most bytes that the texts and keys of one write may have together.
pub const MAX_ROW_BYTES: usize = 4 << 20;

/// The sum of a row, given that of the row before it. The row's own `sum` is not looked at.
pub trait Sums: Send + Sync {
    /// The sum of `row`, which has its number and its run already.
    fn sum(&self, before: &[u8; 32], row: &Row) -> [u8; 32];
}

impl<F: Fn(&[u8; 32], &Row) -> [u8; 32] + Send + Sync> Sums for F {
    fn sum(&self, before: &[u8; 32], row: &Row) -> [u8; 32] {
        self(before, row)
    }
}

/// The end of a store: the last row, and the sum that verifies all up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The number of the last row; 0 before the first.
    pub seq: u64,
    /// Its sum; zeros before the first.
    pub sum: [u8; 32],
    /// The run that wrote it; 0 before the first. The next start of the proxy takes a higher one.
    pub run: u64,
}

/// `ROW:SUM`, as `shaletide record verify --head` takes it.
impl std::fmt::Display for Head {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.seq, chain::hex(&self.sum))
    }
}

/// What is left of rows that were pruned: enough to verify those behind them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// The last row pruned, as a head of what was there.
    pub through: Head,
    /// How many rows were pruned, ever.
    pub rows: u64,
}

/// What one step of pruning did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pruned {
    /// How many rows were pruned in this step.
    pub rows: u64,
    /// The anchor of all rows ever pruned; none if none were.
    pub anchor: Option<Anchor>,
    /// Whether another step would find more.
    pub more: bool,
}

/// Makes the row that records an anchor; its `seq` and `sum` are not looked at.
pub type Note<'a> = &'a dyn Fn(&Anchor) -> Row;

/// Which rows are wanted: those that match all that is given here. In the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Of this key, whatever the tenant and the class.
    pub key: Option<Vec<u8>>,
    /// Of this tenant.
    pub tenant: Option<String>,
    /// Of this class.
    pub class: Option<String>,
    /// Of this run and, within it, of this request.
    pub request: Option<(u64, u64)>,
    /// Of this time or later.
    pub since: Option<Time>,
    /// Earlier than this time.
    pub until: Option<Time>,
    /// About this backend.
    pub backend: Option<String>,
    /// Of this kind.
    pub kind: Option<String>,
    /// Of keys that are in doubt now.
    pub in_doubt: bool,
    /// Behind this row; 0 for all.
    pub after_seq: u64,
    /// At most so many; the next page begins after the last one's number.
    pub limit: usize,
}

/// Reads a store, beside its writer.
pub trait StoreReader: Send {
    /// The last row.
    ///
    /// # Errors
    /// Of any kind; reading changes nothing.
    fn head(&self) -> Result<Head, StoreError>;

    /// The anchor of the rows that were pruned.
    ///
    /// # Errors
    /// Of any kind; reading changes nothing.
    fn anchor(&self) -> Result<Option<Anchor>, StoreError>;

    /// At most `limit` of the keys that are not free, in the order of [`KeyId`], behind `after`.
    ///
    /// # Errors
    /// Of any kind; reading changes nothing.
    fn keys(&self, after: Option<&KeyId>, limit: usize) -> Result<Vec<StoredKey>, StoreError>;

    /// A key's state; none if it is free.
    ///
    /// # Errors
    /// Of any kind; reading changes nothing.
    fn key(&self, key: &KeyId) -> Result<Option<StoredKey>, StoreError>;

    /// The rows that match, at most [`Query::limit`] of them.
    ///
    /// # Errors
    /// Of any kind; reading changes nothing.
    fn rows(&self, query: &Query) -> Result<Vec<Row>, StoreError>;

    /// Checks that all parts of it are consistent, its indexes too, as far as it can tell. Takes time in proportion to its
    /// size.
    ///
    /// # Errors
    /// `Corrupt` if they do not, and any other.
    fn check(&self) -> Result<(), StoreError>;

    /// Copies all of it, as it is at one moment, into a new file, which exists only once it is complete and durable.
    /// Blocks, perhaps for long; the writer is not delayed.
    ///
    /// # Errors
    /// Of any kind, and if the file is there already. What was there is left alone.
    fn backup(&self, to: &Path) -> Result<(), StoreError>;
}

/// A store with one writer.
pub trait Store: StoreReader {
    /// Makes the whole batch durable, in order, in one transaction, before it returns. Gives each row its number
    /// and its sum; the caller's `seq` and `sum` are not looked at, its `run` is kept.
    ///
    /// A [`Claim::Take`] of a key that is taken, by an earlier row of the batch too, rejects its row and no other.
    /// [`Claim::Set`] of a key that is not there puts it there; [`Claim::Free`] of one that is not does nothing.
    /// For [`Claim::FreeOwn`], a key whose last row was pruned is another's.
    ///
    /// # Errors
    /// Of any kind. All of the batch is on record or nothing: see [`CommitOutcome`](crate::CommitOutcome). The store is not to be used
    /// for writing again, but opened anew.
    fn commit(
        &mut self, batch: &[Write], sums: &dyn Sums,
    ) -> Result<Vec<Result<u64, ClaimRejection>>, CommitError>;

    /// Forgets at most `limit` keys that were served before that time, and returns how many. Fewer: that was all.
    ///
    /// # Errors
    /// Of any kind; all of the step was done or nothing.
    fn forget_served(&mut self, before: Time, limit: usize) -> Result<usize, StoreError>;

    /// Prunes at most `limit` rows from the beginning of the record, up to the first that is not older than
    /// `before` or whose key is in doubt or in flight. What is left stays verifiable: no row is missing in between,
    /// and in the same transaction, if any were pruned, `note` makes the row that records it, which is added at the end.
    ///
    /// # Errors
    /// Of any kind; all of the step was done or nothing.
    fn prune(
        &mut self, before: Time, limit: usize, note: Note<'_>, sums: &dyn Sums,
    ) -> Result<Pruned, StoreError>;
}

/// Whether every store can keep it: times and bytes within what databases hold. The rest is the caller's bug, and
/// must not spoil the batch of others.
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
