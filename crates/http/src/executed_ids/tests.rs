//! Tests of `executed_ids`.

use super::*;

const SECOND: u64 = 1_000_000;

#[test]
fn id_is_known_until_it_expires() {
    let mut ids = ExecutedIds::default();
    ids.insert(Time(0), b"a", Time(2 * SECOND));
    ids.insert(Time(0), b"b", Time(SECOND));
    assert!(ids.contains(Time(SECOND - 1), b"a") && ids.contains(Time(SECOND - 1), b"b"));
    assert!(ids.contains(Time(SECOND), b"a") && !ids.contains(Time(SECOND), b"b"));
    assert!(!ids.contains(Time(2 * SECOND), b"a"));
    assert_eq!((ids.expiries.len(), ids.by_expiry.len()), (0, 0));
}

#[test]
fn id_that_comes_again_has_its_later_expiry() {
    let mut ids = ExecutedIds::default();
    ids.insert(Time(0), b"a", Time(SECOND));
    ids.insert(Time(0), b"a", Time(2 * SECOND));
    assert!(ids.contains(Time(SECOND), b"a"));
    assert_eq!((ids.expiries.len(), ids.by_expiry.len()), (1, 1));
}

/// Ever new ids do not make memory grow without end; those that expire first are forgotten.
#[test]
fn number_of_ids_is_bounded() {
    let mut ids = ExecutedIds::default();
    let count = 3 * MAX_EXECUTED_IDS as u64;
    for n in 0..count {
        ids.insert(Time(0), &n.to_be_bytes(), Time(SECOND + n));
    }
    assert_eq!((ids.expiries.len(), ids.by_expiry.len()), (MAX_EXECUTED_IDS, MAX_EXECUTED_IDS));
    assert!(ids.contains(Time(0), &(count - 1).to_be_bytes()) && !ids.contains(Time(0), &0u64.to_be_bytes()));
}
