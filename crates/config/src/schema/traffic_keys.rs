//! Keys of the traffic: how a request is read, classes and tenants, pools and their backends, what responses mean, routes.

use super::define::{key, HOUR, MS};
use super::types::Default::{Else, Is, Must};
use super::types::Platform::{Adds, Fixed, Says};
use super::types::When::{Added, Reload, Restart};
use super::types::{Key, Kind};

pub(super) const REQUEST_KEYS: &[Key] = &[
    key("class", Kind::Place, Is("{ path = 1 }"), Reload, Fixed, "Where the class's name stands."),
    key(
        "otherwise",
        Kind::Name,
        Else("refused"),
        Reload,
        Fixed,
        "The class of a request in which that place is empty or names no class.",
    ),
    key(
        "tenant",
        Kind::Place,
        Is("{ header = \"X-Account\" }"),
        Reload,
        Fixed,
        "Where the tenant's name stands. A request that names none has none.",
    ),
    key(
        "key",
        Kind::Place,
        Is("{ header = \"Idempotency-Key\" }"),
        Reload,
        Fixed,
        "Where the key stands that keeps a keyed request from running twice.",
    ),
    key(
        "bay",
        Kind::Place,
        Else("none: no request is about a bay"),
        Reload,
        Adds,
        "Where the bay stands that the request is about, for routes.",
    ),
    key(
        "zone",
        Kind::Place,
        Else("the proxy's own zone"),
        Reload,
        Adds,
        "Where the zone stands that the request comes from, for routes.",
    ),
    key("id", Kind::Header, Is("\"X-Correlation-Id\""), Reload, Fixed, "The header that names the request."),
    key(
        "id_required",
        Kind::Flag,
        Is("false"),
        Reload,
        Fixed,
        "Whether a request without that header is refused; else it is given an id.",
    ),
    key(
        "time_left",
        Kind::Header,
        Is("\"X-Time-Left\""),
        Reload,
        Fixed,
        "The header with the seconds that the client will wait, at most the class's deadline.",
    ),
];

/// Parts of a path among which a class, a tenant or a key may stand.
pub(crate) const MAX_PATH_PART: u64 = 64;

pub(super) const PLACE_KEYS: &[Key] = &[
    key(
        "path",
        Kind::Count(1, MAX_PATH_PART),
        Else("`header` must be given"),
        Reload,
        Adds,
        "The part of the path of that number: in `/read/k7` part 1 is `read`. Read as it stands, not decoded.",
    ),
    key(
        "header",
        Kind::Header,
        Else("`path` must be given"),
        Reload,
        Adds,
        "The header of that name. A request in which it stands twice is refused.",
    ),
];

pub(super) const CLASS_KEYS: &[Key] = &[
    key("name", Kind::Name, Must, Added, Says("settings.profiles[].name"), "Its name, as requests give it."),
    key(
        "effect",
        Kind::Word(&["safe", "keyed", "unsafe"]),
        Is("\"safe\""),
        Restart,
        Says("settings.profiles[].effect"),
        "What a second run of a request would do. `safe`: nothing. `keyed`: nothing where the boxes drop \
         repeats of its key. `unsafe`: harm; it is sent again only when it is certain that it never ran.",
    ),
    key(
        "methods",
        Kind::Methods,
        Else("safe: GET and HEAD; keyed and unsafe: POST, PUT, PATCH and DELETE"),
        Reload,
        Fixed,
        "The methods that its requests may have; others are refused.",
    ),
    key(
        "aim",
        Kind::Span(MS, HOUR),
        Is("\"500ms\""),
        Reload,
        Says("settings.profiles[].aim_us"),
        "An answer within this time earns the full worth; at most `deadline`.",
    ),
    key(
        "deadline",
        Kind::Span(MS, HOUR),
        Is("\"2s\""),
        Reload,
        Says("settings.profiles[].deadline_us"),
        "How long a client waits at most.",
    ),
    key(
        "worth",
        Kind::Positive(1e6),
        Is("1.0"),
        Reload,
        Says("settings.profiles[].gain"),
        "What a request is worth against those of other classes.",
    ),
    key(
        "late_worth",
        Kind::Number(0.0, 1.0),
        Is("0.25"),
        Reload,
        Says("settings.profiles[].late_worth"),
        "The part of the worth left after the aim.",
    ),
    key(
        "aim_stretch",
        Kind::Number(0.0, 1000.0),
        Is("0.0"),
        Reload,
        Says("settings.profiles[].aim_stretch"),
        "The aim grows by this multiple of the request's work hint.",
    ),
    key(
        "key_scope",
        Kind::Word(&["all", "zone", "bay"]),
        Else("keyed: must be given; others: may not be"),
        Restart,
        Says("settings.profiles[].key_scope"),
        "Which boxes drop a key that one of them has seen: all of the pool, those of one zone, or those of one \
         bay.",
    ),
    key(
        "key_window",
        Kind::Span(MS, 24 * HOUR),
        Else("keyed: must be given; others: may not be"),
        Restart,
        Says("settings.profiles[].window_us"),
        "For how long after a key was first sent they drop it.",
    ),
    key(
        "record",
        Kind::Word(&["none", "facts", "permit"]),
        Else("unsafe, and `[record]` is there: \"permit\"; else \"none\""),
        Restart,
        Fixed,
        "What goes on record of its requests. `facts`: what was known and done, as far as the store keeps up. \
         `permit`: that too, and no attempt is sent before it is durable that it will be, and no key twice; \
         only for unsafe classes.",
    ),
    key(
        "without_key",
        Kind::Word(&["refuse", "record"]),
        Is("\"refuse\""),
        Restart,
        Fixed,
        "What becomes of a request that has no key: it is refused, or sent and recorded as one without. Only \
         with `record` \"permit\".",
    ),
];

