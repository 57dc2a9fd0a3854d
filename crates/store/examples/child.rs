//! A process that the tests trace, limit and kill. It does one operation on a store and prints its progress.

use std::io::{Read, Write as _};
use std::time::Instant;

use rusqlite::Connection;
use shaletide_record::KeyState;
use shaletide_store::conformance::{key, plain_sum, pruned, set, take};
use shaletide_store::{SqliteOptions, SqliteStore, Store, StoreError, StoreReader};
use shaletide_types::Time;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let done = match args[..] {
        ["open", db] => SqliteStore::open(&SqliteOptions::new(db)).map(|_| ()),
        ["hold", db] => hold(db),
        ["lock", db] => lock(db),
        ["commit", db, from, count] => commit(db, number(from), number(count)),
        ["prune", db, before, step] => prune(db, number(before), number(step) as usize),
        ["backup", db, to] => open(db).and_then(|store| {
            print_line("backup begins");
            store.backup(to.as_ref())
        }),
        _ => panic!("child open|hold|lock|commit|prune|backup DB ..."),
    };
    match done {
        Ok(()) => print_line("done"),
        Err(error) => print_line(&format!("failed {}: {error}", error.code())),
    }
}

fn number(text: &str) -> u64 {
    text.parse().expect("a number")
}

/// Prints a line and flushes it at once: after a kill, the test knows only the lines that were printed.
fn print_line(line: &str) {
    let mut out = std::io::stdout().lock();
    out.write_all(format!("{line}\n").as_bytes()).and_then(|()| out.flush()).expect("stdout");
}

fn open(db: &str) -> Result<SqliteStore, StoreError> {
    let began = Instant::now();
    let store = SqliteStore::open(&SqliteOptions::new(db))?;
    print_line(&format!("open {}", began.elapsed().as_micros()));
    Ok(store)
}

fn wait_for_end_of_input() {
    let _ = std::io::stdin().read(&mut [0]);
}

fn hold(db: &str) -> Result<(), StoreError> {
    let _store = open(db)?;
    wait_for_end_of_input();
    Ok(())
}

/// Holds SQLite's write lock, as another program might.
fn lock(db: &str) -> Result<(), StoreError> {
    let other = Connection::open(db).expect("opens");
    other.execute_batch("BEGIN IMMEDIATE").expect("locks");
    print_line("locked");
    wait_for_end_of_input();
    Ok(())
}

fn commit(db: &str, from: u64, count: u64) -> Result<(), StoreError> {
    let mut store = open(db)?;
    for at in from..from + count {
        let key = key(format!("key-{at}"));
        let batch = [take(at, &key), set(at, &key, KeyState::Served)];
        let rows = store.commit(&batch, &plain_sum).map_err(|failed| failed.error)?;
        print_line(&format!("acknowledged {}", rows[1].expect("a new key")));
    }
    Ok(())
}

fn prune(db: &str, before: u64, step: usize) -> Result<(), StoreError> {
    let mut store = open(db)?;
    loop {
        let pruned = store.prune(Time(before), step, &pruned, &plain_sum)?;
        print_line(&format!("pruned {}", pruned.rows));
        if !pruned.more {
            return Ok(());
        }
    }
}
