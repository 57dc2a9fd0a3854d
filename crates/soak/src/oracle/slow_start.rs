//! Checks that a warming backend is not overloaded.

use super::{client_run_of, report, Evidence, Invariant, Violation, CORES, MEAN_WORK_MS};
use crate::settings::{RunSettings, OVERLOAD_WINDOW_US};
use shaletide_testkit::Record;
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;

/// An overload window in which a warming backend received more than its budget.
struct Overload<'a> {
    /// The requests in the window.
    records: &'a [&'a Record],
    /// Time from the backend's start to the end of the window.
    age: Micros,
    /// Maximum number of requests in the window.
    limit: f64,
}

impl Evidence {
    /// Returns the maximum number of requests to a backend in an overload window that begins at this age: the mean that the
    /// budget allows plus two to three standard deviations.
    pub fn cold_request_limit(settings: &RunSettings, age: Micros) -> f64 {
        let RunSettings { initial_capacity_fraction, slow_start_window_us, overload_multiple, .. } =
            *settings;
        let warmup_fraction = initial_capacity_fraction
            + (1.0 - initial_capacity_fraction) * (age.secs() / Micros(slow_start_window_us).secs()).min(1.0);
        let capacity =
            warmup_fraction * f64::from(CORES) * Micros(OVERLOAD_WINDOW_US).secs() / (MEAN_WORK_MS / 1e3);
        let allowed = overload_multiple * capacity;
        if allowed < 30.0 {
            allowed + 3.0 * allowed.sqrt() + 3.0
        } else {
            allowed + 2.0 * allowed.sqrt() + 2.0
        }
    }

    /// Returns when a start of a backend was listed; `None` for start 0, which is before the run.
    fn start_listed_at(&self, backend: usize, boot: usize) -> Option<Time> {
        let mut starts = self.backend_starts.iter().filter(|start| start.backend == backend);
        starts.nth(boot.checked_sub(1)?).map(|start| start.listed)
    }

    /// Reports the first overload of each start if more than two thirds of its requests came from processes that knew of
    /// the start.
    pub(super) fn check_slow_starts(&self, violations: &mut Vec<Violation>) {
        let processes = self.processes_by_client_run();
        let mut by_boot: BTreeMap<(usize, usize), Vec<&Record>> = BTreeMap::new();
        for record in &self.ledger.records {
            by_boot.entry((record.backend, record.boot)).or_default().push(record);
        }
        for ((backend_index, boot), records) in by_boot {
            let booted = self.ledger.backends[backend_index].boots.get(boot).and_then(|boot| boot.at);
            let Some((booted, listed)) = booted.zip(self.start_listed_at(backend_index, boot)) else {
                continue;
            };
            let Some(overload) = self.first_overload(&records, booted) else { continue };
            let knew_of_start = |record: &&&Record| {
                let process = client_run_of(&record.id).and_then(|run| processes.get(&run));
                process.is_some_and(|process| {
                    record.first_byte_at
                        >= self.change_known_at(&self.processes[*process], backend_index, listed)
                })
            };
            let received = overload.records.len();
            let informed = overload.records.iter().filter(knew_of_start).count();
            if 3 * informed > 2 * received {
                let Overload { age, limit, .. } = overload;
                let text = format!(
                    "b{backend_index} received {received} requests in 2 s up to {:.3} s after its start, \
                     {informed} from processes that knew of it; the limit is {limit:.0}",
                    age.secs()
                );
                report(violations, Invariant::Cold, text);
            }
        }
    }

    /// Returns the first window in which a backend received more than its budget while warming up. `records`: the requests
    /// of one start, in the order of their begin.
    fn first_overload<'a>(&self, records: &'a [&'a Record], booted: Time) -> Option<Overload<'a>> {
        let mut first = 0;
        for (last, record) in records.iter().enumerate() {
            while records[first].last_byte_at + Micros(OVERLOAD_WINDOW_US) < record.last_byte_at {
                first += 1;
            }
            let age_at_window_start = (record.last_byte_at - Micros(OVERLOAD_WINDOW_US)) - booted;
            let is_warm = age_at_window_start >= Micros(self.settings.slow_start_window_us);
            let limit = Evidence::cold_request_limit(&self.settings, age_at_window_start);
            let window = &records[first..=last];
            if !is_warm && window.len() as f64 > limit {
                return Some(Overload { records: window, age: record.last_byte_at - booted, limit });
            }
        }
        None
    }
}
