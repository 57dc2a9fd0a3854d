//! The queue of one flow in one direction of a link: a connection's bytes, or the datagrams between two addresses. Input
//! is scheduled to depart, or dropped; the I/O driver takes what is due. Seeded; time is an argument.

use super::line::Line;
use super::replay::Replays;
use shaletide_testkit::SeededRng;
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};

/// Maximum size of a chunk of a stream, bytes.
pub const MAX_CHUNK: usize = 16 * 1024;
/// Queued bytes of a stream from which on the I/O driver stops reading.
pub const MAX_HELD_STREAM_BYTES: usize = 64 * 1024;
/// Maximum number of queued datagrams of one flow; further ones are dropped as overflow.
pub const MAX_HELD_DATAGRAMS: usize = 1024;
/// Maximum number of their bytes.
pub const MAX_HELD_DATAGRAM_BYTES: usize = 64 * 1024;
/// Maximum wait of a reordered datagram for others to overtake it.
pub const REORDER_WAIT: Micros = Micros(100_000);
/// Maximum number of datagrams that overtake one.
pub const REORDER_PAST: u64 = 3;
/// The first delay of a lost chunk of a stream: the minimum retransmission timeout of the platform.
pub const STALL: Micros = Micros(200_000);
/// Maximum number of consecutive losses of one chunk.
pub const MAX_STALLS: u32 = 5;

/// How one side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// No more bytes from there; the other direction goes on.
    Finished,
    /// The connection was reset.
    Reset,
}

/// A unit that departs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Departure {
    /// A datagram, or a chunk of a stream.
    Bytes(Vec<u8>),
    /// A stream's end, after all its bytes.
    End(End),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Stream,
    Datagrams,
}

#[derive(Clone, Debug)]
struct Held {
    /// The line's number of cuts when it was queued.
    cuts: u64,
    departure: Departure,
}

#[derive(Clone, Debug)]
struct Aside {
    due: Time,
    until: Time,
    past: u64,
    held: Held,
}

/// The queue of a flow.
#[derive(Clone, Debug)]
pub struct FlowQueue {
    kind: Kind,
    rng: SeededRng,
    held: BTreeMap<(Time, u64), Held>,
    held_bytes: usize,
    aside: VecDeque<Aside>,
    sequence: u64,
    last_due: Time,
    ended: bool,
    replays: Replays,
}

impl FlowQueue {
    /// For one direction of a connection.
    pub fn stream(rng: SeededRng) -> FlowQueue {
        FlowQueue::new(Kind::Stream, rng)
    }

    /// For the datagrams from one address to another.
    pub fn datagrams(rng: SeededRng) -> FlowQueue {
        FlowQueue::new(Kind::Datagrams, rng)
    }

    fn new(kind: Kind, rng: SeededRng) -> FlowQueue {
        FlowQueue {
            kind,
            rng,
            held: BTreeMap::new(),
            held_bytes: 0,
            aside: VecDeque::new(),
            sequence: 0,
            last_due: Time(0),
            ended: false,
            replays: Replays::default(),
        }
    }

    /// Whether a stream accepts more bytes. Datagrams are always accepted, and dropped if the queue is full.
    pub fn has_room(&self) -> bool {
        !self.ended && self.held_bytes < MAX_HELD_STREAM_BYTES
    }

    /// Queues a datagram, or a chunk of a stream: at most [`MAX_CHUNK`] bytes, while it has room.
    pub fn offer(&mut self, now: Time, line: &mut Line, bytes: Vec<u8>) {
        line.tally.came += 1;
        line.tally.came_bytes += bytes.len() as u64;
        match self.kind {
            Kind::Stream => self.offer_chunk(now, line, bytes),
            Kind::Datagrams => self.offer_datagram(now, line, bytes),
        }
    }

