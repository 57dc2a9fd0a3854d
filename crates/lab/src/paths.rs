//! The links of a run: one from each proxy to each backend and to the list service, and, where the experiment puts a fault
//! there, one from the front to each proxy. Two proxies never share one, so that any group can be cut off from any
//! other; each costs two descriptors.

use crate::experiment::{Experiment, LinkFault};
use crate::fleet::Addresses;
use crate::links::{Cut, Direction, Fault, FaultError, Link, Links, Tally};
use crate::samples::Sample;
use shaletide_testkit::{Clock, Distribution, Fleet, ListServer, View};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// The index, in a run's addresses, of the address that all links listen on.
const LINKS_AT: usize = 199;

/// All links of a run.
#[derive(Debug)]
pub struct Paths {
    links: Links,
    /// By proxy, then by backend.
    backends: Vec<Vec<Link>>,
    lists: Vec<Link>,
    fronts: Vec<Link>,
    before: BTreeMap<String, [Tally; 2]>,
}

/// The number of links that an experiment needs.
pub fn needed(experiment: &Experiment, backends: usize) -> usize {
    experiment.fleet.proxies * (backends + 2)
}

impl Paths {
    /// Creates links from each proxy to each backend.
    ///
    /// # Errors
    /// No address, thread or descriptor.
    pub fn create(
        experiment: &Experiment, clock: Clock, seed: u64, addresses: &Addresses, fleet: &Fleet,
    ) -> io::Result<Paths> {
        let links = Links::start(clock, seed)?;
        let ip = addresses.at(LINKS_AT);
        let mut backends = Vec::new();
        for proxy in 0..experiment.fleet.proxies {
            let near = format!("p{proxy}");
            let create_link = |b: &shaletide_testkit::BackendHandle| {
                let far = &b.spec.name;
                links.tcp(&format!("{near}-{far}"), [&near, far], ip, b.address)
            };
            backends.push(fleet.backends().iter().map(create_link).collect::<io::Result<_>>()?);
        }
        let paths = Paths { links, backends, lists: Vec::new(), fronts: Vec::new(), before: BTreeMap::new() };
        for spare in experiment.backends.count..fleet.backends().len() {
            paths.refuse_backend(spare, true);
        }
        Ok(paths)
    }

    /// The addresses that each proxy is given for the backends: those of its links.
    pub fn views(&self, fleet: &Fleet) -> Vec<View> {
        let names = || fleet.backends().iter().map(|b| b.spec.name.clone());
        let view = |links: &Vec<Link>| names().zip(links.iter().map(Link::address)).collect();
        self.backends.iter().map(view).collect()
    }

    /// Creates links from each proxy to the list service.
    ///
    /// # Errors
    /// No address or descriptor.
    pub fn lead_to_list(&mut self, addresses: &Addresses, list: &ListServer) -> io::Result<()> {
        for proxy in 0..self.backends.len() {
            let near = format!("p{proxy}");
            let ends = [near.as_str(), "list"];
            let link =
                self.links.tcp(&format!("{near}-list"), ends, addresses.at(LINKS_AT), list.address(proxy));
            self.lists.push(link?);
        }
        Ok(())
    }

    /// Creates links from the front to each proxy.
    ///
    /// # Errors
    /// No address or descriptor.
    pub fn lead_to_proxies(&mut self, addresses: &Addresses, listeners: &[SocketAddr]) -> io::Result<()> {
        for (proxy, address) in listeners.iter().enumerate() {
            let far = format!("p{proxy}");
            let ends = ["front", far.as_str()];
            self.fronts.push(self.links.tcp(
                &format!("front-{far}"),
                ends,
                addresses.at(LINKS_AT),
                *address,
            )?);
        }
        Ok(())
    }

    /// The address at which a proxy reaches the list service.
    pub fn list(&self, proxy: usize) -> SocketAddr {
        self.lists[proxy].address()
    }

    /// The address for the front's connections to a proxy, if they go through a link.
    pub fn front(&self, proxy: usize) -> Option<SocketAddr> {
        Some(self.fronts.get(proxy)?.address())
    }

    /// Refuses connections to that backend, as where nothing listens, or accepts them again.
    pub fn refuse_backend(&self, number: usize, refuse: bool) {
        self.backends.iter().filter_map(|links| links.get(number)).for_each(|link| link.refuse(refuse));
    }

    /// Refuses or accepts the front's connections to a proxy.
    pub fn refuse_proxy(&self, proxy: usize, refuse: bool) {
        if let Some(link) = self.fronts.get(proxy) {
            link.refuse(refuse);
        }
    }

    /// Sets a fault between these proxies and backends, or clears it. The number of directions of
    /// links that it was set on.
    ///
    /// # Errors
    /// A value out of its range.
    pub fn set(
        &self, fault: &LinkFault, proxies: &[String], backends: &[String], on: bool,
    ) -> Result<usize, FaultError> {
        let near: Vec<&str> = if fault.front { vec!["front"] } else { names(proxies) };
        let mut far = if fault.front { names(proxies) } else { names(backends) };
        if fault.list {
            far.push("list");
        }
        let direction = match (fault.forth, fault.back) {
            (true, false) => Direction::Forth,
            (false, true) => Direction::Back,
            _ => Direction::Both,
        };
        let cut = match fault.cut {
            Some(true) => Cut::Reset,
            Some(false) => Cut::Silent,
            None => Cut::None,
        };
        let (delay_ms, loss) = (Distribution::Fixed(fault.delay_ms), fault.loss);
        let (rate, corrupt) = (fault.rate, fault.corrupt);
        let put = if on {
            Fault { cut, delay_ms, loss, rate, corrupt, ..Fault::default() }
        } else {
            Fault::default()
        };
        self.links.set_between(&near, &far, direction, put)
    }

    /// Names of the links that a fault is set on.
    pub fn touched(&self, fault: &LinkFault, proxies: &[String], backends: &[String]) -> Vec<String> {
        let mut touched = Vec::new();
        for proxy in proxies {
            if fault.front {
                touched.push(format!("front-{proxy}"));
                continue;
            }
            touched.extend(backends.iter().map(|b| format!("{proxy}-{b}")));
            if fault.list {
                touched.push(format!("{proxy}-list"));
            }
        }
        touched
    }

    /// The bytes that passed since the last call; links without any are left out.
    pub fn second(&mut self, at_us: u64) -> Vec<Sample> {
        let now = self.links.tallies();
        let mut samples = Vec::new();
        for (link, tallies) in &now {
            let before = self.before.get(link).copied().unwrap_or_default();
            let sum = |of: fn(&Tally) -> u64| -> u64 {
                tallies.iter().zip(&before).map(|(now, before)| of(now) - of(before)).sum()
            };
            let (passed_bytes, passed_while_cut) =
                (sum(|t| t.passed_bytes), sum(|t| t.passed_bytes_while_cut));
            if passed_bytes + passed_while_cut > 0 {
                samples.push(Sample::LinkSecond {
                    at_us,
                    link: link.clone(),
                    passed_bytes,
                    passed_while_cut,
                });
            }
        }
        self.before = now;
        samples
    }
}

fn names(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}
