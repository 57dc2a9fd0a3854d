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
    pub(super) fn budget(&self, now: Time, p: &Peer) -> f64 {
        let warmth = warmth(&self.cfg, now - self.cfg.overload_window, &p.entry); // as the window began
        if warmth >= 1.0 {
            return f64::MAX;
        }
        let proxies = f64::from(self.cfg.proxies);
        let fair = self.rate.per_s().unwrap_or(1.0) * self.loads.fleet() / self.peers.len() as f64;
        // Against few ready backends the speed formula overshoots; a bare 1/T a core and one more is sure.
        let sure = |k: &Kind| k.latency.get().map(|t| k.speed.min((1.0 + f64::from(p.entry.cores)) / t));
        let speed = self.kinds.get(&p.entry.server_type).and_then(sure).unwrap_or(fair);
        let spent: f64 = p.spent.iter().filter(|s| now - s.0 < self.cfg.overload_window).map(|s| s.1).sum();
        let all = self.cfg.overload_multiple * warmth * speed * self.cfg.overload_window.secs() / proxies;
        (all * FALL_MARGIN).max(1.0) - spent
    }
}
