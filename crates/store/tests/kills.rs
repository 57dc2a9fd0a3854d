//! Children killed in the middle of what they do, at times drawn anew in each run: each time the store opens again,
//! its sums are right, and all that was acknowledged is there. A kill is a hit where it came before the end.
//!
//! Twenty-five hits of each sort: `cargo test --locked --release -p shaletide-store --test kills -- --ignored --nocapture`.

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

/// Kills of one round through the time that the whole takes.
const KILLS: u32 = 25;
/// Hits of each sort in the ordinary run.
const FEW: u32 = 6;
/// And in the long one.
const MANY: u32 = 25;
/// Kills at most, for one hit.
const TRIES: u32 = 12;

/// Starts a child, kills it after some time, and gives what it said.
fn killed_after(args: &[&str], time: Duration) -> String {
    let mut child = child(args).stdout(Stdio::piped()).spawn().expect("starts");
    std::thread::sleep(time);
    child.kill().expect("killed");
    child.wait().expect("ended");
    let mut said = String::new();
    child.stdout.take().expect("piped").read_to_string(&mut said).expect("text");
    said
}

/// How long it takes when nobody kills it.
fn timed(args: &[&str]) -> Duration {
    let began = Instant::now();
    let output = child(args).output().expect("runs");
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(said.ends_with("done\n"), "{said}");
    began.elapsed()
}

/// The moments of the kills: spread evenly over a time again and again, each moved a little by the clock's last digits.
fn moments(most: Duration) -> impl Iterator<Item = Duration> {
    (0..).map(move |number: u32| {
        let number = number * 7 % KILLS; // few of them are spread as well as all
        let noise = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |now| now.subsec_nanos());
        most.mul_f64((f64::from(number) + f64::from(noise % 1000) / 1000.0) / f64::from(KILLS))
    })
}

fn text(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

/// A store with that many settlements, of the times 0 up; without its newest tables if so asked.
fn filled(directory: &TestDirectory, settles: u64, target_version: Option<u32>) {
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

/// The closed store as it is, put back before each kill.
fn put_back(directory: &TestDirectory, kept: &Path) {
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
    for moment in moments(Duration::from_millis(100)).take(KILLS as usize) {
        let said = killed_after(&["commit", text(&directory.db()), &at.to_string(), "1000000"], moment);
        let acknowledged: Vec<u64> =
            said.lines().filter_map(|line| line.strip_prefix("acknowledged ")?.parse().ok()).collect();
        let store = directory.open();
        let found = verified(&store).rows;
        let last = acknowledged.last().copied().unwrap_or(at * 2);
        assert!(found == last || found == last + 2, "acknowledged {last}, found {found}");
        total += acknowledged.len();
        at = found / 2;
    }
    assert!(total > 0);
    eprintln!("{KILLS} kills, {total} commits acknowledged, none lost");
}

#[test]
fn kill_during_migration_is_completed_by_the_next_opening() {
    migrates(FEW);
}

fn migrates(hits: u32) {
    let directory = TestDirectory::new("kill-migrate");
    filled(&directory, 10_000, Some(1));
    let kept = directory.file("kept");
    fs::copy(directory.db(), &kept).expect("copied");
    let noted = SqliteReader::open(directory.db()).and_then(|store| store.head()).expect("head");
    let whole = timed(&["open", text(&directory.db())]);
    let (mut early, mut late) = (0, 0);
    for moment in moments(whole.mul_f64(1.2)).take((hits * TRIES) as usize) {
        if early == hits {
            break;
        }
        put_back(&directory, &kept);
        let said = killed_after(&["open", text(&directory.db())], moment);
        if said.ends_with("done\n") {
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
    eprintln!("{early} killed before the end, {late} behind it");
}

#[test]
fn kill_during_pruning_leaves_a_verifiable_record() {
    prunes(FEW);
}

fn prunes(hits: u32) {
    let directory = TestDirectory::new("kill-prune");
    filled(&directory, 5_000, None);
    let kept = directory.file("kept");
    fs::copy(directory.db(), &kept).expect("copied");
    let noted = SqliteReader::open(directory.db()).and_then(|store| store.head()).expect("head");
    let db = directory.db();
    let args = ["prune", text(&db), "4500", "50"];
    let whole = timed(&args);
    let mut early = 0;
    let mut tries = 0;
    for moment in moments(whole).take((hits * TRIES) as usize) {
        if early == hits {
            break;
        }
        tries += 1;
        put_back(&directory, &kept);
        let said = killed_after(&args, moment);
        early += u32::from(!said.ends_with("done\n"));
        let told: u64 =
            said.lines().filter_map(|line| line.strip_prefix("pruned ")?.parse::<u64>().ok()).sum();
        let mut store = directory.open();
        let found = verify(&store, &plain_sum, Some(noted)).expect("verifies");
        let steps = found.pruned / 50;
        assert_eq!(found.rows + found.pruned, 10_000 + steps, "a row for each step");
        assert!(found.pruned == told || found.pruned == told + 50, "told {told}, pruned {}", found.pruned);
        assert_eq!(store.keys(None, usize::MAX).expect("keys").len(), 5_000);
        let rest =
            store.prune(shaletide_types::Time(4500), usize::MAX, &pruned, &plain_sum).expect("prunes on");
        assert_eq!(rest.anchor.map(|anchor| anchor.rows), Some(9_000));
        verify(&store, &plain_sum, Some(noted)).expect("verifies");
    }
    assert_eq!(early, hits);
    eprintln!("{early} of {tries} killed before the end");
}

#[test]
fn kill_during_backup_leaves_a_complete_copy_or_none() {
    backs_up(FEW);
}

fn backs_up(hits: u32) {
    let directory = TestDirectory::new("kill-backup");
    filled(&directory, 5_000, None);
    let copy = directory.file("copy.db");
    let db = directory.db();
    let args = ["backup", text(&db), text(&copy)];
    let whole = timed(&args);
    let (mut none, mut there) = (0, 0);
    for moment in moments(whole.mul_f64(1.1)).take((hits * TRIES) as usize) {
        if none == hits {
            break;
        }
        let _ = fs::remove_file(&copy);
        killed_after(&args, moment);
        let store = directory.open();
        let noted = verified(&store).head;
        if copy.exists() {
            there += 1;
        } else {
            none += 1;
            store.backup(&copy).expect("what the killed one left is not in the way");
        }
        drop(store);
        // As it would be used: opened to write.
        let copied = SqliteStore::open(&SqliteOptions::new(&copy)).expect("opens");
        assert_eq!(verify(&copied, &plain_sum, Some(noted)).expect("verifies").rows, 10_000);
        assert_eq!(copied.keys(None, usize::MAX).expect("keys").len(), 5_000);
    }
    assert_eq!(none, hits);
    eprintln!("{none} killed before the copy was there, {there} behind");
}

#[test]
#[ignore = "a minute"]
fn kill_at_25_moments_of_each_operation() {
    migrates(MANY);
    prunes(MANY);
    backs_up(MANY);
}
