//! A backend of the emulated fleet: the station of `testkit`, and around it what a crowd does to it, the connections that
//! it takes, and what it says of its load.

use crate::scenario::{BackendLimits, LoadReporting};
use shaletide_testkit::{Admission, CpuCapacity, Demand, SeededRng, ServiceEvent, ServiceModel};
use shaletide_types::*;
use std::collections::VecDeque;

/// Memory of how many it holds, s.
const CROWD_S: f64 = 2.0;
/// It is looked at so often.
pub const LOOK: Micros = Micros(100_000);
/// A crowded one is itself again when it was busy for less than this part over [`REST_S`], or after [`MOST_S`].
const REST_BUSY: f64 = 0.3;
const REST_S: f64 = 3.0;
const MOST_S: f64 = 24.0;

/// So much of what it said is kept: lists that come late tell of it.
const SAID: usize = 16;

/// What it says, and when that can be read.
#[derive(Clone, Copy, Debug)]
struct Said {
    from: Time,
    report: LoadReport,
    /// What it holds.
    held: f64,
}

pub struct SimulatedBackend {
    pub station: ServiceModel,
    pub power: CpuCapacity,
    pub booted: Option<Time>,
    /// Counts its lives: connections of an earlier one are no more.
    pub life: u32,
    /// Down: nothing listens.
    pub dead: bool,
    common: BackendLimits,
    reports: Option<LoadReporting>,
    rng: SeededRng,
    lies: bool,
    mute: bool,
    crowd: f64,
    busy: f64,
    crowded_since: Option<Time>,
    slowed: f64,
    /// Takes requests and never answers.
    pub silent: bool,
    pub connections: u32,
    said: VecDeque<Said>,
    next_report: Time,
    served: (f64, f64),
    /// Times that it was crowded.
    pub crowdings: u32,
}

impl SimulatedBackend {
    pub fn new(
        number: u32, seed: u64, power: CpuCapacity, booted: Option<Time>, common: &BackendLimits,
        reports: &Option<LoadReporting>,
    ) -> SimulatedBackend {
        let mut rng = SeededRng::named(seed, &format!("site {number}"));
        let (lies, mute) = (rng.uniform(), rng.uniform());
        let first = Micros((rng.uniform() * reports.as_ref().map_or(1.0, |r| r.period.0 as f64)) as u64);
        SimulatedBackend {
            station: ServiceModel::new(power, booted, common.slots.0, common.slots.1),
            power,
            booted,
            life: 0,
            dead: false,
            common: common.clone(),
            lies: reports.as_ref().is_some_and(|r| lies < r.liars),
            mute: reports.as_ref().is_some_and(|r| mute < r.silent),
            reports: reports.clone(),
            rng,
            crowd: 0.0,
            busy: 0.0,
            crowded_since: None,
            slowed: 1.0,
            silent: false,
            connections: 0,
            said: VecDeque::new(),
            next_report: booted.unwrap_or_default() + first,
            served: (0.0, 0.0),
            crowdings: 0,
        }
    }

    /// All that it holds is lost, and so are its connections.
    pub fn dies(&mut self) {
        (self.dead, self.connections, self.life) = (true, 0, self.life + 1);
        self.station = ServiceModel::new(self.power, self.booted, self.common.slots.0, self.common.slots.1);
        (self.crowd, self.busy, self.crowded_since, self.served) = (0.0, 0.0, None, (0.0, 0.0));
    }

    /// It is back, and cold.
    pub fn returns(&mut self, now: Time) {
        (self.dead, self.booted) = (false, Some(now));
        self.said.clear();
        self.station = ServiceModel::new(self.power, self.booted, self.common.slots.0, self.common.slots.1);
        self.apply(now);
    }

    /// It is slow from crowding.
    pub fn crowded(&self) -> bool {
        self.crowded_since.is_some()
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

    /// One was served that came so long ago.
    pub fn told_served(&mut self, took: Micros) {
        self.served = (self.served.0 + took.secs(), self.served.1 + 1.0);
    }

    /// From now on so many times slower, for a reason of all.
    pub fn slow(&mut self, now: Time, factor: f64) {
        self.slowed = factor;
        self.apply(now);
    }

    fn apply(&mut self, now: Time) {
        let crowd = if self.crowded_since.is_some() { self.common.slower } else { 1.0 };
        self.station.set_slowdown(now, self.slowed * crowd);
    }

    /// Looks at itself, once every [`LOOK`].
    pub fn look(&mut self, now: Time) {
        if self.dead {
            return;
        }
        let held = self.held();
        let step = |memory: f64| 1.0 - (-LOOK.secs() / memory).exp();
        self.crowd += (held - self.crowd) * step(CROWD_S);
        self.busy += (f64::from(held > 0.0) - self.busy) * step(REST_S / 2.0);
        match self.crowded_since {
            None if self.crowd > self.common.crowded => {
                self.crowded_since = Some(now);
                self.crowdings += 1;
                self.apply(now);
            }
            Some(since) => {
                let age = (now - since).secs();
                if age > MOST_S || age > REST_S && self.busy < REST_BUSY {
                    (self.crowded_since, self.crowd) = (None, 0.0);
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
        let lie = [f64::NAN, -5.0, 1e300, 0.0, f64::INFINITY, 1e6][(self.rng.next_u64() % 6) as usize];
        let report = match () {
            () if self.lies => {
                LoadReport { in_flight: Some(lie), errors_per_s: Some(lie), latency_ms: Some(lie) }
            }
            () if self.mute => LoadReport::default(),
            () if reports.all_say.is_some() => LoadReport { in_flight: reports.all_say, ..honest },
            () => honest,
        };
        let held = if self.lies { lie.clamp(0.0, 1e6) } else { reports.all_say.unwrap_or(held * noise) };
        self.said.push_back(Said { from: now + reports.lag, report, held });
        (self.served, self.next_report) = ((0.0, 0.0), now + reports.period);
        while self.said.len() > SAID {
            self.said.pop_front();
        }
    }

    fn readable(&self, now: Time) -> Option<&Said> {
        self.said.iter().rev().find(|s| s.from <= now)
    }

    /// What stands in an answer now.
    pub fn report(&self, now: Time) -> Option<LoadReport> {
        self.readable(now).map(|s| s.report)
    }

    /// The list's weight of a backend of that size, in thousandths.
    pub fn weight(&self, now: Time, size: f64) -> u32 {
        match (&self.reports, self.readable(now)) {
            (None, _) => 0,
            (Some(_), _) if self.mute => 0,
            (Some(_), said) => (size * 1e3 / (1.0 + said.map_or(0.0, |s| s.held))).round() as u32,
        }
    }
}
