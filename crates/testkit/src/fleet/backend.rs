//! One backend of a running fleet: its service model, its faults and its records. Used on the fleet's thread only.

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

/// The decision of a backend on a request.
pub enum Decision {
    /// Serve it; the channel fires when the answer may be sent.
    Serve(oneshot::Receiver<()>),
    /// Reject it with this status.
    Reject(u16),
    /// Answer 500 at once.
    Fail,
    /// Never answer.
    Hang,
    /// Reset the connection.
    Reset,
}

struct State {
    service: ServiceModel,
    behaviour: Behaviour,
    draining: Option<Time>,
    boot: usize,
    waiters: BTreeMap<u64, oneshot::Sender<()>>,
    classes: BTreeMap<String, Arc<str>>,
    next_service_id: u64,
    rng: SeededRng,
    /// Factor of the fault [`Fault::Slow`], without that of congestion.
    slowdown: f64,
    congestion: Option<CongestionModel>,
    next_sample: Time,
}

/// A backend of a fleet.
pub struct Backend {
    pub spec: BackendSpec,
    fleet: Rc<FleetSpec>,
    index: usize,
    shared: Arc<Shared>,
    state: RefCell<State>,
    /// Notified when the time of the next event of the service model may have changed.
    schedule_changed: Arc<Notify>,
    /// Number of the backend's deaths. Each death ends all connections.
    pub deaths: watch::Sender<usize>,
    pub open_connections: Cell<usize>,
}

impl Backend {
    pub fn new(
        fleet: &Rc<FleetSpec>, index: usize, shared: &Arc<Shared>, schedule_changed: Arc<Notify>,
    ) -> Backend {
        let spec = fleet.backends[index].clone();
        let booted = spec.cold.then(|| fleet.clock.now());
        shared.update(|records| {
            if let Some(info) = records.ledger.backends.get_mut(index) {
                info.boots.push(Boot { at: booted, died: None });
            }
        });
        let state = State {
            service: ServiceModel::new(spec.cpu_capacity, booted, spec.slots, spec.queue),
            behaviour: Behaviour::default(),
            draining: None,
            boot: 0,
            waiters: BTreeMap::new(),
            classes: BTreeMap::new(),
            next_service_id: 0,
            rng: SeededRng::named(fleet.seed, &spec.name),
            slowdown: 1.0,
            congestion: spec.congestion.map(CongestionModel::new),
            next_sample: fleet.clock.now(),
        };
        Backend {
            spec,
            fleet: fleet.clone(),
            index,
            shared: shared.clone(),
            state: RefCell::new(state),
            schedule_changed,
            deaths: watch::Sender::new(0),
            open_connections: Cell::new(0),
        }
    }

    fn now(&self) -> Time {
        self.fleet.clock.now()
    }

    pub fn behaviour(&self) -> Behaviour {
        self.state.borrow().behaviour.clone()
    }

    /// Returns the answer body for a backend without a fault that sets another one.
    pub fn default_body(&self, request: &Message) -> Vec<u8> {
        let size = self.fleet.service(class_of(request)).body_bytes;
        backend_body(&self.spec.name, request.header("x-correlation-id").unwrap_or(""), size)
    }

    /// Handles the arrival of a complete request. The caller must keep the guard for as long as the request is open.
    pub fn arrive(self: &Rc<Self>, request: &Message, first_byte_at: Instant) -> (Decision, OpenRequest) {
        self.advance();
        let admitted = self.admit(request, first_byte_at);
        self.advance(); // a request without work is served at once
        self.schedule_changed.notify_one();
        admitted
    }

