//! Compares runs: the same experiment over several seeds, and two variants in pairs with one seed each.
//!
//! Median, minimum and maximum of each figure, not means: a few runs of a busy machine have outliers. A figure that is
//! only a lower bound counts as higher than all exact ones, and is shown as such. Void runs are counted
//! and otherwise left out.

use crate::judge::check::Kind;
use crate::judge::expect::{Measured, Metric};
use crate::judge::metrics::measure;
use crate::judge::{Ruling, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// The figures of a run that are compared, kept without its samples.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The experiment.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Version and build profile.
    pub build: String,
    /// Its result.
    pub ruling: Ruling,
    /// By name: `metric`, `metric after fault`, `figure of class x`.
    pub values: BTreeMap<String, Measured>,
}

impl Figures {
    /// The figures of a run.
    pub fn of(verdict: &Verdict) -> Figures {
        let findings = &verdict.findings;
        let mut values = BTreeMap::new();
        for metric in Metric::ALL {
            values.insert(metric.name().to_owned(), measure(findings, metric, None));
            for fault in findings.faults.iter().filter(|_| !metric.whole_run()) {
                let seen = measure(findings, metric, Some(&fault.label));
                values.insert(format!("{} after {}", metric.name(), fault.label), seen);
            }
        }
        let mut known = |name: String, value: Option<f64>| {
            values
                .insert(name, value.map_or_else(|| Measured::Unknown("no samples".into()), Measured::Value));
        };
        let ms = |us: Option<u64>| us.map(|us| us as f64 / 1e3);
        known("p50_ms".into(), ms(findings.p50_us));
        known("p99_ms".into(), ms(findings.p99_us));
        known("worth_share".into(), findings.total.priority_weight_share());
        known("wasted_work_share".into(), findings.waste.share());
        known("accounts_broken".into(), Some(findings.broken(Kind::Lab) as f64));
        for group in findings.groups.iter().filter(|g| g.by == crate::judge::findings::By::Class) {
            known(format!("served_share of class {}", group.name), group.total.share());
            known(format!("p50_ms of class {}", group.name), ms(group.p50_us));
            known(format!("p99_ms of class {}", group.name), ms(group.p99_us));
        }
        Figures {
            name: findings.name.clone(),
            seed: findings.seed,
            build: findings.build.clone(),
            ruling: verdict.ruling,
            values,
        }
    }
}

/// A figure over several runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Runs that have it, as a value or a lower bound.
    pub runs: usize,
    /// Those of them with a lower bound only.
    pub cut_short: usize,
    /// Runs that do not have it.
    pub unknown: usize,
    /// The median; of an even number, the mean of the middle two.
    pub median: Measured,
    /// The minimum.
    pub min: Measured,
    /// The maximum.
    pub max: Measured,
}

/// An experiment over several seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Repeated {
    /// Runs that passed.
    pub passed: usize,
    /// Runs that failed.
    pub failed: usize,
    /// Runs that are void, and left out of the figures.
    pub void: usize,
    /// Seeds of the runs that failed.
    pub failed_seeds: Vec<u64>,
    /// Each figure.
    pub figures: BTreeMap<String, Spread>,
}

/// The spread of each figure over several runs.
pub fn repeated(runs: &[Figures]) -> Repeated {
    let count = |ruling| runs.iter().filter(|run| run.ruling == ruling).count();
    let failed = runs.iter().filter(|run| run.ruling == Ruling::Failed);
    let valid: Vec<&Figures> = runs.iter().filter(|run| run.ruling != Ruling::Void).collect();
    let names: BTreeSet<&String> = valid.iter().flat_map(|run| run.values.keys()).collect();
    let figures = names.into_iter().map(|name| {
        let values: Vec<&Measured> = valid.iter().filter_map(|run| run.values.get(name)).collect();
        (name.clone(), spread(&values, valid.len()))
    });
    Repeated {
        passed: count(Ruling::Passed),
        failed: count(Ruling::Failed),
        void: count(Ruling::Void),
        failed_seeds: failed.map(|run| run.seed).collect(),
        figures: figures.collect(),
    }
}

