//! Keys of the process: its place among the proxies, listeners, limits, the objective, the store of record, the control
//! socket.

use super::define::*;
use super::types::Default::{Else, Is, Must};
use super::types::Platform::{Adds, Fixed, Says};
use super::types::When::{Reload, Restart};
use super::types::{Key, Kind};

/// Proxies that may share the work. Nothing is kept for each, as the number is a divisor only: the bound catches a slip
/// of the pen.
const MAX_PROXIES: u64 = 100_000;

pub(super) const PROXY_KEYS: &[Key] = &[
    key("name", Kind::Name, Is("\"shaletide\""), Restart, Says("name"), "Its name, for logs."),
    key("zone", Kind::NameOrEmpty, Is("\"\""), Restart, Says("settings.my_zone"), "Its own zone."),
    key(
        "proxies",
        Kind::Count(1, MAX_PROXIES),
        Is("1"),
        Restart,
        Says("settings.group_size"),
        "How many proxies share the work, this one included.",
    ),
    key(
        "position",
        Kind::Count(0, MAX_PROXIES - 1),
        Is("0"),
        Restart,
        Says("settings.position"),
        "Which of them this one is, from 0; less than `proxies`. No two may have the same.",
    ),
    key(
        "seed",
        Kind::Hex,
        Else("drawn at start"),
        Restart,
        Says("seed"),
        "The seed of its dice, so that a run can be repeated.",
    ),
];

pub(super) const LISTENER_KEYS: &[Key] = &[key(
    "address",
    Kind::Address,
    Must,
    Restart,
    Says("listen"),
    "Where it listens. `0.0.0.0` stands for all of the machine's addresses. One that is in use is waited for, 10 s at most.",
)];

pub(super) const LIMITS_KEYS: &[Key] = &[
    key(
        "descriptors",
        Kind::Count(128, 1_000_000),
        Is("1024"),
        Restart,
        Says("limits.sockets"),
        "File descriptors that the process may use. Each client and each connection to a box takes one.",
    ),
    key(
        "max_attempts",
        Kind::Count(1, 16),
        Is("3"),
        Reload,
        Says("settings.limits.max_attempts"),
        "How often a request is sent at most, the first time included.",
    ),
    key(
        "second_copies",
        Kind::Flag,
        Is("true"),
        Reload,
        Says("settings.limits.parallel_tries"),
        "Whether a second attempt may start while the first is still out. Never for unsafe classes.",
    ),
    key(
        "cancel",
        Kind::Flag,
        Is("true"),
        Reload,
        Says("settings.limits.cancel"),
        "Whether an attempt that is no longer needed is withdrawn.",
    ),
    key(
        "connect_timeout",
        Kind::Span(MS, 60 * S),
        Is("\"300ms\""),
        Reload,
        Says("settings.limits.dial_timeout_us"),
        "A connection to a box that is not up by then has failed.",
    ),
    key(
        "idle_timeout",
        Kind::Span(MS, HOUR),
        Is("\"60s\""),
        Reload,
        Says("settings.limits.conn_idle_us"),
        "Boxes close connections that were idle for so long; the proxy uses none that is near it.",
    ),
    key(
        "max_retry_after",
        Kind::Span(MS, HOUR),
        Is("\"2s\""),
        Reload,
        Says("settings.limits.max_retry_after_us"),
        "The longest advice (`Retry-After`) given to a client that is refused.",
    ),
    key(
        "tick",
        Kind::Span(100, S),
        Is("\"1ms\""),
        Reload,
        Says("settings.granularity_us"),
        "The least time between two rounds of decisions.",
    ),
    key(
        "answer_stall",
        Kind::Span(MS, 60 * S),
        Else("no such bound"),
        Reload,
        Adds,
        "An answer that has begun and is not whole after so long is spoilt.",
    ),
    key(
        "head_timeout",
        Kind::Span(MS, 60 * S),
        Is("\"2100ms\""),
        Reload,
        Adds,
        "A request's head is whole after this, or its connection is closed.",
    ),
    key(
        "body_timeout",
        Kind::Span(MS, 60 * S),
        Is("\"700ms\""),
        Reload,
        Adds,
        "A request's body is whole after this, or the request is refused.",
    ),
    key(
        "body_rate",
        Kind::Size(1, MIB),
        Is("\"1KiB\""),
        Reload,
        Adds,
        "A body that comes more slowly than so many bytes a second is not waited for any longer: 408.",
    ),
    key(
        "body_grace",
        Kind::Span(MS, 60 * S),
        Is("\"500ms\""),
        Reload,
        Adds,
        "... but for so long, at its beginning or after it has kept to the rate.",
    ),
    key(
        "held_bodies",
        Kind::Size(64 * KIB, GIB),
        Is("\"8MiB\""),
        Reload,
        Adds,
        "What bodies that are coming, and those of requests that have no answer yet, may hold together.",
    ),
    key(
        "max_body",
        Kind::Size(KIB, 64 * KIB),
        Is("\"64KiB\""),
        Reload,
        Fixed,
        "The longest body of a request or an answer.",
    ),
];

