//! Coverage of the transitions of the engine: the trigger, the situation before it and the situations after it.

use crate::node::{Chooser, Node};
use crate::transitions::Transition;
use shaletide_engine::{AttemptState, ConnectionState, RequestState};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The phase of the request concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPhase {
    /// It has not been answered.
    Open,
    /// It is given up, and its attempts are being cancelled.
    GivenUp,
    /// Its deadline has passed.
    TimedOut,
    /// It is finished, but an attempt is still in flight.
    Over,
    /// The engine does not know it.
    Unknown,
}

/// The phase of the attempt or of the connection concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptPhase {
    /// There is no attempt, or its phase does not matter.
    None,
    /// The attempt waits for its intent to be durable.
    Permit,
    /// The attempt waits for its connection.
    Opening,
    /// The request is being written.
    Writing,
    /// The last byte is written.
    Written,
    /// The attempt is being cancelled: its connection is to be closed.
    Stopping,
    /// The attempt has ended.
    Ended,
    /// The connection is being established and no attempt waits for it.
    Nobody,
    /// The connection is idle.
    Idle,
}

/// The phases of the request and of the attempt.
pub type Situation = (RequestPhase, AttemptPhase);

/// The cause of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trigger {
    /// A request arrived.
    Request,
    /// A client disconnected.
    Left,
    /// The policy dispatched an attempt.
    Dispatch,
    /// The policy rejected the request.
    Refuse,
    /// The policy failed the request.
    Fail,
    /// The policy cancelled an attempt.
    Cancel,
    /// The store persisted an intent.
    Given,
    /// The store did not persist an intent.
    NotGiven,
    /// A connection was established.
    Up,
    /// A connection could not be established.
    ConnectFailed,
    /// The last byte was written.
    Written,
    /// A response of the class served arrived.
    Served,
    /// A response of the class not executed arrived.
    NotExecuted,
    /// An error response arrived.
    Error,
    /// An invalid response arrived.
    InvalidResponse,
    /// The backend closed the connection.
    Ended,
    /// The connection proved unusable.
    Unfit,
    /// The connection was closed as requested, after the last byte was written.
    ClosedAfter,
    /// The connection was closed as requested, before the last byte was written.
    ClosedBefore,
    /// The deadline of the request passed.
    TimeUp,
    /// The backend was removed from the list or started to drain.
    Drained,
    /// The backend was listed with another address, group or pool.
    Elsewhere,
}

const ALL_TRIGGERS: [Trigger; 22] = [
    Trigger::Request,
    Trigger::Left,
    Trigger::Dispatch,
    Trigger::Refuse,
    Trigger::Fail,
    Trigger::Cancel,
    Trigger::Given,
    Trigger::NotGiven,
    Trigger::Up,
    Trigger::ConnectFailed,
    Trigger::Written,
    Trigger::Served,
    Trigger::NotExecuted,
    Trigger::Error,
    Trigger::InvalidResponse,
    Trigger::Ended,
    Trigger::Unfit,
    Trigger::ClosedAfter,
    Trigger::ClosedBefore,
    Trigger::TimeUp,
    Trigger::Drained,
    Trigger::Elsewhere,
];

/// The transitions that were covered.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    covered: BTreeMap<(Trigger, Situation), BTreeSet<Situation>>,
}

impl Coverage {
    /// Returns each covered trigger and situation with the situations that followed.
    pub fn covered(&self) -> impl Iterator<Item = (Trigger, Situation, &BTreeSet<Situation>)> {
        self.covered.iter().map(|((trigger, at), after)| (*trigger, *at, after))
    }

    /// Adds the transitions of another coverage.
    pub fn add(&mut self, other: &Coverage) {
        for (key, after) in &other.covered {
            self.covered.entry(*key).or_default().extend(after);
        }
    }

