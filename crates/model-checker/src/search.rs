//! Breadth first, so that the first counterexample is a shortest one.
//!
//! A state is kept as 128 bits of its canonical form, its parent and the move that led to it, some 40 bytes; what
//! is to be expanded is replayed from its ancestors. Along a layer neighbours share most of their way, so that a
//! replay costs little more than one move a state.

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

/// States that one thread takes at a time.
const CHUNK: usize = 512;

/// How long and how wide to look.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// So long.
    pub time: Duration,
    /// So many states.
    pub states: usize,
    /// On so many threads, or on as many as the system gives, the calling one at least.
    pub threads: usize,
    /// Which situations the engine was met in is noted too.
    pub cover: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { time: Duration::from_secs(600), states: 400_000_000, threads: 2, cover: false }
    }
}

/// What was found.
#[derive(Debug)]
pub struct Exploration {
    /// Different states, by their canonical form.
    pub states: usize,
    /// Moves made.
    pub transitions: u64,
    /// Moves to the farthest state.
    pub depth: usize,
    /// The time it took.
    pub took: Duration,
    /// Bytes of what was kept.
    pub bytes: usize,
    /// Nothing was left to look at.
    pub exhausted: bool,
    /// The shortest way to a broken rule.
    pub counterexample: Option<Counterexample>,
    /// The situations that were met.
    pub cover: Coverage,
}

/// A shortest way to a broken rule.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The moves.
    pub steps: Vec<Transition>,
    /// The rule.
    pub violation: Violation,
}

/// Every state by number: its parent and the move from there.
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

/// What one thread finds in a chunk.
struct Batch {
    chunk: usize,
    new: Vec<(u32, Transition)>,
    first_violation: Option<(usize, Option<Transition>, Violation)>,
}

/// Makes the first state. Each thread has its own: the engine is made for one thread.
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

/// Explores the world.
pub fn explore(model: &Model, limits: Limits) -> Exploration {
    explore_from(model, &|| Node::start(model), false, limits)
}

/// Explores the world from that beginning. `end_counts`: see [`Canon::new`].
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
                // Where the system gives no thread, the others do its part: the result is the same.
                let _ = std::thread::Builder::new().spawn_scoped(scope, || explore_layer(&shared));
            }
            explore_layer(&shared);
        });
        transitions += shared.transitions.load(Ordering::Relaxed) as u64;
        cover = shared.cover.into_inner().unwrap_or_default();
        let mut batches = shared.finished.into_inner().unwrap_or_default();
        batches.sort_unstable_by_key(|b| b.chunk);
        // The chunks are given out in order, so the first broken one is the same on any number of threads.
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

/// Takes chunks of the layer until there are no more.
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
        shared.cover.lock().expect("no thread panics while it adds what it met").add(&cover);
    }
}

/// Makes the top of the stack the state of that number, which lies as deep as the layer.
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
        node.apply(shared.model, step, &mut |_, _| {}).expect("a state that was kept broke no rule");
        stack.push((at, node));
    }
}
