//! Reads the routes and checks them against the pools and against each other.

use super::names::NameIndex;
use super::request;
use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::document::Document;
use crate::schema::{HEADER_MATCH, ROUTE_RESPONSES};
use crate::section::Section;
use crate::values;
use shaletide_balancer::{ClassId, PoolId, TenantId};
use shaletide_routing::{HeaderMatch, ResponseRules, Route, RouteMatch, RouteTable};
use std::hash::Hash;
use toml::de::DeValue;

/// Maximum number of routes in a file.
const MAX_ROUTES: usize = 1_000;
/// Maximum number of names in the conditions of all routes together; bounds the search for shadowed routes, which compares
/// them all.
const MAX_CONDITIONS: usize = 20_000;

/// The names and defaults that routes refer to.
pub(super) struct RouteContext<'k> {
    pub classes: &'k NameIndex,
    pub tenants: &'k NameIndex,
    pub pools: &'k NameIndex,
    /// The response rules of routes without their own.
    pub responses: &'k ResponseRules,
}

/// A value, and whether every part of the file that it was read from was valid.
struct Checked<T> {
    value: T,
    is_valid: bool,
}

/// Reads the routes. Without any in the file, returns one that leads all requests to all pools.
pub(super) fn routes(
    diagnostics: &mut Diagnostics<'_>, document: &Document<'_, '_>, context: &RouteContext<'_>,
) -> Vec<Route> {
    let sections = document.list(diagnostics, "route", MAX_ROUTES);
    let names = NameIndex::of_sections(diagnostics, "route", &sections);
    if sections.items.is_empty() {
        return vec![default_route(context)];
    }
    let mut routes = Vec::new();
    let mut valid = Vec::new();
    let mut conditions_left = MAX_CONDITIONS;
    for (section, name) in sections.items.iter().zip(names.in_order()) {
        let route_match = conditions(diagnostics, section, context);
        let Some(left) = conditions_left.checked_sub(condition_count(&route_match.value)) else {
            let expected = format!("expected at most {MAX_CONDITIONS} names in the conditions of all routes");
            let message = "too many names in the conditions of routes";
            diagnostics.push(Diagnostic::at(section.span.clone(), message, expected));
            return Vec::new();
        };
        conditions_left = left;
        let pools = numbers(diagnostics, section, "pools", context.pools, |n| PoolId(n as u32));
        let response_rules_of_route = route_responses(diagnostics, section, context.responses);
        routes.push(Route {
            name: name.to_string(),
            conditions: route_match.value,
            pools: pools.value,
            response_rules: response_rules_of_route,
        });
        valid.push(route_match.is_valid && pools.is_valid);
    }
    report_shadowed_routes(diagnostics, &routes, &valid, &names);
    if sections.is_complete && valid.iter().all(|valid| *valid) {
        report_unreachable_pools(diagnostics, &routes, context.pools);
    }
    routes
}

/// Returns the route of a file without routes.
fn default_route(context: &RouteContext<'_>) -> Route {
    Route {
        name: "default".into(),
        conditions: RouteMatch::default(),
        pools: (0..context.pools.len()).map(|number| PoolId(number as u32)).collect(),
        response_rules: context.responses.clone(),
    }
}

fn condition_count(route_match: &RouteMatch) -> usize {
    route_match.classes.len()
        + route_match.tenants.len()
        + route_match.zones.len()
        + route_match.deduplication_groups.len()
}

/// Reads the conditions under which a route matches a request.
fn conditions(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, context: &RouteContext<'_>,
) -> Checked<RouteMatch> {
    let classes = numbers(diagnostics, section, "class", context.classes, ClassId);
    let tenants = numbers(diagnostics, section, "tenant", context.tenants, TenantId);
    let zones = section.distinct_items(diagnostics, "zone", values::name);
    let groups = section.distinct_items(diagnostics, "bay", values::deduplication_group);
    let methods = section.distinct_items(diagnostics, "method", values::method);
    let path = section.read(diagnostics, "path", values::path);
    let headers = headers(diagnostics, section);
    let are_lists_valid = zones.is_valid && groups.is_valid && methods.is_valid;
    let is_valid =
        classes.is_valid && tenants.is_valid && headers.is_valid && are_lists_valid && !path.is_invalid();
    let value = RouteMatch {
        classes: classes.value,
        tenants: tenants.value,
        zones: zones.into_values(),
        deduplication_groups: groups.into_values(),
        path_prefix: path.value,
        methods: methods.into_values(),
        headers: headers.value,
    };
    Checked { value, is_valid }
}

