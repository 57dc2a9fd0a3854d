//! Breadth-first search, so that the first counterexample is a shortest one.
//!
//! A state is stored as a 128-bit fingerprint of its canonical form, its parent and the transition from there, about 40
//! bytes. A state that is to be expanded is replayed from its ancestors. Neighbours in a layer share most of their path, so
//! that a replay costs little more than one transition per state.

use crate::canonical::Canonicalizer;
use crate::cover::Coverage;
use crate::enabled::enabled;
use crate::model::Model;
use crate::node::{Chooser, Node};
use crate::transitions::Transition;
use crate::visited::Visited;
use shaletide_engine::monitor::Violation;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The number of states that a thread takes from a layer at a time.
const CHUNK: usize = 512;

/// The limits of an exploration.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum duration.
    pub time: Duration,
    /// The maximum number of states.
    pub states: usize,
    /// The number of threads. If the system cannot start them all, the exploration uses fewer, at least the calling one.
    pub threads: usize,
    /// Whether to record the covered transitions of the engine.
    pub cover: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { time: Duration::from_secs(600), states: 400_000_000, threads: 2, cover: false }
    }
}

/// The result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// The number of distinct states by canonical form.
    pub states: usize,
    /// The number of transitions taken.
    pub transitions: u64,
    /// The number of transitions to the farthest state.
    pub depth: usize,
    /// The duration of the exploration.
    pub took: Duration,
    /// The memory use of the stored states in bytes.
    pub bytes: usize,
    /// Whether every reachable state was visited.
    pub exhausted: bool,
    /// The shortest path to a violation.
    pub counterexample: Option<Counterexample>,
    /// The covered transitions of the engine.
    pub cover: Coverage,
}

/// A shortest path to a violation.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The transitions.
    pub steps: Vec<Transition>,
    /// The violation.
    pub violation: Violation,
}

/// The search tree: for every state by number, its parent and the transition from there.
struct Tree {
    from: Vec<(u32, Transition)>,
}

impl Tree {
    fn path(&self, mut at: usize) -> Vec<Transition> {
        let mut path = Vec::new();
        while at != 0 {
            let (parent, step) = self.from[at];
            path.push(step);
            at = parent as usize;
        }
        path.reverse();
        path
    }
}

/// The result of one chunk.
struct Batch {
    chunk: usize,
    new: Vec<(u32, Transition)>,
    first_violation: Option<(usize, Option<Transition>, Violation)>,
}

/// Makes the initial state. Each thread makes its own, since the engine is not shared between threads.
pub type StartFn<'a> = &'a (dyn Fn() -> Node<Chooser> + Sync);

struct Shared<'a> {
    model: &'a Model,
    start: StartFn<'a>,
    reads_end_times: bool,
    visited: &'a Visited,
    tree: &'a Tree,
    layer: std::ops::Range<usize>,
    depth: usize,
    next: AtomicUsize,
    stop: AtomicBool,
    stop_at: Instant,
    transitions: AtomicUsize,
    finished: Mutex<Vec<Batch>>,
    cover: Mutex<Coverage>,
    record_coverage: bool,
}

/// Explores a model from its initial state.
pub fn explore(model: &Model, limits: Limits) -> Exploration {
    explore_from(model, &|| Node::start(model), false, limits)
}

