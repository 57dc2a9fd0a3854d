//! Formats a counterexample as a timeline: time, source, input, and the actions of the engine.

use crate::model::{Model, TICK};
use crate::node::{Input, Node};
use crate::search::{Counterexample, StartFn};
use crate::transitions::Transition;
use shaletide_engine::{Action, Event, FinalOutcome};
use shaletide_routing::{pools, ResponseClass};
use shaletide_types::*;
use std::fmt::Write;

/// Replays a counterexample and returns its transitions one by one, followed by the violation.
pub fn timeline(model: &Model, start: StartFn, found: &Counterexample) -> String {
    let mut node = start();
    let begin = node.now;
    let mut text = String::new();
    for (no, step) in found.steps.iter().enumerate() {
        let time = (node.now - begin).0 / TICK.0;
        if *step == Transition::Tick {
            let _ = writeln!(text, "{:>3}. {time:>2} ms  clock: a millisecond passes", no + 1);
        }
        if *step == Transition::Stop {
            let _ =
                writeln!(text, "{:>3}. {time:>2} ms  operator: SIGTERM, no new request is accepted", no + 1);
        }
        let mut first = true;
        let before = node.clone();
        let _ = node.apply(model, *step, &mut |input, actions| {
            let head = if first { format!("{:>3}. {time:>2} ms", no + 1) } else { " ".repeat(10) };
            first = false;
            let _ = writeln!(text, "{head}  {}", describe_input(input, &before));
            for action in actions {
                let _ = writeln!(text, "{:>17} {}", "->", describe_action(action));
            }
        });
    }
    let _ = write!(text, "broken: {}", found.violation);
    text
}

fn describe_input<P: shaletide_engine::Policy>(input: &Input, node: &Node<P>) -> String {
    match input {
        Input::PolicyAction(policy_action) => format!("chooser: {}", describe_policy_action(policy_action)),
        Input::Event(event) => describe_event(event, node),
    }
}

fn describe_policy_action(policy_action: &pools::Action) -> String {
    match policy_action {
        pools::Action::Dispatch { request, attempt, backend, start_by } => {
            let by = start_by.map_or("", |_| ", its first byte in this millisecond");
            format!("attempt {} of request {} at box {}{by}", attempt.0, request.0, backend.0)
        }
        pools::Action::Reject { request, .. } => format!("reject request {}", request.0),
        pools::Action::Fail { request, .. } => format!("fail request {}", request.0),
        pools::Action::Cancel { request, attempt } => {
            format!("cancel attempt {} of request {}", attempt.0, request.0)
        }
        other => format!("{other:?}"),
    }
}

fn describe_event<P: shaletide_engine::Policy>(event: &Event, node: &Node<P>) -> String {
    let backend_label = |connection: &ConnectionId| {
        let known = node.engine.connections().find(|c| c.0 == *connection);
        known.map_or("a box".to_string(), |c| format!("box {}", c.1 .0))
    };
    match event {
        Event::EndpointsUpdated { pool, update, backends } => {
            let rows: Vec<String> = backends
                .iter()
                .map(|b| format!("box {} {:?} in cell {}", b.id.0, b.state, b.deduplication_group.0))
                .collect();
            format!("list of pool {}: {update:?} [{}]", pool.0, rows.join(", "))
        }
        Event::BackendMoved { backend, from, to } => {
            format!("list: box {} moves from pool {} to pool {}", backend.0, from.0, to.0)
        }
        Event::AddressChanged { backend } => format!("list: box {} changes its address", backend.0),
        Event::PoolClosed { pool } => format!("operator: pool {} is closed", pool.0),
        Event::Request(spec) => format!(
            "client: request {} comes, {:?}, with {} ms left",
            spec.arrival.request.0,
            spec.idempotency,
            spec.arrival.time_left.0 / TICK.0
        ),
        Event::ClientDisconnected { request } => format!("client: disconnects from request {}", request.0),
        Event::GiveUp { request, .. } => format!("store: request {} is to be given up", request.0),
        Event::IntentPersisted { request, attempt, persisted: given } => {
            let word = if *given { "gives" } else { "refuses" };
            format!("store: {word} the permit for attempt {} of request {}", attempt.0, request.0)
        }
        Event::Connected { connection } => {
            format!("{}: connection {} is up", backend_label(connection), connection.0)
        }
        Event::ConnectFailed { connection, backend_at_fault: at_fault } => {
            let fault = if *at_fault { "" } else { ", not the backend's fault" };
            format!(
                "{}: connection {} could not be established{fault}",
                backend_label(connection),
                connection.0
            )
        }
        Event::RequestWritten { connection } => {
            format!("shell: the last byte is written on connection {}", connection.0)
        }
        Event::LoadReported { connection, .. } => format!("{}: reports its load", backend_label(connection)),
        Event::ResponseReceived { connection, class: verdict, reusable: keep, has_excess_bytes: behind } => {
            let what = match verdict {
                ResponseClass::Served => "the answer",
                ResponseClass::NotExecuted => "a response that reports no execution",
                ResponseClass::Error => "an error",
            };
            let after = match (keep, behind) {
                (_, true) => ", with excess bytes after it",
                (true, false) => ", and the connection may be reused",
                (false, false) => "",
            };
            format!("{}: {what} on connection {}{after}", backend_label(connection), connection.0)
        }
        Event::InvalidResponse { connection } => {
            format!("{}: invalid response on connection {}", backend_label(connection), connection.0)
        }
        Event::ConnectionClosed { connection } => {
            format!("{}: closes connection {}", backend_label(connection), connection.0)
        }
        Event::ConnectionUnusable { connection } => {
            format!("shell: connection {} is unusable", connection.0)
        }
        Event::CloseCompleted { connection, written } => {
            let how = if *written { "after" } else { "before" };
            format!("shell: connection {} is closed, {how} its last byte", connection.0)
        }
        Event::Wake => "clock: wakes the engine".to_string(),
    }
}

fn describe_action(action: &Action) -> String {
    match action {
        Action::Connect { connection, backend, .. } => {
            format!("open connection {} to box {}", connection.0, backend.0)
        }
        Action::Send { connection, request, attempt, .. } => {
            format!("send attempt {} of request {} on connection {}", attempt.0, request.0, connection.0)
        }
        Action::Close { connection } => format!("close connection {}", connection.0),
        Action::GivenUp { request, reason } => {
            format!("request {} is given up: {}", request.0, reason.name())
        }
        Action::Answer { request, answer, .. } => {
            let how = match answer {
                FinalOutcome::Served(attempt) => format!("served by attempt {}", attempt.0),
                FinalOutcome::Rejected(_) => "refused".to_string(),
                FinalOutcome::Failed => "failed".to_string(),
                FinalOutcome::TimedOut => "timed out".to_string(),
            };
            format!("answer request {}: {how}", request.0)
        }
        Action::AttemptEnded { request, attempt, outcome } => {
            format!("attempt {} of request {} ended: {outcome:?}", attempt.0, request.0)
        }
        Action::PersistIntent { request, attempt } => {
            format!("request the permit for attempt {} of request {}", attempt.0, request.0)
        }
        Action::WithdrawIntent { request, attempt } => {
            format!("withdraw the permit for attempt {} of request {}", attempt.0, request.0)
        }
        Action::Subscribe { pool } => format!("subscribe to pool {}", pool.0),
        Action::Log { text, .. } => format!("log {text}"),
    }
}
