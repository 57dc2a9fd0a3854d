//! Compatibility: the present code reads the files that an earlier build wrote, from before the names were changed.
//!
//! `record.db` is the store of two runs of `shaletide serve`: the first was killed with an attempt of key `hang-1` in
//! flight, the second was stopped cleanly. `verify.txt` is the output of the earlier `record verify` for it, and `rows.tsv`
//! that of the earlier `record export`: number, run, time, kind, request, tenant, class, key, backend, sum, body.
//! `pruned.db.sparse` is the same store after the earlier `record prune`, without its zeros: the file's length, then the
//! offset, length and bytes of each part. These numbers are 32 bits in little-endian order.

mod common;

use std::path::PathBuf;

use common::TestDirectory;
use shaletide_record::chain::{self, hex};
use shaletide_record::{
    Action, Event, Fact, KeyId, KeyState, RecordConfig, Recorder, ReplyId, ResolveResult, Row, Write,
};
use shaletide_store::{verify, Anchor, Head, Query, SqliteReader, SqliteStore, Store, StoreReader, Verified};
use shaletide_types::Time;

/// A time just after the last row of the fixture.
const NOW: Time = Time(1_796_289_921_000_000);

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/before-renames").join(name)
}

/// Copies the earlier build's store into the test's directory.
fn copy_of_record(directory: &TestDirectory) {
    std::fs::copy(fixture("record.db"), directory.db()).expect("copied");
}

fn copy_of_pruned(directory: &TestDirectory) {
    let sparse = std::fs::read(fixture("pruned.db.sparse")).expect("reads");
    let number = |at: usize| u32::from_le_bytes(sparse[at..at + 4].try_into().expect("4 bytes")) as usize;
    let mut file = vec![0; number(0)];
    let mut at = 4;
    while at < sparse.len() {
        let (offset, length) = (number(at), number(at + 4));
        file[offset..offset + length].copy_from_slice(&sparse[at + 8..at + 8 + length]);
        at += 8 + length;
    }
    std::fs::write(directory.db(), file).expect("written");
}

fn key_of(tenant: &str, key: &str) -> KeyId {
    KeyId { tenant: tenant.into(), class: "settle".into(), key: key.into() }
}

/// The output of the earlier `record show` for each key that is not free: its state and the last row that changed it.
fn keys_by_earlier_build() -> Vec<(KeyId, KeyState, u64)> {
    vec![
        (key_of("milford", "error-1"), KeyState::InDoubt, 27),
        (key_of("milford", "good-1"), KeyState::Served, 5),
        (key_of("milford", "hang-1"), KeyState::InDoubt, 52),
        (key_of("milford", "late-1"), KeyState::InDoubt, 44),
        (key_of("milford", "left-1"), KeyState::InDoubt, 48),
        (key_of("milford", "ran-1"), KeyState::Served, 57),
        (key_of("milford", "reset-1"), KeyState::InDoubt, 31),
        (key_of("other", "good-2"), KeyState::Served, 10),
    ]
}

fn keys(store: &dyn StoreReader) -> Vec<(KeyId, KeyState, u64)> {
    let stored = store.keys(None, 100).expect("keys");
    stored.into_iter().map(|stored| (stored.key, stored.state, stored.seq)).collect()
}

fn rows_after(store: &dyn StoreReader, after_seq: u64) -> Vec<Row> {
    store.rows(&Query { after_seq, limit: 1000, ..Query::default() }).expect("rows")
}

/// Formats a row as a line of `rows.tsv`.
fn tsv_line(row: &Row) -> String {
    let text = |value: Option<String>| value.unwrap_or_else(|| "-".into());
    let key = row.key.as_ref();
    [
        row.seq.to_string(),
        row.run.to_string(),
        row.at.0.to_string(),
        row.kind.clone(),
        text(row.request.map(|request| request.to_string())),
        text(key.map(|key| key.tenant.clone())),
        text(key.map(|key| key.class.clone())),
        text(key.map(|key| String::from_utf8_lossy(&key.key).into_owned())),
        text(row.backend.clone()),
        hex(&row.sum),
        row.body.clone(),
    ]
    .join("\t")
}

fn verified(store: &dyn StoreReader) -> Verified {
    verify(store, &chain::sum, None).expect("verifies")
}

fn verify_output(verified: &Verified) -> String {
    let Verified { rows, pruned, head } = verified;
    format!("whole: {rows} rows, {pruned} taken out before them\nhead {head}\n")
}

/// Passes an event to the recorder and executes the actions that it returns, as `shaletide record` does.
fn handle(store: &mut SqliteStore, recorder: &mut Recorder, event: Event, run: u64) -> Option<ResolveResult> {
    let mut actions = Vec::new();
    recorder.handle(NOW, event, &mut actions);
    let mut resolved = None;
    while let Some(action) = actions.pop() {
        match action {
            Action::Write { ticket, write } => {
                let write = Write { row: Row { run, ..write.row }, claim: write.claim };
                let rows = store.commit(&[write], &chain::sum).expect("commits");
                let seq = rows[0].expect("not rejected");
                recorder.handle(NOW, Event::Committed { ticket, seq }, &mut actions);
            }
            Action::Reply { result, .. } => resolved = Some(result),
            other => panic!("{other:?}"),
        }
    }
    resolved
}

