//! The rules of routing, held against what clients, backends and discovery wrote down in a run. Pure.

use crate::clients::Departure;
use crate::proxies::Life;
use crate::settings::{RunSettings, FALL_WINDOW_US};
use shaletide_testkit::{checks, End, Ledger, LoadResult, Record, Repeat};
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;
use std::os::unix::process::ExitStatusExt;

/// What a busy machine adds to each measured time: the stand-ins run on the same cores as the proxies.
const MACHINE_SLACK: Micros = Micros(100_000);
/// What the platform adds to each time limit on sockets.
const CLOCK_SLACK: Micros = Micros(50_000);
/// An attempt for a client that has gone begins no later than this after the close.
const CLIENT_GONE_SLACK: Micros = Micros(100_000);
/// A proxy may be held up for so long between a look at its clock and a write.
pub const HOLD_UP: Micros = Micros(150_000);
/// After a link is as usual bytes may still be on their way for so long.
const LATE_LINK_TAIL: Micros = Micros(500_000);
/// The time that a backend is told may be over what the client has left by so much.
const TIME_LEFT_SLACK: Micros = Micros(150_000);
/// A change of the list's address counts as told so long after the signal.
const MOVED: Micros = Micros(4_000_000);
/// Where discovery is asked a change counts as told so long after discovery had it and could be reached.
const TOLD_AT_LATEST: Micros = Micros(6_000_000);
/// A new process is ready after this time.
const READY: Micros = Micros(10_000_000);
/// One whose address was held, or whose configuration was not whole, is ready so long after that is over.
const READY_AFTER_WAIT: Micros = Micros(1_000_000);
/// A process that is told to end so soon after its start may not handle the signal yet, and is ended by it.
const EARLY_STOP: Micros = Micros(50_000);
/// The memory that a process may use, KiB.
pub const MEMORY_LIMIT_KIB: u64 = 192 << 10;
/// Cores that the machines of all backends have.
pub const CORES: u32 = 2;
/// The mean work of a request, ms.
pub const MEAN_WORK_MS: f64 = 20.0;
/// What the program's own check says where an answer is late: the clients measure that themselves.
const OWN_CHECK_OF_TIME: &str = "answered and sent before its time is up";

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Rule {
    /// Each request has its final answer in time.
    Answered,
    /// A sound request is not rejected as malformed.
    NotRejected,
    /// An unsafe request runs once.
    UnsafeOnce,
    /// A keyed one is repeated only in its group and window.
    KeyedInside,
    /// What was refused has not run.
    HarmlessRefusal,
    /// Nothing new to a backend later than the grace after its drain was told.
    Drain,
    /// A cold backend is not pushed over.
    Cold,
    /// What is answered as served was served by a backend.
    TrueAnswer,
    /// The time told to a backend is the client's.
    TimeLeft,
    /// Nothing begins for a client that has gone.
    ClientGone,
    /// No process ends by itself.
    NoCrash,
    /// A process is ready soon, and at once where its address was held.
    Ready,
    /// A process stays within its memory.
    Memory,
    /// A process ends in time after SIGTERM.
    Stop,
    /// No client is evicted while there are slots for all.
    NoNeedlessEviction,
    /// The program's own check finds nothing.
    SelfCheck,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// By what, and how.
    pub text: String,
}

/// What the clients of one process got.
#[derive(Clone, Debug)]
pub struct ClientRecords {
    /// Its place in [`Evidence::lives`].
    pub life: usize,
    /// The ordinary load.
    pub load: LoadResult,
    /// Those that left, and the first half of their ids.
    pub departures: (u32, Vec<Departure>),
}

/// A backend's time out of the list's service.
#[derive(Clone, Copy, Debug)]
pub struct Unlisted {
    /// Its place in the ledger.
    pub backend: usize,
    /// When discovery was told.
    pub from: Time,
    /// When it was listed again.
    pub until: Option<Time>,
}

