//! A client's connection and what is known about it.

use shaletide_balancer::Time;
use shaletide_net::Stream;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// How many clients were not told to leave, and how many of these have sent a whole request that made sense.
#[derive(Default)]
pub(crate) struct Staying {
    pub(crate) all: Cell<usize>,
    pub(crate) proven: Cell<usize>,
}

pub(crate) struct Client {
    pub(crate) stream: Stream,
    staying: Rc<Staying>,
    pub(crate) busy: Cell<bool>,
    /// It has sent a whole request that made sense.
    pub(crate) proven: Cell<bool>,
    /// It was answered once.
    pub(crate) answered: Cell<bool>,
    /// Its last answer said that the connection ends.
    pub(crate) last: Cell<bool>,
    /// When it was accepted or last answered.
    pub(crate) since: Cell<Time>,
    /// It was chosen to make room.
    pub(crate) leaving: Cell<bool>,
    pub(crate) close: Notify,
    /// The body of its request has been coming since then; nothing is owed for it yet.
    pub(crate) coming: Cell<Option<Time>>,
    /// Something about that body has changed.
    pub(crate) turn: Notify,
}

impl Client {
    pub(crate) fn new(stream: Stream, since: Cell<Time>, staying: Rc<Staying>) -> Client {
        staying.all.set(staying.all.get() + 1);
        let (busy, proven, leaving) = (Cell::new(false), Cell::new(false), Cell::new(false));
        let (answered, last) = (Cell::new(false), Cell::new(false));
        let (close, coming, turn) = (Notify::new(), Cell::new(None), Notify::new());
        Client { stream, staying, busy, proven, answered, last, since, leaving, close, coming, turn }
    }

    /// It has sent a whole request that made sense.
    pub(crate) fn prove(&self) {
        if !self.proven.replace(true) && !self.leaving.get() {
            self.staying.proven.set(self.staying.proven.get() + 1);
        }
    }

    /// It was chosen to make room.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// It is to make room.
    pub(crate) fn leave(&self) {
        if !self.leaving.replace(true) {
            self.staying.all.set(self.staying.all.get() - 1);
            if self.proven.get() {
                self.staying.proven.set(self.staying.proven.get() - 1);
            }
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.leave();
    }
}
