//! Outlier detection: decides when a backend is ejected, for all requests or for one class, and when it is restored.
//!
//! A backend's error rate is an exponential mean over the outcomes of its attempts. A backend with an error rate above
//! the limit is ejected for a term that doubles with each consecutive ejection. It is then probed by new requests, one
//! at a time: of safe classes, or of any class where none is safe. A silent backend is ejected at once. A rejection is
//! not an error: it only causes a short backoff, as the backend is overloaded.

use shaletide_types::*;

/// Error rate above which a backend is ejected: four errors in quick succession exceed it. Two can be chance, as a few
/// percent of the connections to any backend break.
const MAX_ERROR_RATE: f64 = 0.3;
/// Multiple of the median error rate of all backends that is added to the limit, as errors common to all backends are
/// not the fault of any one of them.
const MEDIAN_ERROR_RATE_FACTOR: f64 = 2.0;
/// Error rate below which a class counts as served: half of what one failure adds to a rate of 0.
const MAX_SERVED_ERROR_RATE: f64 = ERROR_RATE_STEP / 2.0;
/// Maximum age of the last response to a class that counts as served, s.
const SERVED_WINDOW_S: f64 = BASE_EJECTION_S;
/// Weight of the newest outcome in an error rate.
const ERROR_RATE_STEP: f64 = 0.1;
/// Mean first term of an ejection, s; the term doubles with each consecutive ejection.
pub(crate) const BASE_EJECTION_S: f64 = 1.0;
/// Maximum number of doublings of the ejection term.
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// Lower bound of the random factor on the first term, which keeps proxies from probing in step.
const MIN_EJECTION_JITTER: f64 = 0.75;
/// Width of the range of that factor.
const EJECTION_JITTER_RANGE: f64 = 0.5;
/// Number of served probes after which an ejected backend is restored.
const PROBES_TO_RESTORE: u32 = 3;
/// Number of overdue attempts, without a response since they were sent, from which a backend counts as silent. A single
/// lost response is not enough.
const SILENT_ATTEMPTS: u32 = 2;
/// Maximum backoff after a rejection, s. The backoff starts at the expected latency and doubles with each consecutive
/// rejection.
const MAX_BACKOFF_S: f64 = BASE_EJECTION_S / 2.0;
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Fraction of ejected backends above which ejected backends are used anyway, as the cause is then unlikely to be in
/// the backends.
pub(crate) const MAX_EJECTED_FRACTION: f64 = 0.5;

/// The consequence of an outcome for its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The backend stays as it is.
    Keep,
    /// The backend has been restored and is in use again.
    Restored,
    /// The backend has to be ejected by [`OutlierState::eject`].
    Eject,
    /// The backend has to be ejected for the class by [`OutlierState::eject_for_class`].
    EjectForClass,
}

/// An attempt that was not served, with the context that its backend is judged by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnservedAttempt {
    pub class: usize,
    pub sent_at: Time,
    /// The age from which an unanswered attempt counts as silence.
    pub silent_after: Micros,
    /// The median error rate of all backends.
    pub median_error_rate: f64,
    /// Another pool can take the requests.
    pub has_failover_pool: bool,
}

/// Error rates, unanswered attempts and ejections of one backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OutlierState {
    /// Exponential mean of the fraction of attempts that failed, from 0 to 1.
    pub error_rate: f64,
    /// When the backend last responded, including errors but not rejections.
    last_response_at: Time,
    /// Overdue attempts in flight since whose dispatch the backend has not responded.
    overdue_without_response: u32,
    /// End of the ejection's term; `None` where the backend is not ejected. It stays ejected until its probes succeed.
    pub ejected_until: Option<Time>,
    /// Ejections since an attempt was last served while the backend was not ejected.
    consecutive_ejections: u32,
    /// Attempts served since the last ejection.
    successful_probes: u32,
    /// By class, as far as requests of the classes were sent to the backend.
    by_class: Vec<ClassOutlierState>,
}

