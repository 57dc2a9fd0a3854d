//! The clients: an open loop of Poisson arrivals on pooled connections, which the front spreads over the proxies, on one
//! thread. A client's latency counts from when its request was due.

mod request;

pub use request::{draw_request, end, id, method, pause, render, RequestSpec, MAX_TRIES};

use crate::experiment::Experiment;
use crate::front::FrontBalancer;
use crate::samples::{Sample, TryEnd};
use shaletide_testkit::{Clock, Distribution, Exchange, KeptConnection, Message, Pacer, SeededRng};
use shaletide_types::{Micros, Time};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Idle connections that are kept in a zone; further ones are closed.
const MAX_IDLE: usize = 4_096;
/// With less time left to its deadline a request is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);
/// Tries that are kept; a run with more is void. One takes about 150 bytes.
pub const MAX_TRIES_KEPT: usize = 2_000_000;

/// What the clients measured: written by their thread, read by the run.
#[derive(Debug, Default)]
pub struct ClientResults {
    /// The tries that are over.
    pub tries: Vec<Sample>,
    /// Why the run is void, where the clients found so.
    pub void: Option<String>,
    /// Tries, those served and those refused, counted apart from `tries`.
    pub totals: (u64, u64, u64),
}

/// What the run shares with its clients.
#[derive(Debug, Default)]
struct Controls {
    stop: AtomicBool,
    /// Multiple of the configured request rate: the bits of an `f64`.
    times: AtomicU64,
    /// The worst lateness of an arrival since the last call of [`Clients::late`], us.
    late_us: AtomicU64,
    results: Mutex<ClientResults>,
}

impl Controls {
    fn results(&self) -> MutexGuard<'_, ClientResults> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Clients at work; they stop when this is dropped.
#[derive(Debug)]
pub struct Clients {
    controls: Arc<Controls>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// How clients are started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The load and the classes.
    pub experiment: Arc<Experiment>,
    /// The seed of all their random numbers.
    pub seed: u64,
    /// The run's clock.
    pub clock: Clock,
    /// The time of that clock at which the run begins.
    pub zero: Time,
    /// Where connections to each proxy lead.
    pub proxies: Vec<SocketAddr>,
}

impl Clients {
    /// Starts them; arrivals begin at once and end after the experiment's length.
    ///
    /// # Errors
    /// No thread, or no descriptors.
    pub fn start(start: Start) -> io::Result<Clients> {
        let controls = Arc::new(Controls::default());
        controls.times.store(1f64.to_bits(), Ordering::Relaxed);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let due_now = Arc::new(Notify::new());
        let pacer = Pacer::start(vec![due_now.clone()])?;
        let shared = controls.clone();
        let work = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let pool = Rc::new(ClientPool::new(start, shared));
                pool.run(&pacer, &due_now).await;
            });
        };
        let thread = std::thread::Builder::new().name("clients".into()).spawn(work)?;
        Ok(Clients { controls, thread: Some(thread) })
    }

    /// Sets the request rate to this multiple of the configured one.
    pub fn burst(&self, times: f64) {
        self.controls.times.store(times.to_bits(), Ordering::Relaxed);
    }

    /// The worst lateness of an arrival since the last call.
    pub fn late(&self) -> Micros {
        Micros(self.controls.late_us.swap(0, Ordering::Relaxed))
    }

    /// Tries so far, those served and those refused.
    pub fn totals(&self) -> (u64, u64, u64) {
        self.controls.results().totals
    }

    /// Whether all are over.
    pub fn done(&self) -> bool {
        self.thread.as_ref().is_none_or(std::thread::JoinHandle::is_finished)
    }

    /// Stops the clients and waits for their end. Their results.
    pub fn end(mut self) -> ClientResults {
        self.stop();
        std::mem::take(&mut *self.controls.results())
    }

    /// Waits until all clients have ended. Their results.
    pub fn finish(mut self) -> ClientResults {
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                self.controls.results().void = Some("the clients' thread panicked".into());
            }
        }
        std::mem::take(&mut *self.controls.results())
    }

    fn stop(&mut self) {
        self.controls.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

/// An idle connection, kept for the next request.
struct PooledConnection {
    connection: KeptConnection,
    proxy: usize,
    /// Requests that it still carries before it is closed.
    requests_left: u32,
}

/// All clients, on their thread.
struct ClientPool {
    start: Start,
    controls: Arc<Controls>,
    balancer: RefCell<FrontBalancer>,
    rng: RefCell<SeededRng>,
    idle: Vec<RefCell<Vec<PooledConnection>>>,
    open: Cell<usize>,
}

/// Counts an open client until it is dropped.
struct OpenClient<'a>(&'a Cell<usize>);

