//! Request bodies that are being read, wait to be read, or belong to requests without a response.
//!
//! Memory for the length in the request's head is reserved before the first byte is read, so that every admitted body can
//! be read completely: no body occupies memory while it waits for more. A body that does not fit is queued and not read.

use crate::rate::{MinimumRate, RateTracker};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};

/// The number of a body, in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(pub u64);

/// The limits on bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The minimum rate at which a client has to send a body.
    pub rate: MinimumRate,
    /// The number of bytes that all bodies may reserve together. A longer body is admitted if no bytes are reserved.
    pub max_buffered_bytes: usize,
    /// How long a body is read before it may be evicted.
    pub min_age_for_eviction: Micros,
}

/// The admission state of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// The body may be read.
    Admitted,
    /// The body waits for memory.
    Queued,
    /// The body was evicted or removed.
    Evicted,
}

#[derive(Clone, Debug)]
struct Body {
    length: usize,
    received: usize,
    admitted_at: Time,
    rate: RateTracker,
    /// Whether the body was read completely. Its memory stays reserved until the request has a response.
    complete: bool,
}

/// Admits, queues and evicts bodies. Bound: an entry for each body that the front reads or has queued.
#[derive(Clone, Debug)]
pub struct BodyAdmission {
    limits: BodyLimits,
    admitted: BTreeMap<BodyId, Body>,
    /// The queued bodies with their lengths, in the order of arrival.
    queue: VecDeque<(BodyId, usize)>,
    reserved_bytes: usize,
    next_id: u64,
    /// The bodies admitted from the queue since the last call of [`BodyAdmission::take_admitted`].
    newly_admitted: Vec<BodyId>,
}

impl BodyAdmission {
    /// Creates an admission without bodies.
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

    /// Adds a body of `length` bytes: admits it, or queues it after all others.
    pub fn add(&mut self, now: Time, length: usize) -> BodyId {
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

    /// Records received bytes of a body.
    pub fn on_bytes(&mut self, now: Time, id: BodyId, bytes: usize) {
        if let Some(body) = self.admitted.get_mut(&id) {
            body.received += bytes;
            body.rate.on_bytes(now, bytes);
        }
    }

    /// The time at which a body is too slow if nothing more of it is received before; `None`: never.
    pub fn slow_at(&self, id: BodyId) -> Option<Time> {
        self.admitted.get(&id).filter(|body| !body.complete).and_then(|body| body.rate.slow_at())
    }

    /// Marks a body as completely read, so that it is not evicted any more.
    pub fn on_complete(&mut self, id: BodyId) {
        if let Some(body) = self.admitted.get_mut(&id) {
            body.complete = true;
        }
    }

    /// Removes a body in any state, and admits queued bodies that now fit.
    pub fn remove(&mut self, now: Time, id: BodyId) {
        if let Some(body) = self.admitted.remove(&id) {
            self.reserved_bytes -= body.length;
        }
        self.queue.retain(|(queued, _)| *queued != id);
        self.admit_queued(now);
    }

    /// Evicts a body to free memory for the first queued one; `None`: no body is queued, or none may be evicted.
    pub fn evict_slowest(&mut self, now: Time) -> Option<BodyId> {
        self.admit_queued(now);
        self.queue.front()?;
        let slowest = self.slowest(now)?;
        self.remove(now, slowest);
        Some(slowest)
    }

    /// The body that would be evicted first: of the incomplete bodies that have been read for `min_age_for_eviction`, the
    /// one with the fewest bytes per second, and of several the longest.
    pub fn slowest(&self, now: Time) -> Option<BodyId> {
        let min_age_for_eviction = self.limits.min_age_for_eviction;
        let evictable = self
            .admitted
            .iter()
            .filter(|(_, body)| !body.complete && now - body.admitted_at >= min_age_for_eviction);
        let key = |body: &Body| (bytes_per_second(body, now), std::cmp::Reverse(body.length));
        evictable.min_by_key(|(_, body)| key(body)).map(|(id, _)| *id)
    }

    /// The number of bytes that admitted bodies reserve.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// The number of queued bodies.
    pub fn queued_count(&self) -> usize {
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

/// The average rate of a body since it was admitted.
fn bytes_per_second(body: &Body, now: Time) -> u64 {
    (body.received as u64).saturating_mul(1_000_000) / (now - body.admitted_at).0.max(1)
}
