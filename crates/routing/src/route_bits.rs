//! Sets of routes as bit sets. The first route is the lowest bit of the first word.

/// A set of routes.
pub type RouteBits = Box<[u64]>;

/// Returns an empty set for this number of routes.
pub fn empty(routes: usize) -> RouteBits {
    vec![0; routes.div_ceil(64)].into()
}

/// Adds a route, counted from 0.
pub fn insert(bits: &mut [u64], route: usize) {
    bits[route / 64] |= 1 << (route % 64);
}

/// Iterates in order over the routes in one word of a set. `word`: the word's position in the set, `bits`: its value.
pub fn routes_in_word(word: usize, mut bits: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        if bits == 0 {
            return None;
        }
        let lowest = bits.trailing_zeros() as usize;
        bits &= bits - 1;
        Some(word * 64 + lowest)
    })
}
