//! The canonical form of a state: equal for states that no later observation can distinguish.
//!
//! It omits or merges the following; `docs/design/engine-exploration.md` gives the reasons. Omitted are the absolute time,
//! the identifiers of connections, the numbers of attempts, the order of equivalent requests and of equivalent backends,
//! ages beyond the largest bound that is compared with them, and the data of attempts that were not executed. Of several
//! ended attempts that may have been executed only the age of the oldest is kept.

use crate::model::{Model, TICK};
use crate::node::Node;
use crate::shell::{ConnectionActivity, Pending};
use shaletide_engine::monitor::{IntentState, ObservedConnectionState, ObservedPlacement, ObservedRequest};
use shaletide_engine::{AttemptState, ConnectionState, Policy, Request, RequestState};
use shaletide_types::*;
use std::hash::Hasher;

/// Computes canonical forms. Reuses its buffers between states.
#[derive(Debug)]
pub struct Canonicalizer {
    /// The permutations of requests and backends of which the smallest encoding is taken.
    symmetries: Vec<(Vec<u8>, Vec<u8>)>,
    smallest: Vec<u8>,
    candidate: Vec<u8>,
    parts: Vec<Vec<u8>>,
    groups: Vec<(u32, u64)>,
    seen: Vec<ConnectionId>,
    reads_end_times: bool,
}

impl Canonicalizer {
    /// Returns a canonicalizer for the states of `model`. `reads_end_times`: the engine runs with a mutant that reads the
    /// times at which attempts ended.
    pub fn new(model: &Model, reads_end_times: bool) -> Canonicalizer {
        let (smallest, candidate, parts, groups, seen) = Default::default();
        Canonicalizer {
            symmetries: model.symmetries(),
            smallest,
            candidate,
            parts,
            groups,
            seen,
            reads_end_times,
        }
    }

    /// Returns a 128-bit fingerprint of the canonical form: two 64-bit hashes by the standard library's SipHash, each with a
    /// different first byte.
    pub fn fingerprint<P: Policy>(&mut self, model: &Model, node: &Node<P>) -> u128 {
        let symmetries = std::mem::take(&mut self.symmetries);
        for (at, (request_order, backend_order)) in symmetries.iter().enumerate() {
            self.write(model, node, request_order, backend_order);
            if at == 0 || self.candidate < self.smallest {
                std::mem::swap(&mut self.smallest, &mut self.candidate);
            }
        }
        self.symmetries = symmetries;
        let half = |seed: u8| {
            let mut hasher = std::collections::hash_map::DefaultHasher::new();
            hasher.write_u8(seed);
            hasher.write(&self.smallest);
            hasher.finish()
        };
        u128::from(half(1)) << 64 | u128::from(half(2))
    }