    /// Returns every pair of a trigger and a situation that was not covered, with the reason why it is unreachable if one is
    /// known.
    pub fn uncovered(&self) -> Vec<(Trigger, Situation, Option<&'static str>)> {
        let request_phase = [
            RequestPhase::Open,
            RequestPhase::GivenUp,
            RequestPhase::TimedOut,
            RequestPhase::Over,
            RequestPhase::Unknown,
        ];
        let all = ALL_TRIGGERS.iter().flat_map(|trigger| {
            request_phase.iter().flat_map(move |request_phase| {
                attempt_phases(*trigger).iter().map(move |at| (*trigger, (*request_phase, *at)))
            })
        });
        let uncovered = all.filter(|(trigger, at)| !self.covered.contains_key(&(*trigger, *at)));
        uncovered.map(|(trigger, at)| (trigger, at, unreachable_reason(trigger, at))).collect()
    }

    pub(crate) fn record(&mut self, before: &Node<Chooser>, step: Transition, after: &Node<Chooser>) {
        let mut add = |trigger,
                       request: Option<RequestId>,
                       attempt: Option<AttemptNumber>,
                       at: Option<AttemptPhase>| {
            let situation_before = situation(before, request, attempt, at);
            let situation_after = situation(after, request, attempt, None);
            self.covered.entry((trigger, situation_before)).or_default().insert(situation_after);
        };
        let id = |id: u8| Some(RequestId(u64::from(id)));
        match step {
            Transition::Arrive(r) => add(Trigger::Request, id(r), None, None),
            Transition::Leave(r) => add(Trigger::Left, id(r), None, None),
            Transition::Dispatch(r, _) | Transition::DispatchWithinTick(r, _) => {
                add(Trigger::Dispatch, id(r), None, None)
            }
            Transition::Refuse(r) => add(Trigger::Refuse, id(r), None, None),
            Transition::Fail(r) => add(Trigger::Fail, id(r), None, None),
            Transition::Cancel(r, no) => {
                add(Trigger::Cancel, id(r), Some(AttemptNumber(u32::from(no))), None)
            }
            Transition::Permit(place, given) => {
                let p = before.shell.pending_intents[usize::from(place)];
                let trigger = if given { Trigger::Given } else { Trigger::NotGiven };
                add(trigger, Some(p.request), Some(p.attempt), None);
            }
            Transition::Wake => {
                let due = before.engine.deadlines().iter().filter(|d| d.0 <= before.now);
                due.for_each(|(_, id)| add(Trigger::TimeUp, Some(*id), None, None));
            }
            Transition::Drain(b) | Transition::Gone(b) | Transition::SnapshotWithout(b) => {
                attempts_at(before, b).for_each(|(r, no)| add(Trigger::Drained, Some(r), Some(no), None));
            }
            Transition::ChangeAddress(b) | Transition::ChangeGroup(b) | Transition::ChangePool(b, _) => {
                attempts_at(before, b).for_each(|(r, no)| add(Trigger::Elsewhere, Some(r), Some(no), None));
            }
            _ => {
                if let Some((trigger, place)) = connection_trigger(step) {
                    let connection = before.shell.connections[usize::from(place)].0;
                    let (request, attempt, at) = connection_owner(before, connection);
                    add(trigger, request, attempt, at);
                }
            }
        }
    }
}

fn connection_trigger(step: Transition) -> Option<(Trigger, u8)> {
    Some(match step {
        Transition::Up(at) => (Trigger::Up, at),
        Transition::ConnectFailed(at, _) => (Trigger::ConnectFailed, at),
        Transition::Written(at) => (Trigger::Written, at),
        Transition::Answered(at, 0, _) => (Trigger::Served, at),
        Transition::Answered(at, 1, _) => (Trigger::NotExecuted, at),
        Transition::Answered(at, _, _) => (Trigger::Error, at),
        Transition::InvalidResponse(at) => (Trigger::InvalidResponse, at),
        Transition::Ended(at) => (Trigger::Ended, at),
        Transition::Unfit(at) => (Trigger::Unfit, at),
        Transition::Closed(at, true) => (Trigger::ClosedAfter, at),
        Transition::Closed(at, false) => (Trigger::ClosedBefore, at),
        _ => return None,
    })
}

