//! Which transitions of the engine were met: what happened, in which situation, and what became of it.

use crate::moves::Move;
use crate::node::{Chooser, Node};
use shaletide_engine::{AttemptState, ConnectionState, RequestState};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How far the request concerned had got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owed {
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
pub enum At {
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
pub type Situation = (Owed, At);

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
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

const ALL: [What; 22] = [
    What::Request,
    What::Left,
    What::Dispatch,
    What::Refuse,
    What::Fail,
    What::Cancel,
    What::Given,
    What::NotGiven,
    What::Up,
    What::ConnectFailed,
    What::Written,
    What::Served,
    What::NotExecuted,
    What::Error,
    What::InvalidResponse,
    What::Ended,
    What::Unfit,
    What::ClosedAfter,
    What::ClosedBefore,
    What::TimeUp,
    What::Drained,
    What::Elsewhere,
];

/// The transitions that were met.
#[derive(Clone, Debug, Default)]
pub struct Cover {
    met: BTreeMap<(What, Situation), BTreeSet<Situation>>,
}

impl Cover {
    /// What happened where, and what became of it.
    pub fn met(&self) -> impl Iterator<Item = (What, Situation, &BTreeSet<Situation>)> {
        self.met.iter().map(|((what, at), after)| (*what, *at, after))
    }

    /// Adds what another has met.
    pub fn add(&mut self, other: &Cover) {
        for (key, after) in &other.met {
            self.met.entry(*key).or_default().extend(after);
        }
    }

    /// Every pair of what could happen and a situation that was not met, with the reason if there is one.
    pub fn unmet(&self) -> Vec<(What, Situation, Option<&'static str>)> {
        let owed = [Owed::Open, Owed::GivenUp, Owed::TimedOut, Owed::Over, Owed::Unknown];
        let all = ALL.iter().flat_map(|what| {
            owed.iter().flat_map(move |owed| places(*what).iter().map(move |at| (*what, (*owed, *at))))
        });
        let unmet = all.filter(|(what, at)| !self.met.contains_key(&(*what, *at)));
        unmet.map(|(what, at)| (what, at, why_not(what, at))).collect()
    }

    pub(crate) fn note(&mut self, before: &Node<Chooser>, step: Move, after: &Node<Chooser>) {
        let mut add = |what, request: Option<RequestId>, attempt: Option<AttemptNumber>, at: Option<At>| {
            let was = situation(before, request, attempt, at);
            let is = situation(after, request, attempt, None);
            self.met.entry((what, was)).or_default().insert(is);
        };
        let id = |id: u8| Some(RequestId(u64::from(id)));
        match step {
            Move::Arrive(r) => add(What::Request, id(r), None, None),
            Move::Leave(r) => add(What::Left, id(r), None, None),
            Move::Dispatch(r, _) | Move::DispatchNow(r, _) => add(What::Dispatch, id(r), None, None),
            Move::Refuse(r) => add(What::Refuse, id(r), None, None),
            Move::Fail(r) => add(What::Fail, id(r), None, None),
            Move::Cancel(r, no) => add(What::Cancel, id(r), Some(AttemptNumber(u32::from(no))), None),
            Move::Permit(place, given) => {
                let p = before.shell.permits[usize::from(place)];
                let what = if given { What::Given } else { What::NotGiven };
                add(what, Some(p.request), Some(p.attempt), None);
            }
            Move::Wake => {
                let due = before.engine.deadlines().iter().filter(|d| d.0 <= before.now);
                due.for_each(|(_, id)| add(What::TimeUp, Some(*id), None, None));
            }
            Move::Drain(b) | Move::Gone(b) | Move::WholeBut(b) => {
                at_box(before, b).for_each(|(r, no)| add(What::Drained, Some(r), Some(no), None));
            }
            Move::Readdress(b) | Move::Regroup(b) | Move::Shift(b, _) => {
                at_box(before, b).for_each(|(r, no)| add(What::Elsewhere, Some(r), Some(no), None));
            }
            _ => {
                if let Some((what, place)) = on_line(step) {
                    let connection = before.shell.lines[usize::from(place)].0;
                    let (request, attempt, at) = holder(before, connection);
                    add(what, request, attempt, at);
                }
            }
        }
    }
}

fn on_line(step: Move) -> Option<(What, u8)> {
    Some(match step {
        Move::Up(at) => (What::Up, at),
        Move::ConnectFailed(at, _) => (What::ConnectFailed, at),
        Move::Written(at) => (What::Written, at),
        Move::Answered(at, 0, _) => (What::Served, at),
        Move::Answered(at, 1, _) => (What::NotExecuted, at),
        Move::Answered(at, _, _) => (What::Error, at),
        Move::InvalidResponse(at) => (What::InvalidResponse, at),
        Move::Ended(at) => (What::Ended, at),
        Move::Unfit(at) => (What::Unfit, at),
        Move::Closed(at, true) => (What::ClosedAfter, at),
        Move::Closed(at, false) => (What::ClosedBefore, at),
        _ => return None,
    })
}

fn holder(
    node: &Node<Chooser>, connection: ConnectionId,
) -> (Option<RequestId>, Option<AttemptNumber>, Option<At>) {
    match node.engine.connections().find(|c| c.0 == connection).map(|c| c.2) {
        Some(ConnectionState::Connecting(Some((r, no))) | ConnectionState::Busy(r, no)) => {
            (Some(r), Some(no), None)
        }
        Some(ConnectionState::Connecting(None)) => (None, None, Some(At::Nobody)),
        Some(ConnectionState::Idle { .. }) => (None, None, Some(At::Idle)),
        None => (None, None, None),
    }
}

fn at_box(node: &Node<Chooser>, at: u8) -> impl Iterator<Item = (RequestId, AttemptNumber)> + '_ {
    let backend = BackendId(u32::from(at));
    node.engine.requests().iter().flat_map(move |(id, r)| {
        let here =
            r.attempts.iter().enumerate().filter(move |(_, t)| t.backend == backend && t.is_in_flight());
        here.map(|(no, _)| (*id, AttemptNumber(no as u32)))
    })
}

fn situation(
    node: &Node<Chooser>, request: Option<RequestId>, attempt: Option<AttemptNumber>, at: Option<At>,
) -> Situation {
    let known = request.and_then(|id| node.engine.requests().get(&id));
    let owed = match known.map(|r| r.state) {
        None => Owed::Unknown,
        Some(RequestState::Open) => Owed::Open,
        Some(RequestState::GivenUp(_)) => Owed::GivenUp,
        Some(RequestState::TimedOut) => Owed::TimedOut,
        Some(RequestState::Finished) => Owed::Over,
    };
    let step = attempt.and_then(|no| known?.attempts.get(no.0 as usize)).map(|t| t.state);
    let step = match step {
        None => At::None,
        Some(AttemptState::NotStarted) => At::Permit,
        Some(AttemptState::Connecting(_)) => At::Opening,
        Some(AttemptState::Writing(_)) => At::Writing,
        Some(AttemptState::Written(_)) => At::Written,
        Some(AttemptState::Cancelling(..)) => At::Stopping,
        Some(AttemptState::Ended(_)) => At::Ended,
    };
    (owed, at.unwrap_or(step))
}

/// The situations of an attempt that count for what happened.
fn places(what: What) -> &'static [At] {
    use At::*;
    match what {
        What::Request | What::Left | What::Dispatch | What::Refuse | What::Fail | What::TimeUp => &[At::None],
        What::Cancel | What::Given | What::NotGiven => &[Permit, Opening, Writing, Written, Stopping, Ended],
        What::Drained | What::Elsewhere => &[Permit, Opening, Writing, Written, Stopping],
        _ => &[Opening, Writing, Written, Stopping, Nobody, Idle],
    }
}

