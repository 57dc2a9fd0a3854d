//! What fronts and operators ask.

use super::Recorder;
use crate::config::WithoutKey;
use crate::event::{Action, KeyConflict, KeyDecision, KeyRequest, ReplyId, ResolveResult};
use crate::fact::{About, Fact};
use crate::pending_writes::OnCommit;
use crate::request::{IntentRequest, RecordedRequest, RequestState, UnsettledKey};
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
    pub fn ask(&mut self, now: Time, asked: KeyRequest, actions: &mut Vec<Action>) -> KeyDecision {
        self.expire_intent_waits(now, actions);
        self.expire(now, actions);
        let Some(rule) = self.config.classes.get(asked.class).copied() else {
            return KeyDecision::Proceed { requires_intent: false };
        };
        let key = asked.key.filter(|k| !k.is_empty());
        // Each row holds it, and operators have to be able to say it.
        if asked.tenant.len() > TENANT {
            return KeyDecision::KeyTooLong;
        }
        if !rule.requires_intent {
            self.ask_recorded(now, &asked, key, actions);
            return KeyDecision::Proceed { requires_intent: false };
        }
        if key.is_some_and(|k| k.len() > self.config.bounds.key) {
            return KeyDecision::KeyTooLong;
        }
        if key.is_none() && rule.without_key == WithoutKey::Refuse {
            return KeyDecision::KeyRequired;
        }
        let key = key.map(|key| key_id(&asked, key));
        if let Some(verdict) = key.as_ref().and_then(|key| self.key_decision(now, key)) {
            self.record_conflict(now, &asked, key, verdict, actions);
            return verdict;
        }
        if self.cannot_take_request(now) || self.requests.contains_key(&asked.request) {
            return KeyDecision::Reject(self.retry_after(now));
        }
        self.accept(now, &asked, key, actions);
        KeyDecision::Proceed { requires_intent: true }
    }

    /// Why a request of this key is not sent now.
    fn key_decision(&self, now: Time, key: &KeyId) -> Option<KeyDecision> {
        let conflict = match self.unsettled_keys.get(key) {
            Some(UnsettledKey::Requested(request)) => {
                self.requests.get(request).and_then(IntentRequest::conflict)
            }
            Some(UnsettledKey::Freeing) => None,
            Some(UnsettledKey::InDoubt { .. }) => Some(KeyConflict::Doubt),
            Some(UnsettledKey::Served) => Some(KeyConflict::Served),
            None if self.served.has(key) => Some(KeyConflict::Served),
            None => return None,
        };
        // Nothing of it has run, but its fate is not known yet: harmless, a little later.
        Some(conflict.map_or(KeyDecision::Reject(self.retry_after(now)), KeyDecision::Conflict))
    }

    /// Nothing new is taken: the store does not write, or a bound is reached.
    pub(super) fn cannot_take_request(&self, now: Time) -> bool {
        let bounds = &self.config.bounds;
        self.pending_writes.is_store_down()
            || self.pending_writes.is_stalled(now, self.config.intent_timeout)
            || self.pending_writes.required_count() >= bounds.owed_facts
            || self.intent_deadlines.len() >= bounds.waiting
            || self.requests.len() >= bounds.unsettled
            || self.unsettled_keys.len() >= bounds.unsettled
    }

    /// When it is worth coming again: not before the store is tried again.
    pub(super) fn retry_after(&self, now: Time) -> Micros {
        let again = self.pending_writes.store_retry_at().map_or(Micros(0), |at| at - now);
        again.max(self.config.retry_after)
    }

    fn accept(&mut self, now: Time, asked: &KeyRequest, key: Option<KeyId>, actions: &mut Vec<Action>) {
        if let Some(key) = &key {
            self.unsettled_keys.insert(key.clone(), UnsettledKey::Requested(asked.request));
        }
        let owns_key = key.is_some();
        let (attempts, deadline) = (BTreeMap::new(), asked.deadline);
        let about = About { request: Some(asked.request.0), key: key.clone(), backend: None };
        let tracked = IntentRequest {
            key,
            deadline,
            attempts,
            ended: false,
            rejected_with: None,
            key_claimed: false,
            owns_key,
        };
        self.requests.insert(asked.request, tracked);
        self.write(now, fact(now, asked, owns_key), about, Claim::None, OnCommit::Nothing, actions);
    }

    fn ask_recorded(&mut self, now: Time, asked: &KeyRequest, key: Option<&[u8]>, actions: &mut Vec<Action>) {
        let key = key.filter(|k| k.len() <= self.config.bounds.key).map(|key| key_id(asked, key));
        if self.recorded.len() >= self.config.bounds.unsettled {
            self.dropped += 1;
            self.dropped_unrecorded += 1;
            return;
        }
        let recorded = RecordedRequest { key: key.clone(), ..RecordedRequest::default() };
        self.recorded.insert(asked.request, recorded);
        let fact = fact(now, asked, key.is_some());
        self.write_droppable(
            now,
            fact,
            About { request: Some(asked.request.0), key, backend: None },
            actions,
        );
    }

    fn record_conflict(
        &mut self, now: Time, asked: &KeyRequest, key: Option<KeyId>, verdict: KeyDecision,
        actions: &mut Vec<Action>,
    ) {
        let KeyDecision::Conflict(conflict) = verdict else { return };
        let why = match conflict {
            KeyConflict::InFlight => "in_flight",
            KeyConflict::Doubt => "doubt",
            KeyConflict::Served => "served",
        };
        let about = About { request: Some(asked.request.0), key, backend: None };
        self.write_droppable(now, Fact::Turned { why: why.into() }, about, actions);
    }

    /// An operator ends a doubt. In memory it lasts until that is durable.
    pub(super) fn resolve(
        &mut self, now: Time, reply: ReplyId, key: KeyId, fact: Fact, ran: bool, actions: &mut Vec<Action>,
    ) {
        let why_not = match self.unsettled_keys.get(&key) {
            Some(UnsettledKey::InDoubt { resolving: false }) if self.pending_writes.is_store_down() => {
                ResolveResult::StoreDown
            }
            Some(UnsettledKey::InDoubt { resolving: false }) => {
                self.unsettled_keys.insert(key.clone(), UnsettledKey::InDoubt { resolving: true });
                let claim = match ran {
                    true => Claim::Set(key.clone(), KeyState::Served),
                    false => Claim::Free(key.clone()),
                };
                let about = About { key: Some(key.clone()), ..About::default() };
                return self.write(now, fact, about, claim, OnCommit::Resolved { key, ran, reply }, actions);
            }
            Some(UnsettledKey::Requested(request)) => {
                match self.requests.get(request).map(IntentRequest::state) {
                    Some(RequestState::Served) => ResolveResult::Served,
                    _ => ResolveResult::InFlight,
                }
            }
            Some(UnsettledKey::Served) => ResolveResult::Served,
            Some(UnsettledKey::InDoubt { .. } | UnsettledKey::Freeing) => ResolveResult::NotYet,
            None if self.served.has(&key) => ResolveResult::Served,
            None => ResolveResult::Unknown,
        };
        actions.push(Action::Reply { reply, result: why_not });
    }
}

fn key_id(asked: &KeyRequest, key: &[u8]) -> KeyId {
    KeyId { tenant: asked.tenant.into(), class: asked.class.into(), key: key.into() }
}

fn fact(now: Time, asked: &KeyRequest, keyed: bool) -> Fact {
    let (tenant, class) = (asked.tenant.into(), asked.class.into());
    Fact::Asked { tenant, class, keyed, time_left: (asked.deadline - now).0 }
}
