//! Limits that the balancers of all pools share: the retry budget and the quotas of tenants.

use shaletide_types::*;

/// What the modules of all pools share: further attempts and tenants' quotas hold over them together.
#[derive(Clone, Debug)]
pub struct SharedLimits {
    /// Further attempts saved up.
    pub(crate) saved_retries: f64,
    /// When it was last seen to.
    pub(crate) deposited_at: Option<Time>,
    /// By tenant.
    pub(crate) tenant_quotas: Vec<TokenBucket>,
}

/// So many further attempts a second are allowed over all proxies however few requests come, and at the start: where
/// one request comes in a second, a fifth of a further one for each leaves most that meet a dead backend without.
const MIN_RETRIES_PER_S: f64 = 2.0;

impl SharedLimits {
    /// Nothing saved up yet.
    pub fn new() -> SharedLimits {
        SharedLimits { saved_retries: 0.0, deposited_at: None, tenant_quotas: Vec::new() }
    }

    /// A request came to one of so many proxies: it brings so much of a further attempt, up to `most` saved up.
    pub(crate) fn deposit(&mut self, now: Time, ratio: f64, most: f64, proxies: u32) {
        let least = MIN_RETRIES_PER_S / f64::from(proxies);
        let gap = self.deposited_at.replace(now).map_or(1.0, |at| (now - at).secs());
        let floor = (self.saved_retries + gap * least).min(least.max(1.0));
        self.saved_retries = (self.saved_retries + ratio).min(most).max(floor);
    }
}

impl Default for SharedLimits {
    fn default() -> SharedLimits {
        SharedLimits::new()
    }
}

/// A tenant's quota: it holds what it is due over `memory` seconds, and starts with that; where that is
/// less than `least` it may gather so much, as chance alone brings a few at once.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    window_s: f64,
    least_capacity: f64,
    tokens: f64,
    refilled_at: Option<Time>,
}

impl TokenBucket {
    pub fn new(memory: f64, least: f64) -> TokenBucket {
        TokenBucket { window_s: memory, least_capacity: least, tokens: 0.0, refilled_at: None }
    }

    /// Takes a token if there is one, at so many a second.
    pub fn try_take(&mut self, now: Time, rate: f64) -> bool {
        let due = rate * self.window_s;
        self.tokens = match self.refilled_at {
            None => due.max(1.0),
            Some(at) => (self.tokens + rate * (now - at).secs()).min(due.max(self.least_capacity)),
        };
        self.refilled_at = Some(now);
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(within);
        within
    }
}