fn spread(values: &[&Measured], runs: usize) -> Spread {
    let mut seen: Vec<f64> = values.iter().filter_map(|value| value.value()).collect();
    seen.sort_by(f64::total_cmp);
    let cut: Vec<f64> = values
        .iter()
        .filter_map(|value| match value {
            Measured::AtLeast(value) => Some(*value),
            _ => None,
        })
        .collect();
    let cut_short = cut.len();
    let all = seen.len() + cut_short;
    // Lower bounds are taken to lie above all values: at the lowest of the bounds.
    let least_cut = cut.into_iter().min_by(f64::total_cmp);
    let at = |place: usize| match (seen.get(place), least_cut) {
        (Some(value), _) => Measured::Value(*value),
        (None, Some(least)) => Measured::AtLeast(least),
        (None, None) => Measured::Unknown("no run has it".into()),
    };
    let median = if all == 0 || all % 2 == 1 { at(all / 2) } else { between(at(all / 2 - 1), at(all / 2)) };
    Spread { runs: all, cut_short, unknown: runs - all, median, min: at(0), max: at(all.saturating_sub(1)) }
}

fn between(low: Measured, high: Measured) -> Measured {
    match (low, high) {
        (Measured::Value(low), Measured::Value(high)) => Measured::Value((low + high) / 2.0),
        (Measured::Value(low), Measured::AtLeast(high)) => Measured::AtLeast(low.min(high)),
        (low, _) => low,
    }
}

/// A figure in pairs of runs, the second against the first.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Paired {
    /// Pairs in which it is known which is higher, or that both are the same.
    pub pairs: usize,
    /// Pairs in which the second is lower.
    pub lower: usize,
    /// Pairs in which they are the same.
    pub same: usize,
    /// Pairs in which the second is higher.
    pub higher: usize,
    /// Two-sided p-value of a sign test on lower and higher; 1 without any.
    pub by_chance: f64,
    /// Median ratio of second to first. Pairs of zeros count as 1; pairs whose first alone is zero, or of which one is a
    /// lower bound, have none.
    pub median_ratio: Option<f64>,
    /// The minimum.
    pub min_ratio: Option<f64>,
    /// The maximum.
    pub max_ratio: Option<f64>,
}

/// Two variants, in pairs with the same seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compared {
    /// Pairs in which neither run is void.
    pub pairs: usize,
    /// Pairs left out because one run is void.
    pub void: usize,
    /// Seeds that only one side has.
    pub unpaired: Vec<u64>,
    /// Each figure that both have.
    pub figures: BTreeMap<String, Paired>,
}

/// Compares the second variant with the first, seed by seed. Of several runs of a seed on a side the last counts.
pub fn compared(first: &[Figures], second: &[Figures]) -> Compared {
    let by_seed =
        |runs| -> BTreeMap<u64, &Figures> { <[Figures]>::iter(runs).map(|r| (r.seed, r)).collect() };
    let (a, b) = (by_seed(first), by_seed(second));
    let unpaired =
        a.keys().filter(|seed| !b.contains_key(seed)).chain(b.keys().filter(|s| !a.contains_key(s)));
    let unpaired: Vec<u64> = unpaired.copied().collect();
    let both: Vec<(&Figures, &Figures)> =
        a.iter().filter_map(|(seed, one)| Some((*one, *b.get(seed)?))).collect();
    let void = |pair: &&(&Figures, &Figures)| [pair.0, pair.1].iter().any(|r| r.ruling == Ruling::Void);
    let valid: Vec<_> = both.iter().filter(|pair| !void(pair)).copied().collect();
    let names: BTreeSet<&String> = valid.iter().flat_map(|(one, _)| one.values.keys()).collect();
    let figures = names.into_iter().filter_map(|name| {
        let values = valid.iter().filter_map(|(a, b)| Some((a.values.get(name)?, b.values.get(name)?)));
        let values: Vec<_> = values.collect();
        (!values.is_empty()).then(|| (name.clone(), paired(&values)))
    });
    Compared { pairs: valid.len(), void: both.len() - valid.len(), unpaired, figures: figures.collect() }
}

