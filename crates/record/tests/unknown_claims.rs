//! What may not be concluded from a write of which nobody knows whether it is on record.

use shaletide_record::*;
use shaletide_types::*;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1_000)
}

/// A recorder that has let one settle go, and what it asked for.
fn one_settle() -> (Recorder, RequestId, Vec<Action>) {
    let mut config = RecordConfig::default();
    config
        .classes
        .insert("settle".into(), ClassRule { requires_intent: true, without_key: WithoutKey::Refuse });
    let mut recorder = Recorder::new(config, [1; 16], at(0), at(0));
    let (mut actions, request) = (Vec::new(), RequestId(1));
    let asked = KeyRequest { request, tenant: "", class: "settle", key: Some(b"k"), deadline: at(2_000) };
    assert_eq!(recorder.decide(at(1), asked, &mut actions), KeyDecision::Proceed { requires_intent: true });
    (recorder, request, actions)
}

/// The intent of an attempt that was called back fails: whether the key is taken is not known, and the next attempt
/// of the same request may not set it whoever holds it.
#[test]
fn key_whose_claim_is_unknown_is_not_set() {
    let (mut recorder, request, mut actions) = one_settle();
    let wanted = |attempt| Event::IntentRequested {
        request,
        attempt: AttemptNumber(attempt),
        seen: BackendSnapshot::default(),
    };
    recorder.handle(at(2), wanted(0), &mut actions);
    recorder.handle(at(3), Event::IntentWithdrawn { request, attempt: AttemptNumber(0) }, &mut actions);
    let tickets: Vec<Ticket> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Write { ticket, .. } => Some(*ticket),
            _ => None,
        })
        .collect();
    assert!(!tickets.is_empty());
    actions.clear();
    for ticket in tickets {
        recorder.handle(at(4), Event::WriteFailed { ticket, why: StoreFailure::Locked }, &mut actions);
    }
    recorder.handle(at(50), Event::StoreUp, &mut actions);
    recorder.handle(at(60), wanted(1), &mut actions);
    let sets = |action: &Action| matches!(action, Action::Write { write, .. } if matches!(write.claim, Claim::Set(..)));
    assert!(!actions.iter().any(sets), "{actions:?}");
}

/// A verdict comes before the permit that is not given: the end of its only attempt ends a request.
#[test]
fn decision_precedes_the_denied_intent() {
    let (mut recorder, request, mut actions) = one_settle();
    actions.clear();
    let wanted =
        Event::IntentRequested { request, attempt: AttemptNumber(0), seen: BackendSnapshot::default() };
    recorder.handle(at(2), wanted, &mut actions);
    let Some(Action::Write { ticket, .. }) = actions.first() else { panic!("{actions:?}") };
    let refused = Event::ClaimRejected { ticket: *ticket, why: ClaimRejection::Taken(KeyState::Served) };
    actions.clear();
    recorder.handle(at(3), refused, &mut actions);
    let place =
        |is: fn(&Action) -> bool| actions.iter().position(is).unwrap_or_else(|| panic!("{actions:?}"));
    let end = place(|a| matches!(a, Action::EndRequest { decision: KeyDecision::Conflict(_), .. }));
    assert!(end < place(|a| matches!(a, Action::IntentPersisted { persisted: false, .. })));
}
