//! Model of engine, recorder and store together, with clients that request one key over and over: an intent that is
//! persisted late, rejected or never, a store that fails, and a kill at every state.
//!
//! Which commits outlive a kill depends on the order of steps: writes become durable one by one, and their results are
//! delivered later still. What is on a connection when the program dies may be executed. What bounds the states is the
//! number of requests, attempts, ticks, failures and restarts.

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

/// The bounds of such a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartBounds {
    /// Backends.
    pub backends: u8,
    /// Requests for the key, in all runs together.
    pub asks: u8,
    /// Attempts of one request.
    pub attempts: u8,
    /// Kills.
    pub restarts: u8,
    /// Times that the store fails.
    pub failures: u8,
    /// Times that an operator resolves the key.
    pub resolves: u8,
    /// Ticks that pass; a request has two, its permit one.
    pub ticks: u8,
    /// A bug of the shell around it, for tests.
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

/// Bugs that a shell may have. None of them can be switched on in the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShellMutant {
    /// The first byte goes out while the intent is on its way to the disk.
    IntentAfterSend,
    /// A commit is acknowledged before it is durable, as with `synchronous=OFF`.
    EarlyCommit,
    /// At the start the recorder is not told which keys were in flight. The store still knows: that must be enough.
    ForgetsInFlight,
    /// At the start what was in flight is freed, in the store too.
    FreesInFlight,
}

/// A step of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client asks for the key.
    Ask,
    /// The client of that request leaves.
    Leave(RequestId),
    /// The chooser asks for an attempt at a backend.
    Dispatch(RequestId, u8),
    /// The chooser gives up.
    Fail(RequestId),
    /// The chooser calls an attempt back.
    Cancel(RequestId, AttemptNumber),
    /// What waits for the disk becomes durable, up to the next row that says something of the key.
    Commit,
    /// The oldest results of the store that the recorder does not know of yet are delivered to it.
    Tell,
    /// The store fails; so many rows that were to be written are on record all the same.
    StoreFails(u8),
    /// It takes writes again.
    StoreBack,
    /// The connection at this place comes up.
    Up(u8),
    /// It does not.
    ConnectFailed(u8),
    /// The last byte has gone.
    Written(u8),
    /// An answer: 0 served, 1 was not executed, 2 error.
    Answered(u8, u8),
    /// The connection ended.
    Ended(u8),
    /// It could not be written to.
    Unfit(u8),
    /// It was closed as asked; whether the last byte had gone.
    Closed(u8, bool),
    /// An operator says whether the key ran.
    Resolve(bool),
    /// A tick passes.
    Tick,
    /// Engine and recorder are woken.
    Wake,
    /// SIGKILL, and a new start.
    Kill,
}

/// What was found.
#[derive(Debug)]
pub struct RestartExploration {
    /// Different states.
    pub states: usize,
    /// Steps made.
    pub transitions: u64,
    /// Steps to the farthest state.
    pub depth: usize,
    /// The time it took.
    pub took: Duration,
    /// Every reachable state was visited.
    pub exhausted: bool,
    /// The shortest sequence of steps to a violation, and what was violated.
    pub counterexample: Option<(Vec<Step>, &'static str)>,
}

/// Explores such a world, breadth first, for so long at most.
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