fn paired(values: &[(&Measured, &Measured)]) -> Paired {
    let signs: Vec<i8> = values.iter().filter_map(|(a, b)| sign(a, b)).collect();
    let count = |sign: i8| signs.iter().filter(|s| **s == sign).count();
    let (lower, same, higher) = (count(-1), count(0), count(1));
    let mut ratios: Vec<f64> = values.iter().filter_map(|(a, b)| ratio(a.value()?, b.value()?)).collect();
    ratios.sort_by(f64::total_cmp);
    let middle = ratios.len() / 2;
    let median_ratio = match ratios.len() {
        0 => None,
        n if n % 2 == 1 => Some(ratios[middle]),
        _ => Some((ratios[middle - 1] + ratios[middle]) / 2.0),
    };
    Paired {
        pairs: signs.len(),
        lower,
        same,
        higher,
        by_chance: by_chance(lower, higher),
        median_ratio,
        min_ratio: ratios.first().copied(),
        max_ratio: ratios.last().copied(),
    }
}

/// Relative difference below which figures are the same, as they are sums of floats.
const SAME: f64 = 1e-9;

fn sign(a: &Measured, b: &Measured) -> Option<i8> {
    match (a, b) {
        (Measured::Value(a), Measured::Value(b)) if (a - b).abs() <= SAME * a.abs().max(b.abs()) => Some(0),
        (Measured::Value(a), Measured::Value(b)) => Some(if b > a { 1 } else { -1 }),
        (Measured::Value(a), Measured::AtLeast(b)) if b > a => Some(1),
        (Measured::AtLeast(a), Measured::Value(b)) if a > b => Some(-1),
        _ => None,
    }
}

fn ratio(a: f64, b: f64) -> Option<f64> {
    if a == 0.0 {
        return (b == 0.0).then_some(1.0);
    }
    Some(b / a)
}

/// The two-sided p-value of a sign test.
fn by_chance(lower: usize, higher: usize) -> f64 {
    let (thrown, fewer) = (lower + higher, lower.min(higher));
    // Logarithms, as the binomial coefficients exceed a float with a thousand pairs.
    let (mut ways_ln, mut tail) = (0.0_f64, 0.0);
    for n in 0..=fewer {
        tail += (ways_ln - thrown as f64 * std::f64::consts::LN_2).exp();
        ways_ln += ((thrown - n) as f64 / (n + 1) as f64).ln();
    }
    (2.0 * tail).min(1.0)
}

/// Over several seeds, for a terminal.
pub fn repeated_text(all: &Repeated) -> String {
    let mut text = format!("{} passed, {} failed, {} void\n", all.passed, all.failed, all.void);
    if !all.failed_seeds.is_empty() {
        let seeds: Vec<String> = all.failed_seeds.iter().map(u64::to_string).collect();
        let _ = writeln!(text, "failed with the seeds {}", seeds.join(", "));
    }
    let _ = writeln!(text, "{:44} {:>4} {:>12} {:>12} {:>12}", "figure", "runs", "median", "least", "most");
    for (name, figure) in &all.figures {
        let [median, min, max] = [&figure.median, &figure.min, &figure.max].map(short);
        let _ = writeln!(text, "{name:44} {:>4} {median:>12} {min:>12} {max:>12}", figure.runs);
    }
    text
}

/// In pairs, for a terminal.
pub fn compared_text(all: &Compared) -> String {
    let mut text = format!(
        "{} pairs, {} left out as void, {} seeds without a partner; second to first\n",
        all.pairs,
        all.void,
        all.unpaired.len()
    );
    let _ = writeln!(
        text,
        "{:44} {:>10} {:>10} {:>10}  {:>5} {:>4} {:>6} {:>9}",
        "figure", "median", "least", "most", "lower", "same", "higher", "by chance"
    );
    for (name, figure) in &all.figures {
        let [median, min, max] = [figure.median_ratio, figure.min_ratio, figure.max_ratio]
            .map(|ratio| ratio.map_or_else(|| "-".into(), |ratio| format!("{ratio:.3}")));
        let _ = writeln!(
            text,
            "{name:44} {median:>10} {min:>10} {max:>10}  {:>5} {:>4} {:>6} {:>9.3}",
            figure.lower, figure.same, figure.higher, figure.by_chance
        );
    }
    text
}

fn short(value: &Measured) -> String {
    match value {
        Measured::Value(value) => format!("{value:.4}"),
        Measured::AtLeast(value) => format!(">= {value:.4}"),
        Measured::Unknown(_) => "-".into(),
    }
}
