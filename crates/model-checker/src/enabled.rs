//! Which moves are possible in a state.

use crate::moves::{After, Move};
use crate::node::Node;
use crate::shell::ConnectionActivity;
use crate::world::World;
use shaletide_engine::{AttemptState, Policy, RequestState};
use shaletide_types::*;

/// All that may happen next in that state of that world.
pub fn enabled<P: Policy>(world: &World, node: &Node<P>, out: &mut Vec<Move>) {
    out.clear();
    clients(node, out);
    asks(world, node, out);
    lines(world, node, out);
    news(world, node, out);
    time(world, node, out);
}

fn clients<P: Policy>(node: &Node<P>, out: &mut Vec<Move>) {
    out.extend(node.shell.to_come.iter().map(|id| Move::Arrive(id.0 as u8)));
    if node.shell.left.leaves > 0 {
        let owed = node.monitor.observed().requests.iter().filter(|(_, r)| r.open);
        out.extend(owed.map(|(id, _)| Move::Leave(id.0 as u8)));
    }
    if node.shell.left.stops > 0 && !node.shell.to_come.is_empty() {
        out.push(Move::Stop);
    }
}

/// The chooser may ask for anything, of requests that wait for their end too. Where the engine is to say no
/// whatever is asked, one ask stands for all.
fn asks<P: Policy>(world: &World, node: &Node<P>, out: &mut Vec<Move>) {
    if !world.asks {
        return;
    }
    let mut out_all = 0;
    for r in node.engine.requests().values() {
        out_all += r.attempts.iter().filter(|t| t.is_in_flight()).count();
    }
    if world.traffic.alike {
        let known =
            |id: &RequestId| node.engine.requests().contains_key(id) || node.shell.to_come.contains(id);
        let over = (0..world.requests.len() as u64).map(RequestId).filter(|id| !known(id));
        for id in over.map(|id| id.0 as u8) {
            out.extend([Move::Dispatch(id, 0), Move::Refuse(id), Move::Fail(id)]);
        }
    }
    for (id, r) in node.engine.requests() {
        let id = id.0 as u8;
        let open = r.state == RequestState::Open;
        if !open && !world.traffic.alike {
            continue;
        }
        let late = node.shell.permits.iter().filter(|p| p.request.0 as u8 == id && p.withdrawn).count();
        let out_here = r.attempts.iter().filter(|t| t.is_in_flight()).count() + late.saturating_sub(1);
        if out_here < world.out_each && out_all < world.out_all {
            for to in 0..world.boxes.len() as u8 {
                out.push(Move::Dispatch(id, to));
                if world.start_by {
                    out.push(Move::DispatchNow(id, to));
                }
            }
            if world.traffic.alike {
                out.push(Move::Misnumber(id, 0));
            }
        }
        out.push(Move::Fail(id));
        if open || world.traffic.alike {
            out.push(Move::Refuse(id));
        }
        for (no, t) in r.attempts.iter().enumerate() {
            let out_still = t.is_in_flight() && !matches!(t.state, AttemptState::Cancelling(..));
            if out_still || world.traffic.alike {
                out.push(Move::Cancel(id, no as u8));
            }
        }
    }
}

fn lines<P: Policy>(world: &World, node: &Node<P>, out: &mut Vec<Move>) {
    let traffic = &world.traffic;
    for place in 0..node.shell.permits.len() as u8 {
        out.extend([Move::Permit(place, true), Move::Permit(place, false)]);
    }
    for (place, (_, activity)) in node.shell.lines.iter().enumerate() {
        let place = place as u8;
        match activity {
            ConnectionActivity::Opening => {
                out.extend([Move::Up(place), Move::ConnectFailed(place, true)]);
                if traffic.alike {
                    out.push(Move::ConnectFailed(place, false));
                }
            }
            ConnectionActivity::Idle if world.reuses() => out.push(Move::Unfit(place)),
            ConnectionActivity::Idle => {}
            ConnectionActivity::Busy { written, closing, .. } => {
                if !written {
                    out.push(Move::Written(place));
                }
                if !written && traffic.unfit {
                    out.push(Move::Unfit(place));
                }
                if *written || traffic.early {
                    answers(world, place, *closing, out);
                }
                out.push(Move::Ended(place));
                if traffic.alike {
                    out.push(Move::InvalidResponse(place));
                }
                if *closing {
                    out.push(Move::Closed(place, true));
                    if !written {
                        out.push(Move::Closed(place, false));
                    }
                }
            }
        }
    }
}

fn answers(world: &World, place: u8, closing: bool, out: &mut Vec<Move>) {
    for verdict in 0..3 {
        out.push(Move::Answered(place, verdict, After::Close));
        // One that is to be closed is closed whatever its answer says of it.
        if world.traffic.keeps && !closing {
            out.push(Move::Answered(place, verdict, After::Keep));
        }
        if world.traffic.behind && !closing {
            out.push(Move::Answered(place, verdict, After::Behind));
        }
    }
}

fn news<P: Policy>(world: &World, node: &Node<P>, out: &mut Vec<Move>) {
    let left = &node.shell.left;
    let pools = world.pools();
    if left.wholes > 0 {
        out.extend((0..pools).map(Move::Whole));
    }
    if left.losses > 0 && !node.shell.lost {
        out.extend((0..pools).map(Move::Lose));
    }
    if left.closes > 0 {
        out.extend((0..pools).map(Move::ClosePool));
    }
    for (id, b) in node.shell.boxes.iter().enumerate() {
        let (id, ready, gone) = (id as u8, b.state == BackendState::Ready, b.state == BackendState::Gone);
        if left.wholes > 0 && !gone {
            out.push(Move::WholeBut(id));
        }
        if node.shell.lost {
            continue;
        }
        let may = [
            (left.drains > 0 && ready, Move::Drain(id)),
            (left.gone > 0 && !gone, Move::Gone(id)),
            (left.returns > 0 && !ready, Move::Return(id)),
            (left.readdressed > 0 && !gone, Move::Readdress(id)),
            (left.regrouped > 0 && !gone, Move::Regroup(id)),
        ];
        out.extend(may.iter().filter(|m| m.0).map(|m| m.1));
        if left.moves > 0 && !gone {
            let others = (0..pools).filter(|to| u32::from(*to) != b.pool.0);
            out.extend(others.map(|to| Move::Shift(id, to)));
        }
    }
}

fn time<P: Policy>(world: &World, node: &Node<P>, out: &mut Vec<Move>) {
    let Some(due) = node.engine.wake_at() else { return };
    if due <= node.now {
        out.push(Move::Wake);
    }
    let may_pass = node.now < due + crate::world::ticks(world.late);
    if may_pass && !(world.prompt && node.shell.is_closing()) {
        out.push(Move::Tick);
    }
}
