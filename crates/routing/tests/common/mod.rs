//! Requests and routes for tests.
#![allow(dead_code)]

use shaletide_routing::*;
use shaletide_types::*;

/// A request that owns its attributes.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: usize,
    pub tenant: Option<usize>,
    pub zone: String,
    pub group: Option<String>,
    pub path: String,
    pub method: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    /// Calls `with` with the request's attributes.
    pub fn with_attributes<T>(&self, with: impl FnOnce(&RequestAttributes<'_>) -> T) -> T {
        let header = |name: &str| self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
        with(&RequestAttributes {
            class: ClassId(self.class),
            tenant: self.tenant.map(TenantId),
            zone: &self.zone,
            deduplication_group: self.group.as_deref(),
            path: &self.path,
            method: &self.method,
            header: &header,
        })
    }
}

pub fn route(route_match: RouteMatch) -> Route {
    Route {
        name: String::new(),
        conditions: route_match,
        pools: vec![PoolId(0)],
        response_rules: ResponseRules::operator_default(),
    }
}

pub fn table(routes: impl IntoIterator<Item = RouteMatch>) -> RouteTable {
    RouteTable::new(routes.into_iter().map(route).collect())
}

pub fn header(name: &str, value: Option<&str>) -> HeaderMatch {
    HeaderMatch { name: name.into(), value: value.map(Into::into) }
}
