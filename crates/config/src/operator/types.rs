//! The values of the operators' file, checked individually and against each other.

use shaletide_balancer::{BackendState, Config, DiscoveryMode, Micros};
use shaletide_routing::{RequestFormat, Route};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration read from the whole file.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// Settings of this proxy.
    pub proxy: ProxyConfig,
    /// Addresses to listen on; at least one, without duplicates.
    pub listeners: Vec<SocketAddr>,
    /// Limits and timeouts.
    pub limits: Limits,
    /// The balancer's configuration. Two fields are placeholders: `zone` is 0 because the caller numbers the zones, and
    /// `discovery` is [`DiscoveryMode::Push`] because it differs by pool.
    pub balancer: Config,
    /// The classes, in the order of `balancer.classes`.
    pub classes: Vec<ClassConfig>,
    /// The names of the tenants, in the order of `balancer.tenants`.
    pub tenants: Vec<String>,
    /// Where a request carries its class, tenant, key and other attributes.
    pub request_format: RequestFormat,
    /// The pools; a [`PoolId`](shaletide_balancer::PoolId) in `routes` is an index into them.
    pub pools: Vec<PoolConfig>,
    /// The routes in order; at least one. No route is shadowed by an earlier one, and each pool is in a route.
    pub routes: Vec<Route>,
    /// The store of record; `None` if nothing is recorded.
    pub record: Option<RecordStoreConfig>,
    /// Path of the Unix socket for operators' commands.
    pub control: Option<PathBuf>,
}

/// Identity of this proxy within its group of proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyConfig {
    /// Name of the proxy in logs.
    pub name: String,
    /// Zone of the proxy; may be empty.
    pub zone: String,
    /// Number of proxies that share the traffic, including this one.
    pub proxies: u32,
    /// Index of this proxy among them, from 0.
    pub position: u32,
    /// Seed of the random number generator; `None` if it is drawn at start.
    pub seed: Option<u64>,
}

/// Limits and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of file descriptors of the process.
    pub descriptors: usize,
    /// Time after which a connection attempt to a backend has failed.
    pub connect_timeout: Micros,
    /// Time after which backends close an idle connection.
    pub idle_timeout: Micros,
    /// Maximum `Retry-After` sent to a client.
    pub max_retry_after: Micros,
    /// Maximum time for a response that has begun to be complete; a slower one is invalid. `None` for no limit.
    pub answer_stall: Option<Micros>,
    /// Maximum time until the head of a request is complete.
    pub head_timeout: Micros,
    /// Maximum time until the body of a request is complete.
    pub body_timeout: Micros,
    /// Minimum rate of a request body, in bytes per second.
    pub body_rate: usize,
    /// Time for which a body may stay below the minimum rate, at its beginning and after each time it has kept to it.
    pub body_grace: Micros,
    /// Maximum total of bytes held by bodies being read and bodies of open requests.
    pub held_bodies: usize,
    /// Maximum length of the body of a request or a response, in bytes.
    pub max_body: usize,
    /// Time after a list reports a backend as draining beyond which no new attempt may go to it.
    pub drain_grace: Micros,
}

/// Settings of a class that are not part of the balancer's [`Class`](shaletide_balancer::Class).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassConfig {
    /// Name of the class.
    pub name: String,
    /// Allowed methods of its requests; at least one, in capital letters.
    pub methods: Vec<String>,
    /// Maximum time that a client waits; at least the latency objective.
    pub deadline: Micros,
    /// Record mode of its requests; [`RecordMode::None`] if there is no [`OperatorConfig::record`].
    pub record: RecordMode,
}

/// Determines which records are written for the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordMode {
    /// Nothing is recorded.
    None,
    /// Facts are recorded; they may be dropped if the store cannot keep up.
    Facts,
    /// Facts are recorded, and no attempt is sent before its intent is durable. For non-idempotent classes only.
    Intent {
        /// Handling of a request without a key.
        without_key: WithoutKey,
    },
}

/// Handling of a request without a key in a class that records intents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutKey {
    /// The request is rejected.
    Reject,
    /// The request is sent and recorded as one without a key.
    Record,
}

/// Settings of the store of record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordStoreConfig {
    /// Path of the file. The existence of its folder is not checked here.
    pub path: PathBuf,
    /// Time for which the key of a served request is kept.
    pub retention: Micros,
    /// Maximum time that a request waits for its intent to be durable; less than the deadline of each class with
    /// [`RecordMode::Intent`].
    pub intent_timeout: Micros,
    /// `Retry-After` of a rejection if no better estimate is known.
    pub retry_after: Micros,
}

/// A pool of backends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// Name of the pool.
    pub name: String,
    /// Deduplication domain; pools of the same domain share their deduplication groups.
    pub deduplication_domain: String,
    /// Source of its backends.
    pub source: PoolSource,
}

/// Source of a pool's backends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolSource {
    /// The backends listed in the file; at least one. No address is in two pools.
    Static(Vec<StaticBackend>),
    /// A discovery service provides the backends.
    Discovery {
        /// Address of the discovery service.
        address: SocketAddr,
        /// How the service delivers changes of the list.
        mode: DiscoveryMode,
    },
}

/// A backend in a static list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaticBackend {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Server type; backends of the same server type are assumed to be equally fast.
    pub server_type: String,
    /// Zone of the backend; may be empty.
    pub zone: String,
    /// Deduplication group; a backend without one in the file has its own, named by its address.
    pub deduplication_group: String,
    /// Number of cores.
    pub cores: u32,
    /// State: ready or draining.
    pub state: BackendState,
}

/// The limits that the platform has no setting for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExtensionLimits {
    /// Maximum time for a response that has begun to be complete; a slower one is invalid. `None` if the file leaves the
    /// platform's limit unchanged.
    pub answer_stall: Option<Micros>,
    /// Maximum time until the head of a request is complete.
    pub head_timeout: Micros,
    /// Maximum time until the body of a request is complete.
    pub body_timeout: Micros,
    /// Minimum rate of a request body, in bytes per second.
    pub body_rate: usize,
    /// Time for which a body may stay below the minimum rate, at its beginning and after each time it has kept to it.
    pub body_grace: Micros,
    /// Maximum total of bytes held by bodies being read and bodies of open requests.
    pub held_bodies: usize,
}
