//! Outlier detection: when a backend is ejected, for all requests or for one class, and when it is restored.
//!
//! A backend's error rate is an exponential mean over the outcomes of its attempts. Beyond a limit it is ejected for a
//! time that doubles with each ejection in a row, and then probed by new requests, one at a time: of safe classes, or
//! of any class where none is safe. Silence ejects it at once. A rejection is no error: an overloaded backend is left
//! alone for a moment.

use shaletide_types::*;

/// Error rate beyond which a backend is ejected: four errors close together reach it. Broken connections come from all
/// backends alike, a few in a hundred: two are chance.
const MAX_ERROR_RATE: f64 = 0.3;
/// Multiple of the median error rate of all backends that is added to the limit: what is common to all is no fault of
/// any.
const MEDIAN_ERROR_RATE_FACTOR: f64 = 2.0;
/// A class is served where its error rate is below this: half of what one failure adds to a rate of 0.
const MAX_SERVED_ERROR_RATE: f64 = ERROR_RATE_STEP / 2.0;
/// ... and its last response is no older than this, s.
const SERVED_WINDOW_S: f64 = BASE_EJECTION_S;
/// Weight of the newest outcome in an error rate.
const ERROR_RATE_STEP: f64 = 0.1;
/// First term of an ejection, s; it doubles with each ejection in a row ...
pub(crate) const BASE_EJECTION_S: f64 = 1.0;
/// ... this many times at most.
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// A term is drawn between this part of its length and as much over it, so that proxies do not probe in step.
const MIN_EJECTION_JITTER: f64 = 0.75;
const EJECTION_JITTER_RANGE: f64 = 0.5;
/// Served probes after which an ejected backend is restored.
const PROBES_TO_RESTORE: u32 = 3;
/// Overdue attempts without a response since that make a backend silent; one may be an answer that never comes.
const SILENT_ATTEMPTS: u32 = 2;
/// Longest backoff after a rejection, s; it begins at the expected latency and doubles ...
const MAX_BACKOFF_S: f64 = BASE_EJECTION_S / 2.0;
/// ... this many times at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Where more than this part of the backends is ejected they are used after all: the cause is not in them.
pub(crate) const MAX_EJECTED_FRACTION: f64 = 0.5;

/// What an outcome calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing: the backend stays as it is.
    Keep,
    /// The backend is in use again; this has been done.
    Restored,
    /// It is to be ejected: see [`OutlierState::eject`].
    Eject,
    /// It is to get no requests of the class: see [`OutlierState::eject_for_class`].
    EjectForClass,
}

/// An attempt that was not served, with what its backend is judged by in addition to its own state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnservedAttempt {
    pub class: usize,
    pub sent_at: Time,
    /// The age from which an unanswered attempt counts as silence.
    pub silent_after: Micros,
    /// The error rate that is common to all backends.
    pub median_error_rate: f64,
    /// Another pool can do without the backend.
    pub has_failover_pool: bool,
}

/// Errors, silence and ejections of one backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OutlierState {
    /// Part of the attempts that failed, from 0 to 1, the latest counting most.
    pub error_rate: f64,
    /// When the backend last answered anything, errors included, rejections excepted.
    last_response_at: Time,
    /// Overdue attempts in flight without a response of the backend since they were sent.
    overdue_without_response: u32,
    /// Ejected, until this time and the end of its probes.
    pub ejected_until: Option<Time>,
    /// Ejections since an attempt was last served outside of them.
    consecutive_ejections: u32,
    /// Attempts served since the last ejection.
    successful_probes: u32,
    /// By class, as far as the backend got requests of them.
    by_class: Vec<ClassOutlierState>,
}

/// The same for one class: a backend may fail at one and serve the others.
#[derive(Clone, Debug, Default, PartialEq)]
struct ClassOutlierState {
    error_rate: f64,
    /// When the backend last answered one of the class, errors included, rejections excepted.
    last_response_at: Time,
    /// Overdue attempts in flight without a response to one of the class since they were sent.
    overdue_without_response: u32,
    /// The backend rejected one of the class, and gets no more until then.
    backoff_until: Time,
    /// Rejections since it last served one of the class.
    consecutive_rejections: u32,
    /// It gets none of the class until then.
    ejected_until: Time,
    /// Ejections for the class since it last served one.
    consecutive_ejections: u32,
}

fn decrease(error_rate: &mut f64) {
    *error_rate *= 1.0 - ERROR_RATE_STEP;
}

