//! Connections to backends and the attempts on them: established, written to and closed as the engine decides.

use super::{Driver, State};
use crate::clock::to_duration;
use crate::connection_table::UpstreamConnection;
use crate::exchange::{ExchangeOutcome, ExchangeSpec};
use crate::io_error::{connect_failure, ConnectFailure, SystemCall};
use crate::stream::Stream;
use crate::timeout::{self, TimedOut};
use crate::trace::{request_trace_enabled, AttemptEvent, AttemptOutcome};
use shaletide_engine::{ConnectionLimits, ConnectionState, Event};
use shaletide_types::{AttemptNumber, BackendId, ConnectionId, Micros, RequestId, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// The fraction of the backends' idle timeout after which a connection is not reused. It is well below 1, as the backend's
/// idle timer may have started earlier than the proxy's.
const USABLE_IDLE_FRACTION: f64 = 0.6;
/// The time for which a connection is not reused after a response. A response to a hedged attempt, or excess bytes, may
/// follow some milliseconds later, and could not be distinguished from the response to the next request once that request
/// is on the connection. The delay costs as many additional connections as there are responses within it.
pub(super) const REUSE_DELAY: Micros = Micros(10_000);
/// The delay before a connect that failed for lack of system resources is retried.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Settings of the connections to backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamConfig {
    /// The time after which a connect that has not completed counts as failed.
    pub connect_timeout: Micros,
    /// The time after which backends close idle connections.
    pub idle_timeout: Micros,
    /// The time after its first byte at which an incomplete response counts as invalid; `None` for no limit but the
    /// deadline.
    pub response_stall_timeout: Option<Micros>,
    /// The longest body of a valid response, in bytes.
    pub max_body: usize,
    /// The maximum number of connections at the same time.
    pub max_connections: usize,
}

impl UpstreamConfig {
    /// Returns the limits that the engine enforces.
    pub(super) fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_connections: self.max_connections,
            idle_timeout: self.idle_timeout.times(USABLE_IDLE_FRACTION),
            reuse_delay: REUSE_DELAY,
        }
    }
}

/// An attempt that the engine dispatches.
pub(super) struct Dispatch {
    pub connection: ConnectionId,
    pub request: RequestId,
    pub attempt: AttemptNumber,
    /// The time until which the response is awaited.
    pub deadline: Time,
    /// The time after which no byte of the request is written.
    pub write_deadline: Option<Time>,
    /// Whether the request is written only while the backend's machine is heard on this connection.
    pub requires_live_path: bool,
    /// Whether what was not delivered is discarded when the connection is closed.
    pub discard_on_close: bool,
}

/// Returns the event for a connection on which no byte of an attempt was written. The engine uses another connection
/// instead, except if this one was new: with a backend that closes each new connection, or sends first on it, the engine
/// would otherwise reconnect until the request's deadline.
fn unusable_event(connection: ConnectionId, just_established: bool) -> Event {
    if just_established {
        Event::ConnectionClosed { connection }
    } else {
        Event::ConnectionUnusable { connection }
    }
}

/// Returns the outcome of an attempt for its trace.
fn traced_outcome(outcome: &ExchangeOutcome, stream: &Stream) -> AttemptOutcome {
    match outcome {
        ExchangeOutcome::Response { class, .. } => AttemptOutcome::Answered(*class),
        _ if stream.is_unwritten() => AttemptOutcome::NotWritten,
        ExchangeOutcome::InvalidResponse => AttemptOutcome::InvalidResponse,
        ExchangeOutcome::ConnectionClosed => AttemptOutcome::ConnectionClosed,
    }
}

impl Driver {
    /// Starts to establish a connection, unless it is for a repeat of a keyed request and the process that would get it may be
    /// a new one at the address. The task is aborted if the connection is closed before it is established.
    pub(super) fn connect(
        self: &Rc<Self>, connection: ConnectionId, backend: BackendId, repeat_of: Option<RequestId>,
    ) {
        let mut state = self.state.borrow_mut();
        let to = state.directory.address(backend);
        let to = to.filter(|to| repeat_of.is_none_or(|request| state.may_repeat_at(backend, *to, request)));
        let Some(to) = to else {
            state.pending_events.push_back(Event::ConnectFailed { connection, backend_at_fault: false });
            return;
        };
        state.connections.connects_begun += 1;
        state.trace_connecting(connection, AttemptEvent::Connecting);
        let driver = self.clone();
        let task = tokio::task::spawn_local(async move {
            let timeout = to_duration(driver.upstream_config.get().connect_timeout);
            let result = driver.connect_within(to, timeout).await;
            driver.connect_ended(connection, result);
        });
        let upstream = UpstreamConnection::connecting(backend, to, task.abort_handle());
        state.connections.by_id.insert(connection, upstream);
    }

