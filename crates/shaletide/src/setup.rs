//! Converts a configuration for the driver and the server. Pure, so that a reload is decided before anything is changed.

mod record;
mod reload;

use record::record_setup;
pub use record::RecordSetup;
use shaletide_balancer::{DiscoveryMode, Micros, PoolId};
use shaletide_config::operator::{
    NodeConfigExtension, OperatorConfig, PoolConfig, PoolSource, StaticBackend,
};
use shaletide_http::{ClassRule, RulesConfig};
use shaletide_membership::{deduplication_group_hash, Endpoint, List, PoolSpec, Source};
use shaletide_net::{Driver, PoolSetup, UpstreamConfig};
use shaletide_routing::Route;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an address of an operators' file is retried. Bounded, as in a file written by a person a mistyped port is likelier
/// than an address that is in use temporarily.
const LISTEN_PATIENCE: Duration = Duration::from_secs(10);

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The contents of the operators' file; on the platform, derived from `NODE_CONFIG`.
    pub operator: OperatorConfig,
    /// Zones that are numbered first, in this order.
    pub zones: Vec<String>,
    /// Server types that are numbered first, in this order.
    pub server_types: Vec<String>,
    /// The first pool's list as it was before a restart.
    pub cached_list: List,
    /// Whether `Retry-After` has decimals, as on the platform, or whole seconds.
    pub fractional_retry_after: bool,
    /// The longest time that the process manager waits for the longest deadline after SIGTERM; `None`: without limit.
    pub max_stop_duration: Option<Micros>,
    /// The platform holds the proxy responsible for what the first pool's discovery has, from the start on, whether or not it
    /// was received: see [`shaletide_discovery::SubscriptionConfig::expires_unconfirmed_list`].
    pub expires_unconfirmed_list: bool,
    /// The store of record.
    pub record: Option<RecordSetup>,
    /// How long an address that cannot be listened on is retried; `None`: without limit.
    pub listen_patience: Option<Duration>,
}

/// A pool whose list comes from a discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolDiscovery {
    /// The pool's index in the file.
    pub pool_index: usize,
    /// The discovery's address.
    pub address: SocketAddr,
    /// How it sends lists.
    pub mode: DiscoveryMode,
}

impl Setup {
    /// Creates the setup from an operators' file alone; `digest` is the digest of the file.
    pub fn from_file(operator: OperatorConfig, digest: String) -> Setup {
        let record = record_setup(&operator, digest);
        Setup {
            operator,
            zones: Vec::new(),
            server_types: Vec::new(),
            cached_list: List::default(),
            fractional_retry_after: false,
            max_stop_duration: None,
            expires_unconfirmed_list: false,
            record,
            listen_patience: Some(LISTEN_PATIENCE),
        }
    }

    /// Adds the contents of an extension file to the platform's configuration.
    pub fn extend(&mut self, extension: NodeConfigExtension) {
        let operator = &mut self.operator;
        let limits = &mut operator.limits;
        limits.answer_stall = extension.limits.answer_stall.or(limits.answer_stall);
        limits.head_timeout = extension.limits.head_timeout;
        limits.body_timeout = extension.limits.body_timeout;
        limits.body_rate = extension.limits.body_rate;
        limits.body_grace = extension.limits.body_grace;
        limits.held_bodies = extension.limits.held_bodies;
        operator.request_format.deduplication_group = extension.deduplication_group;
        operator.request_format.zone = extension.zone;
        operator.pools.extend(extension.pools);
        operator.routes = extension.routes;
    }

    /// Returns the configuration of connections to backends, at most `max_connections`.
    pub fn upstream_config(&self, max_connections: usize) -> UpstreamConfig {
        let limits = &self.operator.limits;
        UpstreamConfig {
            connect_timeout: limits.connect_timeout,
            idle_timeout: limits.idle_timeout,
            response_stall_timeout: limits.answer_stall,
            max_connections,
            max_body: limits.max_body,
        }
    }

    /// Returns the pools, each with its balancer's configuration.
    pub fn pools(&self) -> Vec<PoolSetup> {
        let pools = self.operator.pools.iter().enumerate();
        pools.map(|(number, pool)| self.pool_setup(PoolId(number as u32), pool)).collect()
    }