fn connection_owner(
    node: &Node<Chooser>, connection: ConnectionId,
) -> (Option<RequestId>, Option<AttemptNumber>, Option<AttemptPhase>) {
    match node.engine.connections().find(|c| c.0 == connection).map(|c| c.2) {
        Some(ConnectionState::Connecting(Some((r, no))) | ConnectionState::Busy(r, no)) => {
            (Some(r), Some(no), None)
        }
        Some(ConnectionState::Connecting(None)) => (None, None, Some(AttemptPhase::Nobody)),
        Some(ConnectionState::Idle { .. }) => (None, None, Some(AttemptPhase::Idle)),
        None => (None, None, None),
    }
}

fn attempts_at(node: &Node<Chooser>, at: u8) -> impl Iterator<Item = (RequestId, AttemptNumber)> + '_ {
    let backend = BackendId(u32::from(at));
    node.engine.requests().iter().flat_map(move |(id, r)| {
        let here =
            r.attempts.iter().enumerate().filter(move |(_, t)| t.backend == backend && t.is_in_flight());
        here.map(|(no, _)| (*id, AttemptNumber(no as u32)))
    })
}

fn situation(
    node: &Node<Chooser>, request: Option<RequestId>, attempt: Option<AttemptNumber>,
    at: Option<AttemptPhase>,
) -> Situation {
    let known = request.and_then(|id| node.engine.requests().get(&id));
    let request_phase = match known.map(|r| r.state) {
        None => RequestPhase::Unknown,
        Some(RequestState::Open) => RequestPhase::Open,
        Some(RequestState::GivenUp(_)) => RequestPhase::GivenUp,
        Some(RequestState::TimedOut) => RequestPhase::TimedOut,
        Some(RequestState::Finished) => RequestPhase::Over,
    };
    let phase = attempt.and_then(|no| known?.attempts.get(no.0 as usize)).map(|t| t.state);
    let phase = match phase {
        None => AttemptPhase::None,
        Some(AttemptState::NotStarted) => AttemptPhase::Permit,
        Some(AttemptState::Connecting(_)) => AttemptPhase::Opening,
        Some(AttemptState::Writing(_)) => AttemptPhase::Writing,
        Some(AttemptState::Written(_)) => AttemptPhase::Written,
        Some(AttemptState::Cancelling(..)) => AttemptPhase::Stopping,
        Some(AttemptState::Ended(_)) => AttemptPhase::Ended,
    };
    (request_phase, at.unwrap_or(phase))
}

/// Returns the attempt phases in which a trigger is to be covered.
fn attempt_phases(trigger: Trigger) -> &'static [AttemptPhase] {
    use AttemptPhase::*;
    match trigger {
        Trigger::Request
        | Trigger::Left
        | Trigger::Dispatch
        | Trigger::Refuse
        | Trigger::Fail
        | Trigger::TimeUp => &[AttemptPhase::None],
        Trigger::Cancel | Trigger::Given | Trigger::NotGiven => {
            &[Permit, Opening, Writing, Written, Stopping, Ended]
        }
        Trigger::Drained | Trigger::Elsewhere => &[Permit, Opening, Writing, Written, Stopping],
        _ => &[Opening, Writing, Written, Stopping, Nobody, Idle],
    }
}

