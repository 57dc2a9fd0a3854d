//! Reads request bodies: a thin shell over [`shaletide_body_limits::BodyAdmission`], which decides which body is read and
//! which is evicted.

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

/// How often a waiting request asks whether another body can be evicted for its own.
const EVICTION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why a body was not read completely.
pub(crate) enum BodyError {
    /// It is invalid or too slow, or was evicted.
    Invalid(RequestError),
    /// No byte of it was read, as there was no room in time: a retry is harmless.
    NoRoom,
}

/// A body being read, and the memory that it reserves until its request is answered. Dropping it frees that memory, whatever
/// state it is in, and admits others.
pub(crate) struct IncomingBody {
    server: Rc<Server>,
    client: Rc<Client>,
    id: BodyId,
    length: usize,
}

impl IncomingBody {
    /// Reserves room for a body of the length that the request's head gives.
    ///
    /// # Errors
    /// Where it gives none; heads are checked for that before.
    pub fn new(server: &Rc<Server>, client: &Rc<Client>, body: &Incoming) -> Result<IncomingBody, BodyError> {
        let length =
            body.size_hint().exact().ok_or(BodyError::Invalid(RequestError::LengthMismatch))? as usize;
        let id = server.bodies.borrow_mut().begin(server.driver.clock.now(), length);
        server.body_senders.borrow_mut().insert(id, client.clone());
        Ok(IncomingBody { server: server.clone(), client: client.clone(), id, length })
    }

    /// Reads it completely by `until`. Dropped midway, it leaves the rest on the connection, which has to be closed.
    ///
    /// # Errors
    /// Why it was not read completely.
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

    /// Waits until it may be read.
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

    /// Reads it as long as it is admitted and keeps to the minimum rate.
    async fn read(&self, until: Time, body: &mut Incoming) -> Result<Bytes, RequestError> {
        let mut parts = BytesMut::new();
        loop {
            let due = self.server.bodies.borrow().due(self.id).map_or(until, |due| due.min(until));
            let frame = tokio::select! {
                biased; // bytes that are there are read before the time is checked, and set no timer
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
                parts.reserve(self.length); // the kernel maps its pages as they are written
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
    /// Wakes the readers of the bodies that were admitted, and of the one that was evicted.
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
