//! The parts of a small model and the bounds on what may happen in it.

use shaletide_engine::monitor::Rules;
use shaletide_engine::ConnectionLimits;
use shaletide_types::*;

/// The unit of time of all models, 1 ms: the engine scans its idle connections no more often than that.
pub const TICK: Micros = Micros(1_000);

/// Returns the duration of `count` ticks.
pub const fn ticks(count: u64) -> Micros {
    Micros(count * TICK.0)
}

/// The initial state of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// The number of its pool.
    pub pool: u32,
    /// The number of its deduplication group: the backends of a group share their idempotency keys.
    pub group: u64,
    /// Whether the endpoint list contains it from the start. Otherwise it is added later, as a replacement under a name of
    /// its own.
    pub initially_listed: bool,
}

/// The properties of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// Whether and where the request may be executed again.
    pub idempotency: Idempotency,
    /// The time until its deadline on arrival, in ticks.
    pub time_left: u64,
    /// Whether an attempt may be sent only after its intent is durable.
    pub requires_intent: bool,
    /// The number of its class, for policies that use it.
    pub class: usize,
}

/// The number of times that each kind of external event may still occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EventBudget {
    /// A backend starts to drain.
    pub drains: u8,
    /// A backend is removed from the endpoint list.
    pub removals: u8,
    /// A backend that is draining or gone becomes ready again under the same name.
    pub returns: u8,
    /// A snapshot of the endpoint list arrives, complete or without one backend.
    pub snapshots: u8,
    /// The subscription is lost; only a snapshot can follow.
    pub subscription_losses: u8,
    /// A backend changes its address and keeps its name.
    pub address_changes: u8,
    /// A backend is listed in another deduplication group.
    pub group_changes: u8,
    /// A backend moves to another pool.
    pub pool_moves: u8,
    /// A pool is closed.
    pub pool_closes: u8,
    /// A client disconnects.
    pub disconnects: u8,
    /// SIGTERM: no request arrives from then on.
    pub stops: u8,
}

/// The events that may occur on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEvents {
    /// Responses after which the connection may be reused.
    pub reusable: bool,
    /// Responses that are followed by excess bytes.
    pub excess_bytes: bool,
    /// Connections that prove unusable when a request is to be written to them.
    pub unusable: bool,
    /// Responses that arrive before the last byte of the request is written.
    pub early_responses: bool,
    /// Events that the engine handles like others: an invalid response (like a closed connection), a failed connect for
    /// which the backend is not at fault, and policy actions that the engine rejects, because the request is finished or
    /// the attempt number is wrong.
    pub equivalent_events: bool,
}

/// A model and its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The name that the command line uses.
    pub name: String,
    /// The backends, by number.
    pub backends: Vec<BackendSpec>,
    /// The requests, by number; each may arrive at any time.
    pub requests: Vec<RequestKind>,
    /// Whether all requests arrive before the first transition.
    pub requests_at_start: bool,
    /// The limits of the connection pool.
    pub connection_limits: ConnectionLimits,
    /// Whether attempts in flight may be cancelled.
    pub can_cancel: bool,
    /// Whether all backends belong to one deduplication domain: a keyed request of scope `all` may then be rejected
    /// although it may have been executed.
    pub single_domain: bool,
    /// The maximum number of attempts of one request in flight at once; the number of consecutive attempts is unbounded.
    pub max_in_flight_per_request: usize,
    /// The maximum number of attempts in flight at once over all requests.
    pub max_in_flight: usize,
    /// The external events that may occur.
    pub event_budget: EventBudget,
    /// The events that may occur on connections.
    pub connection_events: ConnectionEvents,
    /// Whether the chooser may require that an attempt writes its first byte before the next tick.
    pub bounds_first_byte: bool,
    /// The maximum delay, in ticks, with which the shell wakes the engine.
    pub max_wake_delay: u64,
    /// Whether time stands still while a connection is being closed.
    pub prompt_closes: bool,
    /// Whether the chooser requests policy actions. Otherwise the engine's own policy does.
    pub chooser_acts: bool,
}

impl Model {
    /// Returns the number of pools.
    pub fn pools(&self) -> u8 {
        self.backends.iter().map(|b| b.pool as u8 + 1).max().unwrap_or(1)
    }

