//! The service by second. A request belongs to the second in which its first try was due,
//! whenever it ended: a second has the outcomes of the requests that arrived in it.

use super::facts::{Request, RequestOutcome, SECOND_US};
use crate::samples::ClassInfo;
use serde::{Deserialize, Serialize};

/// Outcomes of the requests of a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests.
    pub requests: u64,
    /// Served within their deadline.
    pub served: u64,
    /// Served within their class's latency objective.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Answered with status 200 after their deadline.
    pub late: u64,
    /// Rejected at the last try.
    pub refused: u64,
    /// Answered with another status at the last try.
    pub failed: u64,
    /// Ended without a complete response.
    pub broken: u64,
    /// Not answered within their deadline.
    pub silent: u64,
    /// Accepted by no proxy.
    pub not_taken: u64,
    /// Priority weight of all requests.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Priority weight of those served.
    #[serde(rename = "worth_served")]
    pub priority_weight_served: f64,
}

impl Counts {
    /// The share of requests served; none without requests.
    pub fn share(&self) -> Option<f64> {
        (self.requests > 0).then(|| self.served as f64 / self.requests as f64)
    }

    /// The share of the priority weight that was served; none without requests.
    pub fn priority_weight_share(&self) -> Option<f64> {
        (self.priority_weight > 0.0).then(|| self.priority_weight_served / self.priority_weight)
    }

    fn add(&mut self, request: &Request, class: Option<&ClassInfo>) {
        let priority_weight = class.map_or(1.0, |c| c.priority_weight);
        self.requests += 1;
        self.priority_weight += priority_weight;
        match request.outcome {
            RequestOutcome::Served => {
                self.served += 1;
                self.priority_weight_served += priority_weight;
                if class.is_none_or(|c| request.took_us <= c.latency_objective_us) {
                    self.within_objective += 1;
                }
            }
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::Refused => self.refused += 1,
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Broken => self.broken += 1,
            RequestOutcome::Silent => self.silent += 1,
            RequestOutcome::NotTaken => self.not_taken += 1,
        }
    }
}

/// A second of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Outcomes of the requests that arrived in it.
    pub counts: Counts,
    /// Median latency of those served, from first try to answer.
    pub p50_us: Option<u64>,
    /// 99th percentile of the latency of those served.
    pub p99_us: Option<u64>,
}

/// Seconds of service with all latencies, for quantiles over several of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Series {
    pub counts: Vec<Counts>,
    /// By second, sorted.
    pub latencies_us: Vec<Vec<u64>>,
}

impl Series {
    /// The series of these requests; those after the last whole second are left out.
    pub fn of<'r>(
        requests: impl Iterator<Item = &'r Request>, classes: &[ClassInfo], seconds: usize,
    ) -> Series {
        let mut series =
            Series { counts: vec![Counts::default(); seconds], latencies_us: vec![Vec::new(); seconds] };
        for request in requests {
            let second = (request.asked_us / SECOND_US) as usize;
            let Some(counts) = series.counts.get_mut(second) else { continue };
            counts.add(request, classes.get(request.class as usize));
            if request.outcome == RequestOutcome::Served {
                series.latencies_us[second].push(request.took_us);
            }
        }
        for latencies in &mut series.latencies_us {
            latencies.sort_unstable();
        }
        series
    }

    /// The seconds, for a report.
    pub fn seconds(&self) -> Vec<Second> {
        let latencies = self.latencies_us.iter();
        let second = |(counts, latencies): (&Counts, &Vec<u64>)| Second {
            counts: *counts,
            p50_us: quantile(latencies, 0.5),
            p99_us: quantile(latencies, 0.99),
        };
        self.counts.iter().zip(latencies).map(second).collect()
    }

    /// A quantile of the latencies of all requests served in these seconds.
    pub fn pooled_us(&self, seconds: impl Iterator<Item = usize>, share: f64) -> Option<u64> {
        let mut all: Vec<u64> = seconds.filter_map(|s| self.latencies_us.get(s)).flatten().copied().collect();
        all.sort_unstable();
        quantile(&all, share)
    }

    /// The counts of these seconds together.
    pub fn total(&self, from_s: usize, to_s: usize) -> Counts {
        let mut total = Counts::default();
        for counts in self.counts.iter().take(to_s).skip(from_s) {
            total.requests += counts.requests;
            total.served += counts.served;
            total.within_objective += counts.within_objective;
            total.late += counts.late;
            total.refused += counts.refused;
            total.failed += counts.failed;
            total.broken += counts.broken;
            total.silent += counts.silent;
            total.not_taken += counts.not_taken;
            total.priority_weight += counts.priority_weight;
            total.priority_weight_served += counts.priority_weight_served;
        }
        total
    }

    /// The first second with the lowest share, and that share.
    pub fn worst(&self, from_s: usize, to_s: usize) -> Option<(usize, f64)> {
        let seconds = self.counts.iter().enumerate().take(to_s).skip(from_s);
        let shares = seconds.filter_map(|(s, counts)| Some((s, counts.share()?)));
        shares.min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// A quantile of sorted values by nearest rank: one of the values, without
/// interpolation.
pub(crate) fn quantile(sorted: &[u64], share: f64) -> Option<u64> {
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied()
}
