//! What happens in a run and when, drawn from its seed. Pure.

use crate::call_faults::CallFault;
use crate::settings::RunSettings;
use shaletide_testkit::SeededRng;
use std::time::Duration;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Processes of the program.
    pub proxies: usize,
    /// Backends.
    pub backends: usize,
    /// How long clients ask; what is open then is waited for.
    pub length: Duration,
    /// How many kinds of fault a seed draws.
    pub faults: usize,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// Proxies are told to end with SIGTERM and started anew.
    Stop,
    /// Proxies are killed and started anew.
    Kill,
    /// Proxies are told with SIGHUP that discovery has moved, some several times in a row.
    Reload,
    /// Discovery is silent, or ends its calls.
    Discovery,
    /// Single proxies are cut off from discovery.
    DiscoveryLink,
    /// Backends drain, are taken out of the list, and come back cold.
    Drain,
    /// Backends die without a word and come back cold.
    Death,
    /// Backends hang, fail, reset connections, are slow or close each connection.
    Illness,
    /// Links between single proxies and backends are cut or slow.
    BackendLink,
    /// System calls of all proxies fail.
    Calls,
    /// The proxies' wall clocks are stepped by up to an hour while they run.
    WallClock,
    /// Processes stand still for up to 0.15 s.
    Freeze,
    /// Clients send half of a request, or several at once, or rest in large numbers.
    Clients,
    /// Idle clients fill all slots of single proxies.
    Crowd,
    /// Proxies are killed and started anew while the system lacks sockets.
    ShortStart,
    /// Another socket listens at a proxy's address as it is started anew; some are told to end meanwhile.
    HeldAddress,
    /// Proxies are started anew while the earlier process is still ending.
    Overlap,
    /// Proxies are started anew with a configuration that breaks off, and is whole a little later.
    HalfConfiguration,
    /// Proxies are told to end in the first milliseconds of a start.
    EarlyStop,
}

/// How a proxy's process ends, and how the next one starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// How it ends.
    pub manner: Manner,
    /// How the next one starts.
    pub next: NextStart,
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// By SIGKILL.
    Kill,
    /// By signals, as the platform sends them or in series.
    Stop(Signals),
    /// By SIGTERM, and the next one is started at once.
    Overlap,
}

/// The signals of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signals {
    /// SIGTERM.
    Single,
    /// SIGTERM twice.
    Twice,
    /// SIGHUP three times, SIGTERM, and SIGHUP before and behind a second one.
    WithHangups,
}

/// How a process starts. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStart {
    /// As usual.
    Plain,
    /// Its address is held for so long.
    HeldAddress(u64),
    /// Its address is held, and it is told to end after so long.
    StopWhileHeld(u64),
    /// Its configuration is whole after so long.
    HalfConfiguration(u64),
    /// It is told to end after so long.
    EarlyStop(u64),
}

impl FaultKind {
    /// All of them.
    pub const ALL: [FaultKind; 19] = [
        FaultKind::Stop,
        FaultKind::Kill,
        FaultKind::Reload,
        FaultKind::Discovery,
        FaultKind::DiscoveryLink,
        FaultKind::Drain,
        FaultKind::Death,
        FaultKind::Illness,
        FaultKind::BackendLink,
        FaultKind::Calls,
        FaultKind::WallClock,
        FaultKind::Freeze,
        FaultKind::Clients,
        FaultKind::Crowd,
        FaultKind::ShortStart,
        FaultKind::HeldAddress,
        FaultKind::Overlap,
        FaultKind::HalfConfiguration,
        FaultKind::EarlyStop,
    ];

    /// Those of starts, ends and crowds: most runs have two of them.
    const STARTS_AND_ENDS: [FaultKind; 8] = [
        FaultKind::Stop,
        FaultKind::Kill,
        FaultKind::Reload,
        FaultKind::Crowd,
        FaultKind::HeldAddress,
        FaultKind::Overlap,
        FaultKind::HalfConfiguration,
        FaultKind::EarlyStop,
    ];
}

/// A backend's illness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Illness {
    /// A part of its requests is never answered.
    Hangs(f64),
    /// A part gets 500.
    Fails(f64),
    /// A part ends in a reset.
    Resets(f64),
    /// Work takes so many times as long.
    Slow(f64),
    /// Each connection ends after its answer.
    Closes,
    /// Answers come byte by byte, over so many milliseconds.
    Drips(u64),
    /// Answers are no HTTP, and the connection stays open.
    Garbage,
    /// Answers break off within their bodies, and the connection stays open.
    Truncates,
    /// Head and body come in two segments, on a socket that holds small ones back.
    TwoSegments,
}

