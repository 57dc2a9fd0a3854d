//! The server's state: connections, request bodies, request ids and counters. The sibling modules implement its operations:
//! accept, serve, proxy, evict, shut down.

use crate::connection::{Client, SlotCounters};
use crate::counters::Counters;
use crate::executed_ids::ExecutedIds;
use crate::readiness::ReadinessLog;
use crate::rules::Rules;
use hyper::header::HeaderValue;
use shaletide_balancer::Time;
use shaletide_body_limits::{BodyAdmission, BodyId};
use shaletide_net::Driver;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::Notify;

/// The HTTP server that submits clients' requests to the driver.
pub struct Server {
    pub(crate) driver: Rc<Driver>,
    pub(crate) slots: Rc<SlotCounters>,
    pub(crate) rules: RefCell<Rc<Rules>>,
    pub(crate) max_clients: usize,
    pub(crate) clients: RefCell<HashMap<u64, Rc<Client>>>,
    /// Admits and evicts request bodies.
    pub(crate) bodies: RefCell<BodyAdmission>,
    /// The connections that send request bodies.
    pub(crate) body_senders: RefCell<HashMap<BodyId, Rc<Client>>>,
    /// The ids of open requests.
    pub(crate) open_ids: RefCell<HashSet<HeaderValue>>,
    /// The ids of requests that ended not long ago and may have been executed.
    pub(crate) executed_ids: RefCell<ExecutedIds>,
    /// State of the generator of request ids.
    pub(crate) id_state: Cell<u64>,
    pub(crate) next_connection: Cell<u64>,
    /// State of the log lines about readiness probes.
    pub(crate) readiness_log: ReadinessLog,
    /// When shutdown began; set only during shutdown.
    pub(crate) stop_begun: Cell<Option<Time>>,
    /// The upper bound of all requests' deadlines; set only during shutdown.
    pub(crate) stop_deadline: Cell<Option<Time>>,
    /// The latest deadline of all requests accepted so far.
    pub(crate) latest_deadline: Cell<Time>,
    /// Signalled when a connection has ended.
    pub(crate) connection_ended: Notify,
    /// Number of connections that linger after their last response.
    pub(crate) lingering: Cell<usize>,
    /// Number of consecutive accept failures.
    pub(crate) accept_failures: Cell<u32>,
    /// Counts of events since the last report.
    pub(crate) counters: Counters,
}

impl Server {
    /// Creates a server with a limit on connections. `seed` initializes the generator of request ids.
    pub fn new(driver: Rc<Driver>, rules: Rules, max_clients: usize, seed: u64) -> Rc<Server> {
        Rc::new(Server {
            driver,
            slots: Rc::default(),
            bodies: RefCell::new(BodyAdmission::new(rules.bodies)),
            body_senders: RefCell::default(),
            rules: RefCell::new(Rc::new(rules)),
            max_clients,
            clients: RefCell::default(),
            open_ids: RefCell::default(),
            executed_ids: RefCell::default(),
            id_state: Cell::new(seed),
            next_connection: Cell::default(),
            readiness_log: ReadinessLog::default(),
            stop_begun: Cell::default(),
            stop_deadline: Cell::default(),
            latest_deadline: Cell::default(),
            connection_ended: Notify::new(),
            lingering: Cell::default(),
            accept_failures: Cell::default(),
            counters: Counters::default(),
        })
    }

    /// Replaces the rules. Open requests keep the rules by which they were accepted.
    pub fn replace_rules(&self, rules: Rules) {
        self.bodies.borrow_mut().configure(rules.bodies);
        self.rules.replace(Rc::new(rules));
    }

    pub(crate) fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// Returns the number of connections.
    pub fn clients(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Returns the number of connections that hold a slot.
    pub(crate) fn active(&self) -> usize {
        self.slots.active.get()
    }

    /// Returns the number of connections that hold a slot and have never sent a complete request.
    pub(crate) fn unproven(&self) -> usize {
        self.slots.active.get() - self.slots.proven.get()
    }

    /// Returns the part of the periodic log line that is about clients, and resets the counts of events.
    pub fn take_report(&self) -> String {
        self.counters.take_report(self.clients(), self.unproven())
    }
}
