//! The rules by which requests are read and checked: made of a configuration once, and replaced as a whole at a reload.

use hyper::header::{HeaderName, CONTENT_LENGTH, HOST};
use hyper::Method;
use shaletide_balancer::{ClassId, Idempotency, Micros, PoolId, TenantId};
use shaletide_body_limits::{BodyLimits, MinimumRate};
use shaletide_routing::{AttributeSource, RequestFormat, ResponseRules, Route, RouteTable};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Up to this age a connection that has sent no request ranks with the idle ones, and bytes of it that were read protect
/// it; a body that is being read is not chosen at all. While connections that never sent a request are too many, their age
/// gives none of them that rank, and those that send a body may be chosen at once.
pub(crate) const MIN_AGE_FOR_EVICTION: Micros = Micros(100_000);

/// What is checked of the requests of a class.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Its name.
    pub name: String,
    /// What a second execution of a request would do.
    pub idempotency: Idempotency,
    /// The methods that its requests may have.
    pub methods: Vec<Method>,
    /// How long a client waits at most.
    pub deadline: Micros,
}

/// The configuration of [`Rules`].
#[derive(Clone, Debug)]
pub struct RulesConfig {
    /// Where a request has its attributes.
    pub format: RequestFormat,
    /// The classes in the order of their numbers.
    pub classes: Vec<ClassRule>,
    /// The tenants in the order of their numbers.
    pub tenants: Vec<String>,
    /// The routes, of which the first that matches is taken.
    pub routes: Vec<Route>,
    /// The proxy's own zone, for requests that name none.
    pub zone: String,
    /// The longest `Retry-After`.
    pub max_retry_after: Micros,
    /// `Retry-After` in whole seconds, as HTTP has it; otherwise with three decimals.
    pub retry_after_in_whole_seconds: bool,
    /// How long reading a request's head may take.
    pub head_timeout: Micros,
    /// How long reading its body may take.
    pub body_timeout: Micros,
    /// The minimum rate of a body, in bytes per second; 0: none.
    pub min_body_bytes_per_s: u64,
    /// How far a body may fall behind that rate.
    pub body_grace: Micros,
    /// What all bodies being read and those of open requests may reserve together, in bytes.
    pub max_buffered_body_bytes: usize,
    /// The longest body, in bytes.
    pub max_body: usize,
    /// Requests are recorded: their tenants' names and their keys are needed.
    pub records_requests: bool,
    /// The longest that a shutdown waits for open requests; `None`: as long as the longest deadline.
    pub max_stop_duration: Option<Micros>,
}

/// Where in a head an attribute is.
#[derive(Clone, Debug)]
pub(crate) enum AttributeLocation {
    /// The segment of that number of the path; the first has the number 1.
    Path(usize),
    Header(HeaderName),
}

/// Where the requests of a route go, and how the responses are judged.
#[derive(Clone, Debug)]
pub(crate) struct RouteTarget {
    /// Its pools, the preferred first.
    pub pools: Rc<[PoolId]>,
    /// What a response means.
    pub response_rules: Rc<ResponseRules>,
}

/// See the module. Open requests keep the rules by which they were accepted.
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
    /// Headers that the proxy or a backend goes by. A `Connection` header that names one would remove it on the way,
    /// after it was checked: a keyed request would lose its key and be retried all the same.
    pub(crate) required_headers: HashSet<HeaderName>,
    pub(crate) class_by_name: HashMap<String, ClassId>,
    /// The classes whose names have several path segments, the longest first.
    pub(crate) multi_segment_classes: Vec<(Vec<String>, ClassId)>,
    pub(crate) classes: Vec<ClassRule>,
    pub(crate) tenants: HashMap<String, TenantId>,
    pub(crate) routes: RouteTable,
    /// By the routes' numbers.
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

/// The platform's header for facts about a request. The proxy passes it on and does not read it.
const FACTS_HEADER: &str = "x-facts";
/// `1`: the client has sent the request before, and repeats it.
pub(crate) const REPEAT_HEADER: &str = "x-repeat";
/// How much work the client expects the request to be, in microseconds.
pub(crate) const WEIGHT_HINT_HEADER: &str = "x-weight-hint";

/// Headers that the platform's backends go by, beside those of the format.
const PLATFORM_HEADERS: [HeaderName; 3] = [
    HeaderName::from_static(FACTS_HEADER),
    HeaderName::from_static(REPEAT_HEADER),
    HeaderName::from_static(WEIGHT_HINT_HEADER),
];

impl Rules {
    /// The rules of a configuration, which has been checked: a header's name that is not valid is found in no request.
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
            class_by_name: numbered(config.classes.iter().map(|class| &class.name), ClassId),
            multi_segment_classes: multi_segment_classes(&config.classes),
            tenants: numbered(config.tenants.iter(), TenantId),
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
                patience: MIN_AGE_FOR_EVICTION,
            },
            max_body: config.max_body,
            records_requests: config.records_requests,
            max_stop_duration: config.max_stop_duration,
        }
    }

    /// The longest time that a request may be open.
    pub(crate) fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }

    /// The `Allow` header of a class.
    pub(crate) fn allowed_methods(&self, class: ClassId) -> String {
        let Some(class) = self.classes.get(class.0) else { return String::new() };
        let methods: Vec<&str> = class.methods.iter().map(Method::as_str).collect();
        methods.join(", ")
    }

    /// The `Retry-After` header for that span, at most `max_retry_after`: whole seconds, rounded up, from 1 on, or seconds
    /// with three decimals.
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

/// The headers that a request is read, routed or deduplicated by.
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

/// Numbers by name, in the order of the names.
fn numbered<'a, T>(
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
