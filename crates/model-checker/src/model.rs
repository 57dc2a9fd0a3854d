//! What a small world consists of, and what may happen in it at most.

use shaletide_engine::monitor::Rules;
use shaletide_engine::ConnectionLimits;
use shaletide_types::*;

/// The unit of time of all worlds, 1 ms: the engine looks idle connections through no oftener.
pub const TICK: Micros = Micros(1_000);

/// So many ticks.
pub const fn ticks(count: u64) -> Micros {
    Micros(count * TICK.0)
}

/// A backend, as it is listed in the beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// Its pool.
    pub pool: u32,
    /// Its cell; keys are known inside one.
    pub group: u64,
    /// Its list has it from the beginning; else it comes later, as a successor does under a name of its own.
    pub initially_listed: bool,
}

/// A request to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// What a second run would do.
    pub idempotency: Idempotency,
    /// The time that its client gives it, in ticks.
    pub time_left: u64,
    /// It wants permits.
    pub requires_intent: bool,
    /// Its class, where a policy asks for it.
    pub class: usize,
}

/// How often each sort of news may come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EventBudget {
    /// A backend drains.
    pub drains: u8,
    /// An entry is taken off the list.
    pub removals: u8,
    /// A backend that drains or is gone is ready again under its name.
    pub returns: u8,
    /// A whole list that lacks a backend, or lacks none.
    pub snapshots: u8,
    /// The list is lost; nothing but a whole list comes after that.
    pub subscription_losses: u8,
    /// A backend listens at another address under its name.
    pub address_changes: u8,
    /// A backend is listed in another cell.
    pub group_changes: u8,
    /// A backend goes to the other pool.
    pub pool_moves: u8,
    /// A pool is closed.
    pub pool_closes: u8,
    /// A client leaves.
    pub disconnects: u8,
    /// SIGTERM: the front takes nothing new from then on.
    pub stops: u8,
}

/// What may come on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEvents {
    /// Answers after which the connection may be used again.
    pub reusable: bool,
    /// Answers with something behind them.
    pub excess_bytes: bool,
    /// Connections that turn out to be unfit when they are to be written to.
    pub unusable: bool,
    /// Answers before the last byte of the request has gone.
    pub early_responses: bool,
    /// Things that the engine answers alike: a spoilt answer beside an ended connection, a connect that fails
    /// without blame, a declined ask for what is over or under a wrong number.
    pub equivalent_events: bool,
}

/// A world and its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Its name on the command line.
    pub name: String,
    /// The backends.
    pub backends: Vec<BackendSpec>,
    /// The requests; each may come at any time.
    pub requests: Vec<RequestKind>,
    /// All requests are there from the beginning.
    pub requests_at_start: bool,
    /// How connections are kept.
    pub connection_limits: ConnectionLimits,
    /// Attempts may be called back.
    pub can_cancel: bool,
    /// All backends are of one realm: a keyed request of scope `all` may be refused though it ran.
    pub single_domain: bool,
    /// Attempts of one request that may be out at once; any number may follow one another.
    pub max_in_flight_per_request: usize,
    /// Attempts that may be out at once in all.
    pub max_in_flight: usize,
    /// What may happen besides.
    pub event_budget: EventBudget,
    /// What may come on connections.
    pub connection_events: ConnectionEvents,
    /// The chooser may bound an attempt's first byte to the next tick.
    pub bounds_first_byte: bool,
    /// The shell may wake the engine so many ticks late.
    pub max_wake_delay: u64,
    /// Time does not pass while a connection is being closed.
    pub prompt_closes: bool,
    /// The chooser asks; else the policy of the engine does by itself.
    pub chooser_acts: bool,
}

impl Model {
    /// How many pools it has.
    pub fn pools(&self) -> u8 {
        self.backends.iter().map(|b| b.pool as u8 + 1).max().unwrap_or(1)
    }

    /// Connections may be used again; else what is idle is nobody's.
    pub fn reuses(&self) -> bool {
        self.connection_limits.idle_timeout > Micros(0)
    }

    /// The measures of the monitors.
    pub fn rules(&self) -> Rules {
        Rules {
            drain_grace: Micros(0),
            answer_slack: ticks(self.max_wake_delay),
            reuse_delay: self.connection_limits.reuse_delay,
            cancellation: self.can_cancel,
            has_only_one_deduplication_domain: self.single_domain,
        }
    }

    /// The bounds in a line.
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
        let permit = |k: &RequestKind| if k.requires_intent { "+permit" } else { "" };
        let each: Vec<String> =
            self.requests.iter().map(|k| format!("{}{} {}t", name(k), permit(k), k.time_left)).collect();
        each.join(", ")
    }

    /// The orders in which its requests and backends may be named without making another world: all orders that
    /// put a request in the place of one like it, and a backend in the place of one of its pool.
    pub fn symmetries(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        let requests = orders(self.requests.len(), |a, b| self.requests[a] == self.requests[b]);
        let backends = orders(self.backends.len(), |a, b| {
            (self.backends[a].pool, self.backends[a].initially_listed)
                == (self.backends[b].pool, self.backends[b].initially_listed)
        });
        let all = requests.iter().flat_map(|r| backends.iter().map(move |b| (r.clone(), b.clone())));
        all.collect()
    }
}

/// All orders of so many things in which each place holds one that is like the one that has it by number.
fn orders(count: usize, is_alike: impl Fn(usize, usize) -> bool) -> Vec<Vec<u8>> {
    let mut done = vec![Vec::new()];
    for position in 0..count {
        let mut next = Vec::new();
        for order in &done {
            for candidate in (0..count)
                .filter(|candidate| is_alike(*candidate, position) && !order.contains(&(*candidate as u8)))
            {
                let mut longer: Vec<u8> = order.clone();
                longer.push(candidate as u8);
                next.push(longer);
            }
        }
        done = next;
    }
    done
}
