//! Points in time and spans of it, in microseconds.

/// A point in time, in microseconds of the driver's clock; its zero has no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A span of time in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl std::ops::Add<Micros> for Time {
    type Output = Time;
    fn add(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl std::ops::Sub for Time {
    type Output = Micros;
    /// The span since `earlier`; zero where that lies ahead.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Sub<Micros> for Time {
    type Output = Time;
    fn sub(self, span: Micros) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Micros {
    /// The span of so many seconds; negative ones give zero.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span times a factor; negative factors give zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

/// The largest error of wall clocks that is allowed for, all machines' errors together: two steps of an hour. Two wall
/// clocks' times are compared only with this much to spare; all else goes by a monotonic clock.
pub const MAX_WALL_CLOCK_ERROR: Micros = Micros(2 * 3_600_000_000);
