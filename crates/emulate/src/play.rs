//! A day played: events in the order of a virtual clock, hosts around the modules, clients.

use crate::account::{Account, End};
use crate::day::{Day, Trouble};
use crate::rules::{Broken, Watch};
use crate::site::{Site, LOOK};
use shaletide_balancer::{Arrival, AttemptEnd};
use shaletide_base::*;
use shaletide_routing::pools::{Action, Event};
use shaletide_routing::Pools;
use shaletide_testkit::{Admitted, Demand, Dice, Step};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// Any box that the list has, once, whatever happens.
    Random,
    /// The program as it is where boxes say nothing of their load.
    Earlier,
    /// The program.
    Program,
    /// One module of the program that all requests come to and that is told of each box at once.
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

/// What came of it.
#[derive(Debug)]
pub struct Played {
    /// What clients got.
    pub account: Account,
    /// The rules.
    pub watch: Watch,
}

const POOL: PoolId = PoolId(0);
const START: Time = Time(1_000_000_000);
/// A box goes so long after it was told to drain.
const DRAINS: Micros = Micros(3_000_000);
/// A dead proxy is back after this.
const DOWN: Micros = Micros(1_000_000);
/// Nothing new goes to a box so long after the news that it drains, and a little more for the way of it.
const GRACE: Micros = Micros(2_000_000);
/// The last deadlines are over by then.
const AFTER: Micros = Micros(8_000_000);
/// A client takes longer advice for this.
const MOST_ADVICE: Micros = Micros(2_000_000);
/// A connection is not used any more after this part of the time after which boxes close it.
const IDLE_PART: f64 = 0.6;

enum Ev {
    Comes,
    Again { client: usize },
    Timer { proxy: usize, life: u32, token: TimerToken },
    AtBox { attempt: usize },
    Wake { site: usize },
    Look,
    Back { attempt: usize, outcome: Outcome },
    Deadline { id: RequestId },
    List { proxy: usize },
    Begins { trouble: usize },
    Ends { trouble: usize },
    Drains { site: usize },
    Goes { site: usize },
    Revives { proxy: usize },
}

struct Client {
    came: Time,
    sort: usize,
    tenant: usize,
    tries: u32,
    proxy: usize,
    served: bool,
}

struct Open {
    proxy: usize,
    client: usize,
    came: Time,
    tries: Vec<usize>,
}

struct Attempt {
    id: RequestId,
    no: AttemptNo,
    proxy: usize,
    life: u32,
    site: usize,
    sent: Time,
    at_box: bool,
    over: bool,
    /// Its outcome proves that it did not run.
    never_ran: bool,
    work_ms: f64,
}

struct Proxy {
    pools: Option<Pools>,
    life: u32,
    zone: ZoneId,
    /// How much of the list's log it was told.
    told: usize,
    idle: BTreeMap<usize, Vec<Time>>,
    open: BTreeSet<RequestId>,
    /// When it was told that a box drains or is gone.
    drains: BTreeMap<usize, Time>,
    /// The ready ones, for random choice.
    ready: BTreeSet<usize>,
}

/// A line of the list's log.
struct Line {
    at: Time,
    site: usize,
    state: BackendState,
}

