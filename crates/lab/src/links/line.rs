//! One direction of a link as all its flows share it: the fault in force, the rate used up, and the tally.

use super::fault::{Cut, Fault};
use shaletide_types::{Micros, Time};

/// Counters of one direction since the link was created. A unit is a datagram, or a chunk of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Tally {
    /// Units received from the sender.
    pub came: u64,
    /// Their bytes.
    pub came_bytes: u64,
    /// Units written to the receiver, counted at the write itself and not at the decision.
    pub passed: u64,
    /// Their bytes.
    pub passed_bytes: u64,
    /// Bytes written to the receiver since a fault was last set (a clean one included).
    pub passed_bytes_since_set: u64,
    /// Bytes written to the receiver while a cut was in force, over all cuts: above 0 the lab itself is faulty.
    pub passed_bytes_while_cut: u64,
    /// Datagrams dropped by a cut, those in flight included, and chunks of streams whose sender has reset the connection
    /// during a cut.
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
    /// Units that are queued now.
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
    /// A mutant for tests: cuts are ignored.
    #[cfg(test)]
    pub(super) leaky: bool,
}

impl Line {
    /// Sets the fault, in place of the one before.
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

    /// The counters so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Number of cuts so far: what was in flight at an earlier number was hit by a cut.
    pub fn cuts(&self) -> u64 {
        self.cuts
    }

    /// Number of cuts with a reset so far: a connection opened at an earlier number is to be reset.
    pub fn resets(&self) -> u64 {
        self.resets
    }

    /// Whether a cut is in force.
    pub fn holds(&self) -> bool {
        #[cfg(test)]
        if self.leaky {
            return false;
        }
        self.fault.cut != Cut::None
    }

    /// Counts bytes of a unit that were written to the receiver, whatever was decided.
    pub fn wrote(&mut self, bytes: usize, whole: bool) {
        let bytes = bytes as u64;
        self.tally.passed += u64::from(whole);
        self.tally.passed_bytes += bytes;
        self.tally.passed_bytes_since_set += bytes;
        if self.fault.cut != Cut::None {
            self.tally.passed_bytes_while_cut += bytes;
        }
    }

    /// Reserves the rate for so many bytes. The time at which the last of them has passed.
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

    pub(super) fn release(&mut self, bytes: usize) {
        self.tally.held -= 1;
        self.tally.held_bytes -= bytes as u64;
    }
}