/// The state of one class at the backend, which may fail for one class and serve the others.
#[derive(Clone, Debug, Default, PartialEq)]
struct ClassOutlierState {
    error_rate: f64,
    /// When the backend last responded to a request of the class, including errors but not rejections.
    last_response_at: Time,
    /// Overdue attempts in flight since whose dispatch the backend has responded to no request of the class.
    overdue_without_response: u32,
    /// End of the backoff after a rejection: no request of the class is sent before.
    backoff_until: Time,
    /// Rejections since the backend last served a request of the class.
    consecutive_rejections: u32,
    /// End of the ejection for the class.
    ejected_until: Time,
    /// Ejections for the class since the backend last served a request of it.
    consecutive_ejections: u32,
}

fn decrease(error_rate: &mut f64) {
    *error_rate *= 1.0 - ERROR_RATE_STEP;
}

fn increase(error_rate: &mut f64) {
    *error_rate += (1.0 - *error_rate) * ERROR_RATE_STEP;
}

impl ClassOutlierState {
    /// Returns whether the class is served without errors and has had a response recently.
    fn is_served(&self, now: Time) -> bool {
        let is_recent = now < self.last_response_at + Micros::from_secs(SERVED_WINDOW_S);
        self.error_rate < MAX_SERVED_ERROR_RATE && is_recent
    }
}

impl OutlierState {
    /// Returns the state of one class, which is created if needed.
    fn class_mut(&mut self, class: usize) -> &mut ClassOutlierState {
        if self.by_class.len() <= class {
            self.by_class.resize_with(class + 1, ClassOutlierState::default);
        }
        &mut self.by_class[class]
    }

    /// Resets the counts of overdue attempts before a recount.
    pub fn clear_overdue(&mut self) {
        self.overdue_without_response = 0;
        for class in &mut self.by_class {
            class.overdue_without_response = 0;
        }
    }

    /// Counts an attempt in flight as overdue if it is older than `silent_after` and no response has arrived since it
    /// was sent.
    pub fn count_if_overdue(&mut self, now: Time, class: usize, sent_at: Time, silent_after: Micros) {
        let is_overdue = now >= sent_at + silent_after;
        if is_overdue && self.last_response_at <= sent_at {
            self.overdue_without_response += 1;
        }
        let class = self.class_mut(class);
        if is_overdue && class.last_response_at <= sent_at {
            class.overdue_without_response += 1;
        }
    }

    /// Returns whether the backend is ejected; it is then used for probes at most.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the backend has not responded since `sent_at`.
    pub fn is_silent_since(&self, sent_at: Time) -> bool {
        self.last_response_at <= sent_at
    }

    /// Returns whether the backend is silent, for all requests or for the class.
    pub fn is_silent(&self, class: usize) -> bool {
        let class = self.by_class.get(class);
        self.overdue_without_response >= SILENT_ATTEMPTS
            || class.is_some_and(|class| class.overdue_without_response >= SILENT_ATTEMPTS)
    }

    /// Returns whether the backoff after a rejection of a request of the class is still in effect.
    pub fn is_backing_off(&self, now: Time, class: usize) -> bool {
        self.by_class.get(class).is_some_and(|class| now < class.backoff_until)
    }

    /// Returns whether the backend is ejected for the class.
    pub fn is_ejected_for_class(&self, now: Time, class: usize) -> bool {
        self.by_class.get(class).is_some_and(|class| now < class.ejected_until)
    }

    /// Records a served attempt.
    pub fn record_success(&mut self, now: Time, class: usize) -> Verdict {
        self.last_response_at = now;
        decrease(&mut self.error_rate);
        let class = self.class_mut(class);
        class.last_response_at = now;
        decrease(&mut class.error_rate);
        class.consecutive_rejections = 0;
        class.consecutive_ejections = 0;
        self.successful_probes += 1;
        if !self.is_ejected() {
            self.consecutive_ejections = 0;
            return Verdict::Keep;
        }
        if self.successful_probes < PROBES_TO_RESTORE {
            return Verdict::Keep;
        }
        self.ejected_until = None;
        self.error_rate = 0.0;
        self.by_class.clear();
        Verdict::Restored
    }

