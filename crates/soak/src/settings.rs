//! The settings of a run, drawn from the seed within the limits of the platform, and their representation in
//! `NODE_CONFIG`.

use serde_json::json;
use shaletide_testkit::SeededRng;

/// Overload window: a warming backend that receives more than its budget within it is overloaded, µs.
pub const OVERLOAD_WINDOW_US: u64 = 2_000_000;
/// Maximum part of a deadline for which the platform waits between SIGTERM and SIGKILL, µs.
const LONGEST_KILL_DELAY_US: u64 = 3_000_000;

/// The settings of all proxies of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSettings {
    /// The deadlines of the classes `read`, `pay` and `vote`, µs.
    pub deadlines_us: [u64; 3],
    /// Deduplication window: the time after the first run in which a repeat of a keyed request must begin, µs.
    pub deduplication_window_us: u64,
    /// Drain grace: the time in which a proxy may send new requests to a backend after it learned of the drain, µs.
    pub drain_grace_us: u64,
    /// Fraction of its capacity that a backend has at its start.
    pub initial_capacity_fraction: f64,
    /// Slow start window: the time until a backend has its full capacity, µs.
    pub slow_start_window_us: u64,
    /// Slow start budget of an overload window, as a multiple of the backend's capacity in it.
    pub overload_multiple: f64,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Maximum number of file descriptors of a proxy.
    pub max_descriptors: usize,
    /// Whether addresses are reserved by a socket bound with SO_REUSEPORT alone, as on some platforms.
    pub reserves_addresses: bool,
}

impl RunSettings {
    /// The settings of a typical site.
    pub const USUAL: RunSettings = RunSettings {
        deadlines_us: [1_500_000; 3],
        deduplication_window_us: 500_000,
        drain_grace_us: 2_000_000,
        initial_capacity_fraction: 0.3,
        slow_start_window_us: 6_000_000,
        overload_multiple: 1.2,
        max_attempts: 4,
        max_descriptors: 256,
        reserves_addresses: false,
    };

    /// Draws the settings of a seed.
    pub fn draw(seed: u64) -> RunSettings {
        let mut rng = SeededRng::named(seed, "settings");
        let mut between = |from: f64, to: f64| from + (to - from) * rng.uniform();
        // Half of the runs have short deadlines, and so the earliest SIGKILL.
        let longest = if between(0.0, 1.0) < 0.5 { 0.8 } else { 3.0 };
        let deadlines_us = [(); 3].map(|()| micros(between(0.2, longest)));
        let deduplication_window_us = micros(between(0.2, 2.0));
        let drain_grace_us = micros(between(1.0, 3.0));
        let (initial_capacity_fraction, slow_start_window_us) =
            (between(0.15, 0.5), micros(between(3.0, 9.0)));
        let overload_multiple = between(1.2, 2.5);
        let max_attempts = between(2.0, 5.0) as u32;
        let max_descriptors = between(128.0, 512.0) as usize;
        let reserves_addresses = between(0.0, 1.0) < 0.3;
        RunSettings {
            deadlines_us,
            deduplication_window_us,
            drain_grace_us,
            initial_capacity_fraction,
            slow_start_window_us,
            overload_multiple,
            max_attempts,
            max_descriptors,
            reserves_addresses,
        }
    }

    /// Returns the longest deadline of all classes, µs.
    pub fn longest_deadline_us(&self) -> u64 {
        self.deadlines_us.into_iter().max().unwrap_or_default()
    }

    /// Returns the part of the longest deadline for which the platform waits between SIGTERM and SIGKILL, µs.
    pub fn longest_stop_us(&self) -> u64 {
        self.longest_deadline_us().min(LONGEST_KILL_DELAY_US)
    }

    /// Returns the `settings` of `NODE_CONFIG` for one of `proxies` proxies.
    pub fn platform(&self, proxy: usize, proxies: usize, polls_discovery: bool) -> serde_json::Value {
        let discovery = if polls_discovery { "subscribe" } else { "automatic" };
        let class = |index: usize, name: &str, effect: &str| {
            let deadline = self.deadlines_us[index];
            json!({"name": name, "aim_us": deadline / 3, "deadline_us": deadline, "effect": effect,
                "key_scope": "cell", "window_us": self.deduplication_window_us, "gain": 1.0, "late_worth": 0.5})
        };
        json!({
            "blend": {"whole": 0.6, "worst_class": 0.2}, "costs": {"cross_zone": 0.0},
            "customers": [{"name": "north", "quota_rps": 100_000.0}], "discovery": discovery,
            "position": proxy, "group_size": proxies, "granularity_us": 5_000, "kinds": ["big"],
            "my_zone": "east", "zones": ["east"], "over_share_worth": 0.1,
            "limits": {"cancel": true, "max_attempts": self.max_attempts, "parallel_tries": true,
                "dial_timeout_us": 250_000, "conn_idle_us": 10_000_000, "max_retry_after_us": 1_000_000},
            "profiles":
                [class(0, "read", "free"), class(1, "pay", "single_shot"), class(2, "vote", "guarded")],
            "rules": {"cold_from": self.initial_capacity_fraction, "fall_multiple": self.overload_multiple,
                "must_ask_in_us": 9_000_000, "ramp_time_us": self.slow_start_window_us,
                "tip_after_us": OVERLOAD_WINDOW_US,
                "stop_sending_within_us": self.drain_grace_us}
        })
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
