//! Faults of a store on a disk: each has its own error code, no acknowledged row is lost, and the store works again after it.

mod common;

use std::fs;
use std::io::{BufRead, BufReader};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

use common::{child, child_program, is_installed, verified, TestDirectory};
use shaletide_store::conformance::{key, plain_sum, take};
use shaletide_store::{
    CommitError, CommitOutcome, SqliteOptions, SqliteReader, SqliteStore, Store, StoreError, StoreReader,
};

/// Starts a child and waits for its first line of output.
fn start_child(args: &[&str]) -> Child {
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

fn kill_child(mut child: Child) {
    child.kill().expect("killed");
    child.wait().expect("ended");
}

fn stdout_of(output: std::process::Output) -> String {
    String::from_utf8(output.stdout).expect("text")
}

fn path(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

fn commit(store: &mut SqliteStore, name: &str) -> Result<u64, CommitError> {
    let rows = store.commit(&[take(1, &key(name))], &plain_sum)?;
    Ok(rows[0].expect("a new key"))
}

fn error_code(opened: Result<SqliteStore, StoreError>) -> &'static str {
    opened.err().map_or("none", |error| error.code())
}

#[test]
fn second_owner_is_rejected_and_readers_are_not() {
    let directory = TestDirectory::new("owners");
    let holder = start_child(&["hold", path(&directory.db())]);
    assert_eq!(error_code(SqliteStore::open(&directory.options())), "owned");
    let link = directory.file("link.db");
    std::os::unix::fs::symlink(directory.db(), &link).expect("a link");
    assert_eq!(
        error_code(SqliteStore::open(&SqliteOptions::new(link))),
        "owned",
        "also through a symbolic link"
    );
    assert_eq!(SqliteReader::open(directory.db()).expect("reads beside").head().expect("head").seq, 0);
    kill_child(holder);
    let mut store = directory.open();
    assert_eq!(error_code(SqliteStore::open(&directory.options())), "owned", "also within one process");
    assert_eq!(commit(&mut store, "a").expect("commits"), 1);
    let reader = SqliteReader::open(directory.db()).expect("reads beside");
    assert_eq!(reader.head().expect("head").seq, 1);
    assert_eq!(commit(&mut store, "b").expect("commits"), 2);
    assert_eq!(reader.head().expect("head").seq, 2);
}

#[test]
fn files_are_readable_by_their_user_only() {
    let directory = TestDirectory::new("mode");
    let mut store = directory.open();
    commit(&mut store, "a").expect("commits");
    store.backup(&directory.file("copy.db")).expect("backup");
    for name in ["record.db", "record.db-wal", "record.db-shm", "record.db.lock", "copy.db"] {
        let mode = directory.file(name).metadata().expect(name).permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{name}");
    }
}

#[test]
fn store_locked_by_another_process_is_busy_and_writes_nothing() {
    let directory = TestDirectory::new("busy");
    let mut store = directory.open();
    let other = start_child(&["lock", path(&directory.db())]);
    let began = Instant::now();
    let failed = commit(&mut store, "a").expect_err("locked");
    assert!(began.elapsed() >= Duration::from_millis(200), "the commit waits for the busy timeout");
    assert_eq!((failed.error.code(), failed.outcome), ("busy", CommitOutcome::Nothing));
    assert!(std::error::Error::source(&failed.error).is_some());
    kill_child(other);
    assert_eq!(commit(&mut store, "a").expect("commits"), 1);
}

#[test]
fn removed_or_replaced_file_is_reported_as_gone() {
    for name in ["record.db", "record.db-wal", "record.db-shm", "record.db.lock"] {
        let directory = TestDirectory::new("gone");
        let mut store = directory.open();
        commit(&mut store, "a").expect("commits");
        let lost = directory.file(name);
        let kept = directory.file("kept");
        fs::rename(&lost, &kept).expect("renamed");
        let failed = commit(&mut store, "b").expect_err("removed");
        assert!(matches!(&failed.error, StoreError::Gone { path } if path.ends_with(name)), "{failed:?}");
        assert_eq!(failed.outcome, CommitOutcome::Nothing);
        fs::copy(&kept, &lost).expect("copied");
        assert_eq!(commit(&mut store, "b").expect_err("replaced").error.code(), "gone");
        fs::rename(&kept, &lost).expect("renamed");
        assert_eq!(commit(&mut store, "b").expect("the original file"), 2);
    }
}

#[test]
fn missing_store_is_not_created_when_opened_again() {
    let directory = TestDirectory::new("anew");
    let again = SqliteOptions { create: false, ..directory.options() };
    assert_eq!(error_code(SqliteStore::open(&again)), "gone");
    assert!(!directory.db().exists());
    fs::write(directory.db(), []).expect("an empty file");
    assert_eq!(error_code(SqliteStore::open(&again)), "gone");
    assert!(SqliteReader::open(directory.file("none.db")).is_err_and(|error| error.code() == "gone"));
}

#[test]
fn file_that_is_not_a_store_is_rejected_and_left_unchanged() {
    let directory = TestDirectory::new("other");
    fs::write(directory.db(), "no database at all, but long enough to be looked at ".repeat(100))
        .expect("written");
    let before = fs::read(directory.db()).expect("read");
    assert_eq!(error_code(SqliteStore::open(&directory.options())), "corrupt");
    assert_eq!(fs::read(directory.db()).expect("read"), before);
    let other = directory.file("other.db");
    rusqlite::Connection::open(&other).and_then(|db| db.execute_batch("CREATE TABLE t (x)")).expect("made");
    assert_eq!(error_code(SqliteStore::open(&SqliteOptions::new(&other))), "corrupt");
    let twice = directory.file("twice.db");
    drop(SqliteStore::open(&SqliteOptions::new(&twice)).expect("opens"));
    fs::hard_link(&twice, directory.file("name.db")).expect("linked");
    assert_eq!(
        error_code(SqliteStore::open(&SqliteOptions::new(&twice))),
        "other",
        "SQLite would keep a log for each name"
    );
}

#[test]
fn newer_store_is_rejected_and_left_unchanged() {
    let directory = TestDirectory::new("newer");
    let store = directory.open();
    store.execute_for_test("PRAGMA user_version = 99").expect("planted");
    drop(store);
    let before = fs::read(directory.db()).expect("read");
    let error = SqliteStore::open(&directory.options()).err().expect("refused");
    assert_eq!(error.to_string(), "the store has schema version 99; this program supports versions up to 2");
    assert!(SqliteReader::open(directory.db()).is_err_and(|error| error.code() == "newer"));
    assert_eq!(fs::read(directory.db()).expect("read"), before);
}

/// Root may write to any file, so this test makes the connection read-only. The next test uses another user.
#[test]
fn connection_without_write_access_is_read_only() {
    let directory = TestDirectory::new("query-only");
    let mut store = directory.open();
    store.execute_for_test("PRAGMA query_only = ON").expect("planted");
    let failed = commit(&mut store, "a").expect_err("read-only");
    assert_eq!((failed.error.code(), failed.outcome), ("read-only", CommitOutcome::Nothing));
    store.execute_for_test("PRAGMA query_only = OFF").expect("planted");
    assert_eq!(commit(&mut store, "a").expect("commits"), 1);
}

/// Needs root: runs a copy of the child as another user through `setpriv`.
#[test]
fn file_without_write_permission_is_read_only() {
    let directory = TestDirectory::new("read-only");
    drop(directory.open());
    let program = directory.file("child");
    fs::copy(child_program(), &program).expect("copied");
    fs::remove_file(directory.file("record.db.lock")).expect("removed");
    let mode = |path: &Path, mode| fs::set_permissions(path, fs::Permissions::from_mode(mode)).expect("mode");
    mode(&directory.db(), 0o444);
    mode(directory.dir(), 0o555);
    let run = |dir_mode: u32| {
        mode(directory.dir(), dir_mode);
        let mut other = std::process::Command::new("setpriv");
        other.args(["--reuid=65534", "--regid=65534", "--clear-groups"]).arg(&program);
        other.args(["open", path(&directory.db())]).output().map(stdout_of).unwrap_or_default()
    };
    if !is_installed("setpriv") || run(0o777).is_empty() {
        eprintln!("skipped: running as another user needs root and setpriv");
        return;
    }
    for dir_mode in [0o555, 0o777] {
        let printed = run(dir_mode);
        assert!(printed.starts_with("failed read-only"), "{dir_mode:o}: {printed}");
    }
    mode(directory.dir(), 0o755);
}

#[test]
fn store_at_its_page_limit_is_full_until_there_is_room() {
    let directory = TestDirectory::new("full");
    let mut store =
        SqliteStore::open(&SqliteOptions { max_pages: Some(100), ..directory.options() }).expect("opens");
    let mut acknowledged = 0;
    let failed = loop {
        match commit(&mut store, &format!("{acknowledged:01000}")) {
            Ok(seq) => acknowledged = seq,
            Err(failed) => break failed,
        }
    };
    assert_eq!((failed.error.code(), failed.outcome), ("full", CommitOutcome::Nothing));
    assert!(acknowledged > 10);
    assert_eq!(verified(&store).rows, acknowledged);
    drop(store);
    let mut store = directory.open();
    assert_eq!(commit(&mut store, "more").expect("room"), acknowledged + 1);
    assert_eq!(verified(&store).rows, acknowledged + 1);
}

#[test]
fn file_size_limit_is_full_and_loses_nothing() {
    let directory = TestDirectory::new("ulimit");
    drop(directory.open());
    // The limit is in blocks of 512 bytes. As the signal is ignored, a write beyond the limit fails.
    let script = "trap '' XFSZ; ulimit -f 600; exec \"$0\" commit \"$1\" 0 10000";
    let mut shell = std::process::Command::new("sh");
    let output =
        shell.args(["-c", script, path(&child_program()), path(&directory.db())]).output().expect("sh");
    let printed = stdout_of(output);
    let last = printed.lines().last().expect("some output");
    assert!(last.starts_with("failed full"), "{last}");
    let acknowledged: u64 = printed
        .lines()
        .filter_map(|line| line.strip_prefix("acknowledged ")?.parse().ok())
        .max()
        .expect("some");
    let mut store = directory.open();
    let found = verified(&store).rows;
    assert!(
        found == acknowledged || found == acknowledged + 2,
        "the failed commit is stored whole or not at all: {acknowledged} acknowledged, {found} found"
    );
    assert_eq!(commit(&mut store, "more").expect("room"), found + 1);
}

#[test]
fn overwritten_page_is_corrupt() {
    let directory = TestDirectory::new("corrupt");
    let mut store = directory.open();
    for at in 0..200 {
        commit(&mut store, &format!("{at:0500}")).expect("commits");
    }
    drop(store);
    let mut bytes = fs::read(directory.db()).expect("read");
    let length = bytes.len();
    bytes[4096..length].chunks_mut(4096).for_each(|page| page[..64].fill(0xa5));
    fs::write(directory.db(), bytes).expect("written");
    let opened = SqliteStore::open(&directory.options());
    let found = opened.and_then(|store| store.head().map(|_| store));
    assert_eq!(error_code(found), "corrupt");
}

#[test]
fn synchronous_off_is_rejected_before_any_write() {
    let directory = TestDirectory::new("sync");
    let mut store = directory.open();
    assert_eq!(store.setting("synchronous").expect("read"), "2");
    assert_eq!(store.setting("journal_mode").expect("read"), "wal");
    for value in ["OFF", "NORMAL"] {
        store.execute_for_test(&format!("PRAGMA synchronous = {value}")).expect("planted");
        let failed = commit(&mut store, "a").expect_err("not in force");
        assert!(matches!(failed.error, StoreError::NotInForce { pragma: "synchronous", .. }), "{failed:?}");
        assert_eq!(failed.outcome, CommitOutcome::Nothing);
    }
    store.execute_for_test("PRAGMA synchronous = FULL").expect("planted");
    assert_eq!(commit(&mut store, "a").expect("commits"), 1);
}
