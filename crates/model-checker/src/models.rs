//! The models that are explored, by name.

use crate::model::{ticks, BackendSpec, ConnectionEvents, EventBudget, Model, RequestKind};
use shaletide_engine::ConnectionLimits;
use shaletide_types::*;

/// A request that may be executed any number of times.
pub const SAFE: RequestKind =
    RequestKind { idempotency: Idempotency::Safe, time_left: 2, requires_intent: false, class: 0 };
/// A keyed request: its deduplication window may end before, at or after its deadline.
pub const KEYED: RequestKind = RequestKind {
    idempotency: Idempotency::Keyed(DeduplicationScope::Group, ticks(1)),
    time_left: 2,
    requires_intent: false,
    class: 1,
};
/// A request that must be executed at most once.
pub const NON_IDEMPOTENT: RequestKind =
    RequestKind { idempotency: Idempotency::NonIdempotent, time_left: 2, requires_intent: false, class: 2 };

/// Events on connections that are used once.
const SINGLE_USE: ConnectionEvents = ConnectionEvents {
    reusable: false,
    excess_bytes: false,
    unusable: false,
    early_responses: true,
    equivalent_events: false,
};
/// Events on connections that are used once, including those that the engine handles like others.
const SINGLE_USE_ALL_EVENTS: ConnectionEvents =
    ConnectionEvents { unusable: true, equivalent_events: true, ..SINGLE_USE };
/// Events on connections that are reused.
const REUSED: ConnectionEvents = ConnectionEvents {
    reusable: true,
    excess_bytes: true,
    unusable: true,
    early_responses: true,
    equivalent_events: false,
};
/// Limits for models that reuse connections: two connections, a short idle time-out and a reuse delay.
const REUSE_LIMITS: ConnectionLimits =
    ConnectionLimits { max_connections: 2, idle_timeout: ticks(3), reuse_delay: ticks(1) };

/// Returns a model of `backends` backends, each in its own deduplication group, spread over `pools` pools. The kinds of
/// the requests alternate. Connections are used once.
pub fn base_model(backends: usize, requests: usize, drains: u8, pools: u32) -> Model {
    let spec =
        |b: usize| BackendSpec { pool: b as u32 % pools.max(1), group: b as u64, initially_listed: true };
    Model {
        name: "custom".to_string(),
        backends: (0..backends).map(spec).collect(),
        requests: [SAFE, KEYED, NON_IDEMPOTENT].into_iter().cycle().take(requests).collect(),
        requests_at_start: false,
        connection_limits: ConnectionLimits {
            max_connections: 64,
            idle_timeout: Micros(0),
            reuse_delay: Micros(0),
        },
        can_cancel: true,
        single_domain: false,
        max_in_flight_per_request: 2,
        max_in_flight: 3,
        event_budget: EventBudget { drains, disconnects: 1, ..EventBudget::default() },
        connection_events: SINGLE_USE,
        bounds_first_byte: false,
        max_wake_delay: 0,
        prompt_closes: false,
        chooser_acts: true,
    }
}

/// The names of the models, each with a short description.
pub const MODELS: &[(&str, &str)] = &[
    ("race", "a time-out and a late response, in every order; all events that the engine handles alike"),
    ("edge", "a keyed request that is retried at the end of its window, inside its group and outside"),
    ("drain", "a drain between connect and first byte, one request of each kind"),
    ("returns", "two drains, a return under the same name and a replacement under a new one"),
    ("leaving", "clients that disconnect as their answers arrive"),
    (
        "late-connect",
        "connections that are established after their requests are finished, at the connection limit",
    ),
    ("settle", "two pools of one backend each; a non-idempotent request may have been executed in the first"),
    ("pools", "a backend that moves to the other pool, a pool that is closed, snapshots"),
    ("sigterm", "no new request is accepted, and open requests are answered"),
    ("lost", "a lost subscription, then a snapshot without one backend"),
    ("cells", "a backend that is listed in another group while attempts are in flight to it"),
    ("reuse", "reused connections: reuse delay, excess bytes, unusable connections, idle time-outs"),
    ("addresses", "a backend that changes its address, with connections to the old address"),
    ("permits", "the store persists the intent, rejects it, or answers too late"),
    ("late-wakes", "the shell wakes the engine late"),
    ("first-byte", "attempts with a bound on the time of their first byte"),
    ("left-alone", "attempts cannot be cancelled"),
    ("one-realm", "a key that all backends share, and rejections of requests that may have been executed"),
    ("three-out", "three attempts of one request in flight at once"),
    ("three", "two backends, three requests, one of each kind, one drain"),
];

