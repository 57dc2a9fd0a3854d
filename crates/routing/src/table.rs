//! The routes in their order: the first that matches a request names its pools.

use crate::index::{bits, Index, SORTS};
use crate::ResponseRules;
use shaletide_types::*;
use std::collections::BTreeSet;

/// Index of a route in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub usize);

/// A header that a request must carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderMatch {
    /// Its name, in lower case.
    pub name: String,
    /// Its value; none: any.
    pub value: Option<String>,
}

/// Which requests a route takes. Every condition must hold; an empty list, or none, is no condition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Match {
    /// One of these classes.
    pub classes: Vec<ClassId>,
    /// One of these tenants; a request without one is none of them.
    pub tenants: Vec<TenantId>,
    /// From one of these zones.
    pub zones: Vec<String>,
    /// About one of these bays.
    pub deduplication_groups: Vec<String>,
    /// The path is this or lies under it, by whole parts: `/read` takes `/read` and `/read/k` and not
    /// `/reader`. A slash at the end says nothing: `/read/` is `/read`, and `/` takes every path, `*` too.
    pub path_prefix: Option<String>,
    /// One of these methods, in capitals.
    pub methods: Vec<String>,
    /// All of these headers.
    pub headers: Vec<HeaderMatch>,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and `explain`.
    pub name: String,
    /// What it takes.
    pub when: Match,
    /// Where to, in order of preference; at least one.
    pub pools: Vec<PoolId>,
    /// How its backends' answers are read.
    pub answers: ResponseRules,
}

/// What is asked of the table about a request.
pub struct RequestAttributes<'a> {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it has a known one.
    pub tenant: Option<TenantId>,
    /// Its zone.
    pub zone: &'a str,
    /// Its bay.
    pub deduplication_group: Option<&'a str>,
    /// Its path, without the query.
    pub path: &'a str,
    /// Its method.
    pub method: &'a str,
    /// The value of a header by its lower-case name.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

/// Why a route does not take a request: the condition that fails first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// It takes other classes.
    Class,
    /// It takes other tenants.
    Tenant,
    /// It takes requests from other zones.
    Zone,
    /// It takes requests about other bays.
    DeduplicationGroup,
    /// The path lies elsewhere.
    Path,
    /// It takes other methods.
    Method,
    /// A header is missing or has another value; the index into [`Match::headers`].
    Header(usize),
}

impl Match {
    /// Why it does not take the request; `None`: it does.
    pub fn mismatch(&self, asked: &RequestAttributes<'_>) -> Option<Mismatch> {
        let named = |list: &[String], name: Option<&str>| {
            list.is_empty() || name.is_some_and(|name| list.iter().any(|n| n == name))
        };
        let tenant = || asked.tenant.is_some_and(|t| self.tenants.contains(&t));
        match () {
            () if !self.classes.is_empty() && !self.classes.contains(&asked.class) => Some(Mismatch::Class),
            () if !self.tenants.is_empty() && !tenant() => Some(Mismatch::Tenant),
            () if !named(&self.zones, Some(asked.zone)) => Some(Mismatch::Zone),
            () if !named(&self.deduplication_groups, asked.deduplication_group) => {
                Some(Mismatch::DeduplicationGroup)
            }
            () if !under(self.prefix(), asked.path) => Some(Mismatch::Path),
            () if !named(&self.methods, Some(asked.method)) => Some(Mismatch::Method),
            () => self.headers.iter().position(|h| !h.takes(asked)).map(Mismatch::Header),
        }
    }

    /// Whether it takes every request that `other` takes.
    pub fn covers(&self, other: &Match) -> bool {
        fn all<T: PartialEq>(mine: &[T], theirs: &[T]) -> bool {
            mine.is_empty() || !theirs.is_empty() && theirs.iter().all(|t| mine.contains(t))
        }
        all(&self.classes, &other.classes)
            && all(&self.tenants, &other.tenants)
            && all(&self.zones, &other.zones)
            && all(&self.deduplication_groups, &other.deduplication_groups)
            && all(&self.methods, &other.methods)
            && under(self.prefix(), other.prefix())
            && self.headers_cover(other)
    }

    /// Whether a request with all headers that `other` asks for has all that it asks for.
    fn headers_cover(&self, other: &Match) -> bool {
        let same = |mine: &HeaderMatch, theirs: &HeaderMatch| {
            mine.name == theirs.name && (mine.value.is_none() || mine.value == theirs.value)
        };
        self.headers.iter().all(|mine| other.headers.iter().any(|theirs| same(mine, theirs)))
    }

    /// The path's prefix without a slash at its end; empty where it takes every path.
    pub(crate) fn prefix(&self) -> &str {
        plain(self.path_prefix.as_deref().unwrap_or(""))
    }
}

impl HeaderMatch {
    fn takes(&self, asked: &RequestAttributes<'_>) -> bool {
        let got = (asked.header)(&self.name);
        got.is_some_and(|got| self.value.as_ref().is_none_or(|want| want == got))
    }
}

/// A prefix without a slash at its end.
fn plain(prefix: &str) -> &str {
    prefix.strip_suffix('/').unwrap_or(prefix)
}

