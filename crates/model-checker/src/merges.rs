//! Checks that the canonical form merges only equivalent states: every state, not only the first of its canonical form, is
//! expanded and must have successors of the same canonical forms as the first.

use crate::canonical::Canonicalizer;
use crate::enabled::enabled;
use crate::model::Model;
use crate::node::{Chooser, Node};
use crate::transitions::Transition;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Two states of the same canonical form whose successors differ.
#[derive(Debug)]
pub struct MergeMismatch {
    /// The path to the first state.
    pub first: Vec<Transition>,
    /// The path to the other state.
    pub other: Vec<Transition>,
    /// The transitions of the first and of the other state that lead to a canonical form that the opposite state does not
    /// reach.
    pub only_in_one: (Vec<Transition>, Vec<Transition>),
}

/// By fingerprint: the path to the first state of that canonical form, and the fingerprints of its successors.
type Successors = HashMap<u128, (Vec<Transition>, BTreeSet<u128>)>;

/// Explores a model and compares the successors of merged states. Returns the number of states that were merged into
/// others.
///
/// # Errors
/// The first two states whose successors differ.
pub fn check_merges(model: &Model) -> Result<u64, Box<MergeMismatch>> {
    let mut canonicalizer = Canonicalizer::new(model, false);
    let mut successors = |node: &Node<Chooser>| {
        let mut enabled_transitions = Vec::new();
        enabled(model, node, &mut enabled_transitions);
        let each = enabled_transitions.into_iter().map(|step| {
            let mut next = node.clone();
            next.apply(model, step, &mut |_, _| {})
                .expect("the engine without a mutant violates no invariant");
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
        // A transition to a state of the same canonical form has no effect.
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