    fn admit(self: &Rc<Self>, request: &Message, first_byte_at: Instant) -> (Decision, OpenRequest) {
        let now = self.now();
        let id = request.header("x-correlation-id").unwrap_or("");
        let service = self.fleet.service(class_of(request));
        let demand = service.demand(self.fleet.seed, id);
        let state = &mut *self.state.borrow_mut();
        let service_id = state.next_service_id;
        state.next_service_id += 1;
        let decision = state.decide(&self.spec, request, now).unwrap_or_else(|| {
            if state.service.arrive(now, service_id, demand) == Admission::Full {
                return Decision::Reject(503);
            }
            let (done, wait) = oneshot::channel();
            state.waiters.insert(service_id, done);
            Decision::Serve(wait)
        });
        let record = Record {
            backend: self.index,
            boot: state.boot,
            id: id.into(),
            key: request.header("idempotency-key").map(Into::into),
            class: state.shared_class(class_of(request)),
            repeat: repeat_of(request),
            first_byte_at: self.fleet.clock.at(first_byte_at),
            last_byte_at: now,
            ended: None,
            draining: state.draining,
            work_ms: demand.work_ms,
            time_left: time_left(request).map(Micros::from_secs),
        };
        let record_index = self.shared.update(|records| {
            records.stats[self.index].requests += 1;
            records.ledger.begin(record)
        });
        (
            decision,
            OpenRequest { backend: self.clone(), boot: state.boot, service_id, record_index, end: None },
        )
    }

    /// Advances the service model to now and releases the answers of the requests that are served.
    pub fn advance(&self) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.sample_congestion(now);
        for event in state.service.advance(now) {
            if let ServiceEvent::Served(done) = event {
                if let Some(waiter) = state.waiters.remove(&done.id) {
                    let _ = waiter.send(()); // the receiver is gone if the connection has just closed
                }
            }
        }
    }

    /// Advances the service model at its events until the future is dropped.
    pub async fn run(self: Rc<Self>, pacer: Rc<Pacer>) {
        loop {
            self.advance();
            let next_event = self.state.borrow().next_event(self.now());
            pacer.set(self.index, next_event.map(|at| self.fleet.clock.instant(at)));
            self.schedule_changed.notified().await;
        }
    }

    /// Applies a fault, except those of the listener.
    pub fn apply_fault(&self, fault: Fault) {
        self.advance();
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        match &fault {
            Fault::Slow(factor) => state.set_slowdown(now, *factor),
            Fault::Cleared => {
                state.set_slowdown(now, 1.0);
                state.draining = None;
            }
            _ => {}
        }
        state.behaviour.apply(fault);
        self.schedule_changed.notify_one();
    }

    /// Starts draining, unless the backend drains already. Returns the time at which it started.
    pub fn drain(&self) -> Time {
        let now = self.now();
        *self.state.borrow_mut().draining.get_or_insert(now)
    }

    /// Kills the backend: its requests are lost and its connections are reset. Returns the time of death, also if it was dead
    /// already.
    pub fn kill(&self) -> Time {
        let now = self.now();
        let died = self.shared.update(|records| {
            let boot = records.ledger.backends.get_mut(self.index).and_then(|info| info.boots.last_mut());
            boot.map_or(now, |boot| *boot.died.get_or_insert(now))
        });
        if self.is_alive() {
            self.deaths.send_modify(|count| *count += 1);
        }
        died
    }

    /// Returns whether the backend is alive: it has died as often as it was restarted.
    pub fn is_alive(&self) -> bool {
        *self.deaths.borrow() == self.state.borrow().boot
    }

    /// Restarts the backend, cold, without faults and without requests. Returns the time of the start.
    pub fn restart(&self) -> Time {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.service =
            ServiceModel::new(self.spec.cpu_capacity, Some(now), self.spec.slots, self.spec.queue);
        state.behaviour = Behaviour::default();
        state.draining = None;
        state.slowdown = 1.0;
        state.congestion = self.spec.congestion.map(CongestionModel::new);
        state.boot += 1;
        state.waiters.clear();
        self.schedule_changed.notify_one();
        self.shared.update(|records| {
            if let Some(info) = records.ledger.backends.get_mut(self.index) {
                info.boots.push(Boot { at: Some(now), died: None });
            }
        });
        now
    }

    /// Counts a connection that was opened or closed.
    pub fn count_connection(&self, opened: bool) {
        let open = if opened {
            self.open_connections.get() + 1
        } else {
            self.open_connections.get().saturating_sub(1)
        };
        self.open_connections.set(open);
        self.shared.update(|records| {
            let stats = &mut records.stats[self.index];
            stats.connections += u64::from(opened);
            stats.open = open as u64;
        });
        if opened && self.spec.handshake_ms > 0.0 {
            self.add_handshake_work();
        }
    }

    /// Adds the work of a new connection. A full backend drops it.
    fn add_handshake_work(&self) {
        self.advance();
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let service_id = state.next_service_id;
        state.next_service_id += 1;
        let demand = Demand { work_ms: self.spec.handshake_ms, io: Micros(0) };
        let _ = state.service.arrive(now, service_id, demand);
        self.schedule_changed.notify_one();
    }
}

