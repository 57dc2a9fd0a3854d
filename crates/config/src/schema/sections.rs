//! The sections of the file and the tables inside their values.

use super::define::{inline, list, table};
use super::process_keys::*;
use super::request_keys::*;
use super::routing_keys::*;
use super::types::SectionSchema;

/// The sections of the file, in the order of the page.
pub static SECTIONS: &[SectionSchema] = &[
    table("proxy", "This proxy among those that share the work.", PROXY_KEYS),
    list("listener", true, Some("listen"), "An address where clients are taken.", LISTENER_KEYS),
    table("limits", "What the proxy may use and how long it waits.", LIMITS_KEYS),
    table("rules", "Backends that have just started, and backends that drain.", RULES_KEYS),
    table("goal", "What counts as serving well.", GOAL_KEYS),
    table(
        "request",
        "How a request is read. Without this section: as the platform's requests.",
        REQUEST_KEYS,
    ),
    list("class", true, Some("settings.profiles"), "A sort of request.", CLASS_KEYS),
    list("tenant", false, Some("settings.customers"), "A customer.", TENANT_KEYS),
    list("pool", true, None, "Backends that a route may lead to. At most 64.", POOL_KEYS),
    table("answers", "What a backend's answer means, for routes that say nothing else.", RESPONSES_KEYS),
    table(
        "record",
        "The store of record: what the proxy knew and did, in a file, and the keys that it does not send twice. \
         Without this section: none. `docs/record.md` says what it promises.",
        RECORD_KEYS,
    ),
    table(
        "control",
        "Where operators' commands reach the running program. Without this section: nowhere.",
        CONTROL_KEYS,
    ),
    list(
        "route",
        false,
        None,
        "Which requests go to which pools: the first route that takes a request has it. Without any: one \
         named `default` that leads all requests to all pools in the file's order. At most 1000.",
        ROUTE_KEYS,
    ),
];

/// A backend in a pool's list, in its long form.
pub static BACKEND: SectionSchema = inline(
    "pool.boxes",
    "A backend. The short form is the address alone, in quotes. At most 10000.",
    BACKEND_KEYS,
);
/// A place in a request.
pub static ATTRIBUTE_SOURCE: SectionSchema =
    inline("place", "Where in a request something stands: one of the two.", ATTRIBUTE_SOURCE_KEYS);
/// What proves that a request was not executed.
pub static NOT_EXECUTED_PROOF: SectionSchema =
    inline("answers.never_ran", "An answer that proves this.", NOT_EXECUTED_PROOF_KEYS);
/// A header that a route asks for.
pub static HEADER_MATCH: SectionSchema =
    inline("route.header", "A header that a request must carry.", HEADER_MATCH_KEYS);
/// The answers of one route.
pub static ROUTE_RESPONSES: SectionSchema = inline(
    "route.answers",
    "As `[answers]`, for one route. A key that is absent is as there.",
    RESPONSES_KEYS,
);

/// The section of that name.
pub fn section(name: &str) -> Option<&'static SectionSchema> {
    SECTIONS.iter().find(|s| s.name == name)
}
