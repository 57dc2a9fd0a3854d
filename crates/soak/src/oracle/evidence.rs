//! What was recorded in a run.

use super::{client_run_of, seconds, LONGEST_PAUSE};
use crate::clients::ClientDisconnect;
use crate::proxies::ProcessRecord;
use crate::settings::RunSettings;
use shaletide_testkit::{Ledger, LoadResult, Record};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// How long bytes may still be on their way after a link works again.
const DELAYED_LINK_TAIL: Micros = Micros(500_000);

/// What the clients of one process got.
#[derive(Clone, Debug)]
pub struct ClientRecords {
    /// Its place in [`Evidence::processes`].
    pub process: usize,
    /// The ordinary load.
    pub load: LoadResult,
    /// The run of the clients that disconnected, and their disconnects.
    pub disconnects: (u32, Vec<ClientDisconnect>),
}

/// A time in which a backend drains or is not listed.
#[derive(Clone, Copy, Debug)]
pub struct DrainSpan {
    /// Its place in the ledger.
    pub backend: usize,
    /// When discovery was told.
    pub from: Time,
    /// When it was listed again.
    pub until: Option<Time>,
}

/// A time in which bytes from a proxy to a backend are delayed.
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

/// A write of an entry of the endpoint list to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct ListWrite {
    /// The proxy.
    pub proxy: usize,
    /// The backend of the entry.
    pub backend: usize,
    /// When its last byte was written.
    pub at: Time,
}

/// A start of a backend during the run.
#[derive(Clone, Copy, Debug)]
pub struct BackendStart {
    /// Its place in the ledger.
    pub backend: usize,
    /// When discovery was told.
    pub listed: Time,
}

/// All that was recorded in a run.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// The backends' records.
    pub ledger: Ledger,
    /// All processes.
    pub processes: Vec<ProcessRecord>,
    /// What the clients of each got.
    pub clients: Vec<ClientRecords>,
    /// Connections that came to a listener which holds a proxy's address: the proxy, and the client's own address.
    pub clients_of_holders: BTreeSet<(usize, SocketAddr)>,
    /// Drains and removals.
    pub drains: Vec<DrainSpan>,
    /// Starts of backends, in order.
    pub backend_starts: Vec<BackendStart>,
    /// For each proxy, when discovery could not be reached.
    pub discovery_outages: Vec<Vec<(Time, Time)>>,
    /// For each proxy, when it was told that discovery has moved.
    pub discovery_moves: Vec<Vec<Time>>,
    /// Links whose records do not tell when a request was sent.
    pub delayed_links: Vec<DelayedLink>,
    /// Clients that the processes report as evicted.
    pub evictions: u64,
    /// Idle clients may have filled the slots, so that evictions are right.
    pub has_idle_crowds: bool,
    /// Log lines of panics and of the self-check, each with the name of its file.
    pub log_lines: Vec<String>,
    /// The entries that discovery wrote; empty unless the proxies poll it.
    pub list_writes: Vec<ListWrite>,
    /// The proxies poll discovery: a change is known when it is written.
    pub polls_discovery: bool,
    /// Processes were paused.
    pub processes_paused: bool,
    /// The program that the processes execute.
    pub program: PathBuf,
    /// The settings of all proxies.
    pub settings: RunSettings,
    /// System calls failed or processes were paused, so that starts take longer.
    pub starts_are_slow: bool,
}

impl Evidence {
    /// What these processes of one proxy leave in a run in which nothing else happens.
    pub fn of_quiet_run(ledger: Ledger, processes: Vec<ProcessRecord>, program: PathBuf) -> Evidence {
        Evidence {
            ledger,
            processes,
            clients: Vec::new(),
            clients_of_holders: BTreeSet::new(),
            drains: Vec::new(),
            backend_starts: Vec::new(),
            discovery_outages: vec![Vec::new()],
            discovery_moves: vec![Vec::new()],
            delayed_links: Vec::new(),
            evictions: 0,
            has_idle_crowds: false,
            log_lines: Vec::new(),
            list_writes: Vec::new(),
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

    /// The process of each run of clients.
    pub(super) fn processes_by_client_run(&self) -> BTreeMap<u32, usize> {
        let runs = self.clients.iter().flat_map(|c| [(c.load.run, c.process), (c.disconnects.0, c.process)]);
        runs.collect()
    }

    /// Whether a record came when it was sent: it did not come over a delayed link.
    pub(super) fn is_timely(&self, record: &Record, proxy: usize) -> bool {
        !self.delayed_links.iter().any(|link| {
            let is_its_link = link.proxy == proxy && link.backend == record.backend;
            is_its_link
                && record.first_byte_at >= link.from
                && record.first_byte_at <= link.until + DELAYED_LINK_TAIL
        })
    }

    /// Records that came when they were sent, with the process that sent each.
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
