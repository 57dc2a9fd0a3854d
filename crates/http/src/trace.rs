//! Log events of the client side of a request: see [`shaletide_net::RequestTrace`].

use crate::close_reason::CloseReason;
use crate::connection::Client;
use crate::rules::Rules;
use hyper::http::request::Parts;
use shaletide_balancer::{Micros, Time};
use shaletide_net::{request_trace_enabled, Clock, RequestEvent, RequestTrace, REQUEST_TARGET};
use std::rc::Rc;
use tracing::{debug, info};

impl Client {
    /// The connection was accepted.
    pub(crate) fn trace_accepted(&self) {
        self.trace_connection("accepted", || self.accepted_at, None);
    }

    /// The connection has ended.
    pub(crate) fn trace_closed(&self, clock: Clock, reason: CloseReason) {
        self.trace_connection("connection_closed", || clock.now(), Some(reason.name()));
    }

    /// The connection has ended while the program shuts down: one line each, at info where a request of it has no answer.
    pub(crate) fn log_closed_at_stop(&self, since_stop: Micros, reason: CloseReason) {
        let (number, reason) = (self.number, reason.name());
        let since_stop_ms = since_stop.0 / 1_000;
        if self.busy.get() {
            info!("connection {number} closed {since_stop_ms} ms after the stop began ({reason}): its request has no answer");
        } else if self.stream.has_unread_bytes() {
            let unread_ms = self.stream.since_last_received().as_millis();
            info!(
                "connection {number} closed {since_stop_ms} ms after the stop began ({reason}): bytes that came \
                 {unread_ms} ms before are unread"
            );
        } else {
            debug!("connection {number} closed {since_stop_ms} ms after the stop began ({reason}): idle");
        }
    }

    /// The time is asked for only where the event is logged.
    fn trace_connection(&self, event: &str, now: impl FnOnce() -> Time, reason: Option<&str>) {
        tracing::trace!(
            target: REQUEST_TARGET,
            event,
            connection = self.number,
            reason,
            since_accept_us = (now() - self.accepted_at).0,
        );
    }

    /// The head of a request was read: from now on its events are emitted, where events of requests are logged.
    pub(crate) fn trace_request(&self, clock: Clock, rules: &Rules, head: &Parts) {
        if !request_trace_enabled() {
            return;
        }
        let id = head.headers.get(&rules.id_header).map_or(&[][..], |id| id.as_bytes());
        let trace = RequestTrace::new(clock, id, self.number, self.accepted_at);
        trace.event(RequestEvent::HeadRead);
        self.trace.replace(Some(Rc::new(trace)));
    }

    /// An event of the present request.
    pub(crate) fn trace(&self, event: impl FnOnce(&RequestTrace)) {
        if let Some(trace) = &*self.trace.borrow() {
            event(trace);
        }
    }
}
