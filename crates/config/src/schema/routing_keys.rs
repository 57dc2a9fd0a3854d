//! Keys of pools and routes: pools and their backends, what responses mean, routes.

use super::define::{key, HOUR, MS};
use super::types::DefaultValue::{Described, Required, Value};
use super::types::NodeConfigKey::Extends;
use super::types::TakesEffect::Reload;
use super::types::{KeySchema, ValueKind};

pub(super) const POOL_KEYS: &[KeySchema] = &[
    key("name", ValueKind::Name, Required, Reload, Extends, "Its name, for routes and logs."),
    key(
        "boxes",
        ValueKind::Backends,
        Described("`discovery` must be given"),
        Reload,
        Extends,
        "Its backends; at least one. Exactly one of `boxes` and `discovery` stands.",
    ),
    key(
        "discovery",
        ValueKind::Address,
        Described("`boxes` must be given"),
        Reload,
        Extends,
        "Where the service listens that knows its backends.",
    ),
    key(
        "discovery_mode",
        ValueKind::Choice(&["push", "subscribe"]),
        Value("\"subscribe\""),
        Reload,
        Extends,
        "Whether changes come unasked, or only after each time the proxy asks. Only with `discovery`.",
    ),
    key(
        "must_ask_within",
        ValueKind::Duration(100 * MS, HOUR),
        Value("\"9s\""),
        Reload,
        Extends,
        "A proxy that has not asked for so long counts as told. Only with `discovery_mode` \"subscribe\".",
    ),
    key(
        "repeat_group",
        ValueKind::Name,
        Described("the pool's own name"),
        Reload,
        Extends,
        "Pools of one repeat group share bays: a key repeated in the same bay of either is dropped.",
    ),
];

pub(super) const BACKEND_KEYS: &[KeySchema] = &[
    key(
        "address",
        ValueKind::Address,
        Required,
        Reload,
        Extends,
        "Where it listens. No address stands in a file twice.",
    ),
    key(
        "kind",
        ValueKind::Name,
        Value("\"box\""),
        Reload,
        Extends,
        "Its sort of machine: backends of one kind are taken as equally fast.",
    ),
    key("zone", ValueKind::NameOrEmpty, Value("\"\""), Reload, Extends, "Its zone."),
    key(
        "bay",
        ValueKind::DeduplicationGroup,
        Described("a bay of its own"),
        Reload,
        Extends,
        "Backends of one bay drop each other's repeated keys. `1` and \"1\" are the same bay.",
    ),
    key("cores", ValueKind::Integer(1, 4096), Value("1"), Reload, Extends, "Its cores."),
    key(
        "state",
        ValueKind::Choice(&["serving", "draining"]),
        Value("\"serving\""),
        Reload,
        Extends,
        "A draining backend finishes what it has and gets nothing new.",
    ),
];

pub(super) const RESPONSES_KEYS: &[KeySchema] = &[
    key(
        "served",
        ValueKind::Statuses,
        Value("[\"200-428\", 430, \"431-499\", 501, \"505-599\"]"),
        Reload,
        Extends,
        "The statuses that are the answer to the request and go to the client unchanged. All others are \
         errors. 429 and 503 are never among them: they tell a client that coming again does no harm.",
    ),
    key(
        "never_ran",
        ValueKind::NotExecutedProofs,
        Value("[]"),
        Reload,
        Extends,
        "The answers that prove that the request has not run and never will, whatever `served` says. Such a \
         request may be sent again whatever its class.",
    ),
    key(
        "errors",
        ValueKind::Choice(&["as_they_are", "own_words"]),
        Value("\"as_they_are\""),
        Reload,
        Extends,
        "What a client gets where the last attempt ended in an error: the backend's answer, or the proxy's own \
         words. A 429 or 503 that proves nothing goes to a client of a safe class only: others get a 502.",
    ),
];

pub(super) const NOT_EXECUTED_PROOF_KEYS: &[KeySchema] = &[
    key("status", ValueKind::Integer(200, 599), Required, Reload, Extends, "The answer's status ..."),
    key("header", ValueKind::Header, Required, Reload, Extends, "... and a header that it carries ..."),
    key("value", ValueKind::HeaderValue, Described("any value"), Reload, Extends, "... with this value."),
];

pub(super) const ROUTE_KEYS: &[KeySchema] = &[
    key("name", ValueKind::Name, Required, Reload, Extends, "Its name, for logs."),
    key(
        "class",
        ValueKind::Names,
        Described("any class"),
        Reload,
        Extends,
        "It takes requests of these classes.",
    ),
    key(
        "tenant",
        ValueKind::Names,
        Described("any tenant, or none"),
        Reload,
        Extends,
        "It takes requests of these tenants.",
    ),
    key(
        "zone",
        ValueKind::Names,
        Described("any zone"),
        Reload,
        Extends,
        "It takes requests from these zones.",
    ),
    key(
        "bay",
        ValueKind::DeduplicationGroups,
        Described("any bay, or none"),
        Reload,
        Extends,
        "It takes requests about these bays.",
    ),
    key(
        "path",
        ValueKind::Path,
        Described("any path"),
        Reload,
        Extends,
        "It takes requests for this path and all under it, by whole parts: `/read` takes `/read/k` and not \
         `/reader`.",
    ),
    key(
        "method",
        ValueKind::Methods,
        Described("any method"),
        Reload,
        Extends,
        "It takes requests with these methods.",
    ),
    key(
        "header",
        ValueKind::HeaderMatches,
        Described("any headers"),
        Reload,
        Extends,
        "It takes requests that carry all of these headers.",
    ),
    key(
        "pools",
        ValueKind::Names,
        Required,
        Reload,
        Extends,
        "Where to: the pools in order of preference; at least one. Each pool is in some route.",
    ),
    key(
        "answers",
        ValueKind::ResponseRules,
        Described("as `[answers]`"),
        Reload,
        Extends,
        "What its backends' answers mean.",
    ),
];

pub(super) const HEADER_MATCH_KEYS: &[KeySchema] = &[
    key("name", ValueKind::Header, Required, Reload, Extends, "Its name."),
    key(
        "value",
        ValueKind::HeaderValue,
        Described("any value"),
        Reload,
        Extends,
        "Its value, letter for letter.",
    ),
];
