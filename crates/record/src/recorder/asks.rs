//! What fronts and operators ask.

use super::Recorder;
use crate::config::WithoutKey;
use crate::event::{Action, KeyConflict, KeyDecision, KeyRequest, ReplyId, ResolveResult};
use crate::fact::{About, Fact};
use crate::journal::Then;
use crate::request::{Followed, Held, Live, Standing};
use crate::row::{Claim, KeyId, KeyState};
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;

/// The longest name of a tenant, in bytes: as long as operators' commands take.
const TENANT: usize = 256;

impl Recorder {
    /// Anything of that class goes on record.
    pub fn records(&self, class: &str) -> bool {
        self.config.classes.contains_key(class)
    }

    /// Says what a front does with a request, before the engine hears of it.
    pub fn ask(&mut self, now: Time, asked: KeyRequest, out: &mut Vec<Action>) -> KeyDecision {
        self.end_waits(now, out);
        self.expire(now, out);
        let Some(rule) = self.config.classes.get(asked.class).copied() else {
            return KeyDecision::Proceed { requires_intent: false };
        };
        let key = asked.key.filter(|k| !k.is_empty());
        // Each row holds it, and operators have to be able to say it.
        if asked.tenant.len() > TENANT {
            return KeyDecision::KeyTooLong;
        }
        if !rule.requires_intent {
            self.ask_followed(now, &asked, key, out);
            return KeyDecision::Proceed { requires_intent: false };
        }
        if key.is_some_and(|k| k.len() > self.config.bounds.key) {
            return KeyDecision::KeyTooLong;
        }
        if key.is_none() && rule.without_key == WithoutKey::Refuse {
            return KeyDecision::KeyRequired;
        }
        let key = key.map(|key| key_id(&asked, key));
        if let Some(verdict) = key.as_ref().and_then(|key| self.stands_against(now, key)) {
            self.turned(now, &asked, key, verdict, out);
            return verdict;
        }
        if self.is_unready(now) || self.requests.contains_key(&asked.request) {
            return KeyDecision::Reject(self.advice(now));
        }
        self.take_in(now, &asked, key, out);
        KeyDecision::Proceed { requires_intent: true }
    }

    /// Why a request of this key is not sent now.
    fn stands_against(&self, now: Time, key: &KeyId) -> Option<KeyDecision> {
        let conflict = match self.live.get(key) {
            Some(Live::Held(request)) => self.requests.get(request).and_then(Held::conflict),
            Some(Live::Freeing) => None,
            Some(Live::Doubt { .. }) => Some(KeyConflict::Doubt),
            Some(Live::Served) => Some(KeyConflict::Served),
            None if self.served.has(key) => Some(KeyConflict::Served),
            None => return None,
        };
        // Nothing of it has run, but its fate is not known yet: harmless, a little later.
        Some(conflict.map_or(KeyDecision::Reject(self.advice(now)), KeyDecision::Conflict))
    }

    /// Nothing new is taken: the store does not write, or a bound is reached.
    pub(super) fn is_unready(&self, now: Time) -> bool {
        let bounds = &self.config.bounds;
        self.journal.down().is_some()
            || self.journal.is_stalled(now, self.config.intent_timeout)
            || self.journal.owed() >= bounds.owed_facts
            || self.waits.len() >= bounds.waiting
            || self.requests.len() >= bounds.unsettled
            || self.live.len() >= bounds.unsettled
    }

    /// When it is worth coming again: not before the store is tried again.
    pub(super) fn advice(&self, now: Time) -> Micros {
        let again = self.journal.down().map_or(Micros(0), |at| at - now);
        again.max(self.config.retry_after)
    }

    fn take_in(&mut self, now: Time, asked: &KeyRequest, key: Option<KeyId>, out: &mut Vec<Action>) {
        if let Some(key) = &key {
            self.live.insert(key.clone(), Live::Held(asked.request));
        }
        let owns = key.is_some();
        let (attempts, deadline) = (BTreeMap::new(), asked.deadline);
        let about = About { request: Some(asked.request.0), key: key.clone(), backend: None };
        let held = Held { key, deadline, attempts, over: false, barred: None, taken: false, owns };
        self.requests.insert(asked.request, held);
        self.write(now, fact(now, asked, owns), about, Claim::None, Then::Owed, out);
    }

    fn ask_followed(&mut self, now: Time, asked: &KeyRequest, key: Option<&[u8]>, out: &mut Vec<Action>) {
        let key = key.filter(|k| k.len() <= self.config.bounds.key).map(|key| key_id(asked, key));
        if self.followed.len() >= self.config.bounds.unsettled {
            self.dropped += 1;
            self.dropped_unsaid += 1;
            return;
        }
        let followed = Followed { key: key.clone(), ..Followed::default() };
        self.followed.insert(asked.request, followed);
        let fact = fact(now, asked, key.is_some());
        self.spare(now, fact, About { request: Some(asked.request.0), key, backend: None }, out);
    }

    fn turned(
        &mut self, now: Time, asked: &KeyRequest, key: Option<KeyId>, verdict: KeyDecision,
        out: &mut Vec<Action>,
    ) {
        let KeyDecision::Conflict(conflict) = verdict else { return };
        let why = match conflict {
            KeyConflict::InFlight => "in_flight",
            KeyConflict::Doubt => "doubt",
            KeyConflict::Served => "served",
        };
        let about = About { request: Some(asked.request.0), key, backend: None };
        self.spare(now, Fact::Turned { why: why.into() }, about, out);
    }

    /// An operator ends a doubt. In memory it lasts until that is durable.
    pub(super) fn resolve(
        &mut self, now: Time, reply: ReplyId, key: KeyId, fact: Fact, ran: bool, out: &mut Vec<Action>,
    ) {
        let why_not = match self.live.get(&key) {
            Some(Live::Doubt { resolving: false }) if self.journal.down().is_some() => {
                ResolveResult::StoreDown
            }
            Some(Live::Doubt { resolving: false }) => {
                self.live.insert(key.clone(), Live::Doubt { resolving: true });
                let claim = match ran {
                    true => Claim::Set(key.clone(), KeyState::Served),
                    false => Claim::Free(key.clone()),
                };
                let about = About { key: Some(key.clone()), ..About::default() };
                return self.write(now, fact, about, claim, Then::Resolve(key, ran, reply), out);
            }
            Some(Live::Held(request)) => match self.requests.get(request).map(Held::standing) {
                Some(Standing::Served) => ResolveResult::Served,
                _ => ResolveResult::InFlight,
            },
            Some(Live::Served) => ResolveResult::Served,
            Some(Live::Doubt { .. } | Live::Freeing) => ResolveResult::NotYet,
            None if self.served.has(&key) => ResolveResult::Served,
            None => ResolveResult::Unknown,
        };
        out.push(Action::Reply { reply, result: why_not });
    }
}

fn key_id(asked: &KeyRequest, key: &[u8]) -> KeyId {
    KeyId { tenant: asked.tenant.into(), class: asked.class.into(), key: key.into() }
}

fn fact(now: Time, asked: &KeyRequest, keyed: bool) -> Fact {
    let (tenant, class) = (asked.tenant.into(), asked.class.into());
    Fact::Asked { tenant, class, keyed, time_left: (asked.deadline - now).0 }
}
