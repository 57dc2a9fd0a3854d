//! Keys of every form, requests without one, what is only recorded, and what is full.

mod common;

use common::{AttemptStage, World};
use shaletide_record::*;
use shaletide_types::*;

const GO: KeyDecision = KeyDecision::Proceed { requires_intent: true };
const SECOND: KeyDecision = KeyDecision::Reject(Micros(1_000_000));

#[test]
fn key_of_any_form_is_accepted_within_the_length_bound() {
    let mut w = World::new();
    let long = vec![b'k'; 1_024];
    let longer = vec![b'k'; 10 * 1_024];
    assert_eq!(w.ask_as("settle", Some(&long)).1, GO);
    assert_eq!(w.ask_as("settle", Some(&longer)).1, KeyDecision::KeyTooLong);
    assert_eq!(w.ask_as("settle", Some(&[0, 0])).1, GO);
    assert_eq!(w.ask_as("settle", Some(&[0])).1, GO, "another one");
    assert_eq!(w.ask_as("settle", Some(b"")).1, KeyDecision::KeyRequired, "it names nothing");
    assert_eq!(w.ask_as("settle", None).1, KeyDecision::KeyRequired);
    assert_eq!(w.ask_as("odd", Some(&long)).1, GO, "another class, another key");
    assert_eq!(
        w.ask_as("views", Some(&longer)).1,
        KeyDecision::Proceed { requires_intent: false },
        "of no interest"
    );
}

#[test]
fn request_without_a_key_is_sent_where_configured_and_recorded_without_one() {
    let mut w = World::new();
    for _ in 0..2 {
        let (id, verdict) = w.ask_as("odd", None);
        assert_eq!(verdict, GO);
        w.want(id, 0);
        w.commit_all();
        w.send(id, 0);
        w.end(id, 0, Outcome::Reset);
        w.over(id, RequestEnding::Failed);
    }
    assert!(matches!(Fact::of(&w.store.rows[0]), Fact::Asked { keyed: false, .. }));
    assert_eq!(w.recorder.unsettled(), 0);
}

/// A store that is frozen holds nobody up who needs no permit, and costs no more than its bound.
#[test]
fn droppable_facts_beyond_the_bound_are_dropped_and_the_count_is_recorded() {
    let mut config = common::config();
    config.bounds.droppable_facts = 10;
    let mut w = World::with(config);
    for _ in 0..25 {
        let (request, verdict) = w.ask_as("bid", Some(b"k"));
        assert_eq!(verdict, KeyDecision::Proceed { requires_intent: false });
        w.tell(Event::AttemptStarted {
            request,
            attempt: AttemptNumber(0),
            seen: BackendSnapshot::default(),
        });
        w.tell(Event::AttemptEnded { request, attempt: AttemptNumber(0), outcome: Outcome::Ok });
        w.tell(Event::RequestEnded { request, ending: RequestEnding::Served(AttemptNumber(0)) });
    }
    assert_eq!((w.store.queue.len(), w.recorder.dropped(), w.recorder.pending_fact_count()), (10, 90, 0));
    w.commit_all();
    assert_eq!(Fact::of(w.store.rows.last().unwrap()), Fact::Dropped { facts: 90 });
    w.ask_as("bid", None);
    assert_eq!((w.store.queue.len(), w.recorder.dropped()), (1, 90));
}

/// A copy that is called back ends behind the answer: that it may have run is on record too, and then nothing is kept.
#[test]
fn attempt_that_ends_after_its_request_is_recorded() {
    let mut w = World::new();
    let (request, _) = w.ask_as("bid", Some(b"k"));
    for attempt in [0, 1].map(AttemptNumber) {
        w.tell(Event::AttemptStarted { request, attempt, seen: BackendSnapshot::default() });
    }
    w.tell(Event::AttemptEnded { request, attempt: AttemptNumber(1), outcome: Outcome::Ok });
    w.tell(Event::RequestEnded { request, ending: RequestEnding::Served(AttemptNumber(1)) });
    w.tell(Event::AttemptEnded { request, attempt: AttemptNumber(0), outcome: Outcome::Cancelled });
    w.tell(Event::AttemptEnded { request, attempt: AttemptNumber(0), outcome: Outcome::Cancelled });
    w.commit_all();
    assert_eq!(w.kinds(), ["asked", "intent", "intent", "outcome", "answer", "outcome"]);
}

#[test]
fn request_beyond_any_bound_is_rejected() {
    let mut config = common::config();
    (config.bounds.awaiting_intent, config.bounds.unsettled) = (2, 4);
    let mut w = World::with(config);
    let ids = ["a", "b", "c", "d"].map(|k| w.go(k));
    assert_eq!(w.ask("e").1, SECOND, "as many keys as may be");
    ids.iter().for_each(|id| w.want(*id, 0));
    assert_eq!(w.step(ids[2], 0), AttemptStage::Denied, "as many permits as may be");
    w.commit_all();
    assert_eq!(w.step(ids[0], 0), AttemptStage::Permitted);
}
