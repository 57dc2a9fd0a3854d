//! The program between load clients and a fleet whose backends drain, die and return during the run: the backends' records
//! of requests break no rule.

mod harness;

use harness::*;
use shaletide_types::{DeduplicationScope, Idempotency, Micros};
use std::net::SocketAddr;
use std::time::Duration;

/// The deadline of each class in [`SETTINGS`].
const DEADLINE: Duration = Duration::from_secs(3);
/// The deduplication window of the class `vote` in [`SETTINGS`].
const WINDOW: Micros = Micros(500_000);

fn boxes(count: u64) -> Vec<BackendSpec> {
    let boxes = (0..count).map(|n| {
        let capacity =
            CpuCapacity { cores: 2, speed: 1.0, initial_capacity_fraction: 0.3, ramp: Micros(9_000_000) };
        BackendSpec { deduplication_group: 1 + n / 3, ..BackendSpec::new(&format!("b{n}"), capacity) }
    });
    boxes.collect()
}

fn classes() -> Vec<LoadClass> {
    let keyed = Idempotency::Keyed(DeduplicationScope::Group, WINDOW);
    let class = |name, share, effect, body| LoadClass {
        share,
        body_bytes: body,
        headers: vec![("X-Account".into(), "north".into())],
        ..LoadClass::new(name, effect, DEADLINE)
    };
    vec![
        class("read", 4.0, Idempotency::Safe, 0),
        class("pay", 1.0, Idempotency::NonIdempotent, 20),
        class("vote", 1.0, keyed, 20),
    ]
}

#[test]
fn rules_hold_while_backends_drain_crash_and_return() {
    let services = vec![Service::new("", Distribution::Exponential(4.0))];
    let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(boxes(6)) }).expect("a fleet");
    let entries: Vec<Entry> = fleet.backends().iter().map(BackendHandle::entry).collect();
    let known: Vec<String> = entries.iter().map(Entry::text).collect();
    let discovery = ListServer::start(fleet.clock(), &["n0"], entries).expect("a discovery");
    let proxy = program().start_with_discovery(discovery.address(0), &known, SETTINGS);
    let load = Load { clock: fleet.clock(), ..Load::new(300.0, classes(), Duration::from_secs(4)) };
    let proxy_address = proxy.address;
    let clients = std::thread::spawn(move || load.run_blocking(proxy_address).expect("a runtime"));

    let [drained_backend, killed_backend, failing_backend] = [0, 1, 4].map(|n| &fleet.backends()[n]);
    assert!(drained_backend.wait_for_stats(|stats| stats.requests > 30));
    let version = discovery.drain("b0");
    assert!(discovery.wait_delivered(version));
    drained_backend.drain();
    let before = killed_backend.stats().requests;
    assert!(killed_backend.wait_for_stats(|stats| stats.requests > before + 10));
    killed_backend.kill();
    killed_backend.restart();
    discovery.put(killed_backend.entry());
    failing_backend.set_fault(Fault::FailClass("vote".into(), 0.2));

    let result = clients.join().expect("the clients");
    let total = result.total();
    let ledger = fleet.ledger();
    let drained = discovery.drained();
    assert_eq!((drained.len(), ledger.unrecorded), (1, 0));
    assert_eq!(checks::answers_come_from_backends(&ledger, &result), []);
    assert_eq!(checks::unsafe_ran_once(&ledger), []);
    assert_eq!(checks::keyed_ran_in_one_group(&ledger, |_| WINDOW), []);
    assert_eq!(checks::no_requests_after_drain(&ledger, &drained, Micros(1_000_000)), []);
    let limit = checks::SlowStartLimit { multiple: 2.5, window: Micros(2_000_000), slack: 0.1 };
    assert_eq!(checks::slow_start_limit_kept(&ledger, limit), []);
    assert_eq!((result.mismatched_answers, result.excess_bytes), (0, 0));
    // Requests at the backend that dies may fail, and so may votes in the group with errors; nearly all others are served.
    assert!(total.served_in_time as f64 > 0.98 * total.count as f64, "{total}");
    assert!(total.count > 900, "{total}");
}

