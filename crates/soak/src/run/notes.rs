//! What a run writes down itself, and the evidence made of it and of what the stand-ins wrote.

use super::World;
use crate::call_faults::CallFault;
use crate::oracle::{BackendStart, ClientRecords, DelayedLink, DrainSpan, Evidence, ListWrite};
use crate::plan::{FaultKind, Plan, Step};
use crate::proxies::Life;
use shaletide_testkit::Told;
use shaletide_types::Time;

/// The end of a span that has not ended.
const OPEN: Time = Time(u64::MAX);

/// What the run itself writes down.
#[derive(Default)]
pub(super) struct Notes {
    pub(super) lives: Vec<Life>,
    pub(super) clients: Vec<ClientRecords>,
    pub(super) drains: Vec<DrainSpan>,
    discovery_outages: Vec<Vec<(Time, Time)>>,
    pub(super) discovery_moves: Vec<Vec<Time>>,
    pub(super) delayed_links: Vec<DelayedLink>,
    pub(super) backend_starts: Vec<BackendStart>,
    pub(super) runs: u32,
}

impl Notes {
    /// The notes of a run with so many proxies, before it begins.
    pub(super) fn of(proxies: usize) -> Notes {
        Notes {
            discovery_outages: vec![Vec::new(); proxies],
            discovery_moves: vec![Vec::new(); proxies],
            ..Notes::default()
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

impl World {
    /// All that was written down, once every process has ended. Takes the notes.
    pub(super) fn evidence(&self, plan: &Plan) -> Evidence {
        let mut notes = std::mem::take(&mut *self.notes());
        notes.close(self.clock.now());
        let Notes {
            lives,
            clients,
            drains,
            discovery_outages,
            discovery_moves,
            delayed_links,
            backend_starts,
            ..
        } = notes;
        let (log_lines, evictions) = read_logs(&lives);
        Evidence {
            ledger: self.fleet.ledger(),
            lives,
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
            processes_paused: holds_processes_up(plan),
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
    pub(super) fn unreached(&self, proxies: impl Iterator<Item = usize>) {
        let now = self.clock.now();
        let mut notes = self.notes();
        for proxy in proxies {
            notes.discovery_outages[proxy].push((now, OPEN));
        }
    }

    /// From now on it can.
    pub(super) fn reached_again(&self, proxies: impl Iterator<Item = usize>) {
        let now = self.clock.now();
        let mut notes = self.notes();
        for proxy in proxies {
            for span in notes.discovery_outages[proxy].iter_mut().filter(|span| span.1 == OPEN) {
                span.1 = now;
            }
        }
    }

    /// From now on bytes from a proxy to a backend are late.
    pub(super) fn late_from_now(&self, proxy: usize, backend: usize) {
        let from = self.clock.now();
        self.notes().delayed_links.push(DelayedLink { proxy, backend, from, until: OPEN });
    }

    /// From now on they are not.
    pub(super) fn late_until_now(&self, proxy: usize, backend: usize) {
        let now = self.clock.now();
        for link in &mut self.notes().delayed_links {
            if (link.proxy, link.backend) == (proxy, backend) && link.until > now {
                link.until = now;
            }
        }
    }

    /// A backend drains, as discovery was told at that time.
    pub(super) fn unlisted_from(&self, backend: usize, from: Time) {
        self.notes().drains.push(DrainSpan { backend, from, until: None });
    }

    /// A backend that started anew is listed, as discovery was told at that time.
    pub(super) fn listed_again(&self, backend: usize, listed: Time) {
        let mut notes = self.notes();
        notes.backend_starts.push(BackendStart { backend, listed });
        for drain in &mut notes.drains {
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
fn holds_processes_up(plan: &Plan) -> bool {
    let holds_up = |step: Step| matches!(step, Step::Freeze(..) | Step::CallFault(CallFault::SlowWrite, _));
    plan.steps.iter().any(|timed| holds_up(timed.step))
}

/// The lines of all logs that matter to the oracle, with their files' names, and how many clients were evicted.
fn read_logs(lives: &[Life]) -> (Vec<String>, u64) {
    let (mut log_lines, mut evictions) = (Vec::new(), 0);
    for life in lives {
        let text = std::fs::read(&life.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        evictions += text.lines().filter_map(evicted_in).sum::<u64>();
        let name = life.log.file_stem().unwrap_or_default().to_string_lossy();
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
