//! Runs a scenario: events in the order of a virtual clock, the proxies around the decision modules, and the clients.

mod attempts;
mod clients;
mod faults;
mod lists;
mod virtual_fleet;

use crate::backend::{SimulatedBackend, OBSERVATION_PERIOD};
use crate::invariants::InvariantObserver;
use crate::scenario::Scenario;
use crate::statistics::{End, Statistics};
use shaletide_routing::pools::{Action, Event};
use shaletide_routing::Pools;
use shaletide_testkit::SeededRng;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use virtual_fleet::*;

/// What selects the backend of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any backend in the list, chosen at random, with a single attempt.
    Random,
    /// The program without load reports.
    WithoutReports,
    /// The program with load reports.
    Program,
    /// One module of the program that gets all requests and learns of each backend without delay.
    Centralized,
}

impl Policy {
    /// All policies, in the order in which they are shown.
    pub const ALL: [Policy; 4] =
        [Policy::Random, Policy::WithoutReports, Policy::Program, Policy::Centralized];

    /// The name under which the results are printed.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Random => "random choice",
            Policy::WithoutReports => "without reports",
            Policy::Program => "the program",
            Policy::Centralized => "one that sees all",
        }
    }
}

impl std::str::FromStr for Policy {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Policy, Self::Err> {
        match text {
            "random" => Ok(Policy::Random),
            "without" => Ok(Policy::WithoutReports),
            "program" => Ok(Policy::Program),
            "one" => Ok(Policy::Centralized),
            _ => Err("expected random, without, program or one"),
        }
    }
}

/// The result of a run.
#[derive(Debug)]
pub struct SimulationResult {
    /// The statistics of what clients got.
    pub statistics: Statistics,
    /// The invariants and their violations.
    pub observer: InvariantObserver,
}

