//! The state machine that decides whether a request with a key may be sent, and which facts are written.

mod attempts;
mod decide;
mod recorded;
mod store_events;

use crate::config::RecordConfig;
use crate::event::{Action, Event};
use crate::fact::{Fact, RowSubject};
use crate::pending_writes::{OnCommit, PendingWrites};
use crate::request::{AttemptId, IntentRequest, RecordedRequest, UnsettledKey};
use crate::row::{Claim, KeyId, KeyState, StoredKey, Write};
use crate::served_keys::ServedKeys;
use shaletide_types::{Micros, RequestId, Time, MAX_WALL_CLOCK_ERROR};
use std::collections::{BTreeMap, BTreeSet};

/// A reading of the wall clock at a time of the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct WallClock {
    at: Time,
    shown: Time,
}

impl WallClock {
    fn at(self, now: Time) -> Time {
        self.shown + (now - self.at)
    }
}

/// Decides whether a request with a key may be sent, and which facts are written.
///
/// An unsettled key is kept in full, with the state of its request. A served key is kept as a fingerprint. Any other key is
/// presumed free; the store's constraint is authoritative.
#[derive(Clone, Debug)]
pub struct Recorder {
    config: RecordConfig,
    wall_clock: WallClock,
    pending_writes: PendingWrites,
    /// Requests whose class requires intents.
    requests: BTreeMap<RequestId, IntentRequest>,
    /// Requests that are only recorded.
    recorded: BTreeMap<RequestId, RecordedRequest>,
    unsettled_keys: BTreeMap<KeyId, UnsettledKey>,
    served: ServedKeys,
    /// The times until which attempts wait for their intents.
    intent_deadlines: BTreeSet<(Time, AttemptId)>,
    /// Number of facts dropped since the start.
    dropped: u64,
    /// Number of dropped facts that no [`Fact::Dropped`] counts yet.
    dropped_unrecorded: u64,
}

impl Recorder {
    /// Returns a recorder without keys. `wall` is the time of the wall clock at `now`. `secret` goes into the fingerprints of
    /// served keys and must be unknown to clients.
    pub fn new(config: RecordConfig, secret: [u8; 16], now: Time, wall: Time) -> Recorder {
        Recorder {
            config,
            wall_clock: WallClock { at: now, shown: wall },
            pending_writes: PendingWrites::default(),
            requests: BTreeMap::new(),
            recorded: BTreeMap::new(),
            unsettled_keys: BTreeMap::new(),
            served: ServedKeys::new(secret),
            intent_deadlines: BTreeSet::new(),
            dropped: 0,
            dropped_unrecorded: 0,
        }
    }

    /// Sets the configuration for new events. Running waits and kept keys are not changed.
    pub fn configure(&mut self, config: RecordConfig) {
        self.config = config;
    }

    /// Restores the keys that the store holds from earlier runs, before any request is decided.
    ///
    /// A key in flight becomes in doubt: its intent was durable, and its first byte may have been sent. The age of a served
    /// key is taken from the wall clock, the only clock that continues across a restart. As that clock may be wrong, a key
    /// counts as younger by [`MAX_WALL_CLOCK_ERROR`], but is kept no longer than one whole retention period from now. So no
    /// key is freed too early, and a key may be kept longer by that error.
    pub fn restore(&mut self, now: Time, mut stored: Vec<StoredKey>, actions: &mut Vec<Action>) {
        stored.sort_by_key(|key| key.seq);
        let wall = self.wall_clock.at(now);
        let keep = self.config.keep;
        for StoredKey { key, state, since, seq } in stored {
            match state {
                KeyState::Served => {
                    let age = Micros((wall - since).0.saturating_sub(MAX_WALL_CLOCK_ERROR.0));
                    let left = Micros(keep.0.saturating_sub(age.0));
                    self.served.add(&key, seq, now + left, keep, self.config.bounds.served);
                }
                KeyState::InDoubt => {
                    self.unsettled_keys.insert(key, UnsettledKey::InDoubt { resolving: false });
                }
                KeyState::InFlight => {
                    self.unsettled_keys.insert(key.clone(), UnsettledKey::InDoubt { resolving: false });
                    let about = RowSubject { key: Some(key.clone()), ..RowSubject::default() };
                    let claim = Claim::Set(key, KeyState::InDoubt);
                    self.write(now, Fact::Doubted { seq }, about, claim, OnCommit::Nothing, actions);
                }
            }
        }
    }

