//! Memory use of a million served keys and of the unsettled keys.

use shaletide_record::*;
use shaletide_types::{AttemptNumber, Micros, RequestId, Time};

const KEYS: u64 = 1_000_000;
/// Maximum memory per served key, in bytes.
const MAX_BYTES_PER_KEY: u64 = 64;
const KEEP: Micros = Micros(86_400_000_000);

fn stored_keys(from: u64, to: u64) -> Vec<StoredKey> {
    let stored_key = |n: u64| StoredKey {
        key: KeyId { tenant: "t".into(), class: "settle".into(), key: n.to_be_bytes().into() },
        state: KeyState::Served,
        since: Time(n * KEEP.0 / KEYS),
        seq: n + 1,
    };
    (from..to).map(stored_key).collect()
}

#[test]
fn million_served_keys_fit_in_memory_and_expire() {
    let config = RecordConfig { keep: KEEP, ..RecordConfig::default() };
    let start = Time(KEEP.0);
    let mut recorder = Recorder::new(config, [1; 16], start, Time(KEEP.0));
    let fill = || {
        let mut from = 0;
        while from < KEYS {
            recorder.restore(start, stored_keys(from, from + 1_000), &mut Vec::new());
            from += 1_000;
        }
    };
    let used = allocation_counter::measure(fill);
    println!(
        "{} bytes per key, {} bytes at most in total",
        used.bytes_current as f64 / KEYS as f64,
        used.bytes_max
    );
    assert_eq!(recorder.served() as u64, KEYS);
    assert!(used.bytes_max < MAX_BYTES_PER_KEY * KEYS, "{} bytes", used.bytes_max);
    let mut actions = Vec::new();
    recorder.handle(start + KEEP, Event::Wake, &mut actions);
    assert_eq!((recorder.served(), recorder.wake_at()), (0, None));
    let Some(Action::Write { write, .. }) = actions.first() else {
        panic!("the store was not told to free the keys")
    };
    assert_eq!((actions.len(), &write.claim), (1, &Claim::FreeServed { through: KEYS }));
}

/// Unsettled keys are kept in full: the key, its request, and the rows that are not durable yet.
#[test]
fn unsettled_keys_use_the_stated_memory() {
    let settle = ClassRule { requires_intent: true, without_key: WithoutKey::Reject };
    let classes = [("settle".to_string(), settle)].into();
    let config = RecordConfig { classes, ..RecordConfig::default() };
    let max_unsettled = config.bounds.unsettled as u64;
    let mut recorder = Recorder::new(config, [1; 16], Time(0), Time(0));
    let mut actions = Vec::new();
    let fill = || {
        for n in 0..max_unsettled {
            let key = format!("{n:036}");
            let (request, deadline) = (RequestId(n), Time(10_000_000));
            let key_request =
                KeyRequest { request, tenant: "t", class: "settle", key: Some(key.as_bytes()), deadline };
            assert_eq!(
                recorder.decide(Time(0), key_request, &mut actions),
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
    println!("{} bytes per key in flight", used.bytes_current as f64 / max_unsettled as f64);
    assert!(used.bytes_current < 1_024 * max_unsettled as i64, "{}", used.bytes_current);
}
