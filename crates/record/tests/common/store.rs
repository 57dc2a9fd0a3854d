//! An in-memory store: a chain of rows, and keys with a uniqueness constraint.

use shaletide_record::chain::Chain;
use shaletide_record::*;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
struct KeyEntry {
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
    keys: BTreeMap<KeyId, KeyEntry>,
    chain: Chain,
}

impl Store {
    pub fn commit(&mut self, run: u64, max_writes: usize) -> Vec<Event> {
        let batch = self.queue.len().min(max_writes);
        let batch: Vec<(Ticket, Write)> = self.queue.drain(..batch).collect();
        let to_event = |(ticket, write): (Ticket, Write)| match self.apply(run, write) {
            Ok(seq) => Event::Committed { ticket, seq },
            Err(why) => Event::ClaimRejected { ticket, why },
        };
        batch.into_iter().map(to_event).collect()
    }

    pub fn fail_writes(&mut self, run: u64, durable: usize) -> Vec<Event> {
        let batch: Vec<(Ticket, Write)> = self.queue.drain(..).collect();
        let mut events = Vec::new();
        for (n, (ticket, write)) in batch.into_iter().enumerate() {
            if n < durable {
                let _ = self.apply(run, write);
            }
            events.push(Event::WriteFailed { ticket, why: StoreFailure::Failed });
        }
        events
    }

    /// Applies a row together with the change to its key's state, or neither.
    fn apply(&mut self, run: u64, write: Write) -> Result<u64, ClaimRejection> {
        let Write { mut row, claim } = write;
        let (seq, since, request) = (self.chain.seq + 1, row.at, row.request);
        let key_entry = |state| KeyEntry { state, since, seq, run, request };
        match claim {
            Claim::None => {}
            Claim::Take(key) => match self.keys.get(&key) {
                Some(taken) => return Err(ClaimRejection::Taken(taken.state)),
                None => drop(self.keys.insert(key, key_entry(KeyState::InFlight))),
            },
            Claim::Set(key, state) => drop(self.keys.insert(key, key_entry(state))),
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

    pub fn stored_keys(&self) -> Vec<StoredKey> {
        let entries = self.keys.iter();
        let to_stored_key = |(key, k): (&KeyId, &KeyEntry)| StoredKey {
            key: key.clone(),
            state: k.state,
            since: k.since,
            seq: k.seq,
        };
        entries.map(to_stored_key).collect()
    }

    pub fn state(&self, key: &KeyId) -> Option<KeyState> {
        self.keys.get(key).map(|k| k.state)
    }

    pub fn set(&mut self, key: KeyId, state: KeyState) {
        let since = shaletide_types::Time(0);
        self.keys.insert(key, KeyEntry { state, since, seq: 0, run: 0, request: None });
    }
}
