//! Tests of `pace` that need its private items.

use super::*;

#[test]
fn an_agent_that_was_silent_is_heard_within_two_thirds_of_any_grace() {
    for ms in [170, 200, 300, 500, 700, 1000, 1500, 2000, 3000, 60_000] {
        let grace = Duration::from_millis(ms);
        let pace = PollSchedule::pushed(grace);
        assert!(pace.wait[1] + pace.prompt + pace.pause <= grace * 2 / 3, "{ms}: {pace:?}");
        assert!(pace.prompt + pace.pause * 8 <= grace * 2 / 3, "{ms}: {pace:?}");
    }
    let longest = PollSchedule::pushed(Duration::from_secs(3600));
    let least = PollSchedule::pushed(Duration::ZERO);
    let times = |p: PollSchedule| [p.wait[1], p.prompt, p.pause].map(|t| t.as_millis());
    assert_eq!((times(longest), times(least)), ([1000, 500, 50], [50, 40, 5]));
}

/// Found silent, asked for after 0.15 s at most, failed after half a second, asked for after 0.3 s.
#[test]
fn a_watch_that_fell_silent_is_open_again_before_what_it_missed_counts() {
    for ms in [150, 300, 500, 1000, 2000, 10_000] {
        let (grace, pace) = (Duration::from_millis(ms), PollSchedule::asked(Duration::from_millis(ms)));
        let again = pace.prompt + Duration::from_millis(150 + 500 + 300 + 500);
        assert!(again <= Duration::from_secs(2) + grace, "{ms}: {pace:?}");
    }
}

/// The watches of all proxies fall silent together. A service that needs 5 s for a call of each, however many they
/// are, has answered each by the time at which what it missed counts.
#[test]
fn proxies_whose_watches_fell_silent_together_do_not_ask_together() {
    let grace = Duration::from_millis(150);
    let pace = PollSchedule::asked(grace);
    for proxies in [6u32, 20, 64, 300, 1000] {
        for call in [0, 1, 7] {
            let mut ends: Vec<Duration> = (0..proxies).map(|p| pace.wait(p, call)).collect();
            ends.sort();
            assert!(pace.wait[0] <= ends[0] && ends[ends.len() - 1] <= pace.wait[1]);
            let (work, mut free) = (Duration::from_secs(5) / proxies, Duration::ZERO);
            for end in ends {
                let asked = end + pace.prompt + Duration::from_millis(150);
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
fn after_any_failure_the_next_call_is_answered_before_a_change_counts() {
    let (counts, moved, answer) =
        (Duration::from_secs(6), Duration::from_secs(4), Duration::from_millis(850));
    for ms in [150, 300, 700, 1000, 2000, 10_000] {
        let grace = Duration::from_millis(ms);
        let (pace, made) = (PollSchedule::asked(grace), Instant::now());
        // From making a call that fails or is given up after that time to making the next.
        let worst = |took: Duration| {
            let next = |n: u32| pace.latest_retry(made, made + took, n % 300, n / 300) - made;
            (0..9000).map(next).max().unwrap()
        };
        assert!(worst(Duration::ZERO) + answer <= moved, "{ms}: refused, {pace:?}");
        assert!(worst(pace.prompt) + answer <= moved, "{ms}: no connection, {pace:?}");
        assert!(worst(pace.patience(false)) + answer <= moved, "{ms}: given up, {pace:?}");
        assert!(worst(pace.patience(true)) + answer <= counts, "{ms}: given up again, {pace:?}");
    }
}

#[test]
fn retries_of_many_proxies_that_failed_together_are_spread_over_a_second() {
    let (pace, made) = (PollSchedule::asked(Duration::from_secs(1)), Instant::now());
    let mut at: Vec<Duration> = (0..300).map(|p| pace.latest_retry(made, made, p, 3) - made).collect();
    at.sort();
    let gaps = at.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max().unwrap() < Duration::from_millis(10), "{at:?}");
    assert!(at[299] - at[0] > Duration::from_millis(950));
}
