//! Executes a plan: starts all parts, applies the steps at their times, and collects the evidence.
//!
//! `setup` starts the parts, `steps` applies the steps, `processes` starts and ends the processes of each proxy, `load`
//! runs their clients, and `observations` holds the run's own records for the oracle.

mod load;
mod observations;
mod processes;
mod setup;
mod steps;

use crate::artifacts::Artifacts;
use crate::call_faults::CallFault;
use crate::control::FaultControl;
use crate::hangups;
use crate::oracle::{judge, EndBySignal, Evidence, Violation};
use crate::plan::{FaultKind, Plan, Scale};
use crate::proxies::{ProcessContext, ProxySlot};
use crate::settings::RunSettings;
use observations::Observations;
use shaletide_lab::links::{Direction, Fault as LinkFault, Link, Links};
use shaletide_testkit::{Clock, End, Fleet, ListServer, ListService};
use shaletide_types::Time;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// Time from the longest deadline after SIGTERM to SIGKILL.
const KILL_AFTER: Duration = Duration::from_millis(700);

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// The fault kinds in the plan.
    pub kinds: Vec<FaultKind>,
    /// The violations of invariants.
    pub violations: Vec<Violation>,
    /// Ends by SIGHUP, which are violations, and by SIGTERM, each with its trace.
    pub ends_by_signal: Vec<EndBySignal>,
    /// Number of processes that were started.
    pub processes: usize,
    /// Number of requests of the ordinary load that were sent.
    pub requests: usize,
    /// Number of requests that were not sent because their client was delayed past their deadline.
    pub unsent: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Number of clients that disconnected before their answer.
    pub disconnects: usize,
    /// Number of injected system call faults, by fault.
    pub failed_calls: Vec<(CallFault, u32)>,
    /// Folder with configurations and logs. It is kept only if there are violations.
    pub folder: PathBuf,
}

/// All parts of a run.
struct Testbed {
    artifacts: Artifacts,
    control: FaultControl,
    folder: PathBuf,
    clock: Clock,
    seed: u64,
    scale: Scale,
    settings: RunSettings,
    polls_discovery: bool,
    slots: Vec<ProxySlot>,
    fleet: Fleet,
    discovery: ListServer,
    discovery_links: Vec<[Link; 2]>,
    /// By proxy and backend; empty if the plan has no fault of these links.
    backend_links: Vec<Vec<Link>>,
    _links: Links,
    observations: Mutex<Observations>,
}

/// Runs the plan of a seed and checks the invariants. `only`: fault kinds to use instead of drawn ones.
///
/// # Errors
/// A stand-in or a process cannot be started, or SIGHUP would not reach the processes.
pub fn run_seed(seed: u64, scale: &Scale, only: &[FaultKind], artifacts: &Artifacts) -> io::Result<Report> {
    hangups::ensure_reaching_programs()?;
    let plan = Plan::draw(seed, scale, only);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let testbed = Arc::new(Testbed::new(seed, scale, &plan, artifacts)?);
    let evidence = runtime.block_on(testbed.clone().run(&plan))?;
    let violations = judge(&evidence);
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&testbed.folder); // the folder is temporary
    }
    let sent = || evidence.clients.iter().flat_map(|records| &records.load.sent);
    let counts = CallFault::ALL.map(|fault| (fault, testbed.control.count(fault).unwrap_or_default()));
    Ok(Report {
        seed,
        kinds: plan.kinds,
        violations,
        ends_by_signal: evidence.ends_by_signal(),
        processes: evidence.processes.len(),
        requests: sent().filter(|sent| sent.end != End::Unsent).count(),
        unsent: sent().filter(|sent| sent.end == End::Unsent).count(),
        served: sent().filter(|sent| sent.end == End::Status(200)).count(),
        disconnects: evidence.clients.iter().map(|records| records.disconnects.1.len()).sum(),
        failed_calls: counts.into_iter().filter(|(_, count)| *count > 0).collect(),
        folder: testbed.folder.clone(),
    })
}

impl Testbed {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn process_context(&self) -> ProcessContext<'_> {
        ProcessContext {
            artifacts: &self.artifacts,
            control: &self.control,
            folder: &self.folder,
            clock: self.clock,
            proxies: self.scale.proxies,
            polls_discovery: self.polls_discovery,
            seed: self.seed,
            settings: self.settings,
        }
    }

    /// Runs all proxies while the steps of the plan are applied, and returns the evidence.
    async fn run(self: Arc<Testbed>, plan: &Plan) -> io::Result<Evidence> {
        let end = Time(self.clock.now().0 + self.scale.length.as_micros() as u64);
        let begun = tokio::time::Instant::now();
        let mut restarts = Vec::new();
        let mut proxies = Vec::new();
        for index in 0..self.scale.proxies {
            let (sender, receiver) = mpsc::channel(8);
            restarts.push(sender);
            proxies.push(tokio::spawn(self.clone().proxy(index, end, receiver)));
        }
        for timed in &plan.steps {
            tokio::time::sleep_until(begun + timed.at).await;
            self.apply_step(timed.step, &restarts)?;
        }
        tokio::time::sleep_until(begun + self.scale.length).await;
        self.heal()?;
        drop(restarts);
        for proxy in proxies {
            proxy.await.map_err(io::Error::other)??;
        }
        Ok(self.evidence(plan))
    }

    /// Ends all faults, so that open requests can be answered.
    fn heal(&self) -> io::Result<()> {
        self.control.clear()?;
        self.discovery.set_service(ListService::Up);
        for link in self.discovery_links.iter().flatten() {
            set_link(link, LinkFault::default())?;
        }
        for link in self.backend_links.iter().flatten() {
            set_link(link, LinkFault::default())?;
            link.refuse(false);
        }
        self.discovery_reachable_again(0..self.scale.proxies);
        Ok(())
    }

    /// Returns the number of a new client run, for the ids of its requests.
    fn next_client_run(&self) -> u32 {
        let mut observations = self.observations();
        observations.client_runs += 1;
        0xc000_0000 + observations.client_runs
    }
}

/// Sets the fault of both directions of a link. It replaces the previous fault.
fn set_link(link: &Link, fault: LinkFault) -> io::Result<()> {
    link.set(Direction::Both, fault).map_err(io::Error::other)
}
