//! Below SQLite: the order of the system calls, and what happens when one of them fails. With strace where it is.

mod common;

use std::fs;
use std::io::Read;
use std::path::Path;
use std::process::Output;

use common::{child_program, has, verified, TestDirectory};
use shaletide_store::conformance::{key, plain_sum, take};
use shaletide_store::{SqliteOptions, SqliteStore, Store, StoreReader};

fn stdout_of(output: Output) -> String {
    String::from_utf8(output.stdout).expect("text")
}

fn path(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

/// The child commits under strace with these arguments; none if there is no strace that may trace.
fn traced(directory: &TestDirectory, arguments: &[&str], commits: &str) -> Option<(String, String)> {
    if !has("strace") {
        eprintln!("skipped: no strace here");
        return None;
    }
    let trace = directory.file("trace");
    let mut strace = std::process::Command::new("strace");
    strace.args(["-f", "-y", "-o", path(&trace)]).args(arguments);
    let output = strace
        .arg(child_program())
        .args(["commit", path(&directory.db()), "0", commits])
        .output()
        .expect("runs");
    let mut calls = String::new();
    if fs::File::open(&trace).and_then(|mut file| file.read_to_string(&mut calls)).is_err()
        || calls.is_empty()
    {
        eprintln!("skipped: strace may not trace here");
        return None;
    }
    Some((stdout_of(output), calls))
}

/// A killed process does not lose what the system has in memory, so the order of the calls is what shows.
#[test]
fn log_is_synced_before_the_acknowledgement() {
    let directory = TestDirectory::new("strace");
    let trace = ["-e", "trace=write,pwrite64,pwritev,fsync,fdatasync"];
    let Some((said, calls)) = traced(&directory, &trace, "20") else { return };
    assert!(said.ends_with("done\n"));
    let (mut written, mut synced, mut answers) = (false, false, 0);
    for call in calls.lines() {
        let log = call.contains("record.db-wal>");
        if log && call.contains("write") {
            (written, synced) = (true, false);
        } else if log && call.contains("sync(") && call.ends_with("= 0") {
            synced = true;
        } else if call.contains("\"acknowledged ") {
            assert!(written && synced, "answer {answers} came before the sync");
            (written, synced, answers) = (false, false, answers + 1);
        }
    }
    assert_eq!(answers, 20);
}

#[test]
fn failed_system_call_has_its_error_code_and_loses_nothing_acknowledged() {
    let errors =
        [("fsync,fdatasync", "EIO", "io"), ("pwrite64", "EIO", "io"), ("pwrite64", "ENOSPC", "full")];
    for (call, error, word) in errors {
        for when in [12, 25, 38] {
            let directory = TestDirectory::new("inject");
            drop(directory.open());
            let inject = format!("inject={call}:error={error}:when={when}+");
            let Some((said, _)) = traced(&directory, &["-e", &format!("trace={call}"), "-e", &inject], "100")
            else {
                return;
            };
            let what = format!("{call} {error} {when}: {said}");
            assert!(
                said.lines().last().is_some_and(|last| last.starts_with(&format!("failed {word}"))),
                "{what}"
            );
            let acknowledged = said
                .lines()
                .filter_map(|line| line.strip_prefix("acknowledged ")?.parse().ok())
                .max()
                .unwrap_or(0);
            let mut store = directory.open();
            let found = verified(&store).rows;
            assert!(found == acknowledged || found == acknowledged + 2, "{what}: {found}");
            store.commit(&[take(1, &key("more"))], &plain_sum).expect("works on");
        }
    }
}

#[test]
fn failed_store_reopens_only_after_its_log_is_copied() {
    let directory = TestDirectory::new("copied");
    let mut store = directory.open();
    store.commit(&[take(1, &key("a"))], &plain_sum).expect("commits");
    let other = rusqlite::Connection::open(directory.db()).expect("opens");
    other.execute_batch("BEGIN; SELECT count(*) FROM rows").expect("reads on");
    store.commit(&[take(1, &key("b"))], &plain_sum).expect("a reader is not in the way of that");
    drop(store);
    let again = SqliteOptions { create: false, ..directory.options() };
    assert!(SqliteStore::open(&again).is_err_and(|error| error.code() == "busy"));
    other.execute_batch("COMMIT").expect("ends");
    assert_eq!(SqliteStore::open(&again).expect("opens").head().expect("head").seq, 2);
}
