//! Tests of `seeded_rng` that need its private items.

use super::*;

#[test]
fn each_distribution_has_its_mean() {
    for distribution in [
        Distribution::Fixed(8.0),
        Distribution::Even(2.0, 14.0),
        Distribution::Exponential(8.0),
        Distribution::LogNormal(8.0, 1.0),
    ] {
        let mut rng = SeededRng::new(3);
        let mean = (0..100_000).map(|_| distribution.sample(&mut rng)).sum::<f64>() / 1e5;
        assert!((mean - 8.0).abs() < 0.15 && distribution.mean() == 8.0, "{distribution:?}: {mean}");
    }
}

#[test]
fn generator_of_a_name_is_deterministic_and_differs_between_names_and_seeds() {
    let draw = |seed, name| SeededRng::named(seed, name).next_u64();
    assert_eq!(draw(1, "00aa"), draw(1, "00aa"));
    assert_ne!(draw(1, "00aa"), draw(1, "00ab"));
    assert_ne!(draw(1, "00aa"), draw(2, "00aa"));
}
