//! The conformance suite: tests that every implementation of a store must pass.
//!
//! A test of the implementation calls [`run`] with a function that creates an empty store. A failure is a panic.

use shaletide_record::{Claim, ClaimRejection, KeyId, KeyState, Row, StoredKey, Write};
use shaletide_types::Time;

use crate::{contains_head, verify, Anchor, Broken, CommitOutcome, Head, Query, Store, StoreError, Sums};

/// A checksum for tests. It depends on the whole row and on the checksum before it; it does not protect against forgery.
pub fn plain_sum(before: &[u8; 32], row: &Row) -> [u8; 32] {
    let content = format!(
        "{:?}",
        (row.seq, row.at, row.run, &row.kind, row.request, &row.key, &row.backend, &row.body)
    );
    let mut sum = [0u8; 32];
    for (lane, chunk) in sum.chunks_mut(8).enumerate() {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ lane as u64;
        for byte in before.iter().chain(content.as_bytes()) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        chunk.copy_from_slice(&hash.to_le_bytes());
    }
    sum
}

/// A key of the tenant `acme` and the class `settle`.
pub fn key(name: impl Into<Vec<u8>>) -> KeyId {
    KeyId { tenant: "acme".into(), class: "settle".into(), key: name.into() }
}

/// A row of the given kind, with its key and claim.
pub fn write(at: u64, kind: &str, key: Option<&KeyId>, claim: Claim) -> Write {
    let row = Row {
        seq: 0,
        at: Time(at),
        run: 1,
        kind: kind.into(),
        request: Some(at),
        key: key.cloned(),
        backend: Some("box-1".into()),
        body: format!("{{\"at\":{at}}}"),
        sum: [0; 32],
    };
    Write { row, claim }
}

/// An intent row, which takes its key.
pub fn take(at: u64, key: &KeyId) -> Write {
    write(at, "intent", Some(key), Claim::Take(key.clone()))
}

/// An outcome row, which sets the state of its key.
pub fn set(at: u64, key: &KeyId, state: KeyState) -> Write {
    write(at, "outcome", Some(key), Claim::Set(key.clone(), state))
}

/// A withdrawn row, which frees its key.
pub fn free(at: u64, key: &KeyId) -> Write {
    write(at, "withdrawn", Some(key), Claim::Free(key.clone()))
}

/// The row that records a pruning step.
pub fn pruned(anchor: &Anchor) -> Row {
    write(anchor.through.seq, "pruned", None, Claim::None).row
}

/// All rows after the number `after_seq`.
pub fn all_rows(store: &dyn Store, after_seq: u64) -> Vec<Row> {
    store.rows(&Query { after_seq, limit: usize::MAX, ..Query::default() }).expect("rows")
}

/// Runs each test of the suite on a new store from `make`, which must return an empty one.
pub fn run(make: impl Fn() -> Box<dyn Store>) {
    let tests: [fn(&mut dyn Store); 14] = [
        new_store_is_empty,
        rows_are_numbered_and_chained,
        taken_key_is_rejected,
        key_taken_within_a_batch_is_rejected,
        keys_are_distinct_by_tenant_and_class,
        key_state_follows_its_writes,
        any_bytes_are_stored_unchanged,
        batch_with_an_unstorable_row_is_not_written,
        keys_are_paged_in_order,
        query_selects_matching_rows,
        only_served_keys_are_forgotten,
        free_own_and_free_served_free_only_their_keys,
        pruned_record_stays_verifiable,
        backup_does_not_replace_a_file,
    ];
    for test in tests {
        test(&mut *make());
    }
}

fn commit(store: &mut dyn Store, batch: &[Write]) -> Vec<Result<u64, ClaimRejection>> {
    store.commit(batch, &plain_sum).expect("commit")
}

fn stored_keys(store: &dyn Store) -> Vec<StoredKey> {
    store.keys(None, usize::MAX).expect("keys")
}

