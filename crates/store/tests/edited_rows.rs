//! Verification detects changes that another program makes to the file.

mod common;

use common::TestDirectory;
use shaletide_record::KeyState;
use shaletide_store::conformance::{key, plain_sum, set, take};
use shaletide_store::{verify, Broken, Head, SqliteReader, Store, StoreReader};

/// Writes six rows, runs the statement `edit`, and returns the result of `verify` with the head noted before the edit.
fn verify_after(edit: &str) -> Result<Head, Broken> {
    let directory = TestDirectory::new("edits");
    let mut store = directory.open();
    for name in ["a", "b", "c"] {
        let key = key(name);
        store.commit(&[take(1, &key), set(2, &key, KeyState::Served)], &plain_sum).expect("commits");
    }
    let noted = store.head().expect("head");
    drop(store);
    rusqlite::Connection::open(directory.db()).and_then(|db| db.execute_batch(edit)).expect("edited");
    let reader = SqliteReader::open(directory.db()).expect("opens");
    verify(&reader, &plain_sum, Some(noted)).map(|verified| verified.head)
}

#[test]
fn changed_missing_and_truncated_rows_fail_verification() {
    assert_eq!(verify_after("").expect("an unchanged record").seq, 6);
    for column in ["at", "run", "request"] {
        let edit = format!("UPDATE rows SET {column} = {column} + 1 WHERE seq = 3");
        assert!(matches!(verify_after(&edit), Err(Broken::Changed { seq: 3 })), "{column}");
    }
    for column in ["kind", "tenant", "class", "backend", "body"] {
        let edit = format!("UPDATE rows SET {column} = {column} || ' ' WHERE seq = 3");
        assert!(matches!(verify_after(&edit), Err(Broken::Changed { seq: 3 })), "{column}");
    }
    assert!(matches!(
        verify_after("UPDATE rows SET key = x'00' WHERE seq = 3"),
        Err(Broken::Changed { seq: 3 })
    ));
    assert!(matches!(verify_after("DELETE FROM rows WHERE seq = 3"), Err(Broken::Missing { seq: 3 })));
    assert!(matches!(verify_after("DELETE FROM rows WHERE seq = 1"), Err(Broken::Missing { seq: 1 })));
    assert!(matches!(verify_after("DELETE FROM rows WHERE seq > 4"), Err(Broken::Cut { .. })));
    assert!(matches!(verify_after("DELETE FROM rows"), Err(Broken::Cut { .. })));
    let swapped = "UPDATE rows SET seq = 9 WHERE seq = 3; UPDATE rows SET seq = 3 WHERE seq = 4;
         UPDATE rows SET seq = 4 WHERE seq = 9";
    assert!(matches!(verify_after(swapped), Err(Broken::Changed { seq: 3 })));
    let anchored = "DELETE FROM rows WHERE seq < 3; INSERT INTO anchor VALUES (1, 2, zeroblob(32), 1, 2)";
    assert!(matches!(verify_after(anchored), Err(Broken::Changed { seq: 3 })), "a forged anchor is detected");
}
