//! The faults of one direction of a link, and the valid ranges of their values.

use shaletide_testkit::Distribution;
use std::fmt;

/// Maximum delay of a chunk or datagram, ms; longer drawn delays are clamped.
pub const MAX_DELAY_MS: f64 = 60_000.0;

/// The directions of a link, or between two groups of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that opens connections or sends first to the other; from the first group to the second.
    Forth,
    /// The other way round.
    Back,
    /// Both at once.
    Both,
}

/// Whether and how a direction is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Cut {
    /// It is not.
    #[default]
    None,
    /// Open connections are reset at both ends, in whichever direction this was set, and new ones are refused.
    /// Datagrams are dropped.
    Reset,
    /// Nothing passes and no end is notified: open connections stay open. Bytes of a stream wait, within the bound of
    /// held bytes, for the cut to heal, as they would in a sender's buffer; datagrams are dropped.
    Silent,
}

/// The faults of one direction. [`Fault::default`] has none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Whether it is cut.
    pub cut: Cut,
    /// Added delay of each chunk or datagram, ms, from 0 to [`MAX_DELAY_MS`]. A stream keeps its order, datagrams
    /// may overtake each other.
    pub delay_ms: Distribution,
    /// Probability that a datagram is dropped. On a stream: that a chunk (up to 16 KiB, as read) and all after
    /// it are delayed as by a retransmission (200 ms, doubled for each further loss, 5 at most).
    pub loss: f64,
    /// Probability that a datagram is duplicated. Not on streams.
    pub duplicate: f64,
    /// Probability that a datagram is overtaken by the next one to three; it waits for these 100 ms at most.
    /// Not on streams.
    pub reorder: f64,
    /// Rate limit, bytes per second, at least 1, shared by all connections of the link; `None`: no limit.
    pub rate: Option<u64>,
    /// Probability that one byte of a chunk or datagram is changed.
    pub corrupt: f64,
    /// Probability that a datagram of the last minute is replayed after a datagram. Not on streams.
    pub replay: f64,
}

impl Default for Fault {
    fn default() -> Fault {
        Fault {
            cut: Cut::None,
            delay_ms: Distribution::Fixed(0.0),
            loss: 0.0,
            duplicate: 0.0,
            reorder: 0.0,
            rate: None,
            corrupt: 0.0,
            replay: 0.0,
        }
    }
}

impl Fault {
    /// A fault with only a cut.
    pub fn cut(cut: Cut) -> Fault {
        Fault { cut, ..Fault::default() }
    }

    /// A fault with only a delay.
    pub fn delay_ms(delay_ms: Distribution) -> Fault {
        Fault { delay_ms, ..Fault::default() }
    }

    /// Checks each value's range.
    ///
    /// # Errors
    /// The first value out of its range.
    pub fn check(&self) -> Result<(), FaultError> {
        let chances = [
            ("loss", self.loss),
            ("duplicate", self.duplicate),
            ("reorder", self.reorder),
            ("corrupt", self.corrupt),
            ("replay", self.replay),
        ];
        if let Some((name, value)) = chances.into_iter().find(|(_, value)| !(0.0..=1.0).contains(value)) {
            return Err(FaultError::Chance { name, value });
        }
        let bounds = match self.delay_ms {
            Distribution::Fixed(ms) | Distribution::Exponential(ms) => [ms, ms],
            Distribution::Even(from, to) => [from, to],
            // The ratio of deviation to mean has its own, generous range.
            Distribution::LogNormal(mean, ratio) => [mean, ratio],
        };
        if let Some(value) = bounds.into_iter().find(|ms| !(0.0..=MAX_DELAY_MS).contains(ms)) {
            return Err(FaultError::Delay { value });
        }
        match self.rate {
            Some(0) => Err(FaultError::Rate),
            _ => Ok(()),
        }
    }
}

/// A fault out of its range; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq)]
#[non_exhaustive]
pub enum FaultError {
    /// A probability outside 0 to 1.
    Chance {
        /// Its name.
        name: &'static str,
        /// Its value.
        value: f64,
    },
    /// A delay outside 0 to [`MAX_DELAY_MS`].
    Delay {
        /// Its value, ms.
        value: f64,
    },
    /// A rate of 0, which would be a silent cut.
    Rate,
}

impl fmt::Display for FaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultError::Chance { name, value } => write!(f, "{name}: a chance of 0 to 1, got {value}"),
            FaultError::Delay { value } => write!(f, "delay: 0 to {MAX_DELAY_MS} ms, got {value}"),
            FaultError::Rate => write!(f, "rate: at least 1 byte a second; a silent cut lets none pass"),
        }
    }
}

impl std::error::Error for FaultError {}

#[cfg(test)]
mod tests;
