//! Limits that the balancers of all pools share: the retry budget and the quotas of tenants.

use shaletide_types::*;

/// Retries that each request adds to the budget.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Factor on the retries that each request adds while attempts are being lost, as each lost attempt needs another one.
const LOSS_RATIO_FACTOR: f64 = 2.0;
/// The budget holds at most the retries that this many requests add.
const MAX_SAVED_REQUESTS: f64 = 100.0;
/// Retries a second that all proxies together may make at any request rate, and at the start. At one request a second
/// the ratio alone would leave most requests that reach a dead backend without a retry.
const MIN_RETRIES_PER_S: f64 = 2.0;
/// Length of the burst that a quota's token bucket holds: the tokens of this many seconds.
const QUOTA_WINDOW_S: f64 = 2.0;
/// Minimum size of a token bucket in requests, as a few requests arrive together by chance.
const MIN_QUOTA_BURST: f64 = 5.0;

/// The limits that the balancers of all pools share: the retry budget and the tenants' quotas.
#[derive(Clone, Debug)]
pub struct SharedLimits {
    pub(crate) retry_budget: RetryBudget,
    /// One token bucket for each tenant.
    tenant_quotas: Vec<TokenBucket>,
}

impl SharedLimits {
    /// Creates an empty retry budget without tenants.
    pub fn new() -> SharedLimits {
        SharedLimits { retry_budget: RetryBudget::new(), tenant_quotas: Vec::new() }
    }

    /// Sets the number of tenants; existing tenants keep their tokens.
    pub(crate) fn set_tenant_count(&mut self, tenants: usize) {
        self.tenant_quotas.resize(tenants, TokenBucket::new());
    }

    /// Takes a token for a request from a tenant's quota of `rate_per_s`. Returns whether the request was within the
    /// quota.
    pub(crate) fn take_from_quota(&mut self, now: Time, tenant: TenantId, rate_per_s: f64) -> bool {
        let bucket = self.tenant_quotas.get_mut(tenant.0);
        bucket.is_none_or(|bucket| bucket.try_take(now, rate_per_s))
    }
}

impl Default for SharedLimits {
    fn default() -> SharedLimits {
        SharedLimits::new()
    }
}

/// Bounds retries and hedges: each request adds a fraction of a retry, and each retry takes a whole one, so that
/// retries cannot multiply the load of failing backends.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    /// Retries saved up.
    saved: f64,
    deposited_at: Option<Time>,
}

impl RetryBudget {
    fn new() -> RetryBudget {
        RetryBudget { saved: 0.0, deposited_at: None }
    }

    /// Adds the fraction of a retry for a new request, at one of `proxies` proxies. `attempts_are_lost` is whether most
    /// attempts of some age are never answered.
    pub fn deposit(&mut self, now: Time, attempts_are_lost: bool, proxies: u32) {
        let ratio =
            if attempts_are_lost { RETRY_BUDGET_RATIO * LOSS_RATIO_FACTOR } else { RETRY_BUDGET_RATIO };
        let capacity = ratio * MAX_SAVED_REQUESTS;
        let min_per_s = MIN_RETRIES_PER_S / f64::from(proxies);
        let elapsed_s = self.deposited_at.map_or(1.0, |at| (now - at).secs());
        let floor = (self.saved + elapsed_s * min_per_s).min(min_per_s.max(1.0));
        self.saved = (self.saved + ratio).min(capacity).max(floor);
        self.deposited_at = Some(now);
    }

    /// Returns whether the budget allows a retry.
    pub fn has_retry(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes one retry from the budget.
    pub fn withdraw(&mut self) {
        self.saved -= 1.0;
    }
}

/// A tenant's quota at this proxy. The bucket starts with the tokens of [`QUOTA_WINDOW_S`].
#[derive(Clone, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Option<Time>,
}

impl TokenBucket {
    fn new() -> TokenBucket {
        TokenBucket { tokens: 0.0, refilled_at: None }
    }

    /// Refills the bucket at `rate_per_s` and takes a token, if there is a whole one. Returns whether it took one.
    fn try_take(&mut self, now: Time, rate_per_s: f64) -> bool {
        let burst = rate_per_s * QUOTA_WINDOW_S;
        self.tokens = match self.refilled_at {
            None => burst.max(1.0),
            Some(at) => (self.tokens + rate_per_s * (now - at).secs()).min(burst.max(MIN_QUOTA_BURST)),
        };
        self.refilled_at = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
