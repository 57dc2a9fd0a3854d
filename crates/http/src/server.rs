//! The front's state: clients, bodies, ids and counts. What is done with it stands in the modules beside this one.

use crate::connection::{Client, Staying};
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
    pub(crate) staying: Rc<Staying>,
    pub(crate) rules: RefCell<Rc<Rules>>,
    pub(crate) max: usize,
    pub(crate) clients: RefCell<HashMap<u64, Rc<Client>>>,
    /// The bodies of requests, and whose they are.
    pub(crate) bodies: RefCell<Bodies>,
    pub(crate) senders: RefCell<HashMap<BodyId, Rc<Client>>>,
    /// The ids of the requests that are open.
    pub(crate) ids: RefCell<HashSet<HeaderValue>>,
    /// Ids for requests that bring none are drawn from this.
    pub(crate) given: Cell<u64>,
    pub(crate) next: Cell<u64>,
    /// The program stops, and no request has time beyond this.
    pub(crate) stopping: Cell<Option<Time>>,
    /// No request that was taken so far has time beyond this.
    pub(crate) latest: Cell<Time>,
    pub(crate) left: Notify,
    /// Connections that were answered and ended, and whose clients may still be sending.
    pub(crate) lingering: Cell<usize>,
    pub(crate) told: Cell<Time>,
    /// Accepted, let go of to make room, and turned away since the last report.
    pub(crate) accepted: Cell<u64>,
    pub(crate) evicted: Cell<u64>,
    pub(crate) faults: Cell<u64>,
    /// Bodies that were not waited for any longer, and requests that found no room for theirs.
    pub(crate) slow: Cell<u64>,
    pub(crate) crowded: Cell<u64>,
}

impl Server {
    /// A front with places for so many clients; ids that it gives are drawn from the seed.
    pub fn new(host: Rc<Host>, rules: Rules, max: usize, seed: u64) -> Rc<Server> {
        Rc::new(Server {
            host,
            staying: Rc::default(),
            bodies: RefCell::new(Bodies::new(rules.bodies)),
            senders: RefCell::default(),
            rules: RefCell::new(Rc::new(rules)),
            max,
            clients: RefCell::default(),
            ids: RefCell::default(),
            given: Cell::new(seed),
            next: Cell::default(),
            stopping: Cell::default(),
            latest: Cell::default(),
            left: Notify::new(),
            lingering: Cell::default(),
            told: Cell::default(),
            accepted: Cell::default(),
            evicted: Cell::default(),
            faults: Cell::default(),
            slow: Cell::default(),
            crowded: Cell::default(),
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
    pub(crate) fn staying(&self) -> usize {
        self.staying.all.get()
    }

    /// Those of them that never sent a whole request.
    pub(crate) fn unproven(&self) -> usize {
        self.staying.all.get() - self.staying.proven.get()
    }

    /// For the line of counts.
    pub fn report(&self) -> String {
        let (accepted, evicted, faults) = (self.accepted.take(), self.evicted.take(), self.faults.take());
        let unproven = self.unproven();
        let clients = self.clients();
        let (slow, crowded) = (self.slow.take(), self.crowded.take());
        format!(
            "clients {clients} unproven {unproven} accepted {accepted} evicted {evicted} turned away {faults} \
             slow bodies {slow} without room {crowded}"
        )
    }
}