fn new_store_is_empty(store: &mut dyn Store) {
    assert_eq!(store.head().expect("head"), Head::default());
    assert_eq!(store.anchor().expect("anchor"), None);
    assert!(stored_keys(store).is_empty() && all_rows(store, 0).is_empty());
    assert_eq!(commit(store, &[]), []);
    assert_eq!(verify(store, &plain_sum, None).expect("verify").rows, 0);
}

fn rows_are_numbered_and_chained(store: &mut dyn Store) {
    let mut odd = write(5, "note", None, Claim::None);
    odd.row = Row { seq: 77, run: u64::MAX, request: Some(u64::MAX), backend: None, sum: [9; 32], ..odd.row };
    assert_eq!(commit(store, &[odd.clone(), write(4, "note", None, Claim::None)]), [Ok(1), Ok(2)]);
    assert_eq!(commit(store, &[write(i64::MAX as u64, "note", None, Claim::None)]), [Ok(3)]);
    let rows = all_rows(store, 0);
    let first = Row { seq: 1, ..odd.row };
    let sum = plain_sum(&[0; 32], &first);
    assert_eq!(
        rows[0],
        Row { sum, ..first },
        "a row is read as it was written, with its number and checksum"
    );
    assert_eq!(rows[1].sum, plain_sum(&rows[0].sum, &rows[1]));
    assert_eq!(store.head().expect("head"), Head { seq: 3, sum: rows[2].sum, run: 1 });
    assert_eq!(verify(store, &plain_sum, None).expect("verify").rows, 3);
    let other: &dyn Sums = &|_: &[u8; 32], _: &Row| [1; 32];
    assert!(matches!(verify(store, other, None), Err(Broken::Changed { seq: 1 })));
    let noted = Head { seq: 4, sum: [0; 32], run: 1 };
    assert!(matches!(verify(store, &plain_sum, Some(noted)), Err(Broken::Cut { .. })));
}

fn taken_key_is_rejected(store: &mut dyn Store) {
    let k = key("k");
    assert_eq!(commit(store, &[take(1, &k)]), [Ok(1)]);
    for (seq, state) in [(2, KeyState::InDoubt), (3, KeyState::Served), (4, KeyState::InFlight)] {
        assert_eq!(commit(store, &[set(seq, &k, state)]), [Ok(seq)]);
        assert_eq!(commit(store, &[take(9, &k)]), [Err(ClaimRejection::Taken(state))]);
    }
    assert_eq!(commit(store, &[free(5, &k), take(6, &k)]), [Ok(5), Ok(6)]);
    assert_eq!(all_rows(store, 0).len(), 6, "rejected rows are not stored");
}

fn key_taken_within_a_batch_is_rejected(store: &mut dyn Store) {
    let (a, b) = (key("a"), key("b"));
    let batch =
        [take(1, &a), take(2, &a), take(3, &b), free(4, &b), take(5, &b), set(6, &b, KeyState::InDoubt)];
    let taken = Err(ClaimRejection::Taken(KeyState::InFlight));
    assert_eq!(commit(store, &batch), [Ok(1), taken, Ok(2), Ok(3), Ok(4), Ok(5)]);
    assert_eq!(verify(store, &plain_sum, None).expect("verify").rows, 5);
    assert_eq!(commit(store, &[take(7, &a)]), [taken], "a batch whose rows are all rejected");
}

fn keys_are_distinct_by_tenant_and_class(store: &mut dyn Store) {
    let a = key("k");
    let b = KeyId { tenant: "other".into(), ..a.clone() };
    let c = KeyId { class: "other".into(), ..a.clone() };
    let d = KeyId { tenant: String::new(), ..a.clone() };
    assert_eq!(commit(store, &[a, b, c, d].map(|k| take(1, &k))), [Ok(1), Ok(2), Ok(3), Ok(4)]);
    assert_eq!(stored_keys(store).len(), 4);
}

