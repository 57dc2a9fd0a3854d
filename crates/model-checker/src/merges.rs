//! Whether the canonical form merges only what is alike: every state that is met, not only the first of its form,
//! is expanded, and must lead to the same forms as the first.

use crate::canonical::Canonicalizer;
use crate::enabled::enabled;
use crate::model::Model;
use crate::node::{Chooser, Node};
use crate::transitions::Transition;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Two states of one form that do not lead to the same forms.
#[derive(Debug)]
pub struct MergeMismatch {
    /// The way to the first.
    pub first: Vec<Transition>,
    /// The way to the other.
    pub other: Vec<Transition>,
    /// Moves of the first, or of the other, that lead to a form that the other has no way to.
    pub only_in_one: (Vec<Transition>, Vec<Transition>),
}

/// What a state leads to.
type Successors = HashMap<u128, (Vec<Transition>, BTreeSet<u128>)>;

/// Goes through a world and compares. Returns how many states were merged into others.
///
/// # Errors
/// The first two that are not alike.
pub fn check_merges(model: &Model) -> Result<u64, Box<MergeMismatch>> {
    let mut canonicalizer = Canonicalizer::new(model, false);
    let mut successors = |node: &Node<Chooser>| {
        let mut enabled_transitions = Vec::new();
        enabled(model, node, &mut enabled_transitions);
        let each = enabled_transitions.into_iter().map(|step| {
            let mut next = node.clone();
            next.apply(model, step, &mut |_, _| {}).expect("the sound engine breaks no rule");
            (canonicalizer.fingerprint(model, &next), step, next)
        });
        each.collect::<Vec<_>>()
    };
    let mut known: Successors = HashMap::new();
    let mut count = 0;
    let mut queue: VecDeque<(Vec<Transition>, Node<Chooser>, u128)> = VecDeque::new();
    queue.push_back((Vec::new(), Node::start(model), 0));
    while let Some((path, node, fingerprint)) = queue.pop_front() {
        let next = successors(&node);
        // A move that leads to where it came from makes no difference.
        let successor_fingerprints: BTreeSet<u128> =
            next.iter().map(|n| n.0).filter(|p| *p != fingerprint).collect();
        if let Some((first, first_successors)) = known.get(&fingerprint) {
            count += 1;
            if *first_successors != successor_fingerprints {
                let mut node = Node::start(model);
                first.iter().for_each(|step| drop(node.apply(model, *step, &mut |_, _| {})));
                let only = |successors: Vec<(u128, Transition, Node<Chooser>)>, in_other: &BTreeSet<u128>| {
                    successors
                        .into_iter()
                        .filter(|n| n.0 != fingerprint && !in_other.contains(&n.0))
                        .map(|n| n.1)
                        .collect()
                };
                let only_in_one =
                    (only(successors(&node), &successor_fingerprints), only(next, first_successors));
                return Err(Box::new(MergeMismatch { first: first.clone(), other: path, only_in_one }));
            }
            continue;
        }
        known.insert(fingerprint, (path.clone(), successor_fingerprints));
        for (fingerprint, step, next) in next {
            let mut path = path.clone();
            path.push(step);
            queue.push_back((path, next, fingerprint));
        }
    }
    Ok(count)
}
