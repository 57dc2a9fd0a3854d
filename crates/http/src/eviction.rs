//! Chooses the connection that is closed to make room for another. [`eviction_order`] ranks the candidates by their recorded
//! state; the sockets are then checked one by one in that order.

use crate::connection::Client;
use crate::rules::MIN_AGE_FOR_EVICTION;
use crate::server::Server;
use shaletide_balancer::Time;

/// Connections that never sent a complete request may use the connection limit divided by this number. While they use more,
/// they are evicted first, whatever their age.
const UNPROVEN_DIVISOR: usize = 4;

/// The state of a connection by which it is ranked for eviction. The state of its socket is not part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate<K> {
    /// The connection.
    pub key: K,
    /// Whether a request on the connection is being answered.
    pub busy: bool,
    /// Whether the client has sent a complete and valid request.
    pub proven: bool,
    /// Whether the connection was already chosen and has released its slot.
    pub slot_released: bool,
    /// When the connection was accepted or last answered.
    pub idle_since: Time,
    /// When reading the body of its request began; `None` while no body is being read.
    pub body_since: Option<Time>,
}

impl<K> Candidate<K> {
    /// Returns whether the connection's first request may still be on its way.
    fn is_new(&self, now: Time) -> bool {
        now - self.idle_since < MIN_AGE_FOR_EVICTION
    }

    /// Returns whether the connection is sending a body that has taken long enough for the connection to be evicted.
    fn sends_slowly(&self, now: Time, too_many_unproven: bool) -> bool {
        let at_once = too_many_unproven && !self.proven;
        self.body_since.is_some_and(|since| at_once || now - since >= MIN_AGE_FOR_EVICTION)
    }

    /// Returns the rank, and the time since which the connection has been idle or sending a body.
    fn rank(&self, now: Time, too_many_unproven: bool) -> (EvictionRank, Time) {
        if let Some(since) = self.body_since {
            return (EvictionRank::Unproductive, since);
        }
        let is_protected_by_age = !too_many_unproven && self.is_new(now);
        let rank =
            if self.proven || is_protected_by_age { EvictionRank::Idle } else { EvictionRank::Unproductive };
        (rank, self.idle_since)
    }

    /// Returns whether bytes already read protect the connection, as they may be part of a request.
    fn is_protected_by_input(&self, now: Time) -> bool {
        self.proven || self.is_new(now)
    }
}

/// Rank of a connection; lower ranks are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The connection sends a body slowly, or has not sent a complete request although it had time to.
    Unproductive,
    /// All other connections.
    Idle,
}

/// Returns the connections that may be evicted, first choice first, ordered by rank and by how long they have been idle or
/// sending a body. `too_many_unproven` means that connections that never sent a complete request hold too many slots; none
/// of them is then protected by its age.
fn eviction_order<K>(
    now: Time, too_many_unproven: bool, candidates: impl Iterator<Item = Candidate<K>>,
) -> Vec<Candidate<K>> {
    let may_be_evicted =
        |c: &Candidate<K>| (!c.busy || c.sends_slowly(now, too_many_unproven)) && !c.slot_released;
    let mut order: Vec<_> = candidates.filter(may_be_evicted).collect();
    order.sort_by_key(|c| c.rank(now, too_many_unproven));
    order
}

impl Server {
    /// Evicts the first connection in [`eviction_order`] on which no request is waiting to be read. Returns whether there
    /// was one.
    pub(crate) fn evict_one(&self) -> bool {
        let now = self.driver.clock.now();
        let too_many_unproven = self.unproven() > self.max_clients / UNPROVEN_DIVISOR;
        let clients = self.clients.borrow();
        let candidates = clients.values().map(|client| client.candidate());
        // Sockets are checked one by one in order, not all in advance: one system call for each of several hundred
        // clients at each eviction used up all the processor time.
        let order = eviction_order(now, too_many_unproven, candidates);
        let Some(chosen) =
            order.into_iter().find(|c| !c.key.has_request_waiting(c.is_protected_by_input(now)))
        else {
            return false;
        };
        let client = chosen.key;
        self.counters.evicted.increment();
        client.release_slot(); // the next call chooses another connection
        match client.body_since.get() {
            Some(_) => client.body_changed.notify_one(), // its request is answered with 408
            None => client.close_requested.notify_one(),
        }
        true
    }
}

impl Client {
    fn candidate(&self) -> Candidate<&Client> {
        Candidate {
            key: self,
            busy: self.busy.get(),
            proven: self.proven.get(),
            slot_released: self.slot_released.get(),
            idle_since: self.idle_since.get(),
            body_since: self.body_since.get(),
        }
    }

    /// Checks the socket for a request that is waiting to be read. Unread bytes always count; bytes that were already read
    /// count only with `any_input`.
    fn has_request_waiting(&self, any_input: bool) -> bool {
        self.stream.has_pending_input() && (any_input || self.stream.has_unread_bytes())
    }
}

#[cfg(test)]
mod tests;