    /// Connects to `to` within the given time. Retries while system resources are short, as such a shortage is not a
    /// failure of the backend. If the future is dropped, no socket is left open.
    async fn connect_within(&self, to: SocketAddr, within: Duration) -> Result<TcpStream, ConnectFailure> {
        let mut last_failure = ConnectFailure::Peer;
        let attempts = async {
            loop {
                let error = match TcpStream::connect(to).await {
                    Ok(tcp) => return Ok(tcp),
                    Err(error) => error,
                };
                last_failure = connect_failure(&error);
                if last_failure != ConnectFailure::Peer {
                    self.system_errors.log_and_count(self.clock.now(), SystemCall::Connect, &error);
                }
                if last_failure != ConnectFailure::SystemShortage {
                    return Err(last_failure);
                }
                tokio::time::sleep(CONNECT_RETRY_DELAY).await;
            }
        };
        match timeout::timeout(within, attempts).await {
            Ok(result) => result,
            Err(TimedOut) => Err(last_failure),
        }
    }

    /// Reports to the engine how a connect ended. The connection counts as just established while the engine handles this
    /// event.
    fn connect_ended(self: &Rc<Self>, connection: ConnectionId, result: Result<TcpStream, ConnectFailure>) {
        let event = {
            let mut state = self.state.borrow_mut();
            match result {
                Ok(tcp) => {
                    let stream = Stream::new(tcp);
                    let now = self.clock.now();
                    if let Some(upstream) = state.connections.by_id.get_mut(&connection) {
                        upstream.established(stream, now);
                    }
                    Event::Connected { connection }
                }
                Err(failure) => {
                    state.trace_connecting(connection, AttemptEvent::ConnectFailed);
                    state.connections.by_id.remove(&connection);
                    state.counters.connects_failed += 1;
                    Event::ConnectFailed { connection, backend_at_fault: failure == ConnectFailure::Peer }
                }
            }
        };
        self.handle_event(event);
        if let Some(upstream) = self.state.borrow_mut().connections.by_id.get_mut(&connection) {
            upstream.just_established = false;
        }
    }

    /// Starts an attempt on an established connection, unless the connection turns out to be unusable. The exchange is
    /// dropped if the connection is closed before the exchange ends: see [`Driver::close`].
    pub(super) fn dispatch(self: &Rc<Self>, dispatch: Dispatch) {
        let Dispatch {
            connection,
            request,
            attempt,
            deadline,
            write_deadline,
            requires_live_path,
            discard_on_close,
        } = dispatch;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if requires_live_path && !state.may_repeat_on(connection, request) {
            // The engine connects again, which finds the same.
            state.counters.connections_unusable += 1;
            state.trace_unusable(connection, request, attempt);
            state.pending_events.push_back(Event::ConnectionUnusable { connection });
            return;
        }
        let upstream = state.connections.by_id.get_mut(&connection);
        let just_established = upstream.as_ref().is_some_and(|upstream| upstream.just_established);
        // The check of the cached readiness is enough here: the event loop may run other tasks before the first write, which
        // checks the kernel's state itself.
        let stream = upstream.as_ref().and_then(|upstream| upstream.usable_stream());
        let stream = stream.filter(|stream| stream.set_discard_on_close(discard_on_close).is_ok());
        let open = state.open_requests.get_mut(&request);
        let (Some(upstream), Some(stream), Some(open)) = (upstream, stream, open) else {
            state.counters.connections_unusable += 1;
            state.trace_unusable(connection, request, attempt);
            state.pending_events.push_back(unusable_event(connection, just_established));
            return;
        };
        state.counters.dispatched += 1;
        open.first_dispatched_at.get_or_insert_with(|| self.clock.now());
        let config = self.upstream_config.get();
        let exchange = ExchangeSpec {
            attempt,
            stream: stream.clone(),
            to: upstream.to,
            deadline: self.clock.instant(deadline).into_std(),
            stall_timeout: config.response_stall_timeout.map(to_duration),
            max_body: config.max_body,
        };
        stream.prepare_request(); // the request counts as unwritten until the exchange begins it
        stream.set_write_deadline(write_deadline.map(|at| self.clock.instant(at).into_std()));
        stream.require_live_path(requires_live_path);
        stream.set_start_deadline(Some(self.clock.instant(open.deadline).into_std()));
        stream.set_client(open.upstream_request.client().cloned());
        stream.begin_trace(open.attempt_trace(attempt, upstream.backend));
        let driver = self.clone();
        let exchange = open.upstream_request.clone().run_attempt(exchange);
        let task = tokio::task::spawn_local(async move {
            let outcome = exchange.await;
            driver.exchange_ended(connection, request, outcome, &stream, just_established);
        });
        upstream.task = Some(task.abort_handle());
        upstream.busy = true;
    }

