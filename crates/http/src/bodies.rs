//! Reads request bodies. [`shaletide_body_limits::BodyAdmission`] decides which body is read and which is evicted; this
//! module performs the I/O.

use crate::connection::Client;
use crate::request_error::RequestError;
use crate::server::Server;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use shaletide_balancer::Time;
use shaletide_body_limits::{BodyId, BodyState};
use shaletide_net::timeout::sleep_until;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which a queued request checks whether another body can be evicted to make room for its own.
const EVICTION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why a body was not read completely.
pub(crate) enum BodyError {
    /// The body is invalid or too slow, or was evicted.
    Invalid(RequestError),
    /// No room became free in time and no byte of the body was read, so a retry is harmless.
    NoRoom,
}

/// A request body and the memory reserved for it until the request is answered. Dropping it in any state frees that memory
/// and admits queued bodies.
pub(crate) struct IncomingBody {
    server: Rc<Server>,
    client: Rc<Client>,
    id: BodyId,
    length: usize,
}

impl IncomingBody {
    /// Reserves room for a body of the length given in the request's head.
    ///
    /// # Errors
    /// If the head gives no length. Heads are checked for that earlier.
    pub fn new(server: &Rc<Server>, client: &Rc<Client>, body: &Incoming) -> Result<IncomingBody, BodyError> {
        let length =
            body.size_hint().exact().ok_or(BodyError::Invalid(RequestError::LengthMismatch))? as usize;
        let id = server.bodies.borrow_mut().add(server.driver.clock.now(), length);
        server.body_senders.borrow_mut().insert(id, client.clone());
        Ok(IncomingBody { server: server.clone(), client: client.clone(), id, length })
    }

    /// Reads the whole body by `until`. If the future is dropped before it completes, the rest of the body is left on the
    /// connection, which must then be closed.
    ///
    /// # Errors
    /// If the body was not read completely.
    pub async fn read_all(&self, until: Time, mut body: Incoming) -> Result<Bytes, BodyError> {
        self.wait_for_admission(until).await?;
        self.client.body_since.set(Some(self.now()));
        let read = self.read(until, &mut body).await;
        self.client.body_since.set(None);
        let bytes = read.map_err(BodyError::Invalid)?;
        self.server.bodies.borrow_mut().on_complete(self.id);
        Ok(bytes)
    }

    fn now(&self) -> Time {
        self.server.driver.clock.now()
    }

    /// Waits until the body is admitted for reading.
    async fn wait_for_admission(&self, until: Time) -> Result<(), BodyError> {
        loop {
            let now = self.now();
            match self.server.bodies.borrow().state(self.id) {
                BodyState::Admitted => return Ok(()),
                BodyState::Evicted => return Err(BodyError::Invalid(RequestError::BodyTooSlow)),
                BodyState::Queued if now >= until => return Err(BodyError::NoRoom),
                BodyState::Queued => {}
            }
            let evicted = self.server.bodies.borrow_mut().evict_slowest(now);
            self.server.notify_senders(evicted);
            let _ = tokio::time::timeout(EVICTION_CHECK_INTERVAL, self.client.body_changed.notified()).await;
        }
    }

    /// Reads the body as long as it stays admitted and keeps to the minimum rate.
    async fn read(&self, until: Time, body: &mut Incoming) -> Result<Bytes, RequestError> {
        let mut parts = BytesMut::new();
        loop {
            let due = self.server.bodies.borrow().slow_at(self.id).map_or(until, |due| due.min(until));
            let frame = tokio::select! {
                biased; // received bytes are read before the deadline is checked, and without setting a timer
                frame = body.frame() => frame,
                () = self.client.body_changed.notified() => {
                    let is_admitted = self.server.bodies.borrow().state(self.id) == BodyState::Admitted;
                    if self.client.is_slot_released() || !is_admitted {
                        return Err(RequestError::BodyTooSlow);
                    }
                    continue;
                }
                () = sleep_until(self.server.driver.clock.instant(due)) => return Err(RequestError::BodyTooSlow),
            };
            let Some(Ok(frame)) = frame else { return Err(RequestError::MalformedBody) };
            let part = frame.into_data().map_err(|_| RequestError::MalformedBody)?;
            self.server.bodies.borrow_mut().on_bytes(self.now(), self.id, part.len());
            if parts.is_empty() && part.len() == self.length {
                return Ok(part);
            }
            if parts.is_empty() {
                parts.reserve(self.length); // the kernel maps the pages only as they are written
            }
            parts.extend_from_slice(&part);
            if parts.len() == self.length {
                return Ok(parts.freeze());
            }
        }
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        self.server.body_senders.borrow_mut().remove(&self.id);
        self.server.bodies.borrow_mut().remove(self.now(), self.id);
        self.server.notify_senders(None);
    }
}

impl Server {
    /// Wakes the readers of the bodies that were admitted and of the body that was evicted, if any.
    fn notify_senders(&self, evicted: Option<BodyId>) {
        let admitted = self.bodies.borrow_mut().take_admitted();
        let body_senders = self.body_senders.borrow();
        for id in admitted.into_iter().chain(evicted) {
            if let Some(client) = body_senders.get(&id) {
                client.body_changed.notify_one();
            }
        }
    }
}