    fn write<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, request_order: &[u8], backend_order: &[u8],
    ) {
        let mut out = std::mem::take(&mut self.candidate);
        out.clear();
        self.groups.clear();
        self.seen.clear();
        self.write_remaining_events(node, &mut out);
        for id in backend_order {
            self.write_backend(model, node, *id, backend_order, &mut out);
        }
        for id in request_order {
            self.write_request(model, node, *id, backend_order, &mut out);
        }
        self.write_unowned_connections(model, node, backend_order, &mut out);
        out.push(node.engine.idle_sweep_at().map_or(255, |at| signed_ticks(at, node.now)));
        self.candidate = out;
    }

    fn write_remaining_events<P: Policy>(&self, node: &Node<P>, out: &mut Vec<u8>) {
        let n = &node.shell.remaining_events;
        out.extend([
            n.drains,
            n.removals,
            n.returns,
            n.snapshots,
            n.subscription_losses,
            n.address_changes,
            n.group_changes,
            n.pool_moves,
        ]);
        out.extend([n.pool_closes, n.disconnects, n.stops, u8::from(node.shell.subscription_lost)]);
    }

    /// Returns the number of a deduplication group; groups are numbered in the order of their first use.
    fn group_number(&mut self, dedup_domain: u32, dedup_group: DeduplicationGroupId) -> u8 {
        let key = (dedup_domain, dedup_group.0);
        let at = self.groups.iter().position(|c| *c == key).unwrap_or_else(|| {
            self.groups.push(key);
            self.groups.len() - 1
        });
        (dedup_domain as u8) << 4 | at as u8
    }

    fn write_backend<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, id: u8, backend_order: &[u8], out: &mut Vec<u8>,
    ) {
        let backend = BackendId(u32::from(id));
        let b = &node.shell.listed_backends[usize::from(id)];
        out.extend([b.pool.0 as u8, backend_state_code(b.state), self.group_number(b.pool.0, b.group)]);
        match node.engine.listed_backend(backend) {
            Some((pool, group, s)) => {
                out.extend([
                    pool.0 as u8,
                    backend_state_code(s),
                    self.group_number(group.domain, group.group),
                ]);
            }
            None => out.push(255),
        }
        match node.monitor.observed().backends.get(&backend) {
            Some(e) => out.extend([
                e.pool.0 as u8,
                backend_state_code(e.state),
                self.group_number(e.placement.domain, e.placement.group),
            ]),
            None => out.push(255),
        }
        if model.reuses() {
            let responded_now = node.engine.last_responses().any(|(b, at)| b == backend && at == node.now);
            out.push(u8::from(responded_now));
        }
        for connection in node.engine.idle_connections_of(backend) {
            out.push(254);
            self.write_connection(model, node, connection, backend_order, out);
        }
        out.push(255);
    }

    /// Writes the state of a connection as the engine, the shell and the monitor know it.
    fn write_connection<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, connection: ConnectionId, backend_order: &[u8],
        out: &mut Vec<u8>,
    ) {
        self.seen.push(connection);
        let known = node.engine.connections().find(|c| c.0 == connection);
        let engine = match known.map(|c| c.2) {
            None => 0,
            Some(ConnectionState::Connecting(None)) => 1,
            Some(ConnectionState::Connecting(Some(_))) => 2,
            Some(ConnectionState::Busy(..)) => 3,
            Some(ConnectionState::Idle { since, used }) => {
                // Ages beyond the idle time-out, which is longer than the reuse delay, make no difference.
                let age = age(since, node.now, model.connection_limits.idle_timeout);
                4 + u8::from(used) + 2 * age
            }
        };
        let activity = node.shell.connections.iter().find(|l| l.0 == connection).map(|l| l.1);
        let shell = match activity {
            None => 0,
            Some(ConnectionActivity::Opening) => 1,
            Some(ConnectionActivity::Idle) => 2,
            Some(ConnectionActivity::Busy { written, closing, .. }) => {
                3 + u8::from(written) + 2 * u8::from(closing)
            }
        };
        let monitored_connection = node.monitor.observed().connections.get(&connection);
        let monitor = match monitored_connection.map(|l| l.state) {
            None => 0,
            Some(ObservedConnectionState::Connecting) => 1,
            Some(ObservedConnectionState::Dirty) => 2,
            Some(ObservedConnectionState::Busy { written, close_requested: closing, .. }) => {
                3 + u8::from(written) + 2 * u8::from(closing)
            }
            Some(ObservedConnectionState::Idle(None)) => 7,
            Some(ObservedConnectionState::Idle(Some(since))) => {
                8 + age(since, node.now, model.connection_limits.reuse_delay)
            }
        };
        let outdated = u8::from(monitored_connection.is_some_and(|l| l.address_outdated))
            | u8::from(node.engine.is_address_outdated(connection)) << 1;
        let to = match known {
            None => 15,
            Some((_, _, ConnectionState::Busy(..))) if !model.reuses() => 14,
            Some((_, backend, _)) => position_of(backend_order, backend),
        };
        out.extend([engine, shell, monitor, outdated << 4 | to]);
    }

    fn write_request<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, id: u8, backend_order: &[u8], out: &mut Vec<u8>,
    ) {
        let id = RequestId(u64::from(id));
        let not_arrived = node.shell.not_arrived.contains(&id);
        let (r, monitored) = (node.engine.requests().get(&id), node.monitor.observed().requests.get(&id));
        let awaited = node.engine.deadlines().iter().find(|d| d.1 == id).map(|d| d.0);
        if r.is_none() && monitored.is_none() && awaited.is_none() {
            out.push(u8::from(not_arrived)); // not arrived, or finished
            return;
        }
        out.push(2);
        out.push(awaited.map_or(255, |at| signed_ticks(at, node.now)));
        match r {
            None => out.push(255),
            Some(r) => {
                let phase = match r.state {
                    RequestState::Open => 0,
                    RequestState::GivenUp(_) => 1,
                    RequestState::TimedOut => 2,
                    RequestState::Finished => 3,
                };
                // The deadline of a finished request is not read.
                let left =
                    if r.state == RequestState::Finished { 0 } else { signed_ticks(r.deadline, node.now) };
                out.extend([phase, left]);
            }
        }
        match monitored {
            None => out.push(255),
            Some(monitored) => out.extend([
                u8::from(monitored.open),
                if monitored.open { signed_ticks(monitored.deadline, node.now) } else { 0 },
            ]),
        }
        self.write_ended_attempts(model, node, r, monitored, out);
        self.write_attempts(model, node, id, backend_order, out);
    }

    /// Writes the ended attempts of a request that may have been executed: the age of the oldest, and their groups.
    fn write_ended_attempts<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, r: Option<&Request>, monitored: Option<&ObservedRequest>,
        out: &mut Vec<u8>,
    ) {
        if is_over(r, monitored) && !attempts_continue(model, r) {
            return; // its attempts are not read any more
        }
        let effect = r.map(|r| r.idempotency).or(monitored.map(|monitored| monitored.idempotency));
        let sends = r.is_none_or(|r| r.state == RequestState::Open)
            || model.single_domain
            || attempts_continue(model, r);
        let executed =
            r.into_iter().flat_map(|r| &r.attempts).filter(|t| !t.is_in_flight() && t.may_have_executed());
        let mut group_bits = 0u64;
        match effect {
            Some(Idempotency::Keyed(_, window)) if sends => {
                let mut oldest = None;
                for t in executed {
                    let from =
                        if self.reads_end_times { t.ended_at.max(t.dispatched_at) } else { t.dispatched_at };
                    oldest = oldest.max(Some(age(from, node.now, window)));
                    group_bits |= 1 << (self.group_number(t.placement.domain, t.placement.group) & 15);
                }
                out.push(oldest.unwrap_or(255));
                let ended = monitored
                    .into_iter()
                    .flat_map(|monitored| monitored.attempts.values())
                    .filter(|s| s.connection.is_none());
                let mut oldest = None;
                for s in ended {
                    oldest = oldest.max(Some(age(s.sent_at, node.now, window)));
                    group_bits |= 1 << (16 + (self.placement_number(s.placement) & 15));
                }
                out.push(oldest.unwrap_or(255));
                out.extend(group_bits.to_le_bytes().iter().take(4));
            }
            // Without further attempts it only matters whether any attempt may have been executed.
            Some(Idempotency::NonIdempotent | Idempotency::Keyed(..)) => {
                let ended = monitored
                    .into_iter()
                    .flat_map(|monitored| monitored.attempts.values())
                    .any(|s| s.connection.is_none());
                out.push(u8::from(executed.count() > 0) | u8::from(ended) << 1);
            }
            Some(Idempotency::Safe) | None => {}
        }
    }

    fn placement_number(&mut self, place: ObservedPlacement) -> u8 {
        self.group_number(place.domain, place.group)
    }

    /// Writes the attempts of a request in flight, in an order that does not depend on their numbers.
    fn write_attempts<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, id: RequestId, backend_order: &[u8], out: &mut Vec<u8>,
    ) {
        let (r, monitored) = (node.engine.requests().get(&id), node.monitor.observed().requests.get(&id));
        let known = r.map_or(0, |r| r.attempts.len());
        let others = monitored
            .into_iter()
            .flat_map(|monitored| monitored.attempts.keys().chain(monitored.intents.keys()));
        let pending = node.shell.pending_intents.iter().filter(|p| p.request == id).map(|p| p.attempt);
        let attempt_bound = others.copied().chain(pending).map(|a| a.0 as usize + 1).max().unwrap_or(0);
        let mut parts = std::mem::take(&mut self.parts);
        let mut used = 0;
        for no in 0..known.max(attempt_bound) {
            if parts.len() == used {
                parts.push(Vec::new());
            }
            let mut part = std::mem::take(&mut parts[used]);
            part.clear();
            if self.write_attempt(model, node, id, no, backend_order, &mut part) {
                used += 1;
                parts[used - 1] = part;
            } else {
                parts[used] = part;
            }
        }
        parts[..used].sort_unstable();
        out.push(used as u8);
        for part in &parts[..used] {
            out.push(part.len() as u8);
            out.extend_from_slice(part);
        }
        self.parts = parts;
    }

    /// Writes an attempt. Returns false if it is in flight neither for the engine nor for the shell nor for the monitor.
    fn write_attempt<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, id: RequestId, no: usize, backend_order: &[u8],
        out: &mut Vec<u8>,
    ) -> bool {
        let attempt = AttemptNumber(no as u32);
        let t = node.engine.requests().get(&id).and_then(|r| r.attempts.get(no)).filter(|t| t.is_in_flight());
        let monitored = node.monitor.observed().requests.get(&id);
        let sent = monitored
            .and_then(|monitored| monitored.attempts.get(&attempt))
            .filter(|s| s.connection.is_some());
        let permit = monitored.and_then(|monitored| monitored.intents.get(&attempt));
        let matches_intent = |p: &&Pending| (p.request, p.attempt) == (id, attempt);
        let pending = node.shell.pending_intents.iter().find(matches_intent);
        if t.is_none() && sent.is_none() && permit.is_none() && pending.is_none() {
            return false;
        }
        // If no further attempt is sent, the age and the group of an attempt are not read. In a model with a single
        // deduplication domain they are: a rejection depends on them.
        let known = node.engine.requests().get(&id);
        let sends = known.is_some_and(|r| r.state == RequestState::Open)
            || model.single_domain && !is_over(known, monitored)
            || attempts_continue(model, known);
        let window = monitored.filter(|_| sends).and_then(|monitored| match monitored.idempotency {
            Idempotency::Keyed(_, window) => Some(window),
            Idempotency::Safe | Idempotency::NonIdempotent => None,
        });
        let since = |at: Time| window.map_or(0, |window| age(at, node.now, window));
        match t {
            None => out.push(255),
            Some(t) => {
                let step = match t.state {
                    AttemptState::NotStarted => 0,
                    AttemptState::Connecting(_) => 1,
                    AttemptState::Writing(_) => 2,
                    AttemptState::Written(_) => 3,
                    AttemptState::Cancelling(..) => 4,
                    AttemptState::Ended(_) => 5,
                };
                let stopping = matches!(t.state, AttemptState::Cancelling(..));
                let whole = matches!(t.state, AttemptState::Written(_)) || stopping;
                // Once the request is written, the backend matters only for the reuse of the connection.
                let to = if whole && !model.reuses() { 14 } else { position_of(backend_order, t.backend) };
                let responded = model.reuses()
                    && !stopping
                    && node.engine.last_responses().any(|(b, at)| b == t.backend && at >= t.dispatched_at);
                let by = t.start_by.map_or(255, |by| signed_ticks(by, node.now));
                // The bound on the first byte is read only before the request is written.
                let by = if whole { 255 } else { by };
                // An attempt that is not written yet is sent only to the group for which it was dispatched.
                let listed = node.engine.listed_backend(t.backend).map(|(_, group, _)| group);
                let moved = !whole && listed != Some(t.placement);
                let flags = u8::from(responded) | u8::from(t.intent_requested) << 1 | u8::from(moved) << 2;
                out.extend([step, to, since(t.dispatched_at), flags, by]);
                if window.is_some() {
                    out.push(self.group_number(t.placement.domain, t.placement.group));
                }
                if let Some(connection) = t.connection() {
                    self.write_connection(model, node, connection, backend_order, out);
                }
            }
        }
        match sent {
            None => out.push(255),
            Some(s) => {
                out.push(since(s.sent_at));
                if window.is_some() {
                    out.push(self.placement_number(s.placement));
                }
                if let Some(connection) = s.connection.filter(|c| t.and_then(|t| t.connection()) != Some(*c))
                {
                    self.write_connection(model, node, connection, backend_order, out);
                }
            }
        }
        out.push(match permit {
            None => 0,
            Some(IntentState::Requested) => 1,
            Some(IntentState::Durable) => 2,
        });
        out.push(pending.map_or(0, |p| 1 + u8::from(p.withdrawn)));
        true
    }

    /// Writes the connections that are neither idle nor used by an attempt, in an order that does not depend on their
    /// identifiers.
    fn write_unowned_connections<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, backend_order: &[u8], out: &mut Vec<u8>,
    ) {
        let mut rest: Vec<[u8; 4]> = Vec::new();
        let mut scratch = Vec::new();
        let engine = node.engine.connections().map(|c| c.0);
        let shell = node.shell.connections.iter().map(|l| l.0);
        let monitor = node.monitor.observed().connections.keys().copied();
        for connection in engine.chain(shell).chain(monitor) {
            if self.seen.contains(&connection) {
                continue;
            }
            scratch.clear();
            self.write_connection(model, node, connection, backend_order, &mut scratch);
            rest.push([scratch[0], scratch[1], scratch[2], scratch[3]]);
        }
        rest.sort_unstable();
        out.push(rest.len() as u8);
        rest.iter().for_each(|connection| out.extend_from_slice(connection));
    }
}