/// A single step of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A proxy's process ends, and another one starts.
    End(usize, Ending),
    /// SIGHUP to a proxy, to whose configuration discovery has moved.
    Reload(usize),
    /// SIGSTOP for so many milliseconds.
    Freeze(usize, u64),
    /// Discovery is silent.
    DiscoverySilent,
    /// Discovery ends all its calls.
    DiscoveryBroken,
    /// Discovery is as usual.
    DiscoveryUp,
    /// A proxy hears nothing of discovery.
    DiscoveryCut(usize),
    /// It does again.
    DiscoveryHealed(usize),
    /// A backend drains, in the list and by itself.
    Drain(usize),
    /// A backend that drains ends, and is taken out of the list.
    Remove(usize),
    /// A backend that has ended starts anew and is listed.
    Return(usize),
    /// A backend dies, and nobody says so.
    Die(usize),
    /// A backend falls ill.
    Ill(usize, Illness),
    /// It is well.
    Well(usize),
    /// The connections from a proxy to a backend are reset and refused.
    LinkReset(usize, usize),
    /// They are silent.
    LinkSilent(usize, usize),
    /// Bytes on them are late.
    LinkSlow(usize, usize),
    /// They are as usual.
    LinkHealed(usize, usize),
    /// Calls fail with that chance.
    Call(CallFault, f64),
    /// All wall clocks are so many seconds ahead.
    WallClock(i64),
    /// Clients of a proxy that misbehave.
    BadClients(usize),
    /// Idle clients fill the slots of a proxy.
    Crowd(usize),
}

/// A step and when it is taken, from the beginning of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timed {
    /// When.
    pub at: Duration,
    /// What.
    pub step: Step,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The kinds of fault that were drawn.
    pub kinds: Vec<FaultKind>,
    /// Seconds that the proxies' wall clocks are ahead as the first processes start.
    pub wall_clock_at_start: i64,
    /// Discovery is asked, not an agent that pushes.
    pub asks_discovery: bool,
    /// What the proxies are told.
    pub settings: RunSettings,
    /// In the order of their times.
    pub steps: Vec<Timed>,
}

/// The system calls' faults that a run draws from, with their highest chance.
const CALLS: [(CallFault, f64); 13] = [
    (CallFault::ShortRead, 0.5),
    (CallFault::ShortWrite, 0.5),
    (CallFault::InterruptedRead, 0.2),
    (CallFault::InterruptedWrite, 0.2),
    (CallFault::InterruptedWait, 0.3),
    (CallFault::Accept, 0.3),
    (CallFault::Socket, 0.3),
    (CallFault::Connect, 0.3),
    (CallFault::BrokenUpstream, 0.02),
    (CallFault::SocketOption, 0.3),
    (CallFault::SlowWrite, 0.002),
    (CallFault::Bind, 0.9),
    (CallFault::Listen, 0.9),
];

/// An hour, by which wall clocks are stepped.
const HOUR_S: i64 = 3600;

impl Plan {
    /// The plan of a seed. `only`: kinds that it is to have, in place of drawn ones.
    pub fn draw(seed: u64, scale: &Scale, only: &[FaultKind]) -> Plan {
        let mut drawing = Drawing { rng: SeededRng::of(seed, "plan"), scale: *scale, steps: Vec::new() };
        let kinds = if only.is_empty() { drawing.kinds() } else { only.to_vec() };
        let steps_clock = kinds.contains(&FaultKind::WallClock);
        let wall_clock_at_start = if steps_clock { HOUR_S * (drawing.below(3) as i64 - 1) } else { 0 };
        kinds.iter().for_each(|kind| drawing.fault(*kind));
        let asks_discovery = drawing.rng.chance(0.3);
        let mut steps = drawing.steps;
        steps.sort_by_key(|timed| timed.at);
        Plan { kinds, wall_clock_at_start, asks_discovery, settings: RunSettings::draw(seed), steps }
    }
}

struct Drawing {
    rng: SeededRng,
    scale: Scale,
    steps: Vec<Timed>,
}

