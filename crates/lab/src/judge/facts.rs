//! A run's samples, sorted by kind: the input of every other part of the judge. Borrows the samples.

use crate::samples::{
    BackendEnd, ClassInfo, Idempotency, PowerInfo, ProcessEvent, Sample, Touched, TryEnd, MAX_SAMPLES,
};
use std::collections::BTreeMap;

/// Microseconds in a second.
pub(crate) const SECOND_US: u64 = 1_000_000;

/// A try, as recorded by its client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Try<'a> {
    pub request: u64,
    pub nth: u8,
    pub id: &'a str,
    pub class: u32,
    pub tenant: Option<u32>,
    pub zone: u32,
    pub proxy: Option<u32>,
    pub asked_us: u64,
    pub ended_us: u64,
    pub deadline_us: u64,
    pub end: TryEnd,
}

impl Try<'_> {
    /// Served within its deadline.
    pub fn served_in_time(&self) -> bool {
        self.end == TryEnd::Served && self.ended_us <= self.deadline_us
    }
}

/// An execution of a request, as recorded by its backend.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendRun<'a> {
    pub backend: u32,
    pub boot: u32,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub class: u32,
    pub came_us: u64,
    pub began_us: u64,
    pub ended_us: Option<u64>,
    pub end: BackendEnd,
    pub work_ms: f64,
}

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    Served,
    Late,
    Refused,
    Failed,
    Broken,
    Silent,
    NotTaken,
}

/// A request with all its tries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub number: u64,
    pub class: u32,
    pub tenant: Option<u32>,
    pub zone: u32,
    /// When its first try was due.
    pub asked_us: u64,
    /// From there to the end of the try that was served, or of the last try.
    pub took_us: u64,
    pub outcome: RequestOutcome,
}

/// A fault of the timeline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultAt<'a> {
    pub at_us: u64,
    pub label: &'a str,
    pub ends_us: Option<u64>,
    pub touches: &'a Touched,
}

/// A backend, as the experiment defines it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendFacts<'a> {
    pub name: &'a str,
    pub deduplication_group: u32,
    pub power: Option<PowerInfo>,
}

/// A start of a backend.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BootAt {
    pub at_us: Option<u64>,
    pub died_us: Option<u64>,
}

/// Counts of a backend over one second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendSecond {
    pub at_us: u64,
    pub backend: u32,
    pub open: u32,
    pub handshakes: u32,
    pub requests: u32,
}

/// What the list service notified a proxy of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointUpdateAt<'a> {
    pub at_us: u64,
    pub proxy: u32,
    pub backend: u32,
    pub state: &'a str,
}

/// Measurements of the lab over one second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LabSecond {
    pub at_us: u64,
    pub late_us: u64,
    pub cpu_ms: u64,
}

/// The experiment that was run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Header<'a> {
    pub name: &'a str,
    pub seed: u64,
    pub proxies: u32,
    pub classes: &'a [ClassInfo],
    pub cores: u32,
    pub build: &'a str,
    pub command: &'a str,
    pub zones: &'a [String],
    pub lasts_us: u64,
}