/// Returns whether the request is finished for the engine and answered for the monitor.
fn is_over(r: Option<&Request>, monitored: Option<&ObservedRequest>) -> bool {
    r.is_none_or(|r| r.state == RequestState::Finished) && monitored.is_none_or(|monitored| !monitored.open)
}

/// Returns whether attempts of a request may go on after its answer, until the deduplication window of another one ends.
fn attempts_continue(model: &Model, r: Option<&Request>) -> bool {
    !model.can_cancel && r.is_some_and(Request::has_attempt_in_flight)
}

fn position_of(backend_order: &[u8], backend: BackendId) -> u8 {
    backend_order.iter().position(|id| u32::from(*id) == backend.0).unwrap_or(15) as u8
}

fn backend_state_code(state: BackendState) -> u8 {
    match state {
        BackendState::Ready => 0,
        BackendState::Draining => 1,
        BackendState::Gone => 2,
    }
}

/// Encodes the ticks until `at` as 100 plus their number, or, if `at` has passed since the engine is woken late, as 100
/// minus the ticks since then.
fn signed_ticks(at: Time, now: Time) -> u8 {
    let (ahead, past) = ((at - now).0 / TICK.0, (now - at).0 / TICK.0);
    (100 + ahead.min(100) - past.min(100)) as u8
}

/// Returns the ticks since `since`, at most `most`: a greater age makes no difference.
fn age(since: Time, now: Time, most: Micros) -> u8 {
    (now - since).0.min(most.0).div_euclid(TICK.0) as u8
}
