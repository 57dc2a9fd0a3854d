//! Detection of unreachable zones. Where a zone is cut off, each of its backends would be found dead one after the
//! other, at four attempts each before its ejection. Counting silence by zone avoids this.

use crate::statistics::MovingAverage;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// Number of attempts that a zone's silent fraction is averaged over.
const SILENCE_SAMPLES: f64 = 4.0;
/// Silent fraction above which a zone can be unreachable: four silent attempts in a row exceed it.
const UNREACHABLE_SILENT_FRACTION: f64 = 0.6;
/// Silent fraction below which a zone counts as responsive.
const RESPONSIVE_SILENT_FRACTION: f64 = 0.3;
/// Time after which an unreachable zone is used again, s. It doubles each time the zone is still silent.
const BASE_TERM_S: f64 = 1.0;
/// Maximum number of doublings of that time.
const MAX_TERM_DOUBLINGS: i32 = 2;

/// Whether an attempt got any response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Response {
    /// The backend responded, possibly with an error.
    Received,
    /// No connection was made, or it ended before the last byte of the request was written, or no response arrived in
    /// time.
    Silence,
}

/// Whether an outcome changed which zones are unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReachabilityChange {
    None,
    Changed,
}

#[derive(Clone, Debug, Default)]
struct ZoneHealth {
    /// Fraction of the last attempts that were silent.
    silent_fraction: MovingAverage,
    /// The first backend that was silent since the zone's last response.
    first_silent: Option<BackendId>,
    /// Another backend was silent since the zone's last response: a single dead backend does not make the zone
    /// unreachable.
    several_silent: bool,
    unreachable_until: Option<Time>,
    consecutive_terms: i32,
}

impl ZoneHealth {
    fn is_unreachable(&self, now: Time) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    fn is_responsive(&self) -> bool {
        self.silent_fraction.count > 0.0 && self.silent_fraction.value < RESPONSIVE_SILENT_FRACTION
    }

    fn is_silent(&self) -> bool {
        self.silent_fraction.value > UNREACHABLE_SILENT_FRACTION
    }

    fn record_response(&mut self) {
        self.silent_fraction.record(0.0, SILENCE_SAMPLES);
        self.first_silent = None;
        self.several_silent = false;
        self.unreachable_until = None;
        if self.silent_fraction.value < RESPONSIVE_SILENT_FRACTION {
            self.consecutive_terms = 0;
        }
    }

    fn mark_unreachable(&mut self, now: Time) {
        let doublings = self.consecutive_terms.min(MAX_TERM_DOUBLINGS);
        let term_s = BASE_TERM_S * f64::from(doublings).exp2();
        self.unreachable_until = Some(now + Micros::from_secs(term_s));
        self.consecutive_terms += 1;
    }
}

/// The health of each zone that this proxy has sent attempts to.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneReachability(BTreeMap<ZoneId, ZoneHealth>);

impl ZoneReachability {
    /// Records the response of an attempt at `backend`, or its silence. `own` is this proxy's zone.
    pub fn record(
        &mut self, now: Time, own: ZoneId, backend: &BackendEntry, response: Response,
    ) -> ReachabilityChange {
        let another_responds = self.another_zone_responds(own, backend.zone);
        let zone = self.0.entry(backend.zone).or_default();
        let was_unreachable = zone.is_unreachable(now);
        if response == Response::Received {
            zone.record_response();
            return if was_unreachable { ReachabilityChange::Changed } else { ReachabilityChange::None };
        }
        zone.silent_fraction.record(1.0, SILENCE_SAMPLES);
        if backend.zone == own && zone.is_silent() && !another_responds {
            return self.clear_unreachable(now);
        }
        zone.several_silent |= zone.first_silent.is_some_and(|first| first != backend.id);
        zone.first_silent = zone.first_silent.or(Some(backend.id));
        if !was_unreachable && another_responds && zone.several_silent && zone.is_silent() {
            zone.mark_unreachable(now);
            return ReachabilityChange::Changed;
        }
        ReachabilityChange::None
    }

    /// Returns whether the zone is unreachable.
    pub fn is_unreachable(&self, now: Time, zone: ZoneId) -> bool {
        self.0.get(&zone).is_some_and(|zone| zone.is_unreachable(now))
    }

    /// Returns the unreachable zones.
    pub fn unreachable_zones(&self, now: Time) -> BTreeSet<ZoneId> {
        self.0.iter().filter(|(_, zone)| zone.is_unreachable(now)).map(|(id, _)| *id).collect()
    }

    /// Returns whether a zone other than `zone` responds. This proxy's own zone is near and counts as responding until
    /// it is found silent.
    fn another_zone_responds(&self, own: ZoneId, zone: ZoneId) -> bool {
        let own_silence = self.0.get(&own).map_or(0.0, |health| health.silent_fraction.value);
        let own_responds = zone != own && own_silence < UNREACHABLE_SILENT_FRACTION;
        own_responds || self.0.iter().any(|(id, health)| *id != zone && health.is_responsive())
    }

    /// Marks all zones as reachable: where all are silent, the cause is this proxy's own connection or overload.
    fn clear_unreachable(&mut self, now: Time) -> ReachabilityChange {
        let mut change = ReachabilityChange::None;
        for zone in self.0.values_mut() {
            if zone.is_unreachable(now) {
                change = ReachabilityChange::Changed;
            }
            zone.unreachable_until = None;
        }
        change
    }
}
