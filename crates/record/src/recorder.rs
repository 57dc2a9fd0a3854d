//! The machine.

mod asks;
mod attempts;
mod store;

use crate::config::RecordConfig;
use crate::event::{Action, Event};
use crate::fact::{About, Fact};
use crate::journal::{Journal, Then};
use crate::request::{Followed, Held, Live};
use crate::row::{Claim, KeyId, KeyState, StoredKey, Write};
use crate::served::Served;
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
    journal: Journal,
    /// Requests that need permits.
    requests: BTreeMap<RequestId, Held>,
    /// Requests that are only recorded.
    followed: BTreeMap<RequestId, Followed>,
    live: BTreeMap<KeyId, Live>,
    served: Served,
    /// Until when attempts wait for their intents.
    waits: BTreeSet<(Time, RequestId, AttemptNumber)>,
    dropped: u64,
    /// Those of them of which no fact tells yet.
    dropped_unsaid: u64,
}

impl Recorder {
    /// A recorder that remembers nothing. `wall`: what a wall clock shows at `now`. `secret`: any number that
    /// clients do not know; it mixes the fingerprints of served keys.
    pub fn new(config: RecordConfig, secret: [u8; 16], now: Time, wall: Time) -> Recorder {
        Recorder {
            config,
            wall: (now, wall),
            journal: Journal::default(),
            requests: BTreeMap::new(),
            followed: BTreeMap::new(),
            live: BTreeMap::new(),
            served: Served::new(secret),
            waits: BTreeSet::new(),
            dropped: 0,
            dropped_unsaid: 0,
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
    pub fn restore(&mut self, now: Time, mut held: Vec<StoredKey>, out: &mut Vec<Action>) {
        held.sort_by_key(|r| r.seq);
        let (wall, keep) = (self.wall(now), self.config.keep);
        for StoredKey { key, state, since, seq } in held {
            match state {
                KeyState::Served => {
                    let age = Micros((wall - since).0.saturating_sub(MAX_WALL_CLOCK_ERROR.0));
                    let left = Micros(keep.0.saturating_sub(age.0));
                    self.served.add(&key, seq, now + left, keep, self.config.bounds.served);
                }
                KeyState::Doubt => drop(self.live.insert(key, Live::Doubt { resolving: false })),
                KeyState::InFlight => {
                    self.live.insert(key.clone(), Live::Doubt { resolving: false });
                    let about = About { key: Some(key.clone()), ..About::default() };
                    let claim = Claim::Set(key, KeyState::Doubt);
                    self.write(now, Fact::Doubted { seq }, about, claim, Then::Owed, out);
                }
            }
        }
    }

    /// Takes one event that happened at `now` and adds the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.end_waits(now, out);
        match event {
            Event::IntentRequested { request, attempt, seen } => {
                self.permit_wanted(now, request, attempt, seen, out)
            }
            Event::AttemptStarted { request, attempt, seen } => {
                self.followed_sent(now, request, attempt, seen, out)
            }
            Event::IntentWithdrawn { request, attempt } => self.withdrawn(now, request, attempt, out),
            Event::AttemptEnded { request, attempt, outcome } => {
                self.attempt_ended(now, request, attempt, outcome, out)
            }
            Event::RequestEnded { request, ending } => self.over(now, request, ending, out),
            Event::Committed { ticket, seq } => self.committed(now, ticket, seq, out),
            Event::ClaimRejected { ticket, why } => self.refused(now, ticket, why, out),
            Event::WriteFailed { ticket, .. } => self.write_failed(now, ticket, out),
            Event::StoreDown { again, .. } => self.journal.set_down(now + again),
            Event::StoreUp => self.journal.reopen(now, out),
            Event::Resolve { reply, key, ran, by, note } => {
                self.resolve(now, reply, key, Fact::Resolved { by, ran, note }, ran, out)
            }
            Event::RecordFact(fact) if fact.is_spare() => self.spare(now, fact, About::default(), out),
            Event::RecordFact(fact) => self.write(now, fact, About::default(), Claim::None, Then::Owed, out),
            Event::Clock(wall) => self.wall = (now, wall),
            Event::Wake => {}
        }
        self.expire(now, out);
    }

    /// When [`Event::Wake`] is to be told at the latest.
    pub fn wake_at(&self) -> Option<Time> {
        let wait = self.waits.first().map(|w| w.0);
        [wait, self.served.due()].into_iter().flatten().min()
    }

    /// Facts that were left out for want of room since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Keys that are not settled: asked for, in flight, in doubt, being freed, served and not durable as such.
    pub fn unsettled(&self) -> usize {
        self.live.len()
    }

    /// Keys that are remembered as served.
    pub fn served(&self) -> usize {
        self.served.len()
    }

    /// Facts that must not be lost and are not known to be durable.
    pub fn pending_fact_count(&self) -> usize {
        self.journal.owed()
    }

    fn wall(&self, now: Time) -> Time {
        self.wall.1 + (now - self.wall.0)
    }

    fn write(
        &mut self, now: Time, fact: Fact, about: About, claim: Claim, then: Then, out: &mut Vec<Action>,
    ) {
        let row = fact.row(self.wall(now), about);
        self.journal.push(now, Write { row, claim }, then, out);
    }

    /// Has a fact written that nobody waits for, if there is room.
    fn spare(&mut self, now: Time, fact: Fact, about: About, out: &mut Vec<Action>) {
        let row = fact.row(self.wall(now), about);
        let write = Write { row, claim: Claim::None };
        if self.dropped_unsaid == 0 && self.journal.has_room(&write, &self.config.bounds) {
            return self.journal.push(now, write, Then::Spare, out);
        }
        self.dropped += 1;
        self.dropped_unsaid += 1;
    }

    /// Says how many facts were left out, as soon as there is room for that.
    fn say_dropped(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.dropped_unsaid == 0 {
            return;
        }
        let fact = Fact::Dropped { facts: self.dropped_unsaid };
        let write = Write { row: fact.row(self.wall(now), About::default()), claim: Claim::None };
        if self.journal.has_room(&write, &self.config.bounds) {
            self.dropped_unsaid = 0;
            self.journal.push(now, write, Then::Spare, out);
        }
    }

    /// Frees served keys whose time is up. In the store they are free behind this row: what takes one of them
    /// comes later still.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(through) = self.served.expire(now) {
            let claim = Claim::FreeServed { through };
            self.write(now, Fact::Expired { through }, About::default(), claim, Then::Owed, out);
        }
    }
}