/// All samples of a run by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Facts<'a> {
    pub header: Option<Header<'a>>,
    pub backends: BTreeMap<u32, BackendFacts<'a>>,
    pub boots: BTreeMap<(u32, u32), BootAt>,
    pub tries: Vec<Try<'a>>,
    /// By the time at which they were received completely.
    pub runs: Vec<BackendRun<'a>>,
    /// By first try.
    pub requests: Vec<Request>,
    /// By time.
    pub faults: Vec<FaultAt<'a>>,
    pub processes: Vec<(u64, u32, ProcessEvent)>,
    pub backend_seconds: Vec<BackendSecond>,
    pub list_seconds: Vec<(u64, u32)>,
    /// Time, name, bytes, bytes while cut.
    pub link_seconds: Vec<(u64, &'a str, u64, u64)>,
    /// By time.
    pub endpoint_updates: Vec<EndpointUpdateAt<'a>>,
    pub lab: Vec<LabSecond>,
    /// Tries, served, refused by the clients' own count.
    pub totals: Option<[u64; 3]>,
    /// Time, proxy, line; by time.
    pub logs: Vec<(u64, u32, &'a str)>,
    pub voids: Vec<&'a str>,
    /// Places in `tries` by id.
    pub by_id: BTreeMap<&'a str, usize>,
    /// Whole seconds of the run.
    pub seconds: usize,
}

impl<'a> Facts<'a> {
    /// Sorts the samples.
    pub fn of(samples: &'a [Sample]) -> Facts<'a> {
        let mut facts = Facts::default();
        for sample in samples.iter().take(MAX_SAMPLES) {
            facts.take(sample);
        }
        facts.runs.sort_by_key(|run| run.began_us);
        facts.faults.sort_by_key(|fault| fault.at_us);
        facts.endpoint_updates.sort_by_key(|update| update.at_us);
        facts.logs.sort_by_key(|log| log.0);
        facts.processes.sort_by_key(|event| event.0);
        facts.by_id = facts.tries.iter().enumerate().map(|(place, t)| (t.id, place)).collect();
        facts.requests = requests(&facts.tries);
        facts.seconds = whole_seconds(facts.header.map_or(0, |h| h.lasts_us), &facts.requests);
        facts
    }

    fn take(&mut self, sample: &'a Sample) {
        match sample {
            Sample::Run { .. } => self.header = self.header.or(header(sample)),
            Sample::Try { .. } => self.tries.extend(a_try(sample)),
            Sample::BackendRun { .. } => self.runs.extend(a_run(sample)),
            Sample::Backend { backend, name, deduplication_group, power, .. } => {
                self.backends.insert(
                    *backend,
                    BackendFacts { name, deduplication_group: *deduplication_group, power: *power },
                );
            }
            Sample::Boot { backend, boot, at_us, died_us } => {
                self.boots.insert((*backend, *boot), BootAt { at_us: *at_us, died_us: *died_us });
            }
            Sample::Process { at_us, proxy, what } => self.processes.push((*at_us, *proxy, *what)),
            Sample::Fault { at_us, label, ends_us, touches } => {
                self.faults.push(FaultAt { at_us: *at_us, label, ends_us: *ends_us, touches });
            }
            Sample::EndpointUpdate { at_us, proxy, backend, state } => {
                self.endpoint_updates.push(EndpointUpdateAt {
                    at_us: *at_us,
                    proxy: *proxy,
                    backend: *backend,
                    state,
                });
            }
            Sample::Log { at_us, proxy, line } => self.logs.push((*at_us, *proxy, line)),
            Sample::Void { reason } => self.voids.push(reason),
            _ => self.take_count(sample),
        }
    }

    fn take_count(&mut self, sample: &'a Sample) {
        match sample {
            Sample::BackendSecond { at_us, backend, open, handshakes, requests } => {
                let (at_us, backend, open) = (*at_us, *backend, *open);
                let (handshakes, requests) = (*handshakes, *requests);
                self.backend_seconds.push(BackendSecond { at_us, backend, open, handshakes, requests });
            }
            Sample::ListSecond { at_us, calls } => self.list_seconds.push((*at_us, *calls)),
            Sample::LinkSecond { at_us, link, passed_bytes, passed_while_cut } => {
                self.link_seconds.push((*at_us, link, *passed_bytes, *passed_while_cut));
            }
            Sample::Lab { at_us, late_us, cpu_ms, fleet_cpu_ms } => {
                let cpu_ms = cpu_ms.saturating_add(*fleet_cpu_ms);
                self.lab.push(LabSecond { at_us: *at_us, late_us: *late_us, cpu_ms });
            }
            Sample::Totals { tries, served, refused } => self.totals = Some([*tries, *served, *refused]),
            _ => {}
        }
    }

    /// The class of that number.
    pub fn class(&self, number: u32) -> Option<&'a ClassInfo> {
        self.header?.classes.get(number as usize)
    }

    /// The idempotency of a class; an unknown class counts as non-idempotent.
    pub fn idempotency(&self, class: u32) -> Idempotency {
        self.class(class).map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    /// The try with that correlation id.
    pub fn try_of(&self, id: &str) -> Option<&Try<'a>> {
        self.by_id.get(id).and_then(|place| self.tries.get(*place))
    }

    /// The name of a backend.
    pub fn backend_name(&self, backend: u32) -> String {
        self.backends.get(&backend).map_or_else(|| format!("backend {backend}"), |b| b.name.to_owned())
    }

    /// The worst lateness of the lab's own pacing in the seconds of that span.
    pub fn lab_late_us(&self, from_us: u64, to_us: u64) -> u64 {
        let inside = |s: &&LabSecond| s.at_us <= to_us && from_us < s.at_us.saturating_add(SECOND_US);
        self.lab.iter().filter(inside).map(|s| s.late_us).max().unwrap_or(0)
    }
}

fn header(sample: &Sample) -> Option<Header<'_>> {
    let Sample::Run { name, seed, proxies, classes, cores, build, command, zones, lasts_us, .. } = sample
    else {
        return None;
    };
    let (seed, proxies, cores, lasts_us) = (*seed, *proxies, *cores, *lasts_us);
    Some(Header { name, seed, proxies, classes, cores, build, command, zones, lasts_us })
}