/// A time in which bytes from a proxy to a backend are late on their way.
#[derive(Clone, Copy, Debug)]
pub struct LateLink {
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
pub struct Telling {
    /// To which.
    pub proxy: usize,
    /// Of which backend.
    pub backend: usize,
    /// When its last byte was written.
    pub at: Time,
}

/// A backend started anew.
#[derive(Clone, Copy, Debug)]
pub struct Return {
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
    pub lives: Vec<Life>,
    /// What the clients of each got.
    pub clients: Vec<ClientRecords>,
    /// Drains and removals.
    pub unlisted: Vec<Unlisted>,
    /// Starts of backends, in order.
    pub returns: Vec<Return>,
    /// For each proxy, when discovery could not be reached.
    pub unreachable: Vec<Vec<(Time, Time)>>,
    /// For each proxy, when it was told that discovery has moved.
    pub moves: Vec<Vec<Time>>,
    /// What came to a backend over such a link says nothing of when it was sent.
    pub late_links: Vec<LateLink>,
    /// Clients that the processes say they evicted, and whether idle ones may have filled their slots.
    pub evictions: u64,
    /// Many idle clients were there: evictions are right.
    pub crowded: bool,
    /// The lines of the logs that matter, with their files' names.
    pub log_lines: Vec<String>,
    /// What discovery wrote to whom, where it is asked.
    pub tellings: Vec<Telling>,
    /// Discovery is asked: a change is told when it is written.
    pub asks_discovery: bool,
    /// Processes were held up.
    pub held_up: bool,
    /// What the proxies were told.
    pub settings: RunSettings,
    /// System calls failed, or processes were held up at their starts, so that these take longer.
    pub starts_are_slow: bool,
}

/// What broke.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let mut broken = Vec::new();
    evidence.processes(&mut broken);
    evidence.answers(&mut broken);
    evidence.repeats(&mut broken);
    evidence.drains(&mut broken);
    evidence.cold_starts(&mut broken);
    evidence.times_told(&mut broken);
    evidence.clients_gone(&mut broken);
    broken
}

fn add(broken: &mut Vec<Violation>, rule: Rule, text: String) {
    broken.push(Violation { rule, text });
}

/// A moment of the run's clock, in seconds.
fn seconds(at: Time) -> f64 {
    (at - Time(0)).secs()
}

/// The first half of an id, which tells whose clients sent it.
fn run_of(id: &str) -> Option<u32> {
    u32::from_str_radix(id.get(..8)?, 16).ok()
}

impl Evidence {
    fn hold_up(&self) -> Micros {
        if self.held_up {
            HOLD_UP
        } else {
            Micros(0)
        }
    }

    /// The process to which the clients with such ids were connected.
    fn lives_by_run(&self) -> BTreeMap<u32, usize> {
        let runs = self.clients.iter().flat_map(|c| [(c.load.run, c.life), (c.departures.0, c.life)]);
        runs.collect()
    }

    /// Whether a record came when it was sent; not where it came over a link that held bytes back.
    fn is_timely(&self, record: &Record, proxy: usize) -> bool {
        !self.late_links.iter().any(|link| {
            let here = link.proxy == proxy && link.backend == record.at_box;
            here && record.came >= link.from && record.came <= link.until + LATE_LINK_TAIL
        })
    }

    /// Records that came when they were sent, with the process that sent each.
    fn timely(&self) -> impl Iterator<Item = (&Record, usize)> {
        let lives = self.lives_by_run();
        self.ledger.records.iter().filter_map(move |record| {
            let life = *lives.get(&run_of(&record.id)?)?;
            self.is_timely(record, self.lives[life].proxy).then_some((record, life))
        })
    }

