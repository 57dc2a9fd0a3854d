//! The operators' file as values that have been checked against each other.

use shaletide_balancer::{BackendState, Config, DiscoveryMode, Micros};
use shaletide_routing::{RequestFormat, Route};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The whole file.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// This proxy.
    pub proxy: ProxyConfig,
    /// Where it listens; at least one address, none twice.
    pub listeners: Vec<SocketAddr>,
    /// Limits and timeouts.
    pub limits: Limits,
    /// The balancer's configuration. Two fields are placeholders: `zone` is 0, as the caller numbers
    /// zones, and `discovery` is [`DiscoveryMode::Push`], as it differs by pool.
    pub balancer: Config,
    /// The classes, in the order of `balancer.classes`.
    pub classes: Vec<ClassConfig>,
    /// The tenants' names, in the order of `balancer.tenants`.
    pub tenants: Vec<String>,
    /// How a request is read.
    pub request_format: RequestFormat,
    /// The pools; a [`PoolId`](shaletide_balancer::PoolId) in `routes` is an index into them.
    pub pools: Vec<PoolConfig>,
    /// The routes in their order; at least one. None is hidden by an earlier one, and each pool is in one.
    pub routes: Vec<Route>,
    /// The store of record; none: nothing is recorded.
    pub record: Option<RecordStoreConfig>,
    /// The Unix socket for operators' commands.
    pub control: Option<PathBuf>,
}

/// This proxy among the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyConfig {
    /// Its name, for logs.
    pub name: String,
    /// Its zone; may be empty.
    pub zone: String,
    /// How many proxies share the work, this one included.
    pub proxies: u32,
    /// Which of them it is, from 0.
    pub position: u32,
    /// The seed of its random numbers; none: drawn at the start.
    pub seed: Option<u64>,
}

/// Limits and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// File descriptors that the process may use.
    pub descriptors: usize,
    /// A connection to a backend that is not established by then has failed.
    pub connect_timeout: Micros,
    /// Backends close connections that were idle for so long.
    pub idle_timeout: Micros,
    /// The longest `Retry-After` sent to a client.
    pub max_retry_after: Micros,
    /// A response that has begun and is not complete after this is invalid.
    pub answer_stall: Option<Micros>,
    /// A request's head is complete after this.
    pub head_timeout: Micros,
    /// A request's body is complete after this.
    pub body_timeout: Micros,
    /// A body comes at this rate at least, in bytes a second.
    pub body_rate: usize,
    /// How long a body may fall short of the rate, at its beginning or after it has kept to it.
    pub body_grace: Micros,
    /// Bytes that bodies being read and those of open requests may hold together.
    pub held_bodies: usize,
    /// The longest body of a request or a response, in bytes.
    pub max_body: usize,
    /// No new attempt goes to a backend later than this after the list says that it drains.
    pub drain_grace: Micros,
}

/// A class, beside the balancer's
/// [`Class`](shaletide_balancer::Class).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassConfig {
    /// Its name.
    pub name: String,
    /// The methods that its requests may have; at least one, in capitals.
    pub methods: Vec<String>,
    /// How long a client waits at most; no less than the latency objective.
    pub deadline: Micros,
    /// What is recorded of its requests; [`RecordMode::None`] where there is no [`OperatorConfig::record`].
    pub record: RecordMode,
}

/// What is recorded of a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordMode {
    /// Nothing.
    None,
    /// What was known and done, as far as the store keeps up.
    Facts,
    /// That too, and no attempt is sent before its intent is durable. Only of non-idempotent classes.
    Intent {
        /// What becomes of a request without a key.
        without_key: WithoutKey,
    },
}

/// What becomes of a request without a key where one is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutKey {
    /// It is rejected.
    Reject,
    /// It is sent, and recorded as one without a key.
    Record,
}

/// The store of record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordStoreConfig {
    /// The file. Whether its folder is there is for whoever opens it.
    pub path: PathBuf,
    /// How long a served key is remembered.
    pub retention: Micros,
    /// How long a request waits for its intent to be durable; less than the deadline of each class with
    /// [`RecordMode::Intent`].
    pub intent_timeout: Micros,
    /// The `Retry-After` of a rejection where nothing better is known.
    pub retry_after: Micros,
}

/// A pool of backends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// Its name.
    pub name: String,
    /// Pools of one domain share deduplication groups.
    pub deduplication_domain: String,
    /// Where its backends come from.
    pub source: PoolSource,
}

/// Where a pool's backends come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolSource {
    /// They stand in the file; at least one. No address stands in two pools.
    Static(Vec<StaticBackend>),
    /// They come from a discovery service.
    Discovery {
        /// Where it listens.
        address: SocketAddr,
        /// How it sends lists.
        mode: DiscoveryMode,
    },
}

/// A backend in a static list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaticBackend {
    /// Where it listens.
    pub address: SocketAddr,
    /// Backends of one server type are taken to be equally fast.
    pub server_type: String,
    /// Its zone; may be empty.
    pub zone: String,
    /// Its deduplication group. A backend that names none is in one of its own, under its address.
    pub deduplication_group: String,
    /// Its cores.
    pub cores: u32,
    /// Ready or draining.
    pub state: BackendState,
}

/// The limits that the platform has no setting for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExtensionLimits {
    /// An answer that has begun and is not whole after so long is spoilt; none: as without the file.
    pub answer_stall: Option<Micros>,
    /// A request's head is complete after this.
    pub head_timeout: Micros,
    /// A request's body is complete after this.
    pub body_timeout: Micros,
    /// A body comes at this rate at least, in bytes a second.
    pub body_rate: usize,
    /// How long a body may fall short of the rate, at its beginning or after it has kept to it.
    pub body_grace: Micros,
    /// Bytes that bodies being read and those of open requests may hold together.
    pub held_bodies: usize,
}