fn a_try(sample: &Sample) -> Option<Try<'_>> {
    let Sample::Try { request, nth, id, class, tenant, zone, proxy, asked_us, ended_us, deadline_us, end } =
        sample
    else {
        return None;
    };
    Some(Try {
        request: *request,
        nth: *nth,
        id,
        class: *class,
        tenant: *tenant,
        zone: *zone,
        proxy: *proxy,
        asked_us: *asked_us,
        ended_us: *ended_us,
        deadline_us: *deadline_us,
        end: *end,
    })
}

fn a_run(sample: &Sample) -> Option<BackendRun<'_>> {
    let Sample::BackendRun {
        backend, boot, id, key, class, came_us, began_us, ended_us, end, work_ms, ..
    } = sample
    else {
        return None;
    };
    Some(BackendRun {
        backend: *backend,
        boot: *boot,
        id,
        key: key.as_deref(),
        class: *class,
        came_us: came_us.unwrap_or(*began_us),
        began_us: *began_us,
        ended_us: *ended_us,
        end: *end,
        work_ms: *work_ms,
    })
}

/// Groups tries into requests. A request is served if one of its tries was within its deadline; otherwise its outcome is
/// the end of its last try.
fn requests(tries: &[Try<'_>]) -> Vec<Request> {
    let mut by_request: BTreeMap<u64, Vec<&Try<'_>>> = BTreeMap::new();
    for one in tries {
        by_request.entry(one.request).or_default().push(one);
    }
    let mut requests: Vec<Request> =
        by_request.into_iter().filter_map(|(number, tries)| request(number, tries)).collect();
    requests.sort_by_key(|r| r.asked_us);
    requests
}

fn request(number: u64, mut tries: Vec<&Try<'_>>) -> Option<Request> {
    tries.sort_by_key(|t| t.nth);
    let first = tries.first()?;
    let last = tries.iter().find(|t| t.served_in_time()).or(tries.last())?;
    let outcome = match last.end {
        TryEnd::Served if last.served_in_time() => RequestOutcome::Served,
        TryEnd::Served => RequestOutcome::Late,
        TryEnd::Refused { .. } => RequestOutcome::Refused,
        TryEnd::Failed { .. } => RequestOutcome::Failed,
        TryEnd::Broken => RequestOutcome::Broken,
        TryEnd::Silent => RequestOutcome::Silent,
        TryEnd::NotTaken => RequestOutcome::NotTaken,
    };
    let (class, tenant, zone, asked_us) = (first.class, first.tenant, first.zone, first.asked_us);
    let took_us = last.ended_us.saturating_sub(asked_us);
    Some(Request { number, class, tenant, zone, asked_us, took_us, outcome })
}

/// Maximum number of seconds of a run, one day: bounds the memory.
const MAX_SECONDS: u64 = 86_400;

/// Whole seconds in which requests were due. Where the run's length is not known, its last second counts if the
/// last request came in its last tenth.
fn whole_seconds(lasts_us: u64, requests: &[Request]) -> usize {
    let last_us = requests.last().map_or(0, |r| r.asked_us.saturating_add(1));
    let seconds =
        if lasts_us > 0 { lasts_us / SECOND_US } else { last_us.saturating_add(SECOND_US / 10) / SECOND_US };
    seconds.min(MAX_SECONDS) as usize
}
