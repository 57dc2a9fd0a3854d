//! Tests of `schedule` that need its private items.

use super::*;

#[test]
fn agent_that_was_silent_answers_within_two_thirds_of_the_grace() {
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

/// Found silent, asked for after 0.15 s at most, failed after half a second, asked for after 0.3 s.
#[test]
fn silent_subscription_is_reopened_before_missed_changes_count() {
    for ms in [150, 300, 500, 1000, 2000, 10_000] {
        let (grace, schedule) = (Duration::from_millis(ms), PollSchedule::polling(Duration::from_millis(ms)));
        let again = schedule.response_timeout + Duration::from_millis(150 + 500 + 300 + 500);
        assert!(again <= Duration::from_secs(2) + grace, "{ms}: {schedule:?}");
    }
}

/// The watches of all proxies fall silent together. A service that needs 5 s for a call of each, however many they
/// are, has answered each by the time at which what it missed counts.
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
                let asked = end + schedule.response_timeout + Duration::from_millis(150);
                free = free.max(asked) + work;
                let late = free - end;
                assert!(late <= Duration::from_secs(2) + grace, "{proxies}, call {call}: {late:?}");
            }
        }
    }
}

/// Discovery can be reached from just after a call failed, or was given up, whatever failed before. The next call is made,
/// and answered in the time that the first to a service of all proxies may take, within the 6 s after which a change
/// counts, and within 4 s after a move, which begins with no call given up.
#[test]
fn call_after_any_failure_is_answered_before_a_change_counts() {
    let (counts, moved, answer) =
        (Duration::from_secs(6), Duration::from_secs(4), Duration::from_millis(850));
    for ms in [150, 300, 700, 1000, 2000, 10_000] {
        let grace = Duration::from_millis(ms);
        let (schedule, made) = (PollSchedule::polling(grace), Instant::now());
        // From making a call that fails or is given up after that time to making the next.
        let worst = |took: Duration| {
            let next = |n: u32| schedule.latest_retry(made, made + took, n % 300, n / 300) - made;
            (0..9000).map(next).max().unwrap()
        };
        assert!(worst(Duration::ZERO) + answer <= moved, "{ms}: refused, {schedule:?}");
        assert!(worst(schedule.response_timeout) + answer <= moved, "{ms}: no connection, {schedule:?}");
        assert!(worst(schedule.immediate_timeout(false)) + answer <= moved, "{ms}: given up, {schedule:?}");
        assert!(
            worst(schedule.immediate_timeout(true)) + answer <= counts,
            "{ms}: given up again, {schedule:?}"
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
