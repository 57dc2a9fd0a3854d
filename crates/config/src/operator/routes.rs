//! Routes, and what must hold between them and the pools.

use super::names::Index;
use super::request;
use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::document::File;
use crate::schema::{ANSWERS, HEADER};
use crate::section::Section;
use crate::values;
use shaletide_balancer::{ClassId, PoolId, TenantId};
use shaletide_routing::{HeaderMatch, Match, ResponseRules, Route, RouteTable};
use std::hash::Hash;
use toml::de::DeValue;

/// So many routes may stand in a file.
const ROUTES: usize = 1_000;
/// So many names may stand in the conditions of all routes together: looking for hidden ones compares them all.
const CONDITIONS: usize = 20_000;

/// What routes refer to.
pub(super) struct Known<'k> {
    pub classes: &'k Index,
    pub tenants: &'k Index,
    pub pools: &'k Index,
    /// How answers are read where a route does not say.
    pub answers: &'k ResponseRules,
}

/// The routes; where there are none, one that leads all requests to all pools.
pub(super) fn routes(
    diagnostics: &mut Diagnostics<'_>, file: &File<'_, '_>, known: &Known<'_>,
) -> Vec<Route> {
    let (sections, all) = file.list(diagnostics, "route", ROUTES);
    let names = Index::read(diagnostics, "route", &sections, all);
    if sections.is_empty() {
        let pools = (0..known.pools.len()).map(|n| PoolId(n as u32)).collect();
        let (when, answers) = (Match::default(), known.answers.clone());
        return vec![Route { name: "default".into(), when, pools, answers }];
    }
    let mut sound = Vec::new();
    let mut routes = Vec::new();
    let mut left = CONDITIONS;
    for (section, name) in sections.iter().zip(names.in_order()) {
        let (when, good) = conditions(diagnostics, section, known);
        let asked =
            when.classes.len() + when.tenants.len() + when.zones.len() + when.deduplication_groups.len();
        if asked > left {
            let expected = format!("expected at most {CONDITIONS} names in the conditions of all routes");
            diagnostics.push(Diagnostic::at(
                section.at.clone(),
                "too many names in the conditions of routes",
                expected,
            ));
            return Vec::new();
        }
        left -= asked;
        let (pools, whole) = numbers(diagnostics, section, "pools", known.pools, |n| PoolId(n as u32));
        let answers = own_answers(diagnostics, section, known.answers);
        routes.push(Route { name: name.to_string(), when, pools, answers });
        sound.push(good && whole);
    }
    hidden(diagnostics, &routes, &sound, &names);
    if all && sound.iter().all(|s| *s) {
        unreached(diagnostics, &routes, known.pools);
    }
    routes
}

/// What it takes, and whether all of it was right.
fn conditions(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, known: &Known<'_>,
) -> (Match, bool) {
    let (classes, c) = numbers(diagnostics, section, "class", known.classes, ClassId);
    let (tenants, t) = numbers(diagnostics, section, "tenant", known.tenants, TenantId);
    let zones = section.listed(diagnostics, "zone", values::name);
    let bays = section.listed(diagnostics, "bay", values::bay);
    let methods = section.listed(diagnostics, "method", values::method);
    let path = section.read(diagnostics, "path", values::path);
    let (headers, h) = headers(diagnostics, section);
    let sound = c && t && h && zones.sound && bays.sound && methods.sound && !path.is_wrong();
    let when = Match {
        classes,
        tenants,
        zones: zones.items.into_iter().map(|(z, _)| z).collect(),
        deduplication_groups: bays.items.into_iter().map(|(b, _)| b).collect(),
        path_prefix: path.value,
        methods: methods.items.into_iter().map(|(m, _)| m).collect(),
        headers,
    };
    (when, sound)
}

/// The numbers behind the names of a key, and whether all were right.
fn numbers<T: Hash + Eq>(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, key: &str, index: &Index,
    number: fn(usize) -> T,
) -> (Vec<T>, bool) {
    let path = section.path(key);
    // Any text: what is no name at all is not found either.
    let listed = section.listed(diagnostics, key, |_, value| values::text(value).map(String::from));
    let asked = listed.items.len();
    let found = listed.items.into_iter().filter_map(|(name, at)| index.find(diagnostics, &path, &name, at));
    let found: Vec<T> = found.map(number).collect();
    let sound = listed.sound && found.len() == asked;
    (found, sound)
}

fn headers(diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>) -> (Vec<HeaderMatch>, bool) {
    let (tables, mut sound) = section.tables(diagnostics, "header", &HEADER);
    let (mut found, mut names) = (Vec::new(), Vec::new());
    for table in &tables {
        let (name, value) = (
            table.read(diagnostics, "name", values::header),
            table.read(diagnostics, "value", values::header_value),
        );
        sound &= name.value.is_some() && !value.is_wrong();
        if let Some(name) = name.value {
            names.push((name.clone(), name_place(table)));
            found.push(HeaderMatch { name, value: value.value });
        }
    }
    let what = |name: &String| format!("route.header: the header {} stands twice", quoted(name));
    diagnostics.push_duplicates(names, what, "expected each header once");
    (found, sound)
}

fn name_place(table: &Section<'_, '_>) -> std::ops::Range<usize> {
    table.raw("name").map_or(table.at.clone(), |(_, at)| at)
}

fn own_answers(
    diagnostics: &mut Diagnostics<'_>, section: &Section<'_, '_>, base: &ResponseRules,
) -> ResponseRules {
    match section.raw("answers") {
        Some((DeValue::Table(table), at)) => {
            let own = Section::open(diagnostics, &ANSWERS, table, at);
            request::answers(diagnostics, &own, base)
        }
        Some((other, at)) => {
            section.push_invalid(
                diagnostics,
                "answers",
                at,
                &format!("{} does not fit here", values::describe(other)),
            );
            base.clone()
        }
        None => base.clone(),
    }
}

/// Routes that no request can reach; those with something wrong are left out, as nobody knows what they take.
fn hidden(diagnostics: &mut Diagnostics<'_>, routes: &[Route], sound: &[bool], names: &Index) {
    let known: Vec<usize> = (0..routes.len()).filter(|n| sound[*n]).collect();
    let table = RouteTable::new(known.iter().map(|n| routes[*n].clone()).collect());
    for (late, early) in table.shadowed() {
        let (late, early) = (known[late.0], known[early.0]);
        let (name, before) = (quoted(&routes[late].name), quoted(&routes[early].name));
        let what = format!("the route {name} takes no request");
        let expected = format!("{before} stands before it and takes all of its requests");
        diagnostics.push(
            Diagnostic::at(names.place(late), what, expected).with_related(names.place(early), "this one"),
        );
    }
}

/// Pools that no route leads to.
fn unreached(diagnostics: &mut Diagnostics<'_>, routes: &[Route], pools: &Index) {
    let mut reached = vec![false; pools.len()];
    for pool in routes.iter().flat_map(|r| &r.pools) {
        if let Some(reached) = reached.get_mut(pool.0 as usize) {
            *reached = true;
        }
    }
    for (number, name) in pools.in_order().enumerate().filter(|(n, _)| !reached[*n]) {
        let what = format!("no route leads to the pool {}", quoted(name));
        diagnostics.push(Diagnostic::at(pools.place(number), what, "expected it in the `pools` of a route"));
    }
}