#[test]
fn earlier_record_verifies_and_lists_the_same_rows_and_keys() {
    let directory = TestDirectory::new("earlier");
    copy_of_record(&directory);
    let reader = SqliteReader::open(directory.db()).expect("opens");
    let earlier_output = std::fs::read_to_string(fixture("verify.txt")).expect("reads");
    assert_eq!(verify_output(&verified(&reader)), earlier_output);
    let rows = rows_after(&reader, 0);
    let lines: Vec<String> = rows.iter().map(tsv_line).collect();
    let exported = std::fs::read_to_string(fixture("rows.tsv")).expect("reads");
    assert_eq!(lines, exported.lines().collect::<Vec<_>>());
    assert_eq!(keys(&reader), keys_by_earlier_build());
    let in_doubt = reader.rows(&Query { in_doubt: true, limit: 100, ..Query::default() }).expect("rows");
    let in_doubt: std::collections::BTreeSet<KeyId> =
        in_doubt.into_iter().filter_map(|row| row.key).collect();
    let expected = keys_by_earlier_build().into_iter().filter(|(_, state, _)| *state == KeyState::InDoubt);
    assert_eq!(in_doubt, expected.map(|(key, _, _)| key).collect());
}

#[test]
fn earlier_facts_are_known_and_encode_to_the_same_kind_and_body() {
    let directory = TestDirectory::new("earlier-facts");
    copy_of_record(&directory);
    let reader = SqliteReader::open(directory.db()).expect("opens");
    for row in rows_after(&reader, 0) {
        let fact = Fact::of(&row);
        assert!(!matches!(fact, Fact::Unknown { .. }), "row {}: {} {}", row.seq, row.kind, row.body);
        let encoded = fact.row(row.at, shaletide_record::RowSubject::default());
        assert_eq!((encoded.kind, encoded.body), (row.kind, row.body), "row {}", row.seq);
    }
}

#[test]
fn key_in_doubt_of_an_earlier_run_is_resolved_and_the_record_verifies() {
    let directory = TestDirectory::new("earlier-resolved");
    copy_of_record(&directory);
    let mut store = directory.open();
    let before = store.head().expect("head");
    let run = before.run + 1;
    let mut recorder = Recorder::new(RecordConfig::default(), [7; 16], NOW, NOW);
    let mut actions = Vec::new();
    recorder.restore(NOW, store.keys(None, 100).expect("keys"), &mut actions);
    assert_eq!(actions, [], "no key was in flight");
    assert_eq!((recorder.unsettled(), recorder.served()), (5, 3));
    let resolve = |key: &str, ran| Event::Resolve {
        reply: ReplyId(1),
        key: key_of("milford", key),
        ran,
        by: "R. Moss".into(),
        note: "looked up".into(),
    };
    let done = Some(ResolveResult::Done);
    assert_eq!(handle(&mut store, &mut recorder, resolve("hang-1", false), run), done);
    assert_eq!(handle(&mut store, &mut recorder, resolve("late-1", true), run), done);
    let again = handle(&mut store, &mut recorder, resolve("good-1", true), run);
    assert_eq!(again, Some(ResolveResult::Served));

    assert_eq!(store.key(&key_of("milford", "hang-1")).expect("reads"), None, "free");
    let late = store.key(&key_of("milford", "late-1")).expect("reads").expect("taken");
    assert_eq!((late.state, late.seq), (KeyState::Served, 59));
    let Verified { rows, pruned, head } = verify(&store, &chain::sum, Some(before)).expect("verifies");
    assert_eq!((rows, pruned, head.seq, head.run), (59, 0, 59, run));
    let resolved = rows_after(&store, 57);
    let bodies: Vec<&str> = resolved.iter().map(|row| row.body.as_str()).collect();
    let expected =
        [false, true].map(|ran| format!("{{\"by\":\"R. Moss\",\"note\":\"looked up\",\"ran\":{ran}}}"));
    assert_eq!(bodies, expected);
}

#[test]
fn earlier_pruned_record_verifies_from_its_anchor() {
    let directory = TestDirectory::new("earlier-pruned");
    copy_of_pruned(&directory);
    let store = directory.open();
    let anchor: Anchor = store.anchor().expect("reads").expect("an anchor");
    assert_eq!((anchor.through.seq, anchor.through.run, anchor.rows), (23, 1, 23));
    let Verified { rows, pruned, head } = verified(&store);
    let earlier_rows = std::fs::read_to_string(fixture("rows.tsv")).expect("reads");
    let earlier_rows: Vec<&str> = earlier_rows.lines().collect();
    let lines: Vec<String> = rows_after(&store, 0).iter().map(tsv_line).collect();
    let kept = lines.iter().take(57 - 23).map(String::as_str).collect::<Vec<_>>();
    assert_eq!(kept, earlier_rows[23..], "the remaining rows are unchanged");
    assert_eq!(earlier_rows[22].split('\t').nth(9), Some(hex(&anchor.through.sum).as_str()));
    assert_eq!((rows, pruned, head), (lines.len() as u64, 23, store.head().expect("head")));
    assert_eq!(keys(&store), keys_by_earlier_build());
    let earlier_head: Head = verified(&{
        let whole = TestDirectory::new("earlier-whole");
        copy_of_record(&whole);
        SqliteReader::open(whole.db()).expect("opens")
    })
    .head;
    verify(&store, &chain::sum, Some(earlier_head))
        .expect("the head noted before pruning is part of the record");
}
