//! The self-check: checks the invariants of routing on all events and actions of the engine.

use super::attempts::REUSE_DELAY;
use super::Driver;
use crate::processor_time::ProcessorTime;
use shaletide_engine::monitor::{Monitor, Rules, Verdict};
use shaletide_engine::{Action, Engine, Event};
use shaletide_routing::Pools;
use shaletide_types::{Micros, Time};
use tracing::error;

/// How late a final response may be before the monitors report a violation, in addition to the time for which the event
/// loop waited for a processor.
const ANSWER_SLACK: Micros = Micros(100_000);
/// The interval at which the time waited for a processor is read from the kernel: short compared with [`ANSWER_SLACK`].
const WAIT_SAMPLE_INTERVAL: Micros = Micros(5_000);
/// The number of violations whose texts are kept.
const MAX_RECORDED_VIOLATIONS: usize = 50;

/// Checks the engine with monitors that share no code with it, and keeps the violations that they report.
pub(super) struct InvariantChecker {
    monitor: Monitor,
    /// When the time waited for a processor was last read.
    wait_sampled_at: Time,
    violations: Vec<String>,
    /// The number of all violations, including those whose texts are not kept.
    violation_count: u64,
}

impl InvariantChecker {
    fn new(rules: Rules) -> InvariantChecker {
        InvariantChecker {
            monitor: Monitor::new(rules),
            wait_sampled_at: Time(0),
            violations: Vec::new(),
            violation_count: 0,
        }
    }

    /// Updates the monitor's rules after a setup of the pools.
    pub fn configure(&mut self, may_cancel_attempts: bool, has_one_deduplication_domain: bool) {
        let rules = Rules {
            cancellation: may_cancel_attempts,
            has_only_one_deduplication_domain: has_one_deduplication_domain,
            ..*self.monitor.rules()
        };
        self.monitor.configure(rules);
    }

    /// Lets the engine handle an event, and checks the event and the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, engine: &mut Engine<Pools>, actions: &mut Vec<Action>) {
        self.sample_processor_wait(now);
        let verdict = self.monitor.observe_event(now, &event);
        self.record(verdict);
        engine.handle(now, event, actions);
        for action in actions.iter() {
            let verdict = self.monitor.observe_action(now, action);
            self.record(verdict);
        }
        let verdict = self.monitor.finish_step(now);
        self.record(verdict);
    }

    /// Reports to the monitor how long this thread has waited for a processor, if the kernel provides the figure.
    fn sample_processor_wait(&mut self, now: Time) {
        if now - self.wait_sampled_at < WAIT_SAMPLE_INTERVAL {
            return;
        }
        self.wait_sampled_at = now;
        if let Some(total) = ProcessorTime::of_this_thread() {
            self.monitor.observe_processor_wait(now, total.waited);
        }
    }

    /// Checks that the engine keeps no state of ended requests, closed connections and gone backends.
    pub fn check_retained_state(&mut self, now: Time, engine: &Engine<Pools>) {
        let verdict = self.monitor.check_leftovers(now, engine);
        self.record(verdict);
    }

    /// Counts a violation, and logs it if it is one of the first [`MAX_RECORDED_VIOLATIONS`].
    fn record(&mut self, verdict: Verdict) {
        let Err(violation) = verdict else { return };
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            error!("self-check: {violation}");
        }
        self.add(violation.to_string());
    }

    fn add(&mut self, violation: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(violation);
        }
    }
}

impl Driver {
    /// Enables the self-check: from now on each event and action is checked. Violations are logged, and kept for
    /// [`Driver::violations`]. `drain_grace` is the time for which a backend may still get new attempts after the event
    /// that reports it as draining.
    pub fn enable_self_check(&self, drain_grace: Micros) {
        let rules = Rules {
            drain_grace,
            answer_slack: ANSWER_SLACK,
            reuse_delay: REUSE_DELAY,
            cancellation: true,
            has_only_one_deduplication_domain: false,
        };
        self.state.borrow_mut().checker = Some(InvariantChecker::new(rules));
    }

    /// Logs a violation that the caller has found, and keeps it if the self-check is enabled.
    pub fn report_violation(&self, text: &str) {
        error!("self-check: {text}");
        if let Some(checker) = &mut self.state.borrow_mut().checker {
            checker.add(text.into());
        }
    }

    /// Returns the number of violations since the self-check was enabled, and the texts of the first 50.
    pub fn violations(&self) -> (u64, Vec<String>) {
        match &self.state.borrow().checker {
            Some(checker) => (checker.violation_count, checker.violations.clone()),
            None => (0, Vec::new()),
        }
    }
}
