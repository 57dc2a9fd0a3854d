//! The engine keeps no state of a request that has ended with all its attempts, and keeps the deadline of every open
//! request, so that each is answered at last. This module compares ids in the engine's state with the observed state.

use super::observed::{ObservedRequest, ObservedState};
use super::{violation, Monitor, Rule, Verdict};
use crate::connection_pool::ConnectionState;
use crate::engine::Engine;
use crate::policy::Policy;
use shaletide_types::*;

impl Monitor {
    /// Compares the engine's state with the observed state. The cost is linear in requests, deadlines and connections.
    ///
    /// # Errors
    /// The first entry that the engine keeps and should have removed, or should keep and lacks.
    pub fn check_leftovers<P: Policy>(&self, now: Time, engine: &Engine<P>) -> Verdict {
        self.check_requests(now, engine)?;
        self.check_deadlines(now, engine)?;
        check_last_responses(now, engine)?;
        self.check_connections(now, engine)
    }

    fn check_requests<P: Policy>(&self, now: Time, engine: &Engine<P>) -> Verdict {
        for id in engine.requests().keys() {
            if !self.observed.requests.contains_key(id) {
                return leftover(
                    now,
                    format!("request {} has ended and is still in the request table", id.0),
                );
            }
        }
        Ok(())
    }

    /// Checks that deadlines are pending exactly for open requests and for those whose attempts continue because
    /// cancellation is off.
    fn check_deadlines<P: Policy>(&self, now: Time, engine: &Engine<P>) -> Verdict {
        for (_, id) in engine.deadlines() {
            let may_continue = !self.rules.cancellation && self.observed.requests.contains_key(id);
            if !self.is_open(*id) && !may_continue {
                let text = format!("request {} has ended and its deadline is still pending", id.0);
                return leftover(now, text);
            }
        }
        for (id, request) in &self.observed.requests {
            let is_due = request.open || self.has_running_attempt(request);
            if is_due && !engine.deadlines().contains(&(request.deadline, *id)) {
                let text = format!("request {} is open or in flight and its deadline is not pending", id.0);
                return violation(Rule::AllAnswered, now, text);
            }
        }
        Ok(())
    }

    fn check_connections<P: Policy>(&self, now: Time, engine: &Engine<P>) -> Verdict {
        for (connection, _, state) in engine.connections() {
            if !self.observed.connections.contains_key(&connection) {
                return leftover(now, format!("connection {} is closed and still kept", connection.0));
            }
            let ConnectionState::Connecting(Some((id, _))) = state else { continue };
            if !self.is_open(id) {
                let text = format!(
                    "connection {} is being opened for request {}, which has ended",
                    connection.0, id.0
                );
                return leftover(now, text);
            }
        }
        Ok(())
    }

    fn is_open(&self, id: RequestId) -> bool {
        self.observed.requests.get(&id).is_some_and(|request| request.open)
    }

    fn has_running_attempt(&self, request: &ObservedRequest) -> bool {
        ObservedState::connections_of(request).any(|connection| self.observed.is_running_on(connection))
    }
}

fn check_last_responses<P: Policy>(now: Time, engine: &Engine<P>) -> Verdict {
    for (backend, _) in engine.last_responses() {
        if engine.listed_backend(backend).is_none() {
            let text =
                format!("backend {} is gone and the time of its last response is still kept", backend.0);
            return leftover(now, text);
        }
    }
    Ok(())
}

fn leftover(now: Time, text: String) -> Verdict {
    violation(Rule::NoLeftovers, now, text)
}
