//! The machine.

mod attempts;
mod decide;
mod store_events;

use crate::config::RecordConfig;
use crate::event::{Action, Event};
use crate::fact::{About, Fact};
use crate::pending_writes::{OnCommit, PendingWrites};
use crate::request::{IntentRequest, RecordedRequest, UnsettledKey};
use crate::row::{Claim, KeyId, KeyState, StoredKey, Write};
use crate::served_keys::ServedKeys;
use shaletide_types::{AttemptNumber, Micros, RequestId, Time, MAX_WALL_CLOCK_ERROR};
use std::collections::{BTreeMap, BTreeSet};

/// Decides about keys, and says what is written.
///
/// A key that is not settled is kept as it is and stands as its request does; one that was served is kept as a
/// fingerprint; one that is neither is free, as far as is known: the store's constraint has the last word.
#[derive(Clone, Debug)]
pub struct Recorder {
    config: RecordConfig,
    /// A moment and what the wall clock showed then.
    wall: (Time, Time),
    pending_writes: PendingWrites,
    /// Requests that need permits.
    requests: BTreeMap<RequestId, IntentRequest>,
    /// Requests that are only recorded.
    recorded: BTreeMap<RequestId, RecordedRequest>,
    unsettled_keys: BTreeMap<KeyId, UnsettledKey>,
    served: ServedKeys,
    /// Until when attempts wait for their intents.
    intent_deadlines: BTreeSet<(Time, RequestId, AttemptNumber)>,
    dropped: u64,
    /// Those of them of which no fact tells yet.
    dropped_unrecorded: u64,
}

impl Recorder {
    /// A recorder that remembers nothing. `wall`: what a wall clock shows at `now`. `secret`: any number that
    /// clients do not know; it mixes the fingerprints of served keys.
    pub fn new(config: RecordConfig, secret: [u8; 16], now: Time, wall: Time) -> Recorder {
        Recorder {
            config,
            wall: (now, wall),
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

    /// Takes over what the store holds from earlier runs, before anything is asked.
    ///
    /// A key in flight is in doubt: its intent was durable, and its first byte may have gone out. How long a
    /// served one is kept yet goes by the wall clock, the only one that lives through a restart, which may be wrong: a key
    /// is taken for younger by [`MAX_WALL_CLOCK_ERROR`] than the clock says, and kept no longer than its whole time from
    /// now. So none is free too early, and one may be known that much longer.
    pub fn restore(&mut self, now: Time, mut tracked: Vec<StoredKey>, actions: &mut Vec<Action>) {
        tracked.sort_by_key(|r| r.seq);
        let (wall, keep) = (self.wall(now), self.config.keep);
        for StoredKey { key, state, since, seq } in tracked {
            match state {
                KeyState::Served => {
                    let age = Micros((wall - since).0.saturating_sub(MAX_WALL_CLOCK_ERROR.0));
                    let left = Micros(keep.0.saturating_sub(age.0));
                    self.served.add(&key, seq, now + left, keep, self.config.bounds.served);
                }
                KeyState::Doubt => {
                    drop(self.unsettled_keys.insert(key, UnsettledKey::InDoubt { resolving: false }))
                }
                KeyState::InFlight => {
                    self.unsettled_keys.insert(key.clone(), UnsettledKey::InDoubt { resolving: false });
                    let about = About { key: Some(key.clone()), ..About::default() };
                    let claim = Claim::Set(key, KeyState::Doubt);
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
                self.intent_requested(now, request, attempt, seen, actions)
            }
            Event::AttemptStarted { request, attempt, seen } => {
                self.recorded_attempt_started(now, request, attempt, seen, actions)
            }
            Event::IntentWithdrawn { request, attempt } => {
                self.intent_withdrawn(now, request, attempt, actions)
            }
            Event::AttemptEnded { request, attempt, outcome } => {
                self.attempt_ended(now, request, attempt, outcome, actions)
            }
            Event::RequestEnded { request, ending } => self.request_ended(now, request, ending, actions),
            Event::Committed { ticket, seq } => self.committed(now, ticket, seq, actions),
            Event::ClaimRejected { ticket, why } => self.claim_rejected(now, ticket, why, actions),
            Event::WriteFailed { ticket, .. } => self.write_failed(now, ticket, actions),
            Event::StoreDown { again, .. } => self.pending_writes.set_store_down(now + again),
            Event::StoreUp => self.pending_writes.resend(now, actions),
            Event::Resolve { reply, key, ran, by, note } => {
                self.resolve(now, reply, key, Fact::Resolved { by, ran, note }, ran, actions)
            }
            Event::RecordFact(fact) if fact.is_spare() => {
                self.write_droppable(now, fact, About::default(), actions)
            }
            Event::RecordFact(fact) => {
                self.write(now, fact, About::default(), Claim::None, OnCommit::Nothing, actions)
            }
            Event::Clock(wall) => self.wall = (now, wall),
            Event::Wake => {}
        }
        self.expire(now, actions);
    }

    /// When [`Event::Wake`] is to be told at the latest.
    pub fn wake_at(&self) -> Option<Time> {
        let wait = self.intent_deadlines.first().map(|w| w.0);
        [wait, self.served.due()].into_iter().flatten().min()
    }

    /// Facts that were left out for want of room since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Keys that are not settled: asked for, in flight, in doubt, being freed, served and not durable as such.
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

    fn wall(&self, now: Time) -> Time {
        self.wall.1 + (now - self.wall.0)
    }

    fn write(
        &mut self, now: Time, fact: Fact, about: About, claim: Claim, on_commit: OnCommit,
        actions: &mut Vec<Action>,
    ) {
        let row = fact.row(self.wall(now), about);
        self.pending_writes.push(now, Write { row, claim }, on_commit, actions);
    }

    /// Has a fact written that nobody waits for, if there is room.
    fn write_droppable(&mut self, now: Time, fact: Fact, about: About, actions: &mut Vec<Action>) {
        let row = fact.row(self.wall(now), about);
        let write = Write { row, claim: Claim::None };
        if self.dropped_unrecorded == 0 && self.pending_writes.has_room(&write, &self.config.bounds) {
            return self.pending_writes.push(now, write, OnCommit::Droppable, actions);
        }
        self.dropped += 1;
        self.dropped_unrecorded += 1;
    }

    /// Says how many facts were left out, as soon as there is room for that.
    fn record_dropped(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.dropped_unrecorded == 0 {
            return;
        }
        let fact = Fact::Dropped { facts: self.dropped_unrecorded };
        let write = Write { row: fact.row(self.wall(now), About::default()), claim: Claim::None };
        if self.pending_writes.has_room(&write, &self.config.bounds) {
            self.dropped_unrecorded = 0;
            self.pending_writes.push(now, write, OnCommit::Droppable, actions);
        }
    }

    /// Frees served keys whose time is up. In the store they are free behind this row: what takes one of them
    /// comes later still.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Some(through) = self.served.expire(now) {
            let claim = Claim::FreeServed { through };
            self.write(now, Fact::Expired { through }, About::default(), claim, OnCommit::Nothing, actions);
        }
    }
}