/// Returns the model of that name.
pub fn model_by_name(name: &str) -> Option<Model> {
    let with_longer_deadline = |kind: RequestKind| RequestKind { time_left: 3, ..kind };
    let keyed_at_edge = RequestKind {
        idempotency: Idempotency::Keyed(DeduplicationScope::Group, ticks(2)),
        time_left: 3,
        ..KEYED
    };
    let with_requests =
        |requests: &[RequestKind], model: Model| Model { requests: requests.to_vec(), ..model };
    let one_request = |kind: RequestKind| {
        with_requests(&[kind], Model { connection_events: SINGLE_USE_ALL_EVENTS, ..base_model(2, 1, 1, 1) })
    };
    let two_requests = |a: RequestKind, b: RequestKind| with_requests(&[a, b], base_model(2, 2, 1, 1));
    let reusing = |a: RequestKind, b: RequestKind, connection_events: ConnectionEvents| {
        with_requests(
            &[a, b],
            Model {
                connection_events,
                connection_limits: REUSE_LIMITS,
                max_in_flight_per_request: 1,
                max_in_flight: 2,
                ..base_model(1, 2, 1, 1)
            },
        )
    };
    let backend_in = |group: u64| BackendSpec { pool: 0, group, initially_listed: true };
    let no_events = EventBudget::default();
    let model = match name {
        "race" => Model { backends: vec![backend_in(0)], ..one_request(with_longer_deadline(SAFE)) },
        "edge" => Model {
            backends: vec![backend_in(0), backend_in(0), backend_in(1)],
            ..one_request(keyed_at_edge)
        },
        "drain" => Model {
            max_in_flight_per_request: 1,
            requests_at_start: true,
            event_budget: EventBudget { drains: 1, disconnects: 1, ..no_events },
            ..base_model(2, 3, 1, 1)
        },
        "returns" => Model {
            backends: vec![backend_in(0), BackendSpec { initially_listed: false, ..backend_in(0) }],
            event_budget: EventBudget { drains: 2, removals: 1, returns: 2, disconnects: 1, ..no_events },
            ..one_request(keyed_at_edge)
        },
        "leaving" => {
            Model { event_budget: EventBudget { disconnects: 2, ..no_events }, ..two_requests(SAFE, KEYED) }
        }
        "late-connect" => Model {
            connection_limits: ConnectionLimits { max_connections: 2, ..REUSE_LIMITS },
            ..reusing(SAFE, NON_IDEMPOTENT, SINGLE_USE)
        },
        "settle" => with_requests(
            &[NON_IDEMPOTENT, KEYED],
            Model {
                requests_at_start: true,
                event_budget: EventBudget { drains: 1, removals: 1, disconnects: 1, ..no_events },
                ..base_model(2, 2, 1, 2)
            },
        ),
        "pools" => with_requests(
            &[SAFE, NON_IDEMPOTENT],
            Model {
                max_in_flight_per_request: 1,
                event_budget: EventBudget {
                    drains: 1,
                    snapshots: 1,
                    pool_moves: 1,
                    pool_closes: 1,
                    disconnects: 1,
                    ..no_events
                },
                ..base_model(2, 2, 1, 2)
            },
        ),
        "sigterm" => Model {
            event_budget: EventBudget { drains: 1, disconnects: 1, stops: 1, ..no_events },
            ..two_requests(SAFE, KEYED)
        },
        "lost" => {
            let event_budget =
                EventBudget { drains: 1, returns: 1, snapshots: 2, subscription_losses: 1, ..no_events };
            Model {
                event_budget,
                max_in_flight_per_request: 1,
                requests_at_start: true,
                ..two_requests(SAFE, NON_IDEMPOTENT)
            }
        }
        "cells" => Model {
            event_budget: EventBudget { group_changes: 1, drains: 1, ..no_events },
            ..one_request(keyed_at_edge)
        },
        "reuse" => reusing(SAFE, NON_IDEMPOTENT, REUSED),
        "addresses" => Model {
            event_budget: EventBudget { drains: 1, returns: 1, address_changes: 1, ..no_events },
            ..reusing(
                SAFE,
                NON_IDEMPOTENT,
                ConnectionEvents { excess_bytes: false, unusable: false, ..REUSED },
            )
        },
        "permits" => {
            let with_intent = |kind: RequestKind| RequestKind { requires_intent: true, ..kind };
            let event_budget = EventBudget { drains: 1, group_changes: 1, disconnects: 1, ..no_events };
            Model { event_budget, ..one_request(with_intent(KEYED)) }
        }
        "late-wakes" => Model {
            max_wake_delay: 1,
            ..two_requests(with_longer_deadline(SAFE), with_longer_deadline(NON_IDEMPOTENT))
        },
        "first-byte" => Model { bounds_first_byte: true, ..one_request(keyed_at_edge) },
        "left-alone" => Model {
            can_cancel: false,
            connection_events: SINGLE_USE_ALL_EVENTS,
            event_budget: EventBudget { drains: 1, group_changes: 1, disconnects: 1, ..no_events },
            ..two_requests(KEYED, NON_IDEMPOTENT)
        },
        "one-realm" => {
            let idempotency = Idempotency::Keyed(DeduplicationScope::All, ticks(2));
            Model { single_domain: true, ..one_request(RequestKind { idempotency, ..keyed_at_edge }) }
        }
        "three-out" => Model { max_in_flight_per_request: 3, max_in_flight: 3, ..one_request(keyed_at_edge) },
        "three" => Model { max_in_flight: 5, ..base_model(2, 3, 1, 1) },
        _ => return None,
    };
    Some(Model { name: name.to_string(), ..model })
}
