//! From `NODE_CONFIG` to a configuration on the model of the operators' file.

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

/// A response that has begun is complete within this: the platform's backends write small ones at once, and an invalid
/// one would hold its request to the deadline.
const RESPONSE_STALL_TIMEOUT: Micros = Micros(40_000);
/// A connection is closed when the head of a request, its first or its next, is not complete within this time.
const HEAD_TIMEOUT: Micros = Micros(2_100_000);
/// The body of a request is complete within this: with [`HEAD_TIMEOUT`] under the 3 s in which any client is answered.
const BODY_TIMEOUT: Micros = Micros(700_000);
/// A body may fall short of [`BODY_RATE`] for so long.
const BODY_GRACE: Micros = Micros(500_000);
/// Bytes a second; a slower body is not waited for.
const BODY_RATE: usize = 1 << 10;
/// Bytes that the bodies of all requests may hold together: a quarter of a process's 32 MB.
const HELD_BODIES: usize = 8 << 20;
/// The longest body of a request or a response, in bytes.
const MAX_BODY: usize = 64 << 10;
/// Within what time nothing new may go to a draining backend where the settings do not say: the default of the
/// operators' file.
const DRAIN_GRACE: Micros = Micros(2_000_000);

/// What `NODE_CONFIG` says beside the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentity {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
}

/// Whether the settings say within what time nothing new may go to a draining backend. Then what the agent has counts
/// as known to the proxy before it is received.
pub fn has_drain_grace(settings: &Value) -> bool {
    settings.get(settings::RULES).and_then(|rules| rules.get(rules::DRAIN_GRACE)).is_some()
}

/// The platform's configuration on the model of the operators' file: one pool with a discovery, one route, and the
/// platform's own response rules. The names are those for which the caller keeps numbers.
///
/// # Errors
///
/// The first key that is missing, of the wrong type or out of its range, by its path in the settings.
pub fn operator(node: NodeIdentity, settings: &Value) -> Result<(OperatorConfig, Names), SettingsError> {
    let (config, names) = read(settings)?;
    let root = Setting::root(settings);
    let drain_grace = root.get(settings::RULES).get(rules::DRAIN_GRACE);
    let drain_grace = if drain_grace.is_present() { drain_grace.micros()? } else { DRAIN_GRACE };
    let classes = class_defs(&root, &config, &names)?;
    let limits = limits_of(&root.get(settings::LIMITS), node.descriptors, drain_grace)?;
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

fn class_defs(root: &Setting<'_>, config: &Config, names: &Names) -> Result<Vec<ClassConfig>, SettingsError> {
    let mut defs = Vec::new();
    for ((deadline, name), class) in deadlines(root)?.into_iter().zip(&names.classes).zip(&config.classes) {
        let method = if class.idempotency == Idempotency::Safe { "GET" } else { "POST" };
        defs.push(ClassConfig {
            name: name.clone(),
            methods: vec![method.into()],
            deadline,
            record: RecordMode::None,
        });
    }
    Ok(defs)
}

fn limits_of(limits: &Setting<'_>, descriptors: usize, drain_grace: Micros) -> Result<Limits, SettingsError> {
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
