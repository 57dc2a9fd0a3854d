//! The model of the store of record, with one key.

use shaletide_record as record;
use shaletide_record::{Claim, KeyState};

/// The state of the one key in the store, and the run, request and number of the row that last changed it.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelStore {
    pub key: Option<(KeyState, u64, Option<u64>, u64)>,
    pub seq: u64,
}

impl ModelStore {
    /// Commits a write in the way that the conformance suite requires of every store.
    pub fn commit(&mut self, run: u64, write: &record::Write) -> Result<u64, record::ClaimRejection> {
        let (seq, request) = (self.seq + 1, write.row.request);
        match &write.claim {
            Claim::None | Claim::FreeServed { .. } => {}
            Claim::Take(_) => match self.key {
                Some((state, ..)) => return Err(record::ClaimRejection::Taken(state)),
                None => self.key = Some((KeyState::InFlight, run, request, seq)),
            },
            Claim::Set(_, state) => self.key = Some((*state, run, request, seq)),
            Claim::Free(_) => self.key = None,
            Claim::FreeOwn(_) => {
                if self.key.is_some_and(|(_, r, q, _)| (r, q) == (run, request)) {
                    self.key = None;
                }
            }
        }
        self.seq = seq;
        Ok(seq)
    }
}
