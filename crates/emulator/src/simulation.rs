//! A scenario played: events in the order of a virtual clock, hosts around the modules, clients.

mod attempts;
mod clients;
mod faults;
mod lists;
mod world;

use crate::backend::{SimulatedBackend, LOOK};
use crate::invariants::InvariantObserver;
use crate::scenario::Scenario;
use crate::statistics::{End, Statistics};
use shaletide_routing::pools::{Action, Event};
use shaletide_routing::Pools;
use shaletide_testkit::SeededRng;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use world::*;

/// Policy decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any backend that the list has, once, whatever happens.
    Random,
    /// The program as it is where backends say nothing of their load.
    Earlier,
    /// The program.
    Program,
    /// One module of the program that all requests come to and that is told of each backend at once.
    One,
}

impl Policy {
    /// All, in the order in which they are shown.
    pub const ALL: [Policy; 4] = [Policy::Random, Policy::Earlier, Policy::Program, Policy::One];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Random => "random choice",
            Policy::Earlier => "without reports",
            Policy::Program => "the program",
            Policy::One => "one that sees all",
        }
    }
}

impl std::str::FromStr for Policy {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Policy, Self::Err> {
        match text {
            "random" => Ok(Policy::Random),
            "without" => Ok(Policy::Earlier),
            "program" => Ok(Policy::Program),
            "one" => Ok(Policy::One),
            _ => Err("not random, without, program or one"),
        }
    }
}

/// What came of it.
#[derive(Debug)]
pub struct SimulationResult {
    /// What clients got.
    pub statistics: Statistics,
    /// The invariants.
    pub watch: InvariantObserver,
}

