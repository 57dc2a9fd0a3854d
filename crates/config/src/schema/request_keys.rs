//! Keys of requests: how a request is read, classes and tenants.

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
        "Where the class's name stands.",
    ),
    key(
        "otherwise",
        ValueKind::Name,
        Described("refused"),
        Reload,
        Fixed,
        "The class of a request in which that place is empty or names no class.",
    ),
    key(
        "tenant",
        ValueKind::AttributeSource,
        Value("{ header = \"X-Account\" }"),
        Reload,
        Fixed,
        "Where the tenant's name stands. A request that names none has none.",
    ),
    key(
        "key",
        ValueKind::AttributeSource,
        Value("{ header = \"Idempotency-Key\" }"),
        Reload,
        Fixed,
        "Where the key stands that keeps a keyed request from running twice.",
    ),
    key(
        "bay",
        ValueKind::AttributeSource,
        Described("none: no request is about a bay"),
        Reload,
        Extends,
        "Where the bay stands that the request is about, for routes.",
    ),
    key(
        "zone",
        ValueKind::AttributeSource,
        Described("the proxy's own zone"),
        Reload,
        Extends,
        "Where the zone stands that the request comes from, for routes.",
    ),
    key(
        "id",
        ValueKind::Header,
        Value("\"X-Correlation-Id\""),
        Reload,
        Fixed,
        "The header that names the request.",
    ),
    key(
        "id_required",
        ValueKind::Flag,
        Value("false"),
        Reload,
        Fixed,
        "Whether a request without that header is refused; else it is given an id.",
    ),
    key(
        "time_left",
        ValueKind::Header,
        Value("\"X-Time-Left\""),
        Reload,
        Fixed,
        "The header with the seconds that the client will wait, at most the class's deadline.",
    ),
];

/// Parts of a path among which a class, a tenant or a key may stand.
pub(crate) const MAX_PATH_PART: u64 = 64;

pub(super) const ATTRIBUTE_SOURCE_KEYS: &[KeySchema] = &[
    key(
        "path",
        ValueKind::Integer(1, MAX_PATH_PART),
        Described("`header` must be given"),
        Reload,
        Extends,
        "The part of the path of that number: in `/read/k7` part 1 is `read`. Read as it stands, not decoded.",
    ),
    key(
        "header",
        ValueKind::Header,
        Described("`path` must be given"),
        Reload,
        Extends,
        "The header of that name. A request in which it stands twice is refused.",
    ),
];

pub(super) const CLASS_KEYS: &[KeySchema] = &[
    key("name", ValueKind::Name, Required, RestartToRemove, Named("settings.profiles[].name"), "Its name, as requests give it."),
    key(
        "effect",
        ValueKind::Choice(&["safe", "keyed", "unsafe"]),
        Value("\"safe\""),
        Restart,
        Named("settings.profiles[].effect"),
        "What a second run of a request would do. `safe`: nothing. `keyed`: nothing where the backends drop \
         repeats of its key. `unsafe`: harm; it is sent again only when it is certain that it never ran.",
    ),
    key(
        "methods",
        ValueKind::Methods,
        Described("safe: GET and HEAD; keyed and unsafe: POST, PUT, PATCH and DELETE"),
        Reload,
        Fixed,
        "The methods that its requests may have; others are refused.",
    ),
    key(
        "aim",
        ValueKind::Duration(MS, HOUR),
        Value("\"500ms\""),
        Reload,
        Named("settings.profiles[].aim_us"),
        "An answer within this time earns the full worth; at most `deadline`.",
    ),
    key(
        "deadline",
        ValueKind::Duration(MS, HOUR),
        Value("\"2s\""),
        Reload,
        Named("settings.profiles[].deadline_us"),
        "How long a client waits at most.",
    ),
    key(
        "worth",
        ValueKind::Positive(1e6),
        Value("1.0"),
        Reload,
        Named("settings.profiles[].gain"),
        "What a request is worth against those of other classes.",
    ),
    key(
        "late_worth",
        ValueKind::Number(0.0, 1.0),
        Value("0.25"),
        Reload,
        Named("settings.profiles[].late_worth"),
        "The part of the worth left after the aim.",
    ),
    key(
        "aim_stretch",
        ValueKind::Number(0.0, 1000.0),
        Value("0.0"),
        Reload,
        Named("settings.profiles[].aim_stretch"),
        "The aim grows by this multiple of the request's work hint.",
    ),
    key(
        "key_scope",
        ValueKind::Choice(&["all", "zone", "bay"]),
        Described("keyed: must be given; others: may not be"),
        Restart,
        Named("settings.profiles[].key_scope"),
        "Which backends drop a key that one of them has seen: all of the pool, those of one zone, or those of one \
         bay.",
    ),
    key(
        "key_window",
        ValueKind::Duration(MS, 24 * HOUR),
        Described("keyed: must be given; others: may not be"),
        Restart,
        Named("settings.profiles[].window_us"),
        "For how long after a key was first sent they drop it.",
    ),
    key(
        "record",
        ValueKind::Choice(&["none", "facts", "permit"]),
        Described("unsafe, and `[record]` is there: \"permit\"; else \"none\""),
        Restart,
        Fixed,
        "What goes on record of its requests. `facts`: what was known and done, as far as the store keeps up. \
         `permit`: that too, and no attempt is sent before it is durable that it will be, and no key twice; \
         only for unsafe classes.",
    ),
    key(
        "without_key",
        ValueKind::Choice(&["refuse", "record"]),
        Value("\"refuse\""),
        Restart,
        Fixed,
        "What becomes of a request that has no key: it is refused, or sent and recorded as one without. Only \
         with `record` \"permit\".",
    ),
];

pub(super) const TENANT_KEYS: &[KeySchema] = &[
    key(
        "name",
        ValueKind::Name,
        Required,
        RestartToRemove,
        Named("settings.customers[].name"),
        "Its name, as requests give it.",
    ),
    key(
        "quota",
        ValueKind::Positive(1e9),
        Required,
        Reload,
        Named("settings.customers[].quota_rps"),
        "Requests a second, over all proxies, that earn their full worth.",
    ),
];