impl Drop for OpenClient<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl ClientPool {
    fn new(start: Start, controls: Arc<Controls>) -> ClientPool {
        let (experiment, seed) = (&start.experiment, start.seed);
        let zones: Vec<usize> = (0..experiment.fleet.proxies).map(|p| experiment.zone_of_proxy(p)).collect();
        let front = &experiment.front;
        let notices = Micros(front.notices_after.as_micros() as u64);
        let balancer = FrontBalancer::new(&zones, front.uneven, front.own_zone, notices, seed);
        let idle = experiment.fleet.zones.iter().map(|_| RefCell::default()).collect();
        let rng = RefCell::new(SeededRng::named(seed, "clients"));
        ClientPool { controls, balancer: RefCell::new(balancer), rng, idle, open: Cell::new(0), start }
    }

    async fn run(self: Rc<Self>, pacer: &Pacer, due_now: &Notify) {
        let checks: Vec<_> = (0..self.start.proxies.len())
            .map(|proxy| tokio::task::spawn_local(self.clone().check(proxy)))
            .collect();
        self.clone().arrivals(pacer, due_now).await;
        let patience = self.start.experiment.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let until = Instant::now() + patience * 2 + Duration::from_secs(2);
        while self.open.get() > 0 && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        checks.iter().for_each(|check| check.abort());
    }