    fn processes(&self, broken: &mut Vec<Violation>) {
        for life in &self.lives {
            let name =
                life.log.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            self.end_of(life, &name, broken);
            self.start_of(life, &name, broken);
            if life.peak_memory_kib > MEMORY_LIMIT_KIB {
                let text = format!("{name} took {} KiB of {MEMORY_LIMIT_KIB}", life.peak_memory_kib);
                add(broken, Rule::Memory, text);
            }
        }
        if self.evictions > 0 && !self.crowded {
            let text = format!("{} clients were evicted while slots were free", self.evictions);
            add(broken, Rule::NoNeedlessEviction, text);
        }
        for line in &self.log_lines {
            if line.contains("panicked") {
                add(broken, Rule::NoCrash, line.clone());
            } else if line.contains("self-check:") && !line.contains(OWN_CHECK_OF_TIME) {
                add(broken, Rule::SelfCheck, line.clone());
            }
        }
    }

    fn end_of(&self, life: &Life, name: &str, broken: &mut Vec<Violation>) {
        if life.outlived_its_stop {
            add(broken, Rule::Stop, format!("{name} was still there when SIGKILL was due"));
        }
        let Some((at, status)) = life.ended.filter(|_| life.killed.is_none()) else { return };
        let Some(stopped) = life.stopped else {
            add(broken, Rule::NoCrash, format!("{name} ended at {:.3} s: {status}", seconds(at)));
            return;
        };
        let is_early = stopped - life.started < EARLY_STOP && status.signal() == Some(libc::SIGTERM);
        // It ends with status 1 where its own check found something, which is counted there.
        let is_orderly = matches!(status.code(), Some(0 | 1));
        if !life.outlived_its_stop && !is_early && !is_orderly {
            add(broken, Rule::NoCrash, format!("{name} ended its stop with {status}"));
        }
    }

    fn start_of(&self, life: &Life, name: &str, broken: &mut Vec<Violation>) {
        let end = life.stopped.or(life.killed).or(life.ended.map(|(at, _)| at));
        let Some(ready) = life.ready.or(end) else {
            add(broken, Rule::Ready, format!("{name} was not ready"));
            return;
        };
        let since = life.unblocked.unwrap_or(life.started).max(life.started);
        let waited = life.unblocked.is_some() && !self.starts_are_slow;
        let after_wait = Micros(READY_AFTER_WAIT.0 + MACHINE_SLACK.0 + self.hold_up().0);
        let allowed = if waited { after_wait } else { READY };
        if ready > since + allowed {
            let after = (ready - since).secs();
            add(broken, Rule::Ready, format!("{name} was ready {after:.3} s after it could be"));
        }
    }

    fn answers(&self, broken: &mut Vec<Violation>) {
        for records in &self.clients {
            let life = &self.lives[records.life];
            for sent in &records.load.sent {
                let over = sent.arrived + sent.latency;
                let is_killed = life.killed.is_some_and(|killed| over >= killed);
                let id = records.load.id(sent.number);
                let text = || {
                    let (from, to) = (seconds(sent.arrived), seconds(over));
                    format!("{id} at p{} from {from:.3} to {to:.3} s: {:?}", life.proxy, sent.end)
                };
                match sent.end {
                    End::Broken | End::GaveUp if !is_killed => add(broken, Rule::Answered, text()),
                    End::Status(status) if (400..500).contains(&status) && status != 429 => {
                        add(broken, Rule::NotRejected, text());
                    }
                    _ => {}
                }
            }
            let made_up = checks::answers_come_from_boxes(&self.ledger, &records.load);
            made_up.into_iter().for_each(|violation| add(broken, Rule::TrueAnswer, violation.what));
            if records.load.mixed_up + records.load.overfull > 0 {
                let (mixed, more) = (records.load.mixed_up, records.load.overfull);
                let text = format!("p{}: {mixed} answers of others, {more} with more behind", life.proxy);
                add(broken, Rule::TrueAnswer, text);
            }
        }
    }

