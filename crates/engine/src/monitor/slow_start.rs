//! The slow start budget of a backend that has just started. The balancer enforces it, not the engine; it is checked on
//! recorded streams and on sockets.

use super::{violation, Rule, Verdict};
use crate::event::{Action, Event};
use shaletide_types::*;
use std::collections::{BTreeMap, VecDeque};

/// The parameters of the slow start budget: how much work a backend takes during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// The fraction of its capacity that a backend has when it starts, from 0 to 1. It grows linearly to 1 over
    /// `slow_start_window`.
    pub initial_capacity_fraction: f64,
    /// How long the slow start lasts.
    pub slow_start_window: Micros,
    /// A backend is overloaded by more work than this multiple of its capacity within any overload window.
    pub overload_multiple: f64,
    /// The length of the overload window.
    pub overload_window: Micros,
    /// The number of proxies that share a backend's budget.
    pub proxies: u32,
    /// The work that a core does per second, in seconds of a standard core.
    pub work_per_core_second: f64,
    /// The work of a request without a work hint, as time on a standard core.
    pub default_work: Micros,
}

#[derive(Clone, Debug, Default)]
struct WarmingBackend {
    started_at: Time,
    cores: u32,
    /// The work that was sent within the last overload window, with its time.
    sent: VecDeque<(Time, Micros)>,
}

/// Checks the slow start budget.
#[derive(Clone, Debug)]
pub struct SlowStartMonitor {
    rules: SlowStartRules,
    warming: BTreeMap<BackendId, WarmingBackend>,
    connections: BTreeMap<ConnectionId, BackendId>,
    work: BTreeMap<RequestId, Micros>,
}

impl SlowStartMonitor {
    /// Creates a monitor without observations.
    pub fn new(rules: SlowStartRules) -> SlowStartMonitor {
        SlowStartMonitor {
            rules,
            warming: BTreeMap::new(),
            connections: BTreeMap::new(),
            work: BTreeMap::new(),
        }
    }

    /// Observes an event. Called before the engine handles it.
    pub fn observe_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::EndpointsUpdated { backends, .. } => {
                for entry in backends {
                    self.on_listed(now, entry);
                }
            }
            Event::Request(spec) => {
                let work = spec.arrival.work_hint.unwrap_or(self.rules.default_work);
                self.work.insert(spec.arrival.request, work);
            }
            Event::ConnectFailed { connection, .. }
            | Event::ConnectionClosed { connection }
            | Event::CloseCompleted { connection, .. } => {
                self.connections.remove(connection);
            }
            Event::ClientDisconnected { request } => drop(self.work.remove(request)),
            _ => {}
        }
    }

    /// Observes an action of the engine. Called for each action, in order.
    ///
    /// # Errors
    /// A backend was sent more than its slow start budget.
    pub fn observe_action(&mut self, now: Time, action: &Action) -> Verdict {
        match action {
            Action::Connect { connection, backend, .. } => {
                self.connections.insert(*connection, *backend);
            }
            Action::Close { connection } => drop(self.connections.remove(connection)),
            Action::Answer { request, .. } => drop(self.work.remove(request)),
            Action::Send { connection, request, .. } => {
                let backend = self.connections.get(connection).copied();
                let work = self.work.get(request).copied().unwrap_or(self.rules.default_work);
                return backend.map_or(Ok(()), |backend| self.on_sent(now, backend, work));
            }
            _ => {}
        }
        Ok(())
    }

    fn on_listed(&mut self, now: Time, entry: &BackendEntry) {
        match entry.started_at {
            Some(started_at)
                if entry.state != BackendState::Gone && now < started_at + self.rules.slow_start_window =>
            {
                let warming = self.warming.entry(entry.id).or_default();
                warming.started_at = started_at;
                warming.cores = entry.cores;
            }
            _ => drop(self.warming.remove(&entry.id)),
        }
    }

    fn on_sent(&mut self, now: Time, backend: BackendId, work: Micros) -> Verdict {
        let rules = self.rules;
        let Some(warming) = self.warming.get_mut(&backend) else { return Ok(()) };
        // An overload window counts if it starts during the slow start.
        let window_start = now - rules.overload_window;
        if window_start >= warming.started_at + rules.slow_start_window {
            self.warming.remove(&backend);
            return Ok(());
        }
        warming.sent.push_back((now, work));
        while warming.sent.front().is_some_and(|s| s.0 + rules.overload_window <= now) {
            warming.sent.pop_front();
        }
        let age = (window_start - warming.started_at).secs() / rules.slow_start_window.secs().max(1e-6);
        let capacity_fraction =
            rules.initial_capacity_fraction + (1.0 - rules.initial_capacity_fraction) * age.min(1.0);
        let capacity_s = capacity_fraction
            * f64::from(warming.cores)
            * rules.work_per_core_second
            * rules.overload_window.secs();
        let budget_s = rules.overload_multiple * capacity_s / f64::from(rules.proxies.max(1));
        let sent_s: f64 = warming.sent.iter().map(|s| s.1.secs()).sum();
        // One request may always be sent: otherwise a small backend would never warm up.
        if sent_s > budget_s && warming.sent.len() > 1 {
            let text = format!(
                "backend {} was sent {sent_s:.3} s of work within its overload window; its budget is {budget_s:.3} s",
                backend.0
            );
            return violation(Rule::SlowStartBudget, now, text);
        }
        Ok(())
    }
}
