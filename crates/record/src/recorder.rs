//! The state machine that decides about keys and says what is written.

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

/// What the wall clock showed at a moment of the monotonic clock.
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

/// Decides about keys, and says what is written.
///
/// A key that is not settled is kept as it is, with the state of its request; one that was served is kept as a
/// fingerprint; one that is neither is free, as far as is known: the store's constraint has the last word.
#[derive(Clone, Debug)]
pub struct Recorder {
    config: RecordConfig,
    wall_clock: WallClock,
    pending_writes: PendingWrites,
    /// Requests that need intents.
    requests: BTreeMap<RequestId, IntentRequest>,
    /// Requests that are only recorded.
    recorded: BTreeMap<RequestId, RecordedRequest>,
    unsettled_keys: BTreeMap<KeyId, UnsettledKey>,
    served: ServedKeys,
    /// Until when attempts wait for their intents.
    intent_deadlines: BTreeSet<(Time, AttemptId)>,
    /// Facts that were left out.
    dropped: u64,
    /// Those of them that no fact counts yet.
    dropped_unrecorded: u64,
}

impl Recorder {
    /// A recorder that knows of no key. `wall`: what a wall clock shows at `now`. `secret`: any number that clients do
    /// not know; it goes into the fingerprints of served keys.
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

    /// Another configuration; what is waited for and kept already stays as it is.
    pub fn configure(&mut self, config: RecordConfig) {
        self.config = config;
    }

    /// Takes over what the store has from earlier runs, before any request is decided.
    ///
    /// A key in flight is in doubt: its intent was durable, and its first byte may have been sent. How long a served
    /// one is still kept goes by the wall clock, the only one that outlives a restart, which may be wrong: a key is
    /// taken for younger by [`MAX_WALL_CLOCK_ERROR`] than the clock says, and kept no longer than its whole time from
    /// now. So none is free too early, and one may be known that much longer.
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

    /// Takes one event that happened at `now` and adds the actions it calls for.
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

    /// When [`Event::Wake`] is due at the latest.
    pub fn wake_at(&self) -> Option<Time> {
        let intent_deadline = self.intent_deadlines.first().map(|(deadline, _)| *deadline);
        [intent_deadline, self.served.next_expiry()].into_iter().flatten().min()
    }

    /// Facts that were left out for want of room since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Keys that are not settled: requested, in flight, in doubt, being freed, served and not durable as such.
    pub fn unsettled(&self) -> usize {
        self.unsettled_keys.len()
    }

    /// Keys that are remembered as served.
    pub fn served(&self) -> usize {
        self.served.len()
    }

    /// Facts that must not be lost and are not known to be durable.
    pub fn pending_fact_count(&self) -> usize {
        self.pending_writes.required_count()
    }

    /// Has a fact written that must not be lost.
    fn write(
        &mut self, now: Time, fact: Fact, about: RowSubject, claim: Claim, on_commit: OnCommit,
        actions: &mut Vec<Action>,
    ) {
        let row = fact.row(self.wall_clock.at(now), about);
        self.pending_writes.push(now, Write { row, claim }, on_commit, actions);
    }

    /// Has a fact written that nothing waits for, if there is room. Once one was left out, all are until that is
    /// recorded, so that the gap has one place.
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

    /// Records how many facts were left out, as soon as there is room for that.
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

    /// Frees served keys whose time is up. In the store they are free behind this row: what takes one of them comes
    /// later still.
    fn expire_served(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Some(through) = self.served.expire(now) {
            let claim = Claim::FreeServed { through };
            let fact = Fact::Expired { through };
            self.write(now, fact, RowSubject::default(), claim, OnCommit::Nothing, actions);
        }
    }
}
