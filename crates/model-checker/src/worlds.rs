//! The worlds that are explored, by name.

use crate::world::{ticks, BoxSpec, Kind, News, Traffic, World};
use shaletide_engine::ConnectionLimits;
use shaletide_types::*;

/// A request that may run at will.
pub const FREE: Kind = Kind { effect: Idempotency::Safe, time_left: 2, permit: false, class: 0 };
/// A keyed one: the edge of its window may lie before its deadline, with it and after it.
pub const KEYED: Kind = Kind {
    effect: Idempotency::Keyed(DeduplicationScope::Group, ticks(1)),
    time_left: 2,
    permit: false,
    class: 1,
};
/// An unsafe one.
pub const UNSAFE: Kind = Kind { effect: Idempotency::NonIdempotent, time_left: 2, permit: false, class: 2 };

/// What can come on connections that are used once.
const ONCE: Traffic = Traffic { keeps: false, behind: false, unfit: false, early: true, alike: false };
/// The same, and all that the engine answers alike.
const ALL_ONCE: Traffic = Traffic { unfit: true, alike: true, ..ONCE };
/// What can come on connections that are used again.
const AGAIN: Traffic = Traffic { keeps: true, behind: true, unfit: true, early: true, alike: false };
/// Few connections, idle and quiet for a time.
const KEEPING: ConnectionLimits =
    ConnectionLimits { max_connections: 2, idle_timeout: ticks(3), reuse_delay: ticks(1) };

/// So many backends, each in a cell of its own, in so many pools, and requests of one effect after the other.
/// Connections are used once.
pub fn base(boxes: usize, requests: usize, drains: u8, pools: u32) -> World {
    let spec = |b: usize| BoxSpec { pool: b as u32 % pools.max(1), cell: b as u64, listed: true };
    World {
        name: "custom".to_string(),
        boxes: (0..boxes).map(spec).collect(),
        requests: [FREE, KEYED, UNSAFE].into_iter().cycle().take(requests).collect(),
        at_once: false,
        keeping: ConnectionLimits { max_connections: 64, idle_timeout: Micros(0), reuse_delay: Micros(0) },
        cancel: true,
        one_realm: false,
        out_each: 2,
        out_all: 3,
        news: News { drains, leaves: 1, ..News::default() },
        traffic: ONCE,
        start_by: false,
        late: 0,
        prompt: false,
        asks: true,
    }
}

/// Names of the worlds, with what each is about.
pub const WORLDS: &[(&str, &str)] = &[
    ("race", "a time-out and a late success, in every order; everything the engine answers alike"),
    ("edge", "a keyed repeat at the edge of its window, in its group and outside"),
    ("drain", "a drain between connect and first byte, one of each effect"),
    ("returns", "two drains, a return under the same name and a successor under a new one"),
    ("leaving", "clients that leave as their answers come"),
    ("late-connect", "connections that come up after their requests are over, at the bound of connections"),
    ("settle", "two pools of one box each; a settle may have run in the first"),
    ("pools", "a box that goes to the other pool, a pool that is closed, whole lists"),
    ("sigterm", "nothing new is taken, and what is open is answered"),
    ("lost", "a list that is lost, and whole again without a box"),
    ("cells", "a box that is listed in another cell while attempts are on their way to it"),
    ("reuse", "connections used again: rest, bytes behind, unfit ones, what is idle too long"),
    ("addresses", "a box that listens elsewhere, with connections to the old address"),
    ("permits", "the store gives, refuses, or comes too late"),
    ("late-wakes", "the shell wakes the engine late"),
    ("first-byte", "first bytes that may go out until a time"),
    ("left-alone", "nothing may be called back"),
    ("one-realm", "a key that all boxes know, and refusals of what may have run"),
    ("three-out", "three attempts of one request at once"),
    ("three", "two boxes, three requests, one of each effect, one drain"),
];