    /// Records a rejection. No request of the class is sent to the backend for the expected latency, within which it
    /// may finish a request. The backoff doubles with each consecutive rejection.
    pub fn record_rejection(&mut self, now: Time, class: usize, expected_latency: Micros) {
        let class = self.class_mut(class);
        let doublings = class.consecutive_rejections.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_s = expected_latency.times(f64::from(doublings).exp2()).secs().min(MAX_BACKOFF_S);
        class.backoff_until = now + Micros::from_secs(backoff_s);
        class.consecutive_rejections += 1;
    }

    /// Records a cancelled attempt. The backend is ejected if it was silent for long before, and either other attempts
    /// are overdue, too, or another pool can take its requests.
    pub fn record_cancellation(&mut self, now: Time, attempt: UnservedAttempt) -> Verdict {
        let was_silent =
            now >= attempt.sent_at + attempt.silent_after && self.is_silent_since(attempt.sent_at);
        let is_certain = self.overdue_without_response >= SILENT_ATTEMPTS || attempt.has_failover_pool;
        if was_silent && is_certain {
            Verdict::Eject
        } else {
            Verdict::Keep
        }
    }

    /// Records a timed-out attempt. It is taken for an expensive request if the backend has responded to others of its
    /// class meanwhile. The backend is silent, and is ejected, if it has not responded at all.
    pub fn record_timeout(&mut self, now: Time, attempt: UnservedAttempt) -> Verdict {
        if self.class_mut(attempt.class).last_response_at >= attempt.sent_at {
            return Verdict::Keep;
        }
        if self.last_response_at < attempt.sent_at {
            return Verdict::Eject;
        }
        self.record_failure(now, attempt)
    }

    /// Records an error response.
    pub fn record_error_response(&mut self, now: Time, attempt: UnservedAttempt) -> Verdict {
        self.last_response_at = now;
        self.class_mut(attempt.class).last_response_at = now;
        self.record_failure(now, attempt)
    }

    /// Records a failed attempt. The backend is ejected if its error rate is above the limit, or for the class alone if
    /// another class was served recently.
    pub fn record_failure(&mut self, now: Time, attempt: UnservedAttempt) -> Verdict {
        increase(&mut self.error_rate);
        increase(&mut self.class_mut(attempt.class).error_rate);
        let limit = MAX_ERROR_RATE + MEDIAN_ERROR_RATE_FACTOR * attempt.median_error_rate;
        let serves_a_class = self.by_class.iter().any(|class| class.is_served(now));
        let fails_at_all = self.error_rate > limit && !serves_a_class;
        if self.is_ejected() || fails_at_all {
            Verdict::Eject
        } else if self.class_mut(attempt.class).error_rate > limit {
            Verdict::EjectForClass
        } else {
            Verdict::Keep
        }
    }

    /// Returns the first term of an ejection, s. `random` is a random number from 0 to 1.
    pub fn first_term_s(random: f64) -> f64 {
        BASE_EJECTION_S * (MIN_EJECTION_JITTER + EJECTION_JITTER_RANGE * random)
    }

    /// Ejects the backend, unless a term is still running. Returns the new term, s.
    pub fn eject(&mut self, now: Time, first_term_s: f64) -> Option<f64> {
        if self.ejected_until.is_some_and(|until| now < until) {
            return None;
        }
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let term_s = first_term_s * f64::from(doublings).exp2();
        self.ejected_until = Some(now + Micros::from_secs(term_s));
        self.consecutive_ejections += 1;
        self.successful_probes = 0;
        Some(term_s)
    }

    /// Ejects the backend for one class, unless a term is still running. Returns the new term, s.
    pub fn eject_for_class(&mut self, now: Time, class: usize) -> Option<f64> {
        let class = self.class_mut(class);
        if now < class.ejected_until {
            return None;
        }
        let doublings = class.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let term_s = BASE_EJECTION_S * f64::from(doublings).exp2();
        class.ejected_until = now + Micros::from_secs(term_s);
        class.consecutive_ejections += 1;
        Some(term_s)
    }

    /// Returns the class's error rate, from 0 to 1.
    pub fn class_error_rate(&self, class: usize) -> f64 {
        self.by_class.get(class).map_or(0.0, |class| class.error_rate)
    }
}
