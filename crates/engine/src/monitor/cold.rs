//! The budget of a backend that has just started. The engine knows nothing of it: it is the module's, and watched on
//! recorded streams and on sockets.

use super::{broken, Rule, Verdict};
use crate::event::{Action, Event};
use shaletide_types::*;
use std::collections::{BTreeMap, VecDeque};

/// How much a cold backend takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRules {
    /// The part of its capacity that a backend has as it starts; it grows evenly to the whole ...
    pub initial_capacity_fraction: f64,
    /// ... over this time.
    pub ramp: Micros,
    /// Work beyond this multiple of what it can do ...
    pub multiple: f64,
    /// ... in any span as long as this pushes it over.
    pub window: Micros,
    /// Proxies that share its budget.
    pub proxies: u32,
    /// What a core does a second, in seconds of a standard core.
    pub speed: f64,
    /// The work of a request that comes without a hint.
    pub work: Micros,
}

#[derive(Clone, Debug, Default)]
struct Warming {
    booted: Time,
    cores: u32,
    /// What it was sent inside the last window.
    sent: VecDeque<(Time, Micros)>,
}

/// The observer.
#[derive(Clone, Debug)]
pub struct Cold {
    rules: ColdRules,
    boxes: BTreeMap<BackendId, Warming>,
    lines: BTreeMap<ConnectionId, BackendId>,
    work: BTreeMap<RequestId, Micros>,
}

impl Cold {
    /// One that has seen nothing yet.
    pub fn new(rules: ColdRules) -> Cold {
        Cold { rules, boxes: BTreeMap::new(), lines: BTreeMap::new(), work: BTreeMap::new() }
    }

    /// The engine is about to be told this.
    pub fn see(&mut self, now: Time, event: &Event) {
        match event {
            Event::EndpointsUpdated { backends, .. } => backends.iter().for_each(|b| self.listed(now, b)),
            Event::Request(order) => {
                let work = order.arrival.work_hint.unwrap_or(self.rules.work);
                self.work.insert(order.arrival.request, work);
            }
            Event::ConnectFailed { connection, .. }
            | Event::ConnectionClosed { connection }
            | Event::CloseCompleted { connection, .. } => {
                self.lines.remove(connection);
            }
            Event::ClientDisconnected { request } => drop(self.work.remove(request)),
            _ => {}
        }
    }

    /// The engine asks for this.
    ///
    /// # Errors
    /// A backend that is still cold was sent too much.
    pub fn act(&mut self, now: Time, action: &Action) -> Verdict {
        match action {
            Action::Connect { connection, backend } => drop(self.lines.insert(*connection, *backend)),
            Action::Close { connection } => drop(self.lines.remove(connection)),
            Action::Answer { request, .. } => drop(self.work.remove(request)),
            Action::Send { connection, request, .. } => {
                let to = self.lines.get(connection).copied();
                let work = self.work.get(request).copied().unwrap_or(self.rules.work);
                return to.map_or(Ok(()), |to| self.sent(now, to, work));
            }
            _ => {}
        }
        Ok(())
    }

    fn listed(&mut self, now: Time, b: &BackendEntry) {
        match b.started_at {
            Some(booted) if b.state != BackendState::Gone && now < booted + self.rules.ramp => {
                let warming = self.boxes.entry(b.id).or_default();
                (warming.booted, warming.cores) = (booted, b.cores);
            }
            _ => drop(self.boxes.remove(&b.id)),
        }
    }

    fn sent(&mut self, now: Time, to: BackendId, work: Micros) -> Verdict {
        let rules = self.rules;
        let Some(warming) = self.boxes.get_mut(&to) else { return Ok(()) };
        // The window counts that begins while it is cold.
        let begin = now - rules.window;
        if begin >= warming.booted + rules.ramp {
            self.boxes.remove(&to);
            return Ok(());
        }
        warming.sent.push_back((now, work));
        while warming.sent.front().is_some_and(|s| s.0 + rules.window <= now) {
            warming.sent.pop_front();
        }
        let age = (begin - warming.booted).secs() / rules.ramp.secs().max(1e-6);
        let warmth = rules.initial_capacity_fraction + (1.0 - rules.initial_capacity_fraction) * age.min(1.0);
        let can = warmth * f64::from(warming.cores) * rules.speed * rules.window.secs();
        let may = rules.multiple * can / f64::from(rules.proxies.max(1));
        let sum: f64 = warming.sent.iter().map(|s| s.1.secs()).sum();
        // One request always may go: else a small backend would never warm up.
        if sum > may && warming.sent.len() > 1 {
            let text = format!("box {} was sent {sum:.3} s of work in a window and takes {may:.3} s", to.0);
            return broken(Rule::ColdBudget, now, text);
        }
        Ok(())
    }
}
