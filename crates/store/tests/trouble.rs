//! What can be wrong with a store on a disk: each told apart, nothing acknowledged lost, and back when it is over.

mod common;

use std::fs;
use std::io::{BufRead, BufReader};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

use common::{child, child_program, has, verified, Place};
use shaletide_store::conformance::{key, plain_sum, take};
use shaletide_store::{
    CommitError, CommitOutcome, SqliteOptions, SqliteReader, SqliteStore, Store, StoreError, StoreReader,
};

/// A child that has said its first word.
fn started(args: &[&str]) -> Child {
    let mut child = child(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the example `child` is built");
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().expect("piped")).read_line(&mut line).expect("a line");
    assert!(line.starts_with("open") || line.starts_with("locked"), "{line}");
    child
}

fn end(mut child: Child) {
    child.kill().expect("killed");
    child.wait().expect("ended");
}

fn said(output: std::process::Output) -> String {
    String::from_utf8(output.stdout).expect("text")
}

fn path(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

fn commit(store: &mut SqliteStore, name: &str) -> Result<u64, CommitError> {
    let rows = store.commit(&[take(1, &key(name))], &plain_sum)?;
    Ok(rows[0].expect("a new key"))
}

fn word(opened: Result<SqliteStore, StoreError>) -> &'static str {
    opened.err().map_or("none", |error| error.code())
}

#[test]
fn a_second_owner_is_refused_and_readers_are_not() {
    let place = Place::new("owners");
    let holder = started(&["hold", path(&place.db())]);
    assert_eq!(word(SqliteStore::open(&place.options())), "owned");
    let link = place.file("link.db");
    std::os::unix::fs::symlink(place.db(), &link).expect("a link");
    assert_eq!(word(SqliteStore::open(&SqliteOptions::new(link))), "owned", "by another name either");
    assert_eq!(SqliteReader::open(place.db()).expect("reads beside").head().expect("head").seq, 0);
    end(holder);
    let mut store = place.open();
    assert_eq!(word(SqliteStore::open(&place.options())), "owned", "within one process either");
    assert_eq!(commit(&mut store, "a").expect("commits"), 1);
    let reader = SqliteReader::open(place.db()).expect("reads beside");
    assert_eq!(reader.head().expect("head").seq, 1);
    assert_eq!(commit(&mut store, "b").expect("commits"), 2);
    assert_eq!(reader.head().expect("head").seq, 2);
}

#[test]
fn its_files_are_for_the_owner_alone() {
    let place = Place::new("mode");
    let mut store = place.open();
    commit(&mut store, "a").expect("commits");
    store.backup(&place.file("copy.db")).expect("backup");
    for name in ["record.db", "record.db-wal", "record.db-shm", "record.db.lock", "copy.db"] {
        let mode = place.file(name).metadata().expect(name).permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{name}");
    }
}

#[test]
fn locked_by_another_process_is_busy_and_nothing_is_written() {
    let place = Place::new("busy");
    let mut store = place.open();
    let other = started(&["lock", path(&place.db())]);
    let began = Instant::now();
    let failed = commit(&mut store, "a").expect_err("locked");
    assert!(began.elapsed() >= Duration::from_millis(200), "it waits for a while");
    assert_eq!((failed.error.code(), failed.outcome), ("busy", CommitOutcome::Nothing));
    assert!(std::error::Error::source(&failed.error).is_some());
    end(other);
    assert_eq!(commit(&mut store, "a").expect("commits"), 1);
}