/// Whether `path` is `prefix`, a plain one, or lies under it, by whole parts.
fn under(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    prefix.is_empty() || rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// All routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: Vec<Route>,
    index: Index,
}

impl RouteTable {
    /// The routes in their order. What the index for them takes stands in its module; it is built in one walk
    /// over all values that they name.
    pub fn new(routes: Vec<Route>) -> RouteTable {
        let index = Index::new(&routes.iter().map(|r| &r.when).collect::<Vec<_>>());
        RouteTable { routes, index }
    }

    /// The route of that index.
    pub fn get(&self, id: RouteId) -> Option<&Route> {
        self.routes.get(id.0)
    }

    /// All of them, in order.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The first that takes the request. A look-up for each sort of condition and a step for each 64 routes;
    /// only headers other than the one that most routes ask for are looked at route by route, and only of
    /// routes whose other conditions hold. Allocates nothing.
    pub fn find(&self, asked: &RequestAttributes<'_>) -> Option<RouteId> {
        let rows = self.index.rows(asked);
        let together = |word: usize| rows.iter().fold(u64::MAX, |left, row| left & row[word]);
        let mut candidates = (0..rows[0].len()).flat_map(|word| bits(word, together(word)));
        let loose = |at: &usize| {
            let headers = &self.routes[*at].when.headers;
            headers.iter().all(|h| self.index.settled(&h.name) || h.takes(asked))
        };
        candidates.find(loose).map(RouteId)
    }

    /// Why each route before the one that takes the request does not, in order. Walks them all.
    pub fn explain(&self, asked: &RequestAttributes<'_>) -> (Vec<(RouteId, Mismatch)>, Option<RouteId>) {
        let mut passed = Vec::new();
        for (at, route) in self.routes.iter().enumerate() {
            match route.when.mismatch(asked) {
                Some(reason) => passed.push((RouteId(at), reason)),
                None => return (passed, Some(RouteId(at))),
            }
        }
        (passed, None)
    }

    /// Routes that no request can reach, each with the first earlier one that takes all of its requests.
    pub fn shadowed(&self) -> Vec<(RouteId, RouteId)> {
        let each = (0..self.routes.len()).map(|at| Shadow::new(self, at));
        each.filter_map(|shadow| Some((RouteId(shadow.route), RouteId(shadow.by_one()?)))).collect()
    }

    /// Routes that no single one hides but several earlier ones together, with those. Found where they share
    /// out one sort of condition: a route for two classes behind one for each. Routes hidden by a mixture, or
    /// because all classes that there are have been taken one by one, are not found: the table knows neither
    /// all classes nor all tenants.
    pub fn shadowed_by_several(&self) -> Vec<(RouteId, Vec<RouteId>)> {
        let each = (0..self.routes.len()).map(|at| Shadow::new(self, at));
        let alone = each.filter(|shadow| shadow.by_one().is_none());
        let named = |by: BTreeSet<usize>| by.into_iter().map(RouteId).collect();
        alone.filter_map(|shadow| Some((RouteId(shadow.route), named(shadow.by_several()?)))).collect()
    }
}

/// What lies before one route.
struct Shadow<'a> {
    route: usize,
    rows: [Vec<&'a [u64]>; SORTS - 1],
    /// Of each sort of condition the routes that leave nothing for this one.
    whole: [Vec<u64>; SORTS - 1],
    /// Those before it with no header that it does not ask for.
    before: Vec<u64>,
}

impl<'a> Shadow<'a> {
    fn new(table: &'a RouteTable, route: usize) -> Shadow<'a> {
        let when = &table.routes[route].when;
        let rows = table.index.covering(when);
        let mut before = vec![0; route / 64 + 1];
        let earlier = table.routes[..route].iter().enumerate();
        earlier
            .filter(|(_, e)| e.when.headers_cover(when))
            .for_each(|(at, _)| before[at / 64] |= 1 << (at % 64));
        let whole = rows.each_ref().map(|rows| {
            (0..before.len()).map(|w| rows.iter().fold(u64::MAX, |left, row| left & row[w])).collect()
        });
        Shadow { route, rows, whole, before }
    }

    /// The first that stands in `row` and covers this route in every sort of condition but `spared`.
    fn first(&self, spared: Option<usize>, row: Option<&[u64]>) -> Option<usize> {
        let others = || self.whole.iter().enumerate().filter(|(sort, _)| Some(*sort) != spared);
        let left = |w: usize| {
            let before = self.before[w] & row.map_or(u64::MAX, |row| row[w]);
            others().fold(before, |left, (_, whole)| left & whole[w])
        };
        (0..self.before.len()).flat_map(|w| bits(w, left(w))).next()
    }

    fn by_one(&self) -> Option<usize> {
        self.first(None, None)
    }

    fn by_several(&self) -> Option<BTreeSet<usize>> {
        let by = |(sort, rows): (usize, &Vec<&[u64]>)| {
            rows.iter().map(|row| self.first(Some(sort), Some(row))).collect::<Option<BTreeSet<_>>>()
        };
        self.rows.iter().enumerate().find_map(by)
    }
}
