//! The run's own records for the oracle, and the evidence built from them and from the records of the stand-ins.

use super::Testbed;
use crate::call_faults::CallFault;
use crate::oracle::{BackendStart, ClientRecords, DelayedLink, DrainSpan, Evidence, ListWrite};
use crate::plan::{FaultKind, Plan, Step};
use crate::proxies::ProcessRecord;
use shaletide_testkit::Delivery;
use shaletide_types::Time;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// End of a span that is still open.
const OPEN: Time = Time(u64::MAX);

/// The run's own records.
#[derive(Default)]
pub(super) struct Observations {
    pub(super) processes: Vec<ProcessRecord>,
    pub(super) clients: Vec<ClientRecords>,
    pub(super) clients_of_conflicting_listeners: BTreeSet<(usize, SocketAddr)>,
    pub(super) drains: Vec<DrainSpan>,
    discovery_outages: Vec<Vec<(Time, Time)>>,
    pub(super) discovery_moves: Vec<Vec<Time>>,
    pub(super) delayed_links: Vec<DelayedLink>,
    pub(super) backend_starts: Vec<BackendStart>,
    pub(super) client_runs: u32,
}

impl Observations {
    /// Returns the empty observations of a run with this number of proxies.
    pub(super) fn of(proxies: usize) -> Observations {
        Observations {
            discovery_outages: vec![Vec::new(); proxies],
            discovery_moves: vec![Vec::new(); proxies],
            ..Observations::default()
        }
    }

    /// Ends the spans that are still open.
    fn close(&mut self, now: Time) {
        for span in self.discovery_outages.iter_mut().flatten().filter(|span| span.1 == OPEN) {
            span.1 = now;
        }
        for link in self.delayed_links.iter_mut().filter(|link| link.until == OPEN) {
            link.until = now;
        }
    }
}

impl Testbed {
    /// Returns the evidence of the run. Takes the observations, and is therefore called once, after every process has ended.
    pub(super) fn evidence(&self, plan: &Plan) -> Evidence {
        let mut observations = std::mem::take(&mut *self.observations());
        observations.close(self.clock.now());
        let Observations {
            mut processes,
            clients,
            clients_of_conflicting_listeners,
            drains,
            discovery_outages,
            discovery_moves,
            delayed_links,
            backend_starts,
            ..
        } = observations;
        let (log_lines, evictions) = read_logs(&mut processes);
        Evidence {
            ledger: self.fleet.ledger(),
            processes,
            clients,
            clients_of_conflicting_listeners,
            drains,
            discovery_outages,
            discovery_moves,
            delayed_links,
            backend_starts,
            evictions,
            has_idle_crowds: has_kind(plan, &[FaultKind::Crowd, FaultKind::Clients]),
            log_lines,
            list_writes: if self.polls_discovery { self.list_writes() } else { Vec::new() },
            silent_calls: self.discovery.silent_calls(),
            polls_discovery: self.polls_discovery,
            processes_paused: pauses_processes(plan),
            program: self.artifacts.program.clone(),
            settings: self.settings,
            starts_are_slow: has_kind(plan, &[FaultKind::Calls, FaultKind::ShortStart, FaultKind::Freeze]),
        }
    }

    /// Returns the list entries that discovery wrote to each proxy.
    fn list_writes(&self) -> Vec<ListWrite> {
        let place = |name: &str| name.get(1..).and_then(|number| number.parse().ok());
        let list_write = |delivery: Delivery| {
            Some(ListWrite { proxy: delivery.watcher, backend: place(&delivery.name)?, at: delivery.at })
        };
        self.discovery.deliveries().into_iter().filter_map(list_write).collect()
    }

    /// Records that these proxies cannot reach discovery from now on.
    pub(super) fn discovery_unreachable_from_now(&self, proxies: impl Iterator<Item = usize>) {
        let now = self.clock.now();
        let mut observations = self.observations();
        for proxy in proxies {
            observations.discovery_outages[proxy].push((now, OPEN));
        }
    }

    /// Records that these proxies can reach discovery again.
    pub(super) fn discovery_reachable_again(&self, proxies: impl Iterator<Item = usize>) {
        let now = self.clock.now();
        let mut observations = self.observations();
        for proxy in proxies {
            for span in observations.discovery_outages[proxy].iter_mut().filter(|span| span.1 == OPEN) {
                span.1 = now;
            }
        }
    }

    /// Records that bytes from a proxy to a backend are delayed from now on.
    pub(super) fn link_delayed_from_now(&self, proxy: usize, backend: usize) {
        let from = self.clock.now();
        self.observations().delayed_links.push(DelayedLink { proxy, backend, from, until: OPEN });
    }

    /// Records that bytes from a proxy to a backend are no longer delayed.
    pub(super) fn link_delayed_until_now(&self, proxy: usize, backend: usize) {
        let now = self.clock.now();
        for link in &mut self.observations().delayed_links {
            if (link.proxy, link.backend) == (proxy, backend) && link.until > now {
                link.until = now;
            }
        }
    }

    /// Records that discovery received a drain at `from`.
    pub(super) fn note_drain(&self, backend: usize, from: Time) {
        self.observations().drains.push(DrainSpan { backend, from, until: None });
    }

    /// Records that discovery received a start of a backend at `listed`.
    pub(super) fn note_backend_start(&self, backend: usize, listed: Time) {
        let mut observations = self.observations();
        observations.backend_starts.push(BackendStart { backend, listed });
        for drain in &mut observations.drains {
            if drain.backend == backend && drain.until.is_none() {
                drain.until = Some(listed);
            }
        }
    }
}

fn has_kind(plan: &Plan, kinds: &[FaultKind]) -> bool {
    plan.kinds.iter().any(|kind| kinds.contains(kind))
}

/// Returns whether a plan pauses processes.
fn pauses_processes(plan: &Plan) -> bool {
    let pauses = |step: Step| matches!(step, Step::Freeze(..) | Step::CallFault(CallFault::SlowWrite, _));
    plan.steps.iter().any(|timed| pauses(timed.step))
}

/// Returns the log lines that the oracle checks, each with the name of its file, and the number of evicted clients. Stores
/// the last line of each log in the record of its process.
fn read_logs(processes: &mut [ProcessRecord]) -> (Vec<String>, u64) {
    let (mut log_lines, mut evictions) = (Vec::new(), 0);
    for process in processes {
        let text = std::fs::read(&process.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        process.last_line = text.lines().last().map(str::to_string);
        evictions += text.lines().filter_map(evicted_in).sum::<u64>();
        let name = process.log.file_stem().unwrap_or_default().to_string_lossy();
        let matters = text.lines().filter(|line| line.contains("self-check:") || line.contains("panicked"));
        log_lines.extend(matters.map(|line| format!("{name}: {line}")));
    }
    (log_lines, evictions)
}

/// Returns the number of evicted clients in a line of the program's periodic report.
fn evicted_in(line: &str) -> Option<u64> {
    let (_, behind) = line.split_once(" evicted ")?;
    behind.split(' ').next()?.parse().ok()
}
