//! The conditions of a route, and whether one request meets them. The whole table is searched in
//! [`crate::RouteTable`].

use shaletide_types::*;

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
pub struct RouteMatch {
    /// One of these classes.
    pub classes: Vec<ClassId>,
    /// One of these tenants; a request without a tenant meets no such condition.
    pub tenants: Vec<TenantId>,
    /// From one of these zones.
    pub zones: Vec<String>,
    /// About one of these deduplication groups.
    pub deduplication_groups: Vec<String>,
    /// The path is this or lies under it, by whole segments: `/read` takes `/read` and `/read/k` and not
    /// `/reader`. A slash at the end means nothing: `/read/` is `/read`, and `/` takes every path, `*` too.
    pub path_prefix: Option<String>,
    /// One of these methods, in capitals.
    pub methods: Vec<String>,
    /// All of these headers.
    pub headers: Vec<HeaderMatch>,
}

/// What the conditions are checked against.
pub struct RequestAttributes<'a> {
    /// The request's class.
    pub class: ClassId,
    /// Its tenant, if it has a known one.
    pub tenant: Option<TenantId>,
    /// Its zone.
    pub zone: &'a str,
    /// Its deduplication group, if it names one.
    pub deduplication_group: Option<&'a str>,
    /// Its path, without the query.
    pub path: &'a str,
    /// Its method.
    pub method: &'a str,
    /// The value of a header by its lower-case name.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

/// Why a route does not take a request: the first condition that it does not meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The route takes other classes.
    Class,
    /// It takes other tenants.
    Tenant,
    /// It takes requests from other zones.
    Zone,
    /// It takes requests about other deduplication groups.
    DeduplicationGroup,
    /// The path lies elsewhere.
    Path,
    /// It takes other methods.
    Method,
    /// A header is missing or has another value; the index into [`RouteMatch::headers`].
    Header(usize),
}

impl RouteMatch {
    /// Why the route does not take the request; none: it does.
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

    /// Whether it takes every request that `other` takes.
    pub fn covers(&self, other: &RouteMatch) -> bool {
        covers_values(&self.classes, &other.classes)
            && covers_values(&self.tenants, &other.tenants)
            && covers_values(&self.zones, &other.zones)
            && covers_values(&self.deduplication_groups, &other.deduplication_groups)
            && covers_values(&self.methods, &other.methods)
            && is_under(self.prefix(), other.prefix())
            && self.headers_cover(other)
    }

    /// Whether a request with all headers that `other` asks for has all that this asks for.
    pub(crate) fn headers_cover(&self, other: &RouteMatch) -> bool {
        self.headers.iter().all(|own| other.headers.iter().any(|theirs| own.covers(theirs)))
    }

    /// The path's prefix without a slash at its end; empty where every path is taken.
    pub(crate) fn prefix(&self) -> &str {
        let prefix = self.path_prefix.as_deref().unwrap_or("");
        prefix.strip_suffix('/').unwrap_or(prefix)
    }
}

impl HeaderMatch {
    pub(crate) fn matches(&self, request: &RequestAttributes<'_>) -> bool {
        match (request.header)(&self.name) {
            Some(value) => self.value.as_ref().is_none_or(|wanted| wanted == value),
            None => false,
        }
    }

    /// Whether a header that matches `other` matches this.
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

/// Whether `path` is `prefix`, which has no slash at its end, or lies under it by whole segments.
fn is_under(prefix: &str, path: &str) -> bool {
    if prefix.is_empty() {
        return true;
    }
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
