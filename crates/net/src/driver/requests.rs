//! Open requests: submitted by a front, then answered exactly once or withdrawn.

use super::Driver;
use crate::exchange::UpstreamRequest;
use crate::recording::RequestIdentity;
use crate::stream::PeerWatch;
use crate::trace::{AttemptTrace, RequestEvent};
use shaletide_balancer::GiveUpReason;
use shaletide_engine::{Event, FinalOutcome, RequestSpec};
use shaletide_record::{KeyConflict, KeyDecision, KeyRequest, RequestEnding};
use shaletide_routing::FinalDecision;
use shaletide_types::{AttemptNumber, BackendId, Micros, RequestId, Time};
use std::rc::Rc;
use tokio::sync::oneshot;

/// The final response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalResponse {
    /// The decision on the request.
    pub decision: FinalDecision,
    /// The attempt whose response is forwarded, or, if none is, the last attempt that was answered.
    pub attempt: Option<AttemptNumber>,
    /// The conflict of the idempotency key, if it is the reason why the request ended.
    pub key_conflict: Option<KeyConflict>,
}

/// The reason why a request is not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitError {
    /// The record does not allow its idempotency key to be sent.
    Record(KeyDecision),
    /// The client has closed its connection.
    ClientClosed,
}

/// The state of a request until its final response.
pub(super) struct OpenRequest {
    pub upstream_request: Rc<dyn UpstreamRequest>,
    response: oneshot::Sender<FinalResponse>,
    /// The time by which the request has to be answered.
    pub deadline: Time,
    /// Whether each attempt needs a persisted intent; `None` if the request is not recorded.
    pub requires_intent: Option<bool>,
    /// When its first attempt was about to be written; `None` until then.
    pub first_dispatched_at: Option<Time>,
    /// Set if the record has ended the request.
    pub conflict: Option<KeyConflict>,
}

impl OpenRequest {
    /// Returns a trace for one of the request's attempts, if requests are traced.
    pub fn attempt_trace(&self, attempt: AttemptNumber, backend: BackendId) -> Option<AttemptTrace> {
        let request = self.upstream_request.trace()?.clone();
        Some(AttemptTrace { request, attempt, backend })
    }
}

impl Driver {
    /// Accepts a request. Sets `spec.arrival.request`, `spec.requires_intent` and `spec.recorded`;
    /// `spec.arrival.time_left` is set when the engine handles the request. Returns the request's number and the receiver
    /// of its final response, which is sent by the deadline. A caller that drops the receiver has to call
    /// [`Driver::client_disconnected`].
    ///
    /// # Errors
    /// Returns the reason why the request is not accepted. No state of it is kept in that case.
    pub fn submit(
        self: &Rc<Self>, mut spec: RequestSpec, deadline: Time, identity: RequestIdentity<'_>,
        upstream_request: Rc<dyn UpstreamRequest>,
    ) -> Result<(RequestId, oneshot::Receiver<FinalResponse>), SubmitError> {
        // This is checked again before each attempt; checking it here saves a decision and a connection.
        if upstream_request.client().is_some_and(PeerWatch::closed) {
            self.state.borrow_mut().counters.client_disconnected += 1;
            if let Some(trace) = upstream_request.trace() {
                trace.event(RequestEvent::ClientClosed);
            }
            return Err(SubmitError::ClientClosed);
        }
        let now = self.clock.now();
        let id = {
            let mut state = self.state.borrow_mut();
            state.last_request_id += 1;
            state.counters.requests += 1;
            RequestId(state.last_request_id)
        };
        let requires_intent =
            self.query_recorder(now, id, identity, deadline).map_err(SubmitError::Record)?;
        if let Some(trace) = upstream_request.trace() {
            trace.taken(id, deadline - now);
        }
        let (response, receiver) = oneshot::channel();
        let open = OpenRequest {
            upstream_request,
            response,
            deadline,
            requires_intent,
            first_dispatched_at: None,
            conflict: None,
        };
        self.state.borrow_mut().open_requests.insert(id, open);
        spec.arrival.request = id;
        spec.requires_intent = requires_intent == Some(true);
        spec.recorded = requires_intent.is_some();
        self.handle_event(Event::Request(spec));
        Ok((id, receiver))
    }

