//! Finds the routes whose conditions on class, tenant, zone, deduplication group, method, path and the most frequent
//! header a request meets, without a walk over the routes. For each value that a route names there is a set of routes,
//! and the sets for a request's values are intersected.
//!
//! Bounds: a set has one bit for each route. There is one set for each value that the routes name, and one more for each
//! kind of condition. There are no sets for pairs of values: 1,000 routes that name 64 classes and 10,000 tenants need
//! about 1.3 MB of sets, however they combine them. A look-up allocates nothing.

use crate::route_bits::{empty, insert, RouteBits};
use crate::route_match::{RequestAttributes, RouteMatch};
use shaletide_types::*;
use std::borrow::Borrow;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hash;

/// The number of kinds of condition, without the headers that are checked route by route.
pub const CONDITION_KINDS: usize = 7;

/// The routes that meet one kind of condition, by the request's value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ValueIndex<K: Hash + Eq> {
    /// The routes without such a condition; these match a value that no route names.
    unconditional: RouteBits,
    by_value: HashMap<K, RouteBits>,
}

impl<K: Hash + Eq + Clone> ValueIndex<K> {
    fn new<'a>(routes: &'a [&RouteMatch], values_of: impl Fn(&'a RouteMatch) -> &'a [K]) -> ValueIndex<K>
    where
        K: 'a,
    {
        let mut unconditional = empty(routes.len());
        for (route, conditions) in routes.iter().enumerate() {
            if values_of(conditions).is_empty() {
                insert(&mut unconditional, route);
            }
        }
        let mut by_value = HashMap::new();
        for (route, conditions) in routes.iter().enumerate() {
            for value in values_of(conditions) {
                insert(by_value.entry(value.clone()).or_insert_with(|| unconditional.clone()), route);
            }
        }
        ValueIndex { unconditional, by_value }
    }

    /// The routes for a request with this value, or without one.
    fn routes_for<Q: Hash + Eq + ?Sized>(&self, value: Option<&Q>) -> &[u64]
    where
        K: Borrow<Q>,
    {
        value.and_then(|value| self.by_value.get(value)).unwrap_or(&self.unconditional)
    }

    /// The routes for each of these values; if there are none, the routes for any value.
    fn routes_for_each<'a>(&'a self, values: &[K]) -> Vec<&'a [u64]> {
        if values.is_empty() {
            return vec![&self.unconditional];
        }
        values.iter().map(|value| self.routes_for(Some(value))).collect()
    }
}

/// The routes that match a path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct PathIndex {
    /// The routes that take any path.
    unconditional: RouteBits,
    /// By prefix, the routes that take every path under it.
    by_prefix: HashMap<String, RouteBits>,
    /// The length of the longest prefix, in bytes.
    longest_prefix: usize,
}

impl PathIndex {
    fn new(routes: &[&RouteMatch]) -> PathIndex {
        let prefixes: Vec<&str> = routes.iter().map(|conditions| conditions.prefix()).collect();
        let mut unconditional = empty(routes.len());
        for (route, prefix) in prefixes.iter().enumerate() {
            if prefix.is_empty() {
                insert(&mut unconditional, route);
            }
        }
        let longest_prefix = prefixes.iter().map(|prefix| prefix.len()).max().unwrap_or(0);
        let mut index = PathIndex { unconditional, by_prefix: HashMap::new(), longest_prefix };
        let mut distinct: Vec<&str> = prefixes.iter().copied().filter(|prefix| !prefix.is_empty()).collect();
        // A prefix sorts before those under it, whose sets start from the set of their nearest parent.
        distinct.sort_unstable();
        distinct.dedup();
        for prefix in distinct {
            let mut under_prefix: RouteBits = index.routes_for(prefix).into();
            for (route, other) in prefixes.iter().enumerate() {
                if *other == prefix {
                    insert(&mut under_prefix, route);
                }
            }
            index.by_prefix.insert(prefix.to_string(), under_prefix);
        }
        index
    }

    /// The set of the longest prefix that the path equals or lies under. It includes the sets of all shorter ones.
    fn routes_for(&self, path: &str) -> &[u64] {
        if self.by_prefix.is_empty() {
            return &self.unconditional;
        }
        let bytes = path.bytes().enumerate().take(self.longest_prefix + 1);
        let segment_ends = bytes.filter(|(_, byte)| *byte == b'/').map(|(end, _)| end);
        let whole_path = (path.len() <= self.longest_prefix).then_some(path.len());
        let longest = segment_ends.chain(whole_path).rev().find_map(|end| self.by_prefix.get(&path[..end]));
        longest.unwrap_or(&self.unconditional)
    }
}

