//! Which routes of a table a request's class, tenant, zone, deduplication group, method, path and most frequent header
//! leave, without a walk over the routes: for each value that some route names there is a set of routes, and the sets
//! of a request are intersected.
//!
//! Bounds: a set takes a bit a route, and there is one for each value that the routes name and one more for each kind
//! of condition. Nothing is kept for pairs of values: 1,000 routes that name 64 classes and 10,000 tenants hold some
//! 1.3 MB of sets, however they combine them. A look-up allocates nothing.

use crate::route_bits::{empty, insert, RouteBits};
use crate::route_match::{RequestAttributes, RouteMatch};
use shaletide_types::*;
use std::borrow::Borrow;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hash;

/// Kinds of condition, without the headers that are checked route by route.
pub const CONDITION_KINDS: usize = 7;

/// The routes that one kind of condition leaves, by the request's value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ValueIndex<K: Hash + Eq> {
    /// For a value that no route names: the routes without such a condition.
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

    /// For a request with that value, or without one.
    fn routes_for<Q: Hash + Eq + ?Sized>(&self, value: Option<&Q>) -> &[u64]
    where
        K: Borrow<Q>,
    {
        value.and_then(|value| self.by_value.get(value)).unwrap_or(&self.unconditional)
    }

    /// For each of these values; where there are none, for any value.
    fn routes_for_each<'a>(&'a self, values: &[K]) -> Vec<&'a [u64]> {
        if values.is_empty() {
            return vec![&self.unconditional];
        }
        values.iter().map(|value| self.routes_for(Some(value))).collect()
    }
}

/// The routes that a path leaves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct PathIndex {
    /// Those that take any path.
    unconditional: RouteBits,
    /// By prefix, those that take every path under it.
    by_prefix: HashMap<String, RouteBits>,
    /// In bytes.
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
        // A prefix comes before all that lie under it, which start from the set of the nearest.
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

    /// The set of the longest prefix that the path is or lies under. It holds those of all shorter ones.
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

/// The routes that the header leaves which most routes ask for; other headers are checked route by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct HeaderIndex {
    name: String,
    /// Without the header: the routes that do not ask for it.
    absent: RouteBits,
    /// For a value that no route names: those that do not ask for it or take any value.
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
            // Two values for one header: no request has both.
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

/// The first by name where there are several, so that the same routes give the same index.
fn most_frequent_header<'a>(routes: &[&'a RouteMatch]) -> Option<&'a str> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for header in routes.iter().flat_map(|conditions| &conditions.headers) {
        *counts.entry(&header.name).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(name, count)| (*count, Reverse(*name)))?;
    Some(most.0)
}

/// The sets of all kinds of condition.
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

    /// The sets that a request leaves: a route that is in all of them takes it, but for the headers that
    /// [`Self::decides_header`] denies.
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

    /// Whether the sets include the conditions on that header.
    pub fn decides_header(&self, name: &str) -> bool {
        self.header.as_ref().is_some_and(|header| header.name == name)
    }

    /// Of each kind of condition but the headers, the sets of all values that `conditions` take. A route that is in all
    /// of them covers these conditions, but for the headers.
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