pub(super) const TENANT_KEYS: &[Key] = &[
    key("name", Kind::Name, Must, Added, Says("settings.customers[].name"), "Its name, as requests give it."),
    key(
        "quota",
        Kind::Positive(1e9),
        Must,
        Reload,
        Says("settings.customers[].quota_rps"),
        "Requests a second, over all proxies, that earn their full worth.",
    ),
];

pub(super) const POOL_KEYS: &[Key] = &[
    key("name", Kind::Name, Must, Reload, Adds, "Its name, for routes and logs."),
    key(
        "boxes",
        Kind::Boxes,
        Else("`discovery` must be given"),
        Reload,
        Adds,
        "Its boxes; at least one. Exactly one of `boxes` and `discovery` stands.",
    ),
    key(
        "discovery",
        Kind::Address,
        Else("`boxes` must be given"),
        Reload,
        Adds,
        "Where the service listens that knows its boxes.",
    ),
    key(
        "discovery_mode",
        Kind::Word(&["push", "subscribe"]),
        Is("\"subscribe\""),
        Reload,
        Adds,
        "Whether changes come unasked, or only after each time the proxy asks. Only with `discovery`.",
    ),
    key(
        "must_ask_within",
        Kind::Span(100 * MS, HOUR),
        Is("\"9s\""),
        Reload,
        Adds,
        "A proxy that has not asked for so long counts as told. Only with `discovery_mode` \"subscribe\".",
    ),
    key(
        "repeat_group",
        Kind::Name,
        Else("the pool's own name"),
        Reload,
        Adds,
        "Pools of one repeat group share bays: a key repeated in the same bay of either is dropped.",
    ),
];

pub(super) const BOX_KEYS: &[Key] = &[
    key("address", Kind::Address, Must, Reload, Adds, "Where it listens. No address stands in a file twice."),
    key(
        "kind",
        Kind::Name,
        Is("\"box\""),
        Reload,
        Adds,
        "Its sort of machine: boxes of one kind are taken as equally fast.",
    ),
    key("zone", Kind::NameOrEmpty, Is("\"\""), Reload, Adds, "Its zone."),
    key(
        "bay",
        Kind::Bay,
        Else("a bay of its own"),
        Reload,
        Adds,
        "Boxes of one bay drop each other's repeated keys. `1` and \"1\" are the same bay.",
    ),
    key("cores", Kind::Count(1, 4096), Is("1"), Reload, Adds, "Its cores."),
    key(
        "state",
        Kind::Word(&["serving", "draining"]),
        Is("\"serving\""),
        Reload,
        Adds,
        "A draining box finishes what it has and gets nothing new.",
    ),
];

pub(super) const ANSWERS_KEYS: &[Key] = &[
    key(
        "served",
        Kind::Statuses,
        Is("[\"200-428\", 430, \"431-499\", 501, \"505-599\"]"),
        Reload,
        Adds,
        "The statuses that are the answer to the request and go to the client unchanged. All others are \
         errors. 429 and 503 are never among them: they tell a client that coming again does no harm.",
    ),
    key(
        "never_ran",
        Kind::Proofs,
        Is("[]"),
        Reload,
        Adds,
        "The answers that prove that the request has not run and never will, whatever `served` says. Such a \
         request may be sent again whatever its class.",
    ),
    key(
        "errors",
        Kind::Word(&["as_they_are", "own_words"]),
        Is("\"as_they_are\""),
        Reload,
        Adds,
        "What a client gets where the last attempt ended in an error: the box's answer, or the proxy's own \
         words. A 429 or 503 that proves nothing goes to a client of a safe class only: others get a 502.",
    ),
];

pub(super) const PROOF_KEYS: &[Key] = &[
    key("status", Kind::Count(200, 599), Must, Reload, Adds, "The answer's status ..."),
    key("header", Kind::Header, Must, Reload, Adds, "... and a header that it carries ..."),
    key("value", Kind::HeaderValue, Else("any value"), Reload, Adds, "... with this value."),
];

pub(super) const ROUTE_KEYS: &[Key] = &[
    key("name", Kind::Name, Must, Reload, Adds, "Its name, for logs."),
    key("class", Kind::Names, Else("any class"), Reload, Adds, "It takes requests of these classes."),
    key(
        "tenant",
        Kind::Names,
        Else("any tenant, or none"),
        Reload,
        Adds,
        "It takes requests of these tenants.",
    ),
    key("zone", Kind::Names, Else("any zone"), Reload, Adds, "It takes requests from these zones."),
    key("bay", Kind::Bays, Else("any bay, or none"), Reload, Adds, "It takes requests about these bays."),
    key(
        "path",
        Kind::Path,
        Else("any path"),
        Reload,
        Adds,
        "It takes requests for this path and all under it, by whole parts: `/read` takes `/read/k` and not \
         `/reader`.",
    ),
    key("method", Kind::Methods, Else("any method"), Reload, Adds, "It takes requests with these methods."),
    key(
        "header",
        Kind::Headers,
        Else("any headers"),
        Reload,
        Adds,
        "It takes requests that carry all of these headers.",
    ),
    key(
        "pools",
        Kind::Names,
        Must,
        Reload,
        Adds,
        "Where to: the pools in order of preference; at least one. Each pool is in some route.",
    ),
    key("answers", Kind::Answers, Else("as `[answers]`"), Reload, Adds, "What its boxes' answers mean."),
];

pub(super) const HEADER_KEYS: &[Key] = &[
    key("name", Kind::Header, Must, Reload, Adds, "Its name."),
    key("value", Kind::HeaderValue, Else("any value"), Reload, Adds, "Its value, letter for letter."),
];
