//! Measures the cost of one decision in instructions, with 12 to 2,000 backends: `cargo bench -p shaletide-balancer`.
//! Callgrind counts the instructions of a long and a short run of this program; their difference is the cost. Without
//! `valgrind` the program prints that and ends.
//!
//! *Alone* is a request and its answer while the clock stands still, so that no weights are recomputed. *In all* is the
//! same at 14 requests a second, as one of 300 proxies receives them, with timers and an update of the whole list every
//! second. *A list* is such an update on its own.

mod reports;

use shaletide_balancer::{Action, Arrival, AttemptEnd, Balancer, Config, Event, SharedLimits};
use shaletide_types::*;
use std::process::Command;

const BACKENDS: [u32; 3] = [12, 200, 2_000];
/// Number of operations in the long and in the short run.
const RUN_LENGTHS: [u64; 2] = [600, 200];
const WARM_UP: u64 = 300;
const INTERVAL: Micros = Micros(71_000);
const LATENCY: Micros = Micros(60_000);

/// The operation whose instructions are counted.
#[derive(Clone, Copy, PartialEq)]
enum Workload {
    Alone,
    All,
    List,
}

/// One of 300 proxies, with its backends and its last actions.
struct Driver {
    balancer: Balancer,
    limits: SharedLimits,
    actions: Vec<Action>,
    now: Time,
    timer: Option<(Time, TimerToken)>,
    dispatched: Option<(AttemptNumber, BackendId)>,
    list: Vec<BackendEntry>,
    listed_at: Time,
    reports_load: bool,
    last_request: u64,
    served: u64,
}

impl Driver {
    fn new(backends: u32, reports_load: bool) -> Driver {
        let mut cfg = Config { proxies: 300, position: 7, zone: ZoneId(2), ..Config::example() };
        reports::configure(&mut cfg, reports_load);
        let list = |number: u32| BackendEntry {
            id: BackendId(number),
            stable_hash: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
            zone: ZoneId(number % 5),
            deduplication_group: DeduplicationGroupId(u64::from(number % 40)),
            server_type: ServerTypeId(number % 2),
            state: BackendState::Ready,
            ..BackendEntry::default()
        };
        let mut driver = Driver {
            balancer: Balancer::new(cfg, 5).expect("a valid configuration"),
            limits: SharedLimits::default(),
            actions: Vec::new(),
            now: Time(1_000_000_000),
            timer: None,
            dispatched: None,
            list: (0..backends).map(list).collect(),
            listed_at: Time(0),
            reports_load,
            last_request: 0,
            served: 0,
        };
        driver.update_endpoints(EndpointUpdate::Snapshot);
        driver
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.limits, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Dispatch { attempt, backend, .. } => self.dispatched = Some((attempt, backend)),
                Action::SetTimer { token, after } => self.timer = Some((self.now + after, token)),
                _ => {}
            }
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate) {
        self.listed_at = self.now;
        let mut backends = self.list.clone();
        if self.reports_load {
            let round = self.last_request;
            backends.iter_mut().for_each(|b| reports::set_live_weight(b, round));
        }
        self.handle(Event::EndpointsUpdated { update, backends });
    }

    /// Sends one request and serves it.
    fn request(&mut self) {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let arrival = Arrival {
            request,
            class: ClassId(0),
            tenant: None,
            time_left: Micros(2_000_000),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        self.handle(Event::Request(arrival));
        let Some((attempt, backend)) = self.dispatched.take() else { return };
        self.served += 1;
        if self.reports_load {
            if let Some(event) = reports::report(backend, self.last_request) {
                self.handle(event);
            }
        }
        let end =
            AttemptEnd { request, attempt, outcome: Outcome::Ok, latency: LATENCY, request_answered: true };
        self.handle(Event::AttemptEnded(end));
    }

    /// Advances the time to the next request and fires the timers on the way.
    fn advance_to_next_request(&mut self) {
        let then = self.now + INTERVAL;
        while let Some((at, token)) = self.timer.filter(|(at, _)| *at <= then) {
            self.timer = None;
            self.now = at.max(self.now);
            self.handle(Event::Timer { token });
        }
        self.now = then;
        if self.reports_load && then - self.listed_at >= Micros(1_000_000) {
            self.update_endpoints(EndpointUpdate::Delta);
        }
    }
}

fn run(backends: u32, reports_load: bool, workload: Workload, operations: u64) {
    let mut driver = Driver::new(backends, reports_load);
    for _ in 0..WARM_UP {
        driver.advance_to_next_request();
        driver.request();
    }
    for _ in 0..operations {
        match workload {
            Workload::Alone => driver.request(),
            Workload::All => {
                driver.advance_to_next_request();
                driver.request();
            }
            Workload::List => driver.update_endpoints(EndpointUpdate::Delta),
        }
    }
    assert!(
        driver.served * 20 >= driver.last_request * 19,
        "only {} of {} served",
        driver.served,
        driver.last_request
    );
}

/// Returns the instructions of one operation, as callgrind counts them.
fn instructions(backends: u32, reports_load: bool, workload: Workload) -> Option<f64> {
    let [long, short] =
        RUN_LENGTHS.map(|operations| count_instructions(backends, reports_load, workload, operations));
    Some((long? - short?) as f64 / (RUN_LENGTHS[0] - RUN_LENGTHS[1]) as f64)
}

/// Returns the instructions of a whole run, or `None` if callgrind cannot count them.
fn count_instructions(backends: u32, reports_load: bool, workload: Workload, operations: u64) -> Option<i64> {
    let out = std::env::temp_dir().join(format!("shaletide-decision-{}", std::process::id()));
    let program = std::env::current_exe().ok()?;
    let mut command = Command::new("valgrind");
    command
        .args(["-q", "--tool=callgrind"])
        .arg(format!("--callgrind-out-file={}", out.display()))
        .arg(program);
    let workload = workload as u64;
    command.args(["run", &format!("{backends} {} {workload} {operations}", u64::from(reports_load))]);
    let succeeded = command.status().ok()?.success();
    let text = std::fs::read_to_string(&out).ok()?;
    let _ = std::fs::remove_file(&out);
    let total = text.lines().find_map(|line| line.strip_prefix("totals:")).filter(|_| succeeded)?;
    total.trim().parse().ok()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|argument| argument == "run") {
        let values: Vec<u64> =
            args[2].split(' ').map(|n| n.parse().expect("a number from `count_instructions`")).collect();
        let workload = [Workload::Alone, Workload::All, Workload::List][values[2] as usize];
        return run(values[0] as u32, values[1] == 1, workload, values[3]);
    }
    println!(
        "instructions of a request and its answer, and of an update of the whole list; one of 300 proxies"
    );
    for backends in BACKENDS {
        for reports_load in
            [false, true].into_iter().filter(|reports_load| !reports_load || reports::SUPPORTED)
        {
            let [alone, all, list] = [Workload::Alone, Workload::All, Workload::List]
                .map(|w| instructions(backends, reports_load, w));
            let (Some(alone), Some(all), Some(list)) = (alone, all, list) else {
                return println!("skipped: valgrind is missing or failed");
            };
            let reporting = if reports_load { "load reports" } else { "no load reports" };
            println!(
                "{backends:5} backends, {reporting:<15}: alone {alone:9.0}, in all {all:9.0}, a list {list:9.0}"
            );
        }
    }
}
