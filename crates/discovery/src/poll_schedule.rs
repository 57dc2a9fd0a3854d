//! How often and how long discovery is asked, so that a change is known in time.

use std::time::{Duration, Instant};

/// Once a call has failed the body of an answer may take so long, however steadily its pieces come.
pub(crate) const MAX_TRANSFER: Duration = Duration::from_secs(3);
/// Its multiples, modulo 1, are spread evenly over the range from 0 to 1, however many they are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// The pause after a failed call doubles so often at most.
const MAX_DOUBLINGS: u32 = 3;

/// How calls are made: what an outage leaves the proxy blind to is told once they are over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollSchedule {
    /// One call waits so long for news, from the shortest to the longest of all proxies.
    wait: [Duration; 2],
    /// What an answer's head may take beyond that before discovery counts as silent, and each further piece of it.
    pub(crate) prompt: Duration,
    /// And what one to a call that waits for nothing may take: as long as others' calls may be worked on before it, and
    /// longer once that was not enough.
    turn: [Duration; 2],
    /// After a failed call the next is made no later than so long after that one was made, from the shortest to the
    /// longest of all proxies.
    retry: [Duration; 2],
    /// The body of an answer is whole after so long, unless a call has just failed.
    transfer: Duration,
    /// Pause after the first failed call in a row, and at the least between two that brought nothing new; it
    /// doubles, three times at most.
    pub(crate) pause: Duration,
}

impl PollSchedule {
    /// Calls of a discovery that all proxies ask are dear to it, and it works through them in turn. A watch that fell
    /// silent is opened anew before what it missed counts as told: 2 s after its wait is over, and the grace. Watches
    /// fall silent together, and calls made in one moment would wait for each other for longer than that: so no two
    /// proxies wait alike. A call in that line is not given up: it is worked on all the same, and one made in its
    /// place stands behind it. Discovery itself fails what has waited too long.
    ///
    /// Whatever failed before, a change is known 6 s after discovery had it and could be reached, and after a move 4 s
    /// after the signal: that moment may come just after a call was given up or failed, so neither the time after
    /// which one is given up nor that from one call to the next may be longer than that, less an answer's time.
    pub(crate) fn asked(grace: Duration) -> PollSchedule {
        let prompt = (grace / 2 + Duration::from_millis(400)).min(Duration::from_millis(1500));
        let (wait, turn) = ([6, 14].map(Duration::from_secs), [3, 5].map(Duration::from_secs));
        let retry = [1500, 2500].map(Duration::from_millis);
        PollSchedule { wait, prompt, turn, retry, transfer: prompt, pause: Duration::from_millis(50) }
    }

    /// An agent on the own machine answers at once and at no cost. A call that was out as it fell silent is never
    /// answered, not even when it is back, and what it has counts as told meanwhile: so a wait, its answer's time
    /// and a pause last no longer than two thirds of the grace, and so do an answer's time and the longest pause.
    /// Below 170 ms of grace calls do not get any faster: they would cost more than they tell.
    pub(crate) fn pushed(grace: Duration) -> PollSchedule {
        let part = |hundredths: u32, least: u64, most: u64| {
            (grace * hundredths / 100).clamp(Duration::from_millis(least), Duration::from_millis(most))
        };
        let (wait, prompt, pause) = (part(35, 50, 1000), part(25, 40, 500), part(2, 5, 50));
        let retry = pause * (1 << MAX_DOUBLINGS);
        PollSchedule {
            wait: [wait; 2],
            prompt,
            turn: [prompt; 2],
            retry: [retry; 2],
            transfer: prompt,
            pause,
        }
    }

    /// How long the so many-th call of a proxy waits.
    pub(crate) fn wait(&self, position: u32, call: u32) -> Duration {
        spread(self.wait, position, call)
    }

    /// When the next call is made at the latest, after one that was made at that time and has failed by now, as so many
    /// have in a row: not at once, as it may have failed late and at many proxies.
    pub(crate) fn latest_retry(&self, made: Instant, now: Instant, position: u32, failures: u32) -> Instant {
        let rest = spread([self.pause, self.pause * 3], position, failures);
        (made + spread(self.retry, position, failures)).max(now + rest)
    }

    /// What the body of an answer may take, as so many calls in a row have failed. One that comes slowly is given up
    /// at first, as another may come in time; a long list on a busy machine is waited for then.
    pub(crate) fn transfer(&self, failures: u32) -> Duration {
        if failures == 0 {
            self.transfer
        } else {
            MAX_TRANSFER
        }
    }

    /// The pause after so many failed calls in a row, before the next to an agent.
    pub(crate) fn pause_after(&self, failures: u32) -> Duration {
        self.pause * (1 << failures.saturating_sub(1).min(MAX_DOUBLINGS))
    }

    /// What the answer to a call may take that waits for nothing, the last of which was given up unanswered or not.
    pub(crate) fn patience(&self, in_vain: bool) -> Duration {
        self.turn[usize::from(in_vain)]
    }
}

/// A time between these two for the so many-th call of a proxy. Multiples of the golden ratio lie evenly whatever their
/// number: so do the times of proxies that watch in step.
fn spread([least, most]: [Duration; 2], position: u32, call: u32) -> Duration {
    let part = (f64::from(position) + f64::from(call)) * GOLDEN_RATIO;
    least + (most - least).mul_f64(part.fract())
}

#[cfg(test)]
mod tests;
