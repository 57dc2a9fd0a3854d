//! Children are killed during an operation, at times that differ in each run. After each kill the store opens again, its
//! checksums are correct, and all acknowledged rows are there. A kill is a hit if it came before the end of the operation.
//!
//! With 25 hits of each operation: `cargo test --locked --release -p shaletide-store --test kills -- --ignored --nocapture`.

mod common;

use std::fs;
use std::io::Read;
use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

use common::{child, verified, TestDirectory};
use shaletide_record::KeyState;
use shaletide_store::conformance::{key, plain_sum, pruned, set, take};
use shaletide_store::{verify, SqliteOptions, SqliteReader, SqliteStore, Store, StoreReader};

/// How many different kill times cover the run time of an operation.
const KILL_TIMES: u32 = 25;
/// Hits of each operation in the ordinary run.
const HITS_IN_ORDINARY_RUN: u32 = 6;
/// Hits of each operation in the long run, which is ignored by default.
const HITS_IN_LONG_RUN: u32 = 25;
/// The maximum number of kills for one hit.
const MAX_KILLS_PER_HIT: u32 = 12;

/// Starts a child, kills it after this time, and returns its output.
fn killed_after(args: &[&str], time: Duration) -> String {
    let mut child = child(args).stdout(Stdio::piped()).spawn().expect("starts");
    std::thread::sleep(time);
    child.kill().expect("killed");
    child.wait().expect("ended");
    let mut printed = String::new();
    child.stdout.take().expect("piped").read_to_string(&mut printed).expect("text");
    printed
}

/// Returns the run time of a child that is not killed.
fn run_time(args: &[&str]) -> Duration {
    let began = Instant::now();
    let output = child(args).output().expect("runs");
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(printed.ends_with("done\n"), "{printed}");
    began.elapsed()
}

/// Returns the delays before the kills. They are spread evenly over the time `most`, again and again, and the last digits of
/// the clock shift each a little.
fn kill_delays(most: Duration) -> impl Iterator<Item = Duration> {
    (0..).map(move |number: u32| {
        let number = number * 7 % KILL_TIMES; // the first few are spread over the whole time too
        let noise = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |now| now.subsec_nanos());
        most.mul_f64((f64::from(number) + f64::from(noise % 1000) / 1000.0) / f64::from(KILL_TIMES))
    })
}

