//! The rules by which requests are read and checked. They are built from a configuration and replaced as a whole at a reload.

use hyper::header::{HeaderName, CONTENT_LENGTH, HOST};
use hyper::Method;
use shaletide_balancer::{ClassId, Idempotency, Micros, PoolId, TenantId};
use shaletide_body_limits::{BodyLimits, MinimumRate};
use shaletide_routing::{AttributeSource, RequestFormat, ResponseRules, Route, RouteTable};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Minimum age for eviction. Below this age, a connection that has sent no request ranks with the idle ones, bytes already
/// read from it protect it, and a connection whose body is being read is not evicted. While too many connections have never
/// sent a request, their age does not give them that rank, and those that send a body may be evicted at once.
pub(crate) const MIN_AGE_FOR_EVICTION: Micros = Micros(100_000);

/// The checks that apply to the requests of a class.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// The name of the class.
    pub name: String,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// The methods that requests may have.
    pub methods: Vec<Method>,
    /// The longest time that a client waits.
    pub deadline: Micros,
}

/// The configuration of [`Rules`].
#[derive(Clone, Debug)]
pub struct RulesConfig {
    /// Where the attributes are in a request.
    pub format: RequestFormat,
    /// The classes in the order of their ids.
    pub classes: Vec<ClassRule>,
    /// The tenants in the order of their ids.
    pub tenants: Vec<String>,
    /// The routes; the first match is used.
    pub routes: Vec<Route>,
    /// The proxy's own zone, used for requests that name none.
    pub zone: String,
    /// The longest `Retry-After`.
    pub max_retry_after: Micros,
    /// Whether `Retry-After` is in whole seconds, as HTTP defines it, or with three decimals.
    pub retry_after_in_whole_seconds: bool,
    /// The longest time to read a request's head.
    pub head_timeout: Micros,
    /// The longest time to read a request's body.
    pub body_timeout: Micros,
    /// The minimum rate of a body in bytes per second; 0 means no minimum.
    pub min_body_bytes_per_s: u64,
    /// How far a body may fall behind that rate.
    pub body_grace: Micros,
    /// The total memory, in bytes, that bodies being read and bodies of open requests may reserve.
    pub max_buffered_body_bytes: usize,
    /// The longest body, in bytes.
    pub max_body: usize,
    /// Whether requests are recorded, so that tenant names and keys are needed.
    pub records_requests: bool,
    /// The longest time that shutdown waits for open requests; `None` means the longest deadline.
    pub max_stop_duration: Option<Micros>,
}

/// The location of an attribute in a request's head.
#[derive(Clone, Debug)]
pub(crate) enum AttributeLocation {
    /// A path segment by its number, counted from 1.
    Path(usize),
    Header(HeaderName),
}

/// The pools of a route, and how responses from them are classified.
#[derive(Clone, Debug)]
pub(crate) struct RouteTarget {
    /// The pools in order of preference.
    pub pools: Rc<[PoolId]>,
    /// How responses are classified.
    pub response_rules: Rc<ResponseRules>,
}

/// The rules by which requests are read and checked. Open requests keep the rules by which they were accepted.
pub struct Rules {
    pub(crate) class: AttributeLocation,
    pub(crate) default_class: Option<ClassId>,
    pub(crate) tenant: Option<AttributeLocation>,
    pub(crate) key: AttributeLocation,
    pub(crate) deduplication_group: Option<AttributeLocation>,
    pub(crate) client_zone: Option<AttributeLocation>,
    pub(crate) id_header: HeaderName,
    pub(crate) id_required: bool,
    pub(crate) time_left_header: HeaderName,
    /// Headers that the proxy or a backend relies on. A `Connection` header that names one of them would remove it after it
    /// was checked: a keyed request would lose its key and still be retried.
    pub(crate) required_headers: HashSet<HeaderName>,
    pub(crate) class_by_name: HashMap<String, ClassId>,
    /// The classes whose names have several path segments, the longest first.
    pub(crate) multi_segment_classes: Vec<(Vec<String>, ClassId)>,
    pub(crate) classes: Vec<ClassRule>,
    pub(crate) tenants: HashMap<String, TenantId>,
    pub(crate) routes: RouteTable,
    /// Indexed by route id.
    pub(crate) route_targets: Vec<RouteTarget>,
    pub(crate) zone: String,
    pub(crate) max_retry_after: Micros,
    pub(crate) retry_after_in_whole_seconds: bool,
    pub(crate) head_timeout: Micros,
    pub(crate) body_timeout: Micros,
    pub(crate) bodies: BodyLimits,
    pub(crate) records_requests: bool,
    pub(crate) max_body: usize,
    pub(crate) max_stop_duration: Option<Micros>,
}

/// The platform's header for facts about a request. The proxy forwards it without reading it.
const FACTS_HEADER: &str = "x-facts";
/// Header with the value `1` if the client is repeating an earlier request.
pub(crate) const REPEAT_HEADER: &str = "x-repeat";
/// Header with the work that the client expects the request to take, in microseconds.
pub(crate) const WEIGHT_HINT_HEADER: &str = "x-weight-hint";

