//! The parts of a scenario: classes of requests, kinds of backends, load reports and faults.

use shaletide_balancer::{Class, Config, DiscoveryMode, Tenant};
use shaletide_testkit::{CpuCapacity, Distribution, SeededRng};
use shaletide_types::*;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name of the class.
    pub name: &'static str,
    /// The fraction of all requests that are of this class.
    pub share: f64,
    /// The configuration of the class in the balancer.
    pub class: Class,
    /// The longest time that a client waits for the answer.
    pub deadline: Micros,
    /// The distribution of the work, ms of a standard core.
    pub work_ms: Distribution,
    /// The distribution of the time that a request holds its slot without using a core, ms.
    pub io_ms: Distribution,
}

/// A kind of backend.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The fraction of all backends that are of this kind.
    pub share: f64,
    /// The distribution of the speed of the core; each backend draws its own value.
    pub speed: Distribution,
    /// The weight in the list of a backend that holds no request.
    pub size: f64,
    /// The fraction of its speed that a backend has at its start, and the duration of its warm-up.
    pub cold: (f64, Micros),
}

/// Limits and costs that all backends share.
#[derive(Clone, Debug)]
pub struct BackendLimits {
    /// The maximum numbers of requests in service and of queued requests.
    pub slots: (u32, u32),
    /// The maximum number of connections.
    pub connections: u32,
    /// The duration of a handshake, and its cost in ms of work.
    pub handshake: (Micros, f64),
    /// The time after which an idle connection is closed.
    pub idle: Micros,
    /// A backend becomes slow when the mean number of requests that it holds exceeds this.
    pub overload_threshold: f64,
    /// The factor by which an overloaded backend is slower, until it has been mostly idle for some seconds.
    pub overload_slowdown: f64,
}

/// The load reports of the backends.
#[derive(Clone, Debug)]
pub struct LoadReporting {
    /// The time between two reports of a backend.
    pub period: Micros,
    /// The age of a report when it first becomes readable.
    pub lag: Micros,
    /// The maximum relative error of each figure.
    pub noise: f64,
    /// The fraction of the backends whose reports hold arbitrary figures.
    pub misreporting: f64,
    /// The fraction of the backends that report nothing.
    pub silent: f64,
    /// If set, every backend reports exactly this number of requests in flight.
    pub fixed_held: Option<f64>,
}

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Traffic is multiplied by this factor.
    Burst(f64),
    /// This fraction of the proxies dies and restarts without any state one second later.
    Herd(f64),
    /// This fraction of the backends is replaced by cold ones, evenly over the duration; the old ones drain.
    Replace(f64),
    /// All backends are slower by this factor.
    Slow(f64),
    /// This fraction of the backends accepts requests and never answers.
    Silent(f64),
    /// One zone's proxies and backends are cut off from all others in both directions. No connection is established
    /// across the cut; what is sent on an existing connection arrives after the cut, and answers in transit are lost.
    Cut,
    /// All backends of one zone die, and return cold at the end.
    ZoneDies,
    /// No proxy receives updates of the list, weights included.
    ListsStop,
    /// Updates of the list, weights included, are delayed by this many further seconds.
    ListsLate(f64),
    /// This fraction of the answers is lost.
    Lost(f64),
    /// This fraction of the connections is reset while a request is in flight on them.
    Reset(f64),
    /// The front sends no clients to this fraction of the proxies, and all clients to the others.
    Quiet(f64),
}

