//! Reads the sections that occur once (the proxy, its limits, the rules for starting and draining backends, and the
//! objective) and the listeners.

use super::types::{ExtensionLimits, Limits, ProxyConfig};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::Document;
use crate::section::{Field, Section};
use crate::values;
use shaletide_balancer::{Class, Config, DiscoveryMode, Micros, Tenant, ZoneId};
use std::net::SocketAddr;
use std::ops::Range;

/// Maximum number of listeners in a file; each takes a file descriptor.
const MAX_LISTENERS: usize = 64;

pub(super) fn proxy(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>) -> ProxyConfig {
    let proxies = section.count(diagnostics, "proxies");
    let position = section.count(diagnostics, "position");
    check_position(diagnostics, &proxies, &position);
    ProxyConfig {
        name: section.name(diagnostics, "name").or_placeholder(String::new()),
        zone: section.name(diagnostics, "zone").or_placeholder(String::new()),
        proxies: proxies.or_placeholder(1),
        position: position.or_placeholder(0),
        seed: section.read(diagnostics, "seed", values::hex).value,
    }
}

/// Reports a position that is not less than the number of proxies.
fn check_position(diagnostics: &mut Diagnostics<'_>, proxies: &Field<u32>, position: &Field<u32>) {
    let (Some(count), Some(number)) = (proxies.value, position.value) else { return };
    let Some(span) = position.span.clone().or(proxies.span.clone()) else { return };
    if number < count {
        return;
    }
    let message = format!("proxy.position: {number} is not less than proxies");
    let expected = format!("expected a whole number less than {count}");
    let diagnostic = Diagnostic::at(span.clone(), message, expected);
    diagnostics.push(match proxies.span.clone().filter(|other| *other != span) {
        Some(other) => diagnostic.with_related(other, "the number of proxies"),
        None => diagnostic,
    });
}

/// Reads the listeners, each with the span of its address.
pub(super) fn listeners(
    diagnostics: &mut Diagnostics<'_>, document: &Document<'_, '_>,
) -> Vec<(SocketAddr, Range<usize>)> {
    let sections = document.list(diagnostics, "listener", MAX_LISTENERS);
    let mut listeners: Vec<(SocketAddr, Range<usize>)> = Vec::new();
    for section in sections.items {
        let field = section.read(diagnostics, "address", values::address);
        let (Some(address), Some(span)) = (field.value, field.span) else { continue };
        let conflicting = listeners.iter().find(|(other, _)| in_conflict(&address, other));
        if let Some((_, first)) = conflicting {
            let message = format!("listener.address: {address} conflicts with another listener");
            let diagnostic = Diagnostic::at(span.clone(), message, "expected another address or port");
            diagnostics.push(diagnostic.with_related(first.clone(), "first here"));
        }
        listeners.push((address, span));
    }
    listeners
}

/// Returns whether the process cannot listen on both addresses.
fn in_conflict(one: &SocketAddr, other: &SocketAddr) -> bool {
    if one.port() != other.port() {
        return false;
    }
    let is_any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.ip() == other.ip() || (is_any && one.is_ipv4() == other.is_ipv4())
}

pub(super) fn limits(
    diagnostics: &mut Diagnostics<'_>, limits: &Section<'_, '_>, rules: &Section<'_, '_>,
) -> Limits {
    Limits {
        descriptors: limits.count(diagnostics, "descriptors").or_placeholder(0) as usize,
        connect_timeout: duration(diagnostics, limits, "connect_timeout"),
        idle_timeout: duration(diagnostics, limits, "idle_timeout"),
        max_retry_after: duration(diagnostics, limits, "max_retry_after"),
        answer_stall: limits.duration(diagnostics, "answer_stall").value,
        head_timeout: duration(diagnostics, limits, "head_timeout"),
        body_timeout: duration(diagnostics, limits, "body_timeout"),
        body_rate: size(diagnostics, limits, "body_rate"),
        body_grace: duration(diagnostics, limits, "body_grace"),
        held_bodies: size(diagnostics, limits, "held_bodies"),
        max_body: size(diagnostics, limits, "max_body"),
        drain_grace: duration(diagnostics, rules, "drain_grace"),
    }
}

/// Reads the limits that a file that extends `NODE_CONFIG` may set.
pub(super) fn extension_limits(
    diagnostics: &mut Diagnostics<'_>, limits: &Section<'_, '_>,
) -> ExtensionLimits {
    ExtensionLimits {
        answer_stall: limits.duration(diagnostics, "answer_stall").value,
        head_timeout: duration(diagnostics, limits, "head_timeout"),
        body_timeout: duration(diagnostics, limits, "body_timeout"),
        body_rate: size(diagnostics, limits, "body_rate"),
        body_grace: duration(diagnostics, limits, "body_grace"),
        held_bodies: size(diagnostics, limits, "held_bodies"),
    }
}

/// The sections that the balancer's configuration is built from, in addition to classes and tenants.
pub(super) struct BalancerSections<'s, 'v, 't> {
    pub proxy: &'s ProxyConfig,
    pub limits: &'s Section<'v, 't>,
    pub rules: &'s Section<'v, 't>,
    pub goal: &'s Section<'v, 't>,
}

/// Builds the balancer's configuration. The zone and the discovery mode are placeholders for the caller to replace.
pub(super) fn balancer_config(
    diagnostics: &mut Diagnostics<'_>, sections: &BalancerSections<'_, '_, '_>, classes: Vec<Class>,
    tenants: Vec<Tenant>,
) -> Config {
    let BalancerSections { proxy, limits, rules, goal } = sections;
    Config {
        proxies: proxy.proxies,
        position: proxy.position,
        zone: ZoneId(0),
        classes,
        tenants,
        over_quota_weight_fraction: number(diagnostics, goal, "over_quota_worth"),
        total_objective_weight: number(diagnostics, goal, "whole"),
        worst_class_objective_weight: number(diagnostics, goal, "worst_class"),
        cross_zone_cost: number(diagnostics, goal, "cross_zone_cost"),
        discovery: DiscoveryMode::Push,
        max_attempts: limits.count(diagnostics, "max_attempts").or_placeholder(0),
        may_cancel_attempts: limits.flag(diagnostics, "cancel").or_placeholder(false),
        hedging: limits.flag(diagnostics, "second_copies").or_placeholder(false),
        min_timer_interval: duration(diagnostics, limits, "tick"),
        initial_capacity_fraction: number(diagnostics, rules, "cold_from"),
        slow_start_window: duration(diagnostics, rules, "ramp"),
        // The daemon sets these from its driver and its pools.
        timer_lateness: Micros(0),
        has_failover_pool: false,
        only_deduplication_domain: Some(0),
        // The file has a separate key for cores, so weights never stand for cores or load.
        weights_report_load: false,
        weights_report_cores: false,
        overload_multiple: number(diagnostics, rules, "fall_multiple"),
        overload_window: duration(diagnostics, rules, "fall_window"),
    }
}

fn duration(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, key: &str) -> Micros {
    section.duration(diagnostics, key).or_placeholder(Micros(0))
}

fn number(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, key: &str) -> f64 {
    section.number(diagnostics, key).or_placeholder(0.0)
}

/// Reads a size in bytes.
fn size(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, key: &str) -> usize {
    section.read(diagnostics, key, values::size).or_placeholder(0)
}
