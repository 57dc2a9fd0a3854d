//! The intervals and timeouts of calls to discovery, chosen so that the proxy receives a change in time.

use crate::SubscriptionConfig;
use shaletide_balancer::DiscoveryMode;
use std::time::{Duration, Instant};

/// The time limit for a response's body after a failed call, even if its pieces arrive steadily.
pub(crate) const MAX_BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// The inverse of the golden ratio. Any number of its multiples, taken modulo 1, are spread evenly over the range from 0 to
/// 1.
const INVERSE_GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// The maximum number of times that the backoff after failed calls doubles.
const MAX_DOUBLINGS: u32 = 3;

/// A duration that differs from proxy to proxy and from call to call.
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

    /// Returns the duration for a proxy's call with the number `call`. Any number of multiples of the inverse golden ratio
    /// are spread evenly modulo 1, and so are the call times of any number of proxies that poll at the same time.
    fn of(self, position: u32, call: u32) -> Duration {
        let multiple = (f64::from(position) + f64::from(call)) * INVERSE_GOLDEN_RATIO;
        self.shortest + (self.longest - self.shortest).mul_f64(multiple.fract())
    }
}

/// The intervals and timeouts of calls to one discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollSchedule {
    /// The time for which a long poll waits for changes.
    long_poll_wait: Spread,
    /// The time limit for the head of a response after the wait of a long poll, and for each further piece of a response.
    /// Beyond it, discovery counts as silent.
    pub(crate) response_timeout: Duration,
    /// The time limit for the head of the response to a call that does not wait for changes. It allows for the calls of other
    /// proxies that discovery may process first.
    immediate_timeout: Duration,
    /// Replaces `immediate_timeout` after a call that has exceeded it.
    long_immediate_timeout: Duration,
    /// The maximum time from a failed call, counted from when it was made, to the next call.
    retry_interval: Spread,
    /// The time limit for the complete body of a response, unless the previous call has failed.
    body_timeout: Duration,
    /// The backoff after the first of several failed calls in a row, which doubles at most [`MAX_DOUBLINGS`] times. Also the
    /// minimum time between two calls that returned no change.
    pub(crate) min_pause: Duration,
}

impl PollSchedule {
    /// Returns the schedule of a subscription with these settings.
    pub(crate) fn of(config: SubscriptionConfig) -> PollSchedule {
        match config.mode {
            DiscoveryMode::Push => PollSchedule::pushing(config.grace),
            _ => PollSchedule::polling(config.grace),
        }
    }

    /// Returns the schedule for a discovery that all proxies poll. Calls are expensive for it, and it processes them one
    /// after the other. A subscription that has become silent is reopened before the changes that it missed count as known,
    /// which is 2 s and the grace after the end of its wait. Subscriptions become silent at the same time, and calls made at
    /// one moment would wait for each other for longer than that, so each proxy has a different wait. A call that is queued
    /// in discovery is not abandoned: discovery would process it all the same, and a call made in its place would be queued
    /// behind it. Discovery itself fails calls that have waited too long.
    ///
    /// Whatever calls have failed before, a change has to be received within 6 s of the moment at which discovery has it and
    /// is reachable, and after a move within 4 s of the signal. That moment may be just after a call has timed out or failed,
    /// so neither a call's timeout nor the time from one call to the next may be longer than that, less the time of a
    /// response.
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

    /// Returns the schedule for an agent on this machine, which responds at once and at no cost. A call that was in flight
    /// when the agent became silent is never answered, not even when the agent is back, and the agent's lists count as known
    /// meanwhile. So the sum of a wait, the time limit of a response and a pause is at most two thirds of the grace, and so
    /// is the sum of the time limit of a response and the longest backoff. Each of the three has a minimum, as more frequent
    /// calls would cost more than they are worth: the wait 50 ms (applies below 143 ms of grace), the time limit of a
    /// response 40 ms (below 160 ms), the pause 5 ms (below 250 ms). The bound of two thirds is tested from 170 ms on.
    pub(crate) fn pushing(grace: Duration) -> PollSchedule {
        let fraction = |hundredths: u32, min_ms: u64, max_ms: u64| {
            (grace * hundredths / 100).clamp(Duration::from_millis(min_ms), Duration::from_millis(max_ms))
        };
        let response_timeout = fraction(25, 40, 500);
        let min_pause = fraction(2, 5, 50);
        PollSchedule {
            long_poll_wait: Spread::none(fraction(35, 50, 1000)),
            response_timeout,
            immediate_timeout: response_timeout,
            long_immediate_timeout: response_timeout,
            retry_interval: Spread::none(min_pause * (1 << MAX_DOUBLINGS)),
            body_timeout: response_timeout,
            min_pause,
        }
    }

    /// Returns the time for which a proxy's long poll with the number `call` waits for changes.
    pub(crate) fn long_poll_wait(&self, position: u32, call: u32) -> Duration {
        self.long_poll_wait.of(position, call)
    }

    /// Returns the latest time of the next call after a call that was made at `made` and has failed at `now`, as the
    /// `failures`-th in a row. There is a minimum pause after the failure, as the call may have failed late and at many
    /// proxies.
    pub(crate) fn latest_retry(&self, made: Instant, now: Instant, position: u32, failures: u32) -> Instant {
        let minimum_pause = Spread::new(self.min_pause, self.min_pause * 3).of(position, failures);
        (made + self.retry_interval.of(position, failures)).max(now + minimum_pause)
    }

    /// Returns the time limit for the body of a response after a number of failed calls in a row. At first, a slow body times
    /// out, as the response to another call may arrive in time. After a failure the limit is longer, so that a long list from
    /// a busy machine can be received.
    pub(crate) fn body_timeout(&self, failures: u32) -> Duration {
        if failures == 0 {
            self.body_timeout
        } else {
            MAX_BODY_TIMEOUT
        }
    }

    /// Returns the pause before the next call to an agent after a number of failed calls in a row.
    pub(crate) fn backoff(&self, failures: u32) -> Duration {
        self.min_pause * (1 << failures.saturating_sub(1).min(MAX_DOUBLINGS))
    }

    /// Returns the time limit for the head of the response to a call that does not wait for changes. It is longer if the
    /// previous such call timed out.
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
