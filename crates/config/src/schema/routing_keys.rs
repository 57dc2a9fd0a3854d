//! Schema of the keys of pools, their backends, response rules and routes.

use super::define::{key, HOUR, MS};
use super::types::DefaultValue::{Described, Required, Value};
use super::types::NodeConfigKey::Extends;
use super::types::TakesEffect::Reload;
use super::types::{KeySchema, ValueKind};

pub(super) const POOL_KEYS: &[KeySchema] = &[
    key("name", ValueKind::Name, Required, Reload, Extends, "Name of the pool in routes and logs."),
    key(
        "boxes",
        ValueKind::Backends,
        Described("`discovery` is required"),
        Reload,
        Extends,
        "Its backends; at least one. A pool has exactly one of `boxes` and `discovery`.",
    ),
    key(
        "discovery",
        ValueKind::Address,
        Described("`boxes` is required"),
        Reload,
        Extends,
        "Address of the discovery service that provides its backends.",
    ),
    key(
        "discovery_mode",
        ValueKind::Choice(&["push", "subscribe"]),
        Value("\"subscribe\""),
        Reload,
        Extends,
        "How changes are delivered: `push` without a request, `subscribe` once for each request of the proxy. Only with \
         `discovery`.",
    ),
    key(
        "must_ask_within",
        ValueKind::Duration(100 * MS, HOUR),
        Value("\"9s\""),
        Reload,
        Extends,
        "Time without a request to the discovery service after which the proxy counts as informed of a change. Only with \
         `discovery_mode` \"subscribe\".",
    ),
    key(
        "repeat_group",
        ValueKind::Name,
        Described("the pool's own name"),
        Reload,
        Extends,
        "Deduplication domain. Pools with the same value share their bays: a key repeated in the same bay of any of them \
         is discarded.",
    ),
];

pub(super) const BACKEND_KEYS: &[KeySchema] = &[
    key(
        "address",
        ValueKind::Address,
        Required,
        Reload,
        Extends,
        "Address of the backend. An address may occur only once in the file.",
    ),
    key(
        "kind",
        ValueKind::Name,
        Value("\"box\""),
        Reload,
        Extends,
        "Server type. Backends of the same kind are assumed to be equally fast.",
    ),
    key("zone", ValueKind::NameOrEmpty, Value("\"\""), Reload, Extends, "Zone of the backend."),
    key(
        "bay",
        ValueKind::DeduplicationGroup,
        Described("a bay of its own"),
        Reload,
        Extends,
        "Deduplication group: backends of the same bay discard keys that any of them has received. `1` and \"1\" are the \
         same bay.",
    ),
    key("cores", ValueKind::Integer(1, 4096), Value("1"), Reload, Extends, "Number of cores."),
    key(
        "state",
        ValueKind::Choice(&["serving", "draining"]),
        Value("\"serving\""),
        Reload,
        Extends,
        "A draining backend completes its requests and gets no new ones.",
    ),
];

pub(super) const RESPONSES_KEYS: &[KeySchema] = &[
    key(
        "served",
        ValueKind::Statuses,
        Value("[\"200-428\", 430, \"431-499\", 501, \"505-599\"]"),
        Reload,
        Extends,
        "Statuses that count as served: such a response goes to the client unchanged. All others are errors. 429 \
         and 503 are not allowed here, as they tell a client that a retry does no harm.",
    ),
    key(
        "never_ran",
        ValueKind::NotExecutedProofs,
        Value("[]"),
        Reload,
        Extends,
        "Responses that prove that the request was not and will not be executed; they take precedence over \
         `served`. Such a request may be retried whatever its class.",
    ),
    key(
        "errors",
        ValueKind::Choice(&["as_they_are", "own_words"]),
        Value("\"as_they_are\""),
        Reload,
        Extends,
        "Response to the client if the last attempt ended in an error: the backend's response, or one of the \
         proxy's own. A 429 or 503 that does not prove that the request was not executed is sent only to clients of \
         safe classes; others get a 502.",
    ),
];

pub(super) const NOT_EXECUTED_PROOF_KEYS: &[KeySchema] = &[
    key("status", ValueKind::Integer(200, 599), Required, Reload, Extends, "Status of the response."),
    key(
        "header",
        ValueKind::Header,
        Required,
        Reload,
        Extends,
        "Name of a header that the response must have.",
    ),
    key(
        "value",
        ValueKind::HeaderValue,
        Described("any value"),
        Reload,
        Extends,
        "Value that the header must have.",
    ),
];

pub(super) const ROUTE_KEYS: &[KeySchema] = &[
    key("name", ValueKind::Name, Required, Reload, Extends, "Name of the route in logs."),
    key(
        "class",
        ValueKind::Names,
        Described("any class"),
        Reload,
        Extends,
        "Matches requests of these classes.",
    ),
    key(
        "tenant",
        ValueKind::Names,
        Described("any tenant, or none"),
        Reload,
        Extends,
        "Matches requests of these tenants.",
    ),
    key(
        "zone",
        ValueKind::Names,
        Described("any zone"),
        Reload,
        Extends,
        "Matches requests from these zones.",
    ),
    key(
        "bay",
        ValueKind::DeduplicationGroups,
        Described("any bay, or none"),
        Reload,
        Extends,
        "Matches requests for these bays.",
    ),
    key(
        "path",
        ValueKind::Path,
        Described("any path"),
        Reload,
        Extends,
        "Matches requests for this path and all paths below it, by whole parts: `/read` matches `/read/k` but not \
         `/reader`.",
    ),
    key(
        "method",
        ValueKind::Methods,
        Described("any method"),
        Reload,
        Extends,
        "Matches requests with these methods.",
    ),
    key(
        "header",
        ValueKind::HeaderMatches,
        Described("any headers"),
        Reload,
        Extends,
        "Matches requests that have all of these headers.",
    ),
    key(
        "pools",
        ValueKind::Names,
        Required,
        Reload,
        Extends,
        "The pools in order of preference; at least one. Each pool must be in a route.",
    ),
    key(
        "answers",
        ValueKind::ResponseRules,
        Described("same as `[answers]`"),
        Reload,
        Extends,
        "How responses of its backends are classified.",
    ),
];

pub(super) const HEADER_MATCH_KEYS: &[KeySchema] = &[
    key("name", ValueKind::Header, Required, Reload, Extends, "Name of the header."),
    key(
        "value",
        ValueKind::HeaderValue,
        Described("any value"),
        Reload,
        Extends,
        "Exact value of the header.",
    ),
];
