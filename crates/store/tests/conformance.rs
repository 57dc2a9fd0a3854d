//! The suite that every store must pass, on each of them.

mod common;

use common::TestDirectory;
use shaletide_store::faults::Faults;
use shaletide_store::memory::MemoryStore;
use shaletide_store::{conformance, SqliteOptions, SqliteStore};

#[test]
fn memory_store_conforms() {
    conformance::run(|| Box::new(MemoryStore::new()));
}

#[test]
fn sqlite_store_conforms() {
    let directory = TestDirectory::new("conformance");
    let made = std::cell::Cell::new(0);
    conformance::run(|| {
        made.set(made.get() + 1);
        let options = SqliteOptions::new(directory.file(&format!("{}.db", made.get())));
        Box::new(SqliteStore::open(&options).expect("opens"))
    });
}

#[test]
fn store_in_the_fault_layer_conforms_without_faults() {
    conformance::run(|| Faults::new().around(Box::new(MemoryStore::new())));
}
