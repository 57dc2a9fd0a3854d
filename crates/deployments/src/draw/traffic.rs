//! Draws load, clients, classes, tenants and keys.

use super::names;
use crate::model::{
    Affinity, Backoff, Class, Clients, Effect, Hints, KeyGroup, Kind, Load, LoadShape, Network, Range,
    Tenant, WanderingLoad, WorkLaw, WorthUnit,
};
use crate::rng::{round, SeededRng};

/// Minimum work of a request per core of the largest machine: with less, more cores would serve more requests than the
/// bench runs.
const MIN_WORK_MS_PER_CORE: f64 = 4.0;
/// A latency objective is at least this many times the response time of an idle backend.
const MIN_AIM_FACTOR: f64 = 4.0;
/// Minimum latency objective.
const MIN_AIM_MS: f64 = 60.0;
/// Maximum latency objective, unless the minimum factor requires more.
const MAX_AIM_MS: f64 = 3_000.0;
/// Maximum deadline, unless the latency objective is later.
const MAX_DEADLINE_MS: f64 = 6_000.0;
/// Latency objectives and deadlines are multiples of this.
const AIM_STEP_MS: f64 = 10.0;
/// Shares of tenants are multiples of 1/100.
const SHARE_STEPS: u32 = 100;

/// Draws one to five classes that an idle backend serves well within their latency objectives.
pub fn classes(rng: &mut SeededRng, kinds: &[Kind], net: &Network) -> Vec<Class> {
    let count = rng.integer(1, 5) as usize;
    let most_cores = kinds.iter().map(|kind| kind.cores).max().unwrap_or(1);
    let least_work = MIN_WORK_MS_PER_CORE * f64::from(most_cores);
    let usual_work = rng.log_uniform(least_work, least_work * 4.0);
    let slowest = kinds.iter().map(|kind| kind.speed.low).fold(f64::INFINITY, f64::min);
    let round_trip_ms = 2.0 * (net.cross_ms.high + net.client_ms.high);
    rng.sample(&names::CLASSES, count)
        .into_iter()
        .map(|name| {
            let work_ms = rng.range(usual_work, usual_work * 2.5);
            let io_ms = rng.range_from_zero(1.5 * work_ms.low);
            let idle_ms = work_ms.high / slowest + io_ms.high + round_trip_ms;
            class(rng, name, work_ms, io_ms, idle_ms)
        })
        .collect()
}

fn class(rng: &mut SeededRng, name: &str, work_ms: Range<f64>, io_ms: Range<f64>, idle_ms: f64) -> Class {
    let least_aim = (MIN_AIM_FACTOR * idle_ms).max(MIN_AIM_MS);
    let aim_ms = rng.log_uniform(least_aim, (3.0 * least_aim).min(MAX_AIM_MS.max(least_aim)));
    let deadline_ms = (aim_ms * rng.uniform(1.0, 4.0)).min(MAX_DEADLINE_MS.max(aim_ms));
    let effect = rng.pick(&[Effect::Safe, Effect::Keyed, Effect::Unsafe]);
    let keyed = effect == Effect::Keyed;
    Class {
        name: name.into(),
        share: rng.range(0.1, 0.5),
        work_ms,
        io_ms,
        dist: work_laws(rng),
        cv: rng.range(0.2, 1.4),
        attempt_noise: rng.range(0.05, 0.6),
        aim_ms: whole_steps(aim_ms),
        deadline_ms: whole_steps(deadline_ms),
        worth: rng.log_uniform(0.3, 8.0),
        late_worth: rng.uniform(0.0, 0.9),
        effect,
        group: keyed.then(|| rng.pick(&[KeyGroup::All, KeyGroup::Zone, KeyGroup::Cell])),
        window_ms: keyed.then(|| whole_steps(rng.log_uniform(150.0, 6_000.0))),
    }
}

fn work_laws(rng: &mut SeededRng) -> Vec<WorkLaw> {
    let laws = [WorkLaw::Fixed, WorkLaw::Exp, WorkLaw::Lognormal, WorkLaw::Pareto];
    let count = rng.integer(1, 2) as usize;
    rng.sample(&laws, count)
}