struct World<'a> {
    day: &'a Day,
    who: Who,
    now: Time,
    end: Time,
    queue: BTreeMap<(Time, u64), Ev>,
    count: u64,
    sites: Vec<Site>,
    /// When each is woken next.
    wakes: Vec<Option<Time>>,
    rows: Vec<Backend>,
    sizes: Vec<f64>,
    log: Vec<Line>,
    proxies: Vec<Proxy>,
    parts: Vec<f64>,
    clients: Vec<Client>,
    requests: BTreeMap<RequestId, Open>,
    attempts: Vec<Attempt>,
    /// Those that are not over.
    out: BTreeMap<(RequestId, AttemptNo), usize>,
    todo: VecDeque<(usize, Event)>,
    dice: Dice,
    burst: f64,
    account: Account,
    watch: Watch,
    last: u64,
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
            parts: if who == Who::One { vec![1.0] } else { day.parts() },
            clients: Vec::new(),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            out: BTreeMap::new(),
            todo: VecDeque::new(),
            dice: Dice::of(day.seed, "day"),
            burst: 1.0,
            account: Account::new(day.sorts.len()),
            watch: Watch::default(),
            last: 0,
        };
        (0..day.boxes).for_each(|_| {
            world.add_box(None);
        });
        for position in 0..proxies {
            let zone = ZoneId(position % day.zones);
            world.proxies.push(Proxy {
                pools: None,
                life: 0,
                zone,
                told: 0,
                idle: BTreeMap::new(),
                open: BTreeSet::new(),
                drains: BTreeMap::new(),
                ready: BTreeSet::new(),
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
        self.rows.push(Backend {
            id: BackendId(number),
            mark: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
            zone: ZoneId(zone),
            cell: CellId(u64::from(zone) * 8 + u64::from(number / self.day.zones % 8)),
            kind: KindId(kind as u32),
            state: BackendState::Ready,
            booted,
            ..Backend::default()
        });
        self.sizes.push(self.day.kinds[kind].size);
        self.log.push(Line { at: self.now, site: number as usize, state: BackendState::Ready });
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
        (p.pools, p.told) = (Some(pools), 0);
        p.idle.clear();
        p.drains.clear();
        p.ready.clear();
        self.tell_list(proxy, ListUpdate::Full);
        let period = self.period();
        let first = Micros((self.dice.part() * period.0 as f64) as u64);
        self.at(self.now + first, Ev::List { proxy });
    }

    fn period(&self) -> Micros {
        self.day.reports.as_ref().map_or(Micros(1_000_000), |r| r.period)
    }

    /// What is new in the list as one reads it now, and all weights.
    fn tell_list(&mut self, proxy: usize, update: ListUpdate) {
        let lag = if self.who == Who::One { Micros(0) } else { self.day.list_lag };
        let seen = self
            .log
            .iter()
            .skip(self.proxies[proxy].told)
            .take_while(|l| l.at + lag <= self.now || l.at <= START);
        let news: BTreeMap<usize, BackendState> = seen.map(|l| (l.site, l.state)).collect();
        let told = self.log.partition_point(|l| l.at + lag <= self.now || l.at <= START);
        let p = &mut self.proxies[proxy];
        p.told = told;
        for (site, state) in &news {
            match state {
                BackendState::Ready => drop(p.ready.insert(*site)),
                _ => {
                    p.ready.remove(site);
                    p.drains.entry(*site).or_insert(self.now);
                }
            }
        }
        let weighs = self.who == Who::Program && self.day.reports.is_some();
        let mut rows: BTreeMap<usize, Backend> = BTreeMap::new();
        if weighs {
            let all = self.proxies[proxy].ready.iter();
            rows.extend(all.map(|site| (*site, self.rows[*site].clone())));
        }
        rows.extend(news.keys().map(|site| (*site, self.rows[*site].clone())));
        for (site, row) in &mut rows {
            if weighs {
                row.weight = self.sites[*site].weight(self.now, self.sizes[*site]);
            }
            // As it was when this became known: it may have gone on since.
            row.state = news.get(site).copied().unwrap_or(BackendState::Ready);
        }
        let backends: Vec<Backend> = rows.into_values().collect();
        if !backends.is_empty() {
            self.todo.push_back((proxy, Event::Members { pool: POOL, update, backends }));
        }
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
                    if self.proxies[proxy].pools.is_some() {
                        self.tell_list(proxy, ListUpdate::Changes);
                    }
                    self.at(self.now + self.period(), Ev::List { proxy });
                }
            }
            Ev::Begins { trouble } => self.begins(trouble),
            Ev::Ends { trouble } => self.ends(trouble),
            Ev::Drains { site } => {
                self.rows[site].state = BackendState::Draining;
                self.log.push(Line { at: self.now, site, state: BackendState::Draining });
                self.add_box(Some(self.now));
                self.at(self.now + DRAINS, Ev::Goes { site });
            }
            Ev::Goes { site } => {
                self.rows[site].state = BackendState::Gone;
                self.log.push(Line { at: self.now, site, state: BackendState::Gone });
            }
            Ev::Revives { proxy } => self.revive(proxy),
        }
    }

    // --- troubles ---

    fn begins(&mut self, trouble: usize) {
        let (from, to, what) = &self.day.troubles[trouble];
        let mut dice = Dice::of(self.day.seed, &format!("trouble {trouble}"));
        match what {
            Trouble::Burst(factor) => self.burst = *factor,
            Trouble::Slow(factor) => {
                (0..self.sites.len()).for_each(|s| self.sites[s].slow(self.now, *factor))
            }
            Trouble::Silent(part) => {
                for site in &mut self.sites {
                    site.silent = dice.chance(*part);
                }
            }
            Trouble::Herd(part) => {
                let hit: Vec<usize> = (0..self.proxies.len()).filter(|_| dice.chance(*part)).collect();
                hit.into_iter().for_each(|proxy| self.dies(proxy));
            }
            Trouble::Replace(part) => {
                let hit: Vec<usize> = (0..self.sites.len()).filter(|_| dice.chance(*part)).collect();
                let each = to.0.saturating_sub(from.0) / hit.len().max(1) as u64;
                for (n, site) in hit.into_iter().enumerate() {
                    self.at(self.now + Micros(each * n as u64), Ev::Drains { site });
                }
            }
        }
    }

    fn ends(&mut self, trouble: usize) {
        match &self.day.troubles[trouble].2 {
            Trouble::Burst(_) => self.burst = 1.0,
            Trouble::Slow(_) => (0..self.sites.len()).for_each(|s| self.sites[s].slow(self.now, 1.0)),
            Trouble::Silent(_) => self.sites.iter_mut().for_each(|s| s.silent = false),
            Trouble::Herd(_) | Trouble::Replace(_) => {}
        }
    }

    fn dies(&mut self, proxy: usize) {
        if self.who == Who::One {
            return;
        }
        let p = &mut self.proxies[proxy];
        (p.pools, p.life) = (None, p.life + 1);
        let open = std::mem::take(&mut p.open);
        let idle = std::mem::take(&mut p.idle);
        for (site, all) in idle {
            self.sites[site].connections -= all.len() as u32;
        }
        for id in open {
            let Some(open) = self.requests.remove(&id) else { continue };
            for attempt in open.tries {
                self.let_go(attempt);
            }
            self.closed(open.client, open.came, End::Died, Micros(0));
        }
        self.at(self.now + DOWN, Ev::Revives { proxy });
    }

    // --- clients ---

    fn comes(&mut self) {
        if self.now >= self.end {
            return;
        }
        let rate = self.day.load * self.day.capacity() * self.burst;
        let gap = -self.dice.part().ln() / rate;
        self.at(self.now + Micros::from_secs(gap), Ev::Comes);
        let pick = |dice: &mut Dice, shares: &mut dyn Iterator<Item = f64>| {
            let shares: Vec<f64> = shares.collect();
            let mut left = dice.part() * shares.iter().sum::<f64>();
            let hit = shares.iter().position(|s| {
                left -= s;
                left < 0.0
            });
            hit.unwrap_or(shares.len() - 1)
        };
        let sort = pick(&mut self.dice, &mut self.day.sorts.iter().map(|s| s.share));
        let tenant = pick(&mut self.dice, &mut self.day.tenants.iter().map(|t| t.1));
        let proxy = pick(&mut self.dice, &mut self.parts.iter().copied());
        let client = self.clients.len();
        self.clients.push(Client { came: self.now, sort, tenant, tries: 0, proxy, served: false });
        self.account.asked[sort] += 1;
        self.account.worth.0 += self.day.sorts[sort].class.worth;
        let second = self.account.second(self.now - START);
        self.account.seconds[second].0 += 1;
        self.asks(client, false);
    }

    fn asks(&mut self, client: usize, repeat: bool) {
        let c = &mut self.clients[client];
        let sort = &self.day.sorts[c.sort];
        let left = sort.deadline.0.saturating_sub((self.now - c.came).0);
        if left < 10_000 {
            return;
        }
        c.tries += 1;
        let mut proxy = c.proxy;
        // The front finds one that lives.
        for step in 1..=self.proxies.len() {
            if self.proxies[proxy].pools.is_some() {
                break;
            }
            proxy = (c.proxy + step * 7) % self.proxies.len();
        }
        if self.proxies[proxy].pools.is_none() {
            return;
        }
        self.last += 1;
        let id = RequestId(self.last);
        let (class, tenant) = (ClassId(c.sort), TenantId(c.tenant));
        let deadline = self.now + Micros(left);
        self.requests.insert(id, Open { proxy, client, came: self.now, tries: Vec::new() });
        self.proxies[proxy].open.insert(id);
        self.at(deadline, Ev::Deadline { id });
        if self.who == Who::Random {
            return self.draws(proxy, id);
        }
        let arrival = Arrival {
            request: id,
            class,
            tenant: Some(tenant),
            time_left: Micros(left),
            work_hint: None,
            repeat,
            elsewhere: false,
        };
        self.todo.push_back((proxy, Event::Request { arrival, pools: Rc::new([POOL]) }));
    }

    /// Random choice.
    fn draws(&mut self, proxy: usize, id: RequestId) {
        let ready = &self.proxies[proxy].ready;
        let at = (self.dice.part() * ready.len() as f64) as usize;
        match ready.iter().nth(at).copied() {
            Some(site) => self.dispatch(proxy, id, AttemptNo(0), site),
            None => self.refused(id, Micros(0)),
        }
    }

    /// A try is over.
    fn closed(&mut self, client: usize, came: Time, end: End, advice: Micros) {
        self.account.ends[end as usize] += 1;
        let refused = matches!(end, End::RefusedAtOnce | End::RefusedHeld | End::RefusedSent);
        if refused {
            let second = self.account.second(came - START);
            self.account.refused[second] += 1;
        }
        let c = &mut self.clients[client];
        if (refused || end == End::Died) && c.tries <= self.day.retries {
            let wait = Micros((self.dice.part() * 70_000.0) as u64 + 10_000).max(advice.min(MOST_ADVICE));
            self.at(self.now + wait, Ev::Again { client });
        }
    }

    fn served(&mut self, id: RequestId) {
        let Some(open) = self.forget(id) else { return };
        let c = &mut self.clients[open.client];
        let sort = &self.day.sorts[c.sort];
        let took = self.now - c.came;
        let in_time = took <= sort.class.aim;
        let worth = sort.class.worth * if in_time { 1.0 } else { sort.class.late_worth };
        if !std::mem::replace(&mut c.served, true) {
            self.account.worth.1 += worth;
            if in_time {
                self.account.served[c.sort] += 1;
                let second = self.account.second(c.came - START);
                self.account.seconds[second].1 += 1;
            }
        }
        // The bounds of the histogram are wider than any deadline.
        let _ = self.account.latency.record(took.0.max(1));
        self.closed(open.client, open.came, if in_time { End::InTime } else { End::Late }, Micros(0));
    }

    fn forget(&mut self, id: RequestId) -> Option<Open> {
        let open = self.requests.remove(&id)?;
        self.proxies[open.proxy].open.remove(&id);
        Some(open)
    }

    /// The attempts of it that may have run or may run yet.
    fn ran(&self, open: &Open) -> Vec<(CellId, Time)> {
        let all = open.tries.iter().map(|t| &self.attempts[*t]);
        all.filter(|a| !a.never_ran).map(|a| (self.rows[a.site].cell, a.sent)).collect()
    }

    fn effect(&self, open: &Open) -> Effect {
        self.day.sorts[self.clients[open.client].sort].class.effect
    }

    fn refused(&mut self, id: RequestId, advice: Micros) {
        let Some(open) = self.forget(id) else { return self.watch.broke(Broken::Answer(id)) };
        let (ran, effect) = (self.ran(&open), self.effect(&open));
        self.watch.refused(id, effect, &ran);
        let end = match () {
            () if !open.tries.is_empty() => End::RefusedSent,
            () if self.now - open.came > Micros(1_000) => End::RefusedHeld,
            () => End::RefusedAtOnce,
        };
        self.closed(open.client, open.came, end, advice);
    }

    fn deadline(&mut self, id: RequestId) {
        let Some(open) = self.forget(id) else { return };
        let proxy = open.proxy;
        let out: Vec<usize> = open.tries.iter().copied().filter(|t| !self.attempts[*t].over).collect();
        if out.is_empty() {
            self.todo.push_back((proxy, Event::ClientGone { request: id }));
        }
        for attempt in out {
            self.let_go(attempt);
            self.ended(attempt, Outcome::TimedOut, true);
        }
        self.closed(open.client, open.came, End::Failed, Micros(0));
    }

    // --- attempts ---

    fn dispatch(&mut self, proxy: usize, id: RequestId, no: AttemptNo, site: usize) {
        let Some(open) = self.requests.get(&id) else { return self.watch.broke(Broken::Answer(id)) };
        let sort = &self.day.sorts[self.clients[open.client].sort];
        let ran = self.ran(open);
        let cell = self.rows[site].cell;
        self.watch.sent(self.now, id, sort.class.effect, &ran, cell);
        if let Some(late) =
            self.proxies[proxy].drains.get(&site).map(|at| self.now - *at).filter(|l| *l > GRACE)
        {
            self.watch.broke(Broken::Drain(BackendId(site as u32), late));
        }
        self.account.attempts += 1;
        self.account.by_box[site] += 1;
        let crosses = self.rows[site].zone != self.proxies[proxy].zone;
        self.account.crossed += u64::from(crosses);
        let way = if crosses { self.day.net.1 } else { self.day.net.0 };
        let attempt = self.attempts.len();
        let mut work_ms = sort.work_ms.draw(&mut self.dice);
        let (life, sent) = (self.proxies[proxy].life, self.now);
        self.tidy(proxy, site);
        let idle = self.proxies[proxy].idle.get_mut(&site).and_then(Vec::pop);
        let mut wait = way;
        let mut refuses = false;
        if idle.is_none() {
            let common = &self.day.common;
            refuses = self.sites[site].connections >= common.connections
                || self.rows[site].state == BackendState::Gone;
            wait = Micros(wait.0 + common.handshake.0 .0);
            if !refuses {
                work_ms += common.handshake.1;
                self.sites[site].connections += 1;
                self.account.handshakes += 1;
            }
        }
        let (at_box, over, never_ran) = (false, false, false);
        self.attempts.push(Attempt { id, no, proxy, life, site, sent, at_box, over, never_ran, work_ms });
        self.out.insert((id, no), attempt);
        if let Some(open) = self.requests.get_mut(&id) {
            open.tries.push(attempt);
        }
        if refuses {
            self.at(self.now + wait, Ev::Back { attempt, outcome: Outcome::ConnectFailed });
        } else {
            self.at(self.now + wait, Ev::AtBox { attempt });
        }
    }

    /// Connections that rested too long are closed.
    fn tidy(&mut self, proxy: usize, site: usize) {
        let oldest = self.now.0.saturating_sub(self.day.common.idle.times(IDLE_PART).0);
        if let Some(all) = self.proxies[proxy].idle.get_mut(&site) {
            let before = all.len();
            all.retain(|since| since.0 >= oldest);
            self.sites[site].connections -= (before - all.len()) as u32;
        }
    }

    fn at_box(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if a.over {
            return;
        }
        a.at_box = true;
        let (site, work_ms) = (a.site, a.work_ms);
        let id = BackendId(site as u32);
        if self.rows[site].state == BackendState::Gone {
            return self.at(self.now, Ev::Back { attempt, outcome: Outcome::Reset });
        }
        let s = &self.sites[site];
        let window = Micros(1_000_000);
        if s.power.warmth(s.booted, self.now) < 1.0 {
            let bears = 3.0 * s.power.capacity(s.booted, self.now) * window.secs();
            self.watch.came(self.now, id, work_ms / 1e3, bears, window);
        }
        if s.silent {
            return;
        }
        let sort = &self.day.sorts[self.clients_sort(attempt)];
        let io = Micros::from_secs(sort.io_ms.draw(&mut self.dice) / 1e3);
        self.wake(site);
        let s = &mut self.sites[site];
        match s.arrive(self.now, attempt as u64, Demand { work_ms, io }) {
            Admitted::Full => {
                let way = self.way(attempt);
                self.at(self.now + way, Ev::Back { attempt, outcome: Outcome::Full });
            }
            Admitted::Began | Admitted::Queued => self.set_wake(site),
        }
    }

    fn clients_sort(&self, attempt: usize) -> usize {
        let open = self.requests.get(&self.attempts[attempt].id);
        open.map_or(0, |o| self.clients[o.client].sort)
    }

    fn way(&self, attempt: usize) -> Micros {
        let a = &self.attempts[attempt];
        if self.rows[a.site].zone == self.proxies[a.proxy].zone {
            self.day.net.0
        } else {
            self.day.net.1
        }
    }

    fn set_wake(&mut self, site: usize) {
        let Some(at) = self.sites[site].station.next(self.now) else { return };
        let at = at.max(self.now);
        if self.wakes[site].is_none_or(|set| at < set) {
            self.wakes[site] = Some(at);
            self.at(at, Ev::Wake { site });
        }
    }

    fn wake(&mut self, site: usize) {
        let steps = self.sites[site].advance(self.now);
        for step in steps {
            let Step::Served(done) = step else { continue };
            let attempt = done.id as usize;
            let took = self.now - self.attempts[attempt].sent;
            self.sites[site].told_served(took);
            let way = self.way(attempt);
            self.at(self.now + way, Ev::Back { attempt, outcome: Outcome::Ok });
        }
    }

    fn look(&mut self) {
        for site in 0..self.sites.len() {
            self.wake(site);
            self.sites[site].look(self.now);
            self.set_wake(site);
        }
        if self.now.0 % 1_000_000 < LOOK.0 {
            for proxy in 0..self.proxies.len() {
                let sites: Vec<usize> = self.proxies[proxy].idle.keys().copied().collect();
                sites.into_iter().for_each(|site| self.tidy(proxy, site));
            }
        }
        if self.now < self.end + Micros(4_000_000) {
            self.at(self.now + LOOK, Ev::Look);
        }
    }

    /// Nothing more comes of it, and its connection is closed.
    fn let_go(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let (site, at_box) = (a.site, a.at_box);
        self.out.remove(&(a.id, a.no));
        self.sites[site].connections = self.sites[site].connections.saturating_sub(1);
        if at_box {
            self.wake(site);
            self.sites[site].station.cancel(self.now, attempt as u64);
            self.set_wake(site);
        }
    }

    fn back(&mut self, attempt: usize, outcome: Outcome) {
        let a = &mut self.attempts[attempt];
        if a.over {
            return;
        }
        a.never_ran = outcome.never_ran();
        let (proxy, site, id, life) = (a.proxy, a.site, a.id, a.life);
        a.over = true;
        self.out.remove(&(id, a.no));
        if outcome != Outcome::ConnectFailed {
            if outcome == Outcome::Reset || self.proxies[proxy].life != life {
                self.sites[site].connections = self.sites[site].connections.saturating_sub(1);
            } else {
                self.proxies[proxy].idle.entry(site).or_default().push(self.now);
            }
        }
        if self.proxies[proxy].life != life {
            return;
        }
        let report = if self.who == Who::Program { self.sites[site].report(self.now) } else { None };
        if let Some(report) = report.filter(|_| matches!(outcome, Outcome::Ok | Outcome::Full)) {
            self.todo
                .push_back((proxy, Event::Reported { pool: POOL, backend: BackendId(site as u32), report }));
        }
        let over = outcome == Outcome::Ok || !self.requests.contains_key(&id);
        self.ended(attempt, outcome, over);
        match (self.who, outcome) {
            (_, Outcome::Ok) => self.served(id),
            (Who::Random, Outcome::Full | Outcome::ConnectFailed) => self.refused(id, Micros(0)),
            _ => {}
        }
    }

    fn ended(&mut self, attempt: usize, outcome: Outcome, settled: bool) {
        let a = &self.attempts[attempt];
        if self.who == Who::Random {
            return;
        }
        let end = AttemptEnd { request: a.id, attempt: a.no, outcome, latency: self.now - a.sent, settled };
        self.todo.push_back((a.proxy, Event::AttemptEnded(end)));
    }

    // --- modules ---

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
            Action::Refuse { request, retry_after } => self.refused(request, retry_after),
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
            Action::Follow { .. } | Action::Log { .. } => {}
        }
    }
}
