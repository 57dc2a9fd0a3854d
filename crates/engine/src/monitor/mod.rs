//! The invariants of routing as monitors of the engine's events and actions.
//!
//! A monitor neither reads the engine's state nor calls its code, except for [`Monitor::check_leftovers`], which compares
//! ids. [`ObservedState`] derives from events and actions alone which attempts may have been executed, and each rule is
//! checked against it; each submodule has one or two rules. The model checker checks after every step of every model, the
//! socket tests and `--self-check` while the program runs.
//!
//! For each event, call [`Monitor::observe_event`] before the engine handles it, [`Monitor::observe_action`] for each action
//! in order, and [`Monitor::finish_step`] after the last action. Each returns the rule that is broken, if any; the monitor
//! continues after a violation.
//!
//! Cost: a few look-ups for each event or action, and a walk over the attempts of one request when it is sent or ends.
//! Ended requests, connections and backends are removed, so that the observed state is no larger than what is open, in
//! flight or listed.

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

pub use observed::{
    IntentState, ObservedAttempt, ObservedBackend, ObservedConnection, ObservedConnectionState,
    ObservedPlacement, ObservedRequest, ObservedState,
};
pub use slow_start::{SlowStartMonitor, SlowStartRules};

use crate::event::{Action, Event};
use shaletide_types::*;

/// The parameters of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// How long an attempt may still be sent to a backend after the update by which it is draining or gone; zero: never.
    pub drain_grace: Micros,
    /// How long after the deadline an answer that no backend served may come, as the driver may wake late. The time for
    /// which the driver waited for a processor since the deadline is added: see [`Monitor::observe_processor_wait`].
    pub answer_slack: Micros,
    /// The reuse delay: how long a connection stays idle before its next request.
    pub reuse_delay: Micros,
    /// Whether attempts whose result is not needed are cancelled.
    pub cancellation: bool,
    /// Whether all backends share one deduplication domain. A keyed request of scope `all` may then be rejected although it
    /// may have been executed, if its deduplication window is still open when the client retries.
    pub has_only_one_deduplication_domain: bool,
}

/// An invariant that the monitors check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Rule {
    /// A request receives exactly one final answer, and a served one only with a response that was received.
    OneAnswer,
    /// A request is answered and its attempts are sent before its deadline.
    BeforeDeadline,
    /// After the final answer or the client's disconnection nothing is sent and no attempt continues.
    NothingAfter,
    /// A non-idempotent request is sent again only if no earlier attempt was executed.
    NonIdempotentOnce,
    /// A keyed request is sent again only to backends that discard its repeats, and within its deduplication window.
    KeyedInScopeAndWindow,
    /// A request is rejected only if a retry is harmless.
    HarmlessRejection,
    /// No attempt is sent to a backend that is draining or gone, once the grace has passed.
    Draining,
    /// No connection with excess bytes or an incomplete request on it is used again.
    CleanConnection,
    /// No attempt is sent before its intent is durable, and each intent is used, has failed or is withdrawn.
    DurableIntent,
    /// No state is kept of a request that has ended.
    NoLeftovers,
    /// When nothing is in flight or due, every request is answered.
    AllAnswered,
    /// A backend is sent no more than its slow start budget.
    SlowStartBudget,
}

impl std::fmt::Display for Rule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "exactly one final answer",
            // The soak test matches this text in the log.
            Rule::BeforeDeadline => "answered and sent before its time is up",
            Rule::NothingAfter => "nothing after the final answer",
            Rule::NonIdempotentOnce => {
                "a non-idempotent request is sent again only if no earlier attempt was executed"
            }
            Rule::KeyedInScopeAndWindow => {
                "a keyed request is sent again only in its deduplication scope and window"
            }
            Rule::HarmlessRejection => "a refusal only where a retry is harmless",
            // A test of the model checker and docs/explore.md quote this text and that of `draining`.
            Rule::Draining => "nothing new to a box after its drain was told",
            Rule::CleanConnection => "no unclean connection is used again",
            Rule::DurableIntent => "no byte before the intent is durable, and no intent left open",
            Rule::NoLeftovers => "nothing is kept of a request that has ended",
            Rule::AllAnswered => "when nothing is in flight or due, every request is answered",
            Rule::SlowStartBudget => "a backend is sent no more than its slow start budget",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation was observed.
    pub at: Time,
    /// The request, connection or backend that broke the rule, and how.
    pub description: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.rule, self.description)
    }
}

