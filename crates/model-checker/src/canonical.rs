//! The canonical form: what two states that differ in nothing that can ever be seen have in common.
//!
//! Left out or merged, each with its reason in `docs/design/engine-exploration.md`: the time itself, names of
//! connections, numbers of attempts, the order of like requests and of like backends, ages beyond the last bound that
//! reads them, what is kept of an attempt that is known not to have run, and of several that have the oldest.

use crate::model::{Model, TICK};
use crate::node::Node;
use crate::shell::{ConnectionActivity, Pending};
use shaletide_engine::monitor::{IntentState, ObservedConnectionState, ObservedPlacement, ObservedRequest};
use shaletide_engine::{AttemptState, ConnectionState, Policy, Request, RequestState};
use shaletide_types::*;
use std::hash::Hasher;

/// Writes canonical forms; keeps its buffers.
#[derive(Debug)]
pub struct Canonicalizer {
    /// The orders of requests and backends that are tried.
    symmetries: Vec<(Vec<u8>, Vec<u8>)>,
    smallest: Vec<u8>,
    candidate: Vec<u8>,
    parts: Vec<Vec<u8>>,
    groups: Vec<(u32, u64)>,
    seen: Vec<ConnectionId>,
    reads_end_times: bool,
}

impl Canonicalizer {
    /// For states of that world. `end_counts`: a mutant reads when attempts ended.
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

    /// 128 bits of the canonical form. Two halves of 64 bits, each the standard library's SipHash with another
    /// first byte.
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

    /// The number of a cell: in the order in which they are met.
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

    /// What is known of a connection on all three sides.
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
                // Too old to be used, or quiet: what is older is no different.
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
        let line = node.monitor.observed().connections.get(&connection);
        let monitor = match line.map(|l| l.state) {
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
        let old = u8::from(line.is_some_and(|l| l.address_outdated))
            | u8::from(node.engine.is_address_outdated(connection)) << 1;
        let to = match known {
            None => 15,
            Some((_, _, ConnectionState::Busy(..))) if !model.reuses() => 14,
            Some((_, backend, _)) => position_of(backend_order, backend),
        };
        out.extend([engine, shell, monitor, old << 4 | to]);
    }

