//! A model of engine, recorder and store together, with clients that repeat requests for one key. An intent may be
//! persisted late, rejected or never decided, the store may fail, and the process may be killed at every state.
//!
//! The order of steps determines which commits survive a kill: writes become durable one by one, and their results are
//! delivered later. A request that is on a connection when the process dies may be executed. The number of requests,
//! attempts, ticks, failures and restarts bounds the states.

mod fingerprint;
mod state;
mod steps;
mod store;

use crate::model::Model;
use crate::models::base_model;
use shaletide_types::*;
use state::Node;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// The bounds of the restart model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartBounds {
    /// The number of backends.
    pub backends: u8,
    /// The number of requests for the key, in all runs together.
    pub asks: u8,
    /// The maximum number of attempts of one request.
    pub attempts: u8,
    /// The number of kills.
    pub restarts: u8,
    /// The number of times that the store fails.
    pub failures: u8,
    /// The number of times that an operator resolves the key.
    pub resolves: u8,
    /// The number of ticks that pass. A request has a deadline of two ticks, its intent a time-out of one.
    pub ticks: u8,
    /// A mutant of the shell, for tests.
    pub mutant: Option<ShellMutant>,
}

impl Default for RestartBounds {
    fn default() -> RestartBounds {
        RestartBounds {
            backends: 1,
            asks: 2,
            attempts: 2,
            restarts: 1,
            failures: 1,
            resolves: 1,
            ticks: 2,
            mutant: None,
        }
    }
}

/// Faults of the shell that the model has to detect. The program has no way to enable them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShellMutant {
    /// The first byte is written before the intent is durable.
    IntentAfterSend,
    /// A commit is acknowledged before it is durable, as with `synchronous=OFF`.
    EarlyCommit,
    /// At the start the recorder is not given the keys that were in flight. The constraint of the store still rejects them,
    /// which must be sufficient.
    ForgetsInFlight,
    /// At the start the keys that were in flight are released, in the store as well.
    FreesInFlight,
}

/// A step of the restart model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client sends a request for the key.
    Ask,
    /// The client of a request disconnects.
    Leave(RequestId),
    /// The chooser dispatches an attempt of a request to a backend.
    Dispatch(RequestId, u8),
    /// The chooser fails a request.
    Fail(RequestId),
    /// The chooser cancels an attempt of a request.
    Cancel(RequestId, AttemptNumber),
    /// The queued writes become durable, up to and including the next one that changes the state of the key.
    Commit,
    /// The oldest undelivered group of store results is delivered to the recorder.
    Tell,
    /// The store fails; this number of the queued rows are stored nevertheless.
    StoreFails(u8),
    /// The store accepts writes again.
    StoreBack,
    /// The connection at this position is established.
    Up(u8),
    /// The connection at this position could not be established.
    ConnectFailed(u8),
    /// The last byte of the request is written.
    Written(u8),
    /// A response arrives: 0 is served, 1 not executed, 2 an error.
    Answered(u8, u8),
    /// The backend closes the connection.
    Ended(u8),
    /// The connection proves unusable.
    Unfit(u8),
    /// A connection that the engine closes is closed; the flag tells whether the last byte was written.
    Closed(u8, bool),
    /// An operator resolves the key; the flag tells whether the request was executed.
    Resolve(bool),
    /// A tick passes.
    Tick,
    /// Engine and recorder are woken.
    Wake,
    /// SIGKILL, followed by a restart.
    Kill,
}

/// The result of an exploration of the restart model.
#[derive(Debug)]
pub struct RestartExploration {
    /// The number of distinct states.
    pub states: usize,
    /// The number of steps taken.
    pub transitions: u64,
    /// The number of steps to the farthest state.
    pub depth: usize,
    /// The duration of the exploration.
    pub took: Duration,
    /// Whether every reachable state was visited.
    pub exhausted: bool,
    /// The shortest path to a violation, and the violation.
    pub counterexample: Option<(Vec<Step>, &'static str)>,
}

/// Explores the restart model, breadth first, for at most `time`.
pub fn explore_restart_model(bounds: &RestartBounds, time: Duration) -> RestartExploration {
    let begin = Instant::now();
    let model = Model { chooser_acts: false, ..base_model(usize::from(bounds.backends), 0, 0, 1) };
    let first = Node::start(bounds, &model);
    let (mut text, mut plain) = (String::new(), String::new());
    let mut visited = HashSet::from([first.fingerprint(&mut text, &mut plain)]);
    let mut from: Vec<(u32, Step)> = vec![(0, Step::Kill)];
    let mut layer = vec![(0u32, first)];
    let (mut transitions, mut depth, mut steps) = (0, 0, Vec::new());
    let result = |states: usize, transitions, depth, exhausted, counterexample| RestartExploration {
        states,
        transitions,
        depth,
        took: begin.elapsed(),
        exhausted,
        counterexample,
    };
    loop {
        let mut next_layer = Vec::new();
        for (at, node) in layer {
            node.steps(bounds, &mut steps);
            if begin.elapsed() >= time {
                return result(from.len(), transitions, depth, false, None);
            }
            for step in &steps {
                transitions += 1;
                let mut next = node.clone();
                next.apply(bounds, &model, *step);
                if let Some(rule) = next.violation.or_else(|| next.violation_at_rest(bounds)) {
                    let path = path(&from, at, *step);
                    return result(from.len(), transitions, depth, false, Some((path, rule)));
                }
                if visited.insert(next.fingerprint(&mut text, &mut plain)) {
                    from.push((at, *step));
                    next_layer.push((from.len() as u32 - 1, next));
                }
            }
        }
        if next_layer.is_empty() {
            return result(from.len(), transitions, depth, true, None);
        }
        layer = next_layer;
        depth += 1;
    }
}

fn path(from: &[(u32, Step)], mut at: u32, last: Step) -> Vec<Step> {
    let mut path = vec![last];
    while at != 0 {
        let (parent, step) = from[at as usize];
        path.push(step);
        at = parent;
    }
    path.reverse();
    path
}
