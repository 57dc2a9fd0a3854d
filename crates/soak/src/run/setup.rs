//! Starts all parts of a run except the proxies' processes: backends, discovery, and the links between the parts.

use super::{Observations, Testbed};
use crate::address::Reservation;
use crate::artifacts::Artifacts;
use crate::control::FaultControl;
use crate::oracle::{CORES, MEAN_WORK_MS};
use crate::plan::{Plan, Scale};
use crate::proxies::ProxySlot;
use crate::settings::RunSettings;
use shaletide_lab::links::{Link, Links};
use shaletide_testkit::{
    BackendHandle, BackendSpec, Clock, CpuCapacity, Distribution, Entry, Fleet, FleetSpec, ListServer,
    Service, View,
};
use shaletide_types::Micros;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

/// IP address at which all parts listen.
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Number of backends in one deduplication group (`bay` on the wire). They share their deduplication keys.
const BACKENDS_PER_GROUP: usize = 3;

/// Returns the name of a proxy in links.
fn proxy_name(index: usize) -> String {
    format!("p{index}")
}

fn backend(index: usize, settings: &RunSettings) -> BackendSpec {
    let RunSettings { initial_capacity_fraction, slow_start_window_us, .. } = *settings;
    let capacity = CpuCapacity {
        cores: CORES,
        speed: 1.0,
        initial_capacity_fraction,
        ramp: Micros(slow_start_window_us),
    };
    BackendSpec {
        deduplication_group: 1 + (index / BACKENDS_PER_GROUP) as u64,
        idle_timeout: Duration::from_secs(10),
        ..BackendSpec::new(&format!("b{index}"), capacity)
    }
}

fn start_fleet(seed: u64, scale: &Scale, settings: &RunSettings) -> io::Result<Fleet> {
    let backend_specs = (0..scale.backends).map(|index| backend(index, settings)).collect();
    let services = vec![Service::new("", Distribution::Exponential(MEAN_WORK_MS))];
    Fleet::with(FleetSpec { services, seed, ..FleetSpec::new(backend_specs) })
}

/// Creates links from each proxy to each backend.
fn link_backends(links: &Links, proxies: usize, fleet: &Fleet) -> io::Result<Vec<Vec<Link>>> {
    let link = |proxy: &str, backend: &BackendHandle| {
        let name = &backend.spec.name;
        links.tcp(&format!("{proxy}-{name}"), [proxy, name], LOOPBACK, backend.address)
    };
    let link_all = |index: usize| {
        let proxy = proxy_name(index);
        fleet.backends().iter().map(|backend| link(&proxy, backend)).collect()
    };
    (0..proxies).map(link_all).collect()
}

/// Returns the addresses of the backends as each proxy sees them; empty if the backends are reached without links.
fn views(fleet: &Fleet, backend_links: &[Vec<Link>]) -> Vec<View> {
    let view = |links: &Vec<Link>| {
        let names = fleet.backends().iter().map(|backend| backend.spec.name.clone());
        names.zip(links.iter().map(Link::address)).collect()
    };
    backend_links.iter().map(view).collect()
}

fn start_discovery(
    clock: Clock, proxies: usize, entries: &[Entry], views: &[View],
) -> io::Result<ListServer> {
    let watchers: Vec<String> = (0..proxies).map(proxy_name).collect();
    let watchers: Vec<&str> = watchers.iter().map(String::as_str).collect();
    ListServer::with_views(clock, &watchers, entries.to_vec(), views.to_vec())
}

/// Creates two links from each proxy to discovery. A reload moves the proxy from one to the other.
fn link_discovery(links: &Links, proxies: usize, discovery: &ListServer) -> io::Result<Vec<[Link; 2]>> {
    let mut pairs = Vec::new();
    for index in 0..proxies {
        let proxy = proxy_name(index);
        let link = |name: &str| links.tcp(name, [&proxy, "discovery"], LOOPBACK, discovery.address(index));
        pairs.push([link(&format!("{proxy}-list-a"))?, link(&format!("{proxy}-list-b"))?]);
    }
    Ok(pairs)
}

/// Returns the cached endpoint list for a proxy's configuration.
fn known_list(entries: &[Entry], view: Option<&View>) -> serde_json::Value {
    let known = entries.iter().map(|entry| {
        let address = view.and_then(|view| view.get(&entry.name));
        let seen = Entry { address: address.copied().unwrap_or(entry.address), ..entry.clone() };
        serde_json::from_str::<serde_json::Value>(&seen.text()).unwrap_or_default()
    });
    known.collect()
}

fn proxy_slots(
    folder: &Path, settings: &RunSettings, discovery_links: &[[Link; 2]], entries: &[Entry], views: &[View],
) -> io::Result<Vec<ProxySlot>> {
    let reservation =
        if settings.reserves_addresses { Reservation::SharedPort } else { Reservation::Reusable };
    let slot = |(index, pair): (usize, &[Link; 2])| {
        let discovery: [SocketAddr; 2] = [pair[0].address(), pair[1].address()];
        ProxySlot::new(index, folder, discovery, known_list(entries, views.get(index)), reservation)
    };
    discovery_links.iter().enumerate().map(slot).collect()
}

impl Testbed {
    /// Starts all parts of a seed's run except the proxies' processes.
    pub(super) fn new(seed: u64, scale: &Scale, plan: &Plan, artifacts: &Artifacts) -> io::Result<Testbed> {
        let folder = std::env::temp_dir().join(format!("shaletide-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let control = FaultControl::create(&folder.join("faults"))?;
        control.step_wall_clock(plan.wall_clock_at_start)?;
        let fleet = start_fleet(seed, scale, &plan.settings)?;
        let clock = fleet.clock();
        let links = Links::start_with(clock, seed, 2)?;
        let has_link_faults = plan.kinds.iter().any(|kind| kind.is_in_backend_links());
        let backend_links =
            if has_link_faults { link_backends(&links, scale.proxies, &fleet)? } else { Vec::new() };
        let views = views(&fleet, &backend_links);
        let entries: Vec<Entry> = fleet.backends().iter().map(BackendHandle::entry).collect();
        let discovery = start_discovery(clock, scale.proxies, &entries, &views)?;
        let discovery_links = link_discovery(&links, scale.proxies, &discovery)?;
        let slots = proxy_slots(&folder, &plan.settings, &discovery_links, &entries, &views)?;
        Ok(Testbed {
            artifacts: artifacts.clone(),
            control,
            folder,
            clock,
            seed,
            scale: *scale,
            settings: plan.settings,
            polls_discovery: plan.polls_discovery,
            slots,
            fleet,
            discovery,
            discovery_links,
            backend_links,
            _links: links,
            observations: Mutex::new(Observations::of(scale.proxies)),
        })
    }
}
