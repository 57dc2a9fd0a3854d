//! Checks starts, ends, memory and log lines of processes.

use super::{report, seconds, EndBySignal, Evidence, Invariant, Violation, MACHINE_SLACK};
use crate::hangups::{moment_of_end, SignalMoment, RECORDED_SIGNALS};
use crate::proxies::ProcessRecord;
use nix::sys::signal::Signal;
use shaletide_types::Micros;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;

/// Maximum time from the start of a process until it is ready.
const LONGEST_START: Micros = Micros(10_000_000);
/// Maximum time until a process is ready once its address is free or its configuration complete.
const LONGEST_START_AFTER_WAIT: Micros = Micros(1_000_000);
/// Limit of the peak memory of a process, KiB.
pub const MEMORY_LIMIT_KIB: u64 = 192 << 10;
/// Maximum time from the start of a process to its first instruction.
const LONGEST_TIME_TO_FIRST_INSTRUCTION: Micros = Micros(50_000);
/// Prefix of the last log line of a process that exits with status 1 because its self-check failed. The failures themselves
/// are reported from their own log lines.
const SELF_CHECK_FAILED: &str = "shaletide: self-check: rules were broken ";
/// Text in the self-check's log line on a late answer. The line is ignored because the clients measure that themselves.
const SELF_CHECK_OF_DEADLINES: &str = "answered and sent before its time is up";

impl Evidence {
    pub(super) fn check_processes(&self, violations: &mut Vec<Violation>) {
        for process in &self.processes {
            let name = name_of(process);
            self.check_end(process, &name, violations);
            self.check_start(process, &name, violations);
            if process.peak_memory_kib > MEMORY_LIMIT_KIB {
                let text = format!("{name} used {} KiB of {MEMORY_LIMIT_KIB}", process.peak_memory_kib);
                report(violations, Invariant::Memory, text);
            }
        }
        if self.evictions > 0 && !self.has_idle_crowds {
            let text = format!("{} clients were evicted while slots were free", self.evictions);
            report(violations, Invariant::NoNeedlessEviction, text);
        }
        for line in &self.log_lines {
            if line.contains("panicked") {
                report(violations, Invariant::NoCrash, line.clone());
            } else if line.contains("self-check:") && !line.contains(SELF_CHECK_OF_DEADLINES) {
                report(violations, Invariant::SelfCheck, line.clone());
            }
        }
    }

    /// Returns the processes that SIGHUP or SIGTERM has ended by its default action, with the trace of each. Ends by SIGHUP
    /// are violations whatever the trace shows.
    pub(crate) fn ends_by_signal(&self) -> Vec<EndBySignal> {
        let end = |process: &ProcessRecord| {
            let (_, status) = process.exit?;
            let signal = ending_signal(status).filter(|signal| RECORDED_SIGNALS.contains(signal))?;
            Some(EndBySignal {
                signal,
                violation: stop_text(&name_of(process), status),
                proxy: process.proxy,
                started_at: process.started_at,
                moment: self.moment_of_signal(process, signal),
                signals: process.signals.clone(),
            })
        };
        self.processes.iter().filter_map(end).collect()
    }

    fn check_end(&self, process: &ProcessRecord, name: &str, violations: &mut Vec<Violation>) {
        if process.outlived_stop {
            report(violations, Invariant::Stop, format!("{name} had not exited when SIGKILL was due"));
        }
        let Some((at, status)) = process.exit.filter(|_| process.killed_at.is_none()) else { return };
        let Some(stopped) = process.stop_requested_at else {
            report(violations, Invariant::NoCrash, format!("{name} ended at {:.3} s: {status}", seconds(at)));
            return;
        };
        let is_orderly = match (status.code(), ending_signal(status)) {
            (Some(0), _) => true,
            (Some(1), _) => process.reports_failed_self_check(),
            // No program can prevent an end by SIGTERM before its first instruction.
            (_, Some(signal @ Signal::SIGTERM)) => {
                stopped - process.started_at < LONGEST_TIME_TO_FIRST_INSTRUCTION
                    && self.moment_of_signal(process, signal) == SignalMoment::BeforeFirstInstruction
            }
            _ => false,
        };
        if !process.outlived_stop && !is_orderly {
            report(violations, Invariant::NoCrash, stop_text(name, status));
        }
    }

    fn check_start(&self, process: &ProcessRecord, name: &str, violations: &mut Vec<Violation>) {
        let end = process.stop_requested_at.or(process.killed_at).or(process.exit.map(|(at, _)| at));
        let Some(ready) = process.ready_at.or(end) else {
            report(violations, Invariant::Ready, format!("{name} was not ready"));
            return;
        };
        let since = process.unblocked_at.unwrap_or(process.started_at).max(process.started_at);
        let waited = process.unblocked_at.is_some() && !self.starts_are_slow;
        let after_wait = Micros(LONGEST_START_AFTER_WAIT.0 + MACHINE_SLACK.0 + self.pause_allowance().0);
        let allowed = if waited { after_wait } else { LONGEST_START };
        if ready > since + allowed {
            let after = (ready - since).secs();
            report(violations, Invariant::Ready, format!("{name} was ready {after:.3} s after it could be"));
        }
    }

    /// Returns when the signal that ended a process arrived. A process that was ever ready had executed its first instruction,
    /// whatever the records show, and the first signal that a process does not block ends it.
    fn moment_of_signal(&self, process: &ProcessRecord, signal: Signal) -> SignalMoment {
        let is_possible =
            process.ready_at.is_none() && process.signals.first().is_some_and(|first| first.signal == signal);
        match moment_of_end(&process.signals, &self.program) {
            SignalMoment::BeforeFirstInstruction if !is_possible => SignalMoment::NotShown,
            moment => moment,
        }
    }
}

impl ProcessRecord {
    fn reports_failed_self_check(&self) -> bool {
        self.last_line.as_deref().is_some_and(|line| line.starts_with(SELF_CHECK_FAILED))
    }
}

/// Returns the signal that has ended a process by its default action.
fn ending_signal(status: ExitStatus) -> Option<Signal> {
    Signal::try_from(status.signal()?).ok()
}

fn name_of(process: &ProcessRecord) -> String {
    process.log.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}

/// Returns the text of the violation for a process that did not exit in an orderly way after its stop.
fn stop_text(name: &str, status: ExitStatus) -> String {
    format!("{name} ended its stop with {status}")
}
