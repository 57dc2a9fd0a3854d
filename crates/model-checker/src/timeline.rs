//! A counterexample as a timeline: time, who, what, and what the engine did.

use crate::moves::Move;
use crate::node::{Input, Node};
use crate::search::{Counterexample, Start};
use crate::world::{World, TICK};
use shaletide_engine::{Action, Event, Final};
use shaletide_routing::{pools, Verdict};
use shaletide_types::*;
use std::fmt::Write;

/// The moves one by one, replayed, and the rule that is broken in the end.
pub fn timeline(world: &World, start: Start, found: &Counterexample) -> String {
    let mut node = start();
    let begin = node.now;
    let mut text = String::new();
    for (no, step) in found.steps.iter().enumerate() {
        let time = (node.now - begin).0 / TICK.0;
        if *step == Move::Tick {
            let _ = writeln!(text, "{:>3}. {time:>2} ms  clock: a millisecond passes", no + 1);
        }
        if *step == Move::Stop {
            let _ = writeln!(text, "{:>3}. {time:>2} ms  operator: SIGTERM, nothing new is taken", no + 1);
        }
        let mut first = true;
        let lines = node.clone();
        let _ = node.go(world, *step, &mut |input, actions| {
            let head = if first { format!("{:>3}. {time:>2} ms", no + 1) } else { " ".repeat(10) };
            first = false;
            let _ = writeln!(text, "{head}  {}", said(input, &lines));
            for action in actions {
                let _ = writeln!(text, "{:>17} {}", "->", asked(action));
            }
        });
    }
    let _ = write!(text, "broken: {}", found.violation);
    text
}

fn said<P: shaletide_engine::Policy>(input: &Input, node: &Node<P>) -> String {
    match input {
        Input::Ask(ask) => format!("chooser: {}", chosen(ask)),
        Input::Event(event) => told(event, node),
    }
}

fn chosen(ask: &pools::Action) -> String {
    match ask {
        pools::Action::Dispatch { request, attempt, backend, send_by } => {
            let by = send_by.map_or("", |_| ", its first byte in this millisecond");
            format!("attempt {} of request {} at box {}{by}", attempt.0, request.0, backend.0)
        }
        pools::Action::Refuse { request, .. } => format!("refuse request {}", request.0),
        pools::Action::Fail { request, .. } => format!("give request {} up", request.0),
        pools::Action::Cancel { request, attempt } => {
            format!("call back attempt {} of request {}", attempt.0, request.0)
        }
        other => format!("{other:?}"),
    }
}

fn told<P: shaletide_engine::Policy>(event: &Event, node: &Node<P>) -> String {
    let to = |conn: &ConnectionId| {
        let line = node.engine.connections().find(|c| c.0 == *conn);
        line.map_or("a box".to_string(), |c| format!("box {}", c.1 .0))
    };
    match event {
        Event::Members { pool, update, backends } => {
            let rows: Vec<String> = backends
                .iter()
                .map(|b| format!("box {} {:?} in cell {}", b.id.0, b.state, b.deduplication_group.0))
                .collect();
            format!("list of pool {}: {update:?} [{}]", pool.0, rows.join(", "))
        }
        Event::Moved { backend, from, to } => {
            format!("list: box {} goes from pool {} to pool {}", backend.0, from.0, to.0)
        }
        Event::AddressChanged { backend } => format!("list: box {} listens at another address", backend.0),
        Event::PoolClosed { pool } => format!("operator: pool {} is closed", pool.0),
        Event::Request(order) => format!(
            "client: request {} comes, {:?}, with {} ms left",
            order.arrival.request.0,
            order.effect,
            order.arrival.time_left.0 / TICK.0
        ),
        Event::Left { request } => format!("client: leaves request {}", request.0),
        Event::GiveUp { request, .. } => format!("store: request {} is to be given up", request.0),
        Event::Permit { request, attempt, given } => {
            let word = if *given { "gives" } else { "refuses" };
            format!("store: {word} the permit for attempt {} of request {}", attempt.0, request.0)
        }
        Event::Up { conn } => format!("{}: connection {} is up", to(conn), conn.0),
        Event::ConnectFailed { conn, blame } => {
            let blame = if *blame { "" } else { ", through no fault of its own" };
            format!("{}: connection {} does not come up{blame}", to(conn), conn.0)
        }
        Event::Written { conn } => format!("shell: the last byte has gone on connection {}", conn.0),
        Event::Reported { conn, .. } => format!("{}: says how loaded it is", to(conn)),
        Event::Answered { conn, verdict, keep, behind } => {
            let what = match verdict {
                Verdict::Served => "the answer",
                Verdict::NotExecuted => "an answer that it never ran",
                Verdict::Error => "an error",
            };
            let after = match (keep, behind) {
                (_, true) => ", and more behind it",
                (true, false) => ", and the connection may be kept",
                (false, false) => "",
            };
            format!("{}: {what} on connection {}{after}", to(conn), conn.0)
        }
        Event::InvalidResponse { conn } => {
            format!("{}: no answer can come of connection {}", to(conn), conn.0)
        }
        Event::Ended { conn } => format!("{}: ends connection {}", to(conn), conn.0),
        Event::Unfit { conn } => format!("shell: connection {} cannot be written to", conn.0),
        Event::Closed { conn, written } => {
            let how = if *written { "after" } else { "before" };
            format!("shell: connection {} is closed, {how} its last byte", conn.0)
        }
        Event::Wake => "clock: wakes the engine".to_string(),
    }
}

fn asked(action: &Action) -> String {
    match action {
        Action::Open { conn, backend } => format!("open connection {} to box {}", conn.0, backend.0),
        Action::Send { conn, request, attempt, .. } => {
            format!("send attempt {} of request {} on connection {}", attempt.0, request.0, conn.0)
        }
        Action::Close { conn } => format!("close connection {}", conn.0),
        Action::Answer { request, answer, .. } => {
            let how = match answer {
                Final::Served(attempt) => format!("served by attempt {}", attempt.0),
                Final::Refused(_) => "refused".to_string(),
                Final::Failed => "failed".to_string(),
                Final::TimedOut => "timed out".to_string(),
            };
            format!("answer request {}: {how}", request.0)
        }
        Action::Ended { request, attempt, outcome } => {
            format!("attempt {} of request {} is over: {outcome:?}", attempt.0, request.0)
        }
        Action::PersistIntent { request, attempt } => {
            format!("ask the permit for attempt {} of request {}", attempt.0, request.0)
        }
        Action::Withdraw { request, attempt } => {
            format!("give back the permit for attempt {} of request {}", attempt.0, request.0)
        }
        Action::Follow { pool } => format!("follow pool {}", pool.0),
        Action::Log { text, .. } => format!("log {text}"),
    }
}
