//! Below SQLite: the order of the system calls, and what happens when one of them fails. With strace where it is.

mod common;

use std::fs;
use std::io::Read;
use std::path::Path;
use std::process::Output;

use common::{child_program, has, verified, Place};
use shaletide_store::conformance::{key, plain_sum, take};
use shaletide_store::{SqliteOptions, SqliteStore, Store, StoreReader};

fn said(output: Output) -> String {
    String::from_utf8(output.stdout).expect("text")
}

fn path(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

/// The child commits under strace with these arguments; none if there is no strace that may trace.
fn traced(place: &Place, arguments: &[&str], commits: &str) -> Option<(String, String)> {
    if !has("strace") {
        eprintln!("skipped: no strace here");
        return None;
    }
    let trace = place.file("trace");
    let mut strace = std::process::Command::new("strace");
    strace.args(["-f", "-y", "-o", path(&trace)]).args(arguments);
    let output =
        strace.arg(child_program()).args(["commit", path(&place.db()), "0", commits]).output().expect("runs");
    let mut calls = String::new();
    if fs::File::open(&trace).and_then(|mut file| file.read_to_string(&mut calls)).is_err()
        || calls.is_empty()
    {
        eprintln!("skipped: strace may not trace here");
        return None;
    }
    Some((said(output), calls))
}

/// A killed process does not lose what the system has in memory, so the order of the calls is what shows.
#[test]
fn the_log_is_synced_between_its_last_write_and_the_answer() {
    let place = Place::new("strace");
    let trace = ["-e", "trace=write,pwrite64,pwritev,fsync,fdatasync"];
    let Some((said, calls)) = traced(&place, &trace, "20") else { return };
    assert!(said.ends_with("done\n"));
    let (mut written, mut synced, mut answers) = (false, false, 0);
    for call in calls.lines() {
        let log = call.contains("record.db-wal>");
        if log && call.contains("write") {
            (written, synced) = (true, false);
        } else if log && call.contains("sync(") && call.ends_with("= 0") {
            synced = true;
        } else if call.contains("\"acked ") {
            assert!(written && synced, "answer {answers} came before the sync");
            (written, synced, answers) = (false, false, answers + 1);
        }
    }
    assert_eq!(answers, 20);
}

#[test]
fn a_call_that_fails_is_told_apart_and_loses_nothing_acknowledged() {
    let errors =
        [("fsync,fdatasync", "EIO", "io"), ("pwrite64", "EIO", "io"), ("pwrite64", "ENOSPC", "full")];
    for (call, error, word) in errors {
        for when in [12, 25, 38] {
            let place = Place::new("inject");
            drop(place.open());
            let inject = format!("inject={call}:error={error}:when={when}+");
            let Some((said, _)) = traced(&place, &["-e", &format!("trace={call}"), "-e", &inject], "100")
            else {
                return;
            };
            let what = format!("{call} {error} {when}: {said}");
            assert!(
                said.lines().last().is_some_and(|last| last.starts_with(&format!("failed {word}"))),
                "{what}"
            );
            let acked =
                said.lines().filter_map(|line| line.strip_prefix("acked ")?.parse().ok()).max().unwrap_or(0);
            let mut store = place.open();
            let found = verified(&store).rows;
            assert!(found == acked || found == acked + 2, "{what}: {found}");
            store.commit(&[take(1, &key("more"))], &plain_sum).expect("works on");
        }
    }
}

#[test]
fn a_store_that_failed_is_back_only_when_its_log_was_copied() {
    let place = Place::new("copied");
    let mut store = place.open();
    store.commit(&[take(1, &key("a"))], &plain_sum).expect("commits");
    let other = rusqlite::Connection::open(place.db()).expect("opens");
    other.execute_batch("BEGIN; SELECT count(*) FROM rows").expect("reads on");
    store.commit(&[take(1, &key("b"))], &plain_sum).expect("a reader is not in the way of that");
    drop(store);
    let again = SqliteOptions { create: false, ..place.options() };
    assert!(SqliteStore::open(&again).is_err_and(|error| error.code() == "busy"));
    other.execute_batch("COMMIT").expect("ends");
    assert_eq!(SqliteStore::open(&again).expect("opens").head().expect("head").seq, 2);
}
