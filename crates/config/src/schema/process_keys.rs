//! Keys of the process: its place among the proxies, listeners, limits, the objective, the store of record, the control
//! socket.

use super::define::*;
use super::types::DefaultValue::{Described, Required, Value};
use super::types::NodeConfigKey::{Extends, Fixed, Named};
use super::types::TakesEffect::{Reload, Restart};
use super::types::{KeySchema, ValueKind};

/// Proxies that may share the work. Nothing is kept for each, as the number is a divisor only: the bound catches a slip
/// of the pen.
const MAX_PROXIES: u64 = 100_000;

pub(super) const PROXY_KEYS: &[KeySchema] = &[
    key("name", ValueKind::Name, Value("\"shaletide\""), Restart, Named("name"), "Its name, for logs."),
    key("zone", ValueKind::NameOrEmpty, Value("\"\""), Restart, Named("settings.my_zone"), "Its own zone."),
    key(
        "proxies",
        ValueKind::Integer(1, MAX_PROXIES),
        Value("1"),
        Restart,
        Named("settings.group_size"),
        "How many proxies share the work, this one included.",
    ),
    key(
        "position",
        ValueKind::Integer(0, MAX_PROXIES - 1),
        Value("0"),
        Restart,
        Named("settings.position"),
        "Which of them this one is, from 0; less than `proxies`. No two may have the same.",
    ),
    key(
        "seed",
        ValueKind::Hex,
        Described("drawn at start"),
        Restart,
        Named("seed"),
        "The seed of its random numbers, so that a run can be repeated.",
    ),
];

pub(super) const LISTENER_KEYS: &[KeySchema] = &[key(
    "address",
    ValueKind::Address,
    Required,
    Restart,
    Named("listen"),
    "Where it listens. `0.0.0.0` stands for all of the machine's addresses. One that is in use is waited for, 10 s at most.",
)];

pub(super) const LIMITS_KEYS: &[KeySchema] = &[
    key(
        "descriptors",
        ValueKind::Integer(128, 1_000_000),
        Value("1024"),
        Restart,
        Named("limits.sockets"),
        "File descriptors that the process may use. Each client and each connection to a backend takes one.",
    ),
    key(
        "max_attempts",
        ValueKind::Integer(1, 16),
        Value("3"),
        Reload,
        Named("settings.limits.max_attempts"),
        "Attempts of a request at most, the first included.",
    ),
    key(
        "second_copies",
        ValueKind::Flag,
        Value("true"),
        Reload,
        Named("settings.limits.parallel_tries"),
        "Whether a hedged attempt may start while the first is still in flight. Never for unsafe classes.",
    ),
    key(
        "cancel",
        ValueKind::Flag,
        Value("true"),
        Reload,
        Named("settings.limits.cancel"),
        "Whether an attempt that is no longer needed is cancelled.",
    ),
    key(
        "connect_timeout",
        ValueKind::Duration(MS, 60 * S),
        Value("\"300ms\""),
        Reload,
        Named("settings.limits.dial_timeout_us"),
        "A connection to a backend that is not up by then has failed.",
    ),
    key(
        "idle_timeout",
        ValueKind::Duration(MS, HOUR),
        Value("\"60s\""),
        Reload,
        Named("settings.limits.conn_idle_us"),
        "Backends close connections that were idle for so long; the proxy uses none that is near it.",
    ),
    key(
        "max_retry_after",
        ValueKind::Duration(MS, HOUR),
        Value("\"2s\""),
        Reload,
        Named("settings.limits.max_retry_after_us"),
        "The longest `Retry-After` sent to a client that is rejected.",
    ),
    key(
        "tick",
        ValueKind::Duration(100, S),
        Value("\"1ms\""),
        Reload,
        Named("settings.granularity_us"),
        "The least time between two rounds of decisions.",
    ),
    key(
        "answer_stall",
        ValueKind::Duration(MS, 60 * S),
        Described("no such bound"),
        Reload,
        Extends,
        "A response that has begun and is not complete after this is invalid; the attempt has failed.",
    ),
    key(
        "head_timeout",
        ValueKind::Duration(MS, 60 * S),
        Value("\"2100ms\""),
        Reload,
        Extends,
        "A request's head is complete within this, or its connection is closed.",
    ),
    key(
        "body_timeout",
        ValueKind::Duration(MS, 60 * S),
        Value("\"700ms\""),
        Reload,
        Extends,
        "A request's body is complete within this, or the request is rejected.",
    ),
    key(
        "body_rate",
        ValueKind::Size(1, MIB),
        Value("\"1KiB\""),
        Reload,
        Extends,
        "A body that comes more slowly than so many bytes a second is not waited for any longer: 408.",
    ),
    key(
        "body_grace",
        ValueKind::Duration(MS, 60 * S),
        Value("\"500ms\""),
        Reload,
        Extends,
        "... but for so long, at its beginning or after it has kept to the rate.",
    ),
    key(
        "held_bodies",
        ValueKind::Size(64 * KIB, GIB),
        Value("\"8MiB\""),
        Reload,
        Extends,
        "What bodies that are coming, and those of requests that have no answer yet, may hold together.",
    ),
    key(
        "max_body",
        ValueKind::Size(KIB, 64 * KIB),
        Value("\"64KiB\""),
        Reload,
        Fixed,
        "The longest body of a request or an answer.",
    ),
];

