//! Runs the conformance suite on each implementation of a store.

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
    let stores_made = std::cell::Cell::new(0);
    conformance::run(|| {
        stores_made.set(stores_made.get() + 1);
        let options = SqliteOptions::new(directory.file(&format!("{}.db", stores_made.get())));
        Box::new(SqliteStore::open(&options).expect("opens"))
    });
}

#[test]
fn store_in_the_fault_layer_conforms_without_faults() {
    conformance::run(|| Faults::new().wrap(Box::new(MemoryStore::new())));
}
