//! The ordered table of routes: the first route that matches a request determines its pools.

use crate::index::Index;
use crate::route_bits::routes_in_word;
use crate::route_match::{Mismatch, RequestAttributes, RouteMatch};
use crate::shadowed::EarlierRoutes;
use crate::ResponseRules;
use shaletide_types::*;

/// The position of a route in its table, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub usize);

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs and `explain`.
    pub name: String,
    /// The conditions on the requests that the route takes.
    pub conditions: RouteMatch,
    /// The pools of the route, in order of preference; at least one.
    pub pools: Vec<PoolId>,
    /// The classification of the backends' responses.
    pub response_rules: ResponseRules,
}

/// All routes, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: Vec<Route>,
    index: Index,
}

impl RouteTable {
    /// Creates a table of ordered routes and its index, in one walk over all values that the routes name. The index's
    /// memory is described in its module.
    pub fn new(routes: Vec<Route>) -> RouteTable {
        let index = Index::new(&conditions(&routes));
        RouteTable { routes, index }
    }

    /// The route with this id.
    pub fn get(&self, id: RouteId) -> Option<&Route> {
        self.routes.get(id.0)
    }

    /// All routes, in order.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The first route that takes the request. The cost is a look-up for each kind of condition and a step for every 64
    /// routes. Only headers other than the one that most routes require are checked route by route, and only for routes
    /// whose other conditions hold. Allocates nothing.
    pub fn find(&self, request: &RequestAttributes<'_>) -> Option<RouteId> {
        let sets = self.index.routes_for(request);
        for word in 0..sets[0].len() {
            let candidates = sets.iter().fold(u64::MAX, |left, set| left & set[word]);
            for route in routes_in_word(word, candidates) {
                if self.other_headers_match(route, request) {
                    return Some(RouteId(route));
                }
            }
        }
        None
    }

    /// Whether a route's conditions hold for the headers that the index does not cover.
    fn other_headers_match(&self, route: usize, request: &RequestAttributes<'_>) -> bool {
        let headers = &self.routes[route].conditions.headers;
        headers.iter().all(|header| self.index.decides_header(&header.name) || header.matches(request))
    }

    /// The route that takes the request, after the mismatch of each earlier route, in order. Checks the routes one by one.
    pub fn explain(&self, request: &RequestAttributes<'_>) -> (Vec<(RouteId, Mismatch)>, Option<RouteId>) {
        let mut mismatches = Vec::new();
        for (position, route) in self.routes.iter().enumerate() {
            match route.conditions.mismatch(request) {
                Some(mismatch) => mismatches.push((RouteId(position), mismatch)),
                None => return (mismatches, Some(RouteId(position))),
            }
        }
        (mismatches, None)
    }

    /// The routes that no request can reach, each with the first earlier route that takes all of its requests.
    pub fn shadowed(&self) -> Vec<(RouteId, RouteId)> {
        let conditions = conditions(&self.routes);
        let mut shadowed = Vec::new();
        for route in 0..conditions.len() {
            let earlier = EarlierRoutes::new(&self.index, &conditions, route);
            if let Some(by) = earlier.covering_alone() {
                shadowed.push((RouteId(route), RouteId(by)));
            }
        }
        shadowed
    }

    /// The routes whose requests are all taken by several earlier routes together, but not by a single one, with those
    /// routes. Finds them if the earlier routes divide the values of one kind of condition between them, such as a route
    /// for two classes after one route for each class. Does not find routes that are covered through several kinds of
    /// condition, or because every existing class has an earlier route: the table knows neither all classes nor all
    /// tenants.
    pub fn shadowed_by_several(&self) -> Vec<(RouteId, Vec<RouteId>)> {
        let conditions = conditions(&self.routes);
        let mut shadowed = Vec::new();
        for route in 0..conditions.len() {
            let earlier = EarlierRoutes::new(&self.index, &conditions, route);
            if earlier.covering_alone().is_some() {
                continue;
            }
            if let Some(several) = earlier.covering_together() {
                shadowed.push((RouteId(route), several.into_iter().map(RouteId).collect()));
            }
        }
        shadowed
    }
}

fn conditions(routes: &[Route]) -> Vec<&RouteMatch> {
    routes.iter().map(|route| &route.conditions).collect()
}
