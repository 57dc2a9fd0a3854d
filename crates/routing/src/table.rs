//! The routes in their order: the first that matches a request names its pools.

use crate::index::Index;
use crate::route_bits::routes_in_word;
use crate::route_match::{Mismatch, RequestAttributes, RouteMatch};
use crate::shadowed::EarlierRoutes;
use crate::ResponseRules;
use shaletide_types::*;

/// Place of a route in its table, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub usize);

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and `explain`.
    pub name: String,
    /// Which requests it takes.
    pub conditions: RouteMatch,
    /// Where they go, in order of preference; at least one.
    pub pools: Vec<PoolId>,
    /// How the responses of its backends are classified.
    pub response_rules: ResponseRules,
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
        let index = Index::new(&conditions(&routes));
        RouteTable { routes, index }
    }

    /// The route at that place.
    pub fn get(&self, id: RouteId) -> Option<&Route> {
        self.routes.get(id.0)
    }

    /// All of them, in order.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The first route that takes the request. Costs a look-up for each kind of condition and a step for each 64
    /// routes; only headers other than the one that most routes ask for are checked route by route, and only of
    /// routes whose other conditions hold. Allocates nothing.
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

    /// Whether the conditions on headers that the index does not decide hold.
    fn other_headers_match(&self, route: usize, request: &RequestAttributes<'_>) -> bool {
        let headers = &self.routes[route].conditions.headers;
        headers.iter().all(|header| self.index.decides_header(&header.name) || header.matches(request))
    }

    /// Why each route before the one that takes the request does not, in order, and that one. Walks over them all.
    pub fn explain(&self, request: &RequestAttributes<'_>) -> (Vec<(RouteId, Mismatch)>, Option<RouteId>) {
        let mut mismatches = Vec::new();
        for (place, route) in self.routes.iter().enumerate() {
            match route.conditions.mismatch(request) {
                Some(mismatch) => mismatches.push((RouteId(place), mismatch)),
                None => return (mismatches, Some(RouteId(place))),
            }
        }
        (mismatches, None)
    }

    /// Routes that no request can reach, each with the first earlier one that takes all of its requests.
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

    /// Routes that several earlier ones take all requests of and no single one does, with those. Found where they
    /// share out one kind of condition: a route for two classes behind one for each. Routes covered by a mixture, or
    /// because all classes that there are have been taken one by one, are not found: the table knows neither all
    /// classes nor all tenants.
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