    /// Handles an event that happened at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.expire_intent_waits(now, actions);
        match event {
            Event::IntentRequested { request, attempt, seen } => {
                self.intent_requested(now, AttemptId { request, attempt }, seen, actions);
            }
            Event::AttemptStarted { request, attempt, seen } => {
                self.recorded_attempt_started(now, AttemptId { request, attempt }, seen, actions);
            }
            Event::IntentWithdrawn { request, attempt } => {
                self.intent_withdrawn(now, AttemptId { request, attempt }, actions);
            }
            Event::AttemptEnded { request, attempt, outcome } => {
                self.attempt_ended(now, AttemptId { request, attempt }, outcome, actions);
            }
            Event::RequestEnded { request, ending } => self.request_ended(now, request, ending, actions),
            Event::Committed { ticket, seq } => self.committed(now, ticket, seq, actions),
            Event::ClaimRejected { ticket, why } => self.claim_rejected(now, ticket, why, actions),
            Event::WriteFailed { ticket, .. } => self.write_failed(now, ticket, actions),
            Event::StoreDown { retry_after_hint, .. } => {
                self.pending_writes.set_store_down(now + retry_after_hint);
            }
            Event::StoreUp => self.pending_writes.resend(now, actions),
            Event::Resolve { reply, key, ran, by, note } => {
                self.resolve(now, reply, key, Fact::Resolved { by, ran, note }, ran, actions);
            }
            Event::RecordFact(fact) if fact.is_droppable() => {
                self.write_droppable(now, fact, RowSubject::default(), actions);
            }
            Event::RecordFact(fact) => {
                self.write(now, fact, RowSubject::default(), Claim::None, OnCommit::Nothing, actions);
            }
            Event::Clock(shown) => self.wall_clock = WallClock { at: now, shown },
            Event::Wake => {}
        }
        self.expire_served(now, actions);
    }

    /// Returns the time at which [`Event::Wake`] is due at the latest.
    pub fn wake_at(&self) -> Option<Time> {
        let intent_deadline = self.intent_deadlines.first().map(|(deadline, _)| *deadline);
        [intent_deadline, self.served.next_expiry()].into_iter().flatten().min()
    }

    /// Returns the number of facts dropped since the start for lack of room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of unsettled keys: requested, in flight, in doubt, being freed, or served but not yet durably so.
    pub fn unsettled(&self) -> usize {
        self.unsettled_keys.len()
    }

    /// Returns the number of keys that are remembered as served.
    pub fn served(&self) -> usize {
        self.served.len()
    }

    /// Returns the number of facts that must not be lost and are not known to be durable.
    pub fn pending_fact_count(&self) -> usize {
        self.pending_writes.required_count()
    }

    /// Queues a fact that must not be lost.
    fn write(
        &mut self, now: Time, fact: Fact, about: RowSubject, claim: Claim, on_commit: OnCommit,
        actions: &mut Vec<Action>,
    ) {
        let row = fact.row(self.wall_clock.at(now), about);
        self.pending_writes.push(now, Write { row, claim }, on_commit, actions);
    }

    /// Queues a droppable fact if there is room. Once a fact has been dropped, all further ones are dropped until their count
    /// is recorded, so that each gap is in one place.
    fn write_droppable(&mut self, now: Time, fact: Fact, about: RowSubject, actions: &mut Vec<Action>) {
        let row = fact.row(self.wall_clock.at(now), about);
        let write = Write { row, claim: Claim::None };
        if self.dropped_unrecorded == 0 && self.pending_writes.has_room(&write, &self.config.bounds) {
            return self.pending_writes.push(now, write, OnCommit::Droppable, actions);
        }
        self.count_dropped();
    }

    fn count_dropped(&mut self) {
        self.dropped += 1;
        self.dropped_unrecorded += 1;
    }

    /// Records the number of dropped facts as soon as there is room.
    fn record_dropped(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.dropped_unrecorded == 0 {
            return;
        }
        let fact = Fact::Dropped { facts: self.dropped_unrecorded };
        let row = fact.row(self.wall_clock.at(now), RowSubject::default());
        let write = Write { row, claim: Claim::None };
        if self.pending_writes.has_room(&write, &self.config.bounds) {
            self.dropped_unrecorded = 0;
            self.pending_writes.push(now, write, OnCommit::Droppable, actions);
        }
    }

    /// Frees the expired served keys. The store frees them with the row written here; a row that takes one of them follows it.
    fn expire_served(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Some(through) = self.served.expire(now) {
            let claim = Claim::FreeServed { through };
            let fact = Fact::Expired { through };
            self.write(now, fact, RowSubject::default(), claim, OnCommit::Nothing, actions);
        }
    }
}
