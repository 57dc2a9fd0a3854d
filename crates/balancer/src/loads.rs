//! What backends say of their own load, in the list and in their answers, and what follows of it: how large this
//! proxy's part of all traffic is, which backends are too full to be drawn, and what part of the requests there
//! is room for. Where so many proxies share the fleet that each alone sees next to nothing of it, this is how one
//! learns what the others do there. Nothing here draws a backend.
//!
//! A backend may say anything, late or never. What it says is held to what can be, counts for itself alone but for
//! one part in the fleet's mean, and is worth nothing when it is old.

use crate::state::{Mean, Peer, Said};
use shaletide_types::*;
use std::collections::BTreeMap;

/// A longer latency is not believed, ms.
const LATENCY_MOST_MS: f64 = 60_000.0;
/// The fleet's mean counts a backend with so many times the hold at most: one that lies or is choked moves it by
/// its part of that.
const MEAN_MOST: f64 = 2.0;
/// So many backends have to have said something, and half of those in use.
const TOLD_FEW: f64 = 12.0;
/// ... or so many in answers to this proxy: those that it uses.
const ANSWERS_FEW: f64 = 3.0;
/// By such a factor list and answers differ by chance.
const LIST_OFF: f64 = 1.6;
/// So long after the last word, s, pools are still taken for ones whose backends speak.
const SPOKEN_FOR: f64 = 30.0;
/// A shared processor that holds m is busy m / (1 + m) of the time. What is let in moves towards the part at which
/// that would be as wanted, by so many times the step a second: news is a second or two old.
const ADMIT_GAIN: f64 = 4.0;
/// It comes back by itself so fast where nothing is heard any more, a second.
const ADMIT_BACK: f64 = 0.5;
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
/// ... at first over this, s: what was told is a guess.
const PART_FIRST: f64 = 2.0;
/// ... and is so many times an even one at most, ...
const PART_MOST: f64 = 4.0;
/// ... or one part in so many at least.
const PART_LEAST: f64 = 2.0;

/// What is made of it for the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Loads {
    /// The largest weight of any backend of a kind, a core: that of one that holds nothing.
    sizes: BTreeMap<ServerTypeId, f64>,
    /// Requests a core that a backend in use holds in the mean; none where too few said anything.
    pub mean: Option<f64>,
    /// The part of the requests that there is room for.
    admit: f64,
    /// As many proxies like this one would make the fleet, and how long that was learned, s.
    fleet: f64,
    learned: f64,
    at: Option<Time>,
    heard: Option<Time>,
    taken_stock: f64,
}

impl Loads {
    pub fn new(proxies: u32) -> Loads {
        Loads {
            sizes: BTreeMap::new(),
            mean: None,
            admit: 1.0,
            fleet: f64::from(proxies),
            learned: 0.0,
            at: None,
            heard: None,
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
            let size = self.sizes.entry(p.entry.server_type).or_default();
            *size = size.max(weight);
            p.told.list.hear(now, *size / weight - 1.0);
        }
    }

    /// The backend's own word.
    pub fn reported(&mut self, now: Time, p: &mut Peer, report: &LoadReport) {
        // Nothing served lately reads as no time at all.
        if let Some(ms) = report.latency_ms.filter(|ms| *ms > 0.0 && *ms <= LATENCY_MOST_MS) {
            p.told.latency = Some((ms / 1e3, now));
        }
        if let Some(held) = report.in_flight {
            p.told.answers.hear(now, held / f64::from(p.entry.cores.max(1)));
        }
    }

    /// Takes stock. `own` is what this proxy's served requests take up at them, `hold` the wanted load a core.
    pub fn take_stock<'a>(
        &mut self, now: Time, peers: impl Iterator<Item = &'a Peer>, proxies: u32, own: Option<f64>,
        hold: f64,
    ) {
        let (mut used, mut held) = (0.0, 0.0);
        let (mut list, mut answers, mut both) = (Mean::default(), Mean::default(), (0.0, 0.0));
        for p in peers.filter(|p| p.entry.state == BackendState::Ready && p.ejected.is_none()) {
            used += 1.0;
            let cut = |said: Said| said.last.min(hold * MEAN_MOST);
            let (l, a) = (p.told.list.fresh(now), p.told.answers.fresh(now));
            if let Some(said) = l {
                list.add(cut(said), f64::MAX);
                held += said.held * f64::from(p.entry.cores);
            }
            if let Some(said) = a {
                answers.add(cut(said), f64::MAX);
            }
            if let (Some(l), Some(a)) = (l, a) {
                both = (both.0 + cut(l), both.1 + cut(a));
            }
        }
        let gap = self.at.map_or(0.0, |at| (now - at).secs().min(1.0));
        self.at = Some(now);
        // A list that came late tells what is past: those that answered here show by how much it is off.
        let off = if answers.count < ANSWERS_FEW { 1.0 } else { (both.1 + hold) / (both.0 + hold) };
        let late = !(1.0 / LIST_OFF..LIST_OFF).contains(&off);
        self.mean = if list.count >= TOLD_FEW && list.count * 2.0 >= used && !late {
            Some(list.value)
        } else if answers.count >= ANSWERS_FEW {
            Some(answers.value)
        } else {
            None
        };
        let Some(mean) = self.mean else {
            // Nobody says anything: what was let in by old news is not held on to.
            self.admit = (self.admit * (gap * ADMIT_BACK).exp()).min(1.0);
            return;
        };
        (self.heard, self.taken_stock) = (Some(now), gap);
        if list.count >= TOLD_FEW && list.count * 2.0 >= used && !late {
            self.learn_part(gap, held * used / list.count, own, f64::from(proxies));
        }
        let busy = |held: f64| held.max(0.1) / (1.0 + held.max(0.1));
        let step = (busy(hold) / busy(mean)).powf(ADMIT_GAIN * gap);
        self.admit = (self.admit * step).clamp(ADMIT_LEAST, 1.0);
    }

    /// What all hold over what this one has there.
    fn learn_part(&mut self, gap: f64, all: f64, own: Option<f64>, proxies: f64) {
        let fleet = own.filter(|own| *own > 0.0).map_or(proxies, |own| all / own);
        let fleet = fleet.clamp(proxies / PART_MOST, proxies * PART_LEAST).max(1.0);
        // Own and all are counted over different seconds: a slow mean of the two, quicker at first.
        self.learned += gap;
        let step = 1.0 - (-gap / self.learned.clamp(PART_FIRST, PART_MEMORY)).exp();
        self.fleet *= (fleet / self.fleet).powf(step);
    }

    /// Backends have spoken of their load not long ago, even if nothing new is heard just now.
    pub fn spoken(&self, now: Time) -> bool {
        self.heard.is_some_and(|at| (now - at).secs() < SPOKEN_FOR)
    }

    /// The list says how fast a backend of some kind is.
    pub fn sized(&self) -> bool {
        !self.sizes.is_empty()
    }

    /// What the list says of how fast a backend of that kind is beside one of another; 1 where it says nothing.
    pub fn size(&self, kind: ServerTypeId) -> f64 {
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
        let spoken = self.spoken(now);
        let held = self.mean.and_then(|mean| Some((mean, p.told.fresh(now)?)));
        let now = held.map_or(1.0, |(mean, held)| ((1.0 + mean) / (1.0 + held)).clamp(EASE_LEAST, 1.0));
        p.told.bears.filter(|_| spoken).unwrap_or(1.0) * now
    }
}
