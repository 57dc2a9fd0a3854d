//! Processes: their starts, their ends, their memory, and what they say themselves.

use super::{report, seconds, Evidence, Invariant, Violation, MACHINE_SLACK};
use crate::proxies::Life;
use shaletide_types::Micros;
use std::os::unix::process::ExitStatusExt;

/// A new process is ready after this time.
const LONGEST_START: Micros = Micros(10_000_000);
/// One whose address was held, or whose configuration was not whole, is ready so long after that is over.
const LONGEST_START_AFTER_WAIT: Micros = Micros(1_000_000);
/// A process that is told to end so soon after its start may not handle the signal yet, and is ended by it.
const STOP_BEFORE_HANDLERS: Micros = Micros(50_000);
/// The memory that a process may use, KiB.
pub const MEMORY_LIMIT_KIB: u64 = 192 << 10;
/// What the program's own check says where an answer is late: the clients measure that themselves.
const SELF_CHECK_OF_DEADLINES: &str = "answered and sent before its time is up";

impl Evidence {
    pub(super) fn check_processes(&self, violations: &mut Vec<Violation>) {
        for life in &self.lives {
            let name =
                life.log.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            self.check_end(life, &name, violations);
            self.check_start(life, &name, violations);
            if life.peak_memory_kib > MEMORY_LIMIT_KIB {
                let text = format!("{name} took {} KiB of {MEMORY_LIMIT_KIB}", life.peak_memory_kib);
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

    fn check_end(&self, life: &Life, name: &str, violations: &mut Vec<Violation>) {
        if life.outlived_its_stop {
            report(violations, Invariant::Stop, format!("{name} was still there when SIGKILL was due"));
        }
        let Some((at, status)) = life.ended.filter(|_| life.killed.is_none()) else { return };
        let Some(stopped) = life.stopped else {
            report(violations, Invariant::NoCrash, format!("{name} ended at {:.3} s: {status}", seconds(at)));
            return;
        };
        let is_early =
            stopped - life.started < STOP_BEFORE_HANDLERS && status.signal() == Some(libc::SIGTERM);
        // It ends with status 1 where its own check found something, which is counted there.
        let is_orderly = matches!(status.code(), Some(0 | 1));
        if !life.outlived_its_stop && !is_early && !is_orderly {
            report(violations, Invariant::NoCrash, format!("{name} ended its stop with {status}"));
        }
    }

    fn check_start(&self, life: &Life, name: &str, violations: &mut Vec<Violation>) {
        let end = life.stopped.or(life.killed).or(life.ended.map(|(at, _)| at));
        let Some(ready) = life.ready.or(end) else {
            report(violations, Invariant::Ready, format!("{name} was not ready"));
            return;
        };
        let since = life.unblocked.unwrap_or(life.started).max(life.started);
        let waited = life.unblocked.is_some() && !self.starts_are_slow;
        let after_wait = Micros(LONGEST_START_AFTER_WAIT.0 + MACHINE_SLACK.0 + self.pause_allowance().0);
        let allowed = if waited { after_wait } else { LONGEST_START };
        if ready > since + allowed {
            let after = (ready - since).secs();
            report(violations, Invariant::Ready, format!("{name} was ready {after:.3} s after it could be"));
        }
    }
}