/// Runs a scenario under a policy.
pub fn simulation(scenario: &Scenario, policy: Policy) -> SimulationResult {
    let mut fleet = Fleet::new(scenario, policy);
    while let Some(((at, _), event)) = fleet.queue.pop_first() {
        // Modules keep setting timers, so the queue never becomes empty.
        if at > fleet.end + SETTLE_TIME {
            break;
        }
        fleet.now = at;
        fleet.handle_event(event);
        fleet.process_pending();
    }
    fleet.statistics.overloads = fleet.backends.iter().map(|s| s.overloads).sum();
    SimulationResult { statistics: fleet.statistics, observer: fleet.observer }
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> Fleet<'a> {
        let proxies = if policy == Policy::Centralized { 1 } else { scenario.proxies };
        let mut fleet = Fleet {
            scenario,
            policy,
            now: START,
            end: START + scenario.length,
            queue: BTreeMap::new(),
            event_count: 0,
            backends: Vec::new(),
            wakes: Vec::new(),
            rows: Vec::new(),
            sizes: Vec::new(),
            log: Vec::new(),
            proxies: Vec::new(),
            traffic_shares: Vec::new(),
            clients: Vec::new(),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            in_flight_attempts: BTreeMap::new(),
            pending: VecDeque::new(),
            rng: SeededRng::named(scenario.seed, "day"),
            burst: 1.0,
            faults: Faults::new(scenario.seed),
            statistics: Statistics::new(scenario.request_classes.len()),
            observer: InvariantObserver::default(),
            last_request_id: 0,
        };
        fleet.traffic_shares = fleet.client_shares();
        (0..scenario.backends).for_each(|_| {
            fleet.add_backend(None);
        });
        for position in 0..proxies {
            let zone = ZoneId(position % scenario.zones);
            fleet.proxies.push(Proxy {
                pools: None,
                epoch: 0,
                zone,
                death_noticed_at: START,
                delivered: 0,
                delivered_as_of: START,
                idle: BTreeMap::new(),
                open: BTreeSet::new(),
                unavailable_since: BTreeMap::new(),
                ready: BTreeMap::new(),
            });
            fleet.start_proxy(position as usize);
        }
        fleet.schedule(START, SimEvent::ClientArrival);
        fleet.schedule(START + OBSERVATION_PERIOD, SimEvent::Observe);
        for (fault, (from, to, _)) in scenario.faults.iter().enumerate() {
            fleet.schedule(START + *from, SimEvent::BeginFault { fault });
            fleet.schedule(START + *to, SimEvent::EndFault { fault });
        }
        fleet
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.event_count += 1;
        self.queue.insert((at.max(self.now), self.event_count), event);
    }

    fn add_backend(&mut self, booted: Option<Time>) -> usize {
        let number = self.backends.len() as u32;
        let (kind, power) = self.scenario.draw_backend(number);
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
        self.log_state(number as usize, BackendState::Ready);
        self.statistics.by_backend.push(0);
        number as usize
    }

    /// Starts a proxy with the current list and no other state.
    fn start_proxy(&mut self, proxy: usize) {
        let centralized = self.policy == Policy::Centralized;
        let live = self.scenario.reports.is_some() && self.policy == Policy::Program;
        let zone = self.proxies[proxy].zone;
        let mut config = self.scenario.config(
            if centralized { 1 } else { self.scenario.configured_proxies },
            proxy as u32,
            zone,
            live,
        );
        if centralized {
            config.cross_zone_cost = 0.0;
        }
        config.position %= config.proxies;
        let mut pools = Pools::new();
        let epoch = u64::from(self.proxies[proxy].epoch);
        let seed = SeededRng::named(self.scenario.seed ^ epoch << 32, &format!("proxy {proxy}")).next_u64();
        // The emulator built the configuration, so it is valid.
        pools.configure(POOL, config, seed).expect("valid configuration");
        let p = &mut self.proxies[proxy];
        (p.pools, p.delivered, p.delivered_as_of) = (Some(pools), 0, START);
        p.idle.clear();
        p.unavailable_since.clear();
        p.ready.clear();
        // While lists are stopped, a proxy starts with the last list before the stop.
        let as_of = self.faults.stopped.unwrap_or(self.now);
        self.deliver_list(proxy, EndpointUpdate::Snapshot, as_of);
        let period = self.period();
        let first = Micros((self.rng.uniform() * period.0 as f64) as u64);
        self.schedule(self.now + first, SimEvent::SendList { proxy });
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientArrival => self.client_arrives(),
            SimEvent::ClientRetry { client } => self.send_request(client, true),
            SimEvent::Timer { proxy, epoch, token } => {
                if self.proxies[proxy].epoch == epoch {
                    self.pending.push_back((proxy, Event::Timer { token }));
                }
            }
            SimEvent::ReachedBackend { attempt } => self.reached_backend(attempt),
            SimEvent::Wake { backend } => {
                if self.wakes[backend] == Some(self.now) {
                    self.wakes[backend] = None;
                    self.wake(backend);
                    self.set_wake(backend);
                }
            }
            SimEvent::Observe => self.observe(),
            SimEvent::OutcomeArrival { attempt, outcome } => self.outcome_arrived(attempt, outcome),
            SimEvent::Deadline { id } => self.expire(id),
            SimEvent::SendList { proxy } => {
                if self.now < self.end + Micros(2_000_000) {
                    self.send_list(proxy);
                    self.schedule(self.now + self.period(), SimEvent::SendList { proxy });
                }
            }
            SimEvent::ReceiveList { proxy, epoch, as_of } => self.receive_list(proxy, epoch, as_of),
            SimEvent::MarkGone { backend } => {
                if self.backends[backend].dead {
                    self.rows[backend].state = BackendState::Gone;
                    self.log_state(backend, BackendState::Gone);
                }
            }
            SimEvent::BeginFault { fault } => self.begin_fault(fault),
            SimEvent::EndFault { fault } => self.end_fault(fault),
            SimEvent::DrainBackend { backend } => {
                self.rows[backend].state = BackendState::Draining;
                self.log_state(backend, BackendState::Draining);
                self.add_backend(Some(self.now));
                self.schedule(self.now + DRAIN_DURATION, SimEvent::RemoveBackend { backend });
            }
            SimEvent::RemoveBackend { backend } => {
                self.rows[backend].state = BackendState::Gone;
                self.log_state(backend, BackendState::Gone);
            }
            SimEvent::StartProxy { proxy } => self.start_proxy(proxy),
        }
    }

    /// Passes pending events to the modules and carries out their actions, until there are no more events.
    fn process_pending(&mut self) {
        let mut actions = Vec::new();
        while let Some((proxy, event)) = self.pending.pop_front() {
            let Some(pools) = self.proxies[proxy].pools.as_mut() else { continue };
            pools.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(proxy, action);
            }
        }
    }

    fn apply_action(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Dispatch { request, attempt, backend, .. } => {
                self.dispatch(proxy, request, attempt, backend.0 as usize)
            }
            Action::Reject { request, retry_after, .. } => self.rejected(request, retry_after),
            Action::Fail { request, .. } => {
                if let Some(open) = self.take_request(request) {
                    self.end_try(open.client, open.arrived_at, End::Failed, Micros(0));
                }
            }
            Action::Cancel { request, attempt } => {
                if let Some(at) = self.in_flight_attempts.get(&(request, attempt)).copied() {
                    self.abandon(at);
                    let over = !self.requests.contains_key(&request);
                    self.report_attempt_end(at, Outcome::Cancelled, over);
                }
            }
            Action::SetTimer { token, after } => {
                let epoch = self.proxies[proxy].epoch;
                self.schedule(self.now + after, SimEvent::Timer { proxy, epoch, token });
            }
            Action::Subscribe { .. } | Action::Log { .. } => {}
        }
    }
}