/// The result of a check.
pub type Verdict = Result<(), Violation>;

fn violation(rule: Rule, at: Time, description: String) -> Verdict {
    Err(Violation { rule, at, description })
}

/// Checks all rules except the balancer's slow start budget: see [`SlowStartMonitor`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Monitor {
    rules: Rules,
    observed: ObservedState,
}

impl Monitor {
    /// Creates a monitor without observations.
    pub fn new(rules: Rules) -> Monitor {
        Monitor { rules, observed: ObservedState::default() }
    }

    /// The parameters of the rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Replaces the parameters of the rules.
    pub fn configure(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// The observed state.
    pub fn observed(&self) -> &ObservedState {
        &self.observed
    }

    /// Records for how long the driver's thread has waited for a processor since its start. Called before
    /// [`Monitor::observe_event`] if that time is known; an answer does not count as late because of it.
    pub fn observe_processor_wait(&mut self, now: Time, total: Micros) {
        self.observed.processor_wait.record(now, total);
    }

    /// Observes an event. Called before the engine handles it.
    ///
    /// # Errors
    /// The rule that is broken at this time. The event is recorded in any case.
    pub fn observe_event(&mut self, now: Time, event: &Event) -> Verdict {
        let deadline_verdict = answers::check_deadlines(&mut self.observed, now, &self.rules);
        self.observed.observe_event(now, event, &self.rules);
        deadline_verdict
    }

    /// Observes an action of the engine. Called for each action, in order.
    ///
    /// # Errors
    /// The rule that the action breaks. The action is recorded in any case.
    pub fn observe_action(&mut self, now: Time, action: &Action) -> Verdict {
        let verdict = self.check_action(now, action);
        self.observed.observe_action(now, action);
        verdict
    }

    fn check_action(&self, now: Time, action: &Action) -> Verdict {
        let (observed, rules) = (&self.observed, &self.rules);
        match action {
            Action::Send { connection, request, attempt, requires_live_path, .. } => {
                answers::may_send(observed, now, *request)?;
                let used = connections::may_use(observed, now, *connection, rules)?;
                draining::may_send(observed, now, used.backend, rules)?;
                retries::may_send(observed, now, *request, used.backend)?;
                retries::may_use(observed, now, *request, *connection, *requires_live_path)?;
                intents::may_send(observed, now, *request, *attempt)
            }
            Action::Answer { request, answer, .. } => {
                answers::may_answer(observed, now, *request, *answer, rules)
            }
            Action::PersistIntent { request, attempt } => {
                intents::may_request(observed, now, *request, *attempt)
            }
            Action::WithdrawIntent { request, attempt } => {
                intents::may_withdraw(observed, now, *request, *attempt)
            }
            Action::Connect { .. }
            | Action::Close { .. }
            | Action::GivenUp { .. }
            | Action::AttemptEnded { .. }
            | Action::Subscribe { .. }
            | Action::Log { .. } => Ok(()),
        }
    }

    /// Ends a step. Called after the last action of an event.
    ///
    /// # Errors
    /// The rule that is broken at the end of the step.
    pub fn finish_step(&mut self, now: Time) -> Verdict {
        let verdict = answers::check_nothing_running(&self.observed, now, &self.rules)
            .and_then(|()| intents::check_none_open(&self.observed, now))
            .and_then(|()| retries::check_no_late_arrival(&mut self.observed, now));
        self.observed.finish_step();
        verdict
    }

    /// Observes one event with all its actions; `None`: a step without an event.
    ///
    /// # Errors
    /// The first rule that is broken.
    pub fn observe_step(&mut self, now: Time, event: Option<&Event>, actions: &[Action]) -> Verdict {
        let mut verdict = event.map_or(Ok(()), |event| self.observe_event(now, event));
        for action in actions {
            let action_verdict = self.observe_action(now, action);
            verdict = verdict.and(action_verdict);
        }
        let step_verdict = self.finish_step(now);
        verdict.and(step_verdict)
    }

    /// Checks that every request is answered. Called when nothing is in flight or due.
    ///
    /// # Errors
    /// A request without an answer.
    pub fn check_quiescent(&self, now: Time) -> Verdict {
        answers::check_all_answered(&self.observed, now)
    }
}