/// The routes that match the header that most routes require; other headers are checked route by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct HeaderIndex {
    name: String,
    /// The routes for a request without the header: those that do not require it.
    absent: RouteBits,
    /// The routes for a value that no route names: those that do not require the header or take any value.
    any_value: RouteBits,
    by_value: HashMap<String, RouteBits>,
}

impl HeaderIndex {
    fn new(routes: &[&RouteMatch]) -> Option<HeaderIndex> {
        let name = most_frequent_header(routes)?;
        let conditions =
            |route: usize| routes[route].headers.iter().filter(move |header| header.name == name);
        let mut absent = empty(routes.len());
        let mut any_value = empty(routes.len());
        for route in 0..routes.len() {
            if conditions(route).next().is_none() {
                insert(&mut absent, route);
            }
            if conditions(route).all(|header| header.value.is_none()) {
                insert(&mut any_value, route);
            }
        }
        let mut by_value: HashMap<String, RouteBits> = HashMap::new();
        for route in 0..routes.len() {
            let mut values = conditions(route).filter_map(|header| header.value.as_ref());
            let Some(value) = values.next() else { continue };
            // A route that requires two values of one header matches no request.
            if values.all(|other| other == value) {
                insert(by_value.entry(value.clone()).or_insert_with(|| any_value.clone()), route);
            }
        }
        Some(HeaderIndex { name: name.to_string(), absent, any_value, by_value })
    }

    fn routes_for(&self, value: Option<&str>) -> &[u64] {
        match value {
            Some(value) => self.by_value.get(value).unwrap_or(&self.any_value),
            None => &self.absent,
        }
    }
}

/// The header that most routes require. Of several, the first by name, so that the same routes give the same index.
fn most_frequent_header<'a>(routes: &[&'a RouteMatch]) -> Option<&'a str> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for header in routes.iter().flat_map(|conditions| &conditions.headers) {
        *counts.entry(&header.name).or_default() += 1;
    }
    let most_frequent = counts.into_iter().max_by_key(|(name, count)| (*count, Reverse(*name)))?;
    Some(most_frequent.0)
}

/// The sets of routes for all kinds of condition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Index {
    classes: ValueIndex<ClassId>,
    tenants: ValueIndex<TenantId>,
    zones: ValueIndex<String>,
    deduplication_groups: ValueIndex<String>,
    methods: ValueIndex<String>,
    paths: PathIndex,
    header: Option<HeaderIndex>,
}

impl Index {
    pub fn new(routes: &[&RouteMatch]) -> Index {
        Index {
            classes: ValueIndex::new(routes, |conditions| &conditions.classes),
            tenants: ValueIndex::new(routes, |conditions| &conditions.tenants),
            zones: ValueIndex::new(routes, |conditions| &conditions.zones),
            deduplication_groups: ValueIndex::new(routes, |conditions| &conditions.deduplication_groups),
            methods: ValueIndex::new(routes, |conditions| &conditions.methods),
            paths: PathIndex::new(routes),
            header: HeaderIndex::new(routes),
        }
    }

    /// The sets for a request. A route that is in all of them takes the request, unless a header that is not covered by
    /// [`Self::decides_header`] excludes it.
    pub fn routes_for<'a>(&'a self, request: &RequestAttributes<'_>) -> [&'a [u64]; CONDITION_KINDS] {
        let classes = self.classes.routes_for(Some(&request.class));
        let header = match &self.header {
            Some(header) => header.routes_for((request.header)(&header.name)),
            None => classes,
        };
        [
            classes,
            self.tenants.routes_for(request.tenant.as_ref()),
            self.zones.routes_for(Some(request.zone)),
            self.deduplication_groups.routes_for(request.deduplication_group),
            self.methods.routes_for(Some(request.method)),
            self.paths.routes_for(request.path),
            header,
        ]
    }

    /// Whether the sets cover the conditions on this header.
    pub fn decides_header(&self, name: &str) -> bool {
        self.header.as_ref().is_some_and(|header| header.name == name)
    }

    /// For each kind of condition except headers, the sets of all values that `conditions` accept. A route that is in all
    /// of them covers these conditions, except for the headers.
    pub fn routes_covering(&self, conditions: &RouteMatch) -> [Vec<&[u64]>; CONDITION_KINDS - 1] {
        [
            self.classes.routes_for_each(&conditions.classes),
            self.tenants.routes_for_each(&conditions.tenants),
            self.zones.routes_for_each(&conditions.zones),
            self.deduplication_groups.routes_for_each(&conditions.deduplication_groups),
            self.methods.routes_for_each(&conditions.methods),
            vec![self.paths.routes_for(conditions.prefix())],
        ]
    }
}
