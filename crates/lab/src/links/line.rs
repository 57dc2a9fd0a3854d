//! One direction of a link as all its flows share it: the fault in force, the rate used up, and the tally.

use super::fault::{Cut, Fault};
use shaletide_types::{Micros, Time};

/// What went through one direction since the link was made. A unit is a datagram, or a chunk of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Tally {
    /// Units that came from the sender.
    pub came: u64,
    /// Their bytes.
    pub came_bytes: u64,
    /// Units written towards the receiver, counted at the write itself and not where it was decided.
    pub passed: u64,
    /// Their bytes.
    pub passed_bytes: u64,
    /// Bytes written towards the receiver since a fault was last set (a clean one included).
    pub passed_bytes_since_set: u64,
    /// Bytes written towards the receiver while a cut was in force, over all cuts: above 0 the lab itself is wrong.
    pub passed_bytes_while_cut: u64,
    /// Datagrams dropped by a cut, those under way included.
    pub dropped_by_cut: u64,
    /// Datagrams dropped by loss.
    pub lost: u64,
    /// Chunks of a stream that waited as for a retransmission.
    pub stalled: u64,
    /// Datagrams dropped because a queue was full or the kernel took no more.
    pub overflowed: u64,
    /// Datagrams sent a second time.
    pub duplicated: u64,
    /// Datagrams held back for others to overtake.
    pub reordered: u64,
    /// Units with a changed byte.
    pub corrupted: u64,
    /// Old datagrams sent again.
    pub replayed: u64,
    /// Units that wait inside now.
    pub held: u64,
    /// Their bytes.
    pub held_bytes: u64,
}

/// One direction of a link.
#[derive(Clone, Debug, Default)]
pub struct Line {
    fault: Fault,
    cuts: u64,
    resets: u64,
    free_at: Time,
    pub(super) tally: Tally,
    /// A planted fault of the lab's own: cuts are not kept.
    #[cfg(test)]
    pub(super) leaky: bool,
}

impl Line {
    /// Puts a fault in force in place of the one before.
    pub fn set(&mut self, now: Time, fault: Fault) {
        if fault.cut != Cut::None && self.fault.cut == Cut::None {
            self.cuts += 1;
        }
        if fault.cut == Cut::Reset && self.fault.cut != Cut::Reset {
            self.resets += 1;
        }
        if fault.rate != self.fault.rate {
            self.free_at = now;
        }
        self.fault = fault;
        self.tally.passed_bytes_since_set = 0;
    }

    /// The fault in force.
    pub fn fault(&self) -> Fault {
        self.fault
    }

    /// The count so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// How often it was cut: what was under way at an earlier count was met by a cut.
    pub fn cuts(&self) -> u64 {
        self.cuts
    }

    /// How often it was cut with a reset: a connection older than that is to be reset.
    pub fn resets(&self) -> u64 {
        self.resets
    }

    /// Whether a cut keeps things from passing.
    pub fn holds(&self) -> bool {
        #[cfg(test)]
        if self.leaky {
            return false;
        }
        self.fault.cut != Cut::None
    }

    /// Whoever wrote so many bytes of a unit towards the receiver says so here, whatever was decided.
    pub fn wrote(&mut self, bytes: usize, whole: bool) {
        let bytes = bytes as u64;
        self.tally.passed += u64::from(whole);
        self.tally.passed_bytes += bytes;
        self.tally.passed_bytes_since_set += bytes;
        if self.fault.cut != Cut::None {
            self.tally.passed_bytes_while_cut += bytes;
        }
    }

    /// Takes the rate for so many bytes: when the last of them is through.
    pub(super) fn slot(&mut self, now: Time, bytes: usize) -> Time {
        let Some(rate) = self.fault.rate else { return now };
        let took = (bytes as u64).saturating_mul(1_000_000).div_ceil(rate);
        self.free_at = self.free_at.max(now) + Micros(took);
        self.free_at
    }

    pub(super) fn hold(&mut self, bytes: usize) {
        self.tally.held += 1;
        self.tally.held_bytes += bytes as u64;
    }

    pub(super) fn let_go(&mut self, bytes: usize) {
        self.tally.held -= 1;
        self.tally.held_bytes -= bytes as u64;
    }
}
