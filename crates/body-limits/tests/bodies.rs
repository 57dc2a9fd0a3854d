//! Peers that trickle, stall, stop and fill the house.

use proptest::prelude::*;
use shaletide_body_limits::{BodyAdmission, BodyId, BodyLimits, BodyState, MinimumRate, RateTracker};
use shaletide_types::{Micros, Time};

const MS: u64 = 1_000;
const RATE: MinimumRate = MinimumRate { bytes_per_s: 1_000, grace: Micros(500 * MS) };
const MEASURES: BodyLimits =
    BodyLimits { rate: RATE, max_buffered_bytes: 10_000, patience: Micros(100 * MS) };

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * MS)
}

#[test]
fn a_peer_at_exactly_the_least_rate_is_never_too_slow_and_one_below_it_is() {
    for (bytes, slow) in [(100, false), (99, true)] {
        let mut pace = RateTracker::new(RATE, at(0));
        let late = (1..1_000).map(|n| at(n * 100)).any(|now| {
            let late = pace.due().is_some_and(|due| due <= now);
            pace.moved(now, bytes);
            late
        });
        assert_eq!(late, slow, "{bytes} bytes each 100 ms");
    }
}

#[test]
fn one_stall_is_no_crime_and_nothing_is_saved_up_beyond_the_grace() {
    let mut pace = RateTracker::new(RATE, at(0));
    pace.moved(at(10), 60_000);
    assert_eq!(pace.due(), Some(at(510)), "a minute's worth of bytes buys no minute");
    pace.moved(at(500), 250);
    assert_eq!(pace.due(), Some(at(760)));
    let mut free = RateTracker::new(MinimumRate { bytes_per_s: 0, ..RATE }, at(0));
    free.moved(at(1), 1);
    assert_eq!(free.due(), None);
}

#[test]
fn what_does_not_fit_stands_in_line_and_comes_in_by_its_order() {
    let mut bodies = BodyAdmission::new(MEASURES);
    let [a, b, c, d] = [6_000, 4_000, 5_000, 1].map(|length| bodies.begin(at(0), length));
    assert_eq!(
        [a, b, c, d].map(|id| bodies.state(id)),
        [BodyState::Admitted, BodyState::Admitted, BodyState::Queued, BodyState::Queued]
    );
    bodies.remove(at(1), b);
    assert_eq!(bodies.state(c), BodyState::Queued, "four thousand are not five");
    assert_eq!(bodies.state(d), BodyState::Queued, "nobody passes the first in line");
    bodies.remove(at(2), a);
    assert_eq!([c, d].map(|id| bodies.state(id)), [BodyState::Admitted, BodyState::Admitted]);
    bodies.remove(at(3), c);
    bodies.remove(at(3), d);
    assert_eq!((bodies.held(), bodies.waiting()), (0, 0));
}

#[test]
fn the_slowest_makes_room_after_its_patience_and_what_was_taken_never_does() {
    let mut bodies = BodyAdmission::new(MEASURES);
    let [taken, fast, small, slow] = [2_000, 3_000, 2_000, 3_000].map(|length| bodies.begin(at(0), length));
    bodies.on_bytes(at(10), taken, 2_000);
    bodies.on_complete(taken);
    bodies.on_bytes(at(50), fast, 2_000);
    let good = bodies.begin(at(60), 3_000);
    assert_eq!(bodies.evict_slowest(at(99)), None, "they had no time to come");
    assert_eq!(bodies.evict_slowest(at(100)), Some(slow), "of two that sent nothing the one that holds more");
    assert_eq!([slow, good].map(|id| bodies.state(id)), [BodyState::Evicted, BodyState::Admitted]);
    assert_eq!(bodies.evict_slowest(at(100)), None, "nobody waits");
    let [next, last] = [2_000, 9_000].map(|length| bodies.begin(at(150), length));
    assert_eq!(bodies.evict_slowest(at(150)), Some(small));
    assert_eq!(bodies.state(next), BodyState::Admitted);
    assert_eq!(bodies.evict_slowest(at(300)), Some(good));
    assert_eq!(bodies.evict_slowest(at(300)), Some(next));
    assert_eq!(bodies.evict_slowest(at(300)), Some(fast));
    assert_eq!(
        (bodies.evict_slowest(at(900)), bodies.state(last)),
        (None, BodyState::Queued),
        "one that is owed an answer stays"
    );
    bodies.remove(at(901), taken);
    assert_eq!(bodies.state(last), BodyState::Admitted);
}

proptest! {
    /// Whatever comes, the bound holds but for one that is alone, and nothing is kept of what is over.
    #[test]
    fn the_bound_holds(steps in proptest::collection::vec((0u8..5, 0usize..12_000, 0u64..200), 1..200)) {
        let mut bodies = BodyAdmission::new(MEASURES);
        let (mut now, mut known) = (0, Vec::<BodyId>::new());
        let mut empty = Vec::<BodyId>::new();
        for (what, size, later) in steps {
            now += later;
            match what {
                0 | 1 => {
                    known.push(bodies.begin(at(now), size));
                    empty.extend(known.last().filter(|_| size == 0));
                }
                2 if !known.is_empty() => bodies.remove(at(now), known.swap_remove(size % known.len())),
                3 if !known.is_empty() => bodies.on_complete(known[size % known.len()]),
                _ => {
                    if let Some(gone) = bodies.evict_slowest(at(now)) {
                        prop_assert_eq!(bodies.state(gone), BodyState::Evicted);
                    }
                }
            }
            // One without a byte takes no room: whoever comes beside it is alone still.
            let inside = known.iter().filter(|id| bodies.state(**id) == BodyState::Admitted && !empty.contains(id)).count();
            prop_assert!(bodies.held() <= MEASURES.max_buffered_bytes || inside == 1);
        }
        known.into_iter().for_each(|id| bodies.remove(at(now), id));
        prop_assert_eq!((bodies.held(), bodies.waiting()), (0, 0));
    }
}
