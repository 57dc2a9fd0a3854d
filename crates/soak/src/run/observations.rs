//! What a run writes down itself, and the evidence made of it and of what the stand-ins wrote.

use super::Testbed;
use crate::call_faults::CallFault;
use crate::oracle::{BackendStart, ClientRecords, DelayedLink, DrainSpan, Evidence, ListWrite};
use crate::plan::{FaultKind, Plan, Step};
use crate::proxies::ProcessRecord;
use shaletide_testkit::Told;
use shaletide_types::Time;

/// The end of a span that has not ended.
const OPEN: Time = Time(u64::MAX);

/// What the run itself writes down.
#[derive(Default)]
pub(super) struct Observations {
    pub(super) processes: Vec<ProcessRecord>,
    pub(super) clients: Vec<ClientRecords>,
    pub(super) drains: Vec<DrainSpan>,
    discovery_outages: Vec<Vec<(Time, Time)>>,
    pub(super) discovery_moves: Vec<Vec<Time>>,
    pub(super) delayed_links: Vec<DelayedLink>,
    pub(super) backend_starts: Vec<BackendStart>,
    pub(super) runs: u32,
}

impl Observations {
    /// The notes of a run with so many proxies, before it begins.
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
    /// All that was written down, once every process has ended. Takes the notes.
    pub(super) fn evidence(&self, plan: &Plan) -> Evidence {
        let mut observations = std::mem::take(&mut *self.observations());
        observations.close(self.clock.now());
        let Observations {
            processes,
            clients,
            drains,
            discovery_outages,
            discovery_moves,
            delayed_links,
            backend_starts,
            ..
        } = observations;
        let (log_lines, evictions) = read_logs(&processes);
        Evidence {
            ledger: self.fleet.ledger(),
            processes,
            clients,
            drains,
            discovery_outages,
            discovery_moves,
            delayed_links,
            backend_starts,
            evictions,
            has_idle_crowds: has_kind(plan, &[FaultKind::Crowd, FaultKind::Clients]),
            log_lines,
            list_writes: if self.polls_discovery { self.list_writes() } else { Vec::new() },
            polls_discovery: self.polls_discovery,
            processes_paused: pauses_processes(plan),
            settings: self.settings,
            starts_are_slow: has_kind(plan, &[FaultKind::Calls, FaultKind::ShortStart, FaultKind::Freeze]),
        }
    }

    /// What discovery wrote to whom.
    fn list_writes(&self) -> Vec<ListWrite> {
        let place = |name: &str| name.get(1..).and_then(|number| number.parse().ok());
        let one =
            |told: Told| Some(ListWrite { proxy: told.watcher, backend: place(&told.name)?, at: told.at });
        self.discovery.told().into_iter().filter_map(one).collect()
    }

    /// From now on discovery cannot be reached by these proxies.
    pub(super) fn discovery_unreachable_from_now(&self, proxies: impl Iterator<Item = usize>) {
        let now = self.clock.now();
        let mut observations = self.observations();
        for proxy in proxies {
            observations.discovery_outages[proxy].push((now, OPEN));
        }
    }

    /// From now on it can.
    pub(super) fn discovery_reachable_again(&self, proxies: impl Iterator<Item = usize>) {
        let now = self.clock.now();
        let mut observations = self.observations();
        for proxy in proxies {
            for span in observations.discovery_outages[proxy].iter_mut().filter(|span| span.1 == OPEN) {
                span.1 = now;
            }
        }
    }

    /// From now on bytes from a proxy to a backend are late.
    pub(super) fn link_delayed_from_now(&self, proxy: usize, backend: usize) {
        let from = self.clock.now();
        self.observations().delayed_links.push(DelayedLink { proxy, backend, from, until: OPEN });
    }

    /// From now on they are not.
    pub(super) fn link_delayed_until_now(&self, proxy: usize, backend: usize) {
        let now = self.clock.now();
        for link in &mut self.observations().delayed_links {
            if (link.proxy, link.backend) == (proxy, backend) && link.until > now {
                link.until = now;
            }
        }
    }

    /// A backend drains, as discovery was told at that time.
    pub(super) fn note_drain(&self, backend: usize, from: Time) {
        self.observations().drains.push(DrainSpan { backend, from, until: None });
    }

    /// A backend that started anew is listed, as discovery was told at that time.
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

/// Whether processes stand still in a plan.
fn pauses_processes(plan: &Plan) -> bool {
    let pauses = |step: Step| matches!(step, Step::Freeze(..) | Step::CallFault(CallFault::SlowWrite, _));
    plan.steps.iter().any(|timed| pauses(timed.step))
}

/// The lines of all logs that matter to the oracle, with their files' names, and how many clients were evicted.
fn read_logs(processes: &[ProcessRecord]) -> (Vec<String>, u64) {
    let (mut log_lines, mut evictions) = (Vec::new(), 0);
    for process in processes {
        let text = std::fs::read(&process.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        evictions += text.lines().filter_map(evicted_in).sum::<u64>();
        let name = process.log.file_stem().unwrap_or_default().to_string_lossy();
        let matters = text.lines().filter(|line| line.contains("self-check:") || line.contains("panicked"));
        log_lines.extend(matters.map(|line| format!("{name}: {line}")));
    }
    (log_lines, evictions)
}

/// How many clients a line of the program's periodic report says were evicted.
fn evicted_in(line: &str) -> Option<u64> {
    let (_, behind) = line.split_once(" evicted ")?;
    behind.split(' ').next()?.parse().ok()
}
