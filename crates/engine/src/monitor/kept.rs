//! Nothing is kept of a request that is over and has nothing on its way, and of one that is open its deadline is
//! awaited, so that all is answered in the end: a look at what the engine has, by names alone.

use super::record::{Record, Watched};
use super::{broken, Monitor, Rule, Verdict};
use crate::connection_pool::ConnectionState;
use crate::engine::Engine;
use shaletide_types::*;

impl Monitor {
    /// Compares what the engine keeps with what there can be. Costs a step for all that the engine has.
    ///
    /// # Errors
    /// The first thing that it keeps for nothing, or does not keep and should.
    pub fn kept<P>(&self, now: Time, engine: &Engine<P>) -> Verdict
    where
        P: crate::Policy,
    {
        let kept = |what: String| broken(Rule::NothingKept, now, what);
        for id in engine.requests().keys() {
            if !self.record.requests.contains_key(id) {
                return kept(format!("request {} is over and kept", id.0));
            }
        }
        let open = |id: &RequestId| self.record.requests.get(id).is_some_and(|r| r.open);
        let runs = |id: &RequestId| !self.rules.cancel && self.record.requests.contains_key(id);
        for (_, id) in engine.deadlines() {
            if !open(id) && !runs(id) {
                return kept(format!("request {} is over and its deadline is awaited", id.0));
            }
        }
        // An open request has its time awaited, and so has one whose attempts may not be called back before.
        let runs_on =
            |r: &Watched| r.open || Record::under_way(r).any(|connection| self.record.runs_on(connection));
        for (id, r) in self.record.requests.iter().filter(|(_, r)| runs_on(r)) {
            if !engine.deadlines().contains(&(r.deadline, *id)) {
                let text = format!("request {} goes on and nothing awaits its deadline", id.0);
                return broken(Rule::AllAnswered, now, text);
            }
        }
        for (backend, _) in engine.heard() {
            if engine.listed(backend).is_none() {
                return kept(format!("box {} is gone and kept", backend.0));
            }
        }
        for (connection, _, step) in engine.connections() {
            if !self.record.lines.contains_key(&connection) {
                return kept(format!("connection {} is over and kept", connection.0));
            }
            if let ConnectionState::Connecting(Some((id, _))) = step {
                if !open(&id) {
                    return kept(format!(
                        "connection {} comes up for request {}, which is over",
                        connection.0, id.0
                    ));
                }
            }
        }
        Ok(())
    }
}
