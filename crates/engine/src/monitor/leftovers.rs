//! Nothing is kept of a request that has ended with all its attempts, and the deadline of an open one is awaited, so that
//! all is answered in the end. This compares ids in the engine's state with what was observed.

use super::observed::{Record, Watched};
use super::{violation, Monitor, Rule, Verdict};
use crate::connection_pool::ConnectionState;
use crate::engine::Engine;
use shaletide_types::*;

impl Monitor {
    /// Compares what the engine keeps with what was observed. Costs a step for each request, deadline and connection.
    ///
    /// # Errors
    /// The first thing that the engine keeps and should not, or does not keep and should.
    pub fn kept<P>(&self, now: Time, engine: &Engine<P>) -> Verdict
    where
        P: crate::Policy,
    {
        let leftover = |what: String| violation(Rule::NothingKept, now, what);
        for id in engine.requests().keys() {
            if !self.record.requests.contains_key(id) {
                return leftover(format!("request {} has ended and is still kept", id.0));
            }
        }
        let open = |id: &RequestId| self.record.requests.get(id).is_some_and(|r| r.open);
        let runs = |id: &RequestId| !self.rules.cancel && self.record.requests.contains_key(id);
        for (_, id) in engine.deadlines() {
            if !open(id) && !runs(id) {
                return leftover(format!("request {} has ended and its deadline is still awaited", id.0));
            }
        }
        // The deadline is awaited of an open request, and of one whose attempts go on as cancellation is off.
        let runs_on = |r: &Watched| {
            r.open || Record::connections_of(r).any(|connection| self.record.is_running_on(connection))
        };
        for (id, r) in self.record.requests.iter().filter(|(_, r)| runs_on(r)) {
            if !engine.deadlines().contains(&(r.deadline, *id)) {
                let text = format!("request {} is open or in flight and its deadline is not awaited", id.0);
                return violation(Rule::AllAnswered, now, text);
            }
        }
        for (backend, _) in engine.heard() {
            if engine.listed(backend).is_none() {
                return leftover(format!(
                    "backend {} is gone and the time of its last response is still kept",
                    backend.0
                ));
            }
        }
        for (connection, _, step) in engine.connections() {
            if !self.record.lines.contains_key(&connection) {
                return leftover(format!("connection {} is closed and still kept", connection.0));
            }
            if let ConnectionState::Connecting(Some((id, _))) = step {
                if !open(&id) {
                    return leftover(format!(
                        "connection {} is being opened for request {}, which has ended",
                        connection.0, id.0
                    ));
                }
            }
        }
        Ok(())
    }
}
