//! The steps of an experiment as single actions with their times. Pure: the same experiment gives the same plan.

use crate::experiment::{BackendFault, Experiment, ListState, Signal, Step, What};
use std::time::Duration;

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A step that service may suffer from begins: its number.
    Mark(usize),
    /// Signals a proxy's process.
    Signal(usize, Signal),
    /// Starts a proxy's process once it is down.
    Start {
        /// Which.
        proxy: usize,
        /// Whether its directory is emptied.
        fresh: bool,
    },
    /// Reloads the configuration of a proxy, with the `more` of that step.
    Reload(usize, usize),
    /// Sets the link fault of a step, or clears it.
    Links(usize, bool),
    /// Sets the state of the list service.
    List(ListState),
    /// Drains a backend.
    Drain(usize),
    /// Kills a backend.
    KillBackend(usize),
    /// Restarts a backend.
    StartBackend(usize),
    /// Drains a backend and starts its spare.
    Replace(usize),
    /// Kills a backend that was replaced.
    Replaced(usize),
    /// Sets the fault of a backend.
    Backend(usize, BackendFault),
    /// Multiplies the request rate.
    Burst(f64),
}

/// An action and when it is due, counted from the first request.
#[derive(Clone, Debug, PartialEq)]
pub struct Due {
    /// When.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// When the step's effect ends; none if it lasts.
pub fn ends(step: &Step) -> Option<Duration> {
    match &step.what {
        What::Restart { down, .. } | What::Replace { down } => Some(step.at + step.over + *down),
        _ => step.lasts.map(|lasts| step.at + step.over + lasts),
    }
}

/// All actions of an experiment, in order. Of those due at the same time, the first in the file comes first.
pub fn plan(experiment: &Experiment) -> Vec<Due> {
    let mut plan = Vec::new();
    for (number, step) in experiment.steps.iter().enumerate() {
        if step.fault {
            plan.push(Due { at: step.at, action: Action::Mark(number) });
        }
        expand(number, step, &mut plan);
    }
    plan.sort_by_key(|due| due.at); // stable
    plan
}

fn expand(number: usize, step: &Step, plan: &mut Vec<Due>) {
    let mut actions = StepActions { step, plan };
    match &step.what {
        What::Signal(signal) => actions.signal(*signal),
        What::Start { fresh } => actions.each_proxy(|proxy| Action::Start { proxy, fresh: *fresh }),
        What::Restart { term, down, fresh } => actions.restart(*term, *down, *fresh),
        What::Reload { .. } => actions.each_proxy(|proxy| Action::Reload(proxy, number)),
        What::Links { .. } => actions.span(Action::Links(number, true), Action::Links(number, false)),
        What::List(state) => actions.span(Action::List(*state), Action::List(ListState::Up)),
        What::Drain => actions.each_backend(Action::Drain),
        What::KillBackends => actions.each_backend(Action::KillBackend),
        What::StartBackends => actions.each_backend(Action::StartBackend),
        What::Replace { down } => actions.replace(*down),
        What::Backends(fault) => actions.backend_fault(*fault),
        What::Burst(times) => actions.span(Action::Burst(*times), Action::Burst(1.0)),
    }
}

/// Adds the actions of one step to the plan.
struct StepActions<'a> {
    step: &'a Step,
    plan: &'a mut Vec<Due>,
}

impl StepActions<'_> {
    fn push(&mut self, at: Duration, action: Action) {
        self.plan.push(Due { at, action });
    }

    /// The members with their times, spread evenly over the step's span.
    fn spread(&self, members: &[usize]) -> Vec<(Duration, usize)> {
        let (at, over) = (self.step.at, self.step.over);
        let parts = members.len().max(1) as u32;
        (0u32..).zip(members).map(|(nth, member)| (at + over * nth / parts, *member)).collect()
    }

    fn proxies(&self) -> Vec<(Duration, usize)> {
        self.spread(&self.step.proxies)
    }

    fn backends(&self) -> Vec<(Duration, usize)> {
        self.spread(&self.step.backends)
    }

    fn each_proxy(&mut self, action: impl Fn(usize) -> Action) {
        for (at, proxy) in self.proxies() {
            self.push(at, action(proxy));
        }
    }

    fn each_backend(&mut self, action: impl Fn(usize) -> Action) {
        for (at, backend) in self.backends() {
            self.push(at, action(backend));
        }
    }

    /// One action when the step begins and, if it does not stay in force, one when it ends.
    fn span(&mut self, begin: Action, end: Action) {
        self.push(self.step.at, begin);
        if let Some(lasts) = self.step.lasts {
            self.push(self.step.at + lasts, end);
        }
    }

    fn signal(&mut self, signal: Signal) {
        self.each_proxy(|proxy| Action::Signal(proxy, signal));
        let Some(lasts) = self.step.lasts else { return };
        for (at, proxy) in self.proxies() {
            self.push(at + lasts, Action::Signal(proxy, Signal::Continue));
        }
    }

    fn restart(&mut self, term: bool, down: Duration, fresh: bool) {
        let signal = if term { Signal::Term } else { Signal::Kill };
        for (at, proxy) in self.proxies() {
            self.push(at, Action::Signal(proxy, signal));
            self.push(at + down, Action::Start { proxy, fresh });
        }
    }

    fn replace(&mut self, down: Duration) {
        for (at, backend) in self.backends() {
            self.push(at, Action::Replace(backend));
            self.push(at + down, Action::Replaced(backend));
        }
    }

    fn backend_fault(&mut self, fault: BackendFault) {
        for (at, backend) in self.backends() {
            self.push(at, Action::Backend(backend, fault));
            if let Some(lasts) = self.step.lasts {
                self.push(at + lasts, Action::Backend(backend, BackendFault::Well));
            }
        }
    }
}

#[cfg(test)]
mod tests;