    /// Asks the record whether a request may be sent. Returns whether each attempt needs a persisted intent, or `None` if
    /// the request's class is not recorded.
    fn query_recorder(
        &self, now: Time, id: RequestId, identity: RequestIdentity<'_>, deadline: Time,
    ) -> Result<Option<bool>, KeyDecision> {
        let recorder = self.state.borrow().recorder.clone();
        let RequestIdentity { tenant, class, key } = identity;
        let Some(recorder) = recorder.filter(|recorder| recorder.records(class)) else {
            return Ok(None);
        };
        match recorder.decide(now, &KeyRequest { request: id, tenant, class, key, deadline }) {
            KeyDecision::Proceed { requires_intent } => Ok(Some(requires_intent)),
            decision => Err(decision),
        }
    }

    /// Whether a request has no final response yet.
    pub(super) fn is_open(&self, request: RequestId) -> bool {
        self.state.borrow().open_requests.contains_key(&request)
    }

    /// Withdraws a request whose client closed its connection before the final response. Its attempts are cancelled.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let is_recorded = {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.open_requests.remove(&id) else { return };
            state.counters.client_disconnected += 1;
            if let Some(trace) = open.upstream_request.trace() {
                trace.event(RequestEvent::ClientClosed);
            }
            open.requires_intent.is_some()
        };
        self.handle_event(Event::ClientDisconnected { request: id });
        if is_recorded {
            let ending = RequestEnding::ClientDisconnected;
            self.record_event(shaletide_record::Event::RequestEnded { request: id, ending });
        }
    }

    /// Gives up all open requests: no more bytes of them are sent, and each gets a final response that follows from the
    /// state of its attempts. Called at the end of the shutdown.
    pub fn give_up_all(self: &Rc<Self>, retry_after: Micros) {
        let open: Vec<RequestId> = self.state.borrow().open_requests.keys().copied().collect();
        for request in open {
            self.handle_event(Event::GiveUp { request, retry_after });
        }
    }

    /// Traces the reason for which the balancer gave up a request.
    pub(super) fn trace_given_up(&self, request: RequestId, reason: GiveUpReason) {
        let state = self.state.borrow();
        let open = state.open_requests.get(&request);
        if let Some(trace) = open.and_then(|open| open.upstream_request.trace()) {
            trace.given_up(reason);
        }
    }

    /// Sends the engine's final response to the front that waits for it.
    pub(super) fn answer(
        &self, request: RequestId, outcome: FinalOutcome, last_attempt: Option<AttemptNumber>,
    ) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.open_requests.remove(&request) else { return };
        let counters = &mut state.counters;
        let (decision, attempt, ending) = match outcome {
            FinalOutcome::Served(attempt) => {
                counters.served += 1;
                (FinalDecision::Served, Some(attempt), RequestEnding::Served(attempt))
            }
            FinalOutcome::Rejected(retry_after) => {
                counters.rejected += 1;
                (FinalDecision::Rejected(retry_after), last_attempt, RequestEnding::Rejected)
            }
            FinalOutcome::Failed => {
                counters.failed += 1;
                (FinalDecision::Failed, last_attempt, RequestEnding::Failed)
            }
            FinalOutcome::TimedOut => {
                counters.timed_out += 1;
                (FinalDecision::TimedOut, None, RequestEnding::TimedOut)
            }
        };
        drop(state);
        // Fails if the client has just closed its connection and the front has dropped the receiver.
        let _ = open.response.send(FinalResponse { decision, attempt, key_conflict: open.conflict });
        if open.requires_intent.is_some() {
            self.record_event(shaletide_record::Event::RequestEnded { request, ending });
        }
    }
}
