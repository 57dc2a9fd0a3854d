//! Which connection is closed to make room for another.

use crate::connection::Client;
use crate::rules::FIRST_PATIENCE;
use crate::server::Server;

/// Connections that never sent a whole request hold this part of the places before they go first at any age.
const UNPROVEN_PART: usize = 4;

impl Server {
    /// The one that was idle longest leaves, but before it one that never sent a whole request, or whose body keeps
    /// others waiting: at once where such hold many of the places, else when it had time to.
    pub(crate) fn close_longest_idle(&self) -> bool {
        let now = self.host.clock.now();
        let clients = self.clients.borrow();
        let few = self.unproven() <= self.max / UNPROVEN_PART;
        let young = |c: &Client| now - c.since.get() < FIRST_PATIENCE;
        let lags = |c: &Client| {
            let at_once = !few && !c.proven.get();
            c.coming.get().is_some_and(|since| at_once || now - since >= FIRST_PATIENCE)
        };
        let may_go = |c: &Client| (!c.busy.get() || lags(c)) && !c.leaving.get();
        let later = |c: &Client| match c.coming.get() {
            Some(since) => (false, since),
            None => (c.proven.get() || few && young(c), c.since.get()),
        };
        // What nobody has read yet may be a whole request.
        let coming = |c: &Client| c.stream.stirred() && (c.proven.get() || young(c) || c.stream.unread());
        // The kernel is asked of one candidate after the other, and not of all clients: a system call for each of
        // some hundred clients at each eviction took all the processor time that there was.
        let mut candidates: Vec<_> = clients.values().filter(|c| may_go(c)).collect();
        candidates.sort_by_key(|c| later(c));
        let first = candidates.into_iter().find(|c| !coming(c));
        let Some(client) = first else { return false };
        self.evicted.set(self.evicted.get() + 1);
        client.leave(); // another call at the same moment chooses another
        match client.coming.get() {
            Some(_) => client.turn.notify_one(), // it is told why
            None => client.close.notify_one(),
        }
        true
    }
}

#[cfg(test)]
mod tests;
