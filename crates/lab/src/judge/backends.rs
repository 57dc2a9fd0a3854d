//! Load of backends and the list service: connections, handshakes and calls, with peaks relative to before a fault.

use super::facts::{Facts, SECOND_US};
use super::recovery::{Before, WARM_UP_S};
use serde::Serialize;
use std::collections::BTreeMap;

/// Totals of all backends and of the list service over one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BackendsSecond {
    /// Connections open at its end.
    pub open: u64,
    /// Connections opened in it.
    pub handshakes: u64,
    /// Of these, at the backend with most.
    pub most_handshakes: u32,
    /// Which backend that is.
    pub most_at: u32,
    /// Requests received in it.
    pub requests: u64,
    /// Calls of the list service.
    pub list_calls: u64,
}

/// Totals of a backend over the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackendTotals {
    /// Its number.
    #[serde(rename = "at_box")]
    pub backend: u32,
    /// Its name.
    pub name: String,
    /// Requests received.
    pub requests: u64,
    /// Connections opened.
    pub handshakes: u64,
    /// Most of them in one second.
    pub most_handshakes: u32,
    /// Most open at the end of a second.
    pub most_open: u32,
}

/// The highest value in a second after a fault, and before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Peak {
    /// Before.
    pub calm: u64,
    /// After.
    pub peak: u64,
}

impl Peak {
    /// The ratio of after to before; 0 before counts as 1.
    pub fn ratio(&self) -> f64 {
        self.peak as f64 / self.calm.max(1) as f64
    }
}

/// All backends together, by second.
pub(crate) fn seconds(facts: &Facts<'_>) -> Vec<BackendsSecond> {
    let mut seconds = vec![BackendsSecond::default(); facts.seconds];
    for one in &facts.backend_seconds {
        let Some(all) = seconds.get_mut((one.at_us / SECOND_US) as usize) else { continue };
        all.open += u64::from(one.open);
        all.handshakes += u64::from(one.handshakes);
        all.requests += u64::from(one.requests);
        if one.handshakes > all.most_handshakes {
            (all.most_handshakes, all.most_at) = (one.handshakes, one.backend);
        }
    }
    for (at_us, calls) in &facts.list_seconds {
        if let Some(all) = seconds.get_mut((at_us / SECOND_US) as usize) {
            all.list_calls += u64::from(*calls);
        }
    }
    seconds
}

/// Each backend over the run.
pub(crate) fn each(facts: &Facts<'_>) -> Vec<BackendTotals> {
    let mut backends: BTreeMap<u32, BackendTotals> = BTreeMap::new();
    for second in &facts.backend_seconds {
        let backend = second.backend;
        let one = backends.entry(backend).or_insert_with(|| BackendTotals {
            backend,
            name: facts.backend_name(backend),
            requests: 0,
            handshakes: 0,
            most_handshakes: 0,
            most_open: 0,
        });
        one.requests += u64::from(second.requests);
        one.handshakes += u64::from(second.handshakes);
        one.most_handshakes = one.most_handshakes.max(second.handshakes);
        one.most_open = one.most_open.max(second.open);
    }
    backends.into_values().collect()
}

/// The highest value of a figure in the seconds after a fault, and in those before. None without seconds
/// before, or without any sample of the figure.
pub(crate) fn peak(
    seconds: &[BackendsSecond], before: Option<&Before>, after: (usize, usize),
    figure: impl Fn(&BackendsSecond) -> u64,
) -> Option<Peak> {
    let before = before?;
    let most = |from: usize, to: usize| seconds.get(from..to.min(seconds.len()))?.iter().map(&figure).max();
    let peak = Peak { calm: most(before.from_s.max(WARM_UP_S), before.to_s)?, peak: most(after.0, after.1)? };
    (peak.calm > 0 || peak.peak > 0).then_some(peak)
}
