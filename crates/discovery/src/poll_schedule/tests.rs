//! Tests of `poll_schedule` that need its private items.

use super::*;

#[test]
fn silent_agent_is_called_again_within_two_thirds_of_the_grace() {
    for ms in [170, 200, 300, 500, 700, 1000, 1500, 2000, 3000, 60_000] {
        let grace = Duration::from_millis(ms);
        let schedule = PollSchedule::pushing(grace);
        assert!(
            schedule.long_poll_wait.longest + schedule.response_timeout + schedule.min_pause <= grace * 2 / 3,
            "{ms}: {schedule:?}"
        );
        assert!(schedule.response_timeout + schedule.min_pause * 8 <= grace * 2 / 3, "{ms}: {schedule:?}");
    }
    let longest = PollSchedule::pushing(Duration::from_secs(3600));
    let least = PollSchedule::pushing(Duration::ZERO);
    let timeouts =
        |p: PollSchedule| [p.long_poll_wait.longest, p.response_timeout, p.min_pause].map(|t| t.as_millis());
    assert_eq!((timeouts(longest), timeouts(least)), ([1000, 500, 50], [50, 40, 5]));
}

/// The worst case: the silence is detected, a call is requested after at most 0.15 s and fails after 0.5 s, and the next is
/// requested after 0.3 s and answered within 0.5 s.
#[test]
fn silent_subscription_is_reopened_before_missed_changes_count_as_known() {
    for ms in [150, 300, 500, 1000, 2000, 10_000] {
        let (grace, schedule) = (Duration::from_millis(ms), PollSchedule::polling(Duration::from_millis(ms)));
        let answered_after = schedule.response_timeout + Duration::from_millis(150 + 500 + 300 + 500);
        assert!(answered_after <= Duration::from_secs(2) + grace, "{ms}: {schedule:?}");
    }
}

/// The subscriptions of all proxies become silent at the same time. A service that takes 5 s to process one call from each
/// proxy, whatever the number of proxies, must have answered each of them before the missed changes count as known.
#[test]
fn proxies_that_lost_subscriptions_together_poll_spread_out() {
    let grace = Duration::from_millis(150);
    let schedule = PollSchedule::polling(grace);
    for proxies in [6u32, 20, 64, 300, 1000] {
        for call in [0, 1, 7] {
            let mut ends: Vec<Duration> = (0..proxies).map(|p| schedule.long_poll_wait(p, call)).collect();
            ends.sort();
            assert!(
                schedule.long_poll_wait.shortest <= ends[0]
                    && ends[ends.len() - 1] <= schedule.long_poll_wait.longest
            );
            let (work, mut free) = (Duration::from_secs(5) / proxies, Duration::ZERO);
            for end in ends {
                let requested_at = end + schedule.response_timeout + Duration::from_millis(150);
                free = free.max(requested_at) + work;
                let late = free - end;
                assert!(late <= Duration::from_secs(2) + grace, "{proxies}, call {call}: {late:?}");
            }
        }
    }
}

/// Discovery becomes reachable just after a call has failed or timed out, whatever failed before. The next call must be made,
/// and answered within the time that the first call to a service shared by all proxies may take, within the 6 s after which
/// a change counts as known; and within 4 s after a move, before which no call has timed out.
#[test]
fn call_after_any_failure_is_answered_before_change_counts_as_known() {
    let (known_after, known_after_move, answer) =
        (Duration::from_secs(6), Duration::from_secs(4), Duration::from_millis(850));
    for ms in [150, 300, 700, 1000, 2000, 10_000] {
        let grace = Duration::from_millis(ms);
        let (schedule, made) = (PollSchedule::polling(grace), Instant::now());
        // The longest time from making a call that ends after `took` to making the next call.
        let longest_interval = |took: Duration| {
            let next = |n: u32| schedule.latest_retry(made, made + took, n % 300, n / 300) - made;
            (0..9000).map(next).max().unwrap()
        };
        assert!(longest_interval(Duration::ZERO) + answer <= known_after_move, "{ms}: refused, {schedule:?}");
        assert!(
            longest_interval(schedule.response_timeout) + answer <= known_after_move,
            "{ms}: no connection, {schedule:?}"
        );
        assert!(
            longest_interval(schedule.immediate_timeout(false)) + answer <= known_after_move,
            "{ms}: timed out, {schedule:?}"
        );
        assert!(
            longest_interval(schedule.immediate_timeout(true)) + answer <= known_after,
            "{ms}: timed out again, {schedule:?}"
        );
    }
}

#[test]
fn retries_of_many_proxies_are_spread_over_a_second() {
    let (schedule, made) = (PollSchedule::polling(Duration::from_secs(1)), Instant::now());
    let mut at: Vec<Duration> = (0..300).map(|p| schedule.latest_retry(made, made, p, 3) - made).collect();
    at.sort();
    let gaps = at.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max().unwrap() < Duration::from_millis(10), "{at:?}");
    assert!(at[299] - at[0] > Duration::from_millis(950));
}
