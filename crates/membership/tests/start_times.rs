//! Start times under a wrong local clock and with wrong listed start times.

use shaletide_membership::{Endpoint, StartTimes};
use shaletide_types::{BackendState, EndpointUpdate, Micros, PoolId, Time};

const POOL: PoolId = PoolId(0);
const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3600 * SECOND;
/// The true time at which the process starts.
const PROCESS_START: u64 = 1_000_000 * SECOND;

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

/// Returns the assumed age of each backend in seconds at the true time `now`, by a clock that is `ahead` µs ahead. `None`
/// means long ago.
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
        assert_eq!(ages(&mut starts, PROCESS_START, ahead, EndpointUpdate::Snapshot, &known), [None, None]);
        let at = PROCESS_START + 60 * SECOND;
        let first_listed = ages(&mut starts, at, ahead, EndpointUpdate::Delta, &[("a", at - SECOND)]);
        assert_eq!(first_listed, [Some(0.0)], "{ahead}");
        // The same start listed again: its age has advanced with the monotonic clock, whatever the wall clock shows.
        let listed_again = ages(
            &mut starts,
            at + 9 * SECOND,
            ahead,
            EndpointUpdate::Snapshot,
            &[("a", at - SECOND), ("b", 0)],
        );
        assert_eq!(listed_again, [Some(9.0), None], "{ahead}");
    }
}

#[test]
fn backends_of_the_first_list_have_the_least_age_the_latest_starts_prove() {
    for ahead in CLOCKS {
        let mut starts = starts();
        let listed = [
            ("a", PROCESS_START - 2 * SECOND),
            ("b", PROCESS_START - 3 * SECOND),
            ("c", PROCESS_START - 60 * SECOND),
            ("d", 0),
        ];
        let ages = ages(&mut starts, PROCESS_START, ahead, EndpointUpdate::Snapshot, &listed);
        // The second latest start is the reference, as a single start time is not trusted.
        assert_eq!(ages, [Some(0.0), Some(0.0), Some(57.0), None], "{ahead}");
    }
}

#[test]
fn single_start_time_in_the_future_does_not_age_other_backends() {
    let mut starts = starts();
    let listed = [("wrong", PROCESS_START + HOUR), ("a", PROCESS_START - 30 * SECOND)];
    assert_eq!(
        ages(&mut starts, PROCESS_START, 0, EndpointUpdate::Snapshot, &listed),
        [Some(0.0), Some(0.0)]
    );
    let at = PROCESS_START + 20 * SECOND;
    assert_eq!(ages(&mut starts, at, 0, EndpointUpdate::Delta, &[("b", at - SECOND)]), [Some(0.0)]);
    // The age of the backend with the wrong start time advances as well, so its slow start ends.
    let later = ages(&mut starts, at, 0, EndpointUpdate::Delta, &[("wrong", PROCESS_START + HOUR)]);
    assert_eq!(later, [Some(20.0)]);
}

#[test]
fn backend_listed_late_gets_the_age_proved_by_others() {
    let mut starts = starts();
    let first = [("a", PROCESS_START - SECOND), ("b", PROCESS_START - SECOND)];
    ages(&mut starts, PROCESS_START, 0, EndpointUpdate::Snapshot, &first);
    // After an outage of discovery: the backend started 8 s ago, and the starts of the others were listed 1 s late.
    let at = PROCESS_START + 100 * SECOND;
    assert_eq!(ages(&mut starts, at, 0, EndpointUpdate::Delta, &[("c", at - 8 * SECOND)]), [Some(7.0)]);
}

#[test]
fn backend_started_hours_ago_has_no_start_time() {
    for ahead in CLOCKS {
        let mut starts = starts();
        let listed = [("a", PROCESS_START - 4 * HOUR), ("b", PROCESS_START - 5 * HOUR)];
        assert_eq!(
            ages(&mut starts, PROCESS_START, ahead, EndpointUpdate::Snapshot, &listed),
            [None, None],
            "{ahead}"
        );
    }
}

#[test]
fn returning_backend_is_not_taken_for_older_than_it_is() {
    let mut starts = starts();
    let listed = [("a", PROCESS_START - SECOND), ("b", PROCESS_START - SECOND)];
    ages(&mut starts, PROCESS_START, 0, EndpointUpdate::Snapshot, &listed);
    ages(&mut starts, PROCESS_START + SECOND, 0, EndpointUpdate::Snapshot, &[("b", PROCESS_START - SECOND)]);
    let returned = ages(
        &mut starts,
        PROCESS_START + 5 * SECOND,
        0,
        EndpointUpdate::Delta,
        &[("a", PROCESS_START - SECOND)],
    );
    assert_eq!(returned, [Some(5.0)]);
}
