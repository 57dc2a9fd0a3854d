//! The records of a run.

use super::{client_run_of, seconds, LONGEST_PAUSE};
use crate::clients::ClientDisconnect;
use crate::proxies::ProcessRecord;
use crate::settings::RunSettings;
use shaletide_testkit::{Ledger, LoadResult, Record, SilentCall};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Time for which delayed bytes may still arrive after a link works again.
const DELAYED_LINK_TAIL: Micros = Micros(500_000);

/// The records of the clients of one process.
#[derive(Clone, Debug)]
pub struct ClientRecords {
    /// Index of the process in [`Evidence::processes`].
    pub process: usize,
    /// The ordinary load.
    pub load: LoadResult,
    /// The client run of the clients that disconnected, and their disconnects.
    pub disconnects: (u32, Vec<ClientDisconnect>),
}

/// A period in which a backend drains or is not listed.
#[derive(Clone, Copy, Debug)]
pub struct DrainSpan {
    /// Index of the backend in the ledger.
    pub backend: usize,
    /// When discovery received the drain.
    pub from: Time,
    /// When it was listed again.
    pub until: Option<Time>,
}

/// A period in which bytes from a proxy to a backend are delayed.
#[derive(Clone, Copy, Debug)]
pub struct DelayedLink {
    /// Index of the proxy.
    pub proxy: usize,
    /// Index of the backend in the ledger.
    pub backend: usize,
    /// Start of the period.
    pub from: Time,
    /// End of the period.
    pub until: Time,
}

/// A write of an endpoint list entry to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct ListWrite {
    /// Index of the proxy.
    pub proxy: usize,
    /// Index of the entry's backend.
    pub backend: usize,
    /// When its last byte was written.
    pub at: Time,
}

/// A start of a backend during the run.
#[derive(Clone, Copy, Debug)]
pub struct BackendStart {
    /// Index of the backend in the ledger.
    pub backend: usize,
    /// When discovery received the start.
    pub listed: Time,
}

/// All records of a run.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// The backends' records.
    pub ledger: Ledger,
    /// All processes of the proxies.
    pub processes: Vec<ProcessRecord>,
    /// The records of the clients of each process.
    pub clients: Vec<ClientRecords>,
    /// Connections accepted by a conflicting listener at a proxy's address: the proxy and the client's address.
    pub clients_of_conflicting_listeners: BTreeSet<(usize, SocketAddr)>,
    /// Drains and removals.
    pub drains: Vec<DrainSpan>,
    /// Starts of backends during the run, in order.
    pub backend_starts: Vec<BackendStart>,
    /// For each proxy, the periods in which it could not reach discovery.
    pub discovery_outages: Vec<Vec<(Time, Time)>>,
    /// For each proxy, the times at which it was signalled that discovery has moved.
    pub discovery_moves: Vec<Vec<Time>>,
    /// Links on which the arrival of a request does not show when it was sent.
    pub delayed_links: Vec<DelayedLink>,
    /// Number of evicted clients, from the processes' logs.
    pub evictions: u64,
    /// Whether idle clients may have filled the slots, so that evictions are correct.
    pub has_idle_crowds: bool,
    /// Log lines of panics and of the self-check, each with the name of its file.
    pub log_lines: Vec<String>,
    /// List entries that discovery wrote; empty unless the proxies poll discovery.
    pub list_writes: Vec<ListWrite>,
    /// Calls at discovery that fell silent; the watcher is the index of the proxy.
    pub silent_calls: Vec<SilentCall>,
    /// Whether the proxies poll discovery, so that a change is known when it is written.
    pub polls_discovery: bool,
    /// Whether processes were paused.
    pub processes_paused: bool,
    /// The program that the processes execute.
    pub program: PathBuf,
    /// The settings of all proxies.
    pub settings: RunSettings,
    /// Whether system calls failed or processes were paused, so that starts take longer.
    pub starts_are_slow: bool,
}

impl Evidence {
    /// Returns the evidence of a run with only these processes of one proxy, and without load and faults.
    pub fn of_quiet_run(ledger: Ledger, processes: Vec<ProcessRecord>, program: PathBuf) -> Evidence {
        Evidence {
            ledger,
            processes,
            clients: Vec::new(),
            clients_of_conflicting_listeners: BTreeSet::new(),
            drains: Vec::new(),
            backend_starts: Vec::new(),
            discovery_outages: vec![Vec::new()],
            discovery_moves: vec![Vec::new()],
            delayed_links: Vec::new(),
            evictions: 0,
            has_idle_crowds: false,
            log_lines: Vec::new(),
            list_writes: Vec::new(),
            silent_calls: Vec::new(),
            polls_discovery: false,
            processes_paused: false,
            program,
            settings: RunSettings::USUAL,
            starts_are_slow: false,
        }
    }

    pub(super) fn pause_allowance(&self) -> Micros {
        if self.processes_paused {
            LONGEST_PAUSE
        } else {
            Micros(0)
        }
    }

    /// Returns the process of each client run.
    pub(super) fn processes_by_client_run(&self) -> BTreeMap<u32, usize> {
        let runs = self.clients.iter().flat_map(|c| [(c.load.run, c.process), (c.disconnects.0, c.process)]);
        runs.collect()
    }

    /// Returns whether a request arrived when it was sent, because its link was not delayed.
    pub(super) fn is_timely(&self, record: &Record, proxy: usize) -> bool {
        !self.delayed_links.iter().any(|link| {
            let is_same_link = link.proxy == proxy && link.backend == record.backend;
            is_same_link
                && record.first_byte_at >= link.from
                && record.first_byte_at <= link.until + DELAYED_LINK_TAIL
        })
    }

    /// Returns the records of requests that arrived when they were sent, each with the process that sent it.
    pub(super) fn timely_records(&self) -> impl Iterator<Item = (&Record, usize)> {
        let processes = self.processes_by_client_run();
        self.ledger.records.iter().filter_map(move |record| {
            let process = *processes.get(&client_run_of(&record.id)?)?;
            self.is_timely(record, self.processes[process].proxy).then_some((record, process))
        })
    }

    pub(super) fn describe(&self, indices: &[usize]) -> String {
        let one = |index: &usize| {
            let record = &self.ledger.records[*index];
            let ended = record.ended.map(|(at, how)| (seconds(at), how));
            format!(
                "; {} at b{} {:.3} s, ended {ended:?}",
                record.id,
                record.backend,
                seconds(record.last_byte_at)
            )
        };
        indices.iter().map(one).collect()
    }
}