#[test]
fn a_file_that_is_removed_or_replaced_is_gone() {
    for name in ["record.db", "record.db-wal", "record.db-shm", "record.db.lock"] {
        let place = Place::new("gone");
        let mut store = place.open();
        commit(&mut store, "a").expect("commits");
        let lost = place.file(name);
        let kept = place.file("kept");
        fs::rename(&lost, &kept).expect("renamed");
        let failed = commit(&mut store, "b").expect_err("removed");
        assert!(matches!(&failed.error, StoreError::Gone { path } if path.ends_with(name)), "{failed:?}");
        assert_eq!(failed.outcome, CommitOutcome::Nothing);
        fs::copy(&kept, &lost).expect("copied");
        assert_eq!(commit(&mut store, "b").expect_err("replaced").error.code(), "gone");
        fs::rename(&kept, &lost).expect("renamed");
        assert_eq!(commit(&mut store, "b").expect("as it was"), 2);
    }
}

#[test]
fn a_store_that_was_open_is_not_made_anew() {
    let place = Place::new("anew");
    let again = SqliteOptions { create: false, ..place.options() };
    assert_eq!(word(SqliteStore::open(&again)), "gone");
    assert!(!place.db().exists());
    fs::write(place.db(), []).expect("an empty file");
    assert_eq!(word(SqliteStore::open(&again)), "gone");
    assert!(SqliteReader::open(place.file("none.db")).is_err_and(|error| error.code() == "gone"));
}

#[test]
fn what_is_not_a_store_is_refused_and_left_alone() {
    let place = Place::new("other");
    fs::write(place.db(), "no database at all, but long enough to be looked at ".repeat(100))
        .expect("written");
    let before = fs::read(place.db()).expect("read");
    assert_eq!(word(SqliteStore::open(&place.options())), "corrupt");
    assert_eq!(fs::read(place.db()).expect("read"), before);
    let other = place.file("other.db");
    rusqlite::Connection::open(&other).and_then(|db| db.execute_batch("CREATE TABLE t (x)")).expect("made");
    assert_eq!(word(SqliteStore::open(&SqliteOptions::new(&other))), "corrupt");
    let twice = place.file("twice.db");
    drop(SqliteStore::open(&SqliteOptions::new(&twice)).expect("opens"));
    fs::hard_link(&twice, place.file("name.db")).expect("linked");
    assert_eq!(word(SqliteStore::open(&SqliteOptions::new(&twice))), "other", "two names would be two logs");
}

#[test]
fn a_newer_store_is_refused_clearly_and_left_alone() {
    let place = Place::new("newer");
    let store = place.open();
    store.plant("PRAGMA user_version = 99").expect("planted");
    drop(store);
    let before = fs::read(place.db()).expect("read");
    let error = SqliteStore::open(&place.options()).err().expect("refused");
    assert_eq!(error.to_string(), "the store has version 99; this program knows versions up to 2");
    assert!(SqliteReader::open(place.db()).is_err_and(|error| error.code() == "newer"));
    assert_eq!(fs::read(place.db()).expect("read"), before);
}

/// Root may write to anything, so the connection is made to refuse; another user is tried below.
#[test]
fn a_connection_that_may_not_write_is_read_only() {
    let place = Place::new("query-only");
    let mut store = place.open();
    store.plant("PRAGMA query_only = ON").expect("planted");
    let failed = commit(&mut store, "a").expect_err("read-only");
    assert_eq!((failed.error.code(), failed.outcome), ("read-only", CommitOutcome::Nothing));
    store.plant("PRAGMA query_only = OFF").expect("planted");
    assert_eq!(commit(&mut store, "a").expect("commits"), 1);
}

/// As root through `setpriv`, with a copy of the program that the other user may run.
#[test]
fn a_file_that_its_user_may_not_write_is_read_only() {
    let place = Place::new("read-only");
    drop(place.open());
    let program = place.file("child");
    fs::copy(child_program(), &program).expect("copied");
    fs::remove_file(place.file("record.db.lock")).expect("removed");
    let mode = |path: &Path, mode| fs::set_permissions(path, fs::Permissions::from_mode(mode)).expect("mode");
    mode(&place.db(), 0o444);
    mode(place.dir(), 0o555);
    let run = |dir_mode: u32| {
        mode(place.dir(), dir_mode);
        let mut other = std::process::Command::new("setpriv");
        other.args(["--reuid=65534", "--regid=65534", "--clear-groups"]).arg(&program);
        other.args(["open", path(&place.db())]).output().map(said).unwrap_or_default()
    };
    if !has("setpriv") || run(0o777).is_empty() {
        eprintln!("skipped: it takes root and setpriv to be somebody else");
        return;
    }
    for dir_mode in [0o555, 0o777] {
        let said = run(dir_mode);
        assert!(said.starts_with("failed read-only"), "{dir_mode:o}: {said}");
    }
    mode(place.dir(), 0o755);
}

