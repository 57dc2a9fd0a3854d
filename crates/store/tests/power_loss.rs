//! Power loss: the files of a store truncated or torn. Damage after the last acknowledged commit loses no acknowledged row.
//! After damage before it, the store is rejected, or verification against the noted head reports the missing rows.

mod common;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use common::TestDirectory;
use shaletide_record::KeyState;
use shaletide_store::conformance::{key, plain_sum, set, take};
use shaletide_store::{
    contains_head, verify, Broken, Head, SqliteOptions, SqliteReader, SqliteStore, Store, StoreReader,
};

/// The contents of a store's files on the disk.
#[derive(Clone)]
struct Files {
    db: Vec<u8>,
    wal: Vec<u8>,
}

impl Files {
    fn of(db: &Path) -> Files {
        let wal = fs::read(format!("{}-wal", db.display())).unwrap_or_default();
        Files { db: fs::read(db).expect("read"), wal }
    }

    fn write_to(&self, db: &Path) {
        for suffix in ["-shm", "-wal", ".lock"] {
            let _ = fs::remove_file(format!("{}{suffix}", db.display()));
        }
        fs::write(db, &self.db).expect("written");
        fs::write(format!("{}-wal", db.display()), &self.wal).expect("written");
    }
}

fn settle(store: &mut SqliteStore, at: u64) -> Head {
    let key = key(format!("key-{at}"));
    store.commit(&[take(at, &key), set(at, &key, KeyState::Served)], &plain_sum).expect("commits");
    store.head().expect("head")
}

/// Creates a directory in shared memory where the system has it. A disk is not needed, as the tests truncate the files
/// themselves.
fn memory_directory(name: &str) -> (TestDirectory, PathBuf) {
    let directory = TestDirectory::new(name);
    let shared = Path::new("/dev/shm");
    let dir = if shared.is_dir() { shared } else { directory.dir() };
    let dir = dir.join(format!("shaletide-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a directory");
    (directory, dir)
}

/// Runs `check(number, path)` for each number, on four threads, each with its own path.
fn for_each_number(dir: &Path, numbers: &[usize], check: impl Fn(usize, &Path) + Sync) {
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (next, check) = (&next, &check);
            scope.spawn(move || {
                let path = dir.join(format!("{thread}.db"));
                while let Some(number) = numbers.get(next.fetch_add(1, Ordering::Relaxed)) {
                    check(*number, &path);
                }
            });
        }
    });
    fs::remove_dir_all(dir).expect("removed");
}

/// Asserts that the store can be read, its checksums are correct, and it ends at `acknowledged` or one commit after it.
fn assert_nothing_lost(path: &Path, acknowledged: &Head, after_last: &Head, case: &str) {
    let reader = SqliteReader::open(path).unwrap_or_else(|error| panic!("{case}: {error}"));
    verify(&reader, &plain_sum, Some(*acknowledged)).unwrap_or_else(|broken| panic!("{case}: {broken}"));
    assert_end_and_keys(&reader, acknowledged, after_last, case);
}

/// Asserts the same without reading each row.
fn assert_end_and_keys(reader: &SqliteReader, acknowledged: &Head, after_last: &Head, case: &str) {
    let head = reader.head().unwrap_or_else(|error| panic!("{case}: {error}"));
    assert!(head == *acknowledged || head == *after_last, "{case}: ends at {}", head.seq);
    let keys = reader.keys(None, usize::MAX).expect("keys");
    assert_eq!(keys.len() as u64 * 2, head.seq, "{case}: a key for each two rows");
}

/// Makes ten commits, then one more that counts as not acknowledged. Returns the files before and after the last one.
fn store_with_unacknowledged_commit(directory: &TestDirectory) -> (Files, Head, Files, Head, SqliteStore) {
    let mut store = directory.open();
    for at in 0..9 {
        settle(&mut store, at);
    }
    let acknowledged = settle(&mut store, 9);
    let before = Files::of(&directory.db());
    let after_last = settle(&mut store, 10);
    let after = Files::of(&directory.db());
    assert_eq!(before.db, after.db, "no checkpoint in between");
    (before, acknowledged, after, after_last, store)
}

#[test]
fn log_truncated_in_the_last_commit_loses_no_acknowledged_row() {
    let (directory, dir) = memory_directory("power-cut");
    let (before, acknowledged, after, after_last, _store) = store_with_unacknowledged_commit(&directory);
    let (from, to) = (before.wal.len(), after.wal.len());
    assert_eq!(before.wal, after.wal[..from]);
    assert!(to > from);
    let lengths: Vec<usize> = (from..=to).collect();
    for_each_number(&dir, &lengths, |length, path| {
        Files { wal: after.wal[..length].to_vec(), ..after.clone() }.write_to(path);
        let case = format!("cut at {length}");
        if length % 64 == 0 {
            return assert_nothing_lost(path, &acknowledged, &after_last, &case);
        }
        let reader = SqliteReader::open(path).unwrap_or_else(|error| panic!("{case}: {error}"));
        assert_end_and_keys(&reader, &acknowledged, &after_last, &case);
    });
    eprintln!("{} lengths", lengths.len());
}

