//! One backend of a running fleet: its station, its faults, what it writes down. Used on the fleet's thread alone.

use super::spec::{BackendSpec, FleetSpec};
use super::Shared;
use crate::fault::{backend_body, Behaviour};
use crate::pacer::Pacer;
use crate::{
    Admission, Boot, CongestionModel, Demand, Ended, Fault, Message, Record, Repeat, SeededRng, ServiceEvent,
    ServiceModel,
};
use shaletide_types::{Micros, Time};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{oneshot, watch, Notify};

/// What a backend does with a request.
pub enum Decision {
    /// Serves it; told when the answer may be sent.
    Serve(oneshot::Receiver<()>),
    /// Turns it away with that status.
    TurnAway(u16),
    /// Answers 500 at once.
    Fail,
    /// Never answers.
    Hang,
    /// Resets the connection.
    Reset,
}

struct State {
    station: ServiceModel,
    behaviour: Behaviour,
    draining: Option<Time>,
    boot: usize,
    waiters: BTreeMap<u64, oneshot::Sender<()>>,
    classes: BTreeMap<String, Arc<str>>,
    next_ticket: u64,
    rng: SeededRng,
    /// So many times as long work takes, as the backend was told.
    slowed: f64,
    crowding: Option<CongestionModel>,
    next_look: Time,
}

/// A backend.
pub struct Backend {
    pub spec: BackendSpec,
    fleet: Rc<FleetSpec>,
    place: usize,
    shared: Arc<Shared>,
    state: RefCell<State>,
    /// Something changed that moves the station's next step.
    changed: Arc<Notify>,
    /// Counts the backend's deaths; connections end with each.
    pub deaths: watch::Sender<usize>,
    pub open: Cell<usize>,
}

impl Backend {
    pub fn new(fleet: &Rc<FleetSpec>, place: usize, shared: &Arc<Shared>, changed: Arc<Notify>) -> Backend {
        let spec = fleet.backends[place].clone();
        let booted = spec.cold.then(|| fleet.clock.now());
        shared.write(|book| {
            if let Some(info) = book.ledger.backends.get_mut(place) {
                info.boots.push(Boot { at: booted, died: None });
            }
        });
        let state = State {
            station: ServiceModel::new(spec.cpu_capacity, booted, spec.slots, spec.queue),
            behaviour: Behaviour::default(),
            draining: None,
            boot: 0,
            waiters: BTreeMap::new(),
            classes: BTreeMap::new(),
            next_ticket: 0,
            rng: SeededRng::named(fleet.seed, &spec.name),
            slowed: 1.0,
            crowding: spec.congestion.map(CongestionModel::new),
            next_look: fleet.clock.now(),
        };
        Backend {
            spec,
            fleet: fleet.clone(),
            place,
            shared: shared.clone(),
            state: RefCell::new(state),
            changed,
            deaths: watch::Sender::new(0),
            open: Cell::new(0),
        }
    }

    fn now(&self) -> Time {
        self.fleet.clock.now()
    }

    pub fn behaviour(&self) -> Behaviour {
        self.state.borrow().behaviour.clone()
    }

    /// The answer's body where no other is set.
    pub fn body(&self, request: &Message) -> Vec<u8> {
        let size = self.fleet.service(class_of(request)).body_bytes;
        backend_body(&self.spec.name, request.header("x-correlation-id").unwrap_or(""), size)
    }

    /// Takes a whole request in, whose first byte came then. The guard is to live as long as it is open.
    pub fn arrive(self: &Rc<Self>, request: &Message, came: Instant) -> (Decision, Open) {
        self.pump();
        let taken = self.take_in(request, came);
        self.pump(); // one that needs no work is served by now
        self.changed.notify_one();
        taken
    }