    fn repeats(&self, broken: &mut Vec<Violation>) {
        for violation in checks::unsafe_ran_once(&self.ledger) {
            let text = violation.what + &self.described(&violation.records);
            add(broken, Rule::UnsafeOnce, text);
        }
        let window = Micros(self.settings.window_us + self.hold_up().0 + CLOCK_SLACK.0);
        let lives = self.lives_by_run();
        for violation in checks::keyed_ran_in_one_bay(&self.ledger, |_| window) {
            // The repeat may have been written in time and have lain in a cut since then.
            let is_timely = |place: &usize| {
                let record = &self.ledger.records[*place];
                let life = run_of(&record.id).and_then(|run| lives.get(&run));
                life.is_none_or(|life| self.is_timely(record, self.lives[*life].proxy))
            };
            if !violation.records.last().is_some_and(is_timely) {
                continue;
            }
            let text = violation.what + &self.described(&violation.records);
            add(broken, Rule::KeyedInside, text);
        }
        let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
        for (place, record) in self.ledger.records.iter().enumerate() {
            if record.repeat == Repeat::Unsafe && record.ran() {
                ran.insert(&record.id, place);
            }
        }
        for records in &self.clients {
            let refused = records.load.sent.iter().filter(|sent| matches!(sent.end, End::Status(429 | 503)));
            for sent in refused {
                let id = records.load.id(sent.number);
                if let Some(place) = ran.get(id.as_str()) {
                    let text = format!("{id} was refused and ran{}", self.described(&[*place]));
                    add(broken, Rule::HarmlessRefusal, text);
                }
            }
        }
    }

    fn described(&self, places: &[usize]) -> String {
        let one = |place: &usize| {
            let r = &self.ledger.records[*place];
            let ended = r.ended.map(|(at, how)| (seconds(at), how));
            format!("; {} at b{} {:.3} s, ended {ended:?}", r.id, r.at_box, seconds(r.began))
        };
        places.iter().map(one).collect()
    }

    /// When a change of a backend at that time was told to a process.
    fn told(&self, life: &Life, backend: usize, at: Time) -> Time {
        let mut told = at.max(life.started);
        if self.asks_discovery {
            let here = |t: &&Telling| t.proxy == life.proxy && t.backend == backend && t.at >= told;
            // What is written into a link that is cut arrives once it is whole again, or never.
            let arrived = self.tellings.iter().filter(here).map(|t| self.reached(life.proxy, t.at)).min();
            let latest = self.reached(life.proxy, told) + TOLD_AT_LATEST;
            return arrived.map_or(latest, |arrived| arrived.min(latest));
        }
        told = self.reached(life.proxy, told);
        let moves = &self.moves[life.proxy];
        let near = moves
            .iter()
            .filter(|at| **at + MOVED > told && **at < told + Micros(self.settings.drain_grace_us));
        near.map(|at| *at + MOVED).max().map_or(told, |moved| moved.max(told))
    }

    /// When a proxy could reach discovery, from that time on.
    fn reached(&self, proxy: usize, from: Time) -> Time {
        let mut at = from;
        // Outages may overlap.
        for _ in 0..self.unreachable[proxy].len() {
            for (from, until) in &self.unreachable[proxy] {
                if (*from..*until).contains(&at) {
                    at = *until;
                }
            }
        }
        at
    }

    fn drains(&self, broken: &mut Vec<Violation>) {
        let late = Micros(self.settings.drain_grace_us + CLOCK_SLACK.0 + MACHINE_SLACK.0 + self.hold_up().0);
        for unlisted in &self.unlisted {
            let here = |r: &Record| {
                r.at_box == unlisted.backend
                    && r.came > unlisted.from
                    && unlisted.until.is_none_or(|until| r.came < until)
            };
            for (record, life) in self.timely().filter(|(record, _)| here(record)) {
                let told = self.told(&self.lives[life], unlisted.backend, unlisted.from);
                if record.came > told + late {
                    let after = (record.came - told).secs();
                    let text = format!(
                        "{} came to b{} at {:.3} s, {after:.3} s after p{} was told",
                        record.id,
                        unlisted.backend,
                        seconds(record.came),
                        self.lives[life].proxy
                    );
                    add(broken, Rule::Drain, text);
                }
            }
        }
    }

