//! Events of requests, attempts and endpoint lists, passed on to the record, and the record's decisions on open requests.

use super::Driver;
use crate::recording::RequestRecorder;
use shaletide_engine::{ConnectionState, Event};
use shaletide_record::{BackendSnapshot, KeyDecision};
use shaletide_types::{AttemptNumber, BackendId, BackendState, Micros, RequestId};
use std::rc::Rc;

impl Driver {
    /// Sets the recorder, which is passed the events of requests of recorded classes from now on.
    pub fn set_recorder(&self, recorder: Rc<dyn RequestRecorder>) {
        self.state.borrow_mut().recorder = Some(recorder);
    }

    /// Handles the store's reply to a write-ahead intent: the attempt may be sent if the intent is persisted.
    pub fn on_intent_persisted(self: &Rc<Self>, request: RequestId, attempt: AttemptNumber, persisted: bool) {
        self.handle_event(Event::IntentPersisted { request, attempt, persisted });
    }

    /// Ends a request whose idempotency key may not be sent, which the record found only after the request was submitted.
    pub fn end_by_record(self: &Rc<Self>, request: RequestId, decision: KeyDecision) {
        let retry_after = match decision {
            KeyDecision::Reject(retry_after) => retry_after,
            KeyDecision::Conflict(conflict) => {
                if let Some(open) = self.state.borrow_mut().open_requests.get_mut(&request) {
                    open.conflict = Some(conflict);
                }
                Micros(0)
            }
            KeyDecision::Proceed { .. } | KeyDecision::KeyRequired | KeyDecision::KeyTooLong => Micros(0),
        };
        self.handle_event(Event::GiveUp { request, retry_after });
    }

    /// Whether requests of this class are recorded.
    pub fn is_recorded(&self, class: &str) -> bool {
        self.state.borrow().recorder.as_ref().is_some_and(|recorder| recorder.records(class))
    }

    /// Passes an event on to the recorder, if one is set.
    pub(super) fn record_event(&self, event: shaletide_record::Event) {
        let recorder = self.state.borrow().recorder.clone();
        if let Some(recorder) = recorder {
            recorder.on_event(self.clock.now(), event);
        }
    }

    /// Records that an attempt is about to be sent, if its request is recorded without intents. An intent already records
    /// the same.
    pub(super) fn record_attempt_without_intent(&self, request: RequestId, attempt: AttemptNumber) {
        let requires_intent =
            self.state.borrow().open_requests.get(&request).and_then(|open| open.requires_intent);
        if requires_intent == Some(false) {
            let seen = self.backend_seen(request, attempt);
            self.record_event(shaletide_record::Event::AttemptStarted { request, attempt, seen });
        }
    }

    /// Requests that the store persists the intent to send an attempt.
    pub(super) fn record_intent(&self, request: RequestId, attempt: AttemptNumber) {
        let seen = self.backend_seen(request, attempt);
        self.record_event(shaletide_record::Event::IntentRequested { request, attempt, seen });
    }

    /// Returns the current state of the backend of an attempt.
    fn backend_seen(&self, request: RequestId, attempt: AttemptNumber) -> BackendSnapshot {
        let state = self.state.borrow();
        let attempts = state.engine.requests().get(&request).map(|request| &request.attempts);
        let attempt = attempts.and_then(|attempts| attempts.get(attempt.0 as usize));
        let Some(backend) = attempt.map(|attempt| attempt.backend) else {
            return BackendSnapshot::default();
        };
        let pool = state.directory.pool(backend);
        let backend_state = state.engine.backend_state(backend);
        let is_busy = |(_, to, step): &(_, BackendId, ConnectionState)| {
            *to == backend && matches!(step, ConnectionState::Busy(..))
        };
        BackendSnapshot {
            backend: state.directory.name(backend).unwrap_or_default().into(),
            pool: pool.and_then(|pool| state.directory.pool_name(pool)).unwrap_or_default().into(),
            list: pool.map_or(0, |pool| state.endpoint_lists.version(pool)),
            state: format!("{backend_state:?}").to_lowercase(),
            ready: backend_state == BackendState::Ready,
            in_flight: state.engine.connections().filter(is_busy).count() as u32,
        }
    }
}
