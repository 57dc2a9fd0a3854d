//! The slow start budget of a backend that has just started. The engine knows nothing of it: it is the balancer's, and
//! checked on recorded streams and on sockets.

use super::{violation, Rule, Verdict};
use crate::event::{Action, Event};
use shaletide_types::*;
use std::collections::{BTreeMap, VecDeque};

/// How much work a backend takes during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// The part of its capacity that a backend has as it starts, from 0 to 1; it grows evenly to 1 ...
    pub initial_capacity_fraction: f64,
    /// ... within this time.
    pub slow_start_window: Micros,
    /// Work beyond this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... within any span of this length overloads it.
    pub overload_window: Micros,
    /// Proxies that share its budget.
    pub proxies: u32,
    /// Work that a core does, in seconds of a standard core per second.
    pub work_per_core_second: f64,
    /// The work of a request without a hint, in time on a standard core.
    pub default_work: Micros,
}

#[derive(Clone, Debug, Default)]
struct WarmingBackend {
    started_at: Time,
    cores: u32,
    /// When it was sent what work, within the last window.
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
    /// A monitor that has observed nothing yet.
    pub fn new(rules: SlowStartRules) -> SlowStartMonitor {
        SlowStartMonitor {
            rules,
            warming: BTreeMap::new(),
            connections: BTreeMap::new(),
            work: BTreeMap::new(),
        }
    }

    /// To be called before the engine handles the event.
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

    /// To be called for each action of the engine, in order.
    ///
    /// # Errors
    /// A backend was sent more than its slow start budget.
    pub fn observe_action(&mut self, now: Time, action: &Action) -> Verdict {
        match action {
            Action::Connect { connection, backend } => drop(self.connections.insert(*connection, *backend)),
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
        // A window counts if it begins during the slow start.
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
        // One request may always be sent: else a small backend would never warm up.
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
