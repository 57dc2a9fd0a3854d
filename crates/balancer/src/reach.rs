//! Zones that nothing comes back from. Where a zone is cut off each of its backends looks dead, one after the other,
//! and each costs four attempts before it is ejected: here they are known by their zone. Nothing here draws a backend.

use crate::state::Mean;
use shaletide_types::*;
use std::collections::BTreeMap;

/// Outcomes in a zone's mean.
const SAMPLES: f64 = 4.0;
/// From this part of silence on a zone is cut off: four in a row, of two backends at least, ...
const SILENT: f64 = 0.6;
/// ... while another one answers: its part is below this. Where all are silent it is this proxy, or the load.
const ANSWERS: f64 = 0.3;
/// It is asked again after so long, s; doubled each time in vain, twice at most.
const TERM: f64 = 1.0;

#[derive(Clone, Debug, Default)]
struct Way {
    silent: Mean,
    /// The first backend that was silent since the last word, and whether others were.
    first: Option<BackendId>,
    others: bool,
    until: Option<Time>,
    strikes: i32,
}

/// What came back from each zone that was asked, as seen from this proxy's own.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reach(BTreeMap<ZoneId, Way>);

impl Reach {
    /// An attempt ended, in silence or with any word. Whether the zone is cut off by that, or is no longer.
    pub fn ended(&mut self, now: Time, own: ZoneId, to: &BackendEntry, silent: bool) -> bool {
        // One's own zone is near: it counts as one that answers until it was asked.
        let near = to.zone != own && self.0.get(&own).is_none_or(|way| way.silent.value < SILENT);
        let answers = |way: &Way| way.silent.count > 0.0 && way.silent.value < ANSWERS;
        let other = near || self.0.iter().any(|(zone, way)| *zone != to.zone && answers(way));
        let way = self.0.entry(to.zone).or_default();
        let was = way.until.is_some_and(|until| now < until);
        way.silent.add(f64::from(silent), SAMPLES);
        if !silent {
            (way.first, way.others, way.until) = (None, false, None);
            way.strikes = if way.silent.value < ANSWERS { 0 } else { way.strikes };
            return was;
        }
        if to.zone == own && way.silent.value > SILENT && !other {
            // All are silent: none is cut off.
            let cut = self.0.values_mut().filter_map(|way| way.until.take()).filter(|until| now < *until);
            return cut.count() > 0;
        }
        way.others |= way.first.is_some_and(|first| first != to.id);
        way.first = way.first.or(Some(to.id));
        let cut = !was && other && way.others && way.silent.value > SILENT;
        if cut {
            let term = Micros::from_secs(TERM * f64::from(way.strikes.min(2)).exp2());
            (way.until, way.strikes) = (Some(now + term), way.strikes + 1);
        }
        cut
    }

    /// Nothing comes back from it.
    pub fn cut(&self, now: Time, zone: ZoneId) -> bool {
        self.0.get(&zone).and_then(|way| way.until).is_some_and(|until| now < until)
    }
}
