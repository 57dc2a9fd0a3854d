//! `shaletide explain`: prints the route and pools that a request would get, and why it gets no other route.

use crate::cli::Explain;
use shaletide_balancer::{ClassId, TenantId};
use shaletide_config::operator::{OperatorConfig, PoolConfig, PoolSource};
use shaletide_routing::{ErrorResponses, Mismatch, RequestAttributes, Route, RouteTable};

/// Returns an explanation of the route that a request would get.
///
/// # Errors
/// The argument that is invalid.
pub fn explain(operator: &OperatorConfig, args: &Explain) -> Result<String, String> {
    let class = find_class(operator, args)?;
    let def = &operator.classes[class.0];
    let tenant = find_tenant(operator, args)?;
    let path = args.path.clone().unwrap_or_else(|| format!("/{}", def.name));
    let method = args.method.clone().or_else(|| def.methods.first().cloned()).unwrap_or_default();
    let headers = read_headers(args)?;
    let request = RequestAttributes {
        class,
        tenant,
        zone: args.zone.as_deref().unwrap_or(&operator.proxy.zone),
        deduplication_group: args.bay.as_deref(),
        path: &path,
        method: &method,
        header: &|name| headers.iter().find(|header| header.0 == name).map(|header| header.1),
    };
    let mut text = format!("{method} {path} of class {}", def.name);
    if let Some(name) = &args.tenant {
        text += &format!(", tenant {name}");
    }
    text += &format!(", zone {:?}\n", request.zone);
    if !def.methods.contains(&method) {
        text += &format!("  rejected with 405: the class accepts {}\n", def.methods.join(", "));
        return Ok(text);
    }
    explain_routes(&mut text, operator, &request);
    Ok(text)
}

/// Appends why routes did not match, and the route that did with its pools.
fn explain_routes(text: &mut String, operator: &OperatorConfig, request: &RequestAttributes<'_>) {
    let table = RouteTable::new(operator.routes.clone());
    let (mismatched, matched) = table.explain(request);
    for (id, reason) in mismatched {
        let Some(route) = table.get(id) else { continue };
        *text += &format!("  not {}: {}\n", route.name, mismatch(operator, route, reason, request));
    }
    let Some(route) = matched.and_then(|id| table.get(id)) else {
        *text += "  rejected with 404: no route matches\n";
        return;
    };
    *text += &format!("  route {}, errors {}\n", route.name, error_responses(route));
    let pools = route.pools.iter().filter_map(|id| operator.pools.get(id.0 as usize));
    for (number, pool) in pools.enumerate() {
        let when = if number == 0 { "first" } else { "else " };
        *text += &format!("    {when} pool {}: {}\n", pool.name, described(pool));
    }
}

/// Returns the class given by `--class`, else by the path, else the default class.
fn find_class(operator: &OperatorConfig, args: &Explain) -> Result<ClassId, String> {
    let of_path = |path: &str| path.split('/').nth(1).unwrap_or_default().to_string();
    let name = args.class.clone().or_else(|| args.path.as_deref().map(of_path));
    let known = name.as_ref().and_then(|name| operator.classes.iter().position(|c| c.name == *name));
    if let Some(number) = known {
        return Ok(ClassId(number));
    }
    match (args.class.as_ref(), operator.request_format.default_class) {
        (None, Some(class)) => Ok(class),
        (class, _) => Err(no_class(operator, class.or(name.as_ref()))),
    }
}

fn find_tenant(operator: &OperatorConfig, args: &Explain) -> Result<Option<TenantId>, String> {
    let Some(name) = &args.tenant else { return Ok(None) };
    let number = operator.tenants.iter().position(|tenant| tenant == name);
    number.map(|number| Some(TenantId(number))).ok_or(format!("--tenant {name}: the file has no such tenant"))
}

/// Returns the headers, with names in lower case.
fn read_headers(args: &Explain) -> Result<Vec<(String, &str)>, String> {
    let mut headers = Vec::new();
    for header in &args.headers {
        let (name, value) =
            header.split_once('=').ok_or(format!("--header {header}: expected NAME=VALUE"))?;
        headers.push((name.to_ascii_lowercase(), value));
    }
    Ok(headers)
}

fn no_class(operator: &OperatorConfig, name: Option<&String>) -> String {
    let names: Vec<&str> = operator.classes.iter().map(|c| c.name.as_str()).collect();
    match name {
        Some(name) => format!("the file has no class {name}; it has {}", names.join(", ")),
        None => format!("expected --class or --path; the classes are {}", names.join(", ")),
    }
}

/// Describes why a route does not match the request.
fn mismatch(
    operator: &OperatorConfig, route: &Route, reason: Mismatch, request: &RequestAttributes<'_>,
) -> String {
    let when = &route.conditions;
    match reason {
        Mismatch::Class => {
            let names =
                when.classes.iter().filter_map(|c| operator.classes.get(c.0)).map(|c| c.name.as_str());
            format!("it requires class {}", names.collect::<Vec<_>>().join(", "))
        }
        Mismatch::Tenant => {
            let names = when.tenants.iter().filter_map(|t| operator.tenants.get(t.0)).map(String::as_str);
            let request_has_none = if request.tenant.is_none() { ", the request has none" } else { "" };
            format!("it requires tenant {}{request_has_none}", names.collect::<Vec<_>>().join(", "))
        }
        Mismatch::Zone => format!("it requires zone {}, not {:?}", when.zones.join(", "), request.zone),
        Mismatch::DeduplicationGroup => match request.deduplication_group {
            Some(bay) => format!("it requires bay {}, not {bay}", when.deduplication_groups.join(", ")),
            None => {
                format!("it requires bay {}, the request names none", when.deduplication_groups.join(", "))
            }
        },
        Mismatch::Path => {
            format!("it requires a path under {}", when.path_prefix.as_deref().unwrap_or("/"))
        }
        Mismatch::Method => format!("it requires method {}, not {}", when.methods.join(", "), request.method),
        Mismatch::Header(at) => match when.headers.get(at) {
            Some(h) => match (&h.value, (request.header)(&h.name)) {
                (Some(value), Some(got)) => format!("it requires header {}: {value}, not {got}", h.name),
                (Some(value), None) => format!("it requires header {}: {value}", h.name),
                (None, _) => format!("it requires a header {}", h.name),
            },
            None => "it requires another header".into(),
        },
    }
}

fn described(pool: &PoolConfig) -> String {
    match &pool.source {
        PoolSource::Static(backends) => format!("{} static backends", backends.len()),
        PoolSource::Discovery { address, .. } => format!("backends from discovery at {address}"),
    }
}

/// Describes what clients receive if the last attempt ended in an error response, in the words of the setting `errors`.
fn error_responses(route: &Route) -> &'static str {
    match route.response_rules.error_responses {
        ErrorResponses::Forward => "as they are",
        ErrorResponses::Replace => "in own words",
    }
}
