//! A thread's scheduler statistics from the kernel: the time for which it ran, and the time for which it was ready to run
//! and waited for a processor.

use shaletide_types::{Micros, Time, TotalHistory};

/// The kernel's statistics of the calling thread: nanoseconds run, nanoseconds waited, number of time slices.
const COUNTS_FILE: &str = "/proc/thread-self/schedstat";
const NS_PER_US: u64 = 1_000;

/// The processor time of a thread, since its start or since a later moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessorTime {
    /// The time for which the thread ran.
    pub run: Micros,
    /// The time for which the thread was ready to run and waited for a processor. Time for which it was stopped by a signal
    /// is not included.
    pub waited: Micros,
}

impl ProcessorTime {
    /// Reads the processor time of the calling thread since its start; `None` if the kernel does not provide it.
    pub fn of_this_thread() -> Option<ProcessorTime> {
        let text = std::fs::read_to_string(COUNTS_FILE).ok()?;
        let mut counts_ns = text.split_whitespace().map_while(|count| count.parse::<u64>().ok());
        let run = Micros(counts_ns.next()? / NS_PER_US);
        let waited = Micros(counts_ns.next()? / NS_PER_US);
        Some(ProcessorTime { run, waited })
    }
}

/// Samples of one thread's processor time.
#[derive(Debug, Default)]
pub struct ProcessorTimeHistory {
    run: TotalHistory,
    waited: TotalHistory,
}

impl ProcessorTimeHistory {
    /// Adds a sample of the calling thread, which has to be the same in all calls. Does nothing if the kernel does not
    /// provide the statistics.
    pub fn sample(&mut self, now: Time) {
        let Some(total) = ProcessorTime::of_this_thread() else { return };
        self.run.record(now, total.run);
        self.waited.record(now, total.waited);
    }

    /// Returns the processor time between the last sample at or before `moment` and the latest sample.
    pub fn since(&self, moment: Time) -> ProcessorTime {
        ProcessorTime { run: self.run.growth_since(moment), waited: self.waited.growth_since(moment) }
    }
}
