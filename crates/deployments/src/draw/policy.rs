//! Draws runs, the network, discovery, what a proxy may do, and how it is scored.

use super::names;
use crate::model::{
    Allowances, Day, Discovery, DiscoveryMode, Fault, Front, FrontEntry, Goal, Network, Prices, Range, Rules,
    Severity,
};
use crate::rng::{round, SeededRng};

/// Draws the length, the clock and the number of faults of a run.
pub fn day(rng: &mut SeededRng) -> Day {
    let in_step = rng.chance(0.5);
    Day {
        length_s: Range { low: rng.uniform(40.0, 45.0), high: rng.uniform(50.0, 60.0) },
        tick_ms: rng.pick(&[1, 2, 5, 10]),
        max_requests: rng.integer(7, 10) * 10_000,
        troubles: Range { low: 1.0, high: rng.pick(&[1.99, 2.99, 3.99]) },
        in_step,
        start_spread_ms: if in_step { 0 } else { rng.integer(20, 300) },
    }
}

/// Draws one to four zones; delays between zones are longer than within one.
pub fn network(rng: &mut SeededRng) -> Network {
    let zones = rng.integer(1, 4) as usize;
    let same_ms = rng.range(0.05, 0.9);
    let factor = rng.log_uniform(1.5, 12.0);
    Network {
        zones: names::ZONES[..zones].iter().map(|zone| (*zone).to_string()).collect(),
        same_ms,
        cross_ms: Range { low: round(same_ms.low * factor), high: round(same_ms.high * factor) },
        client_ms: rng.range(0.1, 3.0),
        jitter: rng.range(0.05, 0.5),
        server_skew: rng.range_from_zero(0.5),
    }
}

/// Draws the front ahead of the proxies.
pub fn front(rng: &mut SeededRng) -> Front {
    Front { entry: FrontEntry::Front, notice_s: rng.range(0.8, 4.0) }
}

/// Draws discovery by push or by poll.
pub fn discovery(rng: &mut SeededRng) -> Discovery {
    let mode = rng.pick(&[DiscoveryMode::Push, DiscoveryMode::Ask]);
    let pushed = mode == DiscoveryMode::Push;
    let asked = !pushed;
    Discovery {
        mode,
        notice_s: rng.range(0.6, 5.0),
        silent_notice_s: rng.range(3.5, 12.0),
        add_s: rng.range(0.15, 2.3),
        period_ms: pushed.then(|| rng.range(150.0, 1_500.0)),
        spread_ms: pushed.then(|| rng.range(8.0, 400.0)),
        capacity: asked.then(|| rng.range(1.0, 3.0)),
        all_call_s: asked.then(|| rng.range(2.0, 9.0)),
        call_lines: asked.then(|| rng.range(20.0, 80.0)),
        timeout_ms: asked.then(|| rng.integer(10, 25) * 100),
    }
}

/// Draws what a proxy may do.
pub fn allowances(rng: &mut SeededRng) -> Allowances {
    Allowances {
        probes: rng.chance(0.7),
        peers: false,
        cancel: rng.chance(0.6),
        second_copies: rng.chance(0.6),
        retry_after: rng.chance(0.5),
        max_attempts: rng.integer(1, 6),
        max_open: rng.integer(4, 20) * 1_000,
        cpu_ms_per_s: rng.integer(6, 50) * 10,
    }
}

/// Draws the limits; a run that exceeds one fails.
pub fn rules(rng: &mut SeededRng) -> Rules {
    Rules {
        drain_grace_ms: rng.log_uniform(300.0, 3_000.0) as u32,
        fall_multiple: rng.uniform(2.0, 5.0),
        fall_ms: rng.integer(5, 30) * 100,
    }
}