    fn take_in(self: &Rc<Self>, request: &Message, came: Instant) -> (Decision, Open) {
        let now = self.now();
        let id = request.header("x-correlation-id").unwrap_or("");
        let service = self.fleet.service(class_of(request));
        let demand = service.demand(self.fleet.seed, id);
        let state = &mut *self.state.borrow_mut();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let decision = state.decide(&self.spec, request, now).unwrap_or_else(|| {
            if state.station.arrive(now, ticket, demand) == Admission::Full {
                return Decision::TurnAway(503);
            }
            let (done, wait) = oneshot::channel();
            state.waiters.insert(ticket, done);
            Decision::Serve(wait)
        });
        let record = Record {
            backend: self.place,
            boot: state.boot,
            id: id.into(),
            key: request.header("idempotency-key").map(Into::into),
            class: state.class(class_of(request)),
            repeat: repeat_of(request),
            first_byte_at: self.fleet.clock.at(came),
            last_byte_at: now,
            ended: None,
            draining: state.draining,
            work_ms: demand.work_ms,
            time_left: time_left(request).map(Micros::from_secs),
        };
        let place = self.shared.write(|book| {
            book.stats[self.place].requests += 1;
            book.ledger.begin(record)
        });
        (decision, Open { stand: self.clone(), boot: state.boot, ticket, place, ended: None })
    }

    /// Brings the station to now, and lets go of what is served.
    pub fn pump(&self) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.look(now);
        for step in state.station.advance(now) {
            if let ServiceEvent::Served(done) = step {
                if let Some(waiter) = state.waiters.remove(&done.id) {
                    let _ = waiter.send(()); // nobody waits where the connection has just ended
                }
            }
        }
    }

    /// Keeps the station going, for as long as the fleet is there.
    pub async fn run(self: Rc<Self>, pacer: Rc<Pacer>) {
        loop {
            self.pump();
            let next = self.state.borrow().next(self.now());
            pacer.set(self.place, next.map(|at| self.fleet.clock.instant(at)));
            self.changed.notified().await;
        }
    }

    /// A fault that is not the listener's.
    pub fn set(&self, fault: Fault) {
        self.pump();
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        match &fault {
            Fault::Slow(factor) => state.slow(now, *factor),
            Fault::Cleared => {
                state.slow(now, 1.0);
                state.draining = None;
            }
            _ => {}
        }
        state.behaviour.take(fault);
        self.changed.notify_one();
    }

    /// From now on it drains. The moment.
    pub fn drain(&self) -> Time {
        let now = self.now();
        *self.state.borrow_mut().draining.get_or_insert(now)
    }

    /// It dies: what it had is gone, its connections are reset. The moment, also where it is dead already.
    pub fn die(&self) -> Time {
        let now = self.now();
        let died = self.shared.write(|book| {
            let boot = book.ledger.backends.get_mut(self.place).and_then(|info| info.boots.last_mut());
            boot.map_or(now, |boot| *boot.died.get_or_insert(now))
        });
        if self.alive() {
            self.deaths.send_modify(|count| *count += 1);
        }
        died
    }

    /// Whether it has died as often as it has started.
    pub fn alive(&self) -> bool {
        *self.deaths.borrow() == self.state.borrow().boot
    }

    /// It starts anew, cold, well and with nothing to do. The moment.
    pub fn start(&self) -> Time {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.station =
            ServiceModel::new(self.spec.cpu_capacity, Some(now), self.spec.slots, self.spec.queue);
        state.behaviour = Behaviour::default();
        state.draining = None;
        state.slowed = 1.0;
        state.crowding = self.spec.congestion.map(CongestionModel::new);
        state.boot += 1;
        state.waiters.clear();
        self.changed.notify_one();
        self.shared.write(|book| {
            if let Some(info) = book.ledger.backends.get_mut(self.place) {
                info.boots.push(Boot { at: Some(now), died: None });
            }
        });
        now
    }

    /// A connection came up or ended.
    pub fn connected(&self, up: bool) {
        let open = if up { self.open.get() + 1 } else { self.open.get().saturating_sub(1) };
        self.open.set(open);
        self.shared.write(|book| {
            let stats = &mut book.stats[self.place];
            stats.connections += u64::from(up);
            stats.open = open as u64;
        });
        if up && self.spec.handshake_ms > 0.0 {
            self.shake_hands();
        }
    }

    /// The work that a new connection brings. Where the backend is full there is no room for it.
    fn shake_hands(&self) {
        self.pump();
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let demand = Demand { work_ms: self.spec.handshake_ms, io: Micros(0) };
        let _ = state.station.arrive(now, ticket, demand);
        self.changed.notify_one();
    }
}

