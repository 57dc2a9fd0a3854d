//! The run time of each operation on a large store, and its size on the disk. The times are printed, not checked.
//! For meaningful figures: `cargo test --release -p shaletide-store --test large_stores -- --ignored --nocapture`.

mod common;

use std::time::{Duration, Instant};

use common::TestDirectory;
use shaletide_record::{chain, Claim, KeyId, KeyState, Row, Write};
use shaletide_store::conformance::{free, key, pruned, set, take, write};
use shaletide_store::{verify, Query, SqliteReader, SqliteStore, Store, StoreReader};
use shaletide_types::Time;

/// The number of rows of one settlement: chosen, intent, outcome, answer.
const ROWS_EACH: u64 = 4;

/// Gives the write a body as long as that of a typical fact.
fn with_long_body(mut write: Write) -> Write {
    write.row.body =
        format!("{{\"list\":17,\"state\":\"ready\",\"out\":[3,4,5],\"note\":\"{}\"}}", "x".repeat(150));
    write
}

fn settlement_key(settle: u64) -> KeyId {
    KeyId {
        tenant: format!("tenant-{}", settle % 100),
        ..key(format!("2f1c6a9e-0000-4000-8000-{settle:012}"))
    }
}

/// Returns the writes of one settlement. Every ten-thousandth stays in doubt.
fn settlement(settle: u64) -> [Write; ROWS_EACH as usize] {
    let (at, id) = (settle * 1000, settlement_key(settle));
    let end = if settle % 10_000 == 9_999 { KeyState::InDoubt } else { KeyState::Served };
    let about = |kind| write(at, kind, Some(&id), Claim::None);
    [about("chosen"), take(at, &id), set(at, &id, end), about("answer")].map(with_long_body)
}

fn fill(store: &mut SqliteStore, rows: u64) {
    let settles: Vec<u64> = (0..rows / ROWS_EACH).collect();
    for chunk in settles.chunks(250) {
        let batch: Vec<Write> = chunk.iter().flat_map(|settle| settlement(*settle)).collect();
        assert!(store.commit(&batch, &chain::sum).expect("commits").iter().all(Result::is_ok));
    }
}

fn timed<T>(operation: &str, run: impl FnOnce() -> T) -> T {
    let began = Instant::now();
    let result = run();
    eprintln!("{operation}: {:.1} ms", began.elapsed().as_secs_f64() * 1e3);
    result
}

fn mib(directory: &TestDirectory, settlement_key: &str) -> f64 {
    directory.file(settlement_key).metadata().map_or(0.0, |found| found.len() as f64 / f64::from(1 << 20))
}

fn all_keys(store: &SqliteStore) -> usize {
    let mut count = 0;
    let mut last: Option<KeyId> = None;
    loop {
        let mut page = store.keys(last.as_ref(), 1000).expect("keys");
        count += page.len();
        match page.pop() {
            Some(last_on_page) => last = Some(last_on_page.key),
            None => return count,
        }
    }
}

fn measure_operations(rows: u64) {
    let settles = rows / ROWS_EACH;
    let directory = TestDirectory::new("many");
    let mut store = directory.open();
    eprintln!("{rows} rows, {settles} keys");
    timed("filled, 1000 rows a commit", || fill(&mut store, rows));
    drop(store);
    eprintln!("on disk: {:.1} MiB", mib(&directory, "record.db"));
    let mut store = timed("opened", || directory.open());
    assert_eq!(timed("all keys read, 1000 a page", || all_keys(&store)) as u64, settles);
    let reader = timed("opened to read", || SqliteReader::open(directory.db()).expect("opens"));
    let select = |query: Query| reader.rows(&Query { limit: 1000, ..query }).expect("rows");
    let shown = settlement_key(settles / 2).key;
    let found = timed("show a key", || select(Query { key: Some(shown), ..Query::default() }));
    assert_eq!(found.len() as u64, ROWS_EACH);
    let found = timed("list in doubt", || select(Query { in_doubt: true, ..Query::default() }));
    assert_eq!(found.len() as u64, (settles / 10_000 * ROWS_EACH).min(1000));
    let since = Some(Time((settles - 10) * 1000));
    let found = timed("list the last 10 by time", || select(Query { since, ..Query::default() }));
    assert_eq!(found.len() as u64, 10 * ROWS_EACH);
    let tenant = Some("tenant-7".to_owned());
    timed("list a tenant, one page", || select(Query { tenant: tenant.clone(), ..Query::default() }));
    timed("list an absent tenant", || select(Query { tenant: Some("none".into()), ..Query::default() }));
    let verified =
        timed("verify, with SQLite's own check", || verify(&reader, &chain::sum, None).expect("verifies"));
    assert_eq!(verified.rows, rows);
    timed("SQLite's own check alone", || reader.check().expect("whole"));
    timed("backup", || reader.backup(&directory.file("copy.db")).expect("backup"));
    eprintln!("backup on disk: {:.1} MiB", mib(&directory, "copy.db"));
    measure_pruning(&mut store, settles);
}

fn measure_pruning(store: &mut SqliteStore, settles: u64) {
    for doubt in (9_999..settles / 2).step_by(10_000) {
        store.commit(&[free(1, &settlement_key(doubt))], &chain::sum).expect("commits");
    }
    let mut steps = Vec::new();
    loop {
        let began = Instant::now();
        let step = store.prune(Time(settles / 2 * 1000), 500, &pruned, &chain::sum).expect("prunes");
        steps.push(began.elapsed());
        if !step.more {
            break;
        }
    }
    steps.sort();
    let total: Duration = steps.iter().sum();
    eprintln!(
        "half pruned, 500 rows a step: {total:.1?}, median step {:.1?}, longest {:.1?}",
        steps[steps.len() / 2],
        steps[steps.len() - 1]
    );
    let forgotten =
        timed("500 keys forgotten", || store.forget_served(Time(u64::MAX), 500).expect("forgets"));
    assert_eq!(forgotten, 500);
    verify(store, &|before: &[u8; 32], row: &Row| chain::sum(before, row), None).expect("verifies");
}

#[test]
fn store_of_100_000_rows_is_read_verified_and_pruned() {
    measure_operations(100_000);
}

#[test]
#[ignore = "takes a minute or two"]
fn store_of_1_000_000_rows_is_read_verified_and_pruned() {
    measure_operations(1_000_000);
}

#[test]
#[ignore = "takes a minute or two"]
fn store_of_1_000_000_keys_is_read_verified_and_pruned() {
    measure_operations(4_000_000);
}
