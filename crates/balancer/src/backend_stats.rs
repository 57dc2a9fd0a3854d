//! What is learned of a backend.

use crate::reported_load::ReportedLoad;
use shaletide_types::*;

/// What is known of a backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BackendStats {
    pub entry: BackendEntry,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub health: f64,
    /// Its part of this proxy's traffic.
    pub selection_weight: f64,
    /// Its part of this proxy's slice of its kind.
    pub subset_weight: f64,
    /// How many attempts of this proxy it may hold.
    pub concurrency_limit: f64,
    /// How many it holds.
    pub in_flight: u32,
    /// Running share of error answers.
    pub error_rate: f64,
    /// When it last answered anything.
    pub last_response_at: Time,
    /// Of those it holds, how many are suspiciously old.
    pub suspected_lost: u32,
    /// ... and how many of these with nothing heard of it since.
    pub overdue_without_response: u32,
    /// Out of use, until this time at least.
    pub ejected_until: Option<Time>,
    /// Ejections without a good answer between them.
    pub consecutive_ejections: i32,
    /// Good answers since the ejection.
    pub successful_probes: u32,
    /// Work sent inside the fall window.
    pub sent_during_window: Vec<(Time, f64)>,
    /// The same by class, as far as it has met them: see `part`.
    pub by_class: Vec<BackendClassStats>,
    /// What it says of its own load.
    pub reported_load: ReportedLoad,
}

impl BackendStats {
    /// What is known of it for one class.
    pub fn class_mut(&mut self, class: usize) -> &mut BackendClassStats {
        if self.by_class.len() <= class {
            self.by_class.resize_with(class + 1, BackendClassStats::default);
        }
        &mut self.by_class[class]
    }

    /// It has gone silent, for the class at least.
    pub fn is_silent(&self, class: usize) -> bool {
        self.overdue_without_response > 1
            || self.by_class.get(class).is_some_and(|p| p.overdue_without_response > 1)
    }

    /// It was full for the class just now.
    pub fn is_backing_off(&self, now: Time, class: usize) -> bool {
        self.by_class.get(class).is_some_and(|p| now < p.backoff_until)
    }

    /// It fails at the class, though not at others.
    pub fn is_ejected_for_class(&self, now: Time, class: usize) -> bool {
        self.by_class.get(class).is_some_and(|p| now < p.ejected_until)
    }
}

/// What is known of a backend for one class: it may fail at one and serve the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BackendClassStats {
    /// Running share of error answers.
    pub error_rate: f64,
    /// When it last answered one.
    pub last_response_at: Time,
    /// Suspiciously old attempts with no answer to one of the class since.
    pub overdue_without_response: u32,
    /// It was full for it and is left alone until then, and how often since it last served one.
    pub backoff_until: Time,
    pub consecutive_rejections: u32,
    /// It gets none until then, and how often that was since it last served one.
    pub ejected_until: Time,
    pub consecutive_ejections: u32,
}
