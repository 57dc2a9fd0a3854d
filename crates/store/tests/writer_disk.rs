//! The writer over SQLite: down when the file is gone or locked, back without a restart.

mod common;

use std::fs;
use std::time::Duration;

use common::writer_harness::{config, WriterHarness};
use common::{child, TestDirectory};
use shaletide_store::conformance::{key, take};
use shaletide_store::{CommitOutcome, Opening, SqliteOptions, SqliteStore, Store, StoreReader, WriterEvent};

fn sqlite(directory: &TestDirectory) -> WriterHarness {
    let options = SqliteOptions { busy_timeout: Duration::from_millis(20), ..directory.options() };
    let host = WriterHarness::start(
        config(),
        Box::new(move |opening| {
            let options = SqliteOptions { create: opening == Opening::First, ..options.clone() };
            SqliteStore::open(&options).map(|store| Box::new(store) as Box<dyn Store>)
        }),
    );
    host.back();
    host
}

#[test]
fn moved_file_is_gone_until_it_is_put_back() {
    let directory = TestDirectory::new("writer-gone");
    let host = sqlite(&directory);
    host.take(1, "a").expect("queued");
    host.committed();
    let away = directory.file("away.db");
    fs::rename(directory.db(), &away).expect("moved");
    host.take(2, "b").expect("queued");
    assert_eq!(host.failed(), (2, "gone", CommitOutcome::Nothing));
    assert_eq!(host.down(), "gone");
    std::thread::sleep(Duration::from_millis(30));
    assert!(!directory.db().exists(), "no new one is made in its directory");
    fs::rename(&away, directory.db()).expect("moved");
    assert_eq!(host.back(), 1);
    host.take(3, "b").expect("queued");
    assert_eq!(host.committed(), (3, vec![2]));
}

#[test]
fn lock_of_another_process_is_waited_out() {
    let directory = TestDirectory::new("writer-busy");
    let host = sqlite(&directory);
    let db = directory.db();
    let mut other = child(&["lock", db.to_str().expect("UTF-8")])
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("starts");
    let mut line = [0; 7];
    std::io::Read::read_exact(other.stdout.as_mut().expect("piped"), &mut line).expect("locked");
    host.take(1, "a").expect("queued");
    assert_eq!(host.failed(), (1, "busy", CommitOutcome::Nothing));
    assert_eq!(host.down(), "busy");
    other.kill().expect("killed");
    other.wait().expect("ended");
    assert_eq!(host.back(), 0);
    host.take(2, "a").expect("queued");
    assert_eq!(host.committed(), (2, vec![1]));
}

#[test]
fn concurrent_callers_get_each_key_once() {
    let directory = TestDirectory::new("writer-many");
    let host = sqlite(&directory);
    std::thread::scope(|scope| {
        for caller in 0..4u64 {
            let writer = &host.writer;
            scope.spawn(move || {
                for n in 0..200u64 {
                    let write = take(caller, &key(format!("{n}")));
                    while writer.send(caller * 1000 + n, vec![write.clone()]).is_err() {
                        std::thread::yield_now();
                    }
                }
            });
        }
    });
    let events = host.stop();
    let won = events.iter().filter(|event| matches!(event, WriterEvent::Committed { .. })).count();
    let lost = events.iter().filter(|event| matches!(event, WriterEvent::ClaimsRejected { .. })).count();
    assert_eq!((won, lost), (200, 600));
    assert_eq!(directory.open().keys(None, usize::MAX).expect("keys").len(), 200);
}