/// Returns a file with pools of these backends, by number, and one pool from discovery. Without `pool_in_domain` the pools
/// share no deduplication domain.
fn file(fleet: &Fleet, discovery_address: SocketAddr, pools: &[&[usize]], pool_in_domain: bool) -> String {
    let groups: Vec<String> =
        fleet.backends().iter().map(|b| b.spec.deduplication_group.to_string()).collect();
    // No idle connection is closed, so a connection that ends without a response had a request in flight.
    let mut text = "[limits]\nhead_timeout = \"1min\"\n".to_string();
    text += &CLASSES.replace("settle", "vote").replace("\"10s\"", "\"500ms\"");
    for (at, numbers) in pools.iter().enumerate() {
        let boxes: Vec<(SocketAddr, &str)> =
            numbers.iter().map(|n| (fleet.backends()[*n].address, groups[*n].as_str())).collect();
        text += &pool(&format!("p{at}"), &boxes);
        text += if pool_in_domain { "repeat_group = \"g\"\n" } else { "" };
    }
    text += &format!("[[pool]]\nname = \"told\"\ndiscovery = \"{discovery_address}\"\n");
    let names: Vec<String> = (0..pools.len()).map(|at| format!("p{at}")).collect();
    let mut order: Vec<&str> = names.iter().map(String::as_str).collect();
    text += &route("votes", "class = \"vote\"", &order);
    order.push("told");
    text += &route("pays", "class = \"pay\"", &order);
    order.rotate_right(1);
    text + &route("reads", "", &order)
}

/// Reloads add, remove and change pools, some files are invalid, signals arrive in pairs and together with list changes: each
/// request gets one response, and no rule is broken.
#[test]
fn rules_hold_during_repeated_reloads() {
    let services = vec![Service::new("", Distribution::Exponential(4.0))];
    let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(boxes(8)) }).expect("a fleet");
    let listed: Vec<Entry> = fleet.backends()[6..].iter().map(BackendHandle::entry).collect();
    let discovery = ListServer::start(fleet.clock(), &["n0"], listed).expect("a discovery");
    let discovery_address = discovery.address(0);
    let files = [
        file(&fleet, discovery_address, &[&[0, 1], &[2, 3], &[4, 5]], true),
        file(&fleet, discovery_address, &[&[0, 3], &[1, 4], &[2, 5]], true), // backends change pools
        file(&fleet, discovery_address, &[&[0, 3, 4]], false), // pools and deduplication domains are removed
        "[[pool]]\nboxes = 7".to_string(),
        file(&fleet, discovery_address, &[&[5, 4, 3], &[0], &[1]], false),
    ];
    // Some attempts fail, so that there are retries.
    fleet.backends().iter().for_each(|b| {
        b.set_fault(Fault::Reset(0.03));
    });
    let proxy = program().serve(&files[0]);
    let load = Load { clock: fleet.clock(), ..Load::new(150.0, classes(), Duration::from_secs(4)) };
    let proxy_address = proxy.address;
    let clients = std::thread::spawn(move || load.run_blocking(proxy_address).expect("a runtime"));
    let requests_of_fleet = || fleet.backends().iter().map(|b| b.stats().requests).sum::<u64>();
    let (mut accepted_files, mut round) = (0, 0);
    while !clients.is_finished() {
        round += 1;
        let text = &files[round % files.len()];
        match round % 3 {
            0 => discovery.drain("b6"),
            _ => discovery.put(fleet.backends()[6].entry()),
        };
        if round % 2 == 0 {
            // Two reloads in close succession, together with the list change above.
            proxy.replace_file(0, proxy.file_text(&files[1]));
            proxy.signal("HUP");
        }
        accepted_files += u32::from(proxy.reload(text).accepted);
        let before = requests_of_fleet();
        while requests_of_fleet() < before + 30 && !clients.is_finished() {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    let result = clients.join().expect("the clients");
    println!("{round} files, {accepted_files} accepted: {}", result.total());
    // The share of served requests depends on the machine; benchmarks measure it.
    assert!(round > 5 && accepted_files > 4, "{round} files, {accepted_files} accepted");
    let (total, ledger) = (result.total(), fleet.ledger());
    assert_eq!(ledger.unrecorded, 0);
    assert_eq!(checks::answers_come_from_backends(&ledger, &result), []);
    assert_eq!(checks::unsafe_ran_once(&ledger), []);
    assert_eq!(checks::keyed_ran_in_one_group(&ledger, |_| WINDOW), []);
    assert_eq!((result.mismatched_answers, result.excess_bytes, result.unanswered()), (0, 0, 0));
    assert!(total.count > 400 && total.served_in_time > total.count / 4, "{total}");
}
