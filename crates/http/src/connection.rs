//! A client's connection, its state and the counters that all connections share.

use shaletide_balancer::Time;
use shaletide_net::{RequestTrace, Stream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// How many connections hold a slot.
#[derive(Default)]
pub(crate) struct SlotCounters {
    /// All of them.
    pub(crate) active: Cell<usize>,
    /// Those that have sent a complete and valid request.
    pub(crate) proven: Cell<usize>,
}

/// A client's connection.
pub(crate) struct Client {
    /// Counts accepted connections.
    pub(crate) number: u64,
    pub(crate) accepted_at: Time,
    pub(crate) stream: Stream,
    /// The trace of its present request, where requests are traced.
    pub(crate) trace: RefCell<Option<Rc<RequestTrace>>>,
    slots: Rc<SlotCounters>,
    /// A request of it is being answered.
    pub(crate) busy: Cell<bool>,
    /// It has sent a complete and valid request.
    pub(crate) proven: Cell<bool>,
    /// At least one request on it was answered.
    pub(crate) answered: Cell<bool>,
    /// Its last response said `Connection: close`.
    pub(crate) announced_close: Cell<bool>,
    /// When it was accepted or last answered.
    pub(crate) idle_since: Cell<Time>,
    /// It holds no slot any more: it was chosen for eviction, or has ended.
    pub(crate) slot_released: Cell<bool>,
    /// Wakes the task that serves it to close it, now or after its next response.
    pub(crate) close_requested: Notify,
    /// When reading the body of its request began; `None` once that is complete.
    pub(crate) body_since: Cell<Option<Time>>,
    /// Wakes the reader of that body: it was admitted or evicted.
    pub(crate) body_changed: Notify,
}

impl Client {
    /// A connection that takes a slot.
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

    /// Notes that it has sent a complete and valid request.
    pub(crate) fn prove(&self) {
        if !self.proven.replace(true) && !self.slot_released.get() {
            self.slots.proven.set(self.slots.proven.get() + 1);
        }
    }

    /// Whether it holds no slot any more: while it is open that means that it was chosen for eviction.
    pub(crate) fn is_slot_released(&self) -> bool {
        self.slot_released.get()
    }

    /// Frees its slot, once, while it may still be open.
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