/// Draws the weights of the score in steps of 0.05.
pub fn goal(rng: &mut SeededRng, tenants: bool) -> Goal {
    let twentieths = |steps: u32| f64::from(steps) / 20.0;
    let whole = rng.integer(8, 14);
    let worst_window = rng.integer(1, 3);
    let worst_tenant = if tenants { rng.integer(0, 2) } else { 0 };
    let worst_class = 20 - whole - worst_window - worst_tenant;
    Goal {
        whole: twentieths(whole),
        worst_window: twentieths(worst_window),
        worst_class: twentieths(worst_class),
        worst_tenant: twentieths(worst_tenant),
    }
}

/// Draws the deductions; some are 0 in some deployments.
pub fn prices(rng: &mut SeededRng) -> Prices {
    Prices {
        cross_zone: price(rng, 0.06),
        waste: price(rng, 0.15),
        connection: price(rng, 0.08),
        handshake: price(rng, 0.08),
        probe: price(rng, 0.03),
        peer: 0.0,
        late_fail: price(rng, 0.1),
        discovery: price(rng, 0.02),
    }
}

/// Draws a deduction; 0 in three of ten deployments.
fn price(rng: &mut SeededRng, most: f64) -> f64 {
    if rng.chance(0.3) {
        0.0
    } else {
        rng.uniform(0.1 * most, most)
    }
}

/// Draws all kinds of faults that the bench runs by default, each with its own strength.
pub fn faults(rng: &mut SeededRng) -> Vec<Fault> {
    vec![rolling_deploy(rng), fast_errors(rng), proxy_roll(rng), shared_slowdown(rng)]
}

fn weight(rng: &mut SeededRng) -> f64 {
    rng.pick(&[0.5, 1.0, 2.0])
}

/// Backends are replaced in batches.
fn rolling_deploy(rng: &mut SeededRng) -> Fault {
    Fault {
        name: "deploy".into(),
        weight: weight(rng),
        len_s: Severity { mildest: rng.uniform(30.0, 40.0), worst: rng.uniform(20.0, 25.0) },
        part: Some(Severity { mildest: rng.uniform(0.4, 0.5), worst: rng.uniform(0.7, 1.0) }),
        size: Severity { mildest: rng.uniform(0.05, 0.08), worst: rng.uniform(0.15, 0.2) },
        extra: Some(Severity { mildest: rng.uniform(2.0, 3.5), worst: rng.uniform(4.5, 6.0) }),
    }
}

/// Some backends return errors immediately.
fn fast_errors(rng: &mut SeededRng) -> Fault {
    Fault {
        name: "fast_errors".into(),
        weight: weight(rng),
        len_s: Severity { mildest: rng.uniform(5.0, 10.0), worst: rng.uniform(20.0, 30.0) },
        part: Some(Severity { mildest: rng.uniform(0.05, 0.08), worst: rng.uniform(0.15, 0.2) }),
        size: Severity { mildest: rng.uniform(0.3, 0.4), worst: rng.uniform(0.8, 1.0) },
        extra: None,
    }
}

/// Proxies are restarted in batches.
fn proxy_roll(rng: &mut SeededRng) -> Fault {
    Fault {
        name: "balancer_roll".into(),
        weight: weight(rng),
        len_s: Severity { mildest: rng.uniform(25.0, 30.0), worst: rng.uniform(8.0, 12.0) },
        part: Some(Severity { mildest: rng.uniform(0.5, 0.6), worst: rng.uniform(0.8, 1.0) }),
        size: Severity { mildest: rng.uniform(0.05, 0.1), worst: rng.uniform(0.25, 0.3) },
        extra: Some(Severity { mildest: rng.uniform(0.2, 0.4), worst: rng.uniform(1.0, 1.5) }),
    }
}

/// All backends become slower at the same time.
fn shared_slowdown(rng: &mut SeededRng) -> Fault {
    Fault {
        name: "shared_slow".into(),
        weight: weight(rng),
        len_s: Severity { mildest: rng.uniform(3.0, 5.0), worst: rng.uniform(10.0, 15.0) },
        part: None,
        size: Severity { mildest: rng.uniform(1.3, 1.5), worst: rng.uniform(2.0, 3.0) },
        extra: None,
    }
}
