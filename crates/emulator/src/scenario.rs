//! What a scenario is made of.

use shaletide_balancer::{Class, Config, DiscoveryMode, Tenant};
use shaletide_testkit::{CpuCapacity, Distribution, SeededRng};
use shaletide_types::*;

/// A sort of request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Its part of all.
    pub share: f64,
    /// What the balancer is configured with for it.
    pub class: Class,
    /// A client waits so long at most.
    pub deadline: Micros,
    /// Work, ms of a standard core.
    pub work_ms: Distribution,
    /// Waiting that needs no core, ms.
    pub io_ms: Distribution,
}

/// A kind of backend.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its part of all backends.
    pub share: f64,
    /// The speed of its core; each backend draws its own.
    pub speed: Distribution,
    /// The list's size of one that holds nothing.
    pub size: f64,
    /// The part of its speed that a backend has as it starts, and how long it takes to warm.
    pub cold: (f64, Micros),
}

/// What backends have in common.
#[derive(Clone, Debug)]
pub struct BackendLimits {
    /// Requests in service and waiting, at most.
    pub slots: (u32, u32),
    /// Connections, at most.
    pub connections: u32,
    /// A new one takes so long, and costs so much work.
    pub handshake: (Micros, f64),
    /// One that is idle for so long is closed.
    pub idle: Micros,
    /// More requests than this in the mean over some time make it slow ...
    pub crowded: f64,
    /// ... by this factor, until it was mostly idle for some seconds.
    pub slower: f64,
}

/// What the backends say of their load.
#[derive(Clone, Debug)]
pub struct LoadReporting {
    /// It is renewed so often.
    pub period: Micros,
    /// It is so old when it can first be read.
    pub lag: Micros,
    /// Each figure is off by this part at most.
    pub noise: f64,
    /// This part of the backends says what it likes.
    pub liars: f64,
    /// This part says nothing.
    pub silent: f64,
    /// All say that they hold just so many.
    pub all_say: Option<f64>,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// So many times the usual traffic.
    Burst(f64),
    /// This part of the proxies dies and is back, with nothing, a second later.
    Herd(f64),
    /// This part of the backends is replaced, evenly over the time, by cold ones; the old ones drain.
    Replace(f64),
    /// All backends are so many times slower.
    Slow(f64),
    /// This part of the backends takes requests and never answers.
    Silent(f64),
    /// One zone's proxies and backends are cut off from all others, both ways. No connection comes up across it; what
    /// is sent on one that was there arrives after the cut, and answers on their way are lost.
    Cut,
    /// All backends of one zone die, and return cold at the end.
    ZoneDies,
    /// No proxy hears anything of the list, weights included.
    ListsStop,
    /// News of the list, weights included, takes so many seconds more.
    ListsLate(f64),
    /// This part of the answers is lost.
    Lost(f64),
    /// This part of the connections breaks under its request.
    Reset(f64),
    /// The front deals nothing to this part of the proxies, and all to the others.
    Quiet(f64),
}

impl Fault {
    /// By its name and how much of it there is.
    fn named(name: &str, much: Option<f64>) -> Option<Fault> {
        let part = much.filter(|m| (0.0..=1.0).contains(m));
        let factor = much.filter(|m| (0.01..=100.0).contains(m));
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
            "cut" if much.is_none() => Fault::Cut,
            "zone-dies" if much.is_none() => Fault::ZoneDies,
            "lists-stop" if much.is_none() => Fault::ListsStop,
            _ => return None,
        })
    }
}

/// A fault and its time, from the start of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// It begins then ...
    pub from: Micros,
    /// ... and ends then.
    pub to: Micros,
    /// What goes wrong.
    pub fault: Fault,
}

impl std::str::FromStr for PlannedFault {
    type Err = String;

    fn from_str(text: &str) -> Result<PlannedFault, String> {
        let second = |text: &str| text.parse::<u32>().ok().map(|s| ms(u64::from(s) * 1_000));
        let read = || {
            let (what, when) = text.split_once('@')?;
            let (from, to) = when.split_once('-')?;
            let (from, to) = (second(from)?, second(to)?);
            let (name, much) = match what.split_once('=') {
                Some((name, much)) => (name, Some(much.parse().ok()?)),
                None => (what, None),
            };
            let fault = Fault::named(name, much)?;
            (from < to).then_some(PlannedFault { from, to, fault })
        };
        read().ok_or_else(|| {
            "not NAME@FROM-TO or NAME=NUMBER@FROM-TO with cut, zone-dies, lists-stop, lists-late, lost, reset, burst, \
             herd, quiet, replace, slow or silent"
                .into()
        })
    }
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Of all its random numbers.
    pub seed: u64,
    /// How long it lasts.
    pub length: Micros,
    /// Proxies that run.
    pub proxies: u32,
    /// The number of proxies in the configuration; by default as many as run.
    pub listed_proxies: u32,
    /// How unevenly the front deals: 0 is even, 1 gives some several times the mean. One proxy may be given so many
    /// times the mean by `hot`.
    pub uneven: f64,
    /// The first proxy gets so many times the mean; 1 is as the others.
    pub hot: f64,
    /// The zones' traffic, by their numbers, from 1 less this to 1 and this times an even part.
    pub zone_skew: f64,
    /// Backends.
    pub backends: u32,
    /// Zones.
    pub zones: u32,
    /// Traffic as a part of what all backends can do.
    pub load: f64,
    /// The sorts of requests.
    pub sorts: Vec<RequestClass>,
    /// The kinds of backends.
    pub kinds: Vec<Kind>,
    /// What backends have in common.
    pub common: BackendLimits,
    /// Load reports, in responses and as the list's weights; none where backends say nothing.
    pub reports: Option<LoadReporting>,
    /// News of the list comes so late.
    pub list_lag: Micros,
    /// One way between proxy and backend, and more between zones.
    pub net: (Micros, Micros),
    /// The front notices that a proxy died after this time at least and at most; until then clients that it deals
    /// there find nobody.
    pub front_notices: (Micros, Micros),
    /// Tenants' quotas, as parts of what all backends can do; what they ask for as parts of the traffic.
    pub tenants: Vec<(f64, f64)>,
    /// A client that is rejected comes again so often.
    pub retries: u32,
    /// What goes wrong, from when to when. Of two of one sort at once the last to begin counts.
    pub faults: Vec<(Micros, Micros, Fault)>,
}

