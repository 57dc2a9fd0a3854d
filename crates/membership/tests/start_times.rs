//! Who is cold by a clock that is wrong, and by stamps that are.

use shaletide_membership::{Endpoint, StartTimes};
use shaletide_types::{BackendState, EndpointUpdate, Micros, PoolId, Time};

const POOL: PoolId = PoolId(0);
const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3600 * SECOND;
/// The true time as the process starts.
const BEGUN: u64 = 1_000_000 * SECOND;

fn entry(name: &str, started_at: u64) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: String::new(),
        server_type: String::new(),
        deduplication_group: 0,
        cores: 1,
        weight: 0,
        state: BackendState::Ready,
        started_at: (started_at > 0).then_some(Time(started_at)),
    }
}

/// How old each is taken for, in seconds, at a true time, by a clock that is so many µs ahead; `None` for long ago.
fn ages(
    starts: &mut StartTimes, now: u64, ahead: i64, update: EndpointUpdate, listed: &[(&str, u64)],
) -> Vec<Option<f64>> {
    let now = Time((now as i64 + ahead) as u64);
    let mut entries: Vec<Endpoint> =
        listed.iter().map(|(name, started_at)| entry(name, *started_at)).collect();
    starts.to_local_clock(now, POOL, update, &mut entries);
    entries.iter().map(|e| e.started_at.map(|at| (now - at).secs())).collect()
}

const CLOCKS: [i64; 5] = [0, HOUR as i64, -(HOUR as i64), 7 * SECOND as i64, -7 * (SECOND as i64)];

fn starts() -> StartTimes {
    let mut starts = StartTimes::default();
    starts.set_slow_start_window(Micros(9 * SECOND));
    starts
}

#[test]
fn backend_started_while_running_has_age_zero_for_any_clock_error() {
    for ahead in CLOCKS {
        let mut starts = starts();
        let known = [("a", 0), ("b", 0)];
        assert_eq!(ages(&mut starts, BEGUN, ahead, EndpointUpdate::Snapshot, &known), [None, None]);
        let at = BEGUN + 60 * SECOND;
        let heard = ages(&mut starts, at, ahead, EndpointUpdate::Delta, &[("a", at - SECOND)]);
        assert_eq!(heard, [Some(0.0)], "{ahead}");
        // The same start, listed again: its age is that of the monotonic clock, wherever the wall clock is.
        let again = ages(
            &mut starts,
            at + 9 * SECOND,
            ahead,
            EndpointUpdate::Snapshot,
            &[("a", at - SECOND), ("b", 0)],
        );
        assert_eq!(again, [Some(9.0), None], "{ahead}");
    }
}

#[test]
fn backends_of_the_first_list_have_the_least_age_the_latest_starts_prove() {
    for ahead in CLOCKS {
        let mut starts = starts();
        let listed =
            [("a", BEGUN - 2 * SECOND), ("b", BEGUN - 3 * SECOND), ("c", BEGUN - 60 * SECOND), ("d", 0)];
        let ages = ages(&mut starts, BEGUN, ahead, EndpointUpdate::Snapshot, &listed);
        // By the second of the last starts, as one stamp alone is not trusted.
        assert_eq!(ages, [Some(0.0), Some(0.0), Some(57.0), None], "{ahead}");
    }
}

#[test]
fn single_start_time_in_the_future_does_not_age_other_backends() {
    let mut starts = starts();
    let listed = [("wrong", BEGUN + HOUR), ("a", BEGUN - 30 * SECOND)];
    assert_eq!(ages(&mut starts, BEGUN, 0, EndpointUpdate::Snapshot, &listed), [Some(0.0), Some(0.0)]);
    let at = BEGUN + 20 * SECOND;
    assert_eq!(ages(&mut starts, at, 0, EndpointUpdate::Delta, &[("b", at - SECOND)]), [Some(0.0)]);
    // And it is itself warm after its ramp.
    let later = ages(&mut starts, at, 0, EndpointUpdate::Delta, &[("wrong", BEGUN + HOUR)]);
    assert_eq!(later, [Some(20.0)]);
}

#[test]
fn backend_listed_late_gets_the_age_proved_by_others() {
    let mut starts = starts();
    let first = [("a", BEGUN - SECOND), ("b", BEGUN - SECOND)];
    ages(&mut starts, BEGUN, 0, EndpointUpdate::Snapshot, &first);
    // After an outage of discovery: it started 8 s ago, and others' lists came 1 s late.
    let at = BEGUN + 100 * SECOND;
    assert_eq!(ages(&mut starts, at, 0, EndpointUpdate::Delta, &[("c", at - 8 * SECOND)]), [Some(7.0)]);
}

#[test]
fn backend_started_hours_ago_has_no_start_time() {
    for ahead in CLOCKS {
        let mut starts = starts();
        let listed = [("a", BEGUN - 4 * HOUR), ("b", BEGUN - 5 * HOUR)];
        assert_eq!(
            ages(&mut starts, BEGUN, ahead, EndpointUpdate::Snapshot, &listed),
            [None, None],
            "{ahead}"
        );
    }
}

#[test]
fn returning_backend_is_not_taken_for_older_than_it_is() {
    let mut starts = starts();
    let listed = [("a", BEGUN - SECOND), ("b", BEGUN - SECOND)];
    ages(&mut starts, BEGUN, 0, EndpointUpdate::Snapshot, &listed);
    ages(&mut starts, BEGUN + SECOND, 0, EndpointUpdate::Snapshot, &[("b", BEGUN - SECOND)]);
    let back = ages(&mut starts, BEGUN + 5 * SECOND, 0, EndpointUpdate::Delta, &[("a", BEGUN - SECOND)]);
    assert_eq!(back, [Some(5.0)]);
}
