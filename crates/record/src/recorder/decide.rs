//! Decisions about new requests, and operators' resolutions of keys in doubt.

use super::Recorder;
use crate::config::{ClassRule, WithoutKey};
use crate::event::{Action, KeyConflict, KeyDecision, KeyRequest, ReplyId, ResolveResult};
use crate::fact::{Fact, RowSubject};
use crate::pending_writes::OnCommit;
use crate::request::{IntentRequest, RecordedRequest, RequestState, UnsettledKey};
use crate::row::{Claim, KeyId, KeyState};
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;

/// Maximum length of a tenant's name in bytes, which is the limit of the operators' commands.
const MAX_TENANT: usize = 256;

impl Recorder {
    /// Returns whether requests of that class are recorded.
    pub fn records(&self, class: &str) -> bool {
        self.config.classes.contains_key(class)
    }

    /// Decides whether a front passes a request to the engine.
    pub fn decide(&mut self, now: Time, key_request: KeyRequest, actions: &mut Vec<Action>) -> KeyDecision {
        self.expire_intent_waits(now, actions);
        self.expire_served(now, actions);
        let Some(rule) = self.config.classes.get(key_request.class).copied() else {
            return KeyDecision::Proceed { requires_intent: false };
        };
        // The name is in every row of the request, and operators' commands have to be able to carry it.
        if key_request.tenant.len() > MAX_TENANT {
            return KeyDecision::KeyTooLong;
        }
        let key = key_request.key.filter(|key| !key.is_empty());
        if !rule.requires_intent {
            self.accept_recorded(now, &key_request, key, actions);
            return KeyDecision::Proceed { requires_intent: false };
        }
        self.decide_with_intent(now, &key_request, rule, key, actions)
    }

    fn decide_with_intent(
        &mut self, now: Time, key_request: &KeyRequest, rule: ClassRule, key: Option<&[u8]>,
        actions: &mut Vec<Action>,
    ) -> KeyDecision {
        if key.is_some_and(|key| key.len() > self.config.bounds.key_bytes) {
            return KeyDecision::KeyTooLong;
        }
        if key.is_none() && rule.without_key == WithoutKey::Reject {
            return KeyDecision::KeyRequired;
        }
        let key = key.map(|key| key_id(key_request, key));
        if let Some(decision) = key.as_ref().and_then(|key| self.decision_against(now, key)) {
            self.record_conflict(now, key_request, key, decision, actions);
            return decision;
        }
        if self.cannot_take_request(now) || self.requests.contains_key(&key_request.request) {
            return KeyDecision::Reject(self.retry_after(now));
        }
        self.accept(now, key_request, key, actions);
        KeyDecision::Proceed { requires_intent: true }
    }

    /// Returns why a request with this key may not be sent now, or `None` if it may.
    fn decision_against(&self, now: Time, key: &KeyId) -> Option<KeyDecision> {
        let conflict = match self.unsettled_keys.get(key) {
            Some(UnsettledKey::Requested(request)) => {
                self.requests.get(request).and_then(IntentRequest::conflict)
            }
            Some(UnsettledKey::Freeing) => None,
            Some(UnsettledKey::InDoubt { .. }) => Some(KeyConflict::InDoubt),
            Some(UnsettledKey::Served) => Some(KeyConflict::Served),
            None if self.served.has(key) => Some(KeyConflict::Served),
            None => return None,
        };
        // Without a conflict no attempt has been executed, but the key's state is still open, so a later retry is harmless.
        Some(conflict.map_or(KeyDecision::Reject(self.retry_after(now)), KeyDecision::Conflict))
    }

    /// Returns whether new requests are rejected: the store is down or stalled, or a bound is reached.
    fn cannot_take_request(&self, now: Time) -> bool {
        let bounds = &self.config.bounds;
        self.pending_writes.is_store_down()
            || self.pending_writes.is_stalled(now, self.config.intent_timeout)
            || self.pending_writes.required_count() >= bounds.required_facts
            || self.intent_deadlines.len() >= bounds.awaiting_intent
            || self.requests.len() >= bounds.unsettled
            || self.unsettled_keys.len() >= bounds.unsettled
    }

    /// Returns the time after which a client is asked to retry, which is not before the store may be back.
    pub(super) fn retry_after(&self, now: Time) -> Micros {
        let until_store_retry = self.pending_writes.store_retry_hint().map_or(Micros(0), |at| at - now);
        until_store_retry.max(self.config.retry_after)
    }