    /// Returns whether connections may be reused. Otherwise an idle connection is closed at once.
    pub fn reuses(&self) -> bool {
        self.connection_limits.idle_timeout > Micros(0)
    }

    /// Returns the limits that the monitors apply.
    pub fn rules(&self) -> Rules {
        Rules {
            drain_grace: Micros(0),
            answer_slack: ticks(self.max_wake_delay),
            reuse_delay: self.connection_limits.reuse_delay,
            cancellation: self.can_cancel,
            has_only_one_deduplication_domain: self.single_domain,
        }
    }

    /// Returns the bounds as one line of text.
    pub fn bounds(&self) -> String {
        let counted =
            |n: usize, what: &str, plural: &str| format!("{n} {}", if n == 1 { what } else { plural });
        let mut parts = vec![
            counted(self.backends.len(), "box", "boxes"),
            format!("{} ({})", counted(self.requests.len(), "request", "requests"), self.request_kinds()),
            format!("{}/{} out at once", self.max_in_flight_per_request, self.max_in_flight),
        ];
        let n = &self.event_budget;
        let each = [
            (n.drains, "drain", "drains"),
            (n.removals, "gone", "gone"),
            (n.returns, "return", "returns"),
            (n.snapshots, "whole list", "whole lists"),
            (n.subscription_losses, "loss", "losses"),
            (n.address_changes, "new address", "new addresses"),
            (n.group_changes, "new cell", "new cells"),
            (n.pool_moves, "move", "moves"),
            (n.pool_closes, "pool closed", "pools closed"),
            (n.disconnects, "leave", "leaves"),
            (n.stops, "SIGTERM", "SIGTERM"),
        ];
        parts.extend(
            each.iter()
                .filter(|e| e.0 > 0)
                .map(|(n, singular, plural)| counted(usize::from(*n), singular, plural)),
        );
        let flags = [
            (self.reuses(), "reuse"),
            (self.max_wake_delay > 0, "late wakes"),
            (self.prompt_closes, "prompt closes"),
            (!self.can_cancel, "no calling back"),
            (self.single_domain, "one realm"),
            (self.bounds_first_byte, "first bytes bounded"),
            (self.requests_at_start, "all there at once"),
        ];
        parts.extend(flags.iter().filter(|f| f.0).map(|f| f.1.to_string()));
        parts.join(", ")
    }

    fn request_kinds(&self) -> String {
        let name = |k: &RequestKind| match k.idempotency {
            Idempotency::Safe => "free",
            Idempotency::Keyed(..) => "keyed",
            Idempotency::NonIdempotent => "unsafe",
        };
        let intent_mark = |k: &RequestKind| if k.requires_intent { "+permit" } else { "" };
        let each: Vec<String> =
            self.requests.iter().map(|k| format!("{}{} {}t", name(k), intent_mark(k), k.time_left)).collect();
        each.join(", ")
    }

    /// Returns the symmetries of the model: the permutations of requests and backends that map every request to one
    /// with the same properties, and every backend to one of the same pool that is equally listed or not at the start.
    pub fn symmetries(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        let requests = permutations(self.requests.len(), |a, b| self.requests[a] == self.requests[b]);
        let backends = permutations(self.backends.len(), |a, b| {
            (self.backends[a].pool, self.backends[a].initially_listed)
                == (self.backends[b].pool, self.backends[b].initially_listed)
        });
        let all = requests.iter().flat_map(|r| backends.iter().map(move |b| (r.clone(), b.clone())));
        all.collect()
    }
}

/// Returns the permutations of `0..count` that map each position to a number for which `is_alike(number, position)` is
/// true.
fn permutations(count: usize, is_alike: impl Fn(usize, usize) -> bool) -> Vec<Vec<u8>> {
    let mut done = vec![Vec::new()];
    for position in 0..count {
        let mut next = Vec::new();
        for permutation in &done {
            for candidate in (0..count).filter(|candidate| {
                is_alike(*candidate, position) && !permutation.contains(&(*candidate as u8))
            }) {
                let mut extended: Vec<u8> = permutation.clone();
                extended.push(candidate as u8);
                next.push(extended);
            }
        }
        done = next;
    }
    done
}
