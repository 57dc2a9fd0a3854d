//! `shaletide explain`: which route and pools a request would get, and why no other.

use crate::cli::Explain;
use shaletide_balancer::{ClassId, TenantId};
use shaletide_config::operator::{OperatorConfig, PoolConfig, PoolSource};
use shaletide_routing::{ErrorResponses, Mismatch, RequestAttributes, Route, RouteTable};
use std::fmt::Write;

/// The explanation, or what of the question makes no sense.
pub fn explain(operator: &OperatorConfig, asked: &Explain) -> Result<String, String> {
    let part = |path: &str| path.split('/').nth(1).unwrap_or_default().to_string();
    let named = asked.class.clone().or_else(|| asked.path.as_deref().map(part));
    let known = |name: &String| operator.classes.iter().position(|c| c.name == *name);
    let class = match named.as_ref().and_then(known) {
        Some(at) => ClassId(at),
        None => match (asked.class.as_ref(), operator.request_format.default_class) {
            (None, Some(class)) => class,
            (name, _) => return Err(no_class(operator, name.or(named.as_ref()))),
        },
    };
    let def = &operator.classes[class.0];
    let tenant = match &asked.tenant {
        None => None,
        Some(name) => match operator.tenants.iter().position(|t| t == name) {
            Some(at) => Some(TenantId(at)),
            None => return Err(format!("--tenant {name}: the file has no such tenant")),
        },
    };
    let path = asked.path.clone().unwrap_or_else(|| format!("/{}", def.name));
    let method = asked.method.clone().or_else(|| def.methods.first().cloned()).unwrap_or_default();
    let mut headers = Vec::new();
    for header in &asked.headers {
        let (name, value) =
            header.split_once('=').ok_or(format!("--header {header}: expected NAME=VALUE"))?;
        headers.push((name.to_ascii_lowercase(), value));
    }
    let question = RequestAttributes {
        class,
        tenant,
        zone: asked.zone.as_deref().unwrap_or(&operator.proxy.zone),
        deduplication_group: asked.bay.as_deref(),
        path: &path,
        method: &method,
        header: &|name| headers.iter().find(|h| h.0 == name).map(|h| h.1),
    };
    let mut text = format!("{method} {path} of class {}", def.name);
    let tenant = asked.tenant.as_ref().map(|name| format!(", tenant {name}"));
    let _ = writeln!(text, "{}, zone {:?}", tenant.unwrap_or_default(), question.zone);
    if !def.methods.contains(&method) {
        let _ = writeln!(text, "  is refused with 405: the class takes {}", def.methods.join(", "));
        return Ok(text);
    }
    let table = RouteTable::new(operator.routes.clone());
    let (passed, taken) = table.explain(&question);
    for (id, reason) in passed {
        let Some(route) = table.get(id) else { continue };
        let _ = writeln!(text, "  not {}: {}", route.name, because(operator, route, reason, &question));
    }
    let Some(route) = taken.and_then(|id| table.get(id)) else {
        text.push_str("  is refused with 404: no route takes it\n");
        return Ok(text);
    };
    let _ = writeln!(text, "  route {}, errors {}", route.name, error_responses(route));
    for (at, pool) in route.pools.iter().filter_map(|id| operator.pools.get(id.0 as usize)).enumerate() {
        let when = if at == 0 { "first" } else { "else " };
        let _ = writeln!(text, "    {when} pool {}: {}", pool.name, described(pool));
    }
    Ok(text)
}

fn no_class(operator: &OperatorConfig, name: Option<&String>) -> String {
    let names: Vec<&str> = operator.classes.iter().map(|c| c.name.as_str()).collect();
    match name {
        Some(name) => format!("the file has no class {name}; it has {}", names.join(", ")),
        None => format!("expected --class or --path; the classes are {}", names.join(", ")),
    }
}

fn because(
    operator: &OperatorConfig, route: &Route, reason: Mismatch, asked: &RequestAttributes<'_>,
) -> String {
    let when = &route.when;
    match reason {
        Mismatch::Class => {
            let names =
                when.classes.iter().filter_map(|c| operator.classes.get(c.0)).map(|c| c.name.as_str());
            format!("it takes class {}", names.collect::<Vec<_>>().join(", "))
        }
        Mismatch::Tenant => {
            let names = when.tenants.iter().filter_map(|t| operator.tenants.get(t.0)).map(String::as_str);
            let here = if asked.tenant.is_none() { " and the request has none" } else { "" };
            format!("it takes tenant {}{here}", names.collect::<Vec<_>>().join(", "))
        }
        Mismatch::Zone => format!("it takes zone {}, not {:?}", when.zones.join(", "), asked.zone),
        Mismatch::DeduplicationGroup => match asked.deduplication_group {
            Some(bay) => format!("it takes bay {}, not {bay}", when.deduplication_groups.join(", ")),
            None => {
                format!("it takes bay {} and the request names none", when.deduplication_groups.join(", "))
            }
        },
        Mismatch::Path => {
            format!("it takes paths under {}", when.path_prefix.as_deref().unwrap_or("/"))
        }
        Mismatch::Method => format!("it takes {}, not {}", when.methods.join(", "), asked.method),
        Mismatch::Header(at) => match when.headers.get(at) {
            Some(h) => match (&h.value, (asked.header)(&h.name)) {
                (Some(value), Some(got)) => format!("it wants header {}: {value}, not {got}", h.name),
                (Some(value), None) => format!("it wants header {}: {value}", h.name),
                (None, _) => format!("it wants a header {}", h.name),
            },
            None => "of a header".into(),
        },
    }
}

fn described(pool: &PoolConfig) -> String {
    match &pool.source {
        PoolSource::Static(boxes) => format!("{} boxes in the file", boxes.len()),
        PoolSource::Discovery { address, .. } => format!("boxes told by {address}"),
    }
}

/// What clients get where the last attempt ended in an error.
fn error_responses(route: &Route) -> &'static str {
    match route.answers.error_responses {
        ErrorResponses::Forward => "as they are",
        ErrorResponses::Replace => "in own words",
    }
}
