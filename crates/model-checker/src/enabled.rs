//! The transitions that are possible in a state.

use crate::model::Model;
use crate::node::Node;
use crate::shell::ConnectionActivity;
use crate::transitions::{AfterResponse, Transition};
use shaletide_engine::{AttemptState, Policy, RequestState};
use shaletide_types::*;

/// Replaces the contents of `out` by the transitions that are possible in the state `node` of `model`.
pub fn enabled<P: Policy>(model: &Model, node: &Node<P>, out: &mut Vec<Transition>) {
    out.clear();
    client_transitions(node, out);
    chooser_transitions(model, node, out);
    connection_transitions(model, node, out);
    list_transitions(model, node, out);
    time_transitions(model, node, out);
}

fn client_transitions<P: Policy>(node: &Node<P>, out: &mut Vec<Transition>) {
    out.extend(node.shell.not_arrived.iter().map(|id| Transition::Arrive(id.0 as u8)));
    if node.shell.remaining_events.disconnects > 0 {
        let open_requests = node.monitor.observed().requests.iter().filter(|(_, r)| r.open);
        out.extend(open_requests.map(|(id, _)| Transition::Leave(id.0 as u8)));
    }
    if node.shell.remaining_events.stops > 0 && !node.shell.not_arrived.is_empty() {
        out.push(Transition::Stop);
    }
}

/// Adds the policy actions of the chooser. It may request any action, also for requests that are given up and wait for
/// their attempts to end. Where the engine has to reject every variant of an action, one variant represents all.
fn chooser_transitions<P: Policy>(model: &Model, node: &Node<P>, out: &mut Vec<Transition>) {
    if !model.chooser_acts {
        return;
    }
    let mut in_flight = 0;
    for r in node.engine.requests().values() {
        in_flight += r.attempts.iter().filter(|t| t.is_in_flight()).count();
    }
    if model.connection_events.equivalent_events {
        let is_known =
            |id: &RequestId| node.engine.requests().contains_key(id) || node.shell.not_arrived.contains(id);
        let removed = (0..model.requests.len() as u64).map(RequestId).filter(|id| !is_known(id));
        for id in removed.map(|id| id.0 as u8) {
            out.extend([Transition::Dispatch(id, 0), Transition::Refuse(id), Transition::Fail(id)]);
        }
    }
    for (id, r) in node.engine.requests() {
        let id = id.0 as u8;
        let open = r.state == RequestState::Open;
        if !open && !model.connection_events.equivalent_events {
            continue;
        }
        let withdrawn_intents =
            node.shell.pending_intents.iter().filter(|p| p.request.0 as u8 == id && p.withdrawn).count();
        let in_flight_here =
            r.attempts.iter().filter(|t| t.is_in_flight()).count() + withdrawn_intents.saturating_sub(1);
        if in_flight_here < model.max_in_flight_per_request && in_flight < model.max_in_flight {
            for to in 0..model.backends.len() as u8 {
                out.push(Transition::Dispatch(id, to));
                if model.bounds_first_byte {
                    out.push(Transition::DispatchWithinTick(id, to));
                }
            }
            if model.connection_events.equivalent_events {
                out.push(Transition::DispatchOutOfOrder(id, 0));
            }
        }
        out.push(Transition::Fail(id));
        if open || model.connection_events.equivalent_events {
            out.push(Transition::Refuse(id));
        }
        for (no, t) in r.attempts.iter().enumerate() {
            let can_be_cancelled = t.is_in_flight() && !matches!(t.state, AttemptState::Cancelling(..));
            if can_be_cancelled || model.connection_events.equivalent_events {
                out.push(Transition::Cancel(id, no as u8));
            }
        }
    }
}

fn connection_transitions<P: Policy>(model: &Model, node: &Node<P>, out: &mut Vec<Transition>) {
    let connection_events = &model.connection_events;
    for place in 0..node.shell.pending_intents.len() as u8 {
        out.extend([Transition::Permit(place, true), Transition::Permit(place, false)]);
    }
    for (place, (_, activity)) in node.shell.connections.iter().enumerate() {
        let place = place as u8;
        match activity {
            ConnectionActivity::Opening => {
                out.extend([Transition::Up(place), Transition::ConnectFailed(place, true)]);
                if connection_events.equivalent_events {
                    out.push(Transition::ConnectFailed(place, false));
                }
            }
            ConnectionActivity::Idle if model.reuses() => out.push(Transition::Unfit(place)),
            ConnectionActivity::Idle => {}
            ConnectionActivity::Busy { written, closing, .. } => {
                if !written {
                    out.push(Transition::Written(place));
                }
                if !written && connection_events.unusable {
                    out.push(Transition::Unfit(place));
                }
                if *written || connection_events.early_responses {
                    response_transitions(model, place, *closing, out);
                }
                out.push(Transition::Ended(place));
                if connection_events.equivalent_events {
                    out.push(Transition::InvalidResponse(place));
                }
                if *closing {
                    out.push(Transition::Closed(place, true));
                    if !written {
                        out.push(Transition::Closed(place, false));
                    }
                }
            }
        }
    }
}

fn response_transitions(model: &Model, place: u8, closing: bool, out: &mut Vec<Transition>) {
    for class in 0..3 {
        out.push(Transition::Answered(place, class, AfterResponse::Close));
        // A connection that is to be closed is closed whatever the response allows.
        if model.connection_events.reusable && !closing {
            out.push(Transition::Answered(place, class, AfterResponse::Keep));
        }
        if model.connection_events.excess_bytes && !closing {
            out.push(Transition::Answered(place, class, AfterResponse::ExcessBytes));
        }
    }
}

fn list_transitions<P: Policy>(model: &Model, node: &Node<P>, out: &mut Vec<Transition>) {
    let left = &node.shell.remaining_events;
    let pools = model.pools();
    if left.snapshots > 0 {
        out.extend((0..pools).map(Transition::FullSnapshot));
    }
    if left.subscription_losses > 0 && !node.shell.subscription_lost {
        out.extend((0..pools).map(Transition::LoseSubscription));
    }
    if left.pool_closes > 0 {
        out.extend((0..pools).map(Transition::ClosePool));
    }
    for (id, b) in node.shell.listed_backends.iter().enumerate() {
        let (id, ready, gone) = (id as u8, b.state == BackendState::Ready, b.state == BackendState::Gone);
        if left.snapshots > 0 && !gone {
            out.push(Transition::SnapshotWithout(id));
        }
        if node.shell.subscription_lost {
            continue;
        }
        let possible = [
            (left.drains > 0 && ready, Transition::Drain(id)),
            (left.removals > 0 && !gone, Transition::Gone(id)),
            (left.returns > 0 && !ready, Transition::Return(id)),
            (left.address_changes > 0 && !gone, Transition::ChangeAddress(id)),
            (left.group_changes > 0 && !gone, Transition::ChangeGroup(id)),
        ];
        out.extend(possible.iter().filter(|m| m.0).map(|m| m.1));
        if left.pool_moves > 0 && !gone {
            let others = (0..pools).filter(|to| u32::from(*to) != b.pool.0);
            out.extend(others.map(|to| Transition::ChangePool(id, to)));
        }
    }
}

fn time_transitions<P: Policy>(model: &Model, node: &Node<P>, out: &mut Vec<Transition>) {
    let Some(due) = node.engine.wake_at() else { return };
    if due <= node.now {
        out.push(Transition::Wake);
    }
    let may_pass = node.now < due + crate::model::ticks(model.max_wake_delay);
    if may_pass && !(model.prompt_closes && node.shell.is_closing()) {
        out.push(Transition::Tick);
    }
}
