//! The readiness probe: its response, and the log lines about it.

use crate::connection::Client;
use crate::request::check_probe;
use crate::request_error::RequestError;
use crate::response::text_response;
use crate::rules::Rules;
use crate::server::Server;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use shaletide_balancer::{Micros, Time};
use std::cell::Cell;
use tracing::{info, warn};

/// The path of the readiness probe.
pub(crate) const READINESS_PATH: &str = "/-/ready";
/// Minimum interval between log lines about rejected probes, and between those about connections that cannot be accepted.
const LOG_INTERVAL: Micros = Micros(1_000_000);

/// State of the log lines about readiness probes.
#[derive(Debug, Default)]
pub(crate) struct ReadinessLog {
    /// Whether the first probe that was answered with 200 has been logged.
    is_ready_logged: Cell<bool>,
    /// When a rejected probe was last logged.
    rejection_logged_at: Cell<Option<Time>>,
    /// Number of rejected probes since then.
    unlogged_rejections: Cell<u64>,
    /// When it was last logged that no connection can be accepted.
    full_logged_at: Cell<Option<Time>>,
}

impl ReadinessLog {
    /// Logs the first probe that is answered with 200.
    fn log_first_ready(&self) {
        if !self.is_ready_logged.replace(true) {
            info!("start: the first readiness probe was answered: ready");
        }
    }

    /// Logs a rejected probe with the reason, unless one was logged less than [`LOG_INTERVAL`] ago.
    fn log_rejection(&self, now: Time, status: StatusCode, reason: &str) {
        let count = self.unlogged_rejections.get() + 1;
        self.unlogged_rejections.set(count);
        if !is_due(&self.rejection_logged_at, now) {
            return;
        }
        self.unlogged_rejections.set(0);
        warn!(
            "readiness probe rejected with status {}: {}; {count} since the last such line",
            status.as_u16(),
            reason.trim_end()
        );
    }
}

/// Returns whether a line that was last logged at `logged_at` is due again; if so, sets `logged_at` to `now`.
fn is_due(logged_at: &Cell<Option<Time>>, now: Time) -> bool {
    let is_due = logged_at.get().is_none_or(|at| now - at >= LOG_INTERVAL);
    if is_due {
        logged_at.set(Some(now));
    }
    is_due
}

impl Server {
    /// Logs that no connection can be accepted because the limit is reached. It is logged only until the first probe has
    /// been answered, as that probe may be among the waiting connections.
    pub(crate) fn log_full_before_ready(&self) {
        let log = &self.readiness_log;
        if !log.is_ready_logged.get() && is_due(&log.full_logged_at, self.driver.clock.now()) {
            warn!(
                "not ready: no connection can be accepted: all {} connections are in use, {} of them without a complete request",
                self.clients(),
                self.unproven()
            );
        }
    }

    /// If no probe has been answered so far, logs that, with the number of connections accepted.
    pub fn log_if_unprobed(&self) {
        if !self.readiness_log.is_ready_logged.get() {
            info!(
                "start: no readiness probe has been answered so far; {} connections accepted, {} of them open",
                self.next_connection.get(),
                self.clients()
            );
        }
    }

    /// Answers a readiness probe.
    pub(crate) fn answer_probe(
        &self, client: &Client, rules: &Rules, head: &Parts, body: &Incoming,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        check_probe(rules, head, body)?;
        if client.stream.has_excess_bytes(0) {
            return Err(RequestError::LengthMismatch);
        }
        self.readiness_log.log_first_ready();
        Ok(text_response(StatusCode::OK, "ready\n"))
    }

    /// Logs why a probe was rejected.
    pub(crate) fn log_rejected_probe(&self, rules: &Rules, error: RequestError) {
        let (status, reason) = error.answer(rules);
        self.readiness_log.log_rejection(self.driver.clock.now(), status, &reason);
    }
}
