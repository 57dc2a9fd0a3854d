//! Intents are durable before the first byte, and none is left unused.

use super::*;

#[test]
fn attempt_without_intent_or_open_intent_breaks_durable_intent() {
    let (request, attempt) = (RequestId(0), AttemptNumber(0));
    let persist = Action::PersistIntent { request, attempt };
    let withdraw = Action::WithdrawIntent { request, attempt };
    let broken_rules = |stream: &dyn Fn(&mut Stream)| {
        let mut s = Stream::new(RULES);
        s.request(Idempotency::Safe, true);
        stream(&mut s);
        s.broken_rules
    };
    assert_eq!(broken_rules(&|s| s.sent(0, 0)), [Rule::DurableIntent]);
    assert_eq!(broken_rules(&|s| s.act(&[persist.clone(), withdraw.clone()])), []);
    assert_eq!(
        broken_rules(&|s| s.act(&[persist.clone(), withdraw.clone(), withdraw.clone()])),
        [Rule::DurableIntent]
    );
    assert_eq!(broken_rules(&|s| s.act(&[persist.clone(), persist.clone()])), [Rule::DurableIntent]);
    let disconnected = Event::ClientDisconnected { request };
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&persist));
            s.step(disconnected.clone(), &[]);
        }),
        [Rule::DurableIntent]
    );
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&persist));
            s.step(disconnected.clone(), std::slice::from_ref(&withdraw));
            s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[]);
            // the result comes after the withdrawal
        }),
        []
    );
    // The intent stays durable when the connection is unusable.
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&persist));
            s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[open(0, 0)]);
            s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
            s.step(Event::ConnectionUnusable { connection: connection(0) }, &[close(0), open(1, 0)]);
            s.step(Event::Connected { connection: connection(1) }, &[send(1, 0)]);
        }),
        []
    );
}
