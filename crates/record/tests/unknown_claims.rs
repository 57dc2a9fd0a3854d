//! Claims of keys by writes whose commit outcome is unknown.

use shaletide_record::*;
use shaletide_types::*;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1_000)
}

/// Returns a recorder that has accepted one request of class `settle`, the request, and the resulting actions.
fn recorder_with_request() -> (Recorder, RequestId, Vec<Action>) {
    let mut config = RecordConfig::default();
    config
        .classes
        .insert("settle".into(), ClassRule { requires_intent: true, without_key: WithoutKey::Reject });
    let mut recorder = Recorder::new(config, [1; 16], at(0), at(0));
    let (mut actions, request) = (Vec::new(), RequestId(1));
    let key_request =
        KeyRequest { request, tenant: "", class: "settle", key: Some(b"k"), deadline: at(2_000) };
    assert_eq!(
        recorder.decide(at(1), key_request, &mut actions),
        KeyDecision::Proceed { requires_intent: true }
    );
    (recorder, request, actions)
}

/// The write of a withdrawn attempt's intent fails, so it is not known whether the key is taken. The next attempt of the
/// same request must not set the key's state, because another request may hold the key.
#[test]
fn key_whose_claim_is_unknown_is_not_set() {
    let (mut recorder, request, mut actions) = recorder_with_request();
    let intent_requested = |attempt| Event::IntentRequested {
        request,
        attempt: AttemptNumber(attempt),
        seen: BackendSnapshot::default(),
    };
    recorder.handle(at(2), intent_requested(0), &mut actions);
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
    recorder.handle(at(60), intent_requested(1), &mut actions);
    let sets_key = |action: &Action| matches!(action, Action::Write { write, .. } if matches!(write.claim, Claim::Set(..)));
    assert!(!actions.iter().any(sets_key), "{actions:?}");
}

/// The decision must come before the denial of the intent: the engine ends a request once its only attempt has ended.
#[test]
fn decision_precedes_the_denied_intent() {
    let (mut recorder, request, mut actions) = recorder_with_request();
    actions.clear();
    let intent_requested =
        Event::IntentRequested { request, attempt: AttemptNumber(0), seen: BackendSnapshot::default() };
    recorder.handle(at(2), intent_requested, &mut actions);
    let Some(Action::Write { ticket, .. }) = actions.first() else { panic!("{actions:?}") };
    let rejected = Event::ClaimRejected { ticket: *ticket, why: ClaimRejection::Taken(KeyState::Served) };
    actions.clear();
    recorder.handle(at(3), rejected, &mut actions);
    let position_of =
        |is: fn(&Action) -> bool| actions.iter().position(is).unwrap_or_else(|| panic!("{actions:?}"));
    let end = position_of(|a| matches!(a, Action::EndRequest { decision: KeyDecision::Conflict(_), .. }));
    assert!(end < position_of(|a| matches!(a, Action::IntentPersisted { persisted: false, .. })));
}
