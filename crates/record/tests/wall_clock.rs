//! A restart with a wrong wall clock frees no served key before its retention period is over.

use shaletide_record::*;
use shaletide_types::{Micros, RequestId, Time};

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3600 * SECOND;
const KEEP: Micros = Micros(HOUR / 2);
/// The true time of the restart.
const NOW: u64 = 1_000_000 * SECOND;

fn recorder(wall: u64, served_ago: u64) -> Recorder {
    let settle = ClassRule { requires_intent: true, without_key: WithoutKey::Reject };
    let classes = [("settle".to_string(), settle)].into();
    let config = RecordConfig { keep: KEEP, classes, ..RecordConfig::default() };
    let mut recorder = Recorder::new(config, [1; 16], Time(wall), Time(wall));
    let key = KeyId { tenant: "t".into(), class: "settle".into(), key: b"k".as_slice().into() };
    let stored = StoredKey { key, state: KeyState::Served, since: Time(NOW - served_ago), seq: 1 };
    recorder.restore(Time(wall), vec![stored], &mut Vec::new());
    recorder
}

fn submit(recorder: &mut Recorder, at: Time) -> KeyDecision {
    let deadline = at + Micros(SECOND);
    let key_request =
        KeyRequest { request: RequestId(1), tenant: "t", class: "settle", key: Some(b"k"), deadline };
    recorder.decide(at, key_request, &mut Vec::new())
}

#[test]
fn key_served_a_minute_ago_is_known_for_any_clock_error() {
    for wall in [NOW, NOW + HOUR, NOW - HOUR, NOW + 7 * SECOND, NOW - 7 * SECOND] {
        let mut recorder = recorder(wall, 60 * SECOND);
        let just_started = submit(&mut recorder, Time(wall));
        assert_eq!(just_started, KeyDecision::Conflict(KeyConflict::Served), "{wall}");
        let before_expiry = Time(wall + KEEP.0 - 61 * SECOND);
        assert_eq!(
            submit(&mut recorder, before_expiry),
            KeyDecision::Conflict(KeyConflict::Served),
            "{wall}"
        );
        // It is kept no longer than one retention period after the restart: then the store is told to free it.
        assert_eq!(submit(&mut recorder, Time(wall + KEEP.0)), KeyDecision::Reject(Micros(SECOND)), "{wall}");
    }
}

#[test]
fn key_served_long_ago_is_free_after_a_restart() {
    for wall in [NOW, NOW + HOUR, NOW - HOUR] {
        let mut recorder = recorder(wall, KEEP.0 + 4 * HOUR);
        assert_eq!(
            submit(&mut recorder, Time(wall)),
            KeyDecision::Proceed { requires_intent: true },
            "{wall}"
        );
    }
}