const fn ms(ms: u64) -> Micros {
    Micros(ms * 1_000)
}

impl Scenario {
    /// A scenario without faults.
    pub fn calm(proxies: u32, backends: u32, load: f64, seed: u64) -> Scenario {
        let sort = |name, share, priority_weight, aim: u64, deadline: u64, effect, work: f64| RequestClass {
            name,
            share,
            class: Class {
                latency_objective: ms(aim),
                latency_objective_per_work_hint: 0.0,
                idempotency: effect,
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
            listed_proxies: proxies,
            uneven: 0.5,
            hot: 1.0,
            zone_skew: 0.0,
            backends,
            zones: 5,
            load,
            sorts: vec![
                sort("lot-view", 0.33, 3.0, 600, 1_200, Idempotency::Safe, 45.0),
                sort("clock-price", 0.30, 5.0, 300, 600, Idempotency::Safe, 60.0),
                sort("bid", 0.19, 5.0, 600, 3_000, keyed, 58.0),
                sort("settle", 0.18, 8.0, 600, 1_500, Idempotency::NonIdempotent, 52.0),
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
                crowded: 6.5,
                slower: 2.8,
            },
            reports: Some(LoadReporting {
                period: ms(1_000),
                lag: ms(300),
                noise: 0.04,
                liars: 0.0,
                silent: 0.0,
                all_say: None,
            }),
            list_lag: ms(400),
            net: (ms(1), ms(4)),
            front_notices: (ms(1_000), ms(3_000)),
            tenants: vec![(0.50, 0.62), (0.21, 0.26), (0.10, 0.12)],
            retries: 1,
            faults: Vec::new(),
        }
    }

    /// The same with a fault from one second to another.
    pub fn with(mut self, name: &'static str, from_s: u64, to_s: u64, fault: Fault) -> Scenario {
        self.name = name;
        self.faults.push((ms(from_s * 1_000), ms(to_s * 1_000), fault));
        self
    }

    /// A scenario by its name: `calm` has a burst, `herd` loses seven in ten proxies, `join` gets six in ten backends anew,
    /// `split` cuts a zone off while lists come late and links lose, `slow` has all backends slow, `silent` a fifth of
    /// them silent, and on `zone` those of one zone die; `none` has no fault.
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

    /// The names that [`Scenario::named`] knows.
    pub const NAMES: [&'static str; 7] = ["calm", "herd", "join", "split", "slow", "silent", "zone"];

    /// The configuration of one proxy's balancer; `proxies` is 1 for one that sees all.
    pub(crate) fn config(&self, proxies: u32, position: u32, zone: ZoneId, live: bool) -> Config {
        let capacity = self.capacity();
        Config {
            proxies,
            position,
            zone,
            classes: self.sorts.iter().map(|s| s.class.clone()).collect(),
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

    /// Work of a request in the mean, ms.
    pub fn work_ms(&self) -> f64 {
        let all: f64 = self.sorts.iter().map(|s| s.share).sum();
        self.sorts.iter().map(|s| s.share * s.work_ms.mean()).sum::<f64>() / all
    }

    /// Requests a second that all backends together could serve.
    pub fn capacity(&self) -> f64 {
        let speed: f64 = self.kinds.iter().map(|k| k.share * k.speed.mean()).sum();
        f64::from(self.backends) * speed * 1e3 / self.work_ms()
    }

    /// Each proxy's part of the traffic.
    pub(crate) fn parts(&self) -> Vec<f64> {
        let mut rng = SeededRng::named(self.seed, "front");
        let law = Distribution::LogNormal(1.0, self.uneven.max(1e-9));
        let mut parts: Vec<f64> = (0..self.proxies).map(|_| law.sample(&mut rng)).collect();
        let last = f64::from(self.zones.saturating_sub(1).max(1));
        for (position, part) in (0u32..).zip(&mut parts) {
            let zone = f64::from(position % self.zones);
            *part *= 1.0 + self.zone_skew * (2.0 * zone / last - 1.0);
        }
        let mean = parts.iter().sum::<f64>() / parts.len().max(1) as f64;
        if self.hot != 1.0 {
            parts[0] = mean * self.hot;
        }
        let all: f64 = parts.iter().sum();
        parts.iter().map(|p| p / all).collect()
    }

    /// The kind, power and warm-up of the backend of that number.
    pub(crate) fn draw_box(&self, number: u32) -> (usize, CpuCapacity) {
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