    /// Queues the stream's end, after all its bytes. A reset during a cut discards the bytes that wait: the sender's machine has
    /// no acknowledgement of them, and TCP does not send them again for a connection that was reset.
    pub fn end(&mut self, now: Time, line: &mut Line, end: End) {
        if self.ended {
            return;
        }
        self.ended = true;
        if end == End::Reset && line.holds() {
            let discarded = self.abandon(line);
            line.tally.dropped_by_cut += discarded;
        }
        let due = (now + self.delay(line)).max(self.last_due);
        self.insert(due, line, Departure::End(end));
    }

    /// When [`FlowQueue::take`] next returns a unit; `None` while the queue is empty or held by a cut.
    pub fn due(&self, line: &Line) -> Option<Time> {
        if line.holds() {
            // What a cut drops is dropped at once; a stream's bytes wait for its end.
            return (self.kind == Kind::Datagrams && self.waits()).then_some(Time(0));
        }
        let first = self.held.keys().next().map(|(due, _)| *due);
        let aside = self.aside.iter().map(|aside| aside.until).min();
        first.into_iter().chain(aside).min()
    }

    /// The next unit that is due, if any.
    pub fn take(&mut self, now: Time, line: &mut Line) -> Option<Departure> {
        if line.holds() {
            if self.kind == Kind::Datagrams {
                let dropped = self.abandon(line);
                line.tally.dropped_by_cut += dropped;
            }
            return None;
        }
        self.return_aside(now);
        while let Some(entry) = self.held.first_entry() {
            if entry.key().0 > now {
                return None;
            }
            let held = entry.remove();
            let bytes = held.departure.bytes();
            self.held_bytes -= bytes;
            line.release(bytes);
            if self.kind == Kind::Datagrams && held.cuts != line.cuts() {
                line.tally.dropped_by_cut += 1;
                continue;
            }
            return Some(held.departure);
        }
        None
    }

    /// Puts back the rest of a chunk that was written only in part: it departs next.
    pub fn put_back(&mut self, line: &mut Line, rest: Vec<u8>) {
        self.held_bytes += rest.len();
        line.hold(rest.len());
        let held = Held { cuts: line.cuts(), departure: Departure::Bytes(rest) };
        // Sequence numbers begin at 1 and only one chunk is ever out, so that the place is free.
        self.held.insert((Time(0), 0), held);
    }

    /// Drops all queued units, as at the end of the flow. Their number.
    pub fn abandon(&mut self, line: &mut Line) -> u64 {
        let mut dropped_units = 0;
        let aside = self.aside.drain(..).map(|aside| aside.held);
        let dropped = std::mem::take(&mut self.held).into_values().chain(aside);
        for held in dropped {
            line.release(held.departure.bytes());
            dropped_units += 1;
        }
        self.held_bytes = 0;
        dropped_units
    }

    fn waits(&self) -> bool {
        !self.held.is_empty() || !self.aside.is_empty()
    }

    fn delay(&mut self, line: &Line) -> Micros {
        let ms = line.fault().delay_ms.sample(&mut self.rng);
        Micros((ms.min(super::fault::MAX_DELAY_MS) * 1000.0).ceil() as u64)
    }

