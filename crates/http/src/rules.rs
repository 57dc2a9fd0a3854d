//! What requests are read and checked by, made of a configuration once and replaced whole by the next.

use hyper::header::{HeaderName, CONTENT_LENGTH, HOST};
use hyper::Method;
use shaletide_balancer::{ClassId, Idempotency, Micros, PoolId, TenantId};
use shaletide_body_limits::{BodyLimits, MinimumRate};
use shaletide_routing::{AttributeSource, RequestFormat, ResponseRules, Route, RouteTable};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// A new connection's first request, or a body, is given this time before the connection may be evicted for it.
pub(crate) const FIRST_REQUEST_PATIENCE: Micros = Micros(100_000);

/// What is checked of a class's requests.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Its name.
    pub name: String,
    /// What a second run would do.
    pub effect: Idempotency,
    /// The methods that its requests may have.
    pub methods: Vec<Method>,
    /// How long a client waits at most.
    pub deadline: Micros,
}

/// What [`Rules`] are made of.
#[derive(Clone, Debug)]
pub struct RulesDef {
    /// Where in a request things stand.
    pub form: RequestFormat,
    /// The classes in the order of their numbers.
    pub classes: Vec<ClassRule>,
    /// The tenants in the order of their numbers.
    pub tenants: Vec<String>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The proxy's own zone.
    pub zone: String,
    /// The longest advice given.
    pub max_retry_after: Micros,
    /// Advice in whole seconds, as HTTP has it; else with decimals.
    pub whole_seconds: bool,
    /// The head of a request is whole after this time.
    pub head_timeout: Micros,
    /// And its body.
    pub body_timeout: Micros,
    /// A body comes at this rate at least, in bytes a second.
    pub body_rate: u64,
    /// But for so long.
    pub body_grace: Micros,
    /// What bodies may hold together, in bytes.
    pub held_bodies: usize,
    /// Which is no longer than this, in bytes.
    pub max_body: usize,
    /// Requests are on record: their tenants' names and keys are wanted.
    pub record: bool,
    /// Whoever ends the program waits for the longest deadline, though no longer than this; `None`: for any.
    pub longest_stop: Option<Micros>,
}

/// Where in a head something stands.
#[derive(Clone, Debug)]
pub(crate) enum AttributeLocation {
    Path(usize),
    Header(HeaderName),
}

/// Where a request may go and how its answers are read.
#[derive(Clone, Debug)]
pub(crate) struct RouteTarget {
    /// Pools, the preferred first.
    pub pools: Rc<[PoolId]>,
    /// What an answer means.
    pub response_rules: Rc<ResponseRules>,
}

/// All that requests are read and checked by.
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
    /// What the proxy or a backend goes by. A `Connection` line that names one would take it out of the request on
    /// its way, after it was checked: a keyed request would lose its key and be repeated all the same.
    pub(crate) required_headers: HashSet<HeaderName>,
    pub(crate) class_by_name: HashMap<String, ClassId>,
    /// The classes whose names have several parts, as paths do: the longest first.
    pub(crate) multi_segment_classes: Vec<(Vec<String>, ClassId)>,
    pub(crate) classes: Vec<ClassRule>,
    pub(crate) tenants: HashMap<String, TenantId>,
    pub(crate) routes: RouteTable,
    pub(crate) route_targets: Vec<RouteTarget>,
    pub(crate) zone: String,
    pub(crate) max_retry_after: Micros,
    pub(crate) whole_seconds: bool,
    pub(crate) head_timeout: Micros,
    pub(crate) body_timeout: Micros,
    pub(crate) bodies: BodyLimits,
    pub(crate) is_recorded: bool,
    pub(crate) max_body: usize,
    pub(crate) longest_stop: Option<Micros>,
}

/// Headers by which a request is read on the platform, beside those of its form.
const ALSO_READ: [HeaderName; 3] = [
    HeaderName::from_static("x-facts"),
    HeaderName::from_static("x-repeat"),
    HeaderName::from_static("x-weight-hint"),
];

