//! A writer under test, with its events.

use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use shaletide_store::conformance::{key, plain_sum, take};
use shaletide_store::faults::{Faults, Step};
use shaletide_store::memory::MemoryStore;
use shaletide_store::{CommitOutcome, Opener, SendError, Writer, WriterConfig, WriterEvent};

pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A writer with the events that it sent.
pub struct WriterHarness {
    pub writer: Writer,
    pub events: Receiver<WriterEvent>,
}

pub fn config() -> WriterConfig {
    WriterConfig { backoff: Duration::from_millis(5), ..WriterConfig::new(7) }
}

impl WriterHarness {
    pub fn start(config: WriterConfig, opener: Opener) -> WriterHarness {
        let (sender, events) = channel();
        let notify = Box::new(move |event| sender.send(event).unwrap_or(()));
        let writer = Writer::start(config, opener, Arc::new(plain_sum), notify).expect("a thread");
        WriterHarness { writer, events }
    }

    /// Starts a writer on a store in memory with these faults, and waits until the store is open.
    pub fn in_memory(config: WriterConfig, store: &MemoryStore, faults: &Faults) -> WriterHarness {
        let (store, faults) = (store.clone(), faults.clone());
        let harness =
            WriterHarness::start(config, Box::new(move |_| Ok(faults.wrap(Box::new(store.clone())))));
        harness.back();
        harness
    }

    pub fn next(&self) -> WriterEvent {
        self.events.recv_timeout(TIMEOUT).expect("an event")
    }

    pub fn back(&self) -> u64 {
        match self.next() {
            WriterEvent::Back { head } => head.seq,
            other => panic!("{other:?}"),
        }
    }

    pub fn down(&self) -> &'static str {
        match self.next() {
            WriterEvent::Down { error } => error.code(),
            other => panic!("{other:?}"),
        }
    }

    pub fn committed(&self) -> (u64, Vec<u64>) {
        match self.next() {
            WriterEvent::Committed { ticket, seqs } => (ticket, seqs),
            other => panic!("{other:?}"),
        }
    }

    pub fn failed(&self) -> (u64, &'static str, CommitOutcome) {
        match self.next() {
            WriterEvent::Failed { ticket, error, outcome } => (ticket, error.code(), outcome),
            other => panic!("{other:?}"),
        }
    }

    pub fn take(&self, ticket: u64, name: &str) -> Result<(), SendError> {
        self.writer.send(ticket, vec![take(ticket, &key(name))])
    }

    pub fn stop(self) -> Vec<WriterEvent> {
        self.writer.stop(TIMEOUT).expect("stops");
        self.events.iter().collect()
    }
}

/// Waits until a commit has begun and hangs.
pub fn wait_until_commit_hangs(faults: &Faults) {
    while !matches!(faults.steps().last(), Some(Step::Began(_))) {
        std::thread::yield_now();
    }
}