    /// What a cold backend may get in the window that began at that age.
    pub fn cold_limit(settings: &RunSettings, age: Micros) -> f64 {
        let RunSettings { cold_from, ramp_us, fall_multiple, .. } = *settings;
        let warmth = cold_from + (1.0 - cold_from) * (age.secs() / Micros(ramp_us).secs()).min(1.0);
        let able = warmth * f64::from(CORES) * Micros(FALL_WINDOW_US).secs() / (MEAN_WORK_MS / 1e3);
        let n = fall_multiple * able;
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }

    /// When a backend's start of that number was listed; the first is its start before the run.
    fn listed(&self, backend: usize, boot: usize) -> Option<Time> {
        let mut starts = self.returns.iter().filter(|start| start.backend == backend);
        starts.nth(boot.checked_sub(1)?).map(|start| start.listed)
    }

    /// A backend falls where it gets too much, and the rule is broken where over two thirds of that came from processes
    /// that had been told of its start.
    fn cold_starts(&self, broken: &mut Vec<Violation>) {
        let lives = self.lives_by_run();
        let mut by_boot: BTreeMap<(usize, usize), Vec<&Record>> = BTreeMap::new();
        for record in &self.ledger.records {
            by_boot.entry((record.at_box, record.boot)).or_default().push(record);
        }
        for ((at_box, boot), records) in by_boot {
            let booted = self.ledger.boxes[at_box].boots.get(boot).and_then(|boot| boot.at);
            let Some((booted, listed)) = booted.zip(self.listed(at_box, boot)) else { continue };
            let knew = |record: &Record| {
                let life = run_of(&record.id).and_then(|run| lives.get(&run));
                life.is_some_and(|life| record.came >= self.told(&self.lives[*life], at_box, listed))
            };
            let mut first = 0;
            for (at, record) in records.iter().enumerate() {
                while records[first].began + Micros(FALL_WINDOW_US) < record.began {
                    first += 1;
                }
                let age = (record.began - Micros(FALL_WINDOW_US)) - booted; // as the window began
                let (got, limit) = (at - first + 1, Evidence::cold_limit(&self.settings, age));
                if age >= Micros(self.settings.ramp_us) || got as f64 <= limit {
                    continue;
                }
                let told = records[first..=at].iter().filter(|record| knew(record)).count();
                if 3 * told > 2 * got {
                    let after = (record.began - booted).secs();
                    let text = format!(
                        "b{at_box} got {got} requests in 2 s up to {after:.3} s after its start, {told} of those who \
                         knew, and may get {limit:.0}"
                    );
                    add(broken, Rule::Cold, text);
                }
                break; // it has fallen
            }
        }
    }

    fn times_told(&self, broken: &mut Vec<Violation>) {
        let mut deadlines: BTreeMap<String, Time> = BTreeMap::new();
        for records in &self.clients {
            for sent in &records.load.sent {
                let deadline = Micros(self.settings.deadlines_us[sent.class]);
                deadlines.insert(records.load.id(sent.number), sent.arrived + deadline);
            }
        }
        for (record, _) in self.timely() {
            let Some(deadline) = deadlines.get(&*record.id) else { continue };
            let Some(left) = record.time_left else { continue };
            let until = record.came + left;
            if until > *deadline + TIME_LEFT_SLACK {
                let over = (until - *deadline).secs();
                add(broken, Rule::TimeLeft, format!("{} was told {over:.3} s too much", record.id));
            }
        }
    }

    fn clients_gone(&self, broken: &mut Vec<Violation>) {
        let departures = self.clients.iter().flat_map(|records| &records.departures.1);
        let closed: BTreeMap<&str, Time> = departures.map(|left| (left.id.as_str(), left.closed)).collect();
        let slack = Micros(CLIENT_GONE_SLACK.0 + self.hold_up().0 + CLOCK_SLACK.0);
        for (record, _) in self.timely() {
            if let Some(closed) = closed.get(&*record.id).filter(|closed| record.came > **closed + slack) {
                let after = (record.came - *closed).secs();
                let text = format!("{} came {after:.3} s after its client had gone", record.id);
                add(broken, Rule::ClientGone, text);
            }
        }
    }
}

#[cfg(test)]
mod tests;