fn key_state_follows_its_writes(store: &mut dyn Store) {
    let k = key("k");
    let expected_key = |state, since, seq| Some(StoredKey { key: key("k"), state, since: Time(since), seq });
    assert_eq!(store.key(&k).expect("key"), None);
    commit(store, &[take(10, &k)]);
    assert_eq!(store.key(&k).expect("key"), expected_key(KeyState::InFlight, 10, 1));
    // The clock may be set back between two writes.
    commit(store, &[write(11, "note", None, Claim::None), set(7, &k, KeyState::InDoubt)]);
    assert_eq!(store.key(&k).expect("key"), expected_key(KeyState::InDoubt, 7, 3));
    commit(store, &[free(12, &k), free(13, &k)]);
    assert_eq!(store.key(&k).expect("key"), None);
    commit(store, &[set(14, &k, KeyState::Served)]);
    assert_eq!(stored_keys(store), [expected_key(KeyState::Served, 14, 6).expect("some")]);
}

fn any_bytes_are_stored_unchanged(store: &mut dyn Store) {
    let keys = [
        vec![],
        vec![0],
        vec![0, 0],
        vec![0xff, 0xfe],
        b"a\0b".to_vec(),
        b"a".to_vec(),
        vec![b'x'; 10 << 10],
    ];
    let mut odd = key("odd");
    odd.tenant = "a\0b'; DROP TABLE rows; --\u{1F512}".into();
    let ids: Vec<KeyId> = keys.into_iter().map(key).chain([odd]).collect();
    let batch: Vec<Write> = ids.iter().map(|id| take(1, id)).collect();
    assert!(commit(store, &batch).iter().all(Result::is_ok));
    assert!(commit(store, &batch).iter().all(Result::is_err));
    let mut sorted = ids.clone();
    sorted.sort();
    assert_eq!(stored_keys(store).into_iter().map(|stored| stored.key).collect::<Vec<_>>(), sorted);
    for id in ids {
        let rows =
            store.rows(&Query { key: Some(id.key.clone()), limit: 9, ..Query::default() }).expect("rows");
        assert_eq!(rows.into_iter().map(|row| row.key).collect::<Vec<_>>(), [Some(id)]);
    }
}

fn batch_with_an_unstorable_row_is_not_written(store: &mut dyn Store) {
    let (mut late, mut large) = (take(1, &key("late")), take(1, &key("large")));
    late.row.at = Time(u64::MAX);
    large.row.body = "x".repeat(crate::MAX_ROW_BYTES);
    for bad in [late, large] {
        let failed = store.commit(&[take(1, &key("good")), bad], &plain_sum).expect_err("unstorable");
        assert!(matches!(failed.error, StoreError::Unstorable) && failed.outcome == CommitOutcome::Nothing);
        assert!(stored_keys(store).is_empty() && all_rows(store, 0).is_empty());
    }
}

fn keys_are_paged_in_order(store: &mut dyn Store) {
    let batch: Vec<Write> = (0..25u8).rev().map(|n| take(1, &key([n]))).collect();
    commit(store, &batch);
    let mut seen: Vec<StoredKey> = Vec::new();
    loop {
        let page = store.keys(seen.last().map(|stored| &stored.key), 10).expect("keys");
        if page.is_empty() {
            break;
        }
        seen.extend(page);
    }
    assert_eq!(seen, stored_keys(store));
    assert_eq!(seen.iter().map(|stored| stored.key.key[0]).collect::<Vec<_>>(), (0..25).collect::<Vec<u8>>());
}

const NO_SEQS: [u64; 0] = [];

