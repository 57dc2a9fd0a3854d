//! The bodies of requests: those that are coming, and those of requests that were taken and have no answer yet.
//!
//! The room is given before the first byte is read, for the length that a head names, so that whatever was let in can
//! come whole: nobody holds a part and waits for the rest of the room. What does not fit is not read; it stands in line.

use crate::rate::{MinimumRate, RateTracker};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};

/// A body, by the order of coming.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(pub u64);

/// The measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// How fast a body has to come.
    pub rate: MinimumRate,
    /// Bytes that all bodies may hold together. One that is longer than that is let in when it is alone.
    pub max_buffered_bytes: usize,
    /// A body that has been coming for less is not pushed out.
    pub patience: Micros,
}

/// Whether a body may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// It may.
    Admitted,
    /// It stands in line.
    Queued,
    /// It was pushed out, or is over.
    Evicted,
}

#[derive(Clone, Debug)]
struct Body {
    length: usize,
    came: usize,
    begun: Time,
    pace: RateTracker,
    /// Its request was taken: it is owed an answer, and keeps its room until it has it.
    taken: bool,
}

/// All of them. Bounds: a row for each body that its front reads or has in line.
#[derive(Clone, Debug)]
pub struct BodyAdmission {
    measures: BodyLimits,
    inside: BTreeMap<BodyId, Body>,
    line: VecDeque<(BodyId, usize)>,
    held: usize,
    next: u64,
    /// Let in out of the line, and not told of yet.
    let_in: Vec<BodyId>,
}

impl BodyAdmission {
    /// None yet.
    pub fn new(measures: BodyLimits) -> BodyAdmission {
        BodyAdmission {
            measures,
            inside: BTreeMap::new(),
            line: VecDeque::new(),
            held: 0,
            next: 0,
            let_in: Vec::new(),
        }
    }

    /// Other measures from now on; what has begun goes on by its rate.
    pub fn configure(&mut self, measures: BodyLimits) {
        self.measures = measures;
    }

    /// A body of that length is to be read: in at once, or last in line.
    pub fn begin(&mut self, now: Time, length: usize) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        if self.line.is_empty() && self.fits(length) {
            self.enter(now, id, length);
        } else {
            self.line.push_back((id, length));
        }
        id
    }

    /// Those that were let in out of the line since this was asked last.
    pub fn take_admitted(&mut self) -> Vec<BodyId> {
        std::mem::take(&mut self.let_in)
    }

    /// How it stands with that one.
    pub fn state(&self, id: BodyId) -> BodyState {
        if self.inside.contains_key(&id) {
            BodyState::Admitted
        } else if self.line.iter().any(|(waiting, _)| *waiting == id) {
            BodyState::Queued
        } else {
            BodyState::Evicted
        }
    }

    /// So many bytes of it have come.
    pub fn on_bytes(&mut self, now: Time, id: BodyId, bytes: usize) {
        if let Some(body) = self.inside.get_mut(&id) {
            body.came += bytes;
            body.pace.moved(now, bytes);
        }
    }

    /// When it is too slow, if nothing more of it comes until then.
    pub fn due(&self, id: BodyId) -> Option<Time> {
        self.inside.get(&id).filter(|body| !body.taken).and_then(|body| body.pace.due())
    }

    /// It is whole, and its request was taken.
    pub fn on_complete(&mut self, id: BodyId) {
        if let Some(body) = self.inside.get_mut(&id) {
            body.taken = true;
        }
    }

    /// It is not held any more, nor waited for.
    pub fn remove(&mut self, now: Time, id: BodyId) {
        if let Some(body) = self.inside.remove(&id) {
            self.held -= body.length;
        }
        self.line.retain(|(waiting, _)| *waiting != id);
        self.move_up(now);
    }

    /// Makes room for the first in line: of those that are owed nothing and had time to come, the one goes that moves
    /// least, and of several the one that holds most. None where nobody waits or nobody may go.
    pub fn evict_slowest(&mut self, now: Time) -> Option<BodyId> {
        self.move_up(now);
        self.line.front()?;
        let slowest = self.slowest(now)?;
        self.remove(now, slowest);
        Some(slowest)
    }

    /// The one that would have to go first.
    pub fn slowest(&self, now: Time) -> Option<BodyId> {
        let patience = self.measures.patience;
        let may_go = self.inside.iter().filter(|(_, body)| !body.taken && now - body.begun >= patience);
        let key = |body: &Body| (per_second(body, now), std::cmp::Reverse(body.length));
        may_go.min_by_key(|(_, body)| key(body)).map(|(id, _)| *id)
    }

    /// Bytes that are spoken for.
    pub fn held(&self) -> usize {
        self.held
    }

    /// How many stand in line.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    fn fits(&self, length: usize) -> bool {
        self.held == 0 || self.held + length <= self.measures.max_buffered_bytes
    }

    fn enter(&mut self, now: Time, id: BodyId, length: usize) {
        self.held += length;
        let pace = RateTracker::new(self.measures.rate, now);
        self.inside.insert(id, Body { length, came: 0, begun: now, pace, taken: false });
    }

    fn move_up(&mut self, now: Time) {
        while let Some((id, length)) = self.line.front().copied().filter(|(_, length)| self.fits(*length)) {
            self.line.pop_front();
            self.enter(now, id, length);
            self.let_in.push(id);
        }
    }
}

/// What came of it, spread over the time since it was let in.
fn per_second(body: &Body, now: Time) -> u64 {
    (body.came as u64).saturating_mul(1_000_000) / (now - body.begun).0.max(1)
}
