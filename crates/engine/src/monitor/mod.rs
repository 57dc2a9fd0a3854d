//! The rules of routing as observers of what the engine is told and what it asks for.
//!
//! Nothing here reads the engine's state or calls its code: [`Record`] puts together for itself, from events and
//! actions alone, what may have run, and each rule is a question to it, a file a rule or two. The explorer asks
//! after every step of every world, the socket tests and `--self-check` while the program runs.
//!
//! For each event: [`Monitor::see`] before the engine handles it, [`Monitor::act`] for each action in order,
//! [`Monitor::done`] after the last. What broke is returned; the monitor goes on after it.
//!
//! Cost: a few look-ups an event or action, a walk over the attempts of one request where it is sent or ends.
//! What is over is forgotten: the record is no larger than what is open, on its way or listed.

mod answers;
mod connections;
mod draining;
mod intents;
mod leftovers;
mod observed;
mod retries;
mod slow_start;
#[cfg(test)]
mod tests;

pub use observed::{Entry, Line, LineStep, Permit, Record, Sent, Watched, Where};
pub use slow_start::{Cold, ColdRules};

use crate::event::{Action, Event};
use shaletide_types::*;

/// What the rules measure by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Something new may still go to a backend for so long after its drain or its end was told; zero allows nothing.
    pub drain_grace: Micros,
    /// An answer that is none of a backend's may be so late after the deadline: as late as the shell wakes.
    pub answer_slack: Micros,
    /// A connection rests for so long before its next request.
    pub quiet: Micros,
    /// Attempts that are not needed any more are called back.
    pub cancel: bool,
    /// All backends are of one realm: a keyed request of scope `all` may be refused though it ran, as long as its
    /// window is open when the client comes back.
    pub one_realm: bool,
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Rule {
    /// Exactly one final answer, a served one by an answer that came.
    OneAnswer,
    /// The answer comes, and everything is sent, before the request's time is up.
    InTime,
    /// Nothing after the final answer or after the client has left: nothing sent, nothing left running.
    NothingAfter,
    /// An unsafe request goes out again only when all earlier attempts was not executed.
    UnsafeOnce,
    /// A keyed one only to those that drop its repeats, and inside its window.
    KeyedInside,
    /// A refusal only where a retry is harmless.
    HarmlessRefusal,
    /// Nothing new to a backend later than the grace after its drain was told.
    Drain,
    /// No unclean connection is used again.
    CleanConnection,
    /// Nothing is sent without the permit that it wants, and each permit is used, refused or given back.
    Permit,
    /// Nothing is kept of a request that is over.
    NothingKept,
    /// When all is quiet, all is answered.
    AllAnswered,
    /// A cold backend is sent no more than its budget.
    ColdBudget,
}

impl std::fmt::Display for Rule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "exactly one final answer",
            Rule::InTime => "answered and sent before its time is up",
            Rule::NothingAfter => "nothing after the final answer",
            Rule::UnsafeOnce => "an unsafe request goes out again only when all earlier attempts never ran",
            Rule::KeyedInside => "a keyed request is repeated only in its group and window",
            Rule::HarmlessRefusal => "a refusal only where a retry is harmless",
            Rule::Drain => "nothing new to a box after its drain was told",
            Rule::CleanConnection => "no unclean connection is used again",
            Rule::Permit => "no byte before its permit, and no permit left open",
            Rule::NothingKept => "nothing is kept of a request that is over",
            Rule::AllAnswered => "when all is quiet, all is answered",
            Rule::ColdBudget => "a cold box is sent no more than its budget",
        })
    }
}

/// A rule was broken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Time,
    /// By which request, connection or backend, and how.
    pub text: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.rule, self.text)
    }
}

/// What every question returns.
pub type Verdict = Result<(), Violation>;

fn violation(rule: Rule, at: Time, text: String) -> Verdict {
    Err(Violation { rule, at, text })
}

/// All rules but the cold budget, which is the module's: see [`Cold`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Monitor {
    rules: Rules,
    record: Record,
}

impl Monitor {
    /// One that has seen nothing yet.
    pub fn new(rules: Rules) -> Monitor {
        Monitor { rules, record: Record::default() }
    }

    /// What it goes by.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Other measures from now on.
    pub fn configure(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// What it has put together.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The engine is about to be told this.
    ///
    /// # Errors
    /// The rule that is broken by now. The event is taken in all the same.
    pub fn see(&mut self, now: Time, event: &Event) -> Verdict {
        let late = answers::check_deadlines(&mut self.record, now, &self.rules);
        self.record.observe_event(now, event, &self.rules);
        late
    }

    /// The engine asks for this.
    ///
    /// # Errors
    /// The rule that it breaks. The action is taken in all the same.
    pub fn act(&mut self, now: Time, action: &Action) -> Verdict {
        let verdict = self.check_action(now, action);
        self.record.observe_action(now, action);
        verdict
    }

    fn check_action(&self, now: Time, action: &Action) -> Verdict {
        let (record, rules) = (&self.record, &self.rules);
        match action {
            Action::Send { connection, request, attempt, .. } => {
                answers::may_send(record, now, *request)?;
                let line = connections::may_use(record, now, *connection, rules)?;
                draining::may_send(record, now, line.to, rules)?;
                retries::may_send(record, now, *request, line.to)?;
                intents::may_send(record, now, *request, *attempt)
            }
            Action::Answer { request, answer, .. } => {
                answers::may_answer(record, now, *request, *answer, rules)
            }
            Action::PersistIntent { request, attempt } => {
                intents::may_request(record, now, *request, *attempt)
            }
            Action::WithdrawIntent { request, attempt } => {
                intents::may_withdraw(record, now, *request, *attempt)
            }
            Action::Connect { .. }
            | Action::Close { .. }
            | Action::AttemptEnded { .. }
            | Action::Subscribe { .. }
            | Action::Log { .. } => Ok(()),
        }
    }

    /// All actions of the event have been told.
    ///
    /// # Errors
    /// The rule that they leave broken.
    pub fn done(&mut self, now: Time) -> Verdict {
        let verdict = answers::check_nothing_running(&self.record, now, &self.rules)
            .and_then(|()| intents::check_none_open(&self.record, now));
        self.record.finish_step();
        verdict
    }

    /// One event with all that came of it.
    ///
    /// # Errors
    /// The first rule that is broken.
    pub fn step(&mut self, now: Time, event: Option<&Event>, actions: &[Action]) -> Verdict {
        let mut verdict = event.map_or(Ok(()), |event| self.see(now, event));
        for action in actions {
            let next = self.act(now, action);
            verdict = verdict.and(next);
        }
        let last = self.done(now);
        verdict.and(last)
    }

    /// Nothing is on its way and nothing is due.
    ///
    /// # Errors
    /// A request that waits for its answer.
    pub fn quiet(&self, now: Time) -> Verdict {
        answers::check_all_answered(&self.record, now)
    }
}