fn utf8_path(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

/// Creates a store with this many settlements at the times from 0; with `target_version`, at an earlier schema version.
fn create_store(directory: &TestDirectory, settles: u64, target_version: Option<u32>) {
    let mut store =
        SqliteStore::open(&SqliteOptions { target_version, ..directory.options() }).expect("opens");
    for chunk in (0..settles).collect::<Vec<_>>().chunks(1000) {
        let batch: Vec<_> = chunk
            .iter()
            .flat_map(|at| {
                let key = key(format!("key-{at}"));
                [take(*at, &key), set(*at, &key, KeyState::Served)]
            })
            .collect();
        store.commit(&batch, &plain_sum).expect("commits");
    }
}

/// Restores the copy of the closed store, before each kill.
fn restore_store(directory: &TestDirectory, kept: &Path) {
    for suffix in ["-wal", "-shm"] {
        let _ = fs::remove_file(format!("{}{suffix}", directory.db().display()));
    }
    fs::copy(kept, directory.db()).expect("copied");
}

#[test]
fn kill_during_commits_loses_nothing_acknowledged() {
    let directory = TestDirectory::new("kill-commit");
    drop(directory.open());
    let (mut at, mut total) = (0, 0);
    for delay in kill_delays(Duration::from_millis(100)).take(KILL_TIMES as usize) {
        let printed =
            killed_after(&["commit", utf8_path(&directory.db()), &at.to_string(), "1000000"], delay);
        let acknowledged: Vec<u64> =
            printed.lines().filter_map(|line| line.strip_prefix("acknowledged ")?.parse().ok()).collect();
        let store = directory.open();
        let found = verified(&store).rows;
        let last = acknowledged.last().copied().unwrap_or(at * 2);
        assert!(found == last || found == last + 2, "acknowledged {last}, found {found}");
        total += acknowledged.len();
        at = found / 2;
    }
    assert!(total > 0);
    eprintln!("{KILL_TIMES} kills, {total} commits acknowledged, none lost");
}

#[test]
fn kill_during_migration_is_completed_by_the_next_opening() {
    check_killed_migrations(HITS_IN_ORDINARY_RUN);
}

fn check_killed_migrations(hits: u32) {
    let directory = TestDirectory::new("kill-migrate");
    create_store(&directory, 10_000, Some(1));
    let kept = directory.file("kept");
    fs::copy(directory.db(), &kept).expect("copied");
    let noted = SqliteReader::open(directory.db()).and_then(|store| store.head()).expect("head");
    let full_time = run_time(&["open", utf8_path(&directory.db())]);
    let (mut early, mut late) = (0, 0);
    for delay in kill_delays(full_time.mul_f64(1.2)).take((hits * MAX_KILLS_PER_HIT) as usize) {
        if early == hits {
            break;
        }
        restore_store(&directory, &kept);
        let printed = killed_after(&["open", utf8_path(&directory.db())], delay);
        if printed.ends_with("done\n") {
            late += 1
        } else {
            early += 1
        }
        let store = directory.open();
        assert_eq!(store.setting("user_version").expect("read"), "2");
        assert_eq!(store.setting("integrity_check").expect("read"), "ok");
        verify(&store, &plain_sum, Some(noted)).expect("verifies");
    }
    assert_eq!(early, hits);
    eprintln!("{early} killed before the end, {late} after it");
}

#[test]
fn kill_during_pruning_leaves_a_verifiable_record() {
    check_killed_prunings(HITS_IN_ORDINARY_RUN);
}

fn check_killed_prunings(hits: u32) {
    let directory = TestDirectory::new("kill-prune");
    create_store(&directory, 5_000, None);
    let kept = directory.file("kept");
    fs::copy(directory.db(), &kept).expect("copied");
    let noted = SqliteReader::open(directory.db()).and_then(|store| store.head()).expect("head");
    let db = directory.db();
    let args = ["prune", utf8_path(&db), "4500", "50"];
    let full_time = run_time(&args);
    let mut early = 0;
    let mut kills = 0;
    for delay in kill_delays(full_time).take((hits * MAX_KILLS_PER_HIT) as usize) {
        if early == hits {
            break;
        }
        kills += 1;
        restore_store(&directory, &kept);
        let printed = killed_after(&args, delay);
        early += u32::from(!printed.ends_with("done\n"));
        let reported: u64 =
            printed.lines().filter_map(|line| line.strip_prefix("pruned ")?.parse::<u64>().ok()).sum();
        let mut store = directory.open();
        let found = verify(&store, &plain_sum, Some(noted)).expect("verifies");
        let steps = found.pruned / 50;
        assert_eq!(found.rows + found.pruned, 10_000 + steps, "a row for each step");
        assert!(
            found.pruned == reported || found.pruned == reported + 50,
            "reported {reported}, pruned {}",
            found.pruned
        );
        assert_eq!(store.keys(None, usize::MAX).expect("keys").len(), 5_000);
        let rest = store
            .prune(shaletide_types::Time(4500), usize::MAX, &pruned, &plain_sum)
            .expect("the pruning continues");
        assert_eq!(rest.anchor.map(|anchor| anchor.rows), Some(9_000));
        verify(&store, &plain_sum, Some(noted)).expect("verifies");
    }
    assert_eq!(early, hits);
    eprintln!("{early} of {kills} killed before the end");
}

#[test]
fn kill_during_backup_leaves_a_complete_copy_or_none() {
    check_killed_backups(HITS_IN_ORDINARY_RUN);
}

fn check_killed_backups(hits: u32) {
    let directory = TestDirectory::new("kill-backup");
    create_store(&directory, 5_000, None);
    let copy = directory.file("copy.db");
    let db = directory.db();
    let args = ["backup", utf8_path(&db), utf8_path(&copy)];
    let full_time = run_time(&args);
    let (mut without_copy, mut with_copy) = (0, 0);
    for delay in kill_delays(full_time.mul_f64(1.1)).take((hits * MAX_KILLS_PER_HIT) as usize) {
        if without_copy == hits {
            break;
        }
        let _ = fs::remove_file(&copy);
        killed_after(&args, delay);
        let store = directory.open();
        let noted = verified(&store).head;
        if copy.exists() {
            with_copy += 1;
        } else {
            without_copy += 1;
            store.backup(&copy).expect("the remains of the killed backup do not block another");
        }
        drop(store);
        // Opened for writing, as a proxy would use it.
        let copied = SqliteStore::open(&SqliteOptions::new(&copy)).expect("opens");
        assert_eq!(verify(&copied, &plain_sum, Some(noted)).expect("verifies").rows, 10_000);
        assert_eq!(copied.keys(None, usize::MAX).expect("keys").len(), 5_000);
    }
    assert_eq!(without_copy, hits);
    eprintln!("{without_copy} killed before the copy was there, {with_copy} after");
}

#[test]
#[ignore = "a minute"]
fn kill_in_25_hits_of_each_operation_loses_nothing() {
    check_killed_migrations(HITS_IN_LONG_RUN);
    check_killed_prunings(HITS_IN_LONG_RUN);
    check_killed_backups(HITS_IN_LONG_RUN);
}