#[test]
fn log_torn_in_the_last_commit_loses_no_acknowledged_row_and_is_writable() {
    let (directory, dir) = memory_directory("power-torn");
    let (before, acknowledged, after, after_last, _store) = store_with_unacknowledged_commit(&directory);
    let (from, to) = (before.wal.len(), after.wal.len());
    // Each sector of the last commit, alone or with all sectors after it, is replaced by zeros or garbage.
    let sectors: Vec<usize> = (from..to).step_by(128).collect();
    for_each_number(&dir, &sectors, |start, path| {
        for (case, end, byte) in [
            ("one zeroed", start + 512, 0),
            ("one garbage", start + 512, 0xa5),
            ("rest zeroed", to, 0),
            ("rest garbage", to, 0x5a),
        ] {
            let mut files = after.clone();
            files.wal[start..end.min(to)].fill(byte);
            files.write_to(path);
            let case = format!("{case} from {start}");
            assert_nothing_lost(path, &acknowledged, &after_last, &case);
            let mut store = SqliteStore::open(&SqliteOptions::new(path)).expect("opens for writing");
            let head = settle(&mut store, 99);
            assert!(
                contains_head(&store, &acknowledged).expect("reads") && head.seq >= acknowledged.seq + 2,
                "{case}"
            );
            verify(&store, &plain_sum, Some(acknowledged)).expect("verifies");
        }
    });
}

#[test]
fn power_loss_during_a_checkpoint_loses_nothing() {
    let (directory, dir) = memory_directory("power-checkpoint");
    let (_, _, before, head, store) = store_with_unacknowledged_commit(&directory);
    store.execute_for_test("PRAGMA wal_checkpoint(PASSIVE)").expect("checkpoint");
    let after = Files::of(&directory.db());
    assert_ne!(before.db, after.db);
    assert_eq!(before.wal, after.wal, "the log stays until the database is synced");
    let sectors: Vec<usize> = (0..=after.db.len()).step_by(512).collect();
    let holes = AtomicUsize::new(0);
    for_each_number(&dir, &sectors, |sector, path| {
        // Case 1: all sectors before this one are written. Case 2: all but this one, if the checkpoint writes its page.
        let mut early = before.db.clone();
        early.resize(after.db.len().max(early.len()), 0);
        early[..sector].copy_from_slice(&after.db[..sector]);
        let mut holed = after.db.clone();
        let page = sector / 4096 * 4096..(sector / 4096 * 4096 + 4096).min(holed.len());
        if before.db.get(page.clone()) != after.db.get(page) {
            let end = (sector + 512).min(holed.len());
            holed[sector..end].fill(0xa5);
            holes.fetch_add(1, Ordering::Relaxed);
        }
        for (case, db) in [("in order", early), ("but one", holed)] {
            Files { db, wal: before.wal.clone() }.write_to(path);
            assert_nothing_lost(path, &head, &head, &format!("{case}, {sector}"));
        }
    });
    assert!(holes.load(Ordering::Relaxed) > 40, "{holes:?}");
}

#[test]
fn log_truncated_before_the_last_commit_is_rejected_or_fails_against_the_noted_head() {
    let (directory, dir) = memory_directory("power-below");
    let (before, acknowledged, _, _, store) = store_with_unacknowledged_commit(&directory);
    let lengths: Vec<usize> = (0..before.wal.len()).step_by(509).collect();
    let (cut, rejected) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let check = |path: &Path, case: &str| match SqliteReader::open(path) {
        Err(_) => rejected.fetch_add(1, Ordering::Relaxed),
        Ok(reader) => match verify(&reader, &plain_sum, Some(acknowledged)) {
            Ok(_) => panic!("{case}: verified, though rows are missing"),
            Err(Broken::Cut { noted, found }) => {
                assert!(noted == acknowledged && found.seq < acknowledged.seq, "{case}");
                cut.fetch_add(1, Ordering::Relaxed)
            }
            Err(_) => rejected.fetch_add(1, Ordering::Relaxed),
        },
    };
    for_each_number(&dir, &lengths, |length, path| {
        Files { wal: before.wal[..length].to_vec(), ..before.clone() }.write_to(path);
        check(path, &format!("log cut at {length}"));
    });
    assert!(cut.load(Ordering::Relaxed) > 100, "most of them open");

    // The database without a log, after a checkpoint: it may verify only if all of its pages are there.
    drop(store);
    let whole = Files::of(&directory.db());
    let (_, dir) = memory_directory("power-below-db");
    let lengths: Vec<usize> = (0..whole.db.len()).step_by(509).collect();
    for_each_number(&dir, &lengths, |length, path| {
        Files { db: whole.db[..length].to_vec(), wal: Vec::new() }.write_to(path);
        check(path, &format!("database cut at {length}"));
    });
    eprintln!("{cut:?} opened and reported missing rows, {rejected:?} rejected");
}
