//! Carries a plan out: starts all parts, takes its steps in time, and collects what was written down.

use crate::address::Reservation;
use crate::artifacts::Artifacts;
use crate::call_faults::CallFault;
use crate::clients::{crowd, misbehave};
use crate::control::FaultControl;
use crate::oracle::{
    judge, ClientRecords, Evidence, LateLink, Return, Telling, Unlisted, Violation, CORES, MEAN_WORK_MS,
};
use crate::plan::{Ending, FaultKind, Illness, Plan, Scale, Step};
use crate::proxies::{Life, ProxySlot, Setting};
use crate::settings::RunSettings;
use shaletide_lab::links::{Cut, Direction, Fault as LinkFault, Link, Links};
use shaletide_testkit::*;
use shaletide_types::{DeduplicationScope, Idempotency, Micros, Time};
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// The body of a request that is unsafe to repeat, in bytes: some writes and reads.
const LONG_BODY: usize = 20_000;
/// Backends of one bay share the keys that they have seen.
const BAY: usize = 3;
/// On a link that is slow bytes are late by so many ms.
const SLOW_LINK_MS: (f64, f64) = (20.0, 300.0);

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// The kinds of fault.
    pub kinds: Vec<FaultKind>,
    /// What broke.
    pub violations: Vec<Violation>,
    /// Processes that were started.
    pub processes: usize,
    /// Requests of the ordinary load, how many were served, and how many clients left.
    pub requests: usize,
    /// Of these, served.
    pub served: usize,
    /// Clients that left.
    pub departures: usize,
    /// System calls that failed, by kind.
    pub calls: Vec<(CallFault, u32)>,
    /// Where configurations and logs are: kept where something broke.
    pub folder: PathBuf,
}

/// All parts of a run.
pub(crate) struct World {
    artifacts: Artifacts,
    control: FaultControl,
    folder: PathBuf,
    pub(crate) clock: Clock,
    pub(crate) seed: u64,
    scale: Scale,
    pub(crate) settings: RunSettings,
    asks_discovery: bool,
    pub(crate) slots: Vec<ProxySlot>,
    fleet: Fleet,
    discovery: ListServer,
    discovery_links: Vec<[Link; 2]>,
    /// By proxy and backend; empty where the plan has no faults there.
    backend_links: Vec<Vec<Link>>,
    _links: Links,
    notes: Mutex<Notes>,
}

/// What the run itself writes down.
#[derive(Default)]
pub(crate) struct Notes {
    pub(crate) lives: Vec<Life>,
    pub(crate) clients: Vec<ClientRecords>,
    unlisted: Vec<Unlisted>,
    unreachable: Vec<Vec<(Time, Time)>>,
    moves: Vec<Vec<Time>>,
    late_links: Vec<LateLink>,
    returns: Vec<Return>,
    runs: u32,
}

fn class(name: &str, effect: Idempotency, body: usize, deadline_us: u64) -> LoadClass {
    let deadline = Duration::from_micros(deadline_us);
    let headers = vec![("X-Account".into(), "north".into())];
    LoadClass { body, headers, ..LoadClass::new(name, effect, deadline) }
}

pub(crate) fn classes(settings: &RunSettings) -> Vec<LoadClass> {
    let keyed = Idempotency::Keyed(DeduplicationScope::Group, Micros(settings.window_us));
    let [read, pay, vote] = settings.deadlines_us;
    vec![
        class("read", Idempotency::Safe, 0, read),
        class("pay", Idempotency::NonIdempotent, LONG_BODY, pay),
        class("vote", keyed, 20, vote),
    ]
}

fn backend(place: usize, settings: &RunSettings) -> BoxSpec {
    let RunSettings { cold_from, ramp_us, .. } = *settings;
    let power =
        Power { cores: CORES, speed: 1.0, initial_capacity_fraction: cold_from, ramp: Micros(ramp_us) };
    BoxSpec {
        bay: 1 + (place / BAY) as u64,
        idle: Duration::from_secs(10),
        ..BoxSpec::new(&format!("b{place}"), power)
    }
}

