//! Which transitions of the engine were met: what happened, in which situation, and what became of it.

use crate::node::{Chooser, Node};
use crate::transitions::Transition;
use shaletide_engine::{AttemptState, ConnectionState, RequestState};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How far the request concerned had got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPhase {
    /// It is owed an answer.
    Open,
    /// It is given up, and its attempts are being called back.
    GivenUp,
    /// Its time is up.
    TimedOut,
    /// It is over, and an attempt is not.
    Over,
    /// The engine knows nothing of it.
    Unknown,
}

/// How far the attempt concerned had got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptPhase {
    /// There is none, or it does not matter.
    None,
    /// It waits for its permit.
    Permit,
    /// It waits for its connection.
    Opening,
    /// Its bytes go out.
    Writing,
    /// Its last byte has gone.
    Written,
    /// Its connection is to be closed.
    Stopping,
    /// It is over.
    Ended,
    /// The connection comes up for nobody.
    Nobody,
    /// The connection is idle.
    Idle,
}

/// How far both had got.
pub type Situation = (RequestPhase, AttemptPhase);

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trigger {
    /// A request came.
    Request,
    /// A client left.
    Left,
    /// The policy asked for an attempt.
    Dispatch,
    /// It refused.
    Refuse,
    /// It gave up.
    Fail,
    /// It called an attempt back.
    Cancel,
    /// A permit was given.
    Given,
    /// A permit was not given.
    NotGiven,
    /// A connection came up.
    Up,
    /// It did not.
    ConnectFailed,
    /// The last byte went.
    Written,
    /// A served answer.
    Served,
    /// An answer that it was not executed.
    NotExecuted,
    /// An error answer.
    Error,
    /// No answer could come any more.
    InvalidResponse,
    /// The connection ended.
    Ended,
    /// It could not be written to.
    Unfit,
    /// It was closed after the last byte.
    ClosedAfter,
    /// It was closed before.
    ClosedBefore,
    /// The time of the request was up.
    TimeUp,
    /// A list took its backend away or let it drain.
    Drained,
    /// Its backend was listed elsewhere.
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

/// The transitions that were met.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    covered: BTreeMap<(Trigger, Situation), BTreeSet<Situation>>,
}

impl Coverage {
    /// What happened where, and what became of it.
    pub fn covered(&self) -> impl Iterator<Item = (Trigger, Situation, &BTreeSet<Situation>)> {
        self.covered.iter().map(|((trigger, at), after)| (*trigger, *at, after))
    }

    /// Adds what another has met.
    pub fn add(&mut self, other: &Coverage) {
        for (key, after) in &other.covered {
            self.covered.entry(*key).or_default().extend(after);
        }
    }

    /// Every pair of what could happen and a situation that was not met, with the reason if there is one.
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
            let was = situation(before, request, attempt, at);
            let is = situation(after, request, attempt, None);
            self.covered.entry((trigger, was)).or_default().insert(is);
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
    let step = attempt.and_then(|no| known?.attempts.get(no.0 as usize)).map(|t| t.state);
    let step = match step {
        None => AttemptPhase::None,
        Some(AttemptState::NotStarted) => AttemptPhase::Permit,
        Some(AttemptState::Connecting(_)) => AttemptPhase::Opening,
        Some(AttemptState::Writing(_)) => AttemptPhase::Writing,
        Some(AttemptState::Written(_)) => AttemptPhase::Written,
        Some(AttemptState::Cancelling(..)) => AttemptPhase::Stopping,
        Some(AttemptState::Ended(_)) => AttemptPhase::Ended,
    };
    (request_phase, at.unwrap_or(step))
}

/// The situations of an attempt that count for what happened.
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

/// Why that cannot happen in that situation; none where it can, or is not explored.
pub fn unreachable_reason(trigger: Trigger, (request_phase, at): Situation) -> Option<&'static str> {
    let is_on_connection = attempt_phases(trigger).contains(&AttemptPhase::Nobody);
    match (trigger, request_phase, at) {
        (_, RequestPhase::TimedOut, _) => {
            Some("a request is answered in the same step in which its time is up")
        }
        (Trigger::Request, RequestPhase::Open | RequestPhase::GivenUp | RequestPhase::Over, _) => {
            Some("the front: a request's name is used once")
        }
        (Trigger::Left, RequestPhase::Over | RequestPhase::Unknown, _) => {
            Some("the front: a client leaves once, and not after its answer")
        }
        (Trigger::TimeUp, RequestPhase::Unknown, _) => {
            Some("the deadline of a request that is forgotten is so too")
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
        ) if is_on_connection => Some("a request is kept as long as an attempt is out"),
        (Trigger::Cancel | Trigger::Drained | Trigger::Elsewhere, RequestPhase::Unknown, _) => {
            Some("a request that is forgotten has no attempts")
        }
        (Trigger::Given | Trigger::NotGiven, RequestPhase::Unknown, _) => {
            Some("left out: a permit for what is forgotten finds nothing; a test of the engine shows it")
        }
        (_, RequestPhase::GivenUp | RequestPhase::Over, AttemptPhase::Permit | AttemptPhase::Opening) => {
            Some("an attempt that has not begun ends with its request")
        }
        (_, RequestPhase::GivenUp, AttemptPhase::Writing | AttemptPhase::Written) => {
            Some("a request that is given up has all that runs called back, or is answered at once")
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
        ) => Some("the shell: a connection comes up once"),
        (Trigger::Unfit, _, AttemptPhase::Written) => {
            Some("the shell: what has gone out whole went out on a fit connection")
        }
        (Trigger::Written, _, AttemptPhase::Written) => Some("the shell: the last byte goes once"),
        (
            Trigger::ClosedAfter | Trigger::ClosedBefore,
            _,
            AttemptPhase::Writing | AttemptPhase::Written | AttemptPhase::Idle,
        ) => Some("the shell: only what was asked to be closed is told to be closed"),
        (Trigger::ClosedAfter | Trigger::ClosedBefore, _, AttemptPhase::Opening | AttemptPhase::Nobody) => {
            Some("the shell: of a connection that is closed before it is up nothing more is told")
        }
        (Trigger::Up | Trigger::ConnectFailed, ..) => None,
        (_, _, AttemptPhase::Opening | AttemptPhase::Nobody) if is_on_connection => {
            Some("the shell: nothing is on a connection that is not up")
        }
        (Trigger::Unfit, _, AttemptPhase::Idle) => None,
        (_, _, AttemptPhase::Idle) if is_on_connection => {
            Some("the shell: what comes on an idle connection makes it unfit")
        }
        _ => None,
    }
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = |s: &Situation| match s {
            (request_phase, AttemptPhase::None) => format!("{request_phase:?}"),
            (RequestPhase::Unknown, at) => format!("{at:?}"),
            (request_phase, at) => format!("{request_phase:?}/{at:?}"),
        };
        for (trigger, at, after) in self.covered() {
            let after: Vec<String> = after.iter().map(word).collect();
            writeln!(f, "{trigger:?} at {} -> {}", word(&at), after.join(", "))?;
        }
        let mut reasons: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (trigger, at, why) in self.uncovered() {
            reasons
                .entry(why.unwrap_or("NO REASON"))
                .or_default()
                .push(format!("{trigger:?} at {}", word(&at)));
        }
        for (why, pairs) in reasons {
            writeln!(f, "not met ({why}): {}", pairs.join(", "))?;
        }
        Ok(())
    }
}