    async fn arrivals(self: Rc<Self>, pacer: &Pacer, due_now: &Notify) {
        let experiment = &self.start.experiment;
        let (begun, mut after) = (Instant::now(), 0.0);
        let (mut number, mut gaps) = (0, SeededRng::named(self.start.seed, "arrivals"));
        let usual = Distribution::Exponential(1.0 / experiment.load.requests_per_s);
        while !self.controls.stop.load(Ordering::Relaxed) {
            let times = f64::from_bits(self.controls.times.load(Ordering::Relaxed));
            if times <= 0.0 {
                after = begun.elapsed().as_secs_f64();
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
            after += usual.sample(&mut gaps) / times;
            if after >= experiment.length.as_secs_f64() {
                break;
            }
            let due = begun + Duration::from_secs_f64(after);
            if due > Instant::now() {
                pacer.set(0, Some(due));
                due_now.notified().await;
            }
            let late = Instant::now().saturating_duration_since(due).as_micros() as u64;
            self.controls.late_us.fetch_max(late, Ordering::Relaxed);
            let spec = draw_request(experiment, self.start.seed, number);
            number += 1;
            if self.open.get() >= experiment.load.connections {
                let most = experiment.load.connections;
                let why = format!("all {most} clients were busy: load.connections is too low for this load");
                self.controls.results().void.get_or_insert(why);
                continue;
            }
            self.open.set(self.open.get() + 1);
            tokio::task::spawn_local(self.clone().client(spec, due));
            if number % 64 == 0 {
                // Late arrivals in a row would otherwise starve requests in flight.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Checks the readiness of one proxy at the front's interval.
    async fn check(self: Rc<Self>, proxy: usize) {
        let every = self.start.experiment.front.check_every;
        // Checks of different proxies are spread over the interval.
        tokio::time::sleep(every.mul_f64(proxy as f64 / self.start.proxies.len() as f64)).await;
        loop {
            let begun = tokio::time::Instant::now();
            let until = begun + every;
            let ready = async {
                let mut connection = KeptConnection::open(self.start.proxies[proxy], until).await.ok()?;
                let ask = b"GET /-/ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
                match connection.send_request(ask, "GET", until).await {
                    Exchange::Answer(answer) => Some(answer.status() == 200),
                    _ => None,
                }
            };
            let ready = ready.await.unwrap_or(false);
            let now = self.start.clock.now();
            self.balancer.borrow_mut().record_check(now, proxy, ready);
            tokio::time::sleep_until(until).await;
        }
    }

    /// A client, from its first try to the end of its last.
    async fn client(self: Rc<Self>, spec: RequestSpec, due: Instant) {
        let _open_client = OpenClient(&self.open);
        let experiment = &self.start.experiment;
        let class = &experiment.classes[spec.class];
        let mut asked = due;
        for nth in 0..MAX_TRIES {
            let (end, answer) = self.attempt(spec, nth, asked).await;
            let Some(pause) = pause(&experiment.load, class, nth, end, answer.as_ref()) else { return };
            if self.controls.stop.load(Ordering::Relaxed) {
                return;
            }
            asked = Instant::now() + pause;
            tokio::time::sleep_until(asked.into()).await;
        }
    }

    async fn attempt(&self, spec: RequestSpec, nth: u8, asked: Instant) -> (TryEnd, Option<Message>) {
        let id = id(self.start.seed, spec.request, nth);
        let deadline = asked + self.start.experiment.classes[spec.class].deadline;
        let (proxy, end, answer) = self.exchange(spec, nth, &id, deadline).await;
        let us = |at: Instant| (self.start.clock.at(at) - self.start.zero).0;
        let sample = Sample::Try {
            request: spec.request,
            nth,
            id,
            class: spec.class as u32,
            tenant: spec.tenant.map(|t| t as u32),
            zone: spec.zone as u32,
            proxy: proxy.map(|p| p as u32),
            asked_us: us(asked),
            ended_us: us(Instant::now()),
            deadline_us: us(deadline),
            end,
        };
        let mut results = self.controls.results();
        results.totals.0 += 1;
        results.totals.1 += u64::from(end == TryEnd::Served);
        results.totals.2 += u64::from(matches!(end, TryEnd::Refused { .. }));
        if results.tries.len() < MAX_TRIES_KEPT {
            results.tries.push(sample);
        } else {
            results.void.get_or_insert_with(|| format!("more than {MAX_TRIES_KEPT} tries"));
        }
        (end, answer)
    }

    async fn exchange(
        &self, spec: RequestSpec, nth: u8, id: &str, deadline: Instant,
    ) -> (Option<usize>, TryEnd, Option<Message>) {
        let mut pooled = match self.connection(spec.zone, deadline).await {
            Ok(pooled) => pooled,
            Err(()) => return (None, TryEnd::NotTaken, None),
        };
        let proxy = Some(pooled.proxy);
        let left = deadline.saturating_duration_since(Instant::now());
        if left < MIN_TIME_LEFT {
            return (proxy, TryEnd::Silent, None);
        }
        let bytes = render(&self.start.experiment, spec, id, left, nth > 0);
        let method = method(&self.start.experiment.classes[spec.class]);
        match pooled.connection.send_request(&bytes, method, deadline.into()).await {
            Exchange::Answer(answer) => {
                let closing = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                pooled.requests_left = pooled.requests_left.saturating_sub(1);
                if !closing && pooled.requests_left > 0 && !pooled.connection.has_excess_bytes() {
                    self.return_to_pool(spec.zone, pooled);
                }
                (proxy, end(answer.status()), Some(answer))
            }
            Exchange::Broken { .. } => (proxy, TryEnd::Broken, None),
            Exchange::GaveUp => (proxy, TryEnd::Silent, None),
        }
    }

    fn return_to_pool(&self, zone: usize, pooled: PooledConnection) {
        let mut idle = self.idle[zone].borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(pooled);
        }
    }

    /// An idle connection, or a new one to a proxy that the front selects; an error where none could be had.
    async fn connection(&self, zone: usize, deadline: Instant) -> Result<PooledConnection, ()> {
        loop {
            let kept = {
                let mut idle = self.idle[zone].borrow_mut();
                let place = (self.rng.borrow_mut().uniform() * idle.len() as f64) as usize;
                (place < idle.len()).then(|| idle.swap_remove(place))
            };
            match kept {
                Some(pooled) if pooled.connection.is_idle() => return Ok(pooled),
                Some(_) => {}
                None => break,
            }
        }
        let Some(proxy) = self.balancer.borrow_mut().select_proxy(zone) else { return Err(()) };
        let connection =
            KeptConnection::open(self.start.proxies[proxy], deadline.into()).await.map_err(drop)?;
        let mean = self.start.experiment.load.requests_per_connection;
        let requests_left =
            Distribution::Even(mean * 0.5, mean * 1.5).sample(&mut self.rng.borrow_mut()).round().max(1.0)
                as u32;
        Ok(PooledConnection { connection, proxy, requests_left })
    }
}
