//! The sections that stand once: the proxy, its limits, the rules of cold backends, the goal; and the listeners.

use super::types::{AddedLimits, Limits, ProxyDef};
use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::document::File;
use crate::section::Section;
use crate::values;
use shaletide_balancer::{Class, Config, DiscoveryMode, Micros, Tenant, ZoneId};
use std::net::SocketAddr;
use std::ops::Range;

/// Addresses to listen on that a file may name: each takes a descriptor.
const MAX_LISTENERS: usize = 64;

pub(super) fn proxy(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>) -> ProxyDef {
    let (proxies, position) = (section.count(diagnostics, "proxies"), section.count(diagnostics, "position"));
    if let (Some(all), Some(mine), Some(at)) =
        (proxies.value, position.value, position.at.clone().or(proxies.at.clone()))
    {
        if mine >= all {
            let diagnostic =
                Diagnostic::at(at.clone(), format!("proxy.position: {mine} is not less than proxies"), {
                    format!("expected a whole number less than {all}")
                });
            let other = proxies.at.clone().filter(|other| *other != at);
            diagnostics.push(match other {
                Some(other) => diagnostic.with_related(other, "so many share the work"),
                None => diagnostic,
            });
        }
    }
    ProxyDef {
        name: section.name(diagnostics, "name").or(String::new()),
        zone: section.name(diagnostics, "zone").or(String::new()),
        proxies: proxies.or(1),
        position: position.or(0),
        seed: section.read(diagnostics, "seed", values::hex).value,
    }
}

/// The listeners, with the place of each.
pub(super) fn listeners(
    diagnostics: &mut Diagnostics<'_>, file: &File<'_, '_>,
) -> Vec<(SocketAddr, Range<usize>)> {
    let (sections, _) = file.list(diagnostics, "listener", MAX_LISTENERS);
    let mut found: Vec<(SocketAddr, Range<usize>)> = Vec::new();
    for section in sections {
        let field = section.read(diagnostics, "address", values::address);
        let (Some(address), Some(at)) = (field.value, field.at) else { continue };
        let taken = found.iter().find(|(other, _)| same_port(&address, other));
        if let Some((_, first)) = taken {
            let diagnostic = Diagnostic::at(at.clone(), format!("listener.address: {address} is taken"), {
                "expected another address or port"
            });
            diagnostics.push(diagnostic.with_related(first.clone(), "first here"));
        }
        found.push((address, at));
    }
    found
}

/// Whether only one of the two can be had.
fn same_port(one: &SocketAddr, other: &SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (one.ip() == other.ip() || any && one.is_ipv4() == other.is_ipv4())
}

pub(super) fn limits(
    diagnostics: &mut Diagnostics<'_>, limits: &Section<'_, '_>, rules: &Section<'_, '_>,
) -> Limits {
    let mut span = |key| limits.span(diagnostics, key).or(Micros(0));
    let (connect_timeout, idle_timeout) = (span("connect_timeout"), span("idle_timeout"));
    let (head_timeout, body_timeout) = (span("head_timeout"), span("body_timeout"));
    let max_retry_after = span("max_retry_after");
    Limits {
        descriptors: limits.count(diagnostics, "descriptors").or(0) as usize,
        connect_timeout,
        idle_timeout,
        max_retry_after,
        answer_stall: limits.span(diagnostics, "answer_stall").value,
        head_timeout,
        body_timeout,
        body_rate: limits.read(diagnostics, "body_rate", values::size).or(0),
        body_grace: limits.span(diagnostics, "body_grace").or(Micros(0)),
        held_bodies: limits.read(diagnostics, "held_bodies", values::size).or(0),
        max_body: limits.read(diagnostics, "max_body", values::size).or(0),
        drain_grace: rules.span(diagnostics, "drain_grace").or(Micros(0)),
    }
}

/// The times that the platform has no word for.
pub(super) fn added_limits(diagnostics: &mut Diagnostics<'_>, limits: &Section<'_, '_>) -> AddedLimits {
    AddedLimits {
        answer_stall: limits.span(diagnostics, "answer_stall").value,
        head_timeout: limits.span(diagnostics, "head_timeout").or(Micros(0)),
        body_timeout: limits.span(diagnostics, "body_timeout").or(Micros(0)),
        body_rate: limits.read(diagnostics, "body_rate", values::size).or(0),
        body_grace: limits.span(diagnostics, "body_grace").or(Micros(0)),
        held_bodies: limits.read(diagnostics, "held_bodies", values::size).or(0),
    }
}

/// What the decision module wants, with stand-ins for zone and discovery.
pub(super) fn config(
    diagnostics: &mut Diagnostics<'_>, file: &File<'_, '_>, proxy: &ProxyDef, limits: &Section<'_, '_>,
    rules: &Section<'_, '_>, classes: Vec<Class>, tenants: Vec<Tenant>,
) -> Config {
    let goal = file.table(diagnostics, "goal");
    let number = |diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, key| {
        section.number(diagnostics, key).or(0.0)
    };
    Config {
        proxies: proxy.proxies,
        position: proxy.position,
        zone: ZoneId(0),
        classes,
        tenants,
        over_quota_weight_fraction: number(diagnostics, &goal, "over_quota_worth"),
        total_objective_weight: number(diagnostics, &goal, "whole"),
        worst_class_objective_weight: number(diagnostics, &goal, "worst_class"),
        cross_zone_cost: number(diagnostics, &goal, "cross_zone_cost"),
        discovery: DiscoveryMode::Push,
        max_attempts: limits.count(diagnostics, "max_attempts").or(0),
        may_cancel_attempts: limits.flag(diagnostics, "cancel").or(false),
        hedging: limits.flag(diagnostics, "second_copies").or(false),
        min_timer_interval: limits.span(diagnostics, "tick").or(Micros(0)),
        initial_capacity_fraction: number(diagnostics, rules, "cold_from"),
        slow_start_window: rules.span(diagnostics, "ramp").or(Micros(0)),
        // Both follow from the pools, which the daemon knows.
        has_failover_pool: false,
        weights_report_load: false,
        weights_report_cores: false, // weights are no sizes here, and a file says cores itself
        only_deduplication_domain: Some(0),
        overload_multiple: number(diagnostics, rules, "fall_multiple"),
        overload_window: rules.span(diagnostics, "fall_window").or(Micros(0)),
    }
}
