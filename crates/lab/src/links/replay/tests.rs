//! Tests of `replay` that need its private items.

use super::*;

#[test]
fn the_store_reaches_back_a_minute_within_its_bytes() {
    let (mut replays, mut rng) = (Replays::default(), SeededRng::new(1));
    for second in 0..100u8 {
        replays.keep(Time(u64::from(second) * 1_000_000), &[second; 100]);
    }
    let now = Time(99_000_000);
    let drawn: Vec<u8> = (0..2000).map(|_| replays.draw(now, &mut rng).unwrap()[0]).collect();
    assert_eq!((drawn.iter().min(), drawn.iter().max()), (Some(&39), Some(&99)));
    for second in 100..200 {
        replays.keep(Time(second * 1_000_000), &[0; 1000]);
        assert!(replays.bytes <= MAX_REPLAY_BYTES);
    }
    assert_eq!(replays.kept.len(), 32);
    assert_eq!(replays.draw(Time(300_000_000), &mut rng), None);
}
