//! The timeline carried out, on the caller's thread: it waits until each action is due, carries it out, and takes samples.

use super::cpu::Cpu;
use super::setup::{Environment, Root};
use super::{collect, Options, RunError};
use crate::clients::{self, Clients};
use crate::experiment::{Experiment, What};
use crate::fleet::{operator, runs, Processes, ProxySettings, Seen};
use crate::paths::Paths;
use crate::samples::{ProcessEvent, Sample, Touched, MAX_SAMPLES};
use crate::site::{backend_count, Site};
use crate::timeline::{ends, plan, Action, Due};
use shaletide_testkit::{BackendStats, Clock};
use shaletide_types::{Micros, Time};
use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval of the driver's loop.
const TICK: Duration = Duration::from_millis(2);
/// Log lines that are shown of a process that never became ready.
const LAST_LINES: usize = 5;

/// A run in progress. Fields are dropped in this order: clients, processes, then what these connect to.
struct Driver<'a> {
    experiment: Arc<Experiment>,
    options: &'a Options,
    seed: u64,
    clock: Clock,
    zero: Time,
    clients: Option<Clients>,
    processes: Processes,
    paths: Paths,
    site: Site,
    samples: Vec<Sample>,
    cpu: Cpu,
    before: Vec<BackendStats>,
    calls: u64,
    /// The driver's own worst lateness in this second.
    late: Micros,
    last_lines: Vec<VecDeque<String>>,
    void: Vec<String>,
    // Last, so that the directory is removed when nothing uses it any more.
    _root: Root,
}

/// See [`super::run`].
pub fn run(experiment: &Experiment, options: &Options) -> Result<Vec<Sample>, RunError> {
    if !runs(options.program.as_os_str()) {
        return Err(RunError::NoProgram(options.program.clone()));
    }
    let mut driver = Driver::new(experiment, options)?;
    if driver.started()? {
        driver.play()?;
    }
    driver.finish()
}

