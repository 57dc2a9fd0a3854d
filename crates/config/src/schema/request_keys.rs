//! Schema of the keys of the request format, classes and tenants.

use super::define::{key, HOUR, MS};
use super::types::DefaultValue::{Described, Required, Value};
use super::types::NodeConfigKey::{Extends, Fixed, Named};
use super::types::TakesEffect::{Reload, Restart, RestartToRemove};
use super::types::{KeySchema, ValueKind};

pub(super) const REQUEST_KEYS: &[KeySchema] = &[
    key(
        "class",
        ValueKind::AttributeSource,
        Value("{ path = 1 }"),
        Reload,
        Fixed,
        "Where a request carries the name of its class.",
    ),
    key(
        "otherwise",
        ValueKind::Name,
        Described("the request is rejected"),
        Reload,
        Fixed,
        "Class of a request that carries no class name or an unknown one.",
    ),
    key(
        "tenant",
        ValueKind::AttributeSource,
        Value("{ header = \"X-Account\" }"),
        Reload,
        Fixed,
        "Where a request carries the name of its tenant. A request without a name has no tenant.",
    ),
    key(
        "key",
        ValueKind::AttributeSource,
        Value("{ header = \"Idempotency-Key\" }"),
        Reload,
        Fixed,
        "Where a request carries its idempotency key, which prevents a keyed request from being executed twice.",
    ),
    key(
        "bay",
        ValueKind::AttributeSource,
        Described("no request has a bay"),
        Reload,
        Extends,
        "Where a request carries the bay (deduplication group) that it is for; used by routes.",
    ),
    key(
        "zone",
        ValueKind::AttributeSource,
        Described("the proxy's own zone"),
        Reload,
        Extends,
        "Where a request carries the zone that it comes from; used by routes.",
    ),
    key(
        "id",
        ValueKind::Header,
        Value("\"X-Correlation-Id\""),
        Reload,
        Fixed,
        "Header with the id of the request.",
    ),
    key(
        "id_required",
        ValueKind::Flag,
        Value("false"),
        Reload,
        Fixed,
        "Whether a request without that header is rejected. Otherwise it is given an id.",
    ),
    key(
        "time_left",
        ValueKind::Header,
        Value("\"X-Time-Left\""),
        Reload,
        Fixed,
        "Header with the number of seconds that the client will wait; limited to the deadline of the class.",
    ),
];

/// Maximum number of the part of a path that carries a class, a tenant or another attribute.
pub(crate) const MAX_PATH_PART: u64 = 64;

pub(super) const ATTRIBUTE_SOURCE_KEYS: &[KeySchema] = &[
    key(
        "path",
        ValueKind::Integer(1, MAX_PATH_PART),
        Described("`header` is required"),
        Reload,
        Extends,
        "Number of the path's part: part 1 of `/read/k7` is `read`. The part is used as it is, without decoding.",
    ),
    key(
        "header",
        ValueKind::Header,
        Described("`path` is required"),
        Reload,
        Extends,
        "Name of the header. A request that has it twice is rejected.",
    ),
];

pub(super) const CLASS_KEYS: &[KeySchema] = &[
    key(
        "name",
        ValueKind::Name,
        Required,
        RestartToRemove,
        Named("settings.profiles[].name"),
        "Name of the class, as requests carry it.",
    ),
    key(
        "effect",
        ValueKind::Choice(&["safe", "keyed", "unsafe"]),
        Value("\"safe\""),
        Restart,
        Named("settings.profiles[].effect"),
        "Effect of executing a request twice. `safe`: none. `keyed`: none, as the backends discard repeated \
         requests with the same key. `unsafe`: harmful; a request is retried only if it was certainly not executed.",
    ),
    key(
        "methods",
        ValueKind::Methods,
        Described("safe: GET and HEAD; keyed and unsafe: POST, PUT, PATCH and DELETE"),
        Reload,
        Fixed,
        "Allowed methods of its requests; others are rejected.",
    ),
    key(
        "aim",
        ValueKind::Duration(MS, HOUR),
        Value("\"500ms\""),
        Reload,
        Named("settings.profiles[].aim_us"),
        "Latency objective: a response within this time counts with the full `worth`. At most `deadline`.",
    ),
    key(
        "deadline",
        ValueKind::Duration(MS, HOUR),
        Value("\"2s\""),
        Reload,
        Named("settings.profiles[].deadline_us"),
        "Maximum time that a client waits.",
    ),
    key(
        "worth",
        ValueKind::Positive(1e6),
        Value("1.0"),
        Reload,
        Named("settings.profiles[].gain"),
        "Priority weight of a request relative to other classes.",
    ),
    key(
        "late_worth",
        ValueKind::Number(0.0, 1.0),
        Value("0.25"),
        Reload,
        Named("settings.profiles[].late_worth"),
        "Fraction of `worth` that remains after `aim`.",
    ),
    key(
        "aim_stretch",
        ValueKind::Number(0.0, 1000.0),
        Value("0.0"),
        Reload,
        Named("settings.profiles[].aim_stretch"),
        "`aim` grows by this multiple of the request's work hint.",
    ),
    key(
        "key_scope",
        ValueKind::Choice(&["all", "zone", "bay"]),
        Described("keyed: required; others: not allowed"),
        Restart,
        Named("settings.profiles[].key_scope"),
        "Which backends discard a key that one of them has received: all of the pool, those of the same zone, or \
         those of the same bay.",
    ),
    key(
        "key_window",
        ValueKind::Duration(MS, 24 * HOUR),
        Described("keyed: required; others: not allowed"),
        Restart,
        Named("settings.profiles[].window_us"),
        "Deduplication window: time after a key was first sent during which backends discard it.",
    ),
    key(
        "record",
        ValueKind::Choice(&["none", "facts", "permit"]),
        Described("\"permit\" if the class is unsafe and the file has `[record]`; otherwise \"none\""),
        Restart,
        Fixed,
        "What is recorded of its requests. `facts`: what the proxy knew and did; facts may be dropped if the store \
         cannot keep up. `permit`: also an intent, which must be durable before an attempt is sent, and no key is \
         sent twice; only for unsafe classes.",
    ),
    key(
        "without_key",
        ValueKind::Choice(&["refuse", "record"]),
        Value("\"refuse\""),
        Restart,
        Fixed,
        "Handling of a request without a key. `refuse`: it is rejected. `record`: it is sent and recorded as one \
         without a key. Only with `record` \"permit\".",
    ),
];

pub(super) const TENANT_KEYS: &[KeySchema] = &[
    key(
        "name",
        ValueKind::Name,
        Required,
        RestartToRemove,
        Named("settings.customers[].name"),
        "Name of the tenant, as requests carry it.",
    ),
    key(
        "quota",
        ValueKind::Positive(1e9),
        Required,
        Reload,
        Named("settings.customers[].quota_rps"),
        "Requests per second over all proxies that count with their full `worth`.",
    ),
];