pub(super) const RULES_KEYS: &[KeySchema] = &[
    key(
        "cold_from",
        ValueKind::Number(0.0, 1.0),
        Value("0.3"),
        Reload,
        Named("settings.rules.cold_from"),
        "The part of its capacity that a backend has at least when it starts.",
    ),
    key(
        "ramp",
        ValueKind::Duration(MS, HOUR),
        Value("\"10s\""),
        Reload,
        Named("settings.rules.ramp_time_us"),
        "Slow start: a backend that has started is at full capacity after this at most.",
    ),
    key(
        "fall_multiple",
        ValueKind::Positive(1000.0),
        Value("3.0"),
        Reload,
        Named("settings.rules.fall_multiple"),
        "A cold backend that is sent more than this multiple of its present capacity ...",
    ),
    key(
        "fall_window",
        ValueKind::Duration(MS, HOUR),
        Value("\"1s\""),
        Reload,
        Named("settings.rules.tip_after_us"),
        "... over this time falls over.",
    ),
    key(
        "drain_grace",
        ValueKind::Duration(0, HOUR),
        Value("\"2s\""),
        Reload,
        Named("settings.rules.stop_sending_within_us"),
        "No new attempt goes to a backend later than this after the list says that it drains. The proxy stops at \
         once; the figure is for its checks, and for how often discovery is polled.",
    ),
];

pub(super) const GOAL_KEYS: &[KeySchema] = &[
    key(
        "whole",
        ValueKind::Number(0.0, 1.0),
        Value("0.7"),
        Reload,
        Named("settings.blend.whole"),
        "The weight of the whole of the traffic.",
    ),
    key(
        "worst_class",
        ValueKind::Number(0.0, 1.0),
        Value("0.3"),
        Reload,
        Named("settings.blend.worst_class"),
        "The weight of the class that is served worst.",
    ),
    key(
        "cross_zone_cost",
        ValueKind::Number(0.0, 1000.0),
        Value("0.0"),
        Reload,
        Named("settings.costs.cross_zone"),
        "What it costs when every request crosses from one zone to another once.",
    ),
    key(
        "over_quota_worth",
        ValueKind::Number(0.0, 1.0),
        Value("0.1"),
        Reload,
        Named("settings.over_share_worth"),
        "What a request past its tenant's quota is worth, as a part of its class's worth.",
    ),
];

pub(super) const RECORD_KEYS: &[KeySchema] = &[
    key(
        "path",
        ValueKind::FilePath(4_096),
        Required,
        Restart,
        Fixed,
        "The file; its folder must be there, and hold others beside it that begin with the same name.",
    ),
    key(
        "keep",
        ValueKind::Duration(HOUR, 3_650 * 24 * HOUR),
        Value("\"30d\""),
        Reload,
        Fixed,
        "How long the key of a request that was served is remembered. One in flight or in doubt always is.",
    ),
    key(
        "wait",
        ValueKind::Duration(MS, 10 * S),
        Value("\"50ms\""),
        Reload,
        Fixed,
        "How long a request waits until it is durable that it is about to be sent; it is refused after that. \
         Less than the deadline of each class that has `record` \"permit\".",
    ),
    key(
        "retry_after",
        ValueKind::Duration(MS, HOUR),
        Value("\"1s\""),
        Reload,
        Fixed,
        "The `Retry-After` of a rejection, where nothing better is known.",
    ),
];

pub(super) const CONTROL_KEYS: &[KeySchema] = &[key(
    "socket",
    ValueKind::FilePath(107),
    Required,
    Restart,
    Fixed,
    "The Unix socket; it is made at the start with mode 0600.",
)];
