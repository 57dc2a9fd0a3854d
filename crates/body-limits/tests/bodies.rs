//! Bodies that are slow, stall, are never completed, or fill the buffer.

use proptest::prelude::*;
use shaletide_body_limits::{BodyAdmission, BodyId, BodyLimits, BodyState, MinimumRate, RateTracker};
use shaletide_types::{Micros, Time};

const MS: u64 = 1_000;
const RATE: MinimumRate = MinimumRate { bytes_per_s: 1_000, grace: Micros(500 * MS) };
const LIMITS: BodyLimits =
    BodyLimits { rate: RATE, max_buffered_bytes: 10_000, min_age_for_eviction: Micros(100 * MS) };

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * MS)
}

#[test]
fn peer_at_the_minimum_rate_is_never_too_slow_and_one_below_it_is() {
    for (bytes, slow) in [(100, false), (99, true)] {
        let mut rate = RateTracker::new(RATE, at(0));
        let late = (1..1_000).map(|n| at(n * 100)).any(|now| {
            let late = rate.slow_at().is_some_and(|due| due <= now);
            rate.on_bytes(now, bytes);
            late
        });
        assert_eq!(late, slow, "{bytes} bytes every 100 ms");
    }
}

#[test]
fn peer_may_stall_for_at_most_the_grace() {
    let mut rate = RateTracker::new(RATE, at(0));
    rate.on_bytes(at(10), 60_000);
    assert_eq!(rate.slow_at(), Some(at(510)), "bytes worth a minute earn at most the grace");
    rate.on_bytes(at(500), 250);
    assert_eq!(rate.slow_at(), Some(at(760)));
    let mut unlimited = RateTracker::new(MinimumRate { bytes_per_s: 0, ..RATE }, at(0));
    unlimited.on_bytes(at(1), 1);
    assert_eq!(unlimited.slow_at(), None);
}

#[test]
fn bodies_that_do_not_fit_are_queued_and_admitted_in_order() {
    let mut bodies = BodyAdmission::new(LIMITS);
    let [a, b, c, d] = [6_000, 4_000, 5_000, 1].map(|length| bodies.add(at(0), length));
    assert_eq!(
        [a, b, c, d].map(|id| bodies.state(id)),
        [BodyState::Admitted, BodyState::Admitted, BodyState::Queued, BodyState::Queued]
    );
    bodies.remove(at(1), b);
    assert_eq!(
        bodies.state(c),
        BodyState::Queued,
        "a body of 5,000 bytes does not fit into 4,000 free bytes"
    );
    assert_eq!(bodies.state(d), BodyState::Queued, "no body is admitted before the first of the queue");
    bodies.remove(at(2), a);
    assert_eq!([c, d].map(|id| bodies.state(id)), [BodyState::Admitted, BodyState::Admitted]);
    bodies.remove(at(3), c);
    bodies.remove(at(3), d);
    assert_eq!((bodies.reserved_bytes(), bodies.queued_count()), (0, 0));
}

#[test]
fn slowest_body_is_evicted_after_the_patience_and_a_complete_one_never() {
    let mut bodies = BodyAdmission::new(LIMITS);
    let [complete, fast, small, slow] = [2_000, 3_000, 2_000, 3_000].map(|length| bodies.add(at(0), length));
    bodies.on_bytes(at(10), complete, 2_000);
    bodies.on_complete(complete);
    bodies.on_bytes(at(50), fast, 2_000);
    let admitted_later = bodies.add(at(60), 3_000);
    assert_eq!(bodies.evict_slowest(at(99)), None, "no body has reached the minimum age");
    assert_eq!(bodies.evict_slowest(at(100)), Some(slow), "of two bodies without bytes the longer one");
    assert_eq!([slow, admitted_later].map(|id| bodies.state(id)), [BodyState::Evicted, BodyState::Admitted]);
    assert_eq!(bodies.evict_slowest(at(100)), None, "no body is queued");
    let [next, last] = [2_000, 9_000].map(|length| bodies.add(at(150), length));
    assert_eq!(bodies.evict_slowest(at(150)), Some(small));
    assert_eq!(bodies.state(next), BodyState::Admitted);
    assert_eq!(bodies.evict_slowest(at(300)), Some(admitted_later));
    assert_eq!(bodies.evict_slowest(at(300)), Some(next));
    assert_eq!(bodies.evict_slowest(at(300)), Some(fast));
    assert_eq!(
        (bodies.evict_slowest(at(900)), bodies.state(last)),
        (None, BodyState::Queued),
        "a complete body without a response is not evicted"
    );
    bodies.remove(at(901), complete);
    assert_eq!(bodies.state(last), BodyState::Admitted);
}

proptest! {
    /// Random steps never exceed the limit, except for a body that is admitted alone, and removed bodies leave no state.
    #[test]
    fn reserved_bytes_stay_within_the_limit(steps in proptest::collection::vec((0u8..5, 0usize..12_000, 0u64..200), 1..200)) {
        let mut bodies = BodyAdmission::new(LIMITS);
        let (mut now, mut known) = (0, Vec::<BodyId>::new());
        let mut empty = Vec::<BodyId>::new();
        for (step, size, elapsed_ms) in steps {
            now += elapsed_ms;
            match step {
                0 | 1 => {
                    known.push(bodies.add(at(now), size));
                    empty.extend(known.last().filter(|_| size == 0));
                }
                2 if !known.is_empty() => bodies.remove(at(now), known.swap_remove(size % known.len())),
                3 if !known.is_empty() => bodies.on_complete(known[size % known.len()]),
                _ => {
                    if let Some(evicted) = bodies.evict_slowest(at(now)) {
                        prop_assert_eq!(bodies.state(evicted), BodyState::Evicted);
                    }
                }
            }
            // An empty body reserves nothing, so that a body beside it still counts as alone.
            let admitted = known.iter().filter(|id| bodies.state(**id) == BodyState::Admitted && !empty.contains(id)).count();
            prop_assert!(bodies.reserved_bytes() <= LIMITS.max_buffered_bytes || admitted == 1);
        }
        known.into_iter().for_each(|id| bodies.remove(at(now), id));
        prop_assert_eq!((bodies.reserved_bytes(), bodies.queued_count()), (0, 0));
    }
}
