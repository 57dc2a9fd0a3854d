//! Handles a request up to its response: checks the head, reads the body, submits the request to the driver and builds the
//! response.

use crate::bodies::{BodyError, IncomingBody};
use crate::connection::Client;
use crate::outgoing::OutgoingRequest;
use crate::readiness::READINESS_PATH;
use crate::request::{check_target, read_head};
use crate::request_error::RequestError;
use crate::request_id::OpenIdGuard;
use crate::response::{final_response, key_decision_response, rejection, text_response};
use crate::rules::{ClassRule, Rules};
use crate::server::Server;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use shaletide_balancer::{Idempotency, Micros, RequestId, Time};
use shaletide_net::{Driver, FinalResponse, RequestEvent, RequestIdentity, SubmitError};
use shaletide_routing::FinalDecision;
use std::rc::Rc;

/// `Retry-After` for a request whose body found no room. Slow bodies have ended by then.
const NO_ROOM_RETRY_AFTER: Micros = Micros(1_000_000);

impl Server {
    /// Answers a request. The response has `Connection: close` if the connection ends after it.
    pub(crate) async fn answer(
        self: &Rc<Self>, client: &Rc<Client>, request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let rules = self.rules();
        let (head, body) = request.into_parts();
        client.trace_request(self.driver.clock, &rules, &head);
        let is_probe = head.uri.path() == READINESS_PATH;
        let result = match (check_target(&head), head.uri.path()) {
            (Err(error), _) => Err(error),
            (Ok(()), READINESS_PATH) => self.answer_probe(client, &rules, &head, &body),
            (Ok(()), _) => self.proxy(client, &rules, head, body).await,
        };
        // The bytes that follow an invalid request on its connection may not be a request.
        let is_invalid = result.is_err();
        let mut response = result.unwrap_or_else(|error| {
            if is_probe {
                self.log_rejected_probe(&rules, error);
            }
            self.reject(client, &rules, error)
        });
        // A request that was complete when its connection was evicted is served nevertheless.
        if is_invalid
            || client.is_slot_released()
            || self.stop_deadline.get().is_some()
            || self.is_short_of_slots()
        {
            set_connection_close(&mut response);
        }
        client.trace(|trace| trace.answered(response.status().as_u16()));
        response
    }

    fn reject(&self, client: &Client, rules: &Rules, error: RequestError) -> Response<Full<Bytes>> {
        client.trace(|trace| trace.rejected(error));
        self.counters.rejected.increment();
        let (status, text) = error.answer(rules);
        let mut response = text_response(status, text);
        if let Some(Ok(methods)) = error.allowed_methods(rules).map(HeaderValue::try_from) {
            response.headers_mut().insert(ALLOW, methods);
        }
        response
    }

    /// Returns whether so many connections are in use that each one is closed after its response, to free slots for other
    /// clients.
    fn is_short_of_slots(&self) -> bool {
        self.slots.proven.get() > self.max_clients / 2 || self.active() > self.max_clients
    }

