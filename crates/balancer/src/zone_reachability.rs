//! Zones that nothing comes back from. Where a zone is cut off each of its backends looks dead, one after the other,
//! and each costs four attempts before it is ejected: here they are known by their zone. Nothing here draws a backend.

use crate::statistics::MovingAverage;
use shaletide_types::*;
use std::collections::BTreeMap;

/// Outcomes in a zone's mean.
const SILENCE_SAMPLES: f64 = 4.0;
/// From this part of silence on a zone is cut off: four in a row, of two backends at least, ...
const UNREACHABLE_SILENT_FRACTION: f64 = 0.6;
/// ... while another one answers: its part is below this. Where all are silent it is this proxy, or the load.
const RESPONSIVE_SILENT_FRACTION: f64 = 0.3;
/// It is asked again after so long, s; doubled each time in vain, twice at most.
const BASE_TERM_S: f64 = 1.0;

#[derive(Clone, Debug, Default)]
struct ZoneHealth {
    silent_fraction: MovingAverage,
    /// The first backend that was silent since the last word, and whether others were.
    first_silent: Option<BackendId>,
    several_silent: bool,
    unreachable_until: Option<Time>,
    consecutive_terms: i32,
}

/// What came back from each zone that was asked, as seen from this proxy's own.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneReachability(BTreeMap<ZoneId, ZoneHealth>);

impl ZoneReachability {
    /// An attempt ended, in silence or with any word. Whether the zone is cut off by that, or is no longer.
    pub fn record_outcome(&mut self, now: Time, own: ZoneId, to: &BackendEntry, silent: bool) -> bool {
        // One's own zone is near: it counts as one that answers until it was asked.
        let near = to.zone != own
            && self.0.get(&own).is_none_or(|way| way.silent_fraction.value < UNREACHABLE_SILENT_FRACTION);
        let answers = |way: &ZoneHealth| {
            way.silent_fraction.count > 0.0 && way.silent_fraction.value < RESPONSIVE_SILENT_FRACTION
        };
        let other = near || self.0.iter().any(|(zone, way)| *zone != to.zone && answers(way));
        let way = self.0.entry(to.zone).or_default();
        let was = way.unreachable_until.is_some_and(|until| now < until);
        way.silent_fraction.record(f64::from(silent), SILENCE_SAMPLES);
        if !silent {
            (way.first_silent, way.several_silent, way.unreachable_until) = (None, false, None);
            way.consecutive_terms = if way.silent_fraction.value < RESPONSIVE_SILENT_FRACTION {
                0
            } else {
                way.consecutive_terms
            };
            return was;
        }
        if to.zone == own && way.silent_fraction.value > UNREACHABLE_SILENT_FRACTION && !other {
            // All are silent: none is cut off.
            let cut = self
                .0
                .values_mut()
                .filter_map(|way| way.unreachable_until.take())
                .filter(|until| now < *until);
            return cut.count() > 0;
        }
        way.several_silent |= way.first_silent.is_some_and(|first| first != to.id);
        way.first_silent = way.first_silent.or(Some(to.id));
        let cut =
            !was && other && way.several_silent && way.silent_fraction.value > UNREACHABLE_SILENT_FRACTION;
        if cut {
            let term = Micros::from_secs(BASE_TERM_S * f64::from(way.consecutive_terms.min(2)).exp2());
            (way.unreachable_until, way.consecutive_terms) = (Some(now + term), way.consecutive_terms + 1);
        }
        cut
    }

    /// Nothing comes back from it.
    pub fn is_unreachable(&self, now: Time, zone: ZoneId) -> bool {
        self.0.get(&zone).and_then(|way| way.unreachable_until).is_some_and(|until| now < until)
    }
}
