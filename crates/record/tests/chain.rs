//! Conversion of facts to rows and back, and verification of the checksum chain.

use proptest::prelude::*;
use shaletide_record::chain::{canonical, hex, verify, BreakCause, Broken, Chain};
use shaletide_record::*;
use shaletide_types::Time;

fn rows(n: u64) -> (Vec<Row>, Chain) {
    let mut chain = Chain::default();
    let row = |n| {
        let fact = Fact::Outcome { attempt: n, outcome: "served".into(), may_have_run: true };
        let key = KeyId { tenant: "t".into(), class: "settle".into(), key: vec![0, n as u8] };
        fact.row(
            Time(n.into()),
            RowSubject { request: Some(n.into()), key: Some(key), backend: Some("backend".into()) },
        )
    };
    let mut rows: Vec<Row> = (0..n as u32).map(row).collect();
    rows.iter_mut().for_each(|r| chain.add(r));
    (rows, chain)
}

#[test]
fn fact_read_from_its_row_equals_the_fact_written() {
    let seen = BackendSnapshot {
        backend: "b".into(),
        pool: "p".into(),
        list: 7,
        state: "SERVING".into(),
        ready: true,
        in_flight: 3,
    };
    let facts = [
        Fact::Start { proxy: "p".into(), version: "1".into(), config: 2, digest: "d".into() },
        Fact::Config { version: 3, digest: "e".into() },
        Fact::List { pool: "p".into(), version: 9, news: "\"\u{0}".into() },
        Fact::Asked { tenant: "t".into(), class: "c".into(), keyed: true, time_left: u64::MAX },
        Fact::Turned { why: "doubt".into() },
        Fact::Intent { attempt: 1, seen },
        Fact::Withdrawn { attempt: 1 },
        Fact::Outcome { attempt: 1, outcome: "reset".into(), may_have_run: true },
        Fact::Answer { ending: "served".into(), attempt: Some(1) },
        Fact::Doubted { seq: 4 },
        Fact::Resolved { by: "ann".into(), ran: true, note: "n".into() },
        Fact::Expired { through: 5 },
        Fact::Dropped { facts: 6 },
        Fact::Correction { of: 3, by: "ann".into(), text: "it was backend 2".into() },
        Fact::Pruned { through: 8, sum: "00".into(), by: "ann".into() },
        Fact::Unknown { kind: "of_tomorrow".into(), body: "{ \"a\":1 }".into() },
        Fact::Unknown { kind: "intent".into(), body: "of another form".into() },
        Fact::Unknown { kind: "intent".into(), body: "{\"attempt\":\"x\"}".into() },
    ];
    for fact in facts {
        let backend = matches!(fact, Fact::Intent { .. }).then(|| "b".to_string());
        let row = fact.row(Time(1), RowSubject { backend, ..RowSubject::default() });
        assert_eq!(Fact::of(&row), fact);
        assert_eq!(
            Fact::of(&row).row(Time(1), RowSubject { backend: row.backend.clone(), ..RowSubject::default() }),
            row
        );
    }
}

#[test]
fn edited_missing_and_cut_rows_break_the_chain() {
    let (good, head) = rows(20);
    assert_eq!(verify(Chain::default(), good.clone(), Some(head)), Ok(head));
    let edits: [fn(&mut Row); 6] = [
        |r| r.body.push(' '),
        |r| r.at.0 += 1,
        |r| r.request = None,
        |r| r.key.as_mut().unwrap().key.push(0),
        |r| r.backend = Some("backend-2".into()),
        |r| r.sum[31] ^= 1,
    ];
    for edit in edits {
        let mut bad = good.clone();
        edit(&mut bad[7]);
        assert_eq!(verify(Chain::default(), bad, None), Err(Broken { seq: 8, cause: BreakCause::Sum }));
    }
    let mut gap = good.clone();
    gap.remove(7);
    assert_eq!(
        verify(Chain::default(), gap, None),
        Err(Broken { seq: 8, cause: BreakCause::Missing { found: 9 } })
    );
    let cut = good[..15].to_vec();
    assert_eq!(
        verify(Chain::default(), cut.clone(), None).map(|c| c.seq),
        Ok(15),
        "without a known head a cut chain is valid"
    );
    assert_eq!(verify(Chain::default(), cut, Some(head)), Err(Broken { seq: 16, cause: BreakCause::Cut }));
    let known = Chain { head: [9; 32], ..head };
    assert_eq!(
        verify(Chain::default(), good, Some(known)),
        Err(Broken { seq: 20, cause: BreakCause::Known })
    );
}

#[test]
fn chain_continues_after_an_anchor_and_names_it() {
    let (mut all, mut chain) = rows(10);
    let anchor = Chain { seq: 6, head: all[5].sum };
    let unrecorded = verify(anchor, all[6..].to_vec(), None);
    assert_eq!(unrecorded, Err(Broken { seq: 7, cause: BreakCause::Anchor }));
    let pruned = Fact::Pruned { through: 6, sum: hex(&anchor.head), by: "ann".into() };
    let mut row = pruned.row(Time(0), RowSubject::default());
    chain.add(&mut row);
    all.push(row);
    assert_eq!(verify(anchor, all[6..].to_vec(), Some(chain)), Ok(chain));
    assert_eq!(
        verify(Chain::default(), all.clone(), None),
        Ok(chain),
        "without an anchor all rows are present"
    );
    let wrong = Chain { head: [1; 32], ..anchor };
    assert_eq!(verify(wrong, all[6..].to_vec(), None), Err(Broken { seq: 7, cause: BreakCause::Sum }));
}

/// Compares the sum of a fixed row, so that a later version does not change the canonical form by accident.
#[test]
fn canonical_form_of_a_row_never_changes() {
    let mut row = Fact::Withdrawn { attempt: 1 }.row(Time(2), RowSubject::default());
    Chain::default().add(&mut row);
    assert_eq!(canonical(&row).len(), 24 + 8 + 9 + 3 + 8 + row.body.len());
    assert_eq!(hex(&row.sum), "7a79bdd1a1e7607710e0735a9f26c5cdd2ae010c1232ec0d3117c1b723074964");
}

fn row() -> impl Strategy<Value = Row> {
    let key = proptest::option::of(("[ab]{0,2}", "[ab]{0,2}", proptest::collection::vec(0..2u8, 0..3)));
    let numbers = (0..3u64, 0..3u64, 0..3u64, proptest::option::of(0..2u64));
    (numbers, "[ab]{0,2}", key, proptest::option::of("[ab]{0,2}"), "[ab]{0,2}").prop_map(
        |((seq, at, run, request), kind, key, backend, body)| {
            let key = key.map(|(tenant, class, key)| KeyId { tenant, class, key });
            Row { seq, at: Time(at), run, kind, request, key, backend, body, sum: [0; 32] }
        },
    )
}

proptest! {
    #[test]
    fn different_rows_have_different_bytes(a in row(), b in row()) {
        prop_assert_eq!(a == b, canonical(&a) == canonical(&b));
    }
}