impl State {
    /// Makes all work take `factor` times as long, multiplied by the slowdown of congestion.
    fn set_slowdown(&mut self, now: Time, factor: f64) {
        self.slowdown = factor;
        self.service
            .set_slowdown(now, factor * self.congestion.as_ref().map_or(1.0, CongestionModel::slowdown));
    }

    /// Samples the congestion at all sampling times that are due.
    fn sample_congestion(&mut self, now: Time) {
        while self.congestion.is_some() && self.next_sample <= now {
            let at = self.next_sample;
            self.next_sample = at + CongestionModel::SAMPLE_INTERVAL;
            let held = self.service.in_service() + self.service.queued();
            if self.congestion.as_mut().is_some_and(|c| c.sample(at, held)) {
                self.set_slowdown(now, self.slowdown);
            }
        }
    }

    /// Returns the time of the next event, provided that no request arrives or is cancelled.
    fn next_event(&self, now: Time) -> Option<Time> {
        let sample = self.congestion.as_ref().map(|_| self.next_sample.max(now));
        [self.service.next_event(now), sample].into_iter().flatten().min()
    }

    /// Returns the decision that does not depend on free slots, if there is one.
    fn decide(&mut self, spec: &BackendSpec, request: &Message, now: Time) -> Option<Decision> {
        let grace = Micros(spec.drain_grace.as_micros() as u64);
        if self.draining.is_some_and(|since| now > since + grace) {
            return Some(Decision::Reject(503));
        }
        if time_left(request).is_some_and(|left| left <= 0.0) {
            return Some(Decision::Reject(504));
        }
        let failing_fraction = self.behaviour.failing_fraction(class_of(request));
        if self.rng.chance(self.behaviour.hang) {
            Some(Decision::Hang)
        } else if self.rng.chance(self.behaviour.reset) {
            Some(Decision::Reset)
        } else if self.rng.chance(failing_fraction) {
            Some(Decision::Fail)
        } else {
            None
        }
    }

    /// Returns the shared string of a class, so that records do not copy it. Clients choose the classes, so the number of
    /// kept strings is bounded.
    fn shared_class(&mut self, name: &str) -> Arc<str> {
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

/// An open request at a backend. When this is dropped, the request ends with the end that was set last; without one, it ends
/// as cancelled or with the death of the backend.
pub struct OpenRequest {
    backend: Rc<Backend>,
    boot: usize,
    service_id: u64,
    record_index: Option<usize>,
    end: Option<Ended>,
}

impl OpenRequest {
    /// Sets the end of the request, until another one is set.
    pub fn set_end(&mut self, end: Ended) {
        self.end = Some(end);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let now = self.backend.now();
        let state = &mut *self.backend.state.borrow_mut();
        // Service ids are never reused, so an id from before a death matches nothing here.
        state.service.cancel(now, self.service_id);
        state.waiters.remove(&self.service_id);
        let died = *self.backend.deaths.borrow() > self.boot;
        let end = self.end.unwrap_or(if died { Ended::BoxDied } else { Ended::Cancelled });
        self.backend.schedule_changed.notify_one();
        let (backend_index, record_index) = (self.backend.index, self.record_index);
        self.backend.shared.update(|records| {
            records.stats[backend_index].ended += 1;
            if let Some(record_index) = record_index {
                records.ledger.end(record_index, now, end);
            }
        });
    }
}

/// Returns the time left in seconds, as reported by the sender.
fn time_left(request: &Message) -> Option<f64> {
    request.header("x-time-left").and_then(|left| left.parse::<f64>().ok())
}

/// Returns the class of a request: the first segment of its path.
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
