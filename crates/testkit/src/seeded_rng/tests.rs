//! Tests of `seeded_rng` that need its private items.

use super::*;

#[test]
fn each_law_keeps_its_mean() {
    for law in [
        Distribution::Fixed(8.0),
        Distribution::Even(2.0, 14.0),
        Distribution::Exponential(8.0),
        Distribution::LogNormal(8.0, 1.0),
    ] {
        let mut rng = SeededRng::new(3);
        let mean = (0..100_000).map(|_| law.sample(&mut rng)).sum::<f64>() / 1e5;
        assert!((mean - 8.0).abs() < 0.15 && law.mean() == 8.0, "{law:?}: {mean}");
    }
}

#[test]
fn a_name_draws_the_same_everywhere_and_names_differ() {
    let word = |seed, name| SeededRng::named(seed, name).next_u64();
    assert_eq!(word(1, "00aa"), word(1, "00aa"));
    assert_ne!(word(1, "00aa"), word(1, "00ab"));
    assert_ne!(word(1, "00aa"), word(2, "00aa"));
}
