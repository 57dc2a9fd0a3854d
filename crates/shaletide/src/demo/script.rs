//! The load and the faults of the demo, and when each begins.

use super::output::print_line;
use super::run::{DemoRun, MeasuredPart};
use super::stage::{classes, Stage, COLD_FROM, GRACE, RAMP, RATE};
use shaletide_balancer::{Micros, Time};
use shaletide_testkit::{BackendHandle, Fault, Load};
use std::io;
use std::time::Duration;
use tokio::sync::watch;

/// Requests that are open at a time, at most: many times as many as usually are, and well below half of the proxy's
/// places, from where answers end their connections. On a machine that is behind it bounds what waits.
const MAX_OPEN_REQUESTS: usize = 64;
/// The backend that crashed is restarted after this.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Parts of the load's time: from here the balancer has learned the speeds.
const MEASURED_FROM: f64 = 0.2;
/// Faults begin: a backend drains.
const FAULTS_FROM: f64 = 0.5;
/// A backend answers errors from here ...
const ERRORS_FROM: f64 = 0.55;
/// ... to here.
const ERRORS_UNTIL: f64 = 0.7;
/// A backend crashes.
const CRASH_AT: f64 = 0.72;

/// Runs the load against the proxy, with the faults meanwhile. Blocks until the last client has its answer.
///
/// # Errors
/// No thread or descriptors for the clients.
pub fn play(stage: &Stage, seconds: Duration, stop: watch::Receiver<bool>) -> io::Result<DemoRun> {
    let backends = stage.fleet.backends();
    if !stage.discovery.wait_delivered(1) {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "the proxy did not ask for the list"));
    }
    print_line(&format!(
        "{} backends in two groups, {RATE} requests a second for {} s, the proxy at {}",
        backends.len(),
        seconds.as_secs(),
        stage.proxy
    ));
    let clock = stage.fleet.clock();
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
    let mut script = Script { stage, begun, seconds, stop, timers, measured: false, missing: Vec::new() };
    let result = std::thread::scope(|scope| {
        let loading = std::thread::Builder::new().name("clients".into()).spawn_scoped(scope, || {
            let stopped = async move { drop(ending.wait_for(|stop| *stop).await) };
            clients.block_on(load.run_until(stage.proxy, stopped))
        })?;
        let done = script.run();
        let result = loading.join().map_err(|_| io::Error::other("the clients broke off"))?;
        done.map(|_| result)
    })?;
    let interrupted = *script.stop.borrow();
    let at = |part: f64| begun + micros(seconds.mul_f64(part));
    Ok(DemoRun {
        ledger: stage.fleet.ledger(),
        result,
        drained: stage.discovery.drained(),
        server_types: backends.iter().map(|backend| backend.spec.kind.clone()).collect(),
        begun,
        measured: script.measured.then_some(MeasuredPart { from: at(MEASURED_FROM), to: at(FAULTS_FROM) }),
        missing: script.missing,
        interrupted,
        self_check: None,
    })
}

/// The script at work.
struct Script<'a> {
    stage: &'a Stage,
    begun: Time,
    seconds: Duration,
    stop: watch::Receiver<bool>,
    timers: tokio::runtime::Runtime,
    measured: bool,
    missing: Vec<String>,
}

impl Script<'_> {
    /// Goes through it until it is over or told to stop.
    fn run(&mut self) -> io::Result<()> {
        let [drains, fails, dies] = ["fast-1", "fast-3", "fast-4"].map(|name| self.stage.named(name));
        if self.steps(drains?, fails?, dies?).is_none() {
            self.say("told to stop: the load ends here; what is open is waited for");
        }
        Ok(())
    }

    fn steps(&mut self, drains: &BackendHandle, fails: &BackendHandle, dies: &BackendHandle) -> Option<()> {
        self.say("the load begins; the proxy knows nothing of the backends' speeds");
        self.wait(MEASURED_FROM, Duration::ZERO)?;
        self.say("from here on the shares are measured");
        self.wait(FAULTS_FROM, Duration::ZERO)?;
        self.measured = true;
        self.say("the shares are measured; faults begin");
        self.drain(drains);
        self.wait(ERRORS_FROM, Duration::ZERO)?;
        fails.set_fault(Fault::Fail(1.0));
        self.say(&format!("{} fails: it answers 500 to everything", fails.spec.name));
        self.wait(ERRORS_UNTIL, Duration::ZERO)?;
        fails.set_fault(Fault::Cleared);
        self.say(&format!("{} is well again", fails.spec.name));
        self.wait(CRASH_AT, Duration::ZERO)?;
        dies.kill();
        self.say(&format!("{} dies: what it had is lost, connections to it are refused", dies.spec.name));
        self.wait(CRASH_AT, DOWN_TIME)?;
        dies.restart();
        self.stage.discovery.put(dies.entry());
        let name = &dies.spec.name;
        let cold = COLD_FROM * 100.0;
        let ramp = RAMP.secs();
        self.say(&format!("{name} is back cold, at {cold:.0} % of its speed for a start, warm in {ramp} s"));
        self.wait(1.0, Duration::ZERO)?;
        self.say("the load ends; what is open is waited for");
        Some(())
    }

    fn drain(&mut self, drains: &BackendHandle) {
        let name = &drains.spec.name;
        let version = self.stage.discovery.drain(name);
        if !self.stage.discovery.wait_delivered(version) {
            self.missing.push(format!("the proxy was not told that {name} drains"));
            return;
        }
        drains.drain();
        self.say(&format!(
            "{name} drains: the proxy is told; new requests are refused there in {} s",
            GRACE.secs()
        ));
    }

    /// Waits for that part of the load's time and so long after it. `None`: told to stop.
    fn wait(&mut self, part: f64, more: Duration) -> Option<()> {
        let at = self.begun + micros(self.seconds.mul_f64(part) + more);
        let left = at - self.stage.fleet.clock().now();
        let stop = &mut self.stop;
        let stopped = async {
            tokio::time::timeout(Duration::from_micros(left.0), stop.wait_for(|stop| *stop)).await.is_ok()
        };
        (!self.timers.block_on(stopped)).then_some(())
    }

    /// A line with the time since the load began.
    fn say(&self, text: &str) {
        let at = (self.stage.fleet.clock().now() - self.begun).secs();
        print_line(&format!("{at:6.1} s  {text}"));
    }
}

fn micros(span: Duration) -> Micros {
    Micros(span.as_micros() as u64)
}
