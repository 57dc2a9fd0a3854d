//! The store with the hash chain of `shaletide-record`.

mod common;

use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Duration;

use common::TestDirectory;
use shaletide_record::chain::{self, hex, Chain};
use shaletide_record::{Fact, KeyState, RowSubject};
use shaletide_store::conformance::{all_rows, key, set};
use shaletide_store::{verify, SqliteStore, Store, StoreReader, Writer, WriterConfig, WriterEvent};
use shaletide_types::Time;

#[test]
fn chain_pruned_by_the_writer_verifies() {
    let directory = TestDirectory::new("chain");
    let options = directory.options();
    let (sender, events) = channel();
    let config = WriterConfig { maintenance_step: 10, ..WriterConfig::new(3) };
    let opener =
        Box::new(move |_| SqliteStore::open(&options).map(|store| Box::new(store) as Box<dyn Store>));
    let notify = Box::new(move |event| sender.send(event).unwrap_or(()));
    let writer = Writer::start(config, opener, Arc::new(chain::sum), notify).expect("a thread");
    for at in 0..50 {
        writer.send(at, vec![set(at, &key(format!("{at}")), KeyState::Served)]).expect("queued");
    }
    let note = |anchor: &shaletide_store::Anchor| {
        let Chain { seq, head } = Chain { seq: anchor.through.seq, head: anchor.through.sum };
        Fact::Pruned { through: seq, sum: hex(&head), by: "ops".into() }.row(Time(99), RowSubject::default())
    };
    writer.prune(99, Time(35), Box::new(note)).expect("queued");
    while !matches!(
        events.recv_timeout(Duration::from_secs(20)).expect("an event"),
        WriterEvent::Pruned { .. }
    ) {}
    writer.stop(Duration::from_secs(20)).expect("stops");

    let store = directory.open();
    let anchor = store.anchor().expect("reads").expect("an anchor").through;
    assert_eq!(anchor.seq, 35);
    let (from, head) = (Chain { seq: anchor.seq, head: anchor.sum }, store.head().expect("head"));
    let known = Some(Chain { seq: head.seq, head: head.sum });
    let rows = all_rows(&store, 0);
    assert_eq!(chain::verify(from, rows, known), Ok(Chain { seq: head.seq, head: head.sum }));
    assert_eq!((head.seq, head.run), (54, 3), "four steps, each recorded by a fact");
    verify(&store, &chain::sum, Some(head)).expect("the store verifies it too");
}
