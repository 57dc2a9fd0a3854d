//! The sections of the file and the inline tables in their values.

use super::define::{inline, list, table};
use super::process_keys::*;
use super::request_keys::*;
use super::routing_keys::*;
use super::types::SectionSchema;

/// The sections of the file, in the order of the operators' page.
pub static SECTIONS: &[SectionSchema] = &[
    table("proxy", "This proxy and its position among the proxies that share the traffic.", PROXY_KEYS),
    list("listener", true, Some("listen"), "An address on which the proxy accepts clients.", LISTENER_KEYS),
    table("limits", "Limits on resources, attempts and waiting times.", LIMITS_KEYS),
    table("rules", "Rules for backends that have just started and for draining backends.", RULES_KEYS),
    table("goal", "The objective that the balancer optimizes.", GOAL_KEYS),
    table(
        "request",
        "Where a request carries its class, tenant, key and other attributes. Without this section the platform's format \
         applies.",
        REQUEST_KEYS,
    ),
    list("class", true, Some("settings.profiles"), "A class of requests.", CLASS_KEYS),
    list("tenant", false, Some("settings.customers"), "A tenant.", TENANT_KEYS),
    list("pool", true, None, "A pool of backends for use in routes. At most 64.", POOL_KEYS),
    table("answers", "How responses of backends are classified, for routes without their own `answers`.", RESPONSES_KEYS),
    table(
        "record",
        "The store of record: a file that records what the proxy knew and did, and the keys that it does not send twice. \
         Without this section nothing is recorded. `docs/record.md` describes its guarantees.",
        RECORD_KEYS,
    ),
    table(
        "control",
        "The socket for operators' commands to the running program. Without this section there is none.",
        CONTROL_KEYS,
    ),
    list(
        "route",
        false,
        None,
        "Which requests go to which pools: the first route that matches a request handles it. Without any route \
         there is one named `default` that leads all requests to all pools in the order of the file. At most 1000.",
        ROUTE_KEYS,
    ),
];

/// A backend in the list of a pool, in long form.
pub static BACKEND: SectionSchema = inline(
    "pool.boxes",
    "A backend. The short form is the address alone, in quotes. At most 10000.",
    BACKEND_KEYS,
);
/// The part of a request that carries an attribute.
pub static ATTRIBUTE_SOURCE: SectionSchema = inline(
    "place",
    "The part of a request that carries an attribute: exactly one of the two keys.",
    ATTRIBUTE_SOURCE_KEYS,
);
/// A response that proves that a request was not executed.
pub static NOT_EXECUTED_PROOF: SectionSchema = inline(
    "answers.never_ran",
    "A response that proves that the request was not executed.",
    NOT_EXECUTED_PROOF_KEYS,
);
/// A header that a route requires.
pub static HEADER_MATCH: SectionSchema =
    inline("route.header", "A header that a request must have.", HEADER_MATCH_KEYS);
/// The response rules of one route.
pub static ROUTE_RESPONSES: SectionSchema = inline(
    "route.answers",
    "Same as `[answers]`, for one route. A key that is absent has its value from `[answers]`.",
    RESPONSES_KEYS,
);

/// Returns the section of that name.
pub fn section(name: &str) -> Option<&'static SectionSchema> {
    SECTIONS.iter().find(|s| s.name == name)
}
