//! How often discovery is polled and how long its responses may take, so that a change is known in time.

use std::time::{Duration, Instant};

/// Once a call has failed the body of a response may take so long, however steadily its pieces come.
pub(crate) const MAX_BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// One divided by the golden ratio. Its multiples, modulo 1, are spread evenly over the range from 0 to 1, however many
/// they are.
const INVERSE_GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// The backoff after a failed call doubles so often at most.
const MAX_DOUBLINGS: u32 = 3;

/// A span of time that differs from proxy to proxy and from call to call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Spread {
    shortest: Duration,
    longest: Duration,
}

impl Spread {
    fn new(shortest: Duration, longest: Duration) -> Spread {
        Spread { shortest, longest }
    }

    fn none(span: Duration) -> Spread {
        Spread::new(span, span)
    }

    /// The span for the so many-th call of a proxy. Multiples of the inverse golden ratio lie evenly, modulo 1, whatever
    /// their number: so do the times of proxies that poll in step.
    fn of(self, position: u32, call: u32) -> Duration {
        let multiple = (f64::from(position) + f64::from(call)) * INVERSE_GOLDEN_RATIO;
        self.shortest + (self.longest - self.shortest).mul_f64(multiple.fract())
    }
}

/// The times of calls to one discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollSchedule {
    /// A long poll waits so long for changes.
    long_poll_wait: Spread,
    /// What the head of a response may take beyond that before discovery counts as silent, and each further piece of it.
    pub(crate) response_timeout: Duration,
    /// The same for a call that waits for no changes: as long as other proxies' calls may be worked on before it.
    immediate_timeout: Duration,
    /// The same once that was not enough.
    long_immediate_timeout: Duration,
    /// After a failed call the next is made no later than so long after that one was made.
    retry_interval: Spread,
    /// The body of a response is complete after so long, unless a call has just failed.
    body_timeout: Duration,
    /// Backoff after the first failed call in a row, and the least time between two that brought nothing new; it
    /// doubles, [`MAX_DOUBLINGS`] times at most.
    pub(crate) min_pause: Duration,
}

impl PollSchedule {
    /// For a discovery that all proxies poll, whose calls are expensive to it and which works through them in turn. A
    /// subscription that fell silent is opened anew before the changes it missed count as known: 2 s after its wait is
    /// over, and the grace. Subscriptions fall silent together, and calls made in one moment would wait for each other
    /// for longer than that: so no two proxies wait alike. A call that is queued there is not abandoned: it is worked on
    /// all the same, and one made in its place is queued behind it. Discovery itself fails what has waited too long.
    ///
    /// Whatever failed before, a change is known 6 s after discovery had it and could be reached, and after a move 4 s
    /// after the signal: that moment may come just after a call timed out or failed, so neither a call's timeout nor the
    /// time from one call to the next may be longer than that, less the time of a response.
    pub(crate) fn polling(grace: Duration) -> PollSchedule {
        let response_timeout = (grace / 2 + Duration::from_millis(400)).min(Duration::from_millis(1500));
        PollSchedule {
            long_poll_wait: Spread::new(Duration::from_secs(6), Duration::from_secs(14)),
            response_timeout,
            immediate_timeout: Duration::from_secs(3),
            long_immediate_timeout: Duration::from_secs(5),
            retry_interval: Spread::new(Duration::from_millis(1500), Duration::from_millis(2500)),
            body_timeout: response_timeout,
            min_pause: Duration::from_millis(50),
        }
    }

    /// For an agent on this machine, which responds at once and at no cost. A call that was in flight as it fell silent
    /// is never answered, not even when it is back, and what it has counts as known meanwhile: so a wait, the time of a
    /// response and a pause last no longer than two thirds of the grace, and so do the time of a response and the
    /// longest backoff. Each of the three has a minimum, as faster calls would cost more than they tell: the wait below
    /// 143 ms of grace (50 ms), the time of a response below 160 ms (40 ms), the pause below 250 ms (5 ms). The two thirds
    /// are tested from 170 ms on.
    pub(crate) fn pushing(grace: Duration) -> PollSchedule {
        let part = |hundredths: u32, least_ms: u64, most_ms: u64| {
            (grace * hundredths / 100).clamp(Duration::from_millis(least_ms), Duration::from_millis(most_ms))
        };
        let response_timeout = part(25, 40, 500);
        let min_pause = part(2, 5, 50);
        PollSchedule {
            long_poll_wait: Spread::none(part(35, 50, 1000)),
            response_timeout,
            immediate_timeout: response_timeout,
            long_immediate_timeout: response_timeout,
            retry_interval: Spread::none(min_pause * (1 << MAX_DOUBLINGS)),
            body_timeout: response_timeout,
            min_pause,
        }
    }

    /// How long the so many-th long poll of a proxy waits for changes.
    pub(crate) fn long_poll_wait(&self, position: u32, call: u32) -> Duration {
        self.long_poll_wait.of(position, call)
    }

    /// When the next call is made at the latest, after one that was made at `made` and has failed by now, the
    /// `failures`-th in a row: not at once, as it may have failed late and at many proxies.
    pub(crate) fn latest_retry(&self, made: Instant, now: Instant, position: u32, failures: u32) -> Instant {
        let least_pause = Spread::new(self.min_pause, self.min_pause * 3).of(position, failures);
        (made + self.retry_interval.of(position, failures)).max(now + least_pause)
    }

    /// What the body of a response may take, after so many failed calls in a row. One that comes slowly times out at
    /// first, as another may come in time; a long list on a busy machine is awaited then.
    pub(crate) fn body_timeout(&self, failures: u32) -> Duration {
        if failures == 0 {
            self.body_timeout
        } else {
            MAX_BODY_TIMEOUT
        }
    }

    /// The pause after so many failed calls in a row, before the next to an agent.
    pub(crate) fn backoff(&self, failures: u32) -> Duration {
        self.min_pause * (1 << failures.saturating_sub(1).min(MAX_DOUBLINGS))
    }

    /// What the head of the response may take to a call that waits for no changes; whether the last such one timed out.
    pub(crate) fn immediate_timeout(&self, previous_timed_out: bool) -> Duration {
        if previous_timed_out {
            self.long_immediate_timeout
        } else {
            self.immediate_timeout
        }
    }
}

#[cfg(test)]
mod tests;