    /// Reports to the engine how an attempt ended.
    fn exchange_ended(
        self: &Rc<Self>, connection: ConnectionId, request: RequestId, outcome: ExchangeOutcome,
        stream: &Stream, just_established: bool,
    ) {
        stream.end_trace(|| traced_outcome(&outcome, stream));
        let is_failed = !matches!(outcome, ExchangeOutcome::Response { .. });
        if is_failed && stream.is_unwritten() && stream.client_closed() && self.is_open(request) {
            // The engine closes the connection, and does not count this as a failure of the backend.
            return self.client_disconnected(request);
        }
        let is_written = stream.request_written();
        let event = {
            let mut state = self.state.borrow_mut();
            let Some(upstream) = state.connections.by_id.get_mut(&connection) else { return };
            upstream.busy = false;
            upstream.task = None;
            if is_failed && stream.is_unwritten() {
                // Input or a close before the first byte belongs to an earlier request, if to any.
                state.counters.connections_unusable += 1;
                let is_backend_at_fault = !stream.write_deadline_passed() && !stream.path_expired();
                unusable_event(connection, just_established && is_backend_at_fault)
            } else {
                state.outcome_event(connection, outcome)
            }
        };
        if is_written {
            self.handle_event(Event::RequestWritten { connection });
        }
        self.handle_event(event);
    }

    /// Closes a connection. An attempt on it is cancelled: its exchange is dropped and writes nothing more, so that the
    /// report to the engine whether the request was written is final. The kernel still sends what was written, unless the
    /// attempt was dispatched with `discard_on_close`.
    pub(super) fn close(&self, connection: ConnectionId) {
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.connections.by_id.remove(&connection) else { return };
        if !upstream.busy {
            return;
        }
        let written = upstream.stream.as_ref().is_some_and(Stream::request_written);
        if let Some(stream) = &upstream.stream {
            stream.end_trace(|| AttemptOutcome::Cancelled);
        }
        state.pending_events.push_back(Event::CloseCompleted { connection, written });
    }

    /// Returns the number of connections to backends that are established or being established.
    pub fn upstream_connection_count(&self) -> usize {
        self.state.borrow().engine.connection_count()
    }

    /// Closes an idle connection to free a descriptor for a client. Returns whether there was an idle connection.
    pub fn close_idle_connection(self: &Rc<Self>) -> bool {
        let idle = self.state.borrow().engine.connection_to_evict();
        if let Some(connection) = idle {
            self.handle_event(Event::ConnectionUnusable { connection });
        }
        idle.is_some()
    }
}

impl State {
    /// Whether a repeat of a keyed request may be sent to a backend at this address. A list may tell late that the address has
    /// another process, which does not know the key and may be of another deduplication group: an open connection has to show
    /// that the process there has been the same since before the first attempt was sent. A backend of a static pool is
    /// whatever has its address.
    fn may_repeat_at(&mut self, backend: BackendId, to: SocketAddr, request: RequestId) -> bool {
        if self.directory.is_static(backend) {
            return true;
        }
        let open = self.open_requests.get(&request);
        // Until then, no attempt was sent that could be repeated.
        let Some(first_dispatched_at) = open.and_then(|open| open.first_dispatched_at) else { return true };
        let is_known = self.connections.has_connection_since(to, first_dispatched_at);
        if !is_known {
            self.counters.repeats_declined += 1;
        }
        is_known
    }

    /// The same as [`State::may_repeat_at`] for the backend that a connection leads to.
    fn may_repeat_on(&mut self, connection: ConnectionId, request: RequestId) -> bool {
        let upstream = self.connections.by_id.get(&connection);
        let to = upstream.map(|upstream| (upstream.backend, upstream.to));
        to.is_none_or(|(backend, to)| self.may_repeat_at(backend, to, request))
    }

    /// Returns the event for an exchange that has written at least one byte or received a response.
    fn outcome_event(&mut self, connection: ConnectionId, outcome: ExchangeOutcome) -> Event {
        match outcome {
            ExchangeOutcome::Response { class, reusable, has_excess_bytes, report } => {
                if let Some(report) = report {
                    self.pending_events.push_back(Event::LoadReported { connection, report });
                }
                Event::ResponseReceived { connection, class, reusable, has_excess_bytes }
            }
            ExchangeOutcome::InvalidResponse => {
                self.counters.invalid_responses += 1;
                Event::InvalidResponse { connection }
            }
            ExchangeOutcome::ConnectionClosed => {
                self.counters.connections_closed += 1;
                Event::ConnectionClosed { connection }
            }
        }
    }

    /// Traces an event of the attempt for which a connection is being established, if there is one.
    fn trace_connecting(&self, connection: ConnectionId, event: AttemptEvent) {
        if !request_trace_enabled() {
            return;
        }
        let connecting = self.engine.connections().find(|(id, ..)| *id == connection);
        let Some((_, backend, ConnectionState::Connecting(Some((request, attempt))))) = connecting else {
            return;
        };
        let open = self.open_requests.get(&request);
        if let Some(trace) = open.and_then(|open| open.attempt_trace(attempt, backend)) {
            trace.event(event);
        }
    }

    /// Traces that an attempt was dispatched on a connection that is unusable.
    fn trace_unusable(&self, connection: ConnectionId, request: RequestId, attempt: AttemptNumber) {
        let backend = self.connections.by_id.get(&connection).map(|upstream| upstream.backend);
        let open = self.open_requests.get(&request);
        let (Some(open), Some(backend)) = (open, backend) else { return };
        if let Some(trace) = open.attempt_trace(attempt, backend) {
            trace.event(AttemptEvent::ConnectionUnusable);
        }
    }
}