/// Plays a scenario.
pub fn simulation(scenario: &Scenario, policy: Policy) -> SimulationResult {
    let mut world = World::new(scenario, policy);
    while let Some(((at, _), event)) = world.queue.pop_first() {
        // Modules set timers for ever.
        if at > world.end + AFTER {
            break;
        }
        world.now = at;
        world.happens(event);
        world.work();
    }
    world.statistics.crowdings = world.backends.iter().map(|s| s.crowdings).sum();
    SimulationResult { statistics: world.statistics, watch: world.watch }
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> World<'a> {
        let proxies = if policy == Policy::One { 1 } else { scenario.proxies };
        let mut world = World {
            scenario,
            policy,
            now: START,
            end: START + scenario.length,
            queue: BTreeMap::new(),
            count: 0,
            backends: Vec::new(),
            wakes: Vec::new(),
            rows: Vec::new(),
            sizes: Vec::new(),
            log: Vec::new(),
            proxies: Vec::new(),
            parts: Vec::new(),
            clients: Vec::new(),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            out: BTreeMap::new(),
            todo: VecDeque::new(),
            rng: SeededRng::named(scenario.seed, "day"),
            burst: 1.0,
            faults: Faults::new(scenario.seed),
            statistics: Statistics::new(scenario.sorts.len()),
            watch: InvariantObserver::default(),
            last: 0,
        };
        world.parts = world.deal();
        (0..scenario.backends).for_each(|_| {
            world.add_box(None);
        });
        for position in 0..proxies {
            let zone = ZoneId(position % scenario.zones);
            world.proxies.push(Proxy {
                pools: None,
                life: 0,
                zone,
                noticed: START,
                told: 0,
                told_as_of: START,
                idle: BTreeMap::new(),
                open: BTreeSet::new(),
                drains: BTreeMap::new(),
                ready: BTreeMap::new(),
            });
            world.revive(position as usize);
        }
        world.at(START, Ev::Comes);
        world.at(START + LOOK, Ev::Look);
        for (fault, (from, to, _)) in scenario.faults.iter().enumerate() {
            world.at(START + *from, Ev::Begins { fault });
            world.at(START + *to, Ev::Ends { fault });
        }
        world
    }

    fn at(&mut self, at: Time, event: Ev) {
        self.count += 1;
        self.queue.insert((at.max(self.now), self.count), event);
    }

    fn add_box(&mut self, booted: Option<Time>) -> usize {
        let number = self.backends.len() as u32;
        let (kind, power) = self.scenario.draw_box(number);
        let zone = number % self.scenario.zones;
        self.backends.push(SimulatedBackend::new(
            number,
            self.scenario.seed,
            power,
            booted,
            &self.scenario.common,
            &self.scenario.reports,
        ));
        self.wakes.push(None);
        self.rows.push(BackendEntry {
            id: BackendId(number),
            stable_hash: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
            zone: ZoneId(zone),
            deduplication_group: DeduplicationGroupId(
                u64::from(zone) * 8 + u64::from(number / self.scenario.zones % 8),
            ),
            server_type: ServerTypeId(kind as u32),
            state: BackendState::Ready,
            started_at: booted,
            ..BackendEntry::default()
        });
        self.sizes.push(self.scenario.kinds[kind].size);
        self.logs(number as usize, BackendState::Ready);
        self.statistics.by_backend.push(0);
        number as usize
    }

    /// A proxy starts, with the list as it is and nothing else.
    fn revive(&mut self, proxy: usize) {
        let one = self.policy == Policy::One;
        let live = self.scenario.reports.is_some() && self.policy == Policy::Program;
        let zone = self.proxies[proxy].zone;
        let mut config = self.scenario.config(
            if one { 1 } else { self.scenario.listed_proxies },
            proxy as u32,
            zone,
            live,
        );
        if one {
            config.cross_zone_cost = 0.0;
        }
        config.position %= config.proxies;
        let mut pools = Pools::new();
        let life = u64::from(self.proxies[proxy].life);
        let seed = SeededRng::named(self.scenario.seed ^ life << 32, &format!("proxy {proxy}")).next_u64();
        // The configuration is the emulator's own.
        pools.configure(POOL, config, seed).expect("a sound configuration");
        let p = &mut self.proxies[proxy];
        (p.pools, p.told, p.told_as_of) = (Some(pools), 0, START);
        p.idle.clear();
        p.drains.clear();
        p.ready.clear();
        // Where lists come late or not at all it starts with the last that came.
        let as_of = self.faults.stopped.unwrap_or(self.now);
        self.tell_list(proxy, EndpointUpdate::Snapshot, as_of);
        let period = self.period();
        let first = Micros((self.rng.uniform() * period.0 as f64) as u64);
        self.at(self.now + first, Ev::List { proxy });
    }

    fn happens(&mut self, event: Ev) {
        match event {
            Ev::Comes => self.comes(),
            Ev::Again { client } => self.asks(client, true),
            Ev::Timer { proxy, life, token } => {
                if self.proxies[proxy].life == life {
                    self.todo.push_back((proxy, Event::Timer { token }));
                }
            }
            Ev::AtBox { attempt } => self.at_box(attempt),
            Ev::Wake { backend } => {
                if self.wakes[backend] == Some(self.now) {
                    self.wakes[backend] = None;
                    self.wake(backend);
                    self.set_wake(backend);
                }
            }
            Ev::Look => self.look(),
            Ev::Back { attempt, outcome } => self.back(attempt, outcome),
            Ev::Deadline { id } => self.deadline(id),
            Ev::List { proxy } => {
                if self.now < self.end + Micros(2_000_000) {
                    self.sends_list(proxy);
                    self.at(self.now + self.period(), Ev::List { proxy });
                }
            }
            Ev::Hears { proxy, life, as_of } => self.hears(proxy, life, as_of),
            Ev::Missed { backend } => {
                if self.backends[backend].dead {
                    self.rows[backend].state = BackendState::Gone;
                    self.logs(backend, BackendState::Gone);
                }
            }
            Ev::Begins { fault } => self.begins(fault),
            Ev::Ends { fault } => self.ends(fault),
            Ev::Drains { backend } => {
                self.rows[backend].state = BackendState::Draining;
                self.logs(backend, BackendState::Draining);
                self.add_box(Some(self.now));
                self.at(self.now + DRAINS, Ev::Goes { backend });
            }
            Ev::Goes { backend } => {
                self.rows[backend].state = BackendState::Gone;
                self.logs(backend, BackendState::Gone);
            }
            Ev::Revives { proxy } => self.revive(proxy),
        }
    }

    /// Tells the modules what there is to tell and does what they ask, until neither has more.
    fn work(&mut self) {
        let mut actions = Vec::new();
        while let Some((proxy, event)) = self.todo.pop_front() {
            let Some(pools) = self.proxies[proxy].pools.as_mut() else { continue };
            pools.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(proxy, action);
            }
        }
    }

    fn act(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Dispatch { request, attempt, backend, .. } => {
                self.dispatch(proxy, request, attempt, backend.0 as usize)
            }
            Action::Reject { request, retry_after, .. } => self.rejected(request, retry_after),
            Action::Fail { request, .. } => {
                if let Some(open) = self.forget(request) {
                    self.closed(open.client, open.came, End::Failed, Micros(0));
                }
            }
            Action::Cancel { request, attempt } => {
                if let Some(at) = self.out.get(&(request, attempt)).copied() {
                    self.let_go(at);
                    let over = !self.requests.contains_key(&request);
                    self.ended(at, Outcome::Cancelled, over);
                }
            }
            Action::SetTimer { token, after } => {
                let life = self.proxies[proxy].life;
                self.at(self.now + after, Ev::Timer { proxy, life, token });
            }
            Action::Subscribe { .. } | Action::Log { .. } => {}
        }
    }
}