/// Explores a model from the state that `start` makes. For `reads_end_times` see [`Canonicalizer::new`].
pub fn explore_from(model: &Model, start: StartFn, reads_end_times: bool, limits: Limits) -> Exploration {
    let begin = Instant::now();
    let visited = Visited::default();
    visited.insert(Canonicalizer::new(model, reads_end_times).fingerprint(model, &start()));
    let mut tree = Tree { from: vec![(0, Transition::Tick)] };
    let (mut layer, mut depth, mut transitions) = (0..1, 0, 0u64);
    let mut cover = Coverage::default();
    let mut counterexample = None;
    let mut exhausted = false;
    while counterexample.is_none() {
        let shared = Shared {
            model,
            start,
            reads_end_times,
            visited: &visited,
            tree: &tree,
            layer: layer.clone(),
            depth,
            next: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            stop_at: begin + limits.time,
            transitions: AtomicUsize::new(0),
            finished: Mutex::default(),
            cover: Mutex::new(std::mem::take(&mut cover)),
            record_coverage: limits.cover,
        };
        std::thread::scope(|scope| {
            for _ in 1..limits.threads {
                // If a thread cannot be started, the others take its chunks: the result is the same.
                let _ = std::thread::Builder::new().spawn_scoped(scope, || explore_layer(&shared));
            }
            explore_layer(&shared);
        });
        transitions += shared.transitions.load(Ordering::Relaxed) as u64;
        cover = shared.cover.into_inner().unwrap_or_default();
        let mut batches = shared.finished.into_inner().unwrap_or_default();
        batches.sort_unstable_by_key(|b| b.chunk);
        // The chunks are taken in order, so the first chunk with a violation is the same on any number of threads.
        if let Some((at, step, violation)) = batches.iter().find_map(|b| b.first_violation.clone()) {
            let mut steps = tree.path(at);
            steps.extend(step);
            counterexample = Some(Counterexample { steps, violation });
        }
        batches.into_iter().for_each(|b| tree.from.extend(b.new));
        layer = layer.end..tree.from.len();
        if layer.is_empty() && counterexample.is_none() {
            exhausted = begin.elapsed() < limits.time;
            break;
        }
        if begin.elapsed() >= limits.time || tree.from.len() >= limits.states {
            break;
        }
        depth += 1;
    }
    let bytes = visited.bytes() + tree.from.capacity() * std::mem::size_of::<(u32, Transition)>();
    let states = tree.from.len();
    Exploration { states, transitions, depth, took: begin.elapsed(), bytes, exhausted, counterexample, cover }
}

/// Expands chunks of the layer until none is left.
fn explore_layer(shared: &Shared) {
    let mut stack: Vec<(usize, Node<Chooser>)> = vec![(0, (shared.start)())];
    let mut canonicalizer = Canonicalizer::new(shared.model, shared.reads_end_times);
    let mut enabled_transitions = Vec::new();
    let mut cover = Coverage::default();
    loop {
        if shared.stop.load(Ordering::Relaxed) {
            break;
        }
        let chunk = shared.next.fetch_add(1, Ordering::Relaxed);
        let from = shared.layer.start + chunk * CHUNK;
        if from >= shared.layer.end {
            break;
        }
        let mut batch = Batch { chunk, new: Vec::new(), first_violation: None };
        let mut count = 0;
        for at in from..(from + CHUNK).min(shared.layer.end) {
            replay(shared, &mut stack, at);
            let node = &stack[stack.len() - 1].1;
            if let Err(violation) = node.check() {
                batch.first_violation = Some((at, None, violation));
                break;
            }
            enabled(shared.model, node, &mut enabled_transitions);
            count += enabled_transitions.len();
            for step in &enabled_transitions {
                let mut next = node.clone();
                let verdict = next.apply(shared.model, *step, &mut |_, _| {});
                if shared.record_coverage {
                    cover.record(node, *step, &next);
                }
                if let Err(violation) = verdict {
                    batch.first_violation = Some((at, Some(*step), violation));
                    break;
                }
                if shared.visited.insert(canonicalizer.fingerprint(shared.model, &next)) {
                    batch.new.push((at as u32, *step));
                }
            }
            if batch.first_violation.is_some() {
                break;
            }
        }
        shared.transitions.fetch_add(count, Ordering::Relaxed);
        if batch.first_violation.is_some() || Instant::now() >= shared.stop_at {
            shared.stop.store(true, Ordering::Relaxed);
        }
        shared.finished.lock().expect("no thread panics while it adds a batch").push(batch);
    }
    if shared.record_coverage {
        shared.cover.lock().expect("no thread panics while it adds its coverage").add(&cover);
    }
}

/// Replays the state with the number `at`, a state of the current layer, to the top of the stack.
fn replay(shared: &Shared, stack: &mut Vec<(usize, Node<Chooser>)>, at: usize) {
    let mut path = Vec::new();
    let (mut at, mut depth) = (at, shared.depth);
    while stack.get(depth).is_none_or(|(known, _)| *known != at) {
        let (parent, step) = shared.tree.from[at];
        path.push((at, step));
        (at, depth) = (parent as usize, depth - 1);
    }
    stack.truncate(depth + 1);
    while let Some((at, step)) = path.pop() {
        let mut node = stack[stack.len() - 1].1.clone();
        node.apply(shared.model, step, &mut |_, _| {}).expect("a stored state violated no invariant");
        stack.push((at, node));
    }
}
