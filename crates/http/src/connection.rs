//! The state of a client connection, and the slot counters that all connections share.

use shaletide_balancer::Time;
use shaletide_net::{RequestTrace, Stream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Numbers of connections that hold a slot.
#[derive(Default)]
pub(crate) struct SlotCounters {
    /// All connections that hold a slot.
    pub(crate) active: Cell<usize>,
    /// Connections that hold a slot and have sent a complete and valid request.
    pub(crate) proven: Cell<usize>,
}

/// A client connection.
pub(crate) struct Client {
    /// The connection's number in the order of acceptance.
    pub(crate) number: u64,
    pub(crate) accepted_at: Time,
    pub(crate) stream: Stream,
    /// The trace of the current request, if requests are traced.
    pub(crate) trace: RefCell<Option<Rc<RequestTrace>>>,
    slots: Rc<SlotCounters>,
    /// Whether a request on the connection is being answered.
    pub(crate) busy: Cell<bool>,
    /// Whether the client has sent a complete and valid request.
    pub(crate) proven: Cell<bool>,
    /// Whether at least one request on the connection was answered.
    pub(crate) answered: Cell<bool>,
    /// Whether the last response had `Connection: close`.
    pub(crate) announced_close: Cell<bool>,
    /// When the connection was accepted or last answered.
    pub(crate) idle_since: Cell<Time>,
    /// Whether the connection has released its slot: it was chosen for eviction or has ended.
    pub(crate) slot_released: Cell<bool>,
    /// Wakes the task that serves the connection, to close it now or after its next response.
    pub(crate) close_requested: Notify,
    /// When reading the current request's body began; `None` while no body is being read.
    pub(crate) body_since: Cell<Option<Time>>,
    /// Wakes the reader of that body when the body is admitted or evicted.
    pub(crate) body_changed: Notify,
}

impl Client {
    /// Creates a connection that takes a slot.
    pub(crate) fn new(number: u64, stream: Stream, accepted_at: Time, slots: Rc<SlotCounters>) -> Client {
        slots.active.set(slots.active.get() + 1);
        Client {
            number,
            accepted_at,
            stream,
            trace: RefCell::new(None),
            slots,
            busy: Cell::new(false),
            proven: Cell::new(false),
            answered: Cell::new(false),
            announced_close: Cell::new(false),
            idle_since: Cell::new(accepted_at),
            slot_released: Cell::new(false),
            close_requested: Notify::new(),
            body_since: Cell::new(None),
            body_changed: Notify::new(),
        }
    }

    /// Marks the client as having sent a complete and valid request.
    pub(crate) fn mark_proven(&self) {
        if !self.proven.replace(true) && !self.slot_released.get() {
            self.slots.proven.set(self.slots.proven.get() + 1);
        }
    }

    /// Returns whether the slot is released. While the connection is open, this means that it was chosen for eviction.
    pub(crate) fn is_slot_released(&self) -> bool {
        self.slot_released.get()
    }

    /// Releases the slot if it is still held. The connection itself may stay open.
    pub(crate) fn release_slot(&self) {
        if !self.slot_released.replace(true) {
            self.slots.active.set(self.slots.active.get() - 1);
            if self.proven.get() {
                self.slots.proven.set(self.slots.proven.get() - 1);
            }
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.release_slot();
    }
}