fn increase(error_rate: &mut f64) {
    *error_rate += (1.0 - *error_rate) * ERROR_RATE_STEP;
}

impl ClassOutlierState {
    /// Whether the class was served just now.
    fn is_served(&self, now: Time) -> bool {
        let is_recent = now < self.last_response_at + Micros::from_secs(SERVED_WINDOW_S);
        self.error_rate < MAX_SERVED_ERROR_RATE && is_recent
    }
}

impl OutlierState {
    /// What is known of the backend for one class.
    fn class_mut(&mut self, class: usize) -> &mut ClassOutlierState {
        if self.by_class.len() <= class {
            self.by_class.resize_with(class + 1, ClassOutlierState::default);
        }
        &mut self.by_class[class]
    }

    /// Forgets the overdue attempts, which are counted anew.
    pub fn clear_overdue(&mut self) {
        self.overdue_without_response = 0;
        for class in &mut self.by_class {
            class.overdue_without_response = 0;
        }
    }

    /// Looks at an attempt in flight: it counts as overdue where it is older than `silent_after` and nothing came back
    /// since it was sent.
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

    /// Whether the backend is out of use, or in use for probes only.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the backend has answered nothing since `sent_at`.
    pub fn is_silent_since(&self, sent_at: Time) -> bool {
        self.last_response_at <= sent_at
    }

    /// Whether the backend answers nothing, for the class at least.
    pub fn is_silent(&self, class: usize) -> bool {
        let class = self.by_class.get(class);
        self.overdue_without_response >= SILENT_ATTEMPTS
            || class.is_some_and(|class| class.overdue_without_response >= SILENT_ATTEMPTS)
    }

    /// Whether the backend rejected a request of the class just now.
    pub fn is_backing_off(&self, now: Time, class: usize) -> bool {
        self.by_class.get(class).is_some_and(|class| now < class.backoff_until)
    }

    /// Whether the backend fails at the class, though not at others.
    pub fn is_ejected_for_class(&self, now: Time, class: usize) -> bool {
        self.by_class.get(class).is_some_and(|class| now < class.ejected_until)
    }

    /// An attempt was served.
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

    /// The backend rejected an attempt: it gets none of the class until it may have finished one, and for twice as long
    /// each time that it still rejects.
    pub fn record_rejection(&mut self, now: Time, class: usize, expected_latency: Micros) {
        let class = self.class_mut(class);
        let doublings = class.consecutive_rejections.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_s = expected_latency.times(f64::from(doublings).exp2()).secs().min(MAX_BACKOFF_S);
        class.backoff_until = now + Micros::from_secs(backoff_s);
        class.consecutive_rejections += 1;
    }

    /// An attempt was cancelled. A long silence before it speaks against the backend, where it is not the only one or
    /// another pool can do without the backend.
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

    /// An attempt timed out. Where others of its class were answered meanwhile it was a heavy request; where nothing
    /// came back at all the backend is silent.
    pub fn record_timeout(&mut self, now: Time, attempt: UnservedAttempt) -> Verdict {
        if self.class_mut(attempt.class).last_response_at >= attempt.sent_at {
            return Verdict::Keep;
        }
        if self.last_response_at < attempt.sent_at {
            return Verdict::Eject;
        }
        self.record_failure(now, attempt)
    }

    /// The backend answered with an error.
    pub fn record_error_response(&mut self, now: Time, attempt: UnservedAttempt) -> Verdict {
        self.last_response_at = now;
        self.class_mut(attempt.class).last_response_at = now;
        self.record_failure(now, attempt)
    }

    /// An attempt failed: the backend is ejected where its error rate is beyond the limit, for the class alone where
    /// another one was served just now.
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

    /// The first term of an ejection, s. `roll` is a random number from 0 to 1.
    pub fn first_term_s(roll: f64) -> f64 {
        BASE_EJECTION_S * (MIN_EJECTION_JITTER + EJECTION_JITTER_RANGE * roll)
    }

    /// Ejects the backend, unless a term is still running; gives the term that begins, in seconds.
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

    /// Ejects the backend for one class, unless a term is still running; gives the term that begins, in seconds.
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

    /// The part of the class's attempts that failed, from 0 to 1.
    pub fn class_error_rate(&self, class: usize) -> f64 {
        self.by_class.get(class).map_or(0.0, |class| class.error_rate)
    }
}
