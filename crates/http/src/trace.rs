//! Emits the trace events of client connections and of the client side of requests: see [`shaletide_net::RequestTrace`].

use crate::close_reason::CloseReason;
use crate::connection::Client;
use crate::rules::Rules;
use hyper::http::request::Parts;
use shaletide_balancer::{Micros, Time};
use shaletide_net::{request_trace_enabled, Clock, RequestEvent, RequestTrace, REQUEST_TARGET};
use std::rc::Rc;
use tracing::{debug, info};

impl Client {
    /// Traces that the connection was accepted.
    pub(crate) fn trace_accepted(&self) {
        self.trace_connection("accepted", || self.accepted_at, None);
    }

    /// Traces that the connection has ended.
    pub(crate) fn trace_closed(&self, clock: Clock, reason: CloseReason) {
        self.trace_connection("connection_closed", || clock.now(), Some(reason.name()));
    }

    /// Logs a connection that ended during shutdown: at level info if a request on it has no response or bytes on it are
    /// unread, otherwise at level debug.
    pub(crate) fn log_closed_at_stop(&self, since_stop: Micros, reason: CloseReason) {
        let (number, reason) = (self.number, reason.name());
        let since_stop_ms = since_stop.0 / 1_000;
        if self.busy.get() {
            info!("connection {number} closed {since_stop_ms} ms after the stop began ({reason}): its request has no response");
        } else if self.stream.has_unread_bytes() {
            let unread_ms = self.stream.since_last_received().as_millis();
            info!(
                "connection {number} closed {since_stop_ms} ms after the stop began ({reason}): bytes received \
                 {unread_ms} ms earlier are unread"
            );
        } else {
            debug!("connection {number} closed {since_stop_ms} ms after the stop began ({reason}): idle");
        }
    }

    /// Traces an event of the connection. `now` is called only if the event is logged.
    fn trace_connection(&self, event: &str, now: impl FnOnce() -> Time, reason: Option<&str>) {
        tracing::trace!(
            target: REQUEST_TARGET,
            event,
            connection = self.number,
            reason,
            since_accept_us = (now() - self.accepted_at).0,
        );
    }

    /// Starts the trace of a request whose head was read, if request events are logged.
    pub(crate) fn trace_request(&self, clock: Clock, rules: &Rules, head: &Parts) {
        if !request_trace_enabled() {
            return;
        }
        let id = head.headers.get(&rules.id_header).map_or(&[][..], |id| id.as_bytes());
        let trace = RequestTrace::new(clock, id, self.number, self.accepted_at);
        trace.event(RequestEvent::HeadRead);
        self.trace.replace(Some(Rc::new(trace)));
    }

    /// Applies `event` to the trace of the current request, if there is one.
    pub(crate) fn trace(&self, event: impl FnOnce(&RequestTrace)) {
        if let Some(trace) = &*self.trace.borrow() {
            event(trace);
        }
    }
}
