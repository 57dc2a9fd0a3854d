//! The writer with SQLite: it reports a missing or locked file, and recovers without a restart.

mod common;

use std::fs;
use std::time::Duration;

use common::writer_harness::{config, WriterHarness};
use common::{child, TestDirectory};
use shaletide_store::conformance::{key, take};
use shaletide_store::{CommitOutcome, Opening, SqliteOptions, SqliteStore, Store, StoreReader, WriterEvent};

fn start_on_sqlite(directory: &TestDirectory) -> WriterHarness {
    let options = SqliteOptions { busy_timeout: Duration::from_millis(20), ..directory.options() };
    let harness = WriterHarness::start(
        config(),
        Box::new(move |opening| {
            let options = SqliteOptions { create: opening == Opening::First, ..options.clone() };
            SqliteStore::open(&options).map(|store| Box::new(store) as Box<dyn Store>)
        }),
    );
    harness.back();
    harness
}

#[test]
fn moved_file_is_gone_until_it_is_put_back() {
    let directory = TestDirectory::new("writer-gone");
    let harness = start_on_sqlite(&directory);
    harness.take(1, "a").expect("queued");
    harness.committed();
    let moved_path = directory.file("away.db");
    fs::rename(directory.db(), &moved_path).expect("moved");
    harness.take(2, "b").expect("queued");
    assert_eq!(harness.failed(), (2, "gone", CommitOutcome::Nothing));
    assert_eq!(harness.down(), "gone");
    std::thread::sleep(Duration::from_millis(30));
    assert!(!directory.db().exists(), "no new file is created in its place");
    fs::rename(&moved_path, directory.db()).expect("moved");
    assert_eq!(harness.back(), 1);
    harness.take(3, "b").expect("queued");
    assert_eq!(harness.committed(), (3, vec![2]));
}

#[test]
fn lock_of_another_process_is_reported_until_released() {
    let directory = TestDirectory::new("writer-busy");
    let harness = start_on_sqlite(&directory);
    let db = directory.db();
    let mut other = child(&["lock", db.to_str().expect("UTF-8")])
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("starts");
    let mut line = [0; 7];
    std::io::Read::read_exact(other.stdout.as_mut().expect("piped"), &mut line).expect("locked");
    harness.take(1, "a").expect("queued");
    assert_eq!(harness.failed(), (1, "busy", CommitOutcome::Nothing));
    assert_eq!(harness.down(), "busy");
    other.kill().expect("killed");
    other.wait().expect("ended");
    assert_eq!(harness.back(), 0);
    harness.take(2, "a").expect("queued");
    assert_eq!(harness.committed(), (2, vec![1]));
}

#[test]
fn each_key_is_committed_once_for_concurrent_callers() {
    let directory = TestDirectory::new("writer-many");
    let harness = start_on_sqlite(&directory);
    std::thread::scope(|scope| {
        for caller in 0..4u64 {
            let writer = &harness.writer;
            scope.spawn(move || {
                for number in 0..200u64 {
                    let write = take(caller, &key(format!("{number}")));
                    while writer.send(caller * 1000 + number, vec![write.clone()]).is_err() {
                        std::thread::yield_now();
                    }
                }
            });
        }
    });
    let events = harness.stop();
    let committed_count =
        events.iter().filter(|event| matches!(event, WriterEvent::Committed { .. })).count();
    let rejected_count =
        events.iter().filter(|event| matches!(event, WriterEvent::ClaimsRejected { .. })).count();
    assert_eq!((committed_count, rejected_count), (200, 600));
    assert_eq!(directory.open().keys(None, usize::MAX).expect("keys").len(), 200);
}