impl Drawing {
    fn below(&mut self, bound: usize) -> usize {
        (self.rng.word() % bound.max(1) as u64) as usize
    }

    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.rng.part()
    }

    /// A time in the middle of the run: faults meet there.
    fn time(&mut self) -> f64 {
        let length = self.scale.length.as_secs_f64();
        self.between(0.1 * length, 0.7 * length)
    }

    fn add(&mut self, at: f64, step: Step) {
        self.steps.push(Timed { at: Duration::from_secs_f64(at.max(0.0)), step });
    }

    fn kinds(&mut self) -> Vec<FaultKind> {
        let count = self.scale.faults.min(FaultKind::ALL.len());
        let mut drawn = Vec::new();
        if self.rng.chance(0.7) {
            let mut related = FaultKind::STARTS_AND_ENDS.to_vec();
            drawn.extend((0..count.min(2)).map(|_| related.swap_remove(self.below(related.len()))));
        }
        let mut left: Vec<FaultKind> =
            FaultKind::ALL.into_iter().filter(|kind| !drawn.contains(kind)).collect();
        while drawn.len() < count {
            drawn.push(left.swap_remove(self.below(left.len())));
        }
        drawn
    }

    fn end(&mut self, at: f64, proxy: usize, manner: Manner, next: NextStart) {
        self.add(at, Step::End(proxy, Ending { manner, next }));
    }

    fn signals(&mut self) -> Signals {
        [Signals::Single, Signals::Single, Signals::Twice, Signals::WithHangups][self.below(4)]
    }

    /// A number of milliseconds below a bound, short ones as likely as long ones.
    fn millis(&mut self, least: f64, most: f64) -> u64 {
        (least * (most / least).powf(self.rng.part())) as u64
    }

    /// Ends single proxies, one soon after the other, by a kill or a stop, and starts the next ones in that way.
    fn ends(&mut self, part: f64, next: impl Fn(&mut Drawing) -> NextStart) {
        let mut at = self.time();
        for proxy in self.some(self.scale.proxies, part) {
            let manner = if self.rng.chance(0.5) { Manner::Kill } else { Manner::Stop(self.signals()) };
            let next = next(self);
            self.end(at, proxy, manner, next);
            at += self.between(0.0, 0.4);
        }
    }

    /// So many different numbers below a bound, at least one.
    fn some(&mut self, bound: usize, part: f64) -> Vec<usize> {
        let mut left: Vec<usize> = (0..bound).collect();
        let count = ((bound as f64 * part) as usize).clamp(1, bound);
        (0..count).map(|_| left.swap_remove(self.below(left.len()))).collect()
    }

    fn fault(&mut self, kind: FaultKind) {
        let (proxies, backends) = (self.scale.proxies, self.scale.backends);
        let length = self.scale.length.as_secs_f64();
        match kind {
            FaultKind::Stop => {
                let mut at = self.time();
                for proxy in self.some(proxies, 0.5) {
                    let signals = self.signals();
                    self.end(at, proxy, Manner::Stop(signals), NextStart::Plain);
                    at += self.between(0.0, 0.4);
                }
            }
            FaultKind::Kill => {
                let at = self.time();
                for proxy in self.some(proxies, 0.4) {
                    let delay = self.between(0.0, 0.3);
                    self.end(at + delay, proxy, Manner::Kill, NextStart::Plain);
                }
            }
            FaultKind::Reload => {
                for proxy in self.some(proxies, 0.7) {
                    let mut at = self.time();
                    for _ in 0..1 + self.below(3) {
                        self.add(at, Step::Reload(proxy));
                        at += self.between(0.0, 0.6);
                    }
                }
            }
            FaultKind::Discovery => {
                let (at, is_silent) = (self.time(), self.rng.chance(0.7));
                self.add(at, if is_silent { Step::DiscoverySilent } else { Step::DiscoveryBroken });
                let over = self.between(0.5, 0.3 * length);
                self.add(at + over, Step::DiscoveryUp);
            }
            FaultKind::DiscoveryLink => {
                for proxy in self.some(proxies, 0.4) {
                    let at = self.time();
                    self.add(at, Step::DiscoveryCut(proxy));
                    let over = self.between(0.3, 0.3 * length);
                    self.add(at + over, Step::DiscoveryHealed(proxy));
                }
            }
            FaultKind::Drain => {
                for backend in self.some(backends, 0.3) {
                    let at = self.time();
                    self.add(at, Step::Drain(backend));
                    let gone = at + self.between(2.5, 3.5);
                    self.add(gone, Step::Remove(backend));
                    let back = gone + self.between(0.1, 1.0);
                    self.add(back, Step::Return(backend));
                }
            }
            FaultKind::Death => {
                for backend in self.some(backends, 0.2) {
                    let at = self.time();
                    self.add(at, Step::Die(backend));
                    let back = at + self.between(0.2, 2.0);
                    self.add(back, Step::Return(backend));
                }
            }
            FaultKind::Illness => {
                for backend in self.some(backends, 0.4) {
                    let (at, illness) = (self.time(), self.illness());
                    self.add(at, Step::Ill(backend, illness));
                    let over = self.between(0.5, 0.4 * length);
                    self.add(at + over, Step::Well(backend));
                }
            }
            FaultKind::BackendLink => {
                for proxy in self.some(proxies, 0.5) {
                    let (backend, at) = (self.below(backends), self.time());
                    let steps = [Step::LinkReset, Step::LinkSilent, Step::LinkSlow];
                    let step = steps[self.below(steps.len())](proxy, backend);
                    self.add(at, step);
                    let over = self.between(0.2, 0.3 * length);
                    self.add(at + over, Step::LinkHealed(proxy, backend));
                }
            }
            FaultKind::Calls => {
                for _ in 0..3 + self.below(4) {
                    let (fault, most) = CALLS[self.below(CALLS.len())];
                    let (at, chance) = (self.time(), self.between(0.1, 1.0) * most);
                    self.add(at, Step::Call(fault, chance));
                    let over = self.between(1.0, 0.5 * length);
                    self.add(at + over, Step::Call(fault, 0.0));
                }
            }
            FaultKind::WallClock => {
                for _ in 0..3 {
                    let (at, hours) = (self.time(), self.below(3) as i64 - 1);
                    self.add(at, Step::WallClock(HOUR_S * hours));
                }
            }
            FaultKind::Freeze => {
                for proxy in self.some(proxies, 0.6) {
                    let (at, millis) = (self.time(), 20 + self.below(130) as u64);
                    self.add(at, Step::Freeze(proxy, millis));
                }
            }
            FaultKind::Crowd => {
                for proxy in self.some(proxies, 0.4) {
                    let at = self.time();
                    self.add(at, Step::Crowd(proxy));
                }
            }
            FaultKind::ShortStart => {
                let at = self.time();
                self.add(at, Step::Call(CallFault::Socket, 0.9));
                for proxy in self.some(proxies, 0.3) {
                    let delay = self.between(0.0, 0.2);
                    self.end(at + delay, proxy, Manner::Kill, NextStart::Plain);
                }
                let over = self.between(0.3, 1.5);
                self.add(at + over, Step::Call(CallFault::Socket, 0.0));
            }
            FaultKind::HeldAddress => {
                let most = 0.25 * length * 1e3;
                self.ends(0.4, |drawing| {
                    let millis = drawing.millis(100.0, most.max(200.0));
                    if drawing.rng.chance(0.3) {
                        NextStart::StopWhileHeld(millis)
                    } else {
                        NextStart::HeldAddress(millis)
                    }
                });
            }
            FaultKind::Overlap => {
                let mut at = self.time();
                for proxy in self.some(proxies, 0.5) {
                    self.end(at, proxy, Manner::Overlap, NextStart::Plain);
                    at += self.between(0.0, 0.4);
                }
            }
            FaultKind::HalfConfiguration => {
                self.ends(0.4, |drawing| NextStart::HalfConfiguration(drawing.millis(20.0, 2_000.0)));
            }
            FaultKind::EarlyStop => {
                self.ends(0.4, |drawing| NextStart::EarlyStop(drawing.millis(1.0, 40.0)));
            }
            FaultKind::Clients => {
                for proxy in self.some(proxies, 0.6) {
                    let at = self.time();
                    self.add(at, Step::BadClients(proxy));
                }
            }
        }
    }

    fn illness(&mut self) -> Illness {
        match self.below(9) {
            0 => Illness::Hangs(self.between(0.2, 1.0)),
            1 => Illness::Fails(self.between(0.2, 1.0)),
            2 => Illness::Resets(self.between(0.1, 1.0)),
            3 => Illness::Slow(self.between(2.0, 10.0)),
            4 => Illness::Drips(5 + self.below(100) as u64),
            5 => Illness::Garbage,
            6 => Illness::Truncates,
            7 => Illness::TwoSegments,
            _ => Illness::Closes,
        }
    }
}
