//! Time to full service: how long after a fault the service is again what it was before.
//!
//! Before is the mean, over up to [`BEFORE_S`] whole seconds that ended before the fault and after the warm-up, of the
//! share served in each, and the 99th percentile of the latencies in them together. Seconds without requests say nothing
//! and are passed over, here and below.
//!
//! Service is full from a second on if, in it and the following ones, [`HOLD_S`] in all, the share served is at least
//! [`SHARE`] of before in each, and the 99th percentile of them together is at most [`P99`] times that of before. In a
//! second, what is asked for is rounded down to whole requests, so that one request of a few does not decide; over the
//! seconds together it is rounded down once, so that one in each second does.
//!
//! Counted is from the fault to the start of the first such second; it is 0 where the second of the
//! fault is already one. Where the run ends within those seconds it is not known; where no such second comes it was
//! not reached.
//!
//! Two faults overlap if one comes before the service has been full for [`HOLD_S`] seconds after the other. The later one
//! then has the earlier one's before, and each is measured from its own time.

use super::facts::{FaultAt, SECOND_US};
use super::service::{Counts, Series};
use serde::Serialize;

/// Of the share served before, what counts as full.
pub const SHARE: f64 = 0.99;
/// Of the 99th percentile before, what counts as full.
pub const P99: f64 = 1.25;
/// For so many seconds.
pub const HOLD_S: usize = 5;
/// Seconds before a fault that define full service.
pub const BEFORE_S: usize = 10;
/// Seconds of a run that are not compared: connections are made and estimates learned.
pub const WARM_UP_S: usize = 5;

/// How the service was before a fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Before {
    /// The first of its seconds.
    pub from_s: usize,
    /// The first second after them.
    pub to_s: usize,
    /// The mean of the shares served in each.
    pub share: f64,
    /// The 99th percentile of all latencies in them.
    pub p99_us: u64,
}

/// When service was full again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Full {
    /// So long after the fault.
    After {
        /// From the fault.
        us: u64,
    },
    /// Not while it was watched.
    NotReached {
        /// From the fault to the run's end.
        watched_us: u64,
    },
    /// The run ended while it seemed full.
    NotKnown {
        /// From the fault to where that began.
        since_us: u64,
        /// Seconds with requests that it held.
        held_s: usize,
    },
    /// There is nothing to compare with: nothing was served in whole seconds between the warm-up and the fault.
    NoBefore,
}

/// A fault and the service after it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// How it was before; of overlapping faults, before the first.
    pub before: Option<Before>,
    /// When it was full again.
    pub full: Full,
    /// Seconds in which the share was below what counts as full, from [`HOLD_S`] after that on, up to the next fault and
    /// no further than the end of the [aftermath](super::findings::AFTER_S).
    pub relapsed_s: usize,
    /// The faults that it overlaps with.
    pub overlaps: Vec<String>,
}

/// How it was before that time.
pub(crate) fn before(series: &Series, at_us: u64) -> Option<Before> {
    let to_s = ((at_us / SECOND_US) as usize).min(series.counts.len());
    let from_s = to_s.saturating_sub(BEFORE_S).max(WARM_UP_S);
    let shares: Vec<f64> = series.counts.get(from_s..to_s)?.iter().filter_map(Counts::share).collect();
    let p99_us = series.pooled_us(from_s..to_s, 0.99)?;
    let share = shares.iter().sum::<f64>() / shares.len() as f64;
    Some(Before { from_s, to_s, share, p99_us })
}

/// Rounding of floats must not ask for a request more.
const ROUNDING: f64 = 1e-9;

fn enough(served: u64, requests: u64, before: &Before) -> bool {
    let asked_for = (SHARE * before.share * requests as f64 + ROUNDING).floor();
    served as f64 >= asked_for
}

fn holds(series: &Series, second: usize, before: &Before) -> bool {
    let counts = &series.counts[second];
    enough(counts.served, counts.requests, before)
}

/// Whether these seconds together are as it was before.
fn hold_together(series: &Series, seconds: &[usize], before: &Before) -> bool {
    let counts = seconds.iter().map(|s| &series.counts[*s]);
    let (served, requests) =
        counts.fold((0, 0), |(served, requests), c| (served + c.served, requests + c.requests));
    let p99_us = series.pooled_us(seconds.iter().copied(), 0.99);
    let quick = p99_us.is_some_and(|p99_us| p99_us as f64 <= P99 * before.p99_us as f64);
    enough(served, requests, before) && quick
}

/// When service is full again after that time.
pub(crate) fn full(series: &Series, before: Option<&Before>, at_us: u64) -> Full {
    let Some(before) = before else { return Full::NoBefore };
    let first = (at_us / SECOND_US) as usize;
    let busy: Vec<usize> = (first..series.counts.len()).filter(|s| series.counts[*s].requests > 0).collect();
    let since = |second: usize| (second as u64 * SECOND_US).saturating_sub(at_us);
    for (n, second) in busy.iter().enumerate() {
        let window = &busy[n..busy.len().min(n + HOLD_S)];
        let all = window.iter().all(|s| holds(series, *s, before));
        if all && hold_together(series, window, before) {
            return match window.len() {
                HOLD_S => Full::After { us: since(*second) },
                held_s => Full::NotKnown { since_us: since(*second), held_s },
            };
        }
    }
    Full::NotReached { watched_us: since(series.counts.len()) }
}

/// Each fault's recovery; they are in order of time. `aftermaths` are the ends, in seconds, of what is looked at.
pub(crate) fn recoveries(series: &Series, faults: &[FaultAt<'_>], aftermaths: &[usize]) -> Vec<Recovery> {
    let mut spans: Vec<(u64, u64)> = Vec::new();
    let mut found: Vec<Recovery> = Vec::new();
    let mut group: Option<(Before, u64)> = None;
    for (n, fault) in faults.iter().enumerate() {
        let open = group.filter(|(_, recovered)| *recovered > fault.at_us);
        let before = open.map(|(before, _)| before).or_else(|| before(series, fault.at_us));
        let full = full(series, before.as_ref(), fault.at_us);
        let recovered = recovered_us(full, fault.at_us);
        group = before.map(|b| (b, recovered.max(open.map_or(0, |(_, at)| at))));
        spans.push((fault.at_us, recovered));
        let next = faults.get(n + 1).map_or(usize::MAX, |next| (next.at_us / SECOND_US) as usize);
        let upto = aftermaths.get(n).copied().unwrap_or(0).min(next);
        let relapsed_s = before.map_or(0, |b| relapsed_s(series, &b, recovered, upto));
        found.push(Recovery { before, full, relapsed_s, overlaps: Vec::new() });
    }
    for (n, recovery) in found.iter_mut().enumerate() {
        let meets = |m: &usize| *m != n && spans[*m].0 < spans[n].1 && spans[n].0 < spans[*m].1;
        let others = (0..spans.len()).filter(meets);
        recovery.overlaps = others.map(|m| faults[m].label.to_owned()).collect();
    }
    found
}

/// When service had been full for as long as it takes to say so.
fn recovered_us(full: Full, at_us: u64) -> u64 {
    match full {
        Full::After { us } => at_us + us + HOLD_S as u64 * SECOND_US,
        Full::NotReached { .. } | Full::NotKnown { .. } => u64::MAX,
        Full::NoBefore => at_us,
    }
}

fn relapsed_s(series: &Series, before: &Before, recovered_us: u64, upto_s: usize) -> usize {
    let from = (recovered_us / SECOND_US) as usize;
    let seconds = from..upto_s.min(series.counts.len());
    seconds.filter(|s| !holds(series, *s, before)).count()
}
