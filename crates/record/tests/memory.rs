//! A million served keys, remembered in a stated memory.

use shaletide_record::*;
use shaletide_types::{AttemptNumber, Micros, RequestId, Time};

const KEYS: u64 = 1_000_000;
/// Bytes a key, at most.
const EACH: u64 = 64;
const KEEP: Micros = Micros(86_400_000_000);

fn remembered(from: u64, to: u64) -> Vec<StoredKey> {
    let one = |n: u64| StoredKey {
        key: KeyId { tenant: "t".into(), class: "settle".into(), key: n.to_be_bytes().into() },
        state: KeyState::Served,
        since: Time(n * KEEP.0 / KEYS),
        seq: n + 1,
    };
    (from..to).map(one).collect()
}

#[test]
fn million_served_keys_fit_in_memory_and_expire() {
    let config = RecordConfig { keep: KEEP, ..RecordConfig::default() };
    let start = Time(KEEP.0);
    let mut recorder = Recorder::new(config, [1; 16], start, Time(KEEP.0));
    let fill = || {
        let mut from = 0;
        while from < KEYS {
            recorder.restore(start, remembered(from, from + 1_000), &mut Vec::new());
            from += 1_000;
        }
    };
    let used = allocation_counter::measure(fill);
    println!("{} bytes a key, {} at most", used.bytes_current as f64 / KEYS as f64, used.bytes_max);
    assert_eq!(recorder.served() as u64, KEYS);
    assert!(used.bytes_max < EACH * KEYS, "{} bytes", used.bytes_max);
    let mut actions = Vec::new();
    recorder.handle(start + KEEP, Event::Wake, &mut actions);
    assert_eq!((recorder.served(), recorder.wake_at()), (0, None));
    let Some(Action::Write { write, .. }) = actions.first() else { panic!("the store is told") };
    assert_eq!((actions.len(), &write.claim), (1, &Claim::FreeServed { through: KEYS }));
}

/// What is not settled is kept whole: key, request, and the rows that are not durable yet.
#[test]
fn unsettled_keys_use_the_stated_memory() {
    let settle = ClassRule { requires_intent: true, without_key: WithoutKey::Refuse };
    let classes = [("settle".to_string(), settle)].into();
    let config = RecordConfig { classes, ..RecordConfig::default() };
    let most = config.bounds.unsettled as u64;
    let mut recorder = Recorder::new(config, [1; 16], Time(0), Time(0));
    let mut actions = Vec::new();
    let fill = || {
        for n in 0..most {
            let key = format!("{n:036}");
            let (request, deadline) = (RequestId(n), Time(10_000_000));
            let asked =
                KeyRequest { request, tenant: "t", class: "settle", key: Some(key.as_bytes()), deadline };
            assert_eq!(
                recorder.decide(Time(0), asked, &mut actions),
                KeyDecision::Proceed { requires_intent: true }
            );
            let attempt = AttemptNumber(0);
            recorder.handle(
                Time(0),
                Event::IntentRequested { request, attempt, seen: BackendSnapshot::default() },
                &mut actions,
            );
            for action in std::mem::take(&mut actions) {
                if let Action::Write { ticket, .. } = action {
                    recorder.handle(Time(0), Event::Committed { ticket, seq: ticket.0 }, &mut Vec::new());
                }
            }
        }
    };
    let used = allocation_counter::measure(fill);
    println!("{} bytes a key in flight", used.bytes_current as f64 / most as f64);
    assert!(used.bytes_current < 1_024 * most as i64, "{}", used.bytes_current);
}