impl Fault {
    /// Returns the fault of that name and amount; none if the name is unknown or the amount is missing or out of range.
    fn named(name: &str, amount: Option<f64>) -> Option<Fault> {
        let part = amount.filter(|m| (0.0..=1.0).contains(m));
        let factor = amount.filter(|m| (0.01..=100.0).contains(m));
        Some(match name {
            "burst" => Fault::Burst(factor?),
            "herd" => Fault::Herd(part?),
            "replace" => Fault::Replace(part?),
            "slow" => Fault::Slow(factor?),
            "silent" => Fault::Silent(part?),
            "lost" => Fault::Lost(part?),
            "reset" => Fault::Reset(part?),
            "quiet" => Fault::Quiet(part?),
            "lists-late" => Fault::ListsLate(factor?),
            "cut" if amount.is_none() => Fault::Cut,
            "zone-dies" if amount.is_none() => Fault::ZoneDies,
            "lists-stop" if amount.is_none() => Fault::ListsStop,
            _ => return None,
        })
    }
}

/// A fault and its period, relative to the start of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// The beginning of the fault.
    pub from: Micros,
    /// The end of the fault.
    pub to: Micros,
    /// The fault itself.
    pub fault: Fault,
}

impl std::str::FromStr for PlannedFault {
    type Err = String;

    fn from_str(text: &str) -> Result<PlannedFault, String> {
        let second = |text: &str| text.parse::<u32>().ok().map(|s| ms(u64::from(s) * 1_000));
        let read = || {
            let (spec, span) = text.split_once('@')?;
            let (from, to) = span.split_once('-')?;
            let (from, to) = (second(from)?, second(to)?);
            let (name, amount) = match spec.split_once('=') {
                Some((name, amount)) => (name, Some(amount.parse().ok()?)),
                None => (spec, None),
            };
            let fault = Fault::named(name, amount)?;
            (from < to).then_some(PlannedFault { from, to, fault })
        };
        read().ok_or_else(|| {
            "expected NAME@FROM-TO or NAME=NUMBER@FROM-TO, with NAME one of cut, zone-dies, lists-stop, \
             lists-late, lost, reset, burst, herd, quiet, replace, slow or silent"
                .into()
        })
    }
}

/// A scenario: the fleet, its traffic and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: &'static str,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The length of the scenario.
    pub length: Micros,
    /// The number of proxies that run.
    pub proxies: u32,
    /// The number of proxies in the configuration; by default as many as run.
    pub configured_proxies: u32,
    /// How unevenly the front distributes clients: 0 is even, 1 gives some proxies several times the mean. `hot` sets the
    /// share of a single proxy.
    pub share_spread: f64,
    /// The share of the first proxy as a multiple of the mean; 1 leaves it as drawn.
    pub hot: f64,
    /// The skew of traffic between zones: from 1 minus this value to 1 plus it times an equal share, rising with the
    /// zone's number.
    pub zone_skew: f64,
    /// The number of backends.
    pub backends: u32,
    /// The number of zones.
    pub zones: u32,
    /// Traffic as a fraction of the capacity of all backends.
    pub load: f64,
    /// The classes of requests.
    pub request_classes: Vec<RequestClass>,
    /// The kinds of backends.
    pub kinds: Vec<Kind>,
    /// Limits and costs that all backends share.
    pub common: BackendLimits,
    /// Load reports, in responses and as the weights of the list; none if backends report nothing.
    pub reports: Option<LoadReporting>,
    /// The delay of updates of the list.
    pub list_lag: Micros,
    /// The one-way delay between a proxy and a backend within a zone and between zones.
    pub net: (Micros, Micros),
    /// The least and the greatest time after which the front notices that a proxy died. Until then, clients that it sends
    /// to this proxy reach nobody.
    pub front_notice_delay: (Micros, Micros),
    /// For each tenant, its quota as a fraction of the capacity of all backends, and its demand as a fraction of the
    /// traffic.
    pub tenants: Vec<(f64, f64)>,
    /// How often a rejected client retries.
    pub retries: u32,
    /// The faults with their beginnings and ends. Of two overlapping faults of one kind, the last to begin applies.
    pub faults: Vec<(Micros, Micros, Fault)>,
}

const fn ms(ms: u64) -> Micros {
    Micros(ms * 1_000)
}

