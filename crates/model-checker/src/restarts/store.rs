//! The modelled store of record, with one key.

use shaletide_record as record;
use shaletide_record::{Claim, KeyState};

/// How the one key stands in the store, and whose row last said so.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelStore {
    pub key: Option<(KeyState, u64, Option<u64>, u64)>,
    pub seq: u64,
}

impl ModelStore {
    /// As the conformance suite wants it of any store.
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