    fn pool_setup(&self, id: PoolId, pool: &PoolConfig) -> PoolSetup {
        let operator = &self.operator;
        let mut config = operator.balancer.clone();
        config.timer_lateness = Driver::USUAL_TIMER_LATENESS;
        config.has_failover_pool =
            operator.routes.iter().any(|route| route.pools.len() > 1 && route.pools.contains(&id));
        let source = match &pool.source {
            PoolSource::Static(backends) => {
                config.discovery = DiscoveryMode::Push;
                Source::Static(backends.iter().map(endpoint).collect())
            }
            PoolSource::Discovery { mode, .. } => {
                config.discovery = *mode;
                Source::Discovered
            }
        };
        let spec =
            PoolSpec { name: pool.name.clone(), deduplication_domain: self.shared_domain(pool), source };
        PoolSetup { spec, config }
    }

    /// Returns the deduplication domain that the pool shares with another pool; `None` if it shares none.
    fn shared_domain(&self, pool: &PoolConfig) -> Option<String> {
        if pool.deduplication_domain != pool.name {
            return Some(pool.deduplication_domain.clone());
        }
        // Other pools may name this pool as their domain: then they share it.
        let others = &self.operator.pools;
        let is_shared =
            others.iter().any(|other| other.name != pool.name && other.deduplication_domain == pool.name);
        is_shared.then(|| pool.name.clone())
    }

    /// Returns the pools whose lists come from a discovery, in the file's order.
    pub fn discoveries(&self) -> Vec<PoolDiscovery> {
        let mut discoveries = Vec::new();
        for (pool_index, pool) in self.operator.pools.iter().enumerate() {
            if let PoolSource::Discovery { address, mode } = pool.source {
                discoveries.push(PoolDiscovery { pool_index, address, mode });
            }
        }
        discoveries
    }

    /// Returns the rules by which requests are read and checked; `ids` are the pools' numbers in their order.
    pub fn rules(&self, ids: &[PoolId]) -> RulesConfig {
        let operator = &self.operator;
        let routes = operator.routes.iter().map(|route| {
            let pools = route.pools.iter().filter_map(|pool| ids.get(pool.0 as usize)).copied().collect();
            Route { pools, ..route.clone() }
        });
        let classes = operator.classes.iter().zip(&operator.balancer.classes).map(|(def, class)| ClassRule {
            name: def.name.clone(),
            idempotency: class.idempotency,
            methods: def.methods.iter().filter_map(|m| m.parse().ok()).collect(),
            deadline: def.deadline,
        });
        RulesConfig {
            format: operator.request_format.clone(),
            classes: classes.collect(),
            tenants: operator.tenants.clone(),
            routes: routes.collect(),
            zone: operator.proxy.zone.clone(),
            max_retry_after: operator.limits.max_retry_after,
            retry_after_in_whole_seconds: !self.fractional_retry_after,
            head_timeout: operator.limits.head_timeout,
            body_timeout: operator.limits.body_timeout,
            min_body_bytes_per_s: operator.limits.body_rate as u64,
            body_grace: operator.limits.body_grace,
            max_buffered_body_bytes: operator.limits.held_bodies,
            max_body: operator.limits.max_body,
            records_requests: self.record.is_some(),
            max_stop_duration: self.max_stop_duration,
        }
    }

    /// Returns the pools' names, for the log.
    pub fn pool_names(&self) -> String {
        let names: Vec<&str> = self.operator.pools.iter().map(|p| p.name.as_str()).collect();
        names.join(", ")
    }
}

/// Converts a static backend to an entry of an endpoint list.
fn endpoint(backend: &StaticBackend) -> Endpoint {
    Endpoint {
        name: backend.address.to_string(),
        address: backend.address,
        zone: backend.zone.clone(),
        server_type: backend.server_type.clone(),
        deduplication_group: deduplication_group_hash(&backend.deduplication_group),
        cores: backend.cores,
        weight: 0,
        state: backend.state,
        started_at: None,
    }
}

#[cfg(test)]
mod tests;
