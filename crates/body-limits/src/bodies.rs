//! Request bodies: those being read, those that wait to be read, and those of requests without a response yet.
//!
//! Room is reserved before the first byte is read, for the length that the head gives, so that whatever was admitted can
//! be read completely: no body holds a part and waits for the rest. A body that does not fit is queued and not read.

use crate::rate::{MinimumRate, RateTracker};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};

/// A body's number, in the order in which bodies began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(pub u64);

/// The limits on bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// How fast a body has to be sent.
    pub rate: MinimumRate,
    /// Bytes that all bodies may reserve together. A longer one is admitted when there is no other.
    pub max_buffered_bytes: usize,
    /// A body is not evicted before it has been read for this long.
    pub patience: Micros,
}

/// Whether a body may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// It may be read.
    Admitted,
    /// It waits for room.
    Queued,
    /// It was evicted, or was removed.
    Evicted,
}

#[derive(Clone, Debug)]
struct Body {
    length: usize,
    received: usize,
    admitted_at: Time,
    rate: RateTracker,
    /// It was read completely: it keeps its room until its request has a response.
    complete: bool,
}

/// Admits, queues and evicts bodies. Bound: an entry for each body that the front reads or has waiting.
#[derive(Clone, Debug)]
pub struct BodyAdmission {
    limits: BodyLimits,
    admitted: BTreeMap<BodyId, Body>,
    /// Waiting bodies with their lengths, in the order in which they came.
    queue: VecDeque<(BodyId, usize)>,
    reserved_bytes: usize,
    next_id: u64,
    /// Admitted from the queue since [`BodyAdmission::take_admitted`] was called last.
    newly_admitted: Vec<BodyId>,
}

impl BodyAdmission {
    /// Without bodies.
    pub fn new(limits: BodyLimits) -> BodyAdmission {
        BodyAdmission {
            limits,
            admitted: BTreeMap::new(),
            queue: VecDeque::new(),
            reserved_bytes: 0,
            next_id: 0,
            newly_admitted: Vec::new(),
        }
    }

    /// Replaces the limits. Bodies being read keep their minimum rate.
    pub fn configure(&mut self, limits: BodyLimits) {
        self.limits = limits;
    }

    /// A body of that many bytes is to be read: admits it, or queues it behind all others.
    pub fn begin(&mut self, now: Time, length: usize) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        if self.queue.is_empty() && self.fits(length) {
            self.admit(now, id, length);
        } else {
            self.queue.push_back((id, length));
        }
        id
    }

    /// The bodies admitted from the queue since the last call.
    pub fn take_admitted(&mut self) -> Vec<BodyId> {
        std::mem::take(&mut self.newly_admitted)
    }

    /// Whether a body may be read.
    pub fn state(&self, id: BodyId) -> BodyState {
        if self.admitted.contains_key(&id) {
            BodyState::Admitted
        } else if self.queue.iter().any(|(queued, _)| *queued == id) {
            BodyState::Queued
        } else {
            BodyState::Evicted
        }
    }

    /// That many bytes of a body have come.
    pub fn on_bytes(&mut self, now: Time, id: BodyId, bytes: usize) {
        if let Some(body) = self.admitted.get_mut(&id) {
            body.received += bytes;
            body.rate.on_bytes(now, bytes);
        }
    }

    /// When a body is too slow if nothing more of it comes until then; `None`: never.
    pub fn due(&self, id: BodyId) -> Option<Time> {
        self.admitted.get(&id).filter(|body| !body.complete).and_then(|body| body.rate.due())
    }

    /// A body was read completely: it is not evicted any more.
    pub fn on_complete(&mut self, id: BodyId) {
        if let Some(body) = self.admitted.get_mut(&id) {
            body.complete = true;
        }
    }

    /// Forgets a body, whatever its state, and admits queued ones in its place.
    pub fn remove(&mut self, now: Time, id: BodyId) {
        if let Some(body) = self.admitted.remove(&id) {
            self.reserved_bytes -= body.length;
        }
        self.queue.retain(|(queued, _)| *queued != id);
        self.admit_queued(now);
    }

    /// Evicts a body to make room for the first of the queue; `None`: none waits, or none may be evicted.
    pub fn evict_slowest(&mut self, now: Time) -> Option<BodyId> {
        self.admit_queued(now);
        self.queue.front()?;
        let slowest = self.slowest(now)?;
        self.remove(now, slowest);
        Some(slowest)
    }

    /// The body that would be evicted first: of those that are not complete and had `patience`, the one with the fewest
    /// bytes per second, and of several the longest.
    pub fn slowest(&self, now: Time) -> Option<BodyId> {
        let patience = self.limits.patience;
        let evictable =
            self.admitted.iter().filter(|(_, body)| !body.complete && now - body.admitted_at >= patience);
        let key = |body: &Body| (bytes_per_second(body, now), std::cmp::Reverse(body.length));
        evictable.min_by_key(|(_, body)| key(body)).map(|(id, _)| *id)
    }

    /// Bytes that admitted bodies reserve.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// How many bodies wait for room.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn fits(&self, length: usize) -> bool {
        self.reserved_bytes == 0 || self.reserved_bytes + length <= self.limits.max_buffered_bytes
    }

    fn admit(&mut self, now: Time, id: BodyId, length: usize) {
        self.reserved_bytes += length;
        let rate = RateTracker::new(self.limits.rate, now);
        self.admitted.insert(id, Body { length, received: 0, admitted_at: now, rate, complete: false });
    }

    fn admit_queued(&mut self, now: Time) {
        while let Some((id, length)) = self.queue.front().copied().filter(|(_, length)| self.fits(*length)) {
            self.queue.pop_front();
            self.admit(now, id, length);
            self.newly_admitted.push(id);
        }
    }
}

/// The average rate since the body was admitted.
fn bytes_per_second(body: &Body, now: Time) -> u64 {
    (body.received as u64).saturating_mul(1_000_000) / (now - body.admitted_at).0.max(1)
}