impl Scenario {
    /// Returns a scenario without faults.
    pub fn calm(proxies: u32, backends: u32, load: f64, seed: u64) -> Scenario {
        let new_class =
            |name, share, priority_weight, aim: u64, deadline: u64, repeat, work: f64| RequestClass {
                name,
                share,
                class: Class {
                    latency_objective: ms(aim),
                    latency_objective_per_work_hint: 0.0,
                    idempotency: repeat,
                    priority_weight,
                    late_weight_fraction: 0.25,
                },
                deadline: ms(deadline),
                work_ms: Distribution::LogNormal(work, 0.55),
                io_ms: Distribution::Even(20.0, 36.0),
            };
        let keyed = Idempotency::Keyed(DeduplicationScope::Group, ms(1_800));
        Scenario {
            name: "calm",
            seed,
            length: ms(20_000),
            proxies,
            configured_proxies: proxies,
            share_spread: 0.5,
            hot: 1.0,
            zone_skew: 0.0,
            backends,
            zones: 5,
            load,
            request_classes: vec![
                new_class("lot-view", 0.33, 3.0, 600, 1_200, Idempotency::Safe, 45.0),
                new_class("clock-price", 0.30, 5.0, 300, 600, Idempotency::Safe, 60.0),
                new_class("bid", 0.19, 5.0, 600, 3_000, keyed, 58.0),
                new_class("settle", 0.18, 8.0, 600, 1_500, Idempotency::NonIdempotent, 52.0),
            ],
            kinds: vec![
                Kind {
                    share: 0.6,
                    speed: Distribution::LogNormal(1.8, 0.17),
                    size: 2.0,
                    cold: (0.25, ms(16_000)),
                },
                Kind {
                    share: 0.4,
                    speed: Distribution::LogNormal(0.88, 0.12),
                    size: 1.0,
                    cold: (0.25, ms(14_000)),
                },
            ],
            common: BackendLimits {
                slots: (7, 16),
                connections: 120,
                handshake: (ms(4), 1.6),
                idle: ms(10_000),
                overload_threshold: 6.5,
                overload_slowdown: 2.8,
            },
            reports: Some(LoadReporting {
                period: ms(1_000),
                lag: ms(300),
                noise: 0.04,
                misreporting: 0.0,
                silent: 0.0,
                fixed_held: None,
            }),
            list_lag: ms(400),
            net: (ms(1), ms(4)),
            front_notice_delay: (ms(1_000), ms(3_000)),
            tenants: vec![(0.50, 0.62), (0.21, 0.26), (0.10, 0.12)],
            retries: 1,
            faults: Vec::new(),
        }
    }

    /// Returns the scenario under that name with a further fault between the two given seconds.
    pub fn with(mut self, name: &'static str, from_s: u64, to_s: u64, fault: Fault) -> Scenario {
        self.name = name;
        self.faults.push((ms(from_s * 1_000), ms(to_s * 1_000), fault));
        self
    }

    /// Returns the scenario of that name: `calm` has a burst; `herd` loses seven in ten proxies; `join` replaces six in
    /// ten backends; `split` cuts off a zone while lists are late and links lose answers; `slow` slows down all backends;
    /// `silent` makes a fifth of them silent; in `zone`, all backends of one zone die; `none` has no fault.
    pub fn named(name: &str, proxies: u32, backends: u32, seed: u64) -> Option<Scenario> {
        let calm = |load| Scenario::calm(proxies, backends, load, seed);
        Some(match name {
            "calm" => calm(0.8).with("calm", 9, 13, Fault::Burst(1.5)),
            "herd" => calm(0.7).with("herd", 8, 9, Fault::Herd(0.7)).with("herd", 7, 13, Fault::Replace(0.3)),
            "join" => calm(0.6).with("join", 6, 13, Fault::Replace(0.6)),
            "split" => calm(0.7)
                .with("split", 6, 12, Fault::Cut)
                .with("split", 5, 14, Fault::ListsLate(3.0))
                .with("split", 4, 16, Fault::Lost(0.02))
                .with("split", 4, 16, Fault::Reset(0.01)),
            "slow" => calm(0.55).with("slow", 7, 11, Fault::Slow(2.0)),
            "silent" => calm(0.7).with("silent", 6, 12, Fault::Silent(0.2)),
            "zone" => calm(0.6).with("zone", 6, 11, Fault::ZoneDies),
            "none" => calm(0.7),
            _ => return None,
        })
    }

