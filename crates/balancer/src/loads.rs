//! What backends say of their own load, in the list and in their answers, and what follows of it: how large this
//! proxy's part of all traffic is, which backends are too full to be drawn, and what part of the requests there
//! is room for. Where so many proxies share the fleet that each alone sees next to nothing of it, this is how one
//! learns what the others do there. Nothing here draws a backend.
//!
//! A backend may say anything, late or never. What it says is held to what can be, counts for itself alone but for
//! one part in the fleet's mean, and is worth nothing when it is old.

use crate::state::Peer;
use shaletide_base::*;
use std::collections::BTreeMap;

/// Memory of what a backend says it holds, s: about as long as one that is too full takes to turn slow.
const TOLD_MEMORY: f64 = 1.0;
/// What was said so long ago is worth nothing any more, s: a list did not come. Whoever is cut off hears of nothing.
const TOLD_WORTH: f64 = 2.2;
/// More than this is not believed, requests a core: boxes hold some tens at most.
const TOLD_MOST: f64 = 64.0;
/// A longer latency is not believed, ms.
const LATENCY_MOST_MS: f64 = 60_000.0;
/// The fleet's mean counts a backend with so many times the hold at most: one that lies or is choked moves it by
/// its part of that.
const MEAN_MOST: f64 = 2.0;
/// So many backends have to have said something, and half of those in use.
const TOLD_FEW: usize = 12;
/// Share of the requests that are let in, by worth: it falls so fast when all hold twice the wanted, a second.
const ADMIT_DOWN: f64 = 0.25;
/// ... and rises so fast when they hold nothing. News is a second or two old, so both are slow beside that.
const ADMIT_UP: f64 = 0.6;
/// However full all say they are, this part is let in: they may be wrong.
const ADMIT_LEAST: f64 = 0.4;
/// This part of the range turns away only what is worth little.
const ADMIT_LOW: f64 = 0.25;
/// A backend's part changes so fast when it holds twice what the others do, a second.
const BEAR_PACE: f64 = 0.5;
/// ... between these parts.
const BEAR_LEAST: f64 = 0.1;
const BEAR_MOST: f64 = 1.2;
/// However much it holds, so much of that is left at once.
const EASE_LEAST: f64 = 0.2;
/// This proxy's part of all traffic is learned over so long, s: what goes unanswered here for a while says nothing
/// of it ...
const PART_MEMORY: f64 = 15.0;
/// ... and is so many times an even one at most, ...
const PART_MOST: f64 = 4.0;
/// ... or one part in so many at least.
const PART_LEAST: f64 = 2.0;

/// What a backend was last heard to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Told {
    /// Requests a core, over the last second or so.
    pub held: f64,
    /// The same as it was last heard.
    last: f64,
    at: Option<Time>,
    /// How long serving one took there lately, s, and when it said so.
    latency: Option<(f64, Time)>,
    /// What part of an even share it can bear, as far as what it holds has shown.
    bears: Option<f64>,
}

impl Told {
    /// It says that it holds so many a core.
    fn hear(&mut self, now: Time, held: f64) {
        if !held.is_finite() || held < 0.0 {
            return;
        }
        // Nothing held, and never anything else said: an old list, or one from before the traffic.
        if held == 0.0 && self.at.is_none() {
            return;
        }
        let step = self.at.map_or(1.0, |at| 1.0 - (-(now - at).secs() / TOLD_MEMORY).exp());
        self.last = held.min(TOLD_MOST);
        self.held += (held.min(TOLD_MOST) - self.held) * step;
        self.at = Some(now);
    }

    /// How long serving one took there lately, s, in the mean over all that it served.
    pub fn latency(&self, now: Time) -> Option<f64> {
        self.latency.filter(|(_, at)| (now - *at).secs() < TOLD_MEMORY).map(|(secs, _)| secs)
    }

    /// What it holds, if that is known and not old.
    pub fn fresh(&self, now: Time) -> Option<f64> {
        self.at.filter(|at| (now - *at).secs() < TOLD_WORTH).map(|_| self.held)
    }
}

/// What is made of it for the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Loads {
    /// The largest weight of any backend of a kind, a core: that of one that holds nothing.
    sizes: BTreeMap<KindId, f64>,
    /// Requests a core that a backend in use holds in the mean; none where too few said anything.
    pub mean: Option<f64>,
    /// The part of the requests that there is room for.
    admit: f64,
    /// As many proxies like this one would make the fleet.
    fleet: f64,
    at: Option<Time>,
    taken_stock: f64,
}

impl Loads {
    pub fn new(proxies: u32) -> Loads {
        Loads {
            sizes: BTreeMap::new(),
            mean: None,
            admit: 1.0,
            fleet: f64::from(proxies),
            at: None,
            taken_stock: 0.0,
        }
    }

    /// As many proxies like this one as would make the fleet: those that are told of where reports tell nothing.
    pub fn fleet(&self) -> f64 {
        self.fleet
    }

    /// The list's word: the size over one and what is held a core, where weights are live.
    pub fn weighed(&mut self, now: Time, p: &mut Peer) {
        let weight = f64::from(p.entry.weight) / f64::from(p.entry.cores.max(1));
        if weight > 0.0 {
            let size = self.sizes.entry(p.entry.kind).or_default();
            *size = size.max(weight);
            p.told.hear(now, *size / weight - 1.0);
        }
    }