/// Plays a seed. `only`: the kinds of fault that it is to have, in place of drawn ones.
///
/// # Errors
/// The stand-ins could not be set up, or a process not be started.
pub fn play(seed: u64, scale: &Scale, only: &[FaultKind], artifacts: &Artifacts) -> io::Result<Report> {
    let plan = Plan::draw(seed, scale, only);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let world = Arc::new(World::new(seed, scale, &plan, artifacts)?);
    let evidence = runtime.block_on(world.clone().run(&plan))?;
    let violations = judge(&evidence);
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&world.folder); // a temporary folder
    }
    let sent = || evidence.clients.iter().flat_map(|records| &records.load.sent);
    let counts = CallFault::ALL.map(|fault| (fault, world.control.count(fault).unwrap_or_default()));
    Ok(Report {
        seed,
        kinds: plan.kinds,
        violations,
        processes: evidence.lives.len(),
        requests: sent().count(),
        served: sent().filter(|sent| sent.end == End::Status(200)).count(),
        departures: evidence.clients.iter().map(|records| records.departures.1.len()).sum(),
        calls: counts.into_iter().filter(|(_, count)| *count > 0).collect(),
        folder: world.folder.clone(),
    })
}

impl World {
    fn new(seed: u64, scale: &Scale, plan: &Plan, artifacts: &Artifacts) -> io::Result<World> {
        let folder = std::env::temp_dir().join(format!("shaletide-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let control = FaultControl::create(&folder.join("faults"))?;
        control.step_wall_clock(plan.wall_clock_at_start)?;
        let boxes = (0..scale.backends).map(|place| backend(place, &plan.settings)).collect();
        let services = vec![Service::new("", Law::Exponential(MEAN_WORK_MS))];
        let fleet = Fleet::with(FleetSpec { services, seed, ..FleetSpec::new(boxes) })?;
        let clock = fleet.clock();
        let links = Links::start_with(clock, seed, 2)?;
        let here = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let mut backend_links = Vec::new();
        if plan.kinds.contains(&FaultKind::BackendLink) {
            for proxy in 0..scale.proxies {
                let lay = |b: &BoxHandle| {
                    let far = &b.spec.name;
                    links.tcp(&format!("p{proxy}-{far}"), [&format!("p{proxy}"), far], here, b.address)
                };
                backend_links.push(fleet.boxes().iter().map(lay).collect::<io::Result<Vec<Link>>>()?);
            }
        }
        let names = || fleet.boxes().iter().map(|b| b.spec.name.clone());
        let view = |links: &Vec<Link>| names().zip(links.iter().map(Link::address)).collect();
        let views: Vec<View> = backend_links.iter().map(view).collect();
        let entries: Vec<Entry> = fleet.boxes().iter().map(BoxHandle::entry).collect();
        let watchers: Vec<String> = (0..scale.proxies).map(|proxy| format!("p{proxy}")).collect();
        let watchers: Vec<&str> = watchers.iter().map(String::as_str).collect();
        let discovery = ListServer::with_views(clock, &watchers, entries.clone(), views.clone())?;
        let (mut slots, mut discovery_links) = (Vec::new(), Vec::new());
        for proxy in 0..scale.proxies {
            let near = format!("p{proxy}");
            let lay = |name: &str| links.tcp(name, [&near, "discovery"], here, discovery.address(proxy));
            let pair = [lay(&format!("{near}-list-a"))?, lay(&format!("{near}-list-b"))?];
            let known = entries.iter().map(|entry| {
                let address = views.get(proxy).and_then(|view| view.get(&entry.name));
                let seen = Entry { address: address.copied().unwrap_or(entry.address), ..entry.clone() };
                serde_json::from_str::<serde_json::Value>(&seen.text()).unwrap_or_default()
            });
            let lists = [0, 1].map(|n| pair[n].address());
            let reserves = plan.settings.reserves_addresses;
            let reservation = if reserves { Reservation::SharedPort } else { Reservation::Reusable };
            slots.push(ProxySlot::new(proxy, &folder, lists, known.collect(), reservation)?);
            discovery_links.push(pair);
        }
        let notes = Notes {
            unreachable: vec![Vec::new(); scale.proxies],
            moves: vec![Vec::new(); scale.proxies],
            ..Notes::default()
        };
        Ok(World {
            artifacts: artifacts.clone(),
            control,
            folder,
            clock,
            seed,
            scale: *scale,
            settings: plan.settings,
            asks_discovery: plan.asks_discovery,
            slots,
            fleet,
            discovery,
            discovery_links,
            backend_links,
            _links: links,
            notes: Mutex::new(notes),
        })
    }

    pub(crate) fn notes(&self) -> MutexGuard<'_, Notes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn setting(&self) -> Setting<'_> {
        Setting {
            artifacts: &self.artifacts,
            control: &self.control,
            folder: &self.folder,
            clock: self.clock,
            proxies: self.scale.proxies,
            asks_discovery: self.asks_discovery,
            seed: self.seed,
            settings: self.settings,
        }
    }

    async fn run(self: Arc<World>, plan: &Plan) -> io::Result<Evidence> {
        let end = Time(self.clock.now().0 + self.scale.length.as_micros() as u64);
        let begun = tokio::time::Instant::now();
        let mut orders = Vec::new();
        let mut proxies = Vec::new();
        for place in 0..self.scale.proxies {
            let (order, ordered) = mpsc::channel(8);
            orders.push(order);
            proxies.push(tokio::spawn(self.clone().proxy(place, end, ordered)));
        }
        for timed in &plan.steps {
            tokio::time::sleep_until(begun + timed.at).await;
            self.take(timed.step, &orders)?;
        }
        tokio::time::sleep_until(begun + self.scale.length).await;
        self.heal()?;
        drop(orders);
        for proxy in proxies {
            proxy.await.map_err(io::Error::other)??;
        }
        let held_up = plan
            .steps
            .iter()
            .any(|timed| matches!(timed.step, Step::Freeze(..) | Step::Call(CallFault::SlowWrite, _)));
        let crowds = [FaultKind::Crowd, FaultKind::Clients];
        let crowded = plan.kinds.iter().any(|kind| crowds.contains(kind));
        let slow_calls = [FaultKind::Calls, FaultKind::ShortStart, FaultKind::Freeze];
        let starts_are_slow = plan.kinds.iter().any(|kind| slow_calls.contains(kind));
        Ok(self.evidence(held_up, crowded, starts_are_slow))
    }

    fn evidence(&self, held_up: bool, crowded: bool, starts_are_slow: bool) -> Evidence {
        let notes = std::mem::take(&mut *self.notes());
        let Notes { lives, clients, unlisted, mut unreachable, moves, mut late_links, returns, .. } = notes;
        let open = Time(u64::MAX);
        let now = self.clock.now();
        unreachable.iter_mut().flatten().filter(|span| span.1 == open).for_each(|span| span.1 = now);
        late_links.iter_mut().filter(|link| link.until == open).for_each(|link| link.until = now);
        let (mut log_lines, mut evictions) = (Vec::new(), 0);
        for life in &lives {
            let text = std::fs::read(&life.log).unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            evictions += text.lines().filter_map(evicted_in).sum::<u64>();
            let name = life.log.file_stem().unwrap_or_default().to_string_lossy();
            let matters =
                text.lines().filter(|line| line.contains("self-check:") || line.contains("panicked"));
            log_lines.extend(matters.map(|line| format!("{name}: {line}")));
        }
        Evidence {
            ledger: self.fleet.ledger(),
            lives,
            clients,
            unlisted,
            unreachable,
            moves,
            late_links,
            returns,
            evictions,
            crowded,
            log_lines,
            tellings: if self.asks_discovery { self.tellings() } else { Vec::new() },
            asks_discovery: self.asks_discovery,
            held_up,
            settings: self.settings,
            starts_are_slow,
        }
    }

    /// What discovery wrote to whom.
    fn tellings(&self) -> Vec<Telling> {
        let place = |name: &str| name.get(1..).and_then(|number| number.parse().ok());
        let one =
            |told: Told| Some(Telling { proxy: told.watcher, backend: place(&told.name)?, at: told.at });
        self.discovery.told().into_iter().filter_map(one).collect()
    }

    /// Everything is as usual again, so that what is owed can be answered.
    fn heal(&self) -> io::Result<()> {
        self.control.clear()?;
        self.discovery.serve(ListService::Up);
        let clean = |link: &Link| link.set(Direction::Both, LinkFault::default()).map_err(io::Error::other);
        self.discovery_links.iter().flatten().try_for_each(clean)?;
        for link in self.backend_links.iter().flatten() {
            clean(link)?;
            link.refuse(false);
        }
        self.reached_again(0..self.scale.proxies);
        Ok(())
    }

    fn unreached(&self, proxies: impl Iterator<Item = usize>) {
        let now = self.clock.now();
        let mut notes = self.notes();
        proxies.for_each(|proxy| notes.unreachable[proxy].push((now, Time(u64::MAX))));
    }

    fn reached_again(&self, proxies: impl Iterator<Item = usize>) {
        let now = self.clock.now();
        let mut notes = self.notes();
        for proxy in proxies {
            let spans = notes.unreachable[proxy].iter_mut();
            spans.filter(|span| span.1 == Time(u64::MAX)).for_each(|span| span.1 = now);
        }
    }

    fn take(self: &Arc<World>, step: Step, orders: &[mpsc::Sender<Ending>]) -> io::Result<()> {
        let all = 0..self.scale.proxies;
        match step {
            // A proxy that has several orders waiting has enough to do.
            Step::End(proxy, ending) => drop(orders[proxy].try_send(ending)),
            Step::Reload(proxy) => {
                let now = self.clock.now();
                self.notes().moves[proxy].push(now);
                self.slots[proxy].move_discovery(&self.setting())?;
            }
            Step::Freeze(proxy, millis) => {
                let world = self.clone();
                tokio::spawn(async move {
                    world.slots[proxy].signal("STOP");
                    tokio::time::sleep(Duration::from_millis(millis)).await;
                    world.slots[proxy].signal("CONT");
                });
            }
            Step::DiscoverySilent | Step::DiscoveryBroken => {
                let is_silent = step == Step::DiscoverySilent;
                self.unreached(all);
                self.discovery.serve(if is_silent { ListService::Silent } else { ListService::Broken });
            }
            Step::DiscoveryUp => {
                self.discovery.serve(ListService::Up);
                self.reached_again(all);
            }
            Step::DiscoveryCut(proxy) => {
                self.unreached(proxy..=proxy);
                self.set_discovery_links(proxy, LinkFault::cut(Cut::Silent))?;
            }
            Step::DiscoveryHealed(proxy) => {
                self.set_discovery_links(proxy, LinkFault::default())?;
                self.reached_again(proxy..=proxy);
            }
            Step::Drain(backend) => {
                let from = self.clock.now();
                self.discovery.drain(&format!("b{backend}"));
                self.notes().unlisted.push(Unlisted { backend, from, until: None });
                self.fleet.boxes()[backend].drain();
            }
            Step::Remove(backend) => {
                self.discovery.delete(&format!("b{backend}"));
                self.fleet.boxes()[backend].kill();
            }
            Step::Return(backend) => {
                let handle = &self.fleet.boxes()[backend];
                handle.revive();
                let now = self.clock.now();
                self.discovery.put(handle.entry());
                let mut notes = self.notes();
                notes.returns.push(Return { backend, listed: now });
                let open = notes.unlisted.iter_mut().filter(|u| u.backend == backend && u.until.is_none());
                open.for_each(|unlisted| unlisted.until = Some(now));
            }
            Step::Die(backend) => drop(self.fleet.boxes()[backend].kill()),
            Step::Ill(backend, illness) => {
                let fault = match illness {
                    Illness::Hangs(part) => Fault::Hang(part),
                    Illness::Fails(part) => Fault::Fail(part),
                    Illness::Resets(part) => Fault::Reset(part),
                    Illness::Slow(times) => Fault::Slow(times),
                    Illness::Closes => Fault::Close(false),
                    Illness::Drips(millis) => Fault::Send(Sending::Drip(Duration::from_millis(millis))),
                    Illness::Garbage => Fault::Send(Sending::Raw(vec![b"no answer at all\r\n\r\n".to_vec()])),
                    Illness::Truncates => Fault::Send(Sending::Raw(vec![
                        b"HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n".to_vec(),
                        b"half of it".to_vec(),
                    ])),
                    Illness::TwoSegments => Fault::Send(Sending::TwoSegments),
                };
                self.fleet.boxes()[backend].set(fault);
            }
            Step::Well(backend) => {
                let handle = &self.fleet.boxes()[backend];
                for fault in [
                    Fault::Hang(0.0),
                    Fault::Fail(0.0),
                    Fault::Reset(0.0),
                    Fault::Slow(1.0),
                    Fault::Keep,
                    Fault::Send(Sending::Whole),
                ] {
                    handle.set(fault);
                }
            }
            Step::LinkReset(proxy, backend) => {
                let link = &self.backend_links[proxy][backend];
                link.refuse(true);
                link.set(Direction::Both, LinkFault::cut(Cut::Reset)).map_err(io::Error::other)?;
            }
            Step::LinkSilent(proxy, backend) => {
                self.late_from_now(proxy, backend);
                let fault = LinkFault::cut(Cut::Silent);
                self.backend_links[proxy][backend].set(Direction::Both, fault).map_err(io::Error::other)?;
            }
            Step::LinkSlow(proxy, backend) => {
                self.late_from_now(proxy, backend);
                let fault = LinkFault::delay_ms(Law::Even(SLOW_LINK_MS.0, SLOW_LINK_MS.1));
                self.backend_links[proxy][backend].set(Direction::Both, fault).map_err(io::Error::other)?;
            }
            Step::LinkHealed(proxy, backend) => {
                let link = &self.backend_links[proxy][backend];
                link.set(Direction::Both, LinkFault::default()).map_err(io::Error::other)?;
                link.refuse(false);
                let now = self.clock.now();
                let mut notes = self.notes();
                let late = notes.late_links.iter_mut();
                let here = late.filter(|link| (link.proxy, link.backend) == (proxy, backend));
                here.filter(|link| link.until > now).for_each(|link| link.until = now);
            }
            Step::Call(fault, chance) => self.control.set(fault, chance)?,
            Step::WallClock(seconds) => self.control.step_wall_clock(seconds)?,
            Step::Crowd(proxy) => {
                drop(tokio::spawn(crowd(self.slots[proxy].address(), self.settings.sockets)))
            }
            Step::BadClients(proxy) => {
                let (to, run) = (self.slots[proxy].address(), self.next_run());
                tokio::spawn(misbehave(to, run));
            }
        }
        Ok(())
    }

    fn late_from_now(&self, proxy: usize, backend: usize) {
        let (from, until) = (self.clock.now(), Time(u64::MAX));
        self.notes().late_links.push(LateLink { proxy, backend, from, until });
    }

    fn set_discovery_links(&self, proxy: usize, fault: LinkFault) -> io::Result<()> {
        let mut links = self.discovery_links[proxy].iter();
        links.try_for_each(|link| link.set(Direction::Both, fault)).map_err(io::Error::other)
    }

    /// A number for the ids of a group of clients that no other has.
    pub(crate) fn next_run(&self) -> u32 {
        let mut notes = self.notes();
        notes.runs += 1;
        0xc000_0000 + notes.runs
    }
}

/// How many clients a line of the program's periodic report says were evicted.
fn evicted_in(line: &str) -> Option<u64> {
    let (_, behind) = line.split_once(" evicted ")?;
    behind.split(' ').next()?.parse().ok()
}
