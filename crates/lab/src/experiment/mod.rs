//! An experiment: its topology, its load, its timeline of faults, and what is expected of the run. Read from TOML; a
//! file with any mistake is rejected as a whole, and every mistake is reported.
//!
//! `docs/lab.md` has every key with its unit, range and default.

mod findings;
mod groups;
mod parts;
mod reader;
mod steps;

pub use findings::{Mistake, Mistakes, SHOWN};
pub use groups::Groups;
pub use steps::{BackendFault, LinkFault, ListState, Signal, Step, What};

use crate::judge::expect::{Expectation, Metric};
use crate::samples::Idempotency;
use findings::Findings;
use reader::Table;
use shaletide_testkit::Distribution;
use std::cell::RefCell;
use std::time::Duration;
use toml::de::DeTable;

/// Maximum size of a file, bytes.
pub const MAX_FILE: usize = 1 << 20;

/// A validated experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Its purpose.
    pub about: String,
    /// For how long clients send requests.
    pub length: Duration,
    /// The seed of all its random numbers, unless the command line gives another.
    pub seed: u64,
    /// The proxies.
    pub fleet: FleetPart,
    /// The backends.
    pub backends: BackendsPart,
    /// The list service.
    pub list: ListPart,
    /// The load of the clients.
    pub load: LoadPart,
    /// The load balancer in front of the proxies.
    pub front: FrontPart,
    /// The classes, at least one.
    pub classes: Vec<ClassPart>,
    /// The tenants; none where there are none.
    pub tenants: Vec<TenantPart>,
    /// The steps of the timeline, in the file's order.
    pub steps: Vec<Step>,
    /// The expectations of the run.
    pub expect: Vec<Expectation>,
}

/// The proxies: processes of the program under test.
#[derive(Clone, Debug)]
pub struct FleetPart {
    /// Their number.
    pub proxies: usize,
    /// The zones, assigned to proxies and backends round-robin.
    pub zones: Vec<String>,
    /// File descriptor limit of each process.
    pub descriptors: u64,
    /// The address of the first proxy; the others have the following ones. None: the lab picks.
    pub first_address: Option<std::net::Ipv4Addr>,
    /// The port of each proxy, on an address of its own; 0: the kernel picks.
    pub port: u16,
    /// Timeout for all processes to become ready.
    pub ready_within: Duration,
    /// Timeout from SIGTERM to SIGKILL.
    pub kill_after: Duration,
    /// TOML that is appended to each configuration file.
    pub more: String,
}

/// The backends.
#[derive(Clone, Debug)]
pub struct BackendsPart {
    /// Their number.
    pub count: usize,
    /// Backends in a deduplication group.
    pub deduplication_group_size: usize,
    /// Cores of each backend.
    pub cores: u32,
    /// Speed of a warm core, in standard cores.
    pub speed: f64,
    /// The fraction of its speed that a backend starts with.
    pub initial_capacity_fraction: f64,
    /// Duration of the warm-up.
    pub ramp: Duration,
    /// Maximum number of requests in service.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Idle timeout of connections.
    pub idle: Duration,
    /// Work of a connection's handshake, ms of a standard core.
    pub handshake_ms: f64,
    /// Mean number of requests over 2 s above which a backend is overloaded; none: never.
    pub crowded: Option<f64>,
    /// Factor by which work takes longer while overloaded.
    pub crowded_slower: f64,
    /// For how long a draining backend still accepts requests.
    pub grace: Duration,
}

/// The list service.
#[derive(Clone, Debug)]
pub struct ListPart {
    /// Delay until a change is in the lists.
    pub late: Duration,
    /// Whether changes are pushed.
    pub push: bool,
}

/// The load of the clients.
#[derive(Clone, Debug)]
pub struct LoadPart {
    /// Mean request rate.
    pub requests_per_s: f64,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Mean number of requests on one connection.
    pub requests_per_connection: f64,
    /// Retries of a client whose request was rejected or found no connection.
    pub retries: u8,
    /// Longest `Retry-After` that a client follows.
    pub longest_retry_after: Duration,
    /// Pause before a retry without `Retry-After`.
    pub pause: Duration,
    /// The run is void if the clients' arrivals were later than this.
    pub late_most: Duration,
}

