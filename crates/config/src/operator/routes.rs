//! Routes, and what must hold between them and the pools.

use super::names::Index;
use super::request;
use crate::desk::{quoted, Desk};
use crate::report::Finding;
use crate::schema::{ANSWERS, HEADER};
use crate::section::{File, Section};
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
pub(super) fn routes(desk: &mut Desk<'_>, file: &File<'_, '_>, known: &Known<'_>) -> Vec<Route> {
    let (sections, all) = file.list(desk, "route", ROUTES);
    let names = Index::read(desk, "route", &sections, all);
    if sections.is_empty() {
        let pools = (0..known.pools.len()).map(|n| PoolId(n as u32)).collect();
        let (when, answers) = (Match::default(), known.answers.clone());
        return vec![Route { name: "default".into(), when, pools, answers }];
    }
    let mut sound = Vec::new();
    let mut routes = Vec::new();
    let mut left = CONDITIONS;
    for (section, name) in sections.iter().zip(names.in_order()) {
        let (when, good) = conditions(desk, section, known);
        let asked =
            when.classes.len() + when.tenants.len() + when.zones.len() + when.deduplication_groups.len();
        if asked > left {
            let expected = format!("expected at most {CONDITIONS} names in the conditions of all routes");
            desk.add(Finding::at(section.at.clone(), "too many names in the conditions of routes", expected));
            return Vec::new();
        }
        left -= asked;
        let (pools, whole) = numbers(desk, section, "pools", known.pools, |n| PoolId(n as u32));
        let answers = own_answers(desk, section, known.answers);
        routes.push(Route { name: name.to_string(), when, pools, answers });
        sound.push(good && whole);
    }
    hidden(desk, &routes, &sound, &names);
    if all && sound.iter().all(|s| *s) {
        unreached(desk, &routes, known.pools);
    }
    routes
}

/// What it takes, and whether all of it was right.
fn conditions(desk: &mut Desk<'_>, section: &Section<'_, '_>, known: &Known<'_>) -> (Match, bool) {
    let (classes, c) = numbers(desk, section, "class", known.classes, ClassId);
    let (tenants, t) = numbers(desk, section, "tenant", known.tenants, TenantId);
    let zones = section.listed(desk, "zone", values::name);
    let bays = section.listed(desk, "bay", values::bay);
    let methods = section.listed(desk, "method", values::method);
    let path = section.read(desk, "path", values::path);
    let (headers, h) = headers(desk, section);
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
    desk: &mut Desk<'_>, section: &Section<'_, '_>, key: &str, index: &Index, number: fn(usize) -> T,
) -> (Vec<T>, bool) {
    let path = section.path(key);
    // Any text: what is no name at all is not found either.
    let listed = section.listed(desk, key, |_, value| values::text(value).map(String::from));
    let asked = listed.items.len();
    let found = listed.items.into_iter().filter_map(|(name, at)| index.find(desk, &path, &name, at));
    let found: Vec<T> = found.map(number).collect();
    let sound = listed.sound && found.len() == asked;
    (found, sound)
}

fn headers(desk: &mut Desk<'_>, section: &Section<'_, '_>) -> (Vec<HeaderMatch>, bool) {
    let (tables, mut sound) = section.tables(desk, "header", &HEADER);
    let (mut found, mut names) = (Vec::new(), Vec::new());
    for table in &tables {
        let (name, value) =
            (table.read(desk, "name", values::header), table.read(desk, "value", values::header_value));
        sound &= name.value.is_some() && !value.is_wrong();
        if let Some(name) = name.value {
            names.push((name.clone(), name_place(table)));
            found.push(HeaderMatch { name, value: value.value });
        }
    }
    let what = |name: &String| format!("route.header: the header {} stands twice", quoted(name));
    desk.twice(names, what, "expected each header once");
    (found, sound)
}

fn name_place(table: &Section<'_, '_>) -> std::ops::Range<usize> {
    table.raw("name").map_or(table.at.clone(), |(_, at)| at)
}

fn own_answers(desk: &mut Desk<'_>, section: &Section<'_, '_>, base: &ResponseRules) -> ResponseRules {
    match section.raw("answers") {
        Some((DeValue::Table(table), at)) => {
            let own = Section::open(desk, &ANSWERS, table, at);
            request::answers(desk, &own, base)
        }
        Some((other, at)) => {
            section.wrong(desk, "answers", at, &format!("{} does not fit here", values::describe(other)));
            base.clone()
        }
        None => base.clone(),
    }
}

/// Routes that no request can reach; those with something wrong are left out, as nobody knows what they take.
fn hidden(desk: &mut Desk<'_>, routes: &[Route], sound: &[bool], names: &Index) {
    let known: Vec<usize> = (0..routes.len()).filter(|n| sound[*n]).collect();
    let table = RouteTable::new(known.iter().map(|n| routes[*n].clone()).collect());
    for (late, early) in table.shadowed() {
        let (late, early) = (known[late.0], known[early.0]);
        let (name, before) = (quoted(&routes[late].name), quoted(&routes[early].name));
        let what = format!("the route {name} takes no request");
        let expected = format!("{before} stands before it and takes all of its requests");
        desk.add(Finding::at(names.place(late), what, expected).also(names.place(early), "this one"));
    }
}

/// Pools that no route leads to.
fn unreached(desk: &mut Desk<'_>, routes: &[Route], pools: &Index) {
    let mut reached = vec![false; pools.len()];
    for pool in routes.iter().flat_map(|r| &r.pools) {
        if let Some(reached) = reached.get_mut(pool.0 as usize) {
            *reached = true;
        }
    }
    for (number, name) in pools.in_order().enumerate().filter(|(n, _)| !reached[*n]) {
        let what = format!("no route leads to the pool {}", quoted(name));
        desk.add(Finding::at(pools.place(number), what, "expected it in the `pools` of a route"));
    }
}
