//! Which connection is closed to make room for another: [`eviction_order`] decides by plain data, and the sockets of its
//! candidates are asked one after the other.

use crate::connection::Client;
use crate::rules::MIN_AGE_FOR_EVICTION;
use crate::server::Server;
use shaletide_balancer::Time;

/// Connections that never sent a complete request may take one part in so many of the connection limit; while they take more,
/// they are evicted first at any age.
const UNPROVEN_DIVISOR: usize = 4;

/// A connection, as far as the choice depends on it without its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate<K> {
    /// The connection.
    pub key: K,
    /// One of its requests is being answered.
    pub busy: bool,
    /// It has sent a complete and valid request.
    pub proven: bool,
    /// It was chosen before, and holds no slot any more.
    pub slot_released: bool,
    /// When it was accepted or last answered.
    pub idle_since: Time,
    /// The body of its request is being read since then.
    pub body_since: Option<Time>,
}

impl<K> Candidate<K> {
    /// Its first request may still be on its way.
    fn is_new(&self, now: Time) -> bool {
        now - self.idle_since < MIN_AGE_FOR_EVICTION
    }

    /// The body that it is sending has taken long enough to be evicted.
    fn sends_slowly(&self, now: Time, crowded_by_unproven: bool) -> bool {
        let at_once = crowded_by_unproven && !self.proven;
        self.body_since.is_some_and(|since| at_once || now - since >= MIN_AGE_FOR_EVICTION)
    }

    /// Its rank, and since when it has been idle or sending a body.
    fn rank(&self, now: Time, crowded_by_unproven: bool) -> (EvictionRank, Time) {
        if let Some(since) = self.body_since {
            return (EvictionRank::Unproductive, since);
        }
        let is_protected_by_age = !crowded_by_unproven && self.is_new(now);
        let rank =
            if self.proven || is_protected_by_age { EvictionRank::Idle } else { EvictionRank::Unproductive };
        (rank, self.idle_since)
    }

    /// Bytes that were read protect it, as they may be part of a request.
    fn is_protected_by_input(&self, now: Time) -> bool {
        self.proven || self.is_new(now)
    }
}

/// In which order connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Their bodies come slowly, or they never sent a complete request though they had the time.
    Unproductive,
    /// All others.
    Idle,
}

/// The connections that may be evicted, first choice first, by their rank and how long they have been idle or sending a
/// body. `crowded_by_unproven`: connections that never sent a complete request take too many slots, so that their age
/// protects none of them.
fn eviction_order<K>(
    now: Time, crowded_by_unproven: bool, candidates: impl Iterator<Item = Candidate<K>>,
) -> Vec<Candidate<K>> {
    let may_be_evicted =
        |c: &Candidate<K>| (!c.busy || c.sends_slowly(now, crowded_by_unproven)) && !c.slot_released;
    let mut order: Vec<_> = candidates.filter(may_be_evicted).collect();
    order.sort_by_key(|c| c.rank(now, crowded_by_unproven));
    order
}

impl Server {
    /// Closes the connection that [`eviction_order`] names first and on which no request waits to be read. Whether
    /// there was one.
    pub(crate) fn evict_one(&self) -> bool {
        let now = self.driver.clock.now();
        let crowded_by_unproven = self.unproven() > self.max_clients / UNPROVEN_DIVISOR;
        let clients = self.clients.borrow();
        let candidates = clients.values().map(|client| client.candidate());
        // The kernel is asked of one candidate after the other, and not of all clients: a system call for each of
        // some hundred clients at each eviction took all the processor time that there was.
        let order = eviction_order(now, crowded_by_unproven, candidates);
        let Some(chosen) =
            order.into_iter().find(|c| !c.key.has_request_waiting(c.is_protected_by_input(now)))
        else {
            return false;
        };
        let client = chosen.key;
        self.counters.evicted.increment();
        client.release_slot(); // another call at the same moment chooses another
        match client.body_since.get() {
            Some(_) => client.body_changed.notify_one(), // its request is answered: too slow
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

    /// By what its socket says at this moment: bytes that were read count only with `any_input`, bytes that were not
    /// always do.
    fn has_request_waiting(&self, any_input: bool) -> bool {
        self.stream.has_pending_input() && (any_input || self.stream.has_unread_bytes())
    }
}

#[cfg(test)]
mod tests;
