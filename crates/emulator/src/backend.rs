//! A backend of the emulated fleet: the station of `testkit` with a slowdown under overload, bounded connections and load
//! reports.

use crate::scenario::{BackendLimits, LoadReporting};
use shaletide_testkit::{Admission, CpuCapacity, Demand, SeededRng, ServiceEvent, ServiceModel};
use shaletide_types::*;
use std::collections::VecDeque;

/// The time constant over which the number of requests held is averaged, s.
const HELD_AVERAGE_S: f64 = 2.0;
/// The interval at which a backend updates its averages and its load report.
pub const OBSERVATION_PERIOD: Micros = Micros(100_000);
/// An overloaded backend recovers when it was busy for less than this fraction over [`RECOVERY_S`] seconds, or after
/// [`MAX_OVERLOAD_S`] seconds.
const RECOVERY_BUSY_FRACTION: f64 = 0.3;
const RECOVERY_S: f64 = 3.0;
const MAX_OVERLOAD_S: f64 = 24.0;

/// The number of reports kept: lists that are late carry older ones.
const KEPT_REPORTS: usize = 16;

/// A load report and the time from which it can be read.
#[derive(Clone, Copy, Debug)]
struct PublishedReport {
    from: Time,
    report: LoadReport,
    /// The requests held, as reported.
    held: f64,
}

pub struct SimulatedBackend {
    pub station: ServiceModel,
    pub power: CpuCapacity,
    pub booted: Option<Time>,
    /// Counts the starts of the backend: connections to an earlier epoch no longer exist.
    pub epoch: u32,
    /// Whether the process is down, so that nothing listens.
    pub dead: bool,
    common: BackendLimits,
    reports: Option<LoadReporting>,
    rng: SeededRng,
    misreports: bool,
    unreporting: bool,
    mean_held: f64,
    busy: f64,
    overloaded_since: Option<Time>,
    slowdown: f64,
    /// Whether the backend accepts requests and never answers.
    pub silent: bool,
    pub connections: u32,
    published: VecDeque<PublishedReport>,
    next_report: Time,
    served: (f64, f64),
    /// How often the backend became overloaded.
    pub overloads: u32,
}

impl SimulatedBackend {
    pub fn new(
        number: u32, seed: u64, power: CpuCapacity, booted: Option<Time>, common: &BackendLimits,
        reports: &Option<LoadReporting>,
    ) -> SimulatedBackend {
        let mut rng = SeededRng::named(seed, &format!("site {number}"));
        let (misreport_draw, silence_draw) = (rng.uniform(), rng.uniform());
        let first = Micros((rng.uniform() * reports.as_ref().map_or(1.0, |r| r.period.0 as f64)) as u64);
        SimulatedBackend {
            station: ServiceModel::new(power, booted, common.slots.0, common.slots.1),
            power,
            booted,
            epoch: 0,
            dead: false,
            common: common.clone(),
            misreports: reports.as_ref().is_some_and(|r| misreport_draw < r.misreporting),
            unreporting: reports.as_ref().is_some_and(|r| silence_draw < r.silent),
            reports: reports.clone(),
            rng,
            mean_held: 0.0,
            busy: 0.0,
            overloaded_since: None,
            slowdown: 1.0,
            silent: false,
            connections: 0,
            published: VecDeque::new(),
            next_report: booted.unwrap_or_default() + first,
            served: (0.0, 0.0),
            overloads: 0,
        }
    }

    /// Kills the backend: its requests and its connections are lost.
    pub fn kill(&mut self) {
        (self.dead, self.connections, self.epoch) = (true, 0, self.epoch + 1);
        self.station = ServiceModel::new(self.power, self.booted, self.common.slots.0, self.common.slots.1);
        (self.mean_held, self.busy, self.overloaded_since, self.served) = (0.0, 0.0, None, (0.0, 0.0));
    }

    /// Restarts the backend, cold.
    pub fn restart(&mut self, now: Time) {
        (self.dead, self.booted) = (false, Some(now));
        self.published.clear();
        self.station = ServiceModel::new(self.power, self.booted, self.common.slots.0, self.common.slots.1);
        self.apply(now);
    }

    /// Whether the backend is slow because of overload.
    pub fn overloaded(&self) -> bool {
        self.overloaded_since.is_some()
    }

