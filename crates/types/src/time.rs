//! Points in time and durations, in microseconds.

/// A point in time, in microseconds of the driver's clock, whose zero is arbitrary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
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
    /// Returns the duration since `earlier`, or zero if that is later.
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
    /// Returns the duration of `secs` seconds; a negative number gives zero.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
    /// Returns the duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Returns the duration times a factor; a negative factor gives zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

/// The maximum error of wall clocks that is allowed for, summed over all machines: two steps of an hour. Times of two wall
/// clocks are compared only with this margin; everything else uses a monotonic clock.
pub const MAX_WALL_CLOCK_ERROR: Micros = Micros(2 * 3_600_000_000);
