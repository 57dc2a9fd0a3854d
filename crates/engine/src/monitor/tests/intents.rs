//! Intents before the first byte.

use super::*;

#[test]
fn attempt_without_intent_or_open_intent_breaks_permit() {
    let (request, attempt) = (RequestId(0), AttemptNumber(0));
    let ask = Action::PersistIntent { request, attempt };
    let back = Action::WithdrawIntent { request, attempt };
    let broken_rules = |stream: &dyn Fn(&mut Stream)| {
        let mut s = Stream::new(RULES);
        s.request(Idempotency::Safe, true);
        stream(&mut s);
        s.broken_rules
    };
    assert_eq!(broken_rules(&|s| s.sent(0, 0)), [Rule::DurableIntent]);
    assert_eq!(broken_rules(&|s| s.act(&[ask.clone(), back.clone()])), []);
    assert_eq!(broken_rules(&|s| s.act(&[ask.clone(), back.clone(), back.clone()])), [Rule::DurableIntent]);
    assert_eq!(broken_rules(&|s| s.act(&[ask.clone(), ask.clone()])), [Rule::DurableIntent]);
    let left = Event::ClientDisconnected { request };
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&ask));
            s.step(left.clone(), &[]);
        }),
        [Rule::DurableIntent]
    );
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&ask));
            s.step(left.clone(), std::slice::from_ref(&back));
            s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[]);
            // too late
        }),
        []
    );
    // An unfit connection leaves the permit as good as before.
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&ask));
            s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[open(0, 0)]);
            s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
            s.step(Event::ConnectionUnusable { connection: connection(0) }, &[close(0), open(1, 0)]);
            s.step(Event::Connected { connection: connection(1) }, &[send(1, 0)]);
        }),
        []
    );
}