fn query_selects_matching_rows(store: &mut dyn Store) {
    let (a, b) = (key("a"), KeyId { tenant: "other".into(), ..key("b") });
    let mut note = write(8, "note", None, Claim::None);
    note.row.backend = Some("box-2".into());
    // The third row has an earlier time than the second: the clock was set back.
    commit(
        store,
        &[take(10, &a), take(20, &b), note, set(15, &b, KeyState::InDoubt), set(30, &a, KeyState::Served)],
    );
    let matching_seqs = |query: Query| {
        let limit = if query.limit == 0 { 99 } else { query.limit };
        let rows = store.rows(&Query { limit, ..query }).expect("rows");
        rows.into_iter().map(|row| row.seq).collect::<Vec<_>>()
    };
    let any = Query::default;
    assert_eq!(matching_seqs(any()), [1, 2, 3, 4, 5]);
    assert_eq!(matching_seqs(Query { after_seq: 2, limit: 2, ..any() }), [3, 4]);
    assert_eq!(matching_seqs(Query { after_seq: u64::MAX, ..any() }), NO_SEQS);
    assert_eq!(matching_seqs(Query { key: Some(b"a".to_vec()), ..any() }), [1, 5]);
    assert_eq!(
        matching_seqs(Query { key: Some(b"a".to_vec()), tenant: Some("other".into()), ..any() }),
        NO_SEQS
    );
    assert_eq!(matching_seqs(Query { tenant: Some("other".into()), ..any() }), [2, 4]);
    assert_eq!(matching_seqs(Query { class: Some("settle".into()), ..any() }), [1, 2, 4, 5]);
    assert_eq!(matching_seqs(Query { request: Some((1, 15)), ..any() }), [4]);
    assert_eq!(matching_seqs(Query { request: Some((2, 15)), ..any() }), NO_SEQS);
    assert_eq!(matching_seqs(Query { since: Some(Time(15)), ..any() }), [2, 4, 5]);
    assert_eq!(matching_seqs(Query { since: Some(Time(15)), after_seq: 2, ..any() }), [4, 5]);
    assert_eq!(matching_seqs(Query { until: Some(Time(15)), ..any() }), [1, 3]);
    assert_eq!(matching_seqs(Query { since: Some(Time(u64::MAX)), ..any() }), NO_SEQS);
    assert_eq!(matching_seqs(Query { backend: Some("box-2".into()), ..any() }), [3]);
    assert_eq!(matching_seqs(Query { kind: Some("outcome".into()), ..any() }), [4, 5]);
    assert_eq!(matching_seqs(Query { in_doubt: true, ..any() }), [2, 4]);
    assert_eq!(
        matching_seqs(Query { in_doubt: true, kind: Some("intent".into()), since: Some(Time(11)), ..any() }),
        [2]
    );
}

fn only_served_keys_are_forgotten(store: &mut dyn Store) {
    let names = ["old", "new", "doubt", "flying", "old too"];
    let [old, new, doubt, in_flight_key, also_old] = names.map(key);
    commit(
        store,
        &[set(1, &old, KeyState::Served), set(9, &new, KeyState::Served), set(1, &doubt, KeyState::InDoubt)],
    );
    commit(store, &[take(1, &in_flight_key), set(2, &also_old, KeyState::Served)]);
    assert_eq!(store.forget_served(Time(5), 1).expect("forget"), 1);
    assert_eq!(store.forget_served(Time(5), 9).expect("forget"), 1);
    assert_eq!(store.forget_served(Time(5), 9).expect("forget"), 0);
    let left: Vec<KeyId> = stored_keys(store).into_iter().map(|stored| stored.key).collect();
    assert_eq!(left, [doubt, in_flight_key, new]);
    assert_eq!(commit(store, &[take(9, &old)]), [Ok(6)]);
    assert_eq!(verify(store, &plain_sum, None).expect("verify").rows, 6, "the rows of a forgotten key stay");
}

