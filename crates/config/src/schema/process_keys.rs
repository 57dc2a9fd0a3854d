//! Schema of the process's keys: its position among the proxies, listeners, limits, the objective, the store of record
//! and the control socket.

use super::define::*;
use super::types::DefaultValue::{Described, Required, Value};
use super::types::NodeConfigKey::{Extends, Fixed, Named};
use super::types::TakesEffect::{Reload, Restart};
use super::types::{KeySchema, ValueKind};

/// Maximum number of proxies. The number is only a divisor and no state is kept per proxy, so the bound serves only to
/// catch typing errors.
const MAX_PROXIES: u64 = 100_000;

pub(super) const PROXY_KEYS: &[KeySchema] = &[
    key(
        "name",
        ValueKind::Name,
        Value("\"shaletide\""),
        Restart,
        Named("name"),
        "Name of the proxy in logs.",
    ),
    key(
        "zone",
        ValueKind::NameOrEmpty,
        Value("\"\""),
        Restart,
        Named("settings.my_zone"),
        "Zone of the proxy.",
    ),
    key(
        "proxies",
        ValueKind::Integer(1, MAX_PROXIES),
        Value("1"),
        Restart,
        Named("settings.group_size"),
        "Number of proxies that share the traffic, including this one.",
    ),
    key(
        "position",
        ValueKind::Integer(0, MAX_PROXIES - 1),
        Value("0"),
        Restart,
        Named("settings.position"),
        "Index of this proxy among them, from 0; less than `proxies`. It must be different for each proxy.",
    ),
    key(
        "seed",
        ValueKind::Hex,
        Described("drawn at random at start"),
        Restart,
        Named("seed"),
        "Seed of the random number generator, to make a run repeatable.",
    ),
];

pub(super) const LISTENER_KEYS: &[KeySchema] = &[key(
    "address",
    ValueKind::Address,
    Required,
    Restart,
    Named("listen"),
    "Address to listen on. `0.0.0.0` means all addresses of the machine. If it is in use, the proxy waits for it for up to \
     10 s.",
)];

pub(super) const LIMITS_KEYS: &[KeySchema] = &[
    key(
        "descriptors",
        ValueKind::Integer(128, 1_000_000),
        Value("1024"),
        Restart,
        Named("limits.sockets"),
        "Maximum number of file descriptors. Each client and each connection to a backend takes one.",
    ),
    key(
        "max_attempts",
        ValueKind::Integer(1, 16),
        Value("3"),
        Reload,
        Named("settings.limits.max_attempts"),
        "Maximum number of attempts of a request, including the first.",
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
        "Time after which a connection attempt to a backend has failed.",
    ),
    key(
        "idle_timeout",
        ValueKind::Duration(MS, HOUR),
        Value("\"60s\""),
        Reload,
        Named("settings.limits.conn_idle_us"),
        "Time after which backends close an idle connection; the proxy does not use a connection that is close to it.",
    ),
    key(
        "max_retry_after",
        ValueKind::Duration(MS, HOUR),
        Value("\"2s\""),
        Reload,
        Named("settings.limits.max_retry_after_us"),
        "Maximum `Retry-After` sent to a client whose request is rejected.",
    ),
    key(
        "tick",
        ValueKind::Duration(100, S),
        Value("\"1ms\""),
        Reload,
        Named("settings.granularity_us"),
        "Minimum time between two rounds of decisions.",
    ),
    key(
        "answer_stall",
        ValueKind::Duration(MS, 60 * S),
        Described("no limit"),
        Reload,
        Extends,
        "Maximum time for a response that has begun to be complete. After it the response is invalid and the attempt has \
         failed.",
    ),
    key(
        "head_timeout",
        ValueKind::Duration(MS, 60 * S),
        Value("\"2100ms\""),
        Reload,
        Extends,
        "Maximum time until the head of a request is complete. After it the connection is closed.",
    ),
    key(
        "body_timeout",
        ValueKind::Duration(MS, 60 * S),
        Value("\"700ms\""),
        Reload,
        Extends,
        "Maximum time until the body of a request is complete. After it the request is rejected.",
    ),
    key(
        "body_rate",
        ValueKind::Size(1, MIB),
        Value("\"1KiB\""),
        Reload,
        Extends,
        "Minimum rate of a request body, in bytes per second. A request with a slower body is answered with 408.",
    ),
    key(
        "body_grace",
        ValueKind::Duration(MS, 60 * S),
        Value("\"500ms\""),
        Reload,
        Extends,
        "Time for which a body may stay below `body_rate`, at its beginning and after each time it has kept to the rate.",
    ),
    key(
        "held_bodies",
        ValueKind::Size(64 * KIB, GIB),
        Value("\"8MiB\""),
        Reload,
        Extends,
        "Maximum total size of the bodies being received and the bodies of requests without a response yet.",
    ),
    key(
        "max_body",
        ValueKind::Size(KIB, 64 * KIB),
        Value("\"64KiB\""),
        Reload,
        Fixed,
        "Maximum size of the body of a request or a response.",
    ),
];

