//! Which routes of a table a request's class, tenant, zone, bay, path, method and best-known header leave,
//! without walking the routes: for each value that some route names a row with a bit for each route, all rows
//! of a request taken together.
//!
//! Bounds: a row takes a bit a route, and there is one for each value that the routes name and one more for
//! each sort of condition. Nothing is kept for pairs of values: 1,000 routes that name 64 classes and 10,000
//! tenants hold some 1.3 MB of rows, however they combine them. A look-up allocates nothing.

use crate::table::{Match, RequestAttributes};
use shaletide_types::*;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// How many sorts of condition there are but for the headers that are looked at one by one.
pub const SORTS: usize = 7;

/// A bit for each route, the first route's lowest in the first word.
pub type Row = Box<[u64]>;

fn empty(routes: usize) -> Row {
    vec![0; routes.div_ceil(64)].into()
}

fn set(row: &mut Row, route: usize) {
    row[route / 64] |= 1 << (route % 64);
}

/// The places of the bits of one word of a row, in order.
pub fn bits(word: usize, mut left: u64) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let low = (left != 0).then(|| left.trailing_zeros() as usize)?;
        left &= left - 1;
        Some(word * 64 + low)
    })
}

/// The routes that one sort of condition leaves, by the request's value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Condition<K: Hash + Eq> {
    /// For a value that no route names: those without such a condition.
    others: Row,
    named: HashMap<K, Row>,
}

impl<K: Hash + Eq + Clone> Condition<K> {
    fn new<'a>(routes: &'a [&Match], named: impl Fn(&'a Match) -> &'a [K]) -> Condition<K>
    where
        K: 'a,
    {
        let mut others = empty(routes.len());
        let free = routes.iter().enumerate().filter(|(_, when)| named(when).is_empty());
        free.for_each(|(at, _)| set(&mut others, at));
        let mut by_value = HashMap::new();
        for (at, when) in routes.iter().enumerate() {
            for value in named(when) {
                set(by_value.entry(value.clone()).or_insert_with(|| others.clone()), at);
            }
        }
        Condition { others, named: by_value }
    }

    /// For a request with that value, or without one.
    fn row<Q: Hash + Eq + ?Sized>(&self, value: Option<&Q>) -> &[u64]
    where
        K: Borrow<Q>,
    {
        value.and_then(|value| self.named.get(value)).unwrap_or(&self.others)
    }

    /// Of each of these values; of any at all where there are none.
    fn rows<'a>(&'a self, values: &[K]) -> Vec<&'a [u64]> {
        match values.is_empty() {
            true => vec![&self.others],
            false => values.iter().map(|value| self.row(Some(value))).collect(),
        }
    }
}

/// The routes left by a path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Paths {
    /// Those that take any path.
    others: Row,
    /// By prefix: those that take all paths under it.
    under: HashMap<String, Row>,
    /// The longest prefix's length in bytes.
    longest: usize,
}

impl Paths {
    fn new(routes: &[&Match]) -> Paths {
        let prefixes: Vec<&str> = routes.iter().map(|when| when.prefix()).collect();
        let mut others = empty(routes.len());
        let free = prefixes.iter().enumerate().filter(|(_, prefix)| prefix.is_empty());
        free.for_each(|(at, _)| set(&mut others, at));
        let longest = prefixes.iter().map(|prefix| prefix.len()).max().unwrap_or(0);
        let mut paths = Paths { others, under: HashMap::new(), longest };
        let mut named: Vec<&str> = prefixes.iter().copied().filter(|prefix| !prefix.is_empty()).collect();
        // A prefix stands before all that lie under it, which take over the row of the nearest.
        named.sort_unstable();
        named.dedup();
        for prefix in named {
            let mut row: Row = paths.row(prefix).into();
            let same = prefixes.iter().enumerate().filter(|(_, other)| **other == prefix);
            same.for_each(|(at, _)| set(&mut row, at));
            paths.under.insert(prefix.to_string(), row);
        }
        paths
    }