    /// The names of the scenarios that `all` runs; [`Scenario::named`] knows `none` as well.
    pub const NAMES: [&'static str; 7] = ["calm", "herd", "join", "split", "slow", "silent", "zone"];

    /// Returns the configuration of the balancer of one proxy; `proxies` is 1 for a single module that sees all requests.
    pub(crate) fn config(&self, proxies: u32, position: u32, zone: ZoneId, live: bool) -> Config {
        let capacity = self.capacity();
        Config {
            proxies,
            position,
            zone,
            classes: self.request_classes.iter().map(|s| s.class.clone()).collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.0 * capacity }).collect(),
            over_quota_weight_fraction: 0.1,
            total_objective_weight: 0.45,
            worst_class_objective_weight: 0.3,
            cross_zone_cost: 0.03,
            discovery: DiscoveryMode::Push,
            weights_report_load: live,
            max_attempts: 5,
            min_timer_interval: Micros(1_000),
            initial_capacity_fraction: 0.14,
            slow_start_window: ms(24_000),
            overload_multiple: 3.0,
            overload_window: ms(1_000),
            ..Config::example()
        }
    }

    /// Returns the mean work of a request, ms.
    pub fn work_ms(&self) -> f64 {
        let all: f64 = self.request_classes.iter().map(|s| s.share).sum();
        self.request_classes.iter().map(|s| s.share * s.work_ms.mean()).sum::<f64>() / all
    }

    /// Returns the requests per second that all backends together can serve.
    pub fn capacity(&self) -> f64 {
        let speed: f64 = self.kinds.iter().map(|k| k.share * k.speed.mean()).sum();
        f64::from(self.backends) * speed * 1e3 / self.work_ms()
    }

    /// Returns the fraction of the traffic that each proxy gets.
    pub(crate) fn traffic_shares(&self) -> Vec<f64> {
        let mut rng = SeededRng::named(self.seed, "front");
        let law = Distribution::LogNormal(1.0, self.share_spread.max(1e-9));
        let mut traffic_shares: Vec<f64> = (0..self.proxies).map(|_| law.sample(&mut rng)).collect();
        let last = f64::from(self.zones.saturating_sub(1).max(1));
        for (position, part) in (0u32..).zip(&mut traffic_shares) {
            let zone = f64::from(position % self.zones);
            *part *= 1.0 + self.zone_skew * (2.0 * zone / last - 1.0);
        }
        let mean = traffic_shares.iter().sum::<f64>() / traffic_shares.len().max(1) as f64;
        if self.hot != 1.0 {
            traffic_shares[0] = mean * self.hot;
        }
        let all: f64 = traffic_shares.iter().sum();
        traffic_shares.iter().map(|p| p / all).collect()
    }

    /// Returns the index of the kind, and the power with its warm-up, of the backend of that number.
    pub(crate) fn draw_backend(&self, number: u32) -> (usize, CpuCapacity) {
        let mut rng = SeededRng::named(self.seed, &format!("box {number}"));
        let mut left = rng.uniform();
        let last = self.kinds.len() - 1;
        let kind = self.kinds.iter().position(|k| {
            left -= k.share;
            left < 0.0
        });
        let kind = kind.unwrap_or(last);
        let k = &self.kinds[kind];
        let (initial_capacity_fraction, ramp) = k.cold;
        (
            kind,
            CpuCapacity {
                cores: 1,
                speed: k.speed.sample(&mut rng).max(0.1),
                initial_capacity_fraction,
                ramp,
            },
        )
    }
}

#[cfg(test)]
mod tests;