/// Why that cannot happen in that situation; none where it can, or is not explored.
pub fn why_not(what: What, (owed, at): Situation) -> Option<&'static str> {
    let line = places(what).contains(&At::Nobody);
    match (what, owed, at) {
        (_, Owed::TimedOut, _) => Some("a request is answered in the same step in which its time is up"),
        (What::Request, Owed::Open | Owed::GivenUp | Owed::Over, _) => {
            Some("the front: a request's name is used once")
        }
        (What::Left, Owed::Over | Owed::Unknown, _) => {
            Some("the front: a client leaves once, and not after its answer")
        }
        (What::TimeUp, Owed::Unknown, _) => Some("the deadline of a request that is forgotten is so too"),
        (_, Owed::Open | Owed::GivenUp | Owed::Over, At::Nobody | At::Idle) => {
            Some("such a connection belongs to no request")
        }
        (_, Owed::Unknown, At::Permit | At::Opening | At::Writing | At::Written | At::Stopping) if line => {
            Some("a request is kept as long as an attempt is out")
        }
        (What::Cancel | What::Drained | What::Elsewhere, Owed::Unknown, _) => {
            Some("a request that is forgotten has no attempts")
        }
        (What::Given | What::NotGiven, Owed::Unknown, _) => {
            Some("left out: a permit for what is forgotten finds nothing; a test of the engine shows it")
        }
        (_, Owed::GivenUp | Owed::Over, At::Permit | At::Opening) => {
            Some("an attempt that has not begun ends with its request")
        }
        (_, Owed::GivenUp, At::Writing | At::Written) => {
            Some("a request that is given up has all that runs called back, or is answered at once")
        }
        (What::Given | What::NotGiven, _, At::Opening | At::Writing | At::Written | At::Stopping) => {
            Some("the store: it decides once on a permit")
        }
        (What::Up | What::ConnectFailed, _, At::Writing | At::Written | At::Stopping | At::Idle) => {
            Some("the shell: a connection comes up once")
        }
        (What::Unfit, _, At::Written) => {
            Some("the shell: what has gone out whole went out on a fit connection")
        }
        (What::Written, _, At::Written) => Some("the shell: the last byte goes once"),
        (What::ClosedAfter | What::ClosedBefore, _, At::Writing | At::Written | At::Idle) => {
            Some("the shell: only what was asked to be closed is told to be closed")
        }
        (What::ClosedAfter | What::ClosedBefore, _, At::Opening | At::Nobody) => {
            Some("the shell: of a connection that is closed before it is up nothing more is told")
        }
        (What::Up | What::ConnectFailed, ..) => None,
        (_, _, At::Opening | At::Nobody) if line => {
            Some("the shell: nothing is on a connection that is not up")
        }
        (What::Unfit, _, At::Idle) => None,
        (_, _, At::Idle) if line => Some("the shell: what comes on an idle connection makes it unfit"),
        _ => None,
    }
}

impl fmt::Display for Cover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = |s: &Situation| match s {
            (owed, At::None) => format!("{owed:?}"),
            (Owed::Unknown, at) => format!("{at:?}"),
            (owed, at) => format!("{owed:?}/{at:?}"),
        };
        for (what, at, after) in self.met() {
            let after: Vec<String> = after.iter().map(word).collect();
            writeln!(f, "{what:?} at {} -> {}", word(&at), after.join(", "))?;
        }
        let mut reasons: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (what, at, why) in self.unmet() {
            reasons.entry(why.unwrap_or("NO REASON")).or_default().push(format!("{what:?} at {}", word(&at)));
        }
        for (why, pairs) in reasons {
            writeln!(f, "not met ({why}): {}", pairs.join(", "))?;
        }
        Ok(())
    }
}
