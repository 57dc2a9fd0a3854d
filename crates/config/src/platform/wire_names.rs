//! The platform's names of the settings and of their values, as constants under the names that the code uses. Apart from
//! the schema, whose messages contain them, no other module of this crate spells out these names.

/// Keys at the top level of the settings.
pub mod settings {
    pub const CLASSES: &str = "profiles";
    pub const COSTS: &str = "costs";
    pub const DISCOVERY_MODE: &str = "discovery";
    pub const LIMITS: &str = "limits";
    pub const MIN_TIMER_INTERVAL: &str = "granularity_us";
    pub const OBJECTIVE: &str = "blend";
    pub const OVER_QUOTA_WEIGHT_FRACTION: &str = "over_share_worth";
    pub const POSITION: &str = "position";
    pub const PROXIES: &str = "group_size";
    pub const RULES: &str = "rules";
    pub const SERVER_TYPES: &str = "kinds";
    pub const TENANTS: &str = "customers";
    pub const WEIGHT_SOURCE: &str = "weight_source";
    pub const ZONE: &str = "my_zone";
    pub const ZONES: &str = "zones";
}

/// Keys of a class.
pub mod class {
    pub const DEADLINE: &str = "deadline_us";
    pub const DEDUPLICATION_SCOPE: &str = "key_scope";
    pub const DEDUPLICATION_WINDOW: &str = "window_us";
    pub const IDEMPOTENCY: &str = "effect";
    pub const LATENCY_OBJECTIVE: &str = "aim_us";
    pub const LATENCY_OBJECTIVE_PER_WORK_HINT: &str = "aim_stretch";
    pub const LATE_WEIGHT_FRACTION: &str = "late_worth";
    pub const NAME: &str = "name";
    pub const PRIORITY_WEIGHT: &str = "gain";
}

/// Keys of a tenant.
pub mod tenant {
    pub const NAME: &str = "name";
    pub const QUOTA_PER_S: &str = "quota_rps";
}

/// Keys of the objective and the costs.
pub mod objective {
    pub const CROSS_ZONE_COST: &str = "cross_zone";
    pub const TOTAL_WEIGHT: &str = "whole";
    pub const WORST_CLASS_WEIGHT: &str = "worst_class";
}

/// Keys of the limits.
pub mod limits {
    pub const CONNECT_TIMEOUT: &str = "dial_timeout_us";
    pub const HEDGING: &str = "parallel_tries";
    pub const IDLE_TIMEOUT: &str = "conn_idle_us";
    pub const MAX_ATTEMPTS: &str = "max_attempts";
    pub const MAX_RETRY_AFTER: &str = "max_retry_after_us";
    pub const MAY_CANCEL_ATTEMPTS: &str = "cancel";
}

/// Keys of the rules for starting and draining backends.
pub mod rules {
    pub const DRAIN_GRACE: &str = "stop_sending_within_us";
    pub const INITIAL_CAPACITY_FRACTION: &str = "cold_from";
    pub const MAX_POLL_INTERVAL: &str = "must_ask_in_us";
    pub const OVERLOAD_MULTIPLE: &str = "fall_multiple";
    pub const OVERLOAD_WINDOW: &str = "tip_after_us";
    pub const SLOW_START_WINDOW: &str = "ramp_time_us";
}

/// Values that are one of a set of words.
pub mod word {
    pub const DISCOVERY_PUSH: &str = "automatic";
    pub const DISCOVERY_SUBSCRIBE: &str = "subscribe";
    pub const IDEMPOTENCY_KEYED: &str = "guarded";
    pub const IDEMPOTENCY_NON_IDEMPOTENT: &str = "single_shot";
    pub const IDEMPOTENCY_SAFE: &str = "free";
    pub const SCOPE_ALL: &str = "all";
    pub const SCOPE_GROUP: &str = "cell";
    pub const SCOPE_ZONE: &str = "zone";
    pub const WEIGHTS_ARE_CORES: &str = "nominal";
    pub const WEIGHTS_ARE_LOAD: &str = "live";
    pub const WEIGHTS_ARE_ROUGH_CORES: &str = "rough";
}