    fn write_request<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, id: u8, backend_order: &[u8], out: &mut Vec<u8>,
    ) {
        let id = RequestId(u64::from(id));
        let not_arrived = node.shell.not_arrived.contains(&id);
        let (r, w) = (node.engine.requests().get(&id), node.monitor.observed().requests.get(&id));
        let awaited = node.engine.deadlines().iter().find(|d| d.1 == id).map(|d| d.0);
        if r.is_none() && w.is_none() && awaited.is_none() {
            out.push(u8::from(not_arrived)); // to come, or over
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
                // Once it is over nothing asks for its deadline.
                let left =
                    if r.state == RequestState::Finished { 0 } else { signed_ticks(r.deadline, node.now) };
                out.extend([phase, left]);
            }
        }
        match w {
            None => out.push(255),
            Some(w) => {
                out.extend([u8::from(w.open), if w.open { signed_ticks(w.deadline, node.now) } else { 0 }])
            }
        }
        self.write_ended_attempts(model, node, r, w, out);
        self.write_attempts(model, node, id, backend_order, out);
    }

    /// What is over of it and may have run. Only the oldest of those counts, and where any of them was.
    fn write_ended_attempts<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, r: Option<&Request>, w: Option<&ObservedRequest>,
        out: &mut Vec<u8>,
    ) {
        if is_over(r, w) {
            return; // nothing asks for it any more
        }
        let effect = r.map(|r| r.idempotency).or(w.map(|w| w.idempotency));
        let sends = r.is_none_or(|r| r.state == RequestState::Open) || model.single_domain;
        let ran =
            r.into_iter().flat_map(|r| &r.attempts).filter(|t| !t.is_in_flight() && t.may_have_executed());
        let mut group_bits = 0u64;
        match effect {
            Some(Idempotency::Keyed(_, window)) if sends => {
                let mut oldest = None;
                for t in ran {
                    let from =
                        if self.reads_end_times { t.ended_at.max(t.dispatched_at) } else { t.dispatched_at };
                    oldest = oldest.max(Some(age(from, node.now, window)));
                    group_bits |= 1 << (self.group_number(t.placement.domain, t.placement.group) & 15);
                }
                out.push(oldest.unwrap_or(255));
                let over = w.into_iter().flat_map(|w| w.attempts.values()).filter(|s| s.connection.is_none());
                let mut oldest = None;
                for s in over {
                    oldest = oldest.max(Some(age(s.sent_at, node.now, window)));
                    group_bits |= 1 << (16 + (self.placement_number(s.placement) & 15));
                }
                out.push(oldest.unwrap_or(255));
                out.extend(group_bits.to_le_bytes().iter().take(4));
            }
            // Of one that is given up only matters whether anything may have run.
            Some(Idempotency::NonIdempotent | Idempotency::Keyed(..)) => {
                let over = w.into_iter().flat_map(|w| w.attempts.values()).any(|s| s.connection.is_none());
                out.push(u8::from(ran.count() > 0) | u8::from(over) << 1);
            }
            Some(Idempotency::Safe) | None => {}
        }
    }

    fn placement_number(&mut self, place: ObservedPlacement) -> u8 {
        self.group_number(place.domain, place.group)
    }

    /// What is on its way of it, in an order that does not depend on the attempts' numbers.
    fn write_attempts<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, id: RequestId, backend_order: &[u8], out: &mut Vec<u8>,
    ) {
        let (r, w) = (node.engine.requests().get(&id), node.monitor.observed().requests.get(&id));
        let known = r.map_or(0, |r| r.attempts.len());
        let others = w.into_iter().flat_map(|w| w.attempts.keys().chain(w.intents.keys()));
        let pending = node.shell.pending_intents.iter().filter(|p| p.request == id).map(|p| p.attempt);
        let most = others.copied().chain(pending).map(|a| a.0 as usize + 1).max().unwrap_or(0);
        let mut parts = std::mem::take(&mut self.parts);
        let mut used = 0;
        for no in 0..known.max(most) {
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

    /// False where nothing of it is on its way on any side.
    fn write_attempt<P: Policy>(
        &mut self, model: &Model, node: &Node<P>, id: RequestId, no: usize, backend_order: &[u8],
        out: &mut Vec<u8>,
    ) -> bool {
        let attempt = AttemptNumber(no as u32);
        let t = node.engine.requests().get(&id).and_then(|r| r.attempts.get(no)).filter(|t| t.is_in_flight());
        let w = node.monitor.observed().requests.get(&id);
        let sent = w.and_then(|w| w.attempts.get(&attempt)).filter(|s| s.connection.is_some());
        let permit = w.and_then(|w| w.intents.get(&attempt));
        let matches_intent = |p: &&Pending| (p.request, p.attempt) == (id, attempt);
        let pending = node.shell.pending_intents.iter().find(matches_intent);
        if t.is_none() && sent.is_none() && permit.is_none() && pending.is_none() {
            return false;
        }
        // Where nothing more is sent nobody asks how old an attempt is, nor where it is; but a refusal may.
        let known = node.engine.requests().get(&id);
        let sends =
            known.is_some_and(|r| r.state == RequestState::Open) || model.single_domain && !is_over(known, w);
        let window = w.filter(|_| sends).and_then(|w| match w.idempotency {
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
                // Of what is written whole the backend is asked only to use its connection again.
                let to = if whole && !model.reuses() { 14 } else { position_of(backend_order, t.backend) };
                let responded = model.reuses()
                    && !stopping
                    && node.engine.last_responses().any(|(b, at)| b == t.backend && at >= t.dispatched_at);
                let by = t.start_by.map_or(255, |by| signed_ticks(by, node.now));
                // Only what has not begun is asked for its first byte.
                let by = if whole { 255 } else { by };
                // What has not begun goes only where it was asked for.
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

    /// Connections that are neither idle nor an attempt's, in an order that does not depend on their names.
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
        rest.iter().for_each(|line| out.extend_from_slice(line));
    }
}

/// Nothing is owed any more, on either side.
fn is_over(r: Option<&Request>, w: Option<&ObservedRequest>) -> bool {
    r.is_none_or(|r| r.state == RequestState::Finished) && w.is_none_or(|w| !w.open)
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

/// Ticks until then, or since then where the engine is woken late: below 100 where it is past.
fn signed_ticks(at: Time, now: Time) -> u8 {
    let (ahead, past) = ((at - now).0 / TICK.0, (now - at).0 / TICK.0);
    (100 + ahead.min(100) - past.min(100)) as u8
}

/// Ticks since then, up to a bound beyond which nothing changes.
fn age(since: Time, now: Time, most: Micros) -> u8 {
    (now - since).0.min(most.0).div_euclid(TICK.0) as u8
}