#[test]
fn a_store_at_its_own_limit_is_full_and_works_on_when_there_is_room() {
    let place = Place::new("full");
    let mut store =
        SqliteStore::open(&SqliteOptions { max_pages: Some(100), ..place.options() }).expect("opens");
    let mut acked = 0;
    let failed = loop {
        match commit(&mut store, &format!("{acked:01000}")) {
            Ok(seq) => acked = seq,
            Err(failed) => break failed,
        }
    };
    assert_eq!((failed.error.code(), failed.outcome), ("full", CommitOutcome::Nothing));
    assert!(acked > 10);
    assert_eq!(verified(&store).rows, acked);
    drop(store);
    let mut store = place.open();
    assert_eq!(commit(&mut store, "more").expect("room"), acked + 1);
    assert_eq!(verified(&store).rows, acked + 1);
}

#[test]
fn a_limit_on_the_size_of_files_is_full_and_loses_nothing() {
    let place = Place::new("ulimit");
    drop(place.open());
    // In blocks of 512 bytes. The signal ignored, a write beyond it fails.
    let script = "trap '' XFSZ; ulimit -f 600; exec \"$0\" commit \"$1\" 0 10000";
    let mut shell = std::process::Command::new("sh");
    let output = shell.args(["-c", script, path(&child_program()), path(&place.db())]).output().expect("sh");
    let said = said(output);
    let last = said.lines().last().expect("something");
    assert!(last.starts_with("failed full"), "{last}");
    let acked: u64 =
        said.lines().filter_map(|line| line.strip_prefix("acked ")?.parse().ok()).max().expect("some");
    let mut store = place.open();
    let found = verified(&store).rows;
    assert!(
        found == acked || found == acked + 2,
        "the commit that failed is there as a whole or not: {acked} {found}"
    );
    assert_eq!(commit(&mut store, "more").expect("room"), found + 1);
}

#[test]
fn a_page_that_was_overwritten_is_corrupt() {
    let place = Place::new("corrupt");
    let mut store = place.open();
    for at in 0..200 {
        commit(&mut store, &format!("{at:0500}")).expect("commits");
    }
    drop(store);
    let mut bytes = fs::read(place.db()).expect("read");
    let length = bytes.len();
    bytes[4096..length].chunks_mut(4096).for_each(|page| page[..64].fill(0xa5));
    fs::write(place.db(), bytes).expect("written");
    let opened = SqliteStore::open(&place.options());
    let found = opened.and_then(|store| store.head().map(|_| store));
    assert_eq!(word(found), "corrupt");
}

#[test]
fn a_planted_synchronous_off_is_refused_before_anything_is_written() {
    let place = Place::new("sync");
    let mut store = place.open();
    assert_eq!(store.setting("synchronous").expect("read"), "2");
    assert_eq!(store.setting("journal_mode").expect("read"), "wal");
    for planted in ["OFF", "NORMAL"] {
        store.plant(&format!("PRAGMA synchronous = {planted}")).expect("planted");
        let failed = commit(&mut store, "a").expect_err("not in force");
        assert!(matches!(failed.error, StoreError::NotInForce { pragma: "synchronous", .. }), "{failed:?}");
        assert_eq!(failed.outcome, CommitOutcome::Nothing);
    }
    store.plant("PRAGMA synchronous = FULL").expect("planted");
    assert_eq!(commit(&mut store, "a").expect("commits"), 1);
}
