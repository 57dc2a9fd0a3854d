//! A day played: events in the order of a virtual clock, hosts around the modules, clients.

mod attempts;
mod clients;
mod lists;
mod troubles;
mod world;

use crate::account::{Account, End};
use crate::day::Day;
use crate::rules::Watch;
use crate::site::{Site, LOOK};
use shaletide_routing::pools::{Action, Event};
use shaletide_routing::Pools;
use shaletide_testkit::Dice;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use world::*;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// Any backend that the list has, once, whatever happens.
    Random,
    /// The program as it is where backends say nothing of their load.
    Earlier,
    /// The program.
    Program,
    /// One module of the program that all requests come to and that is told of each backend at once.
    One,
}

impl Who {
    /// All, in the order in which they are shown.
    pub const ALL: [Who; 4] = [Who::Random, Who::Earlier, Who::Program, Who::One];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Who::Random => "random choice",
            Who::Earlier => "without reports",
            Who::Program => "the program",
            Who::One => "one that sees all",
        }
    }
}

impl std::str::FromStr for Who {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Who, Self::Err> {
        match text {
            "random" => Ok(Who::Random),
            "without" => Ok(Who::Earlier),
            "program" => Ok(Who::Program),
            "one" => Ok(Who::One),
            _ => Err("not random, without, program or one"),
        }
    }
}

/// What came of it.
#[derive(Debug)]
pub struct Played {
    /// What clients got.
    pub account: Account,
    /// The rules.
    pub watch: Watch,
}

/// Plays a day.
pub fn play(day: &Day, who: Who) -> Played {
    let mut world = World::new(day, who);
    while let Some(((at, _), event)) = world.queue.pop_first() {
        // Modules set timers for ever.
        if at > world.end + AFTER {
            break;
        }
        world.now = at;
        world.happens(event);
        world.work();
    }
    world.account.crowdings = world.sites.iter().map(|s| s.crowdings).sum();
    Played { account: world.account, watch: world.watch }
}

impl<'a> World<'a> {
    fn new(day: &'a Day, who: Who) -> World<'a> {
        let proxies = if who == Who::One { 1 } else { day.proxies };
        let mut world = World {
            day,
            who,
            now: START,
            end: START + day.length,
            queue: BTreeMap::new(),
            count: 0,
            sites: Vec::new(),
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
            dice: Dice::of(day.seed, "day"),
            burst: 1.0,
            faults: Faults::new(day.seed),
            account: Account::new(day.sorts.len()),
            watch: Watch::default(),
            last: 0,
        };
        world.parts = world.deal();
        (0..day.boxes).for_each(|_| {
            world.add_box(None);
        });
        for position in 0..proxies {
            let zone = ZoneId(position % day.zones);
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
        for (trouble, (from, to, _)) in day.troubles.iter().enumerate() {
            world.at(START + *from, Ev::Begins { trouble });
            world.at(START + *to, Ev::Ends { trouble });
        }
        world
    }

    fn at(&mut self, at: Time, event: Ev) {
        self.count += 1;
        self.queue.insert((at.max(self.now), self.count), event);
    }

    fn add_box(&mut self, booted: Option<Time>) -> usize {
        let number = self.sites.len() as u32;
        let (kind, power) = self.day.draw_box(number);
        let zone = number % self.day.zones;
        self.sites.push(Site::new(number, self.day.seed, power, booted, &self.day.common, &self.day.reports));
        self.wakes.push(None);
        self.rows.push(BackendEntry {
            id: BackendId(number),
            stable_hash: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
            zone: ZoneId(zone),
            deduplication_group: DeduplicationGroupId(
                u64::from(zone) * 8 + u64::from(number / self.day.zones % 8),
            ),
            server_type: ServerTypeId(kind as u32),
            state: BackendState::Ready,
            started_at: booted,
            ..BackendEntry::default()
        });
        self.sizes.push(self.day.kinds[kind].size);
        self.logs(number as usize, BackendState::Ready);
        self.account.by_box.push(0);
        number as usize
    }

    /// A proxy starts, with the list as it is and nothing else.
    fn revive(&mut self, proxy: usize) {
        let one = self.who == Who::One;
        let live = self.day.reports.is_some() && self.who == Who::Program;
        let zone = self.proxies[proxy].zone;
        let mut config = self.day.config(if one { 1 } else { self.day.told }, proxy as u32, zone, live);
        if one {
            config.cross_zone_cost = 0.0;
        }
        config.position %= config.proxies;
        let mut pools = Pools::new();
        let life = u64::from(self.proxies[proxy].life);
        let seed = Dice::of(self.day.seed ^ life << 32, &format!("proxy {proxy}")).word();
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
        let first = Micros((self.dice.part() * period.0 as f64) as u64);
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
            Ev::Wake { site } => {
                if self.wakes[site] == Some(self.now) {
                    self.wakes[site] = None;
                    self.wake(site);
                    self.set_wake(site);
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
            Ev::Missed { site } => {
                if self.sites[site].dead {
                    self.rows[site].state = BackendState::Gone;
                    self.logs(site, BackendState::Gone);
                }
            }
            Ev::Begins { trouble } => self.begins(trouble),
            Ev::Ends { trouble } => self.ends(trouble),
            Ev::Drains { site } => {
                self.rows[site].state = BackendState::Draining;
                self.logs(site, BackendState::Draining);
                self.add_box(Some(self.now));
                self.at(self.now + DRAINS, Ev::Goes { site });
            }
            Ev::Goes { site } => {
                self.rows[site].state = BackendState::Gone;
                self.logs(site, BackendState::Gone);
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
            Action::Reject { request, retry_after } => self.refused(request, retry_after),
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