impl Rules {
    /// The rules that follow from a configuration. A header's name that is no name at all is never found in a
    /// request; the configuration has been checked for such.
    pub fn new(def: RulesDef) -> Rules {
        let header = |name: &str| name.parse().unwrap_or(HeaderName::from_static("x-unnamed"));
        let place = |source: &AttributeSource| match source {
            AttributeSource::Path(part) => AttributeLocation::Path(*part),
            AttributeSource::Header(name) => AttributeLocation::Header(header(name)),
        };
        let form = &def.form;
        let places = [
            Some(&form.class),
            form.tenant.as_ref(),
            Some(&form.key),
            form.deduplication_group.as_ref(),
            form.zone.as_ref(),
        ];
        let places = places.into_iter().flatten().filter_map(|source| match source {
            AttributeSource::Header(name) => Some(header(name)),
            AttributeSource::Path(_) => None,
        });
        let matched = def.routes.iter().flat_map(|route| &route.when.headers).map(|h| header(&h.name));
        let required_headers = [HOST, CONTENT_LENGTH, header(&form.id), header(&form.time_left)];
        let directions = |route: &Route| RouteTarget {
            pools: route.pools.as_slice().into(),
            response_rules: Rc::new(route.answers.clone()),
        };
        let numbered = |names: Vec<&String>| -> Vec<(String, usize)> {
            names.into_iter().enumerate().map(|(at, name)| (name.clone(), at)).collect()
        };
        let by_name = numbered(def.classes.iter().map(|c| &c.name).collect()).into_iter();
        let parts = |(at, class): (usize, &ClassRule)| {
            let parts = class.name.split('/').map(String::from).collect::<Vec<_>>();
            (parts.len() > 1).then_some((parts, ClassId(at)))
        };
        let mut multi_segment_classes: Vec<_> = def.classes.iter().enumerate().filter_map(parts).collect();
        multi_segment_classes.sort_by_key(|(parts, _)| std::cmp::Reverse(parts.len()));
        let tenants = numbered(def.tenants.iter().collect()).into_iter();
        Rules {
            class: place(&form.class),
            default_class: form.default_class,
            tenant: form.tenant.as_ref().map(place),
            key: place(&form.key),
            deduplication_group: form.deduplication_group.as_ref().map(place),
            client_zone: form.zone.as_ref().map(place),
            id_header: header(&form.id),
            id_required: form.id_required,
            time_left_header: header(&form.time_left),
            required_headers: required_headers
                .into_iter()
                .chain(places)
                .chain(matched)
                .chain(ALSO_READ)
                .collect(),
            class_by_name: by_name.map(|(name, at)| (name, ClassId(at))).collect(),
            multi_segment_classes,
            tenants: tenants.map(|(name, at)| (name, TenantId(at))).collect(),
            route_targets: def.routes.iter().map(directions).collect(),
            routes: RouteTable::new(def.routes),
            classes: def.classes,
            zone: def.zone,
            max_retry_after: def.max_retry_after,
            whole_seconds: def.whole_seconds,
            head_timeout: def.head_timeout,
            body_timeout: def.body_timeout,
            bodies: BodyLimits {
                rate: MinimumRate { bytes_per_s: def.body_rate, grace: def.body_grace },
                max_buffered_bytes: def.held_bodies,
                patience: FIRST_REQUEST_PATIENCE,
            },
            max_body: def.max_body,
            is_recorded: def.record,
            longest_stop: def.longest_stop,
        }
    }

    /// The longest time that any request may be open.
    pub(crate) fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }

    /// `Allow` for a class.
    pub(crate) fn allowed_methods(&self, class: ClassId) -> String {
        let methods =
            self.classes.get(class.0).map(|c| c.methods.iter().map(Method::as_str).collect::<Vec<_>>());
        methods.unwrap_or_default().join(", ")
    }

    /// `Retry-After` for advice of that length: never less than it.
    pub(crate) fn retry_after(&self, after: Micros) -> String {
        let secs = after.min(self.max_retry_after).secs();
        match self.whole_seconds {
            true => format!("{}", secs.ceil().max(1.0)),
            false => format!("{secs:.3}"),
        }
    }
}
