//! Checks the soak's ordinary load while its proxy stops, with a forced order of events: the proxy has closed its kept
//! connections, and their clients do not know it yet.

mod rig;

use rig::held_process::{continue_process, send_signal, stop_process};
use rig::late_ends::{Crossing, LateEnds};
use rig::stop_requests::{begin, exchange, open, segments, CrossingLimit, RequestEnd};
use rig::*;
use shaletide_soak::call_faults::CallFault;
use shaletide_soak::control::FaultControl;
use shaletide_soak::oracle::{judge, ClientRecords, Evidence, Invariant, Violation};
use shaletide_soak::proxies::ProcessRecord;
use shaletide_types::{Idempotency, Micros, Time};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Number of stops of a proxy.
const STOPS: u64 = 6;
/// Rate of the load, requests per second.
const RATE_PER_S: f64 = 400.0;
/// Maximum number of connections of the load, so that delayed clients do not open many at once.
const CONNECTIONS: usize = 12;
/// Work of a request, ms: long enough that several requests overlap and several connections are kept.
const WORK_MS: f64 = 10.0;
const BACKENDS: usize = 3;
/// Time from the start of the load to SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(200);
/// Time from the first close until the proxy is stopped with SIGSTOP. It closes all idle connections meanwhile.
const CLOSE_TIME: Duration = Duration::from_millis(5);
/// Maximum time after SIGTERM for which the load continues until a request has crossed a close. Clients may open
/// connections for 0.3 s.
const LOAD_AFTER_STOP: Duration = Duration::from_millis(200);
/// Time for which the load continues after the first crossing, for further ones.
const LOAD_AFTER_CROSSING: Duration = Duration::from_millis(20);
/// Time for which the proxy stays stopped: requests that are sent again arrive in the kernel meanwhile, even on a busy machine.
const HELD_FOR: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(3);
/// Maximum duration of a load.
const LONGEST_LOAD: Duration = Duration::from_secs(10);

/// Delay by which the link may forward a request, and its client notice the close, on a busy machine.
const CROSSING_LIMIT: Duration = Duration::from_secs(3);
/// Number of kept connections. A request is written on each while the proxy is about to close one of them.
const KEPT: u32 = 6;
/// Maximum wait until the proxy is about to close a connection.
const CLOSE_WAIT: Duration = Duration::from_secs(5);

/// The result of one load across a stop.
#[derive(Debug)]
struct Stop {
    /// When SIGTERM was sent.
    requested_at: Time,
    /// Requests that were sent a second time.
    resent: u64,
    /// Requests without an answer, as the soak's oracle reports them.
    unanswered: Vec<Violation>,
    /// Log lines of the proxy on requests that it read but did not answer.
    read_and_closed: Vec<String>,
}

/// The real program with backends that record the requests they run.
struct Testbed {
    fleet: Fleet,
    proxy: Proxy,
    _folder: Folder,
}

impl Testbed {
    fn start() -> Testbed {
        let folder = Folder::new();
        let (program, _control) = faulty(&folder, None);
        let capacity =
            CpuCapacity { cores: 2, speed: 1.0, initial_capacity_fraction: 0.3, ramp: Micros(6_000_000) };
        let backend_specs =
            (0..BACKENDS).map(|number| BackendSpec::new(&format!("b{number}"), capacity)).collect();
        let services = vec![Service::new("", Distribution::Fixed(WORK_MS))];
        let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(backend_specs) }).unwrap();
        let known: Vec<String> = fleet.backends().iter().map(|backend| backend.entry().text()).collect();
        let proxy = program.start(&known);
        Testbed { fleet, proxy, _folder: folder }
    }

    /// Stops the proxy while clients send requests through the link. The proxy is stopped with SIGSTOP after its closes, so
    /// that the time in which it accepts connections does not depend on the load of the machine.
    fn stop_under_load(mut self, seed: u64, link: &LateEnds) -> Stop {
        let clock = self.fleet.clock();
        let class = LoadClass {
            headers: vec![("X-Account".into(), "north".into())],
            ..LoadClass::new("read", Idempotency::Safe, DEADLINE)
        };
        let load = Load {
            seed,
            clock,
            crossing_limit: CROSSING_LIMIT,
            connections: CONNECTIONS,
            skip_when_busy: true,
            ..Load::new(RATE_PER_S, vec![class], LONGEST_LOAD)
        };
        let (to, (end_load, ended)) = (link.address, oneshot::channel());
        let clients = std::thread::spawn(move || run_until(load, to, ended));
        std::thread::sleep(STOP_AFTER);
        let mut process = ProcessRecord::new(0, Time(0), "p0-1.log".into());
        process.ready_at = Some(Time(0));
        let requested_at = clock.now();
        process.stop_requested_at = Some(requested_at);
        let pid = self.proxy.child.id();
        send_signal(pid, libc::SIGTERM);
        link.wait_for_close(LOAD_AFTER_STOP);
        std::thread::sleep(CLOSE_TIME);
        stop_process(pid);
        link.wait_for_crossing(LOAD_AFTER_STOP);
        std::thread::sleep(LOAD_AFTER_CROSSING);
        end_load.send(()).unwrap();
        std::thread::sleep(HELD_FOR);
        continue_process(pid);
        let load = clients.join().unwrap();
        process.exit = Some((clock.now(), self.proxy.child.wait().unwrap()));
        let resent = load.resent;
        let mut unanswered = judge(&evidence(self.fleet.ledger(), process, load));
        unanswered.retain(|violation| violation.invariant == Invariant::Answered);
        let read_and_closed = lines_with(&self.proxy.log, "has no answer");
        Stop { requested_at, resent, unanswered, read_and_closed }
    }
}

