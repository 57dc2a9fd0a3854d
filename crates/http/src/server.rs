//! The front's state: clients, bodies, ids and counts. What is done with it stands in the modules beside this one.

use crate::connection::{Client, ConnectionCounters};
use crate::rules::Rules;
use hyper::header::HeaderValue;
use shaletide_admission::{Bodies, BodyId};
use shaletide_balancer::Time;
use shaletide_net::Host;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::Notify;

/// The front.
pub struct Server {
    pub(crate) host: Rc<Host>,
    pub(crate) counters: Rc<ConnectionCounters>,
    pub(crate) rules: RefCell<Rc<Rules>>,
    pub(crate) max_clients: usize,
    pub(crate) clients: RefCell<HashMap<u64, Rc<Client>>>,
    /// The bodies of requests, and whose they are.
    pub(crate) bodies: RefCell<Bodies>,
    pub(crate) body_senders: RefCell<HashMap<BodyId, Rc<Client>>>,
    /// The ids of the requests that are open.
    pub(crate) open_ids: RefCell<HashSet<HeaderValue>>,
    /// Ids for requests that bring none are drawn from this.
    pub(crate) id_state: Cell<u64>,
    pub(crate) next_connection: Cell<u64>,
    /// The program stops, and no request has time beyond this.
    pub(crate) stop_deadline: Cell<Option<Time>>,
    /// No request that was taken so far has time beyond this.
    pub(crate) latest_deadline: Cell<Time>,
    pub(crate) connection_ended: Notify,
    /// Connections that were answered and ended, and whose clients may still be sending.
    pub(crate) lingering: Cell<usize>,
    pub(crate) accept_logged: Cell<Time>,
    /// Accepted, let go of to make room, and turned away since the last report.
    pub(crate) accepted: Cell<u64>,
    pub(crate) evicted: Cell<u64>,
    pub(crate) rejected: Cell<u64>,
    /// Bodies that were not waited for any longer, and requests that found no room for theirs.
    pub(crate) slow_bodies: Cell<u64>,
    pub(crate) bodies_without_room: Cell<u64>,
}

impl Server {
    /// A front with places for so many clients; ids that it gives are drawn from the seed.
    pub fn new(host: Rc<Host>, rules: Rules, max_clients: usize, seed: u64) -> Rc<Server> {
        Rc::new(Server {
            host,
            counters: Rc::default(),
            bodies: RefCell::new(Bodies::new(rules.bodies)),
            body_senders: RefCell::default(),
            rules: RefCell::new(Rc::new(rules)),
            max_clients,
            clients: RefCell::default(),
            open_ids: RefCell::default(),
            id_state: Cell::new(seed),
            next_connection: Cell::default(),
            stop_deadline: Cell::default(),
            latest_deadline: Cell::default(),
            connection_ended: Notify::new(),
            lingering: Cell::default(),
            accept_logged: Cell::default(),
            accepted: Cell::default(),
            evicted: Cell::default(),
            rejected: Cell::default(),
            slow_bodies: Cell::default(),
            bodies_without_room: Cell::default(),
        })
    }

    /// Requests are read by these rules from now on; those that are open go on by theirs.
    pub fn reload(&self, rules: Rules) {
        self.bodies.borrow_mut().configure(rules.bodies);
        self.rules.replace(Rc::new(rules));
    }

    pub(crate) fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// How many are connected.
    pub fn clients(&self) -> usize {
        self.clients.borrow().len()
    }

    /// How many there are that were not told to leave.
    pub(crate) fn active(&self) -> usize {
        self.counters.active.get()
    }

    /// Those of them that never sent a whole request.
    pub(crate) fn unproven(&self) -> usize {
        self.counters.active.get() - self.counters.proven.get()
    }

    /// For the line of counts.
    pub fn report(&self) -> String {
        let (accepted, evicted, faults) = (self.accepted.take(), self.evicted.take(), self.rejected.take());
        let unproven = self.unproven();
        let clients = self.clients();
        let (slow, crowded) = (self.slow_bodies.take(), self.bodies_without_room.take());
        format!(
            "clients {clients} unproven {unproven} accepted {accepted} evicted {evicted} turned away {faults} \
             slow bodies {slow} without room {crowded}"
        )
    }
}