/// Reads the names of a key and returns their numbers.
fn numbers<T: Hash + Eq>(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, key: &str, index: &NameIndex,
    number: fn(usize) -> T,
) -> Checked<Vec<T>> {
    let path = section.path(key);
    // Accepts any text: a text that is not a valid name is not found either.
    let names = section.distinct_items(diagnostics, key, |_, value| values::text(value).map(String::from));
    let name_count = names.items.len();
    let mut found = Vec::new();
    for (name, span) in names.items {
        found.extend(index.find(diagnostics, &path, &name, span).map(number));
    }
    let is_valid = names.is_valid && found.len() == name_count;
    Checked { value: found, is_valid }
}

fn headers(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>) -> Checked<Vec<HeaderMatch>> {
    let (tables, mut is_valid) = section.tables(diagnostics, "header", &HEADER_MATCH);
    let mut headers = Vec::new();
    let mut names = Vec::new();
    for table in &tables {
        let name = table.read(diagnostics, "name", values::header);
        let value = table.read(diagnostics, "value", values::header_value);
        is_valid &= name.value.is_some() && !value.is_invalid();
        if let Some(name) = name.value {
            names.push((name.clone(), table.span_of("name").unwrap_or(table.span.clone())));
            headers.push(HeaderMatch { name, value: value.value });
        }
    }
    let message = |name: &String| format!("route.header: the header {} occurs twice", quoted(name));
    diagnostics.push_duplicates(names, message, "expected each header once");
    Checked { value: headers, is_valid }
}

fn route_responses(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, base: &ResponseRules,
) -> ResponseRules {
    match section.raw("answers") {
        Some((DeValue::Table(table), span)) => {
            let section = Section::open(diagnostics, &ROUTE_RESPONSES, table, span);
            request::response_rules(diagnostics, &section, base)
        }
        Some((other, span)) => {
            let found = format!("{} is not allowed here", values::describe(other));
            section.push_invalid(diagnostics, "answers", span, &found);
            base.clone()
        }
        None => base.clone(),
    }
}

/// Reports routes that no request can reach. Ignores invalid routes, as their conditions are not known.
fn report_shadowed_routes(
    diagnostics: &mut Diagnostics<'_>, routes: &[Route], valid: &[bool], names: &NameIndex,
) {
    let compared: Vec<usize> = (0..routes.len()).filter(|number| valid[*number]).collect();
    let table = RouteTable::new(compared.iter().map(|number| routes[*number].clone()).collect());
    for (later, earlier) in table.shadowed() {
        let later = compared[later.0];
        let earlier = compared[earlier.0];
        let message = format!("no request can reach the route {}", quoted(&routes[later].name));
        let expected =
            format!("the earlier route {} takes all of its requests", quoted(&routes[earlier].name));
        let diagnostic = Diagnostic::at(names.span(later), message, expected);
        diagnostics.push(diagnostic.with_related(names.span(earlier), "the earlier route"));
    }
}

/// Reports pools that no route leads to.
fn report_unreachable_pools(diagnostics: &mut Diagnostics<'_>, routes: &[Route], pools: &NameIndex) {
    let mut is_reached = vec![false; pools.len()];
    for pool in routes.iter().flat_map(|route| &route.pools) {
        if let Some(is_reached) = is_reached.get_mut(pool.0 as usize) {
            *is_reached = true;
        }
    }
    for (number, name) in pools.in_order().enumerate().filter(|(number, _)| !is_reached[*number]) {
        let message = format!("no route leads to the pool {}", quoted(name));
        let expected = "expected it in the `pools` of a route";
        diagnostics.push(Diagnostic::at(pools.span(number), message, expected));
    }
}
