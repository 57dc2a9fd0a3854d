//! A store in memory: rows in a chain, keys under a constraint.

use shaletide_record::chain::Chain;
use shaletide_record::*;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
struct Kept {
    state: KeyState,
    since: shaletide_types::Time,
    seq: u64,
    run: u64,
    request: Option<u64>,
}

#[derive(Default)]
pub struct Store {
    pub rows: Vec<Row>,
    pub queue: VecDeque<(Ticket, Write)>,
    keys: BTreeMap<KeyId, Kept>,
    chain: Chain,
}

impl Store {
    pub fn commit(&mut self, run: u64, most: usize) -> Vec<Event> {
        let batch = self.queue.len().min(most);
        let batch: Vec<(Ticket, Write)> = self.queue.drain(..batch).collect();
        let tell = |(ticket, write): (Ticket, Write)| match self.apply(run, write) {
            Ok(seq) => Event::Committed { ticket, seq },
            Err(why) => Event::ClaimRejected { ticket, why },
        };
        batch.into_iter().map(tell).collect()
    }

    pub fn fail(&mut self, run: u64, durable: usize) -> Vec<Event> {
        let batch: Vec<(Ticket, Write)> = self.queue.drain(..).collect();
        let mut told = Vec::new();
        for (n, (ticket, write)) in batch.into_iter().enumerate() {
            if n < durable {
                let _ = self.apply(run, write);
            }
            told.push(Event::WriteFailed { ticket, why: StoreFailure::Failed });
        }
        told
    }

    /// The row and what it does to its key, both or neither.
    fn apply(&mut self, run: u64, write: Write) -> Result<u64, ClaimRejection> {
        let Write { mut row, claim } = write;
        let (seq, since, request) = (self.chain.seq + 1, row.at, row.request);
        let kept = |state| Kept { state, since, seq, run, request };
        match claim {
            Claim::None => {}
            Claim::Take(key) => match self.keys.get(&key) {
                Some(held) => return Err(ClaimRejection::Taken(held.state)),
                None => drop(self.keys.insert(key, kept(KeyState::InFlight))),
            },
            Claim::Set(key, state) => drop(self.keys.insert(key, kept(state))),
            Claim::Free(key) => drop(self.keys.remove(&key)),
            Claim::FreeOwn(key) => {
                if self.keys.get(&key).is_some_and(|k| (k.run, k.request) == (run, request)) {
                    self.keys.remove(&key);
                }
            }
            Claim::FreeServed { through } => {
                self.keys.retain(|_, k| k.state != KeyState::Served || k.seq > through);
            }
        }
        row.run = run;
        self.chain.add(&mut row);
        self.rows.push(row);
        Ok(seq)
    }

    pub fn remembered(&self) -> Vec<StoredKey> {
        let each = self.keys.iter();
        let one = |(key, k): (&KeyId, &Kept)| StoredKey {
            key: key.clone(),
            state: k.state,
            since: k.since,
            seq: k.seq,
        };
        each.map(one).collect()
    }

    pub fn state(&self, key: &KeyId) -> Option<KeyState> {
        self.keys.get(key).map(|k| k.state)
    }

    pub fn set(&mut self, key: KeyId, state: KeyState) {
        let since = shaletide_types::Time(0);
        self.keys.insert(key, Kept { state, since, seq: 0, run: 0, request: None });
    }
}
