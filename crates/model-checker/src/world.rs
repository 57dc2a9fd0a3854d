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
pub struct BoxSpec {
    /// Its pool.
    pub pool: u32,
    /// Its cell; keys are known inside one.
    pub cell: u64,
    /// Its list has it from the beginning; else it comes later, as a successor does under a name of its own.
    pub listed: bool,
}

/// A request to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// What a second run would do.
    pub effect: Idempotency,
    /// The time that its client gives it, in ticks.
    pub time_left: u64,
    /// It wants permits.
    pub permit: bool,
    /// Its class, where a policy asks for it.
    pub class: usize,
}

/// How often each sort of news may come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct News {
    /// A backend drains.
    pub drains: u8,
    /// An entry is taken off the list.
    pub gone: u8,
    /// A backend that drains or is gone is ready again under its name.
    pub returns: u8,
    /// A whole list that lacks a backend, or lacks none.
    pub wholes: u8,
    /// The list is lost; nothing but a whole list comes after that.
    pub losses: u8,
    /// A backend listens at another address under its name.
    pub readdressed: u8,
    /// A backend is listed in another cell.
    pub regrouped: u8,
    /// A backend goes to the other pool.
    pub moves: u8,
    /// A pool is closed.
    pub closes: u8,
    /// A client leaves.
    pub leaves: u8,
    /// SIGTERM: the front takes nothing new from then on.
    pub stops: u8,
}

/// What may come on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Traffic {
    /// Answers after which the connection may be used again.
    pub keeps: bool,
    /// Answers with something behind them.
    pub behind: bool,
    /// Connections that turn out to be unfit when they are to be written to.
    pub unfit: bool,
    /// Answers before the last byte of the request has gone.
    pub early: bool,
    /// Things that the engine answers alike: a spoilt answer beside an ended connection, a connect that fails
    /// without blame, a declined ask for what is over or under a wrong number.
    pub alike: bool,
}

/// A world and its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct World {
    /// Its name on the command line.
    pub name: String,
    /// The backends.
    pub boxes: Vec<BoxSpec>,
    /// The requests; each may come at any time.
    pub requests: Vec<Kind>,
    /// All requests are there from the beginning.
    pub at_once: bool,
    /// How connections are kept.
    pub keeping: ConnectionLimits,
    /// Attempts may be called back.
    pub cancel: bool,
    /// All backends are of one realm: a keyed request of scope `all` may be refused though it ran.
    pub one_realm: bool,
    /// Attempts of one request that may be out at once; any number may follow one another.
    pub out_each: usize,
    /// Attempts that may be out at once in all.
    pub out_all: usize,
    /// What may happen besides.
    pub news: News,
    /// What may come on connections.
    pub traffic: Traffic,
    /// The chooser may bound an attempt's first byte to the next tick.
    pub start_by: bool,
    /// The shell may wake the engine so many ticks late.
    pub late: u64,
    /// Time does not pass while a connection is being closed.
    pub prompt: bool,
    /// The chooser asks; else the policy of the engine does by itself.
    pub asks: bool,
}

impl World {
    /// How many pools it has.
    pub fn pools(&self) -> u8 {
        self.boxes.iter().map(|b| b.pool as u8 + 1).max().unwrap_or(1)
    }

    /// Connections may be used again; else what is idle is nobody's.
    pub fn reuses(&self) -> bool {
        self.keeping.idle_timeout > Micros(0)
    }

    /// The measures of the monitors.
    pub fn rules(&self) -> Rules {
        Rules {
            drain_grace: Micros(0),
            answer_slack: ticks(self.late),
            reuse_delay: self.keeping.reuse_delay,
            cancellation: self.cancel,
            has_only_one_deduplication_domain: self.one_realm,
        }
    }

    /// The bounds in a line.
    pub fn bounds(&self) -> String {
        let many = |n: usize, what: &str, more: &str| format!("{n} {}", if n == 1 { what } else { more });
        let mut parts = vec![
            many(self.boxes.len(), "box", "boxes"),
            format!("{} ({})", many(self.requests.len(), "request", "requests"), self.effects()),
            format!("{}/{} out at once", self.out_each, self.out_all),
        ];
        let n = &self.news;
        let each = [
            (n.drains, "drain", "drains"),
            (n.gone, "gone", "gone"),
            (n.returns, "return", "returns"),
            (n.wholes, "whole list", "whole lists"),
            (n.losses, "loss", "losses"),
            (n.readdressed, "new address", "new addresses"),
            (n.regrouped, "new cell", "new cells"),
            (n.moves, "move", "moves"),
            (n.closes, "pool closed", "pools closed"),
            (n.leaves, "leave", "leaves"),
            (n.stops, "SIGTERM", "SIGTERM"),
        ];
        parts.extend(each.iter().filter(|e| e.0 > 0).map(|(n, one, more)| many(usize::from(*n), one, more)));
        let flags = [
            (self.reuses(), "reuse"),
            (self.late > 0, "late wakes"),
            (self.prompt, "prompt closes"),
            (!self.cancel, "no calling back"),
            (self.one_realm, "one realm"),
            (self.start_by, "first bytes bounded"),
            (self.at_once, "all there at once"),
        ];
        parts.extend(flags.iter().filter(|f| f.0).map(|f| f.1.to_string()));
        parts.join(", ")
    }

    fn effects(&self) -> String {
        let name = |k: &Kind| match k.effect {
            Idempotency::Safe => "free",
            Idempotency::Keyed(..) => "keyed",
            Idempotency::NonIdempotent => "unsafe",
        };
        let permit = |k: &Kind| if k.permit { "+permit" } else { "" };
        let each: Vec<String> =
            self.requests.iter().map(|k| format!("{}{} {}t", name(k), permit(k), k.time_left)).collect();
        each.join(", ")
    }

    /// The orders in which its requests and backends may be named without making another world: all orders that
    /// put a request in the place of one like it, and a backend in the place of one of its pool.
    pub fn alike(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        let requests = orders(self.requests.len(), |a, b| self.requests[a] == self.requests[b]);
        let boxes = orders(self.boxes.len(), |a, b| {
            (self.boxes[a].pool, self.boxes[a].listed) == (self.boxes[b].pool, self.boxes[b].listed)
        });
        let all = requests.iter().flat_map(|r| boxes.iter().map(move |b| (r.clone(), b.clone())));
        all.collect()
    }
}

/// All orders of so many things in which each place holds one that is like the one that has it by number.
fn orders(count: usize, like: impl Fn(usize, usize) -> bool) -> Vec<Vec<u8>> {
    let mut done = vec![Vec::new()];
    for place in 0..count {
        let mut next = Vec::new();
        for order in &done {
            for thing in (0..count).filter(|thing| like(*thing, place) && !order.contains(&(*thing as u8))) {
                let mut longer: Vec<u8> = order.clone();
                longer.push(thing as u8);
                next.push(longer);
            }
        }
        done = next;
    }
    done
}
