//! Checks that slow start depends on elapsed time and not on the wall clock.

mod rig;

use rig::*;
use shaletide_testkit::Status;
use shaletide_types::{Idempotency, Micros};
use std::time::Duration;

/// The slow start window.
const SLOW_START_WINDOW: Micros = Micros(2_000_000);
/// Rate of the load over five backends, requests per second.
const RATE_PER_S: f64 = 250.0;
/// Work of each request, ms.
const WORK_MS: f64 = 10.0;
/// Time for which the backend is not listed before it restarts.
const UNLISTED_FOR: Duration = Duration::from_millis(500);
/// Time for which its requests are counted after its start.
const COUNTED_FOR: Duration = Duration::from_secs(4);
/// Requests per second to a warm backend: an even share.
const WARM_RATE: usize = RATE_PER_S as usize / 5;

/// Since when the clock is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Since {
    /// Since before the process starts.
    Start,
    /// Since before the backend restarts, while the process runs.
    Running,
}

fn backends() -> Vec<BackendSpec> {
    let capacity = shaletide_testkit::CpuCapacity {
        cores: 2,
        speed: 1.0,
        initial_capacity_fraction: 0.1,
        ramp: SLOW_START_WINDOW,
    };
    (0..5).map(|n| BackendSpec::new(&format!("b{n}"), capacity)).collect()
}

fn settings() -> String {
    let ramp =
        SETTINGS.replace("\"ramp_time_us\":9000000", &format!("\"ramp_time_us\":{}", SLOW_START_WINDOW.0));
    ramp.replace("\"cold_from\":0.3", "\"cold_from\":0.1")
}

/// Returns the number of requests that a backend receives in each second after its start from a proxy whose wall clock is
/// `ahead` seconds ahead.
fn requests_by_second(ahead: i64, since: Since) -> Vec<usize> {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    if since == Since::Start {
        control.step_wall_clock(ahead).expect("the control file");
    }
    let services = vec![Service::new("", Distribution::Fixed(WORK_MS))];
    let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(backends()) }).expect("a fleet");
    let entries: Vec<Entry> = fleet.backends().iter().map(BackendHandle::entry).collect();
    let known: Vec<String> = entries.iter().map(Entry::text).collect();
    let discovery = ListServer::start(fleet.clock(), &["n0"], entries).expect("a discovery");
    let proxy = program.start_with_discovery(discovery.address(0), &known, &settings());
    let class = LoadClass::new("read", Idempotency::Safe, Duration::from_secs(3));
    let load =
        Load { clock: fleet.clock(), ..Load::new(RATE_PER_S, vec![class], UNLISTED_FOR * 2 + COUNTED_FOR) };
    let to = proxy.address;
    let clients = std::thread::spawn(move || load.run_blocking(to).expect("a runtime"));
    let backend = &fleet.backends()[0];
    assert!(backend.wait_for_stats(|stats| stats.requests > 10));
    if since == Since::Running {
        control.step_wall_clock(ahead).expect("the control file");
    }
    let version = discovery.set_status("b0", Status::Deleted);
    assert!(discovery.wait_delivered(version));
    std::thread::sleep(UNLISTED_FOR);
    let started = backend.restart();
    discovery.put(backend.entry());
    let result = clients.join().expect("the clients");
    assert_eq!(result.unanswered(), 0);
    let ledger = fleet.ledger();
    let mut counts = vec![0; COUNTED_FOR.as_secs() as usize];
    for record in ledger.records.iter().filter(|record| record.backend == 0 && record.boot == 1) {
        if let Some(count) = counts.get_mut((record.last_byte_at - started).secs() as usize) {
            *count += 1;
        }
    }
    println!("{ahead} s ahead since {since:?}: {counts:?}");
    counts
}

fn is_cold_first_and_warm_after(ahead: i64, since: Since) {
    let counts = requests_by_second(ahead, since);
    assert!(counts[0] < WARM_RATE / 2, "{ahead} s ahead since {since:?}: taken for warm, {counts:?}");
    assert!(counts[3] > WARM_RATE / 2, "{ahead} s ahead since {since:?}: starved, {counts:?}");
}

#[test]
fn backend_is_cold_for_slow_start_window_when_clock_was_ahead_at_start() {
    is_cold_first_and_warm_after(3600, Since::Start);
    is_cold_first_and_warm_after(7, Since::Start);
}

#[test]
fn backend_is_cold_for_slow_start_window_when_clock_was_behind_at_start() {
    is_cold_first_and_warm_after(-3600, Since::Start);
    is_cold_first_and_warm_after(-7, Since::Start);
}

#[test]
fn backend_is_cold_for_slow_start_window_when_clock_is_right_or_stepped_while_running() {
    is_cold_first_and_warm_after(0, Since::Start);
    is_cold_first_and_warm_after(3600, Since::Running);
    is_cold_first_and_warm_after(-3600, Since::Running);
}