/// Runs a load on its own runtime until `ended` completes, and waits for the open requests.
fn run_until(load: Load, to: SocketAddr, ended: oneshot::Receiver<()>) -> LoadResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let ended = async {
        let _ = ended.await; // an error means that the test has failed
    };
    runtime.block_on(load.run_until(to, ended))
}

fn lines_with(log: &Log, text: &str) -> Vec<String> {
    log.since(0).into_iter().filter(|line| line.contains(text)).collect()
}

fn evidence(ledger: Ledger, process: ProcessRecord, load: LoadResult) -> Evidence {
    let clients = vec![ClientRecords { process: 0, load, disconnects: (0, Vec::new()) }];
    Evidence { clients, ..Evidence::of_quiet_run(ledger, vec![process], "program".into()) }
}

/// Guards against retrying a request that crossed the close of its connection on another kept connection that the proxy has
/// closed too (soak seed 93037).
#[test]
fn request_on_kept_connections_that_are_all_closed_is_answered_on_a_new_one() {
    let mut crossed = 0;
    for seed in 0..STOPS {
        let testbed = Testbed::start();
        let link = LateEnds::start(testbed.proxy.address);
        let stop = testbed.stop_under_load(seed, &link);
        let crossings = link.crossings();
        println!("seed {seed}: {stop:?}, {} crossings", crossings.len());
        let is_unread = |crossing: &Crossing| crossing.closed_at < crossing.sent_at && crossing.is_reset;
        assert!(crossings.iter().all(is_unread), "seed {seed}: {crossings:?}");
        assert!(stop.read_and_closed.is_empty(), "seed {seed}: {stop:?}");
        let requested_at = (stop.requested_at - Time(0)).secs();
        assert!(stop.unanswered.is_empty(), "seed {seed}: SIGTERM at {requested_at:.3} s, {stop:?}");
        assert!(stop.resent >= crossings.len() as u64, "seed {seed}: a request crossed twice, {stop:?}");
        crossed += crossings.len();
    }
    assert!(crossed as u64 >= STOPS, "only {crossed} crossed a close");
}

/// Waits until the proxy is blocked between its last check of a connection and the close.
fn wait_until_about_to_close(control: &FaultControl) {
    let until = Instant::now() + CLOSE_WAIT;
    while control.count(CallFault::HeldShutdown).unwrap() == 0 {
        assert!(Instant::now() < until, "no connection is closed");
        std::hint::spin_loop();
    }
}

/// Guards against a request that is not answered on a new connection after its bytes arrived between the proxy's last check
/// of its connection and the close, and against unanswered requests whose bytes arrived before that check.
#[test]
fn request_arriving_between_last_check_and_close_is_answered_on_a_new_connection() {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let backend = BackendServer::start(|_| ok_reply("done"));
    let mut proxy = program.start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let mut clients: Vec<Client> = (0..KEPT).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.request(&read_request(3.0)).status(), 200));
    control.set(CallFault::HeldShutdown, 1.0).unwrap();
    proxy.signal("TERM");
    wait_until_about_to_close(&control);
    let begin_whole = |client: Client| begin(client.0.into_inner(), segments(0)).expect("an open connection");
    let begun: Vec<_> = clients.into_iter().map(begin_whole).collect();
    let limit = CrossingLimit { readable_from: Instant::now(), longest: CROSSING_LIMIT };
    control.clear().unwrap();
    let ends: Vec<RequestEnd> = begun.into_iter().map(|request| request.finish(limit)).collect();
    let repeated = exchange(open(proxy.address), segments(0), limit);
    assert!(proxy.child.wait().unwrap().success());
    let count = |of: RequestEnd| ends.iter().filter(|end| **end == of).count();
    assert_eq!(count(RequestEnd::Crossed), 1, "{ends:?}");
    assert_eq!(count(RequestEnd::Answered), KEPT as usize - 1, "{ends:?}");
    assert_eq!(repeated, RequestEnd::Answered);
    assert_eq!(lines_with(&proxy.log, "are unread").len(), 1);
    assert_eq!(lines_with(&proxy.log, "has no answer"), Vec::<String>::new());
}