/// The load balancer in front of the proxies.
#[derive(Clone, Debug)]
pub struct FrontPart {
    /// Deviation of the proxies' weights in multiples of their mean; 0: even.
    pub uneven: f64,
    /// Fraction of connections that stay in their client's zone while a proxy of it is in rotation.
    pub own_zone: f64,
    /// Interval of the checks of each proxy's `/-/ready`.
    pub check_every: Duration,
    /// A proxy is out of rotation after failing all checks for so long.
    pub notices_after: Duration,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassPart {
    /// Its name.
    pub name: String,
    /// Its idempotency.
    pub idempotency: Idempotency,
    /// Its share of all requests, relative to the others'.
    pub share: f64,
    /// An answer within this earns the whole priority weight.
    pub latency_objective: Duration,
    /// The clients' deadline.
    pub deadline: Duration,
    /// Its priority weight.
    pub priority_weight: f64,
    /// Keyed: for so long backends of a deduplication group discard repeats.
    pub key_window: Duration,
    /// Work, ms of a standard core.
    pub work_ms: Distribution,
    /// Waiting time after the work, ms.
    pub io_ms: Distribution,
    /// Size of a response body, bytes.
    pub body: usize,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct TenantPart {
    /// Its name.
    pub name: String,
    /// Its share of all requests, relative to the others'.
    pub share: f64,
    /// Its quota, requests a second over all proxies.
    pub quota: f64,
}

impl Experiment {
    /// Parses and validates a file's text; `file` is its name in messages.
    ///
    /// # Errors
    /// All mistakes in the file.
    pub fn read(file: &str, text: &str) -> Result<Experiment, Mistakes> {
        let findings = RefCell::new(Findings::default());
        if text.len() > MAX_FILE {
            findings.borrow_mut().add(
                0..0,
                "the file is too long",
                format!("expected up to {MAX_FILE} bytes"),
            );
            return Err(findings.into_inner().report(file, ""));
        }
        let (tree, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let at = error.span().unwrap_or(0..0);
            findings.borrow_mut().add(at, "this is not TOML", error.message());
        }
        if !errors.is_empty() {
            // Keys after a syntax error would be reported as missing.
            return Err(findings.into_inner().report(file, text));
        }
        let root = Table::new(String::new(), Some(tree.get_ref()), 0..0, &findings);
        let experiment = whole(&root);
        drop(root);
        if findings.borrow().is_empty() {
            Ok(experiment)
        } else {
            Err(findings.into_inner().report(file, text))
        }
    }

    /// The name of a backend by its number; spares come after the others.
    pub fn backend_name(&self, number: usize) -> String {
        if number < self.backends.count {
            format!("b{number}")
        } else {
            format!("b{}n", number - self.backends.count)
        }
    }

    /// The zone of a proxy or backend.
    pub fn zone_of(&self, number: usize) -> usize {
        (number % self.backends.count.max(1)) % self.fleet.zones.len()
    }

    /// The zone of a proxy.
    pub fn zone_of_proxy(&self, number: usize) -> usize {
        number % self.fleet.zones.len()
    }

    /// Whether the timeline replaces backends, so that each needs a spare.
    pub fn replaces(&self) -> bool {
        self.steps.iter().any(|step| matches!(step.what, What::Replace { .. }))
    }

    /// Whether the timeline has a fault between the front and proxies, so that links are needed there.
    pub fn cuts_front(&self) -> bool {
        self.steps.iter().any(|step| matches!(&step.what, What::Links { fault, .. } if fault.front))
    }
}

fn whole(root: &Table<'_>) -> Experiment {
    let name = root.name_needed("name");
    let about = root.text("about").unwrap_or_default();
    let length = root.time_needed("length", (1.0, 3600.0));
    let seed = root.whole_or("seed", (0, u64::MAX >> 1), 1);
    let fleet = parts::fleet(&root.table("fleet"));
    let backends = parts::backends(&root.table("boxes"));
    let list = parts::list(&root.table("list"));
    let load = parts::load(&root.table("load"));
    let front = parts::front(&root.table("front"));
    let classes = parts::classes(root);
    let tenants = parts::tenants(root);
    let mut groups = Groups::new(&fleet, &backends);
    groups::read(root, &mut groups, seed);
    let steps = steps::read(root, &groups, length);
    let expect = expectations(root, &steps);
    root.end();
    Experiment {
        name,
        about,
        length,
        seed,
        fleet,
        backends,
        list,
        load,
        front,
        classes,
        tenants,
        steps,
        expect,
    }
}

fn expectations(root: &Table<'_>, steps: &[Step]) -> Vec<Expectation> {
    let read = |table: &Table<'_>| {
        let word = table.word_needed("metric", &Metric::ALL.map(Metric::name));
        let metric = Metric::ALL.into_iter().find(|m| m.name() == word).unwrap_or(Metric::ServedShare);
        let at_most = table.number("at_most", (0.0, 1e9));
        let at_least = table.number("at_least", (0.0, 1e9));
        if !table.has("at_most") && !table.has("at_least") {
            let at = table.at.clone();
            table.wrong(at, "an [[expect]] without a bound", "expected `at_most`, `at_least` or both");
        }
        let after = table.text("after");
        if let Some(label) = after.as_ref().filter(|label| !steps.iter().any(|s| s.label == **label)) {
            let labels = steps.iter().map(|s| format!("\"{}\"", s.label)).collect::<Vec<_>>().join(", ");
            table.wrong_key(
                "after",
                &format!("no step is labelled \"{label}\""),
                format!("one of: {labels}"),
            );
        }
        if after.is_some() && metric.whole_run() {
            table.wrong_key("after", &format!("{word} is of the whole run"), "expected no `after` with it");
        }
        table.end();
        Expectation { metric, at_most, at_least, after }
    };
    root.tables("expect").iter().map(read).collect()
}