pub(super) const RULES_KEYS: &[KeySchema] = &[
    key(
        "cold_from",
        ValueKind::Number(0.0, 1.0),
        Value("0.3"),
        Reload,
        Named("settings.rules.cold_from"),
        "Minimum capacity of a backend that has just started, as a fraction of its full capacity.",
    ),
    key(
        "ramp",
        ValueKind::Duration(MS, HOUR),
        Value("\"10s\""),
        Reload,
        Named("settings.rules.ramp_time_us"),
        "Slow start: maximum time until a backend that has started reaches its full capacity.",
    ),
    key(
        "fall_multiple",
        ValueKind::Positive(1000.0),
        Value("3.0"),
        Reload,
        Named("settings.rules.fall_multiple"),
        "A backend in slow start is assumed to become overloaded if it is sent more than this multiple of its current \
         capacity over `fall_window`.",
    ),
    key(
        "fall_window",
        ValueKind::Duration(MS, HOUR),
        Value("\"1s\""),
        Reload,
        Named("settings.rules.tip_after_us"),
        "The time over which `fall_multiple` applies.",
    ),
    key(
        "drain_grace",
        ValueKind::Duration(0, HOUR),
        Value("\"2s\""),
        Reload,
        Named("settings.rules.stop_sending_within_us"),
        "Time after a list reports a backend as draining beyond which no new attempt may go to it. The proxy stops \
         sending at once; the value is used for its checks and for how often discovery is polled.",
    ),
];

pub(super) const GOAL_KEYS: &[KeySchema] = &[
    key(
        "whole",
        ValueKind::Number(0.0, 1.0),
        Value("0.7"),
        Reload,
        Named("settings.blend.whole"),
        "Weight of the total traffic in the objective.",
    ),
    key(
        "worst_class",
        ValueKind::Number(0.0, 1.0),
        Value("0.3"),
        Reload,
        Named("settings.blend.worst_class"),
        "Weight of the class that is served worst in the objective.",
    ),
    key(
        "cross_zone_cost",
        ValueKind::Number(0.0, 1000.0),
        Value("0.0"),
        Reload,
        Named("settings.costs.cross_zone"),
        "Cost if every request crosses from one zone to another once.",
    ),
    key(
        "over_quota_worth",
        ValueKind::Number(0.0, 1.0),
        Value("0.1"),
        Reload,
        Named("settings.over_share_worth"),
        "Priority weight of a request beyond its tenant's quota, as a fraction of its class's `worth`.",
    ),
];

pub(super) const RECORD_KEYS: &[KeySchema] = &[
    key(
        "path",
        ValueKind::FilePath(4_096),
        Required,
        Restart,
        Fixed,
        "The file. Its folder must exist; further files whose names begin with the same name are created beside it.",
    ),
    key(
        "keep",
        ValueKind::Duration(HOUR, 3_650 * 24 * HOUR),
        Value("\"30d\""),
        Reload,
        Fixed,
        "Time for which the key of a served request is kept. The key of a request in flight or in doubt is always kept.",
    ),
    key(
        "wait",
        ValueKind::Duration(MS, 10 * S),
        Value("\"50ms\""),
        Reload,
        Fixed,
        "Maximum time that a request waits for its intent to be durable; after it the request is rejected. Less \
         than the deadline of each class with `record` \"permit\".",
    ),
    key(
        "retry_after",
        ValueKind::Duration(MS, HOUR),
        Value("\"1s\""),
        Reload,
        Fixed,
        "`Retry-After` of a rejection if no better estimate is known.",
    ),
];

pub(super) const CONTROL_KEYS: &[KeySchema] = &[key(
    "socket",
    ValueKind::FilePath(107),
    Required,
    Restart,
    Fixed,
    "Path of the Unix socket; it is created at start with mode 0600.",
)];