    /// Draws only for a chance above 0, so that one fault's random numbers do not depend on whether another is set.
    fn happens(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.rng.chance(chance)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn insert(&mut self, due: Time, line: &mut Line, departure: Departure) {
        let bytes = departure.bytes();
        self.held_bytes += bytes;
        line.hold(bytes);
        self.sequence += 1;
        self.last_due = self.last_due.max(due);
        self.held.insert((due, self.sequence), Held { cuts: line.cuts(), departure });
    }

    fn corrupt(&mut self, line: &mut Line, bytes: &mut [u8]) {
        if bytes.is_empty() || !self.happens(line.fault().corrupt) {
            return;
        }
        let at = self.below(bytes.len() as u64) as usize;
        bytes[at] ^= 1 + self.below(255) as u8;
        line.tally.corrupted += 1;
    }

    fn offer_chunk(&mut self, now: Time, line: &mut Line, mut bytes: Vec<u8>) {
        self.corrupt(line, &mut bytes);
        let wait = Micros(self.delay(line).0 + self.stall(line).0);
        for piece in bytes.chunks(piece_bytes(line)) {
            let through = line.slot(now, piece.len());
            let due = (through + wait).max(self.last_due);
            self.insert(due, line, Departure::Bytes(piece.to_vec()));
        }
    }

    fn stall(&mut self, line: &mut Line) -> Micros {
        let chance = line.fault().loss;
        let mut stall = Micros(0);
        for nth in 0..MAX_STALLS {
            if !self.happens(chance) {
                break;
            }
            line.tally.stalled += u64::from(nth == 0);
            stall = Micros(stall.0 + (STALL.0 << nth));
        }
        stall
    }

    fn offer_datagram(&mut self, now: Time, line: &mut Line, bytes: Vec<u8>) {
        if line.holds() {
            line.tally.dropped_by_cut += 1;
            return;
        }
        let fault = line.fault();
        if self.happens(fault.loss) {
            line.tally.lost += 1;
            return;
        }
        let replay = if self.happens(fault.replay) { self.replays.draw(now, &mut self.rng) } else { None };
        self.replays.keep(now, &bytes);
        let copy = self.happens(fault.duplicate).then(|| bytes.clone());
        let aside = self.happens(fault.reorder);
        self.schedule(now, line, bytes, aside);
        if let Some(copy) = copy {
            line.tally.duplicated += 1;
            self.schedule(now, line, copy, false);
        }
        if let Some(old) = replay {
            line.tally.replayed += 1;
            self.schedule(now, line, old, false);
        }
    }

    fn schedule(&mut self, now: Time, line: &mut Line, mut bytes: Vec<u8>, aside: bool) {
        let held = self.held.len() + self.aside.len();
        if held >= MAX_HELD_DATAGRAMS || self.held_bytes + bytes.len() > MAX_HELD_DATAGRAM_BYTES {
            line.tally.overflowed += 1;
            return;
        }
        self.corrupt(line, &mut bytes);
        let due = line.slot(now, bytes.len()) + self.delay(line);
        if aside {
            self.set_aside(due, line, bytes);
        } else {
            self.insert(due, line, Departure::Bytes(bytes));
            self.overtaken(due);
        }
    }

    fn set_aside(&mut self, due: Time, line: &mut Line, bytes: Vec<u8>) {
        line.tally.reordered += 1;
        line.hold(bytes.len());
        self.held_bytes += bytes.len();
        let past = 1 + self.below(REORDER_PAST);
        let held = Held { cuts: line.cuts(), departure: Departure::Bytes(bytes) };
        self.aside.push_back(Aside { due, until: due + REORDER_WAIT, past, held });
    }

    /// Counts a datagram that departs at that time as overtaking all that are set aside.
    fn overtaken(&mut self, at: Time) {
        for mut aside in std::mem::take(&mut self.aside) {
            aside.past -= 1;
            if aside.past == 0 {
                self.keep(at.max(aside.due), aside.held);
            } else {
                self.aside.push_back(aside);
            }
        }
    }

    fn return_aside(&mut self, now: Time) {
        for aside in std::mem::take(&mut self.aside) {
            if aside.until <= now {
                self.keep(aside.until, aside.held);
            } else {
                self.aside.push_back(aside);
            }
        }
    }

    /// Queues a unit whose bytes are counted already.
    fn keep(&mut self, due: Time, held: Held) {
        self.sequence += 1;
        self.held.insert((due, self.sequence), held);
    }
}

impl Departure {
    fn bytes(&self) -> usize {
        match self {
            Departure::Bytes(bytes) => bytes.len(),
            Departure::End(_) => 0,
        }
    }
}

/// Size of the pieces of a rate-limited stream: a twentieth of a second's bytes, at least 256.
fn piece_bytes(line: &Line) -> usize {
    let rate = line.fault().rate.unwrap_or(u64::MAX);
    (rate / 20).clamp(256, MAX_CHUNK as u64) as usize
}
