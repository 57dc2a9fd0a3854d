//! Turns `NODE_CONFIG` into the same configuration type as the operators' file.

use super::error::SettingsError;
use super::names::Names;
use super::setting::Setting;
use super::settings::{deadlines, read};
use super::wire_names::{limits, rules, settings};
use crate::operator::{
    ClassConfig, Limits, OperatorConfig, PoolConfig, PoolSource, ProxyConfig, RecordMode, PLATFORM_POOL,
};
use serde_json::Value;
use shaletide_balancer::{Config, Idempotency, Micros, PoolId};
use shaletide_routing::{RequestFormat, ResponseRules, Route, RouteMatch};
use std::net::SocketAddr;

/// Maximum time for a response that has begun to be complete. The platform's backends write small responses at once, and
/// without the limit an incomplete response would hold its request until the deadline.
const RESPONSE_STALL_TIMEOUT: Micros = Micros(40_000);
/// Maximum time until the head of a request is complete, whether the first on its connection or a later one. After it
/// the connection is closed.
const HEAD_TIMEOUT: Micros = Micros(2_100_000);
/// Maximum time until the body of a request is complete. Together with [`HEAD_TIMEOUT`] it is below the 3 s within which
/// every client is answered.
const BODY_TIMEOUT: Micros = Micros(700_000);
/// Time for which a body may stay below [`BODY_RATE`].
const BODY_GRACE: Micros = Micros(500_000);
/// Minimum rate of a request body, in bytes per second; a slower body is not waited for.
const BODY_RATE: usize = 1 << 10;
/// Maximum total of bytes held by the bodies of all requests: a quarter of the 32 MB of a process.
const HELD_BODIES: usize = 8 << 20;
/// Maximum length of the body of a request or a response, in bytes.
const MAX_BODY: usize = 64 << 10;
/// Drain grace if the settings have none: the same as the default in the operators' file.
const DRAIN_GRACE: Micros = Micros(2_000_000);

/// The values of `NODE_CONFIG` outside of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentity {
    /// The proxy's name.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub descriptors: usize,
}

/// Returns whether the settings contain a drain grace. If they do, a change counts as known to the proxy from the moment
/// that the agent has it, before the proxy receives it.
pub fn has_drain_grace(settings: &Value) -> bool {
    settings.get(settings::RULES).and_then(|rules| rules.get(rules::DRAIN_GRACE)).is_some()
}

/// Reads the platform's settings into the configuration type of the operators' file: one pool with discovery, one route,
/// and the platform's own response rules. Also returns the names that the caller numbers.
///
/// # Errors
///
/// Returns the path of the first key that is missing, has the wrong type or is out of range.
pub fn operator_config(
    node: NodeIdentity, settings: &Value,
) -> Result<(OperatorConfig, Names), SettingsError> {
    let (config, names) = read(settings)?;
    let root = Setting::root(settings);
    let drain_grace = root.get(settings::RULES).get(rules::DRAIN_GRACE);
    let drain_grace = if drain_grace.is_present() { drain_grace.micros()? } else { DRAIN_GRACE };
    let classes = class_configs(&root, &config, &names)?;
    let limits = read_limits(&root.get(settings::LIMITS), node.descriptors, drain_grace)?;
    let operator = OperatorConfig {
        proxy: ProxyConfig {
            name: node.name,
            zone: names.zones.get(config.zone.0 as usize).cloned().unwrap_or_default(),
            proxies: config.proxies,
            position: config.position,
            seed: Some(node.seed),
        },
        listeners: vec![node.listen],
        limits,
        classes,
        tenants: names.tenants.clone(),
        request_format: RequestFormat::platform(),
        pools: vec![PoolConfig {
            name: PLATFORM_POOL.into(),
            deduplication_domain: PLATFORM_POOL.into(),
            source: PoolSource::Discovery { address: node.discovery, mode: config.discovery },
        }],
        routes: vec![Route {
            name: "default".into(),
            conditions: RouteMatch::default(),
            pools: vec![PoolId(0)],
            response_rules: ResponseRules::platform(),
        }],
        record: None,
        control: None,
        balancer: config,
    };
    Ok((operator, names))
}

fn class_configs(
    root: &Setting<'_>, config: &Config, names: &Names,
) -> Result<Vec<ClassConfig>, SettingsError> {
    let mut configs = Vec::new();
    for ((deadline, name), class) in deadlines(root)?.into_iter().zip(&names.classes).zip(&config.classes) {
        let method = if class.idempotency == Idempotency::Safe { "GET" } else { "POST" };
        configs.push(ClassConfig {
            name: name.clone(),
            methods: vec![method.into()],
            deadline,
            record: RecordMode::None,
        });
    }
    Ok(configs)
}

fn read_limits(
    limits: &Setting<'_>, descriptors: usize, drain_grace: Micros,
) -> Result<Limits, SettingsError> {
    Ok(Limits {
        descriptors,
        connect_timeout: limits.get(limits::CONNECT_TIMEOUT).micros()?,
        idle_timeout: limits.get(limits::IDLE_TIMEOUT).micros()?,
        max_retry_after: limits.get(limits::MAX_RETRY_AFTER).micros()?,
        answer_stall: Some(RESPONSE_STALL_TIMEOUT),
        head_timeout: HEAD_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
        body_rate: BODY_RATE,
        body_grace: BODY_GRACE,
        held_bodies: HELD_BODIES,
        max_body: MAX_BODY,
        drain_grace,
    })
}