/// The world of that name.
pub fn named(name: &str) -> Option<World> {
    let slow = |kind: Kind| Kind { time_left: 3, ..kind };
    let edged =
        Kind { effect: Idempotency::Keyed(DeduplicationScope::Group, ticks(2)), time_left: 3, ..KEYED };
    let of = |requests: &[Kind], world: World| World { requests: requests.to_vec(), ..world };
    let one = |kind: Kind| of(&[kind], World { traffic: ALL_ONCE, ..base(2, 1, 1, 1) });
    let two = |a: Kind, b: Kind| of(&[a, b], base(2, 2, 1, 1));
    let again = |a: Kind, b: Kind, traffic: Traffic| {
        of(&[a, b], World { traffic, keeping: KEEPING, out_each: 1, out_all: 2, ..base(1, 2, 1, 1) })
    };
    let box_in = |cell: u64| BoxSpec { pool: 0, cell, listed: true };
    let none = News::default();
    let world = match name {
        "race" => World { boxes: vec![box_in(0)], ..one(slow(FREE)) },
        "edge" => World { boxes: vec![box_in(0), box_in(0), box_in(1)], ..one(edged) },
        "drain" => World {
            out_each: 1,
            at_once: true,
            news: News { drains: 1, leaves: 1, ..none },
            ..base(2, 3, 1, 1)
        },
        "returns" => World {
            boxes: vec![box_in(0), BoxSpec { listed: false, ..box_in(0) }],
            news: News { drains: 2, gone: 1, returns: 2, leaves: 1, ..none },
            ..one(edged)
        },
        "leaving" => World { news: News { leaves: 2, ..none }, ..two(FREE, KEYED) },
        "late-connect" => {
            World { keeping: ConnectionLimits { max_connections: 2, ..KEEPING }, ..again(FREE, UNSAFE, ONCE) }
        }
        "settle" => of(
            &[UNSAFE, KEYED],
            World { at_once: true, news: News { drains: 1, gone: 1, leaves: 1, ..none }, ..base(2, 2, 1, 2) },
        ),
        "pools" => of(
            &[FREE, UNSAFE],
            World {
                out_each: 1,
                news: News { drains: 1, wholes: 1, moves: 1, closes: 1, leaves: 1, ..none },
                ..base(2, 2, 1, 2)
            },
        ),
        "sigterm" => World { news: News { drains: 1, leaves: 1, stops: 1, ..none }, ..two(FREE, KEYED) },
        "lost" => {
            let news = News { drains: 1, returns: 1, wholes: 2, losses: 1, ..none };
            World { news, out_each: 1, at_once: true, ..two(FREE, UNSAFE) }
        }
        "cells" => World { news: News { regrouped: 1, drains: 1, ..none }, ..one(edged) },
        "reuse" => again(FREE, UNSAFE, AGAIN),
        "addresses" => World {
            news: News { drains: 1, returns: 1, readdressed: 1, ..none },
            ..again(FREE, UNSAFE, Traffic { behind: false, unfit: false, ..AGAIN })
        },
        "permits" => {
            let permit = |kind: Kind| Kind { permit: true, ..kind };
            let news = News { drains: 1, regrouped: 1, leaves: 1, ..none };
            World { news, ..one(permit(KEYED)) }
        }
        "late-wakes" => World { late: 1, ..two(slow(FREE), slow(UNSAFE)) },
        "first-byte" => World { start_by: true, ..one(edged) },
        "left-alone" => World {
            cancel: false,
            traffic: ALL_ONCE,
            news: News { drains: 1, regrouped: 1, leaves: 1, ..none },
            ..two(KEYED, UNSAFE)
        },
        "one-realm" => {
            let effect = Idempotency::Keyed(DeduplicationScope::All, ticks(2));
            World { one_realm: true, ..one(Kind { effect, ..edged }) }
        }
        "three-out" => World { out_each: 3, out_all: 3, ..one(edged) },
        "three" => World { out_all: 5, ..base(2, 3, 1, 1) },
        _ => return None,
    };
    Some(World { name: name.to_string(), ..world })
}