    /// The row of the longest prefix that the path is or lies under. It holds those of all shorter ones.
    fn row(&self, path: &str) -> &[u64] {
        if self.under.is_empty() {
            return &self.others;
        }
        let ends =
            path.bytes().enumerate().take(self.longest + 1).filter(|(_, b)| *b == b'/').map(|(at, _)| at);
        let whole = (path.len() <= self.longest).then_some(path.len());
        let found = ends.chain(whole).rev().find_map(|end| self.under.get(&path[..end]));
        found.unwrap_or(&self.others)
    }
}

/// The header that most routes ask for; the others are looked at one by one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Header {
    name: String,
    /// Those that do not ask for it.
    absent: Row,
    /// For a value that no route names: those that do not ask for it or take any value.
    others: Row,
    named: HashMap<String, Row>,
}

impl Header {
    fn new(routes: &[&Match]) -> Option<Header> {
        let mut asked: HashMap<&str, usize> = HashMap::new();
        routes.iter().flat_map(|when| &when.headers).for_each(|h| *asked.entry(&h.name).or_default() += 1);
        // By name where as many ask for two: the index is the same for the same routes.
        let name = asked.into_iter().max_by_key(|(name, count)| (*count, std::cmp::Reverse(*name)))?.0;
        let wants = |at: usize| routes[at].headers.iter().filter(move |h| h.name == name);
        let (mut absent, mut others) = (empty(routes.len()), empty(routes.len()));
        for at in 0..routes.len() {
            if wants(at).next().is_none() {
                set(&mut absent, at);
            }
            if wants(at).all(|h| h.value.is_none()) {
                set(&mut others, at);
            }
        }
        let mut named: HashMap<String, Row> = HashMap::new();
        for at in 0..routes.len() {
            let mut values = wants(at).filter_map(|h| h.value.as_ref());
            let Some(value) = values.next() else { continue };
            // Two values for one header: no request has both.
            if values.all(|other| other == value) {
                set(named.entry(value.clone()).or_insert_with(|| others.clone()), at);
            }
        }
        Some(Header { name: name.to_string(), absent, others, named })
    }

    fn row(&self, value: Option<&str>) -> &[u64] {
        value.map_or(&self.absent, |value| self.named.get(value).unwrap_or(&self.others))
    }
}

/// The rows of all sorts of condition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Index {
    classes: Condition<ClassId>,
    tenants: Condition<TenantId>,
    zones: Condition<String>,
    bays: Condition<String>,
    methods: Condition<String>,
    paths: Paths,
    header: Option<Header>,
}

impl Index {
    pub fn new(routes: &[&Match]) -> Index {
        Index {
            classes: Condition::new(routes, |when| &when.classes),
            tenants: Condition::new(routes, |when| &when.tenants),
            zones: Condition::new(routes, |when| &when.zones),
            bays: Condition::new(routes, |when| &when.deduplication_groups),
            methods: Condition::new(routes, |when| &when.methods),
            paths: Paths::new(routes),
            header: Header::new(routes),
        }
    }

    /// The rows that a request leaves: a route whose bit stands in all of them takes it, but for the headers
    /// that are not `settled`.
    pub fn rows<'a>(&'a self, asked: &RequestAttributes<'_>) -> [&'a [u64]; SORTS] {
        let classes = self.classes.row(Some(&asked.class));
        let header = self.header.as_ref().map_or(classes, |h| h.row((asked.header)(&h.name)));
        [
            classes,
            self.tenants.row(asked.tenant.as_ref()),
            self.zones.row(Some(asked.zone)),
            self.bays.row(asked.deduplication_group),
            self.methods.row(Some(asked.method)),
            self.paths.row(asked.path),
            header,
        ]
    }

    /// Whether the rows have settled the conditions on that header.
    pub fn settled(&self, name: &str) -> bool {
        self.header.as_ref().is_some_and(|h| h.name == name)
    }

    /// Of each sort of condition but the headers the rows of all values that `when` takes. A route whose bit
    /// stands in all of them covers it, but for the headers.
    pub fn covering(&self, when: &Match) -> [Vec<&[u64]>; SORTS - 1] {
        [
            self.classes.rows(&when.classes),
            self.tenants.rows(&when.tenants),
            self.zones.rows(&when.zones),
            self.bays.rows(&when.deduplication_groups),
            self.methods.rows(&when.methods),
            vec![self.paths.row(when.prefix())],
        ]
    }
}