    fn accept(&mut self, now: Time, key_request: &KeyRequest, key: Option<KeyId>, actions: &mut Vec<Action>) {
        if let Some(key) = &key {
            self.unsettled_keys.insert(key.clone(), UnsettledKey::Requested(key_request.request));
        }
        let is_keyed = key.is_some();
        let about = RowSubject { request: Some(key_request.request.0), key: key.clone(), backend: None };
        let request = IntentRequest {
            key,
            deadline: key_request.deadline,
            attempts: BTreeMap::new(),
            ended: false,
            rejected_with: None,
            key_claimed: false,
            owns_key: is_keyed,
        };
        self.requests.insert(key_request.request, request);
        let fact = asked_fact(now, key_request, is_keyed);
        self.write(now, fact, about, Claim::None, OnCommit::Nothing, actions);
    }

    fn accept_recorded(
        &mut self, now: Time, key_request: &KeyRequest, key: Option<&[u8]>, actions: &mut Vec<Action>,
    ) {
        if self.recorded.len() >= self.config.bounds.unsettled {
            self.count_dropped();
            return;
        }
        let key =
            key.filter(|key| key.len() <= self.config.bounds.key_bytes).map(|key| key_id(key_request, key));
        let recorded = RecordedRequest { key: key.clone(), ..RecordedRequest::default() };
        self.recorded.insert(key_request.request, recorded);
        let fact = asked_fact(now, key_request, key.is_some());
        let about = RowSubject { request: Some(key_request.request.0), key, backend: None };
        self.write_droppable(now, fact, about, actions);
    }

    /// Records that a request was rejected unsent because of its key.
    fn record_conflict(
        &mut self, now: Time, key_request: &KeyRequest, key: Option<KeyId>, decision: KeyDecision,
        actions: &mut Vec<Action>,
    ) {
        let KeyDecision::Conflict(conflict) = decision else { return };
        let why = match conflict {
            KeyConflict::InFlight => "in_flight",
            KeyConflict::InDoubt => "doubt",
            KeyConflict::Served => "served",
        };
        let about = RowSubject { request: Some(key_request.request.0), key, backend: None };
        self.write_droppable(now, Fact::Turned { why: why.into() }, about, actions);
    }

    /// Handles an operator's statement whether the attempt in doubt was executed. In memory the key stays in doubt until the
    /// resolution is durable.
    pub(super) fn resolve(
        &mut self, now: Time, reply: ReplyId, key: KeyId, fact: Fact, ran: bool, actions: &mut Vec<Action>,
    ) {
        if let Some(result) = self.cannot_resolve(&key) {
            actions.push(Action::Reply { reply, result });
            return;
        }
        self.unsettled_keys.insert(key.clone(), UnsettledKey::InDoubt { resolving: true });
        let claim = match ran {
            true => Claim::Set(key.clone(), KeyState::Served),
            false => Claim::Free(key.clone()),
        };
        let about = RowSubject { key: Some(key.clone()), ..RowSubject::default() };
        self.write(now, fact, about, claim, OnCommit::Resolved { key, ran, reply }, actions);
    }

    /// Returns why a key cannot be resolved now, or `None` if it can.
    fn cannot_resolve(&self, key: &KeyId) -> Option<ResolveResult> {
        match self.unsettled_keys.get(key) {
            Some(UnsettledKey::InDoubt { resolving: false }) => {
                self.pending_writes.is_store_down().then_some(ResolveResult::StoreDown)
            }
            Some(UnsettledKey::InDoubt { resolving: true } | UnsettledKey::Freeing) => {
                Some(ResolveResult::NotYet)
            }
            Some(UnsettledKey::Requested(request)) => {
                match self.requests.get(request).map(IntentRequest::state) {
                    Some(RequestState::Served) => Some(ResolveResult::Served),
                    _ => Some(ResolveResult::InFlight),
                }
            }
            Some(UnsettledKey::Served) => Some(ResolveResult::Served),
            None if self.served.has(key) => Some(ResolveResult::Served),
            None => Some(ResolveResult::Unknown),
        }
    }
}

fn key_id(key_request: &KeyRequest, key: &[u8]) -> KeyId {
    KeyId { tenant: key_request.tenant.into(), class: key_request.class.into(), key: key.into() }
}

fn asked_fact(now: Time, key_request: &KeyRequest, keyed: bool) -> Fact {
    Fact::Asked {
        tenant: key_request.tenant.into(),
        class: key_request.class.into(),
        keyed,
        time_left: (key_request.deadline - now).0,
    }
}