    /// The backend's own word.
    pub fn reported(&mut self, now: Time, p: &mut Peer, report: &LoadReport) {
        // Nothing served lately reads as no time at all.
        if let Some(ms) = report.latency_ms.filter(|ms| *ms > 0.0 && *ms <= LATENCY_MOST_MS) {
            p.told.latency = Some((ms / 1e3, now));
        }
        if let Some(held) = report.in_flight {
            p.told.hear(now, held / f64::from(p.entry.cores.max(1)));
        }
    }

    /// Takes stock. `own` is what this proxy holds at them over the last seconds, `hold` the wanted load a core.
    pub fn take_stock<'a>(
        &mut self, now: Time, peers: impl Iterator<Item = &'a Peer>, proxies: u32, own: Option<f64>,
        hold: f64,
    ) {
        let (mut used, mut heard, mut held, mut mean) = (0, 0, 0.0, 0.0);
        for p in peers.filter(|p| p.entry.state == BackendState::Ready && p.ejected.is_none()) {
            used += 1;
            if let Some(told) = p.told.fresh(now) {
                heard += 1;
                held += told * f64::from(p.entry.cores);
                mean += p.told.last.min(hold * MEAN_MOST);
            }
        }
        let proxies = f64::from(proxies);
        let gap = self.at.map_or(0.0, |at| (now - at).secs().min(1.0));
        self.at = Some(now);
        if heard < TOLD_FEW || heard * 2 < used {
            (self.mean, self.admit) = (None, 1.0);
            return;
        }
        let mean = mean / heard as f64;
        self.mean = Some(mean);
        self.taken_stock = gap;
        // What all hold over what this one holds of it; those that said nothing hold as many as the others.
        let all = held * used as f64 / heard as f64;
        let fleet = own.filter(|own| *own > 0.0).map_or(proxies, |own| all / own);
        let fleet = fleet.clamp(proxies / PART_MOST, proxies * PART_LEAST).max(1.0);
        // Own and all are counted over different seconds: a slow mean of the two.
        let step = 1.0 - (-gap / PART_MEMORY).exp();
        self.fleet *= (fleet / self.fleet).powf(step);
        let off = ((mean - hold) / hold).clamp(-1.0, 1.0);
        let pace = if off > 0.0 { ADMIT_DOWN * (1.0 + 2.0 * off) } else { ADMIT_UP };
        self.admit = (self.admit * (-off * pace * gap).exp()).clamp(ADMIT_LEAST, 1.0);
    }

    /// The list says how fast a backend of some kind is.
    pub fn sized(&self) -> bool {
        !self.sizes.is_empty()
    }

    /// What the list says of how fast a backend of that kind is beside one of another; 1 where it says nothing.
    pub fn size(&self, kind: KindId) -> f64 {
        self.sizes.get(&kind).copied().unwrap_or(1.0)
    }

    /// The part that is let in of requests that are worth much, or little.
    pub fn admitted(&self, low: bool) -> f64 {
        if low {
            ((self.admit - (1.0 - ADMIT_LOW)) / ADMIT_LOW).max(0.0)
        } else {
            (self.admit / (1.0 - ADMIT_LOW)).min(1.0)
        }
    }

    /// After stock was taken: how much of an even part each backend bears.
    pub fn settle(&self, now: Time, peers: &mut BTreeMap<BackendId, Peer>, hold: f64) {
        let Some(mean) = self.mean else { return };
        let wanted = mean.max(hold / 2.0);
        let mut sum = (0.0, 0.0);
        for p in peers.values_mut().filter(|p| p.entry.state == BackendState::Ready) {
            let Some(held) = p.told.fresh(now) else { continue };
            let off = ((held - wanted) / wanted).clamp(-1.0, 1.0);
            let bears = p.told.bears.unwrap_or(1.0) * (-off * BEAR_PACE * self.taken_stock).exp();
            let bears = bears.clamp(BEAR_LEAST, BEAR_MOST);
            p.told.bears = Some(bears);
            sum = (sum.0 + bears, sum.1 + 1.0);
        }
        // A part of what all bear: a kind that is fuller than the others gets less, however fast it is taken to be.
        for bears in peers.values_mut().filter_map(|p| p.told.bears.as_mut()) {
            *bears = (*bears * sum.1 / f64::max(sum.0, 1e-9)).clamp(BEAR_LEAST, BEAR_MOST);
        }
    }

    /// How much of its part a backend gets, in reports' eyes: one that holds more than the others less, for long by
    /// what it was seen to bear and at once by what it holds. One that seems idle gets no more for that: it may be
    /// one that nothing comes to.
    pub fn ease(&self, now: Time, p: &Peer) -> f64 {
        match (self.mean, p.told.bears) {
            (Some(mean), Some(bears)) => {
                let held = p.told.fresh(now).unwrap_or(mean);
                bears * ((1.0 + mean) / (1.0 + held)).clamp(EASE_LEAST, 1.0)
            }
            _ => 1.0,
        }
    }
}
