//! The order of the system calls below SQLite, and the effect of a failed one. These tests need strace.

mod common;

use std::fs;
use std::io::Read;
use std::path::Path;
use std::process::Output;

use common::{child_program, is_installed, verified, TestDirectory};
use shaletide_store::conformance::{key, plain_sum, take};
use shaletide_store::{SqliteOptions, SqliteStore, Store, StoreReader};

fn stdout_of(output: Output) -> String {
    String::from_utf8(output.stdout).expect("text")
}

fn path(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

/// Runs the child's commits under strace with these arguments. Returns its output and the trace; `None` if strace is not
/// installed or may not trace.
fn traced(directory: &TestDirectory, arguments: &[&str], commits: &str) -> Option<(String, String)> {
    if !is_installed("strace") {
        eprintln!("skipped: strace is not installed");
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
        eprintln!("skipped: strace may not trace on this machine");
        return None;
    }
    Some((stdout_of(output), calls))
}

/// The system keeps the written pages of a killed process, so a kill cannot reveal a missing sync. The order of the calls
/// does.
#[test]
fn log_is_synced_before_the_acknowledgement() {
    let directory = TestDirectory::new("strace");
    let trace = ["-e", "trace=write,pwrite64,pwritev,fsync,fdatasync"];
    let Some((printed, calls)) = traced(&directory, &trace, "20") else { return };
    assert!(printed.ends_with("done\n"));
    let (mut written, mut synced, mut acknowledgements) = (false, false, 0);
    for call in calls.lines() {
        let log = call.contains("record.db-wal>");
        if log && call.contains("write") {
            (written, synced) = (true, false);
        } else if log && call.contains("sync(") && call.ends_with("= 0") {
            synced = true;
        } else if call.contains("\"acknowledged ") {
            assert!(written && synced, "acknowledgement {acknowledgements} came before the sync");
            (written, synced, acknowledgements) = (false, false, acknowledgements + 1);
        }
    }
    assert_eq!(acknowledgements, 20);
}

#[test]
fn failed_system_call_is_reported_and_loses_no_acknowledged_row() {
    let errors =
        [("fsync,fdatasync", "EIO", "io"), ("pwrite64", "EIO", "io"), ("pwrite64", "ENOSPC", "full")];
    for (call, error, expected_code) in errors {
        for when in [12, 25, 38] {
            let directory = TestDirectory::new("inject");
            drop(directory.open());
            let inject = format!("inject={call}:error={error}:when={when}+");
            let Some((printed, _)) =
                traced(&directory, &["-e", &format!("trace={call}"), "-e", &inject], "100")
            else {
                return;
            };
            let case = format!("{call} {error} {when}: {printed}");
            assert!(
                printed
                    .lines()
                    .last()
                    .is_some_and(|last| last.starts_with(&format!("failed {expected_code}"))),
                "{case}"
            );
            let acknowledged = printed
                .lines()
                .filter_map(|line| line.strip_prefix("acknowledged ")?.parse().ok())
                .max()
                .unwrap_or(0);
            let mut store = directory.open();
            let found = verified(&store).rows;
            assert!(found == acknowledged || found == acknowledged + 2, "{case}: {found}");
            store.commit(&[take(1, &key("more"))], &plain_sum).expect("the store works again");
        }
    }
}

#[test]
fn failed_store_reopens_only_after_its_log_is_copied() {
    let directory = TestDirectory::new("copied");
    let mut store = directory.open();
    store.commit(&[take(1, &key("a"))], &plain_sum).expect("commits");
    let other = rusqlite::Connection::open(directory.db()).expect("opens");
    other.execute_batch("BEGIN; SELECT count(*) FROM rows").expect("begins to read");
    store.commit(&[take(1, &key("b"))], &plain_sum).expect("a reader does not block commits");
    drop(store);
    let again = SqliteOptions { create: false, ..directory.options() };
    assert!(SqliteStore::open(&again).is_err_and(|error| error.code() == "busy"));
    other.execute_batch("COMMIT").expect("ends");
    assert_eq!(SqliteStore::open(&again).expect("opens").head().expect("head").seq, 2);
}