    pub fn held(&self) -> f64 {
        (self.station.in_service() + self.station.queued()) as f64
    }

    pub fn arrive(&mut self, now: Time, id: u64, demand: Demand) -> Admission {
        self.station.arrive(now, id, demand)
    }

    pub fn advance(&mut self, now: Time) -> Vec<ServiceEvent> {
        self.station.advance(now)
    }

    /// Records that a request was served, and the time since it was sent.
    pub fn record_served(&mut self, took: Micros) {
        self.served = (self.served.0 + took.secs(), self.served.1 + 1.0);
    }

    /// Slows down the backend by a factor that applies to all backends, in addition to that of overload.
    pub fn slow(&mut self, now: Time, factor: f64) {
        self.slowdown = factor;
        self.apply(now);
    }

    fn apply(&mut self, now: Time) {
        let overload_factor =
            if self.overloaded_since.is_some() { self.common.overload_slowdown } else { 1.0 };
        self.station.set_slowdown(now, self.slowdown * overload_factor);
    }

    /// Updates the averages, the overload state and the load report; called once every [`OBSERVATION_PERIOD`].
    pub fn observe(&mut self, now: Time) {
        if self.dead {
            return;
        }
        let held = self.held();
        let step = |memory: f64| 1.0 - (-OBSERVATION_PERIOD.secs() / memory).exp();
        self.mean_held += (held - self.mean_held) * step(HELD_AVERAGE_S);
        self.busy += (f64::from(held > 0.0) - self.busy) * step(RECOVERY_S / 2.0);
        match self.overloaded_since {
            None if self.mean_held > self.common.overload_threshold => {
                self.overloaded_since = Some(now);
                self.overloads += 1;
                self.apply(now);
            }
            Some(since) => {
                let age = (now - since).secs();
                if age > MAX_OVERLOAD_S || age > RECOVERY_S && self.busy < RECOVERY_BUSY_FRACTION {
                    (self.overloaded_since, self.mean_held) = (None, 0.0);
                    self.apply(now);
                }
            }
            None => {}
        }
        let Some(reports) = self.reports.as_ref().filter(|_| now >= self.next_report) else { return };
        let noise = 1.0 + (self.rng.uniform() * 2.0 - 1.0) * reports.noise;
        let latency = if self.served.1 > 0.0 { self.served.0 / self.served.1 * 1e3 } else { 0.0 };
        let honest = LoadReport {
            in_flight: Some(held * noise),
            errors_per_s: Some(0.0),
            latency_ms: Some(latency * noise),
        };
        let bogus = [f64::NAN, -5.0, 1e300, 0.0, f64::INFINITY, 1e6][(self.rng.next_u64() % 6) as usize];
        let report = match () {
            () if self.misreports => {
                LoadReport { in_flight: Some(bogus), errors_per_s: Some(bogus), latency_ms: Some(bogus) }
            }
            () if self.unreporting => LoadReport::default(),
            () if reports.fixed_held.is_some() => LoadReport { in_flight: reports.fixed_held, ..honest },
            () => honest,
        };
        let held =
            if self.misreports { bogus.clamp(0.0, 1e6) } else { reports.fixed_held.unwrap_or(held * noise) };
        self.published.push_back(PublishedReport { from: now + reports.lag, report, held });
        (self.served, self.next_report) = ((0.0, 0.0), now + reports.period);
        while self.published.len() > KEPT_REPORTS {
            self.published.pop_front();
        }
    }

    fn readable(&self, now: Time) -> Option<&PublishedReport> {
        self.published.iter().rev().find(|s| s.from <= now)
    }

    /// Returns the load report that an answer carries now.
    pub fn report(&self, now: Time) -> Option<LoadReport> {
        self.readable(now).map(|s| s.report)
    }

    /// Returns the weight in the list, in thousandths, of a backend of that size.
    pub fn weight(&self, now: Time, size: f64) -> u32 {
        match (&self.reports, self.readable(now)) {
            (None, _) => 0,
            (Some(_), _) if self.unreporting => 0,
            (Some(_), published) => (size * 1e3 / (1.0 + published.map_or(0.0, |s| s.held))).round() as u32,
        }
    }
}