/// Returns the reason why a trigger cannot occur in a situation, or `None` if it can.
pub fn unreachable_reason(trigger: Trigger, (request_phase, at): Situation) -> Option<&'static str> {
    let is_on_connection = attempt_phases(trigger).contains(&AttemptPhase::Nobody);
    match (trigger, request_phase, at) {
        (_, RequestPhase::TimedOut, _) => {
            Some("a request is answered in the same step in which its deadline passes")
        }
        (Trigger::Request, RequestPhase::Open | RequestPhase::GivenUp | RequestPhase::Over, _) => {
            Some("the front: a request's identifier is used once")
        }
        (Trigger::Left, RequestPhase::Over | RequestPhase::Unknown, _) => {
            Some("the front: a client disconnects once, and not after its answer")
        }
        (Trigger::TimeUp, RequestPhase::Unknown, _) => {
            Some("the deadline of a request is removed with it")
        }
        (
            _,
            RequestPhase::Open | RequestPhase::GivenUp | RequestPhase::Over,
            AttemptPhase::Nobody | AttemptPhase::Idle,
        ) => Some("such a connection belongs to no request"),
        (
            _,
            RequestPhase::Unknown,
            AttemptPhase::Permit
            | AttemptPhase::Opening
            | AttemptPhase::Writing
            | AttemptPhase::Written
            | AttemptPhase::Stopping,
        ) if is_on_connection => Some("a request is kept as long as an attempt is in flight"),
        (Trigger::Cancel | Trigger::Drained | Trigger::Elsewhere, RequestPhase::Unknown, _) => {
            Some("a request that has been removed has no attempts")
        }
        (Trigger::Given | Trigger::NotGiven, RequestPhase::Unknown, _) => {
            Some("left out: a permit for a request that has been removed has no effect; a test of the engine shows it")
        }
        (_, RequestPhase::GivenUp | RequestPhase::Over, AttemptPhase::Permit | AttemptPhase::Opening) => {
            Some("an attempt without an established connection ends with its request")
        }
        (_, RequestPhase::GivenUp, AttemptPhase::Writing | AttemptPhase::Written) => {
            Some("a request that is given up has its running attempts cancelled, or is answered at once")
        }
        (
            Trigger::Given | Trigger::NotGiven,
            _,
            AttemptPhase::Opening | AttemptPhase::Writing | AttemptPhase::Written | AttemptPhase::Stopping,
        ) => Some("the store: it decides once on a permit"),
        (
            Trigger::Up | Trigger::ConnectFailed,
            _,
            AttemptPhase::Writing | AttemptPhase::Written | AttemptPhase::Stopping | AttemptPhase::Idle,
        ) => Some("the shell: a connection is established once"),
        (Trigger::Unfit, _, AttemptPhase::Written) => {
            Some("the shell: written requests were written on a usable connection")
        }
        (Trigger::Written, _, AttemptPhase::Written) => Some("the shell: the last byte goes once"),
        (
            Trigger::ClosedAfter | Trigger::ClosedBefore,
            _,
            AttemptPhase::Writing | AttemptPhase::Written | AttemptPhase::Idle,
        ) => Some("the shell: only a close that was requested is reported"),
        (Trigger::ClosedAfter | Trigger::ClosedBefore, _, AttemptPhase::Opening | AttemptPhase::Nobody) => {
            Some("the shell: once a connection is closed before it is established, no event follows")
        }
        (Trigger::Up | Trigger::ConnectFailed, ..) => None,
        (_, _, AttemptPhase::Opening | AttemptPhase::Nobody) if is_on_connection => {
            Some("the shell: nothing is sent on a connection that is not established")
        }
        (Trigger::Unfit, _, AttemptPhase::Idle) => None,
        (_, _, AttemptPhase::Idle) if is_on_connection => {
            Some("the shell: traffic on an idle connection makes it unusable")
        }
        _ => None,
    }
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_situation = |s: &Situation| match s {
            (request_phase, AttemptPhase::None) => format!("{request_phase:?}"),
            (RequestPhase::Unknown, at) => format!("{at:?}"),
            (request_phase, at) => format!("{request_phase:?}/{at:?}"),
        };
        for (trigger, at, after) in self.covered() {
            let after: Vec<String> = after.iter().map(format_situation).collect();
            writeln!(f, "{trigger:?} at {} -> {}", format_situation(&at), after.join(", "))?;
        }
        let mut reasons: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (trigger, at, why) in self.uncovered() {
            reasons
                .entry(why.unwrap_or("NO REASON"))
                .or_default()
                .push(format!("{trigger:?} at {}", format_situation(&at)));
        }
        for (why, pairs) in reasons {
            writeln!(f, "not met ({why}): {}", pairs.join(", "))?;
        }
        Ok(())
    }
}
