//! What was written down in a run.

use super::{client_run_of, seconds, LONGEST_PAUSE};
use crate::clients::ClientDisconnect;
use crate::proxies::ProcessRecord;
use crate::settings::RunSettings;
use shaletide_testkit::{Ledger, LoadResult, Record};
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;

/// After a link is as usual bytes may still be on their way for so long.
const DELAYED_LINK_TAIL: Micros = Micros(500_000);

/// What the clients of one process got.
#[derive(Clone, Debug)]
pub struct ClientRecords {
    /// Its place in [`Evidence::processes`].
    pub process: usize,
    /// The ordinary load.
    pub load: LoadResult,
    /// Those that left, and the first half of their ids.
    pub disconnects: (u32, Vec<ClientDisconnect>),
}

/// A backend's time out of the list's service.
#[derive(Clone, Copy, Debug)]
pub struct DrainSpan {
    /// Its place in the ledger.
    pub backend: usize,
    /// When discovery was told.
    pub from: Time,
    /// When it was listed again.
    pub until: Option<Time>,
}

/// A time in which bytes from a proxy to a backend are late on their way.
#[derive(Clone, Copy, Debug)]
pub struct DelayedLink {
    /// Which proxy.
    pub proxy: usize,
    /// Which backend.
    pub backend: usize,
    /// From when on.
    pub from: Time,
    /// Until when.
    pub until: Time,
}

/// An entry of the list was written to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct ListWrite {
    /// To which.
    pub proxy: usize,
    /// Of which backend.
    pub backend: usize,
    /// When its last byte was written.
    pub at: Time,
}

/// A backend started anew.
#[derive(Clone, Copy, Debug)]
pub struct BackendStart {
    /// Its place in the ledger.
    pub backend: usize,
    /// When discovery was told.
    pub listed: Time,
}

/// All that was written down in a run.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// The backends' records.
    pub ledger: Ledger,
    /// All processes.
    pub processes: Vec<ProcessRecord>,
    /// What the clients of each got.
    pub clients: Vec<ClientRecords>,
    /// Drains and removals.
    pub drains: Vec<DrainSpan>,
    /// Starts of backends, in order.
    pub backend_starts: Vec<BackendStart>,
    /// For each proxy, when discovery could not be reached.
    pub discovery_outages: Vec<Vec<(Time, Time)>>,
    /// For each proxy, when it was told that discovery has moved.
    pub discovery_moves: Vec<Vec<Time>>,
    /// What came to a backend over such a link says nothing of when it was sent.
    pub delayed_links: Vec<DelayedLink>,
    /// Clients that the processes say they evicted, and whether idle ones may have filled their slots.
    pub evictions: u64,
    /// Many idle clients were there: evictions are right.
    pub has_idle_crowds: bool,
    /// The lines of the logs that matter, with their files' names.
    pub log_lines: Vec<String>,
    /// What discovery wrote to whom, where it is asked.
    pub list_writes: Vec<ListWrite>,
    /// Discovery is asked: a change is told when it is written.
    pub polls_discovery: bool,
    /// Processes were held up.
    pub processes_paused: bool,
    /// What the proxies were told.
    pub settings: RunSettings,
    /// System calls failed, or processes were held up at their starts, so that these take longer.
    pub starts_are_slow: bool,
}

impl Evidence {
    pub(super) fn pause_allowance(&self) -> Micros {
        if self.processes_paused {
            LONGEST_PAUSE
        } else {
            Micros(0)
        }
    }

    /// The process to which the clients with such ids were connected.
    pub(super) fn processes_by_client_run(&self) -> BTreeMap<u32, usize> {
        let runs = self.clients.iter().flat_map(|c| [(c.load.run, c.process), (c.disconnects.0, c.process)]);
        runs.collect()
    }

    /// Whether a record came when it was sent; not where it came over a link that held bytes back.
    pub(super) fn is_timely(&self, record: &Record, proxy: usize) -> bool {
        !self.delayed_links.iter().any(|link| {
            let here = link.proxy == proxy && link.backend == record.at_box;
            here && record.came >= link.from && record.came <= link.until + DELAYED_LINK_TAIL
        })
    }

    /// Records that came when they were sent, with the process that sent each.
    pub(super) fn timely(&self) -> impl Iterator<Item = (&Record, usize)> {
        let processes = self.processes_by_client_run();
        self.ledger.records.iter().filter_map(move |record| {
            let process = *processes.get(&client_run_of(&record.id)?)?;
            self.is_timely(record, self.processes[process].proxy).then_some((record, process))
        })
    }

    pub(super) fn describe(&self, places: &[usize]) -> String {
        let one = |place: &usize| {
            let r = &self.ledger.records[*place];
            let ended = r.ended.map(|(at, how)| (seconds(at), how));
            format!("; {} at b{} {:.3} s, ended {ended:?}", r.id, r.at_box, seconds(r.began))
        };
        places.iter().map(one).collect()
    }
}