fn pruned_record_stays_verifiable(store: &mut dyn Store) {
    let (served, doubt) = (key("served"), key("doubt"));
    commit(
        store,
        &[take(1, &served), set(2, &served, KeyState::Served), write(9, "late", None, Claim::None)],
    );
    commit(store, &[write(3, "note", None, Claim::None), take(4, &doubt), set(5, &doubt, KeyState::InDoubt)]);
    let noted = store.head().expect("head");
    let mut prune = |before, limit| store.prune(Time(before), limit, &pruned, &plain_sum).expect("prune");
    let step = prune(6, 1);
    assert_eq!((step.rows, step.more), (1, true));
    let step = prune(6, 9);
    assert_eq!(
        (step.rows, step.more),
        (1, false),
        "the third row is not older, so no row after it is pruned"
    );
    assert_eq!(prune(6, 9).rows, 0);
    let step = prune(99, 9);
    assert_eq!(
        (step.rows, step.more),
        (2, false),
        "the key of the fifth row is in doubt, so no row after it is pruned"
    );
    let anchor = step.anchor.expect("an anchor");
    assert_eq!((anchor.through.seq, anchor.rows), (4, 4));
    assert_eq!(store.anchor().expect("anchor"), Some(anchor));
    let verified = verify(store, &plain_sum, Some(noted)).expect("verify");
    assert_eq!(
        (verified.rows, verified.pruned, verified.head.seq),
        (5, 4, 9),
        "three steps, each recorded by a row"
    );
    assert_eq!(all_rows(store, 8)[0].request, Some(4), "the row names the anchor");
    all_rows_can_be_pruned(store, &served, &doubt);
}

fn all_rows_can_be_pruned(store: &mut dyn Store, served: &KeyId, doubt: &KeyId) {
    assert_eq!(
        commit(store, &[take(10, served)]),
        [Err(ClaimRejection::Taken(KeyState::Served))],
        "a key remains when its rows are pruned"
    );
    commit(store, &[free(11, doubt)]);
    let head = store.head().expect("head");
    assert_eq!(store.prune(Time(99), 99, &pruned, &plain_sum).expect("prune").rows, 6);
    assert!(
        contains_head(store, &head).expect("holds"),
        "the anchor keeps the head when all rows are pruned"
    );
    assert_eq!(commit(store, &[write(12, "note", None, Claim::None)]), [Ok(12)]);
    assert_eq!(verify(store, &plain_sum, Some(head)).expect("verify").rows, 2);
}

fn free_own_and_free_served_free_only_their_keys(store: &mut dyn Store) {
    let [a, b, c] = ["a", "b", "c"].map(key);
    let free_own = |request, run, key: &KeyId| {
        let mut free = write(50, "withdrawn", Some(key), Claim::FreeOwn(key.clone()));
        (free.row.request, free.row.run) = (request, run);
        free
    };
    commit(store, &[take(1, &a), take(2, &b)]);
    commit(
        store,
        &[
            free_own(Some(2), 1, &a),
            free_own(Some(1), 2, &a),
            free_own(None, 1, &a),
            free_own(Some(1), 1, &c),
        ],
    );
    assert_eq!(stored_keys(store).len(), 2, "another request, another run, no request, or a free key");
    commit(store, &[free_own(Some(1), 1, &a), take(3, &c), free_own(Some(3), 1, &c)]);
    assert_eq!(
        stored_keys(store).into_iter().map(|stored| stored.key).collect::<Vec<_>>(),
        std::slice::from_ref(&b)
    );
    let through = store.head().expect("head").seq + 1;
    commit(store, &[set(60, &a, KeyState::Served), set(61, &c, KeyState::Served)]);
    commit(store, &[write(62, "forgot", None, Claim::FreeServed { through })]);
    assert_eq!(stored_keys(store).into_iter().map(|stored| stored.key).collect::<Vec<_>>(), [b, c.clone()]);
    commit(store, &[write(63, "forgot", None, Claim::FreeServed { through: u64::MAX })]);
    assert_eq!(store.key(&c).expect("key"), None);
}

fn backup_does_not_replace_a_file(store: &mut dyn Store) {
    commit(store, &[take(1, &key("k"))]);
    let name = format!("shaletide-backup-{}-{:?}", std::process::id(), std::thread::current().id());
    let path = std::env::temp_dir().join(name);
    let _ = std::fs::remove_file(&path);
    store.backup(&path).expect("backup");
    let size = path.metadata().expect("a file").len();
    assert!(size > 0);
    assert!(store.backup(&path).is_err(), "a backup must not replace a file");
    assert_eq!(path.metadata().expect("a file").len(), size);
    let _ = std::fs::remove_file(&path);
}
