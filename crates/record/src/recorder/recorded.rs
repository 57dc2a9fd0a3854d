//! Requests that are only recorded: their facts are droppable, and their attempts do not wait for intents.

use super::Recorder;
use crate::event::Action;
use crate::fact::{BackendSnapshot, Fact, RowSubject};
use crate::request::AttemptId;
use shaletide_types::{RequestId, Time};

impl Recorder {
    pub(super) fn recorded_attempt_started(
        &mut self, now: Time, id: AttemptId, seen: BackendSnapshot, actions: &mut Vec<Action>,
    ) {
        if let Some(recorded) = self.recorded.get_mut(&id.request) {
            recorded.in_flight.insert(id.attempt);
        }
        self.write_recorded(now, id.request, Fact::Intent { attempt: id.attempt.0, seen }, actions);
    }

    /// Handles the end of an attempt, which may come after the end of its request.
    pub(super) fn recorded_attempt_ended(
        &mut self, now: Time, id: AttemptId, fact: Fact, actions: &mut Vec<Action>,
    ) {
        self.write_recorded(now, id.request, fact, actions);
        if let Some(recorded) = self.recorded.get_mut(&id.request) {
            recorded.in_flight.remove(&id.attempt);
        }
        self.forget_recorded(id.request);
    }

    pub(super) fn recorded_request_ended(
        &mut self, now: Time, request: RequestId, fact: Fact, actions: &mut Vec<Action>,
    ) {
        self.write_recorded(now, request, fact, actions);
        if let Some(recorded) = self.recorded.get_mut(&request) {
            recorded.ended = true;
        }
        self.forget_recorded(request);
    }

    fn forget_recorded(&mut self, request: RequestId) {
        let recorded = self.recorded.get(&request);
        if recorded.is_some_and(|recorded| recorded.ended && recorded.in_flight.is_empty()) {
            self.recorded.remove(&request);
        }
    }

    fn write_recorded(&mut self, now: Time, request: RequestId, fact: Fact, actions: &mut Vec<Action>) {
        let Some(recorded) = self.recorded.get(&request) else { return };
        let key = recorded.key.clone();
        let backend = match &fact {
            Fact::Intent { seen, .. } => Some(seen.backend.clone()),
            _ => None,
        };
        self.write_droppable(now, fact, RowSubject { request: Some(request.0), key, backend }, actions);
    }
}