    /// Reads the whole body of a request. Its reserved memory is freed when the second value is dropped.
    async fn body(
        self: &Rc<Self>, client: &Rc<Client>, until: Time, body: Incoming,
    ) -> Result<(Bytes, Option<IncomingBody>), BodyError> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), None));
        }
        let incoming = IncomingBody::new(self, client, &body)?;
        let read = incoming.read_all(until, body).await;
        match &read {
            Err(BodyError::NoRoom) => self.counters.bodies_without_room.increment(),
            Err(BodyError::Invalid(RequestError::BodyTooSlow)) => self.counters.slow_bodies.increment(),
            Ok(_) | Err(BodyError::Invalid(_)) => {}
        }
        read.map(|bytes| (bytes, Some(incoming)))
    }

    /// Checks a request, reads its body and forwards it. If the future is dropped before it completes, because the client
    /// closed the connection, the memory of the body is freed and the request is withdrawn from the driver.
    async fn proxy(
        self: &Rc<Self>, client: &Rc<Client>, rules: &Rules, head: Parts, body: Incoming,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        let received = self.received_at(client);
        let parsed = read_head(rules, &head, &body)?;
        let deadline = received + Micros(parsed.time_left.0.saturating_sub(self.driver.deadline_margin().0));
        let body_deadline = self.limit_to_stop(received + parsed.time_left.min(rules.body_timeout));
        let (body, _reserved) = match self.body(client, body_deadline, body).await {
            Ok(body) => body,
            Err(BodyError::Invalid(error)) => return Err(error),
            Err(BodyError::NoRoom) => {
                let mut response = rejection(rules, NO_ROOM_RETRY_AFTER);
                set_connection_close(&mut response);
                return Ok(response);
            }
        };
        client.trace(|trace| trace.event(RequestEvent::BodyRead));
        // Clients send nothing more before they have the response. Excess bytes mean that the length is wrong or that a
        // second request is hidden in the body.
        if client.stream.has_excess_bytes(body.len()) {
            return Err(RequestError::LengthMismatch);
        }
        // Shutdown may have begun while the body was read.
        let outgoing = self.outgoing(client, rules, head, parsed, body, self.limit_to_stop(deadline))?;
        self.forward(client, rules, outgoing).await
    }

    /// Returns when the client's last bytes arrived at this machine. The time that a request spent in the accept queue or
    /// waiting for the event loop counts against its deadline. The clock is read first: if the process is suspended between
    /// the two calls, the request's time left becomes shorter, never longer.
    fn received_at(&self, client: &Client) -> Time {
        let read_at = self.driver.clock.now();
        let waited = Micros(client.stream.since_last_received().as_micros() as u64);
        read_at - waited
    }

    /// Returns the earlier of the deadline and, during shutdown, the stop deadline.
    fn limit_to_stop(&self, deadline: Time) -> Time {
        self.stop_deadline.get().map_or(deadline, |stop| deadline.min(stop))
    }

    /// Submits a request to the driver and waits for its answer.
    async fn forward(
        self: &Rc<Self>, client: &Client, rules: &Rules, outgoing: OutgoingRequest,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        let OutgoingRequest { id, deadline, spec, tenant, key, forwarded } = outgoing;
        let mut id_guard = OpenIdGuard::new(self, id)?;
        client.mark_proven();
        self.latest_deadline.set(self.latest_deadline.get().max(deadline));
        let is_safe = spec.idempotency == Idempotency::Safe;
        let class = &rules.classes[spec.arrival.class.0];
        // The record knows more of its requests: whether they were executed, and for longer.
        if let Some(retention) = id_retention(class).filter(|_| !self.driver.is_recorded(&class.name)) {
            id_guard.keep_if_executed(forwarded.clone(), retention);
        }
        let identity = RequestIdentity {
            tenant: tenant.as_deref().unwrap_or_default(),
            class: &class.name,
            key: key.as_deref().map(str::as_bytes),
        };
        let (request, answer) = match self.driver.submit(spec, deadline, identity, forwarded.clone()) {
            Ok(accepted) => accepted,
            Err(SubmitError::Record(decision)) => return key_decision_response(rules, decision),
            Err(SubmitError::ClientClosed) => return Err(RequestError::ClientClosed),
        };
        let body_length = forwarded.body.len();
        let mut guard = RequestGuard { driver: &self.driver, id: request, open: true };
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // Dropping `guard` withdraws the request.
            () = client.stream.closed_after_excess(body_length) => return Err(RequestError::LengthMismatch),
        };
        guard.open = false;
        if matches!(&answer, Ok(FinalResponse { decision: FinalDecision::Rejected(_), .. })) {
            id_guard.set_rejected();
        }
        let mut response = match answer {
            Ok(answer) => final_response(rules, answer, &forwarded, is_safe),
            Err(_) => text_response(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        };
        // Excess bytes may have arrived while the request was open.
        if client.stream.has_excess_bytes(body_length) {
            set_connection_close(&mut response);
        }
        Ok(response)
    }
}

/// Returns the time for which the id of a request of this class is kept after its end, as the request may come again: a client
/// waits no longer than the class's deadline, and backends may discard a repeat until the key's window is over. `None` if a
/// second execution has no effect.
fn id_retention(class: &ClassRule) -> Option<Micros> {
    match class.idempotency {
        Idempotency::Safe => None,
        Idempotency::Keyed(_, window) => Some(class.deadline.max(window)),
        Idempotency::NonIdempotent => Some(class.deadline),
    }
}

/// Adds `Connection: close` to a response.
fn set_connection_close(response: &mut Response<Full<Bytes>>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Withdraws a request when hyper drops it without an answer because its client has closed the connection.
struct RequestGuard<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
    open: bool,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if self.open {
            self.driver.client_disconnected(self.id);
        }
    }
}

#[cfg(test)]
mod tests;
