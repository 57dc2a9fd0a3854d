//! Slow start: how much a backend that has just started may be sent.

use super::*;

/// The part of its capacity that a backend has at least.
pub(super) fn warmth(cfg: &Config, now: Time, entry: &BackendEntry) -> f64 {
    let age = entry
        .started_at
        .map_or(f64::MAX, |boot| (now - boot).secs() / cfg.slow_start_window.secs().max(1e-6));
    cfg.initial_capacity_fraction + (1.0 - cfg.initial_capacity_fraction) * age.min(1.0)
}

impl Balancer {
    /// Work that this proxy may still send to a cold backend inside the present fall window.
    pub(super) fn slow_start_budget(&self, now: Time, p: &BackendStats) -> f64 {
        let warmth = warmth(&self.config, now - self.config.overload_window, &p.entry); // as the window began
        if warmth >= 1.0 {
            return f64::MAX;
        }
        let proxies = f64::from(self.config.proxies);
        let fair = self.arrival_rate.per_second().unwrap_or(1.0) * self.load_reports.fleet_size()
            / self.backends.len() as f64;
        // Against few ready backends the speed formula overshoots; a bare 1/T a core and one more is sure.
        let sure = |k: &ServerTypeStats| {
            k.latency.mean().map(|t| k.service_rate.min((1.0 + f64::from(p.entry.cores)) / t))
        };
        let speed = self.server_types.get(&p.entry.server_type).and_then(sure).unwrap_or(fair);
        let spent: f64 = p
            .sent_during_window
            .iter()
            .filter(|s| now - s.0 < self.config.overload_window)
            .map(|s| s.1)
            .sum();
        let all =
            self.config.overload_multiple * warmth * speed * self.config.overload_window.secs() / proxies;
        (all * SLOW_START_SAFETY_FACTOR).max(1.0) - spent
    }
}