pub(super) const RULES_KEYS: &[Key] = &[
    key(
        "cold_from",
        Kind::Number(0.0, 1.0),
        Is("0.3"),
        Reload,
        Says("settings.rules.cold_from"),
        "The part of its capacity that a box has at least when it boots.",
    ),
    key(
        "ramp",
        Kind::Span(MS, HOUR),
        Is("\"10s\""),
        Reload,
        Says("settings.rules.ramp_time_us"),
        "A box that has booted is warm after this at most.",
    ),
    key(
        "fall_multiple",
        Kind::Positive(1000.0),
        Is("3.0"),
        Reload,
        Says("settings.rules.fall_multiple"),
        "A cold box that is sent more than this multiple of its present capacity ...",
    ),
    key(
        "fall_window",
        Kind::Span(MS, HOUR),
        Is("\"1s\""),
        Reload,
        Says("settings.rules.tip_after_us"),
        "... over this time falls over.",
    ),
    key(
        "drain_grace",
        Kind::Span(0, HOUR),
        Is("\"2s\""),
        Reload,
        Says("settings.rules.stop_sending_within_us"),
        "Nothing new goes to a box later than this after the news that it drains. The proxy stops at once; \
         the figure is for its checks, and for how often an agent is asked.",
    ),
];

pub(super) const GOAL_KEYS: &[Key] = &[
    key(
        "whole",
        Kind::Number(0.0, 1.0),
        Is("0.7"),
        Reload,
        Says("settings.blend.whole"),
        "The weight of the whole of the traffic.",
    ),
    key(
        "worst_class",
        Kind::Number(0.0, 1.0),
        Is("0.3"),
        Reload,
        Says("settings.blend.worst_class"),
        "The weight of the class that is served worst.",
    ),
    key(
        "cross_zone_cost",
        Kind::Number(0.0, 1000.0),
        Is("0.0"),
        Reload,
        Says("settings.costs.cross_zone"),
        "What it costs when every request crosses from one zone to another once.",
    ),
    key(
        "over_quota_worth",
        Kind::Number(0.0, 1.0),
        Is("0.1"),
        Reload,
        Says("settings.over_share_worth"),
        "What a request past its tenant's quota is worth, as a part of its class's worth.",
    ),
];

pub(super) const RECORD_KEYS: &[Key] = &[
    key(
        "path",
        Kind::File(4_096),
        Must,
        Restart,
        Fixed,
        "The file; its folder must be there, and hold others beside it that begin with the same name.",
    ),
    key(
        "keep",
        Kind::Span(HOUR, 3_650 * 24 * HOUR),
        Is("\"30d\""),
        Reload,
        Fixed,
        "How long the key of a request that was served is remembered. One in flight or in doubt always is.",
    ),
    key(
        "wait",
        Kind::Span(MS, 10 * S),
        Is("\"50ms\""),
        Reload,
        Fixed,
        "How long a request waits until it is durable that it is about to be sent; it is refused after that. \
         Less than the deadline of each class that has `record` \"permit\".",
    ),
    key(
        "retry_after",
        Kind::Span(MS, HOUR),
        Is("\"1s\""),
        Reload,
        Fixed,
        "The advice (`Retry-After`) to a client that is refused, where nothing better is known.",
    ),
];

pub(super) const CONTROL_KEYS: &[Key] = &[key(
    "socket",
    Kind::File(107),
    Must,
    Restart,
    Fixed,
    "The Unix socket; it is made at the start with mode 0600.",
)];
