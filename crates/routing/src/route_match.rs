//! The conditions of a route, and whether a request meets them. [`crate::RouteTable`] searches all routes.

use shaletide_types::*;

/// A header that a request must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderMatch {
    /// The header's name, in lower case.
    pub name: String,
    /// The header's value; `None`: any.
    pub value: Option<String>,
}

/// The conditions on the requests that a route takes. Every condition must hold; an empty list or `None` is no condition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatch {
    /// The request has one of these classes.
    pub classes: Vec<ClassId>,
    /// The request has one of these tenants. A request without a tenant never meets this condition.
    pub tenants: Vec<TenantId>,
    /// The request comes from one of these zones.
    pub zones: Vec<String>,
    /// The request names one of these deduplication groups.
    pub deduplication_groups: Vec<String>,
    /// The path equals this prefix or lies under it by whole segments: `/read` takes `/read` and `/read/k` but not
    /// `/reader`. A trailing slash is ignored: `/read/` is the same as `/read`, and `/` takes every path, including `*`.
    pub path_prefix: Option<String>,
    /// The request has one of these methods, in upper case.
    pub methods: Vec<String>,
    /// The request has all of these headers.
    pub headers: Vec<HeaderMatch>,
}

/// The attributes of a request that the conditions are checked against.
pub struct RequestAttributes<'a> {
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant, if it has a known one.
    pub tenant: Option<TenantId>,
    /// The zone that the request comes from.
    pub zone: &'a str,
    /// The request's deduplication group, if it names one.
    pub deduplication_group: Option<&'a str>,
    /// The request's path, without the query.
    pub path: &'a str,
    /// The request's method.
    pub method: &'a str,
    /// Returns the value of a header by its lower-case name.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

/// The reason why a route does not take a request: the first condition that the request does not meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The route takes other classes.
    Class,
    /// The route takes other tenants.
    Tenant,
    /// The route takes requests from other zones.
    Zone,
    /// The route takes requests of other deduplication groups.
    DeduplicationGroup,
    /// The path is not under the route's prefix.
    Path,
    /// The route takes other methods.
    Method,
    /// A header is missing or has another value. Contains its index in [`RouteMatch::headers`].
    Header(usize),
}

impl RouteMatch {
    /// The reason why the route does not take the request; `None` if it does.
    pub fn mismatch(&self, request: &RequestAttributes<'_>) -> Option<Mismatch> {
        if !is_listed_or_any(&self.classes, Some(&request.class)) {
            return Some(Mismatch::Class);
        }
        if !is_listed_or_any(&self.tenants, request.tenant.as_ref()) {
            return Some(Mismatch::Tenant);
        }
        if !is_named_or_any(&self.zones, Some(request.zone)) {
            return Some(Mismatch::Zone);
        }
        if !is_named_or_any(&self.deduplication_groups, request.deduplication_group) {
            return Some(Mismatch::DeduplicationGroup);
        }
        if !is_under(self.prefix(), request.path) {
            return Some(Mismatch::Path);
        }
        if !is_named_or_any(&self.methods, Some(request.method)) {
            return Some(Mismatch::Method);
        }
        self.headers.iter().position(|header| !header.matches(request)).map(Mismatch::Header)
    }

    /// Whether these conditions hold for every request for which `other` holds.
    pub fn covers(&self, other: &RouteMatch) -> bool {
        covers_values(&self.classes, &other.classes)
            && covers_values(&self.tenants, &other.tenants)
            && covers_values(&self.zones, &other.zones)
            && covers_values(&self.deduplication_groups, &other.deduplication_groups)
            && covers_values(&self.methods, &other.methods)
            && is_under(self.prefix(), other.prefix())
            && self.headers_cover(other)
    }

    /// Whether every request with the headers that `other` requires has the headers that these conditions require.
    pub(crate) fn headers_cover(&self, other: &RouteMatch) -> bool {
        self.headers.iter().all(|own| other.headers.iter().any(|other_header| own.covers(other_header)))
    }

    /// The path prefix without a trailing slash; empty if every path is taken.
    pub(crate) fn prefix(&self) -> &str {
        let prefix = self.path_prefix.as_deref().unwrap_or("");
        prefix.strip_suffix('/').unwrap_or(prefix)
    }
}

impl HeaderMatch {
    pub(crate) fn matches(&self, request: &RequestAttributes<'_>) -> bool {
        match (request.header)(&self.name) {
            Some(value) => self.value.as_ref().is_none_or(|required| required == value),
            None => false,
        }
    }

    /// Whether every header that matches `other` matches this condition.
    fn covers(&self, other: &HeaderMatch) -> bool {
        self.name == other.name && (self.value.is_none() || self.value == other.value)
    }
}

fn is_listed_or_any<T: PartialEq>(listed: &[T], value: Option<&T>) -> bool {
    listed.is_empty() || value.is_some_and(|value| listed.contains(value))
}

fn is_named_or_any(names: &[String], name: Option<&str>) -> bool {
    names.is_empty() || name.is_some_and(|name| names.iter().any(|listed| listed == name))
}

fn covers_values<T: PartialEq>(own: &[T], others: &[T]) -> bool {
    own.is_empty() || !others.is_empty() && others.iter().all(|other| own.contains(other))
}

/// Whether `path` equals `prefix`, which has no trailing slash, or lies under it by whole segments.
fn is_under(prefix: &str, path: &str) -> bool {
    if prefix.is_empty() {
        return true;
    }
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
