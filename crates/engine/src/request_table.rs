//! The requests that are open or have an attempt in flight, with their pending deadlines and those of their attempts.
//!
//! Owned by [`crate::Engine`]. Bound: the requests that the front has open, and ended requests until their last attempt
//! has ended.

use crate::attempt_rules;
use crate::mutant::{mutant, ActiveMutant};
use crate::request::{Attempt, Request, RequestState};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// All requests with their deadlines.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    deadlines: BTreeSet<(Time, RequestId)>,
    /// The entries of [`Request::delivery_deadline`].
    delivery_deadlines: BTreeSet<(Time, RequestId)>,
}

impl RequestTable {
    pub fn all(&self) -> &BTreeMap<RequestId, Request> {
        &self.requests
    }

    pub fn deadlines(&self) -> &BTreeSet<(Time, RequestId)> {
        &self.deadlines
    }

    /// The time at which [`Self::overdue`] returns the first request.
    pub fn first_delivery_deadline(&self) -> Option<Time> {
        self.delivery_deadlines.first().map(|(at, _)| *at)
    }

    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// The request, if it is [`RequestState::Open`].
    pub fn open_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.get_mut(id).filter(|request| request.state == RequestState::Open)
    }

    pub fn is_open(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|request| request.state == RequestState::Open)
    }

    pub fn attempt(&self, id: RequestId, number: AttemptNumber) -> Option<&Attempt> {
        self.get(id)?.attempts.get(number.0 as usize)
    }

    pub fn attempt_mut(&mut self, id: RequestId, number: AttemptNumber) -> Option<&mut Attempt> {
        self.get_mut(id)?.attempts.get_mut(number.0 as usize)
    }

    /// Adds a request and its deadline.
    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.deadlines.insert((request.deadline, id));
        self.requests.insert(id, request);
    }

    /// Marks a request as finished: no answer is due any more. With `cancellation` its attempts are cancelled. Without
    /// it they continue, and the deadline stays pending to end them.
    pub fn finish(&mut self, id: RequestId, cancellation: bool, active: ActiveMutant) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = RequestState::Finished;
        let deadline = (request.deadline, id);
        if (cancellation || !request.has_attempt_in_flight()) && !mutant!(active, TimerOutlivesRequest) {
            self.deadlines.remove(&deadline);
        }
    }

    /// Removes a request if it is finished and all its attempts have ended.
    pub fn remove_if_ended(&mut self, id: RequestId, active: ActiveMutant) {
        let Some(request) = self.get(id) else { return };
        if request.state != RequestState::Finished || request.has_attempt_in_flight() {
            return;
        }
        let deadline = (request.deadline, id);
        if !mutant!(active, TimerOutlivesRequest) {
            self.deadlines.remove(&deadline);
        }
        self.set_delivery_deadline(id, None);
        self.requests.remove(&id);
    }

    /// Updates a request's delivery deadline. Called when one of its attempts has changed its state.
    pub fn update_delivery_deadline(&mut self, id: RequestId, active: ActiveMutant) {
        let deadline =
            self.get(id).and_then(|request| attempt_rules::first_delivery_deadline(request, active));
        self.set_delivery_deadline(id, deadline);
    }

    fn set_delivery_deadline(&mut self, id: RequestId, deadline: Option<Time>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut request.delivery_deadline, deadline);
        if previous == deadline {
            return;
        }
        if let Some(previous) = previous {
            self.delivery_deadlines.remove(&(previous, id));
        }
        if let Some(deadline) = deadline {
            self.delivery_deadlines.insert((deadline, id));
        }
    }

    /// Returns a request whose delivery deadline has passed by `now`, if there is one, with the attempts to abort. Once they
    /// are, its delivery deadline is a later one.
    pub fn overdue(&self, now: Time) -> Option<(RequestId, Vec<AttemptNumber>)> {
        let &(deadline, id) = self.delivery_deadlines.first()?;
        if deadline > now {
            return None;
        }
        Some((id, attempt_rules::overdue_attempts(now, self.get(id)?)))
    }

    /// Removes a request's deadline.
    pub fn remove_deadline(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.deadlines.remove(&(request.deadline, id));
        }
    }

    /// Removes the earliest deadline if it has passed by `now`, and returns its request.
    pub fn take_expired(&mut self, now: Time) -> Option<RequestId> {
        let &(deadline, id) = self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.deadlines.remove(&(deadline, id));
        Some(id)
    }
}
