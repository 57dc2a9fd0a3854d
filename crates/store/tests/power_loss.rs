//! A power cut: the files as they were at some moment, cut and torn. Nothing acknowledged is lost past the last
//! acknowledged commit; below it the store is refused, or what is missing shows against the head that was noted.

mod common;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use common::TestDirectory;
use shaletide_record::KeyState;
use shaletide_store::conformance::{key, plain_sum, set, take};
use shaletide_store::{
    holds, verify, Broken, Head, SqliteOptions, SqliteReader, SqliteStore, Store, StoreReader,
};

/// The files of a store as they lie on the disk.
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

    fn put(&self, db: &Path) {
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

/// A place without a disk below it where there is one: what is cut here was synced by nobody anyway.
fn fast_place(name: &str) -> (TestDirectory, PathBuf) {
    let directory = TestDirectory::new(name);
    let shared = Path::new("/dev/shm");
    let dir = if shared.is_dir() { shared } else { directory.dir() };
    let dir = dir.join(format!("shaletide-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a directory");
    (directory, dir)
}

/// Runs `check(number, path)` for each number, on some threads, each with a path of its own.
fn for_each(dir: &Path, numbers: &[usize], check: impl Fn(usize, &Path) + Sync) {
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

/// The store reads, its sums are right, and it ends at `acknowledged` or at the one commit behind it.
fn nothing_lost(path: &Path, acknowledged: &Head, behind: &Head, what: &str) {
    let reader = SqliteReader::open(path).unwrap_or_else(|error| panic!("{what}: {error}"));
    verify(&reader, &plain_sum, Some(*acknowledged)).unwrap_or_else(|broken| panic!("{what}: {broken}"));
    ends_well(&reader, acknowledged, behind, what);
}

/// As above without a look at each row.
fn ends_well(reader: &SqliteReader, acknowledged: &Head, behind: &Head, what: &str) {
    let head = reader.head().unwrap_or_else(|error| panic!("{what}: {error}"));
    assert!(head == *acknowledged || head == *behind, "{what}: ends at {}", head.seq);
    let keys = reader.keys(None, usize::MAX).expect("keys");
    assert_eq!(keys.len() as u64 * 2, head.seq, "{what}: a key for each two rows");
}

/// Ten commits, then one more that nobody was told of: the files before it and behind it.
fn history(directory: &TestDirectory) -> (Files, Head, Files, Head, SqliteStore) {
    let mut store = directory.open();
    for at in 0..9 {
        settle(&mut store, at);
    }
    let acknowledged = settle(&mut store, 9);
    let before = Files::of(&directory.db());
    let behind = settle(&mut store, 10);
    let after = Files::of(&directory.db());
    assert_eq!(before.db, after.db, "no checkpoint in between");
    (before, acknowledged, after, behind, store)
}

#[test]
fn log_cut_at_any_length_after_the_last_commit_loses_nothing_acknowledged() {
    let (directory, dir) = fast_place("power-cut");
    let (before, acknowledged, after, behind, _store) = history(&directory);
    let (from, to) = (before.wal.len(), after.wal.len());
    assert_eq!(before.wal, after.wal[..from]);
    assert!(to > from);
    let lengths: Vec<usize> = (from..=to).collect();
    for_each(&dir, &lengths, |length, path| {
        Files { wal: after.wal[..length].to_vec(), ..after.clone() }.put(path);
        let what = format!("cut at {length}");
        if length % 64 == 0 {
            return nothing_lost(path, &acknowledged, &behind, &what);
        }
        let reader = SqliteReader::open(path).unwrap_or_else(|error| panic!("{what}: {error}"));
        ends_well(&reader, &acknowledged, &behind, &what);
    });
    eprintln!("{} lengths", lengths.len());
}

#[test]
fn log_torn_after_the_last_commit_loses_nothing_acknowledged_and_can_be_written() {
    let (directory, dir) = fast_place("power-torn");
    let (before, acknowledged, after, behind, _store) = history(&directory);
    let (from, to) = (before.wal.len(), after.wal.len());
    // Each sector of the last commit not written, alone or with all behind it: zeros or garbage in its place.
    let sectors: Vec<usize> = (from..to).step_by(128).collect();
    for_each(&dir, &sectors, |start, path| {
        for (what, end, byte) in [
            ("one zeroed", start + 512, 0),
            ("one garbage", start + 512, 0xa5),
            ("rest zeroed", to, 0),
            ("rest garbage", to, 0x5a),
        ] {
            let mut files = after.clone();
            files.wal[start..end.min(to)].fill(byte);
            files.put(path);
            let what = format!("{what} from {start}");
            nothing_lost(path, &acknowledged, &behind, &what);
            let mut store = SqliteStore::open(&SqliteOptions::new(path)).expect("opens to write");
            let head = settle(&mut store, 99);
            assert!(
                holds(&store, &acknowledged).expect("reads") && head.seq >= acknowledged.seq + 2,
                "{what}"
            );
            verify(&store, &plain_sum, Some(acknowledged)).expect("verifies");
        }
    });
}

#[test]
fn cut_during_a_checkpoint_loses_nothing() {
    let (directory, dir) = fast_place("power-checkpoint");
    let (_, _, before, head, store) = history(&directory);
    store.plant("PRAGMA wal_checkpoint(PASSIVE)").expect("checkpoint");
    let after = Files::of(&directory.db());
    assert_ne!(before.db, after.db);
    assert_eq!(before.wal, after.wal, "the log stays until the database is synced");
    let sectors: Vec<usize> = (0..=after.db.len()).step_by(512).collect();
    let holes = AtomicUsize::new(0);
    for_each(&dir, &sectors, |sector, path| {
        // Written so far in order; or all but one sector, of a page that the checkpoint writes: others it leaves alone.
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
        for (what, db) in [("in order", early), ("but one", holed)] {
            Files { db, wal: before.wal.clone() }.put(path);
            nothing_lost(path, &head, &head, &format!("{what}, {sector}"));
        }
    });
    assert!(holes.load(Ordering::Relaxed) > 40, "{holes:?}");
}

#[test]
fn log_cut_before_the_last_commit_is_rejected_or_fails_against_the_noted_head() {
    let (directory, dir) = fast_place("power-below");
    let (before, acknowledged, _, _, store) = history(&directory);
    let lengths: Vec<usize> = (0..before.wal.len()).step_by(509).collect();
    let (cut, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let check = |path: &Path, what: &str| match SqliteReader::open(path) {
        Err(_) => refused.fetch_add(1, Ordering::Relaxed),
        Ok(reader) => match verify(&reader, &plain_sum, Some(acknowledged)) {
            Ok(_) => panic!("{what}: whole, though something is missing"),
            Err(Broken::Cut { noted, found }) => {
                assert!(noted == acknowledged && found.seq < acknowledged.seq, "{what}");
                cut.fetch_add(1, Ordering::Relaxed)
            }
            Err(_) => refused.fetch_add(1, Ordering::Relaxed),
        },
    };
    for_each(&dir, &lengths, |length, path| {
        Files { wal: before.wal[..length].to_vec(), ..before.clone() }.put(path);
        check(path, &format!("log cut at {length}"));
    });
    assert!(cut.load(Ordering::Relaxed) > 100, "most of them open");

    // The database itself, once the log is in it: only where all of its pages are there may it be whole.
    drop(store);
    let whole = Files::of(&directory.db());
    let (_, dir) = fast_place("power-below-db");
    let lengths: Vec<usize> = (0..whole.db.len()).step_by(509).collect();
    for_each(&dir, &lengths, |length, path| {
        Files { db: whole.db[..length].to_vec(), wal: Vec::new() }.put(path);
        check(path, &format!("database cut at {length}"));
    });
    eprintln!("{cut:?} opened and showed what is missing, {refused:?} refused");
}
