//! The scenario of the demo: its load and its faults, and when each begins.

use super::environment::{classes, Environment, COLD_FROM, DRAIN_GRACE, RAMP, RATE};
use super::output::print_line;
use super::run::{DemoRun, MeasuredPart};
use shaletide_balancer::{Micros, Time};
use shaletide_testkit::{BackendHandle, Fault, Load};
use std::io;
use std::time::Duration;
use tokio::sync::watch;

/// The most requests that are open at a time: many times the usual number, and well below half of the proxy's client slots,
/// above which answers close their connections. It bounds the waiting requests on an overloaded machine.
const MAX_OPEN_REQUESTS: usize = 64;
/// How long the crashed backend is down.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// When the measured part begins, as a fraction of the load's time: the balancer has learned the speeds by then.
const MEASURED_FROM: f64 = 0.2;
/// When the measured part ends and faults begin, as a fraction of the load's time: a backend drains.
const FAULTS_FROM: f64 = 0.5;
/// When a backend starts to answer errors, as a fraction of the load's time.
const ERRORS_FROM: f64 = 0.55;
/// When that backend recovers, as a fraction of the load's time.
const ERRORS_UNTIL: f64 = 0.7;
/// When a backend crashes, as a fraction of the load's time.
const CRASH_AT: f64 = 0.72;

/// Runs the load against the proxy, and the faults meanwhile. Blocks until the last client has its answer.
///
/// # Errors
/// Threads or descriptors for the clients are not available, or the proxy does not call discovery.
pub fn run_scenario(
    environment: &Environment, seconds: Duration, stop: watch::Receiver<bool>,
) -> io::Result<DemoRun> {
    let backends = environment.fleet.backends();
    if !environment.discovery.wait_delivered(1) {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "the proxy did not call discovery"));
    }
    print_line(&format!(
        "{} backends in two groups, {RATE} requests per second for {} s, proxy at {}",
        backends.len(),
        seconds.as_secs(),
        environment.proxy
    ));
    let clock = environment.fleet.clock();
    let load = Load {
        clock,
        connections: MAX_OPEN_REQUESTS,
        skip_when_busy: true,
        ..Load::new(RATE, classes(), seconds)
    };
    let mut ending = stop.clone();
    let clients = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let timers = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    let begun = clock.now();
    let mut scenario =
        Scenario { environment, begun, seconds, stop, timers, measured: false, missing: Vec::new() };
    let result = std::thread::scope(|scope| {
        let loading = std::thread::Builder::new().name("clients".into()).spawn_scoped(scope, || {
            let stopped = async move { drop(ending.wait_for(|stop| *stop).await) };
            clients.block_on(load.run_until(environment.proxy, stopped))
        })?;
        let done = scenario.run();
        let result = loading.join().map_err(|_| io::Error::other("the clients' thread failed"))?;
        done.map(|_| result)
    })?;
    let interrupted = *scenario.stop.borrow();
    let at = |part: f64| begun + micros(seconds.mul_f64(part));
    Ok(DemoRun {
        ledger: environment.fleet.ledger(),
        result,
        drained: environment.discovery.drained(),
        server_types: backends.iter().map(|backend| backend.spec.kind.clone()).collect(),
        begun,
        measured: scenario.measured.then_some(MeasuredPart { from: at(MEASURED_FROM), to: at(FAULTS_FROM) }),
        missing: scenario.missing,
        interrupted,
        self_check: None,
    })
}

/// The running scenario.
struct Scenario<'a> {
    environment: &'a Environment,
    begun: Time,
    seconds: Duration,
    stop: watch::Receiver<bool>,
    timers: tokio::runtime::Runtime,
    measured: bool,
    missing: Vec<String>,
}

impl Scenario<'_> {
    /// Runs all steps, or until the demo is stopped.
    fn run(&mut self) -> io::Result<()> {
        let [drains, fails, dies] = ["fast-1", "fast-3", "fast-4"].map(|name| self.environment.named(name));
        if self.steps(drains?, fails?, dies?).is_none() {
            self.print_event("stopped: the load ends; waiting for open requests");
        }
        Ok(())
    }

    fn steps(&mut self, drains: &BackendHandle, fails: &BackendHandle, dies: &BackendHandle) -> Option<()> {
        self.print_event("the load begins; the proxy does not know the backends' speeds");
        self.wait(MEASURED_FROM, Duration::ZERO)?;
        self.print_event("the measurement of the shares begins");
        self.wait(FAULTS_FROM, Duration::ZERO)?;
        self.measured = true;
        self.print_event("the measurement of the shares ends; faults begin");
        self.drain(drains);
        self.wait(ERRORS_FROM, Duration::ZERO)?;
        fails.set_fault(Fault::Fail(1.0));
        self.print_event(&format!("{} fails: it answers 500 to every request", fails.spec.name));
        self.wait(ERRORS_UNTIL, Duration::ZERO)?;
        fails.set_fault(Fault::Cleared);
        self.print_event(&format!("{} recovers", fails.spec.name));
        self.wait(CRASH_AT, Duration::ZERO)?;
        dies.kill();
        self.print_event(&format!(
            "{} crashes: its requests are lost, connections to it are refused",
            dies.spec.name
        ));
        self.wait(CRASH_AT, DOWN_TIME)?;
        dies.restart();
        self.environment.discovery.put(dies.entry());
        let name = &dies.spec.name;
        let cold = COLD_FROM * 100.0;
        let ramp = RAMP.secs();
        self.print_event(&format!(
            "{name} restarts cold, at {cold:.0} % of its speed, and is warm after {ramp} s"
        ));
        self.wait(1.0, Duration::ZERO)?;
        self.print_event("the load ends; waiting for open requests");
        Some(())
    }

    fn drain(&mut self, drains: &BackendHandle) {
        let name = &drains.spec.name;
        let version = self.environment.discovery.drain(name);
        if !self.environment.discovery.wait_delivered(version) {
            self.missing.push(format!("the proxy was not notified that {name} drains"));
            return;
        }
        drains.drain();
        self.print_event(&format!(
            "{name} drains: the proxy is notified; the backend rejects new requests after {} s",
            DRAIN_GRACE.secs()
        ));
    }

    /// Waits until `more` after that fraction of the load's time. Returns `None` if the demo is stopped.
    fn wait(&mut self, part: f64, more: Duration) -> Option<()> {
        let at = self.begun + micros(self.seconds.mul_f64(part) + more);
        let left = at - self.environment.fleet.clock().now();
        let stop = &mut self.stop;
        let stopped = async {
            tokio::time::timeout(Duration::from_micros(left.0), stop.wait_for(|stop| *stop)).await.is_ok()
        };
        (!self.timers.block_on(stopped)).then_some(())
    }

    /// Prints an event with the time since the load began.
    fn print_event(&self, text: &str) {
        let at = (self.environment.fleet.clock().now() - self.begun).secs();
        print_line(&format!("{at:6.1} s  {text}"));
    }
}

fn micros(span: Duration) -> Micros {
    Micros(span.as_micros() as u64)
}
