//! A client's connection and what is known about it.

use shaletide_balancer::Time;
use shaletide_net::Stream;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// How many clients were not told to leave, and how many of these have sent a whole request that made sense.
#[derive(Default)]
pub(crate) struct ConnectionCounters {
    pub(crate) active: Cell<usize>,
    pub(crate) proven: Cell<usize>,
}

pub(crate) struct Client {
    pub(crate) stream: Stream,
    counters: Rc<ConnectionCounters>,
    pub(crate) busy: Cell<bool>,
    /// It has sent a whole request that made sense.
    pub(crate) proven: Cell<bool>,
    /// It was answered once.
    pub(crate) answered: Cell<bool>,
    /// Its last answer said that the connection ends.
    pub(crate) announced_close: Cell<bool>,
    /// When it was accepted or last answered.
    pub(crate) idle_since: Cell<Time>,
    /// It was chosen to make room.
    pub(crate) evicted: Cell<bool>,
    pub(crate) close_requested: Notify,
    /// The body of its request has been coming since then; nothing is owed for it yet.
    pub(crate) body_since: Cell<Option<Time>>,
    /// Something about that body has changed.
    pub(crate) body_changed: Notify,
}

impl Client {
    pub(crate) fn new(stream: Stream, idle_since: Cell<Time>, counters: Rc<ConnectionCounters>) -> Client {
        counters.active.set(counters.active.get() + 1);
        let (busy, proven, evicted) = (Cell::new(false), Cell::new(false), Cell::new(false));
        let (answered, announced_close) = (Cell::new(false), Cell::new(false));
        let (close_requested, body_since, body_changed) = (Notify::new(), Cell::new(None), Notify::new());
        Client {
            stream,
            counters,
            busy,
            proven,
            answered,
            announced_close,
            idle_since,
            evicted,
            close_requested,
            body_since,
            body_changed,
        }
    }

    /// It has sent a whole request that made sense.
    pub(crate) fn prove(&self) {
        if !self.proven.replace(true) && !self.evicted.get() {
            self.counters.proven.set(self.counters.proven.get() + 1);
        }
    }

    /// It was chosen to make room.
    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// It is to make room.
    pub(crate) fn release_slot(&self) {
        if !self.evicted.replace(true) {
            self.counters.active.set(self.counters.active.get() - 1);
            if self.proven.get() {
                self.counters.proven.set(self.counters.proven.get() - 1);
            }
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.release_slot();
    }
}