/// Headers that the platform's backends rely on, in addition to those of the request format.
const PLATFORM_HEADERS: [HeaderName; 3] = [
    HeaderName::from_static(FACTS_HEADER),
    HeaderName::from_static(REPEAT_HEADER),
    HeaderName::from_static(WEIGHT_HINT_HEADER),
];

impl Rules {
    /// Builds the rules from a configuration that has been checked, so that its header names are valid. An invalid name would
    /// be read as `x-unnamed`.
    pub fn new(config: RulesConfig) -> Rules {
        let format = &config.format;
        Rules {
            class: location(&format.class),
            default_class: format.default_class,
            tenant: format.tenant.as_ref().map(location),
            key: location(&format.key),
            deduplication_group: format.deduplication_group.as_ref().map(location),
            client_zone: format.zone.as_ref().map(location),
            id_header: header_name(&format.id),
            id_required: format.id_required,
            time_left_header: header_name(&format.time_left),
            required_headers: required_headers(format, &config.routes),
            class_by_name: ids_by_name(config.classes.iter().map(|class| &class.name), ClassId),
            multi_segment_classes: multi_segment_classes(&config.classes),
            tenants: ids_by_name(config.tenants.iter(), TenantId),
            route_targets: config.routes.iter().map(RouteTarget::new).collect(),
            routes: RouteTable::new(config.routes),
            classes: config.classes,
            zone: config.zone,
            max_retry_after: config.max_retry_after,
            retry_after_in_whole_seconds: config.retry_after_in_whole_seconds,
            head_timeout: config.head_timeout,
            body_timeout: config.body_timeout,
            bodies: BodyLimits {
                rate: MinimumRate { bytes_per_s: config.min_body_bytes_per_s, grace: config.body_grace },
                max_buffered_bytes: config.max_buffered_body_bytes,
                min_age_for_eviction: MIN_AGE_FOR_EVICTION,
            },
            max_body: config.max_body,
            records_requests: config.records_requests,
            max_stop_duration: config.max_stop_duration,
        }
    }

    /// Returns the longest time that a request may be open.
    pub(crate) fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }

    /// Returns the value of the `Allow` header for a class.
    pub(crate) fn allowed_methods(&self, class: ClassId) -> String {
        let Some(class) = self.classes.get(class.0) else { return String::new() };
        let methods: Vec<&str> = class.methods.iter().map(Method::as_str).collect();
        methods.join(", ")
    }

    /// Returns the `Retry-After` value for a delay, which is limited to `max_retry_after`: whole seconds, rounded up and at
    /// least 1, or seconds with three decimals.
    pub(crate) fn retry_after(&self, after: Micros) -> String {
        let seconds = after.min(self.max_retry_after).secs();
        if self.retry_after_in_whole_seconds {
            format!("{}", seconds.ceil().max(1.0))
        } else {
            format!("{seconds:.3}")
        }
    }
}

impl RouteTarget {
    fn new(route: &Route) -> RouteTarget {
        RouteTarget {
            pools: route.pools.as_slice().into(),
            response_rules: Rc::new(route.response_rules.clone()),
        }
    }
}

fn header_name(name: &str) -> HeaderName {
    name.parse().unwrap_or(HeaderName::from_static("x-unnamed"))
}

fn location(source: &AttributeSource) -> AttributeLocation {
    match source {
        AttributeSource::Path(segment) => AttributeLocation::Path(*segment),
        AttributeSource::Header(name) => AttributeLocation::Header(header_name(name)),
    }
}

/// Returns the headers by which a request is read, routed or deduplicated.
fn required_headers(format: &RequestFormat, routes: &[Route]) -> HashSet<HeaderName> {
    let always = [HOST, CONTENT_LENGTH, header_name(&format.id), header_name(&format.time_left)];
    let sources = [
        Some(&format.class),
        format.tenant.as_ref(),
        Some(&format.key),
        format.deduplication_group.as_ref(),
        format.zone.as_ref(),
    ];
    let attributes = sources.into_iter().flatten().filter_map(|source| match source {
        AttributeSource::Header(name) => Some(header_name(name)),
        AttributeSource::Path(_) => None,
    });
    let matched =
        routes.iter().flat_map(|route| &route.conditions.headers).map(|header| header_name(&header.name));
    always.into_iter().chain(attributes).chain(matched).chain(PLATFORM_HEADERS).collect()
}

/// Maps each name to the id of its position.
fn ids_by_name<'a, T>(
    names: impl Iterator<Item = &'a String>, number: impl Fn(usize) -> T,
) -> HashMap<String, T> {
    names.enumerate().map(|(at, name)| (name.clone(), number(at))).collect()
}

fn multi_segment_classes(classes: &[ClassRule]) -> Vec<(Vec<String>, ClassId)> {
    let segments = |name: &str| -> Vec<String> { name.split('/').map(String::from).collect() };
    let all = classes.iter().enumerate().map(|(at, class)| (segments(&class.name), ClassId(at)));
    let mut multi: Vec<_> = all.filter(|(segments, _)| segments.len() > 1).collect();
    multi.sort_by_key(|(segments, _)| std::cmp::Reverse(segments.len()));
    multi
}