impl<'a> Driver<'a> {
    fn new(experiment: &Experiment, options: &'a Options) -> Result<Driver<'a>, RunError> {
        let (seed, clock) = (options.seed.unwrap_or(experiment.seed), Clock::start());
        let Environment { processes, paths, site, root } =
            Environment::set_up(experiment, options, seed, clock)?;
        let mut driver = Driver {
            experiment: Arc::new(experiment.clone()),
            options,
            seed,
            clock,
            // Until clients start, events are recorded at the time 0.
            zero: Time(u64::MAX),
            clients: None,
            processes,
            paths,
            site,
            samples: collect::head(experiment, seed, &options.command),
            cpu: Cpu::default(),
            before: Vec::new(),
            calls: 0,
            late: Micros(0),
            last_lines: vec![VecDeque::new(); experiment.fleet.proxies],
            void: Vec::new(),
            _root: root,
        };
        for proxy in 0..experiment.fleet.proxies {
            let text = driver.file(proxy, &experiment.fleet.more);
            driver.processes.set_file(proxy, text);
        }
        Ok(driver)
    }

    fn file(&self, proxy: usize, more: &str) -> String {
        let listens = self.processes.address(proxy);
        let settings = ProxySettings { proxy, listens, list: self.paths.list(proxy), seed: self.seed };
        operator(&self.experiment, settings, more)
    }

    fn say(&self, text: &str) {
        if !self.options.quiet {
            eprintln!("{text}");
        }
    }

    fn stopped(&mut self) -> bool {
        let stopped = self.options.stop.load(Ordering::Relaxed);
        if stopped && self.void.is_empty() {
            self.void.push("it was interrupted".into());
        }
        stopped
    }

    /// Starts all processes and waits until they are ready. Returns whether they are.
    fn started(&mut self) -> Result<bool, RunError> {
        let (count, begun) = (self.experiment.fleet.proxies, Instant::now());
        for proxy in 0..count {
            self.processes.start(proxy, true).map_err(RunError::Process)?;
        }
        while self.processes.ready() < count {
            self.processes.tick().map_err(RunError::Process)?;
            self.take_seen();
            let dead = self.processes.unready().iter().any(|(_, up)| !up);
            if self.stopped() || dead || begun.elapsed() > self.experiment.fleet.ready_within {
                std::thread::sleep(Duration::from_millis(50)); // for the last log lines of a process that has ended
                let _ = self.processes.tick();
                self.take_seen();
                self.say_who_is_not_ready(begun.elapsed());
                return Ok(false);
            }
            std::thread::sleep(TICK);
        }
        self.say(&format!("{count} proxies ready after {:.1} s", begun.elapsed().as_secs_f64()));
        Ok(true)
    }

    fn say_who_is_not_ready(&mut self, after: Duration) {
        for (proxy, up) in self.processes.unready() {
            let how = if up { "is not ready" } else { "has ended" };
            let said: Vec<&str> = self.last_lines[proxy].iter().map(String::as_str).collect();
            let said = if said.is_empty() { "it said nothing".into() } else { said.join(" | ") };
            self.void.push(format!("p{proxy} {how} after {:.1} s: {said}", after.as_secs_f64()));
        }
    }

    /// Carries out the timeline while clients send requests.
    fn play(&mut self) -> Result<(), RunError> {
        let mut plan: VecDeque<Due> = plan(&self.experiment).into();
        let proxies = 0..self.experiment.fleet.proxies;
        let addresses = proxies.map(|p| self.paths.front(p).unwrap_or(self.processes.address(p))).collect();
        self.zero = self.clock.now();
        self.before = self.site.fleet.backends().iter().map(|b| b.stats()).collect();
        self.calls = self.site.list.calls();
        self.cpu.taken(&self.processes.pids());
        let start = clients::Start {
            experiment: self.experiment.clone(),
            seed: self.seed,
            clock: self.clock,
            zero: self.zero,
            proxies: addresses,
        };
        self.clients = Some(Clients::start(start).map_err(RunError::Clients)?);
        let (begun, mut second) = (self.clock.instant(self.zero), 0u32);
        while !self.clients.as_ref().is_none_or(Clients::done) {
            if self.stopped() || self.samples.len() > MAX_SAMPLES / 2 {
                break;
            }
            while plan.front().is_some_and(|due| begun + due.at <= Instant::now()) {
                let Some(due) = plan.pop_front() else { break };
                let late = Instant::now().saturating_duration_since(begun + due.at);
                self.late = self.late.max(Micros(late.as_micros() as u64));
                self.act(&due.action)?;
            }
            self.processes.tick().map_err(RunError::Process)?;
            self.take_seen();
            self.site.tick();
            if Instant::now() >= begun + Duration::from_secs(u64::from(second) + 1) {
                self.sample(second);
                second += 1;
            }
            std::thread::sleep(TICK);
        }
        Ok(())
    }

    fn now_us(&self) -> u64 {
        (self.clock.now() - self.zero).0
    }

    fn act(&mut self, action: &Action) -> Result<(), RunError> {
        match action {
            Action::Mark(step) => self.mark(*step),
            Action::Signal(proxy, signal) => self.processes.signal(*proxy, *signal),
            Action::Start { proxy, fresh } => {
                self.processes.start(*proxy, *fresh).map_err(RunError::Process)?;
            }
            Action::Reload(proxy, step) => {
                if let What::Reload { more } = &self.experiment.steps[*step].what {
                    let text = self.file(*proxy, more);
                    self.processes.reload(*proxy, text).map_err(RunError::Process)?;
                }
            }
            Action::Links(step, on) => self.set_links(*step, *on),
            Action::List(state) => self.site.set_list(*state),
            Action::Drain(place) => self.site.drain(*place),
            Action::KillBackend(place) => {
                self.refuse_place(*place, true);
                self.site.kill(*place);
            }
            Action::StartBackend(place) => {
                self.refuse_place(*place, false);
                self.site.start(*place);
            }
            Action::Replace(place) => {
                (0..self.site.fleet.backends().len())
                    .filter(|b| b % self.experiment.backends.count == *place)
                    .for_each(|b| self.paths.refuse_backend(b, false));
                self.site.replace(*place);
            }
            Action::Replaced(place) => {
                let old = self.site.replaced(*place);
                if let Some(old) = old {
                    self.paths.refuse_backend(old, true);
                }
            }
            Action::Backend(place, fault) => self.site.fault(*place, *fault),
            Action::Burst(times) => {
                if let Some(clients) = &self.clients {
                    clients.burst(*times);
                }
            }
        }
        Ok(())
    }

    /// Refuses connections to the active backend of a slot, before it is killed, so that none is accepted and reset.
    fn refuse_place(&self, place: usize, refuse: bool) {
        self.paths.refuse_backend(self.site.number(place), refuse);
    }

    /// Names of the proxies, and of all backends that may be active in the slots, of a step's links.
    fn link_ends(&self, proxies: &[usize], backends: &[usize]) -> (Vec<String>, Vec<String>) {
        let (count, all) = (self.experiment.backends.count, backend_count(&self.experiment));
        let both = backends.iter().flat_map(|b| [*b, b + count]).filter(|b| *b < all);
        let backends = both.map(|b| self.experiment.backend_name(b)).collect();
        (proxies.iter().map(|p| format!("p{p}")).collect(), backends)
    }

    fn set_links(&mut self, step: usize, on: bool) {
        let experiment = self.experiment.clone();
        if let What::Links { fault, proxies, backends } = &experiment.steps[step].what {
            let (proxies, backends) = self.link_ends(proxies, backends);
            let label = &experiment.steps[step].label;
            match self.paths.set(fault, &proxies, &backends, on) {
                Ok(0) => self.void.push(format!("{label}: no link leads there")),
                Ok(_) => {}
                Err(e) => self.void.push(format!("{label}: {e}")),
            }
        }
    }

    fn mark(&mut self, step: usize) {
        let experiment = self.experiment.clone();
        let step = &experiment.steps[step];
        let numbers = |list: &[usize]| list.iter().map(|n| *n as u32).collect::<Vec<u32>>();
        let mut touches = Touched {
            proxies: numbers(&step.proxies),
            backends: step.backends.iter().map(|place| self.site.number(*place) as u32).collect(),
            list: matches!(step.what, What::List(_)),
            ..Touched::default()
        };
        if let What::Links { fault, proxies, backends } = &step.what {
            let (near, far) = self.link_ends(proxies, backends);
            touches.links = self.paths.touched(fault, &near, &far);
            if fault.front {
                touches.clients_of = numbers(proxies);
            } else {
                touches.backends = numbers(backends);
            }
        }
        let ends_us = ends(step).map(|at| at.as_micros() as u64);
        let at_us = self.now_us();
        self.say(&format!("{:5.1} s  {}", at_us as f64 / 1e6, step.label));
        self.samples.push(Sample::Fault { at_us, label: step.label.clone(), ends_us, touches });
    }

    /// Handles the events of processes.
    fn take_seen(&mut self) {
        for (at, proxy, seen) in self.processes.seen() {
            let at_us = (self.clock.at(at) - self.zero).0;
            let number = proxy as u32;
            match seen {
                Seen::Log(line) => {
                    let last = &mut self.last_lines[proxy];
                    last.push_back(line.clone());
                    if last.len() > LAST_LINES {
                        last.pop_front();
                    }
                    self.samples.push(Sample::Log { at_us, proxy: number, line });
                }
                Seen::Process(what) => {
                    match what {
                        ProcessEvent::Killed | ProcessEvent::Exited { .. } => {
                            self.paths.refuse_proxy(proxy, true)
                        }
                        ProcessEvent::Ready => self.paths.refuse_proxy(proxy, false),
                        _ => {}
                    }
                    self.samples.push(Sample::Process { at_us, proxy: number, what });
                }
            }
        }
    }

    /// Takes the samples of the past second.
    fn sample(&mut self, second: u32) {
        let at_us = u64::from(second) * 1_000_000;
        let now: Vec<BackendStats> = self.site.fleet.backends().iter().map(|b| b.stats()).collect();
        let mut requests = 0;
        for (backend, (now, before)) in now.iter().zip(&self.before).enumerate() {
            let grown = |now: u64, before: u64| now.saturating_sub(before) as u32;
            requests += grown(now.requests, before.requests);
            self.samples.push(Sample::BackendSecond {
                at_us,
                backend: backend as u32,
                open: now.open as u32,
                handshakes: grown(now.connections, before.connections),
                requests: grown(now.requests, before.requests),
            });
        }
        self.before = now;
        let calls = self.site.list.calls();
        let grown = (calls - std::mem::replace(&mut self.calls, calls)) as u32;
        self.samples.push(Sample::ListSecond { at_us, calls: grown });
        self.samples.extend(self.paths.second(at_us));
        let clients = self.clients.as_ref().map_or(Micros(0), Clients::late);
        let late = clients.max(std::mem::take(&mut self.late));
        let (cpu_ms, fleet_cpu_ms) = self.cpu.taken(&self.processes.pids());
        self.samples.push(Sample::Lab { at_us, late_us: late.0, cpu_ms, fleet_cpu_ms });
        let most = Micros(self.experiment.load.late_most.as_micros() as u64);
        if late > most {
            let (late, most) = (late.secs() * 1e3, most.secs() * 1e3);
            self.void
                .push(format!("the lab itself ran {late:.0} ms late in second {second}, over {most:.0} ms"));
        }
        let (ready, count) = (self.processes.ready(), self.experiment.fleet.proxies);
        let (tries, served, refused) = self.clients.as_ref().map_or((0, 0, 0), Clients::totals);
        self.say(&format!(
            "{:3} s  {tries} tries so far, {served} served, {refused} refused; {ready}/{count} proxies ready, \
             {requests} requests at backends",
            second + 1
        ));
    }

    /// Ends all parts and collects their records.
    fn finish(mut self) -> Result<Vec<Sample>, RunError> {
        if let Some(clients) = self.clients.take() {
            let results = if self.void.is_empty() { clients.finish() } else { clients.end() };
            self.void.extend(results.void);
            self.samples.extend(results.tries);
            let (tries, served, refused) = results.totals;
            self.samples.push(Sample::Totals { tries, served, refused });
        }
        self.processes.end();
        collect::records(&self.experiment, &self.site, self.zero, &mut self.samples);
        if self.samples.len() + self.void.len() > MAX_SAMPLES {
            self.void.push(format!("more than {MAX_SAMPLES} samples"));
            self.samples.truncate(MAX_SAMPLES - self.void.len());
        }
        let void = std::mem::take(&mut self.void);
        self.samples.extend(void.into_iter().map(|reason| Sample::Void { reason }));
        Ok(std::mem::take(&mut self.samples))
    }
}
