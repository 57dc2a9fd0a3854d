//! Finds the earlier routes that take every request of a route, so that no request reaches it.

use crate::index::{Index, CONDITION_KINDS};
use crate::route_bits::{insert, routes_in_word};
use crate::route_match::RouteMatch;
use std::collections::BTreeSet;

/// The routes before one route, by the parts of its conditions that they cover.
pub struct EarlierRoutes<'a> {
    /// For each kind of condition and each of this route's values, the routes that take the value.
    by_value: [Vec<&'a [u64]>; CONDITION_KINDS - 1],
    /// For each kind of condition, the routes that take all of this route's values.
    covering: [Vec<u64>; CONDITION_KINDS - 1],
    /// The earlier routes that have no header condition which this route lacks.
    earlier: Vec<u64>,
}

impl<'a> EarlierRoutes<'a> {
    /// For the route at position `route` in `all`, from which `index` was built.
    pub fn new(index: &'a Index, all: &[&RouteMatch], route: usize) -> EarlierRoutes<'a> {
        let conditions = all[route];
        let by_value = index.routes_covering(conditions);
        let mut earlier = vec![0; route / 64 + 1];
        for (other, earlier_conditions) in all[..route].iter().enumerate() {
            if earlier_conditions.headers_cover(conditions) {
                insert(&mut earlier, other);
            }
        }
        let covering = by_value.each_ref().map(|sets| {
            let intersect = |word: usize| sets.iter().fold(u64::MAX, |left, set| left & set[word]);
            (0..earlier.len()).map(intersect).collect()
        });
        EarlierRoutes { by_value, covering, earlier }
    }

    /// The first earlier route that covers this one by itself.
    pub fn covering_alone(&self) -> Option<usize> {
        self.first_covering(|_| true, None)
    }

    /// Earlier routes that together cover this one, each with some of its values of one kind of condition.
    pub fn covering_together(&self) -> Option<BTreeSet<usize>> {
        self.by_value.iter().enumerate().find_map(|(kind, sets)| {
            let first_of_each = sets.iter().map(|set| self.first_covering(|other| other != kind, Some(set)));
            first_of_each.collect()
        })
    }

    /// The first earlier route in `among` (`None`: any) that covers this one in every kind of condition for which
    /// `is_checked` holds.
    fn first_covering(&self, is_checked: impl Fn(usize) -> bool, among: Option<&[u64]>) -> Option<usize> {
        for word in 0..self.earlier.len() {
            let mut bits = self.earlier[word] & among.map_or(u64::MAX, |set| set[word]);
            for (kind, covering) in self.covering.iter().enumerate() {
                if is_checked(kind) {
                    bits &= covering[word];
                }
            }
            if let Some(route) = routes_in_word(word, bits).next() {
                return Some(route);
            }
        }
        None
    }
}
