//! Serves the requests on one connection until it ends.

use crate::close_reason::CloseReason;
use crate::connection::Client;
use crate::limits::MAX_LINGERING;
use crate::server::Server;
use crate::timer::Timer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use shaletide_net::to_duration;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Time during which the input of a lingering connection is read and discarded.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a request head in bytes, set as the limit of hyper's read buffer.
const MAX_HEAD: usize = 16 * 1024;
/// Time after which an evicted connection that is still open is closed because its client does not read the response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a connection ended.
pub(crate) struct ServeEnd {
    pub reason: CloseReason,
    /// Whether the last response was written completely.
    pub is_response_written: bool,
}

impl ServeEnd {
    fn aborted(reason: CloseReason) -> ServeEnd {
        ServeEnd { reason, is_response_written: false }
    }
}

impl Server {
    /// Keeps a connection open for up to [`LINGER_TIMEOUT`] after its last response. Closing a socket with unread input
    /// resets the connection, and the client could lose the response before reading it.
    pub(crate) async fn linger(&self, client: &Client) {
        if self.lingering.get() < MAX_LINGERING {
            self.lingering.set(self.lingering.get() + 1);
            let _ = tokio::time::timeout(LINGER_TIMEOUT, client.stream.drain()).await;
            self.lingering.set(self.lingering.get() - 1);
            self.connection_ended.notify_one();
        }
    }

    /// Counts a connection that has ended, and reports a violation if the proxy closed it while a request on it had no
    /// response.
    pub(crate) fn record_close(&self, client: &Client, reason: CloseReason) {
        self.counters.closed.add(reason);
        client.trace_closed(self.driver.clock, reason);
        if let Some(begun) = self.stop_begun.get() {
            client.log_closed_at_stop(self.driver.clock.now() - begun, reason);
        }
        if client.busy.get() && reason != CloseReason::Client {
            let number = client.number;
            let reason = reason.name();
            self.driver.report_violation(&format!(
                "connection {number} was closed ({reason}) while a request on it had no response"
            ));
        }
    }

    /// Returns the reason for the end of a connection that ended without an error.
    fn reason_of_end(&self, client: &Client) -> CloseReason {
        if client.busy.get() {
            CloseReason::Client // a request being answered is dropped only when the client ends the connection
        } else if client.announced_close.get() {
            CloseReason::Announced
        } else if client.is_slot_released() {
            CloseReason::Evicted
        } else if self.stop_deadline.get().is_some() && !client.stream.peer_closed() {
            CloseReason::Stopping
        } else {
            CloseReason::Client
        }
    }

    /// Serves requests until the connection ends. Dropping the future before it completes withdraws the requests being
    /// answered, so callers must not do that.
    pub(crate) async fn serve(self: &Rc<Self>, client: &Rc<Client>) -> ServeEnd {
        let service = service_fn(|request| self.respond(client, request));
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(MAX_HEAD)
            .timer(Timer)
            .header_read_timeout(to_duration(self.rules().head_timeout));
        let mut connection = pin!(builder.serve_connection(client.stream.clone(), service));
        let mut close_timeout = pin!(tokio::time::sleep(Duration::MAX));
        loop {
            tokio::select! {
                ended = connection.as_mut() => return match ended {
                    Ok(()) => ServeEnd { reason: self.reason_of_end(client), is_response_written: true },
                    Err(error) => ServeEnd::aborted(CloseReason::of_error(&error)),
                },
                // Idleness is checked when the timeout fires: a request that arrived meanwhile is answered, and the timeout
                // restarts.
                _ = close_timeout.as_mut(), if client.slot_released.get() => {
                    if self.is_response_unread(client) {
                        return ServeEnd::aborted(CloseReason::NotRead);
                    }
                    close_timeout.as_mut().reset(tokio::time::Instant::now() + CLOSE_TIMEOUT);
                }
                _ = client.close_requested.notified() => {
                    if client.slot_released.get() {
                        close_timeout.as_mut().reset(tokio::time::Instant::now() + CLOSE_TIMEOUT);
                    }
                    let is_idle = client.is_idle();
                    if client.slot_released.get() && !client.proven.get() && is_idle {
                        return ServeEnd::aborted(CloseReason::Evicted); // no request is unanswered
                    }
                    // A request that has just arrived is answered first; `answer` then sets `Connection: close`.
                    if client.busy.get() || !client.stream.has_pending_input() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Answers a request, then marks the connection as idle.
    async fn respond(
        self: &Rc<Self>, client: &Rc<Client>, request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        client.busy.set(true);
        let response = self.answer(client, request).await;
        client.answered.set(true);
        client.announced_close.set(response.headers().contains_key(CONNECTION));
        client.idle_since.set(self.driver.clock.now());
        client.stream.mark_idle();
        client.busy.set(false);
        Ok(response)
    }

    /// Returns whether the client of an evicted connection has not read the last response within [`CLOSE_TIMEOUT`].
    fn is_response_unread(&self, client: &Client) -> bool {
        let is_late = to_duration(self.driver.clock.now() - client.idle_since.get()) >= CLOSE_TIMEOUT;
        is_late && client.is_idle()
    }
}

impl Client {
    /// Returns whether no request is being answered and the kernel has no unread bytes.
    fn is_idle(&self) -> bool {
        !self.busy.get() && !self.stream.has_unread_bytes()
    }
}

#[cfg(test)]
mod tests;
