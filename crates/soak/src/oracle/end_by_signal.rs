//! A process that SIGHUP or SIGTERM has ended, with its trace.

use crate::hangups::{SignalFinding, SignalMoment, SignalRecord};
use nix::sys::signal::Signal;
use shaletide_types::Time;
use std::fmt;

/// A process that SIGHUP or SIGTERM ended while it was being stopped, by the signal's default action.
#[derive(Clone, Debug, PartialEq)]
pub struct EndBySignal {
    /// The signal that ended it.
    pub signal: Signal,
    /// The text of its violation of [`super::Invariant::NoCrash`]; an end by SIGTERM before the first
    /// instruction is not a violation.
    pub violation: String,
    /// The proxy of the process.
    pub proxy: usize,
    /// When the process was started.
    pub started_at: Time,
    /// When the signal arrived, from the records of each SIGHUP and SIGTERM that the process received.
    pub moment: SignalMoment,
    /// These records, in order.
    pub signals: Vec<SignalRecord>,
}

/// Prints one line for the moment, and one for each signal.
impl fmt::Display for EndBySignal {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let started = super::seconds(self.started_at);
        write!(to, "{}: {}; started at {started:.6} s", self.violation, moment_text(self.moment))?;
        for record in &self.signals {
            let after = (record.sent_at - self.started_at).secs() * 1e3;
            let finding = finding_text(&record.finding);
            let signal = record.signal;
            write!(
                to,
                "\n    {signal} {after:.3} ms after the start found {finding}; {}",
                record.observation
            )?;
        }
        Ok(())
    }
}

fn moment_text(moment: SignalMoment) -> &'static str {
    match moment {
        SignalMoment::BeforeFirstInstruction => "the signal came before the first instruction",
        SignalMoment::AfterFirstInstruction => "the signal came after the first instruction",
        SignalMoment::NotShown => "not shown when the signal came",
    }
}

fn finding_text(finding: &SignalFinding) -> String {
    match finding {
        SignalFinding::Blocked => "it blocked".to_string(),
        SignalFinding::NotBlocked(point) => format!("it not blocked, {point}"),
        SignalFinding::Ended => "an ended process".to_string(),
        SignalFinding::Unknown => "what is unknown".to_string(),
    }
}