impl State {
    /// From now on so many times slower, and more where it is crowded.
    fn slow(&mut self, now: Time, factor: f64) {
        self.slowed = factor;
        self.station
            .set_slowdown(now, factor * self.crowding.as_ref().map_or(1.0, CongestionModel::slowdown));
    }

    /// Looks at how crowded it is, as often as has to be.
    fn look(&mut self, now: Time) {
        while self.crowding.is_some() && self.next_look <= now {
            let at = self.next_look;
            self.next_look = at + CongestionModel::SAMPLE_INTERVAL;
            let held = self.station.in_service() + self.station.queued();
            if self.crowding.as_mut().is_some_and(|c| c.sample(at, held)) {
                self.slow(now, self.slowed);
            }
        }
    }

    /// When something happens next, if nothing comes or goes.
    fn next(&self, now: Time) -> Option<Time> {
        let look = self.crowding.as_ref().map(|_| self.next_look.max(now));
        [self.station.next_event(now), look].into_iter().flatten().min()
    }

    /// What is decided before slots are looked at.
    fn decide(&mut self, spec: &BackendSpec, request: &Message, now: Time) -> Option<Decision> {
        let grace = Micros(spec.drain_grace.as_micros() as u64);
        if self.draining.is_some_and(|since| now > since + grace) {
            return Some(Decision::TurnAway(503));
        }
        if time_left(request).is_some_and(|left| left <= 0.0) {
            return Some(Decision::TurnAway(504));
        }
        let failing = self.behaviour.failing(class_of(request));
        if self.rng.chance(self.behaviour.hang) {
            Some(Decision::Hang)
        } else if self.rng.chance(self.behaviour.reset) {
            Some(Decision::Reset)
        } else if self.rng.chance(failing) {
            Some(Decision::Fail)
        } else {
            None
        }
    }

    /// One string for each class, so that records share it. Classes come from outside: a bound on those kept.
    fn class(&mut self, name: &str) -> Arc<str> {
        if let Some(class) = self.classes.get(name) {
            return class.clone();
        }
        let class: Arc<str> = name.into();
        if self.classes.len() < 256 {
            self.classes.insert(name.into(), class.clone());
        }
        class
    }
}

/// A request that is open at a backend. Dropped, it is ended as it was last said, or else as cancelled.
pub struct Open {
    stand: Rc<Backend>,
    boot: usize,
    ticket: u64,
    place: Option<usize>,
    ended: Option<Ended>,
}

impl Open {
    /// How it ends if nothing else is said.
    pub fn ends(&mut self, how: Ended) {
        self.ended = Some(how);
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let now = self.stand.now();
        let state = &mut *self.stand.state.borrow_mut();
        // Tickets are never used again, so that one from before a death finds nothing here.
        state.station.cancel(now, self.ticket);
        state.waiters.remove(&self.ticket);
        let dead = *self.stand.deaths.borrow() > self.boot;
        let how = self.ended.unwrap_or(if dead { Ended::BoxDied } else { Ended::Cancelled });
        self.stand.changed.notify_one();
        let (at_box, place) = (self.stand.place, self.place);
        self.stand.shared.write(|book| {
            book.stats[at_box].ended += 1;
            if let Some(place) = place {
                book.ledger.end(place, now, how);
            }
        });
    }
}

/// How long its sender waits, in seconds, where it says so.
fn time_left(request: &Message) -> Option<f64> {
    request.header("x-time-left").and_then(|left| left.parse::<f64>().ok())
}

/// The first part of the path.
fn class_of(request: &Message) -> &str {
    let path = request.first.split(' ').nth(1).unwrap_or("");
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split(['/', '?']).next().unwrap_or("")
}

fn repeat_of(request: &Message) -> Repeat {
    let method = request.first.split(' ').next().unwrap_or("");
    match (method, request.header("idempotency-key")) {
        ("GET" | "HEAD", _) => Repeat::Safe,
        (_, Some(_)) => Repeat::Keyed,
        _ => Repeat::Unsafe,
    }
}
