//! Whether the canonical form merges only what is alike: every state that is met, not only the first of its form,
//! is expanded, and must lead to the same forms as the first.

use crate::canon::Canon;
use crate::enabled::enabled;
use crate::moves::Move;
use crate::node::{Chooser, Node};
use crate::world::World;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Two states of one form that do not lead to the same forms.
#[derive(Debug)]
pub struct Unlike {
    /// The way to the first.
    pub first: Vec<Move>,
    /// The way to the other.
    pub other: Vec<Move>,
    /// Moves of the first, or of the other, that lead to a form that the other has no way to.
    pub apart: (Vec<Move>, Vec<Move>),
}

/// What a state leads to.
type Fans = HashMap<u128, (Vec<Move>, BTreeSet<u128>)>;

/// Goes through a world and compares. Returns how many states were merged into others.
///
/// # Errors
/// The first two that are not alike.
pub fn merges(world: &World) -> Result<u64, Box<Unlike>> {
    let mut canon = Canon::new(world, false);
    let mut fan = |node: &Node<Chooser>| {
        let mut moves = Vec::new();
        enabled(world, node, &mut moves);
        let each = moves.into_iter().map(|step| {
            let mut next = node.clone();
            next.go(world, step, &mut |_, _| {}).expect("the sound engine breaks no rule");
            (canon.print(world, &next), step, next)
        });
        each.collect::<Vec<_>>()
    };
    let mut known: Fans = HashMap::new();
    let mut count = 0;
    let mut queue: VecDeque<(Vec<Move>, Node<Chooser>, u128)> = VecDeque::new();
    queue.push_back((Vec::new(), Node::start(world), 0));
    while let Some((way, node, print)) = queue.pop_front() {
        let next = fan(&node);
        // A move that leads to where it came from makes no difference.
        let prints: BTreeSet<u128> = next.iter().map(|n| n.0).filter(|p| *p != print).collect();
        if let Some((first, theirs)) = known.get(&print) {
            count += 1;
            if *theirs != prints {
                let mut node = Node::start(world);
                first.iter().for_each(|step| drop(node.go(world, *step, &mut |_, _| {})));
                let only = |fan: Vec<(u128, Move, Node<Chooser>)>, in_other: &BTreeSet<u128>| {
                    fan.into_iter()
                        .filter(|n| n.0 != print && !in_other.contains(&n.0))
                        .map(|n| n.1)
                        .collect()
                };
                let apart = (only(fan(&node), &prints), only(next, theirs));
                return Err(Box::new(Unlike { first: first.clone(), other: way, apart }));
            }
            continue;
        }
        known.insert(print, (way.clone(), prints));
        for (print, step, next) in next {
            let mut way = way.clone();
            way.push(step);
            queue.push_back((way, next, print));
        }
    }
    Ok(count)
}