fn whole_steps(value_ms: f64) -> u32 {
    ((value_ms / AIM_STEP_MS).ceil() * AIM_STEP_MS) as u32
}

/// Draws no tenants, or two to five whose shares add up to 1.
pub fn tenants(rng: &mut SeededRng) -> Vec<Tenant> {
    if rng.chance(0.2) {
        return Vec::new();
    }
    let count = rng.integer(2, 5);
    let mut rest = SHARE_STEPS;
    let mut tenants = Vec::new();
    for (number, name) in (1..=count).zip(rng.sample(&names::TENANTS, count as usize)) {
        let others = count - number;
        let steps = if others == 0 { rest } else { rng.integer(5, rest - others * 5) };
        rest -= steps;
        let share = f64::from(steps) / f64::from(SHARE_STEPS);
        tenants.push(Tenant { name: name.into(), share, usage: rng.range(0.5, 1.6) });
    }
    tenants
}

/// Draws the traffic for that many zones.
pub fn load(rng: &mut SeededRng, zones: usize) -> Load {
    let shapes = [LoadShape::Steady, LoadShape::Bursty, LoadShape::Ramp, LoadShape::Wave];
    let shape_count = rng.integer(1, 3) as usize;
    let hints = rng.pick(&[Hints::None, Hints::None, Hints::Good, Hints::Rough]);
    let hinted = hints != Hints::None;
    Load {
        quiet: rng.range(0.2, 0.5),
        trouble: rng.range(0.4, 0.8),
        overload: Range { low: 1.0, high: rng.uniform(1.1, 1.4) },
        big: rng.range(0.4, 0.8),
        shape: rng.sample(&shapes, shape_count),
        swing: rng.range(0.05, 0.35),
        zone_skew: if zones > 1 { rng.range_from_zero(0.45) } else { Range { low: 0.0, high: 0.0 } },
        stream_cv: rng.range(0.2, 1.2),
        keys: if rng.chance(0.5) { rng.integer(100, 3_000) } else { 0 },
        key_zipf: rng.range(0.5, 1.1),
        hints,
        worth_by: if hinted { WorthUnit::Work } else { rng.pick(&[WorthUnit::Request, WorthUnit::Work]) },
        over_share_worth: rng.uniform(0.05, 0.6),
        quota_of_capacity: rng.range(0.55, 1.1),
        wandering: rng.chance(0.3).then(|| wandering_load(rng)),
    }
}

fn wandering_load(rng: &mut SeededRng) -> WanderingLoad {
    let low = rng.uniform(0.8, 0.95);
    WanderingLoad { share: rng.uniform(0.1, 0.5), load: Range { low, high: round(low + 0.15) } }
}

/// Draws the retries of clients.
pub fn clients(rng: &mut SeededRng) -> Clients {
    let backoff_count = rng.integer(1, 3) as usize;
    Clients {
        retries: Range { low: 0.0, high: rng.uniform(0.5, 3.99) },
        try_share: rng.range(0.34, 1.0),
        backoff: rng.sample(&[Backoff::None, Backoff::Fixed, Backoff::Exp], backoff_count),
        backoff_ms: rng.range(5.0, 600.0),
        honour: rng.range_from_zero(1.0),
        max_retry_after_ms: rng.integer(2, 50) * 100,
        impatient: rng.range_from_zero(0.04),
        marks_retry: rng.chance(0.5),
    }
}

/// Draws, for some sites with keys, the savings on backends that recently served the same key.
pub fn affinity(rng: &mut SeededRng, keys: u32) -> Option<Affinity> {
    let gains = keys > 0 && rng.chance(0.5);
    gains.then(|| Affinity {
        affinity_gain: rng.uniform(0.05, 0.4),
        affinity_s: rng.range(2.0, 10.0),
        affinity_keys_per_core: rng.range(20.0, 200.0),
    })
}
