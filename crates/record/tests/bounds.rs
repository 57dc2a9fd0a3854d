//! Keys of all forms, requests without a key, requests that are only recorded, and the bounds.

mod common;

use common::{AttemptStage, Harness};
use shaletide_record::*;
use shaletide_types::*;

const ACCEPTED: KeyDecision = KeyDecision::Proceed { requires_intent: true };
const RETRY_LATER: KeyDecision = KeyDecision::Reject(Micros(1_000_000));

#[test]
fn key_of_any_form_is_accepted_within_the_length_bound() {
    let mut h = Harness::new();
    let long = vec![b'k'; 1_024];
    let longer = vec![b'k'; 10 * 1_024];
    assert_eq!(h.submit_as("settle", Some(&long)).1, ACCEPTED);
    assert_eq!(h.submit_as("settle", Some(&longer)).1, KeyDecision::KeyTooLong);
    assert_eq!(h.submit_as("settle", Some(&[0, 0])).1, ACCEPTED);
    assert_eq!(h.submit_as("settle", Some(&[0])).1, ACCEPTED, "a different key");
    assert_eq!(h.submit_as("settle", Some(b"")).1, KeyDecision::KeyRequired, "an empty key counts as none");
    assert_eq!(h.submit_as("settle", None).1, KeyDecision::KeyRequired);
    assert_eq!(h.submit_as("odd", Some(&long)).1, ACCEPTED, "the key of another class is a different key");
    assert_eq!(
        h.submit_as("views", Some(&longer)).1,
        KeyDecision::Proceed { requires_intent: false },
        "the class is not recorded"
    );
}

#[test]
fn request_without_a_key_is_sent_where_configured_and_recorded_without_one() {
    let mut h = Harness::new();
    for _ in 0..2 {
        let (id, key_decision) = h.submit_as("odd", None);
        assert_eq!(key_decision, ACCEPTED);
        h.request_intent(id, 0);
        h.commit_all();
        h.send(id, 0);
        h.end_attempt(id, 0, Outcome::Reset);
        h.end_request(id, RequestEnding::Failed);
    }
    assert!(matches!(Fact::of(&h.store.rows[0]), Fact::Asked { keyed: false, .. }));
    assert_eq!(h.recorder.unsettled(), 0);
}

/// Guards against a frozen store that delays requests without intents, or makes the recorder's memory grow beyond its bound.
#[test]
fn droppable_facts_beyond_the_bound_are_dropped_and_the_count_is_recorded() {
    let mut config = common::config();
    config.bounds.droppable_facts = 10;
    let mut h = Harness::with(config);
    for _ in 0..25 {
        let (request, key_decision) = h.submit_as("bid", Some(b"k"));
        assert_eq!(key_decision, KeyDecision::Proceed { requires_intent: false });
        h.deliver(Event::AttemptStarted {
            request,
            attempt: AttemptNumber(0),
            seen: BackendSnapshot::default(),
        });
        h.deliver(Event::AttemptEnded { request, attempt: AttemptNumber(0), outcome: Outcome::Ok });
        h.deliver(Event::RequestEnded { request, ending: RequestEnding::Served(AttemptNumber(0)) });
    }
    assert_eq!((h.store.queue.len(), h.recorder.dropped(), h.recorder.pending_fact_count()), (10, 90, 0));
    h.commit_all();
    assert_eq!(Fact::of(h.store.rows.last().unwrap()), Fact::Dropped { facts: 90 });
    h.submit_as("bid", None);
    assert_eq!((h.store.queue.len(), h.recorder.dropped()), (1, 90));
}

/// A cancelled hedge ends after its request. Its outcome has to be recorded too, and the request is forgotten only then.
#[test]
fn attempt_that_ends_after_its_request_is_recorded() {
    let mut h = Harness::new();
    let (request, _) = h.submit_as("bid", Some(b"k"));
    for attempt in [0, 1].map(AttemptNumber) {
        h.deliver(Event::AttemptStarted { request, attempt, seen: BackendSnapshot::default() });
    }
    h.deliver(Event::AttemptEnded { request, attempt: AttemptNumber(1), outcome: Outcome::Ok });
    h.deliver(Event::RequestEnded { request, ending: RequestEnding::Served(AttemptNumber(1)) });
    h.deliver(Event::AttemptEnded { request, attempt: AttemptNumber(0), outcome: Outcome::Cancelled });
    h.deliver(Event::AttemptEnded { request, attempt: AttemptNumber(0), outcome: Outcome::Cancelled });
    h.commit_all();
    assert_eq!(h.kinds(), ["asked", "intent", "intent", "outcome", "answer", "outcome"]);
}

#[test]
fn request_beyond_any_bound_is_rejected() {
    let mut config = common::config();
    (config.bounds.awaiting_intent, config.bounds.unsettled) = (2, 4);
    let mut h = Harness::with(config);
    let ids = ["a", "b", "c", "d"].map(|k| h.submit_accepted(k));
    assert_eq!(h.submit("e").1, RETRY_LATER, "the bound on unsettled keys is reached");
    ids.iter().for_each(|id| h.request_intent(*id, 0));
    assert_eq!(h.stage(ids[2], 0), AttemptStage::Denied, "the bound on awaited intents is reached");
    h.commit_all();
    assert_eq!(h.stage(ids[0], 0), AttemptStage::Granted);
}
