//! Measures the time to find a request's route among 1 to 1,000 routes, and the time to find shadowed routes.
//! Run with `cargo bench -p shaletide-routing`.

use shaletide_routing::*;
use shaletide_types::*;
use std::hint::black_box;
use std::time::{Duration, Instant};

const TENANTS: usize = 10_000;

fn route(at: usize, route_match: RouteMatch) -> Route {
    Route {
        name: format!("r{at}"),
        conditions: route_match,
        pools: vec![PoolId(0)],
        response_rules: ResponseRules::operator_default(),
    }
}

/// A table with all kinds of condition, spread over the routes. The last route takes every request.
fn table(routes: usize) -> RouteTable {
    let class = |at: usize| vec![ClassId(at % 8)];
    let route_match_at = |at: usize| match at % 5 {
        0 => {
            RouteMatch { classes: class(at), tenants: vec![TenantId(at % TENANTS)], ..RouteMatch::default() }
        }
        1 => RouteMatch { deduplication_groups: vec![format!("b{at}")], ..RouteMatch::default() },
        2 => RouteMatch { path_prefix: Some(format!("/api/v{}/r{at}", at % 3)), ..RouteMatch::default() },
        3 => {
            let headers = vec![HeaderMatch { name: "x-canary".into(), value: Some(format!("c{at}")) }];
            RouteMatch { classes: class(at), headers, ..RouteMatch::default() }
        }
        _ => {
            RouteMatch { zones: vec![format!("z{at}")], methods: vec!["GET".into()], ..RouteMatch::default() }
        }
    };
    let mut all: Vec<Route> = (0..routes - 1).map(|at| route(at, route_match_at(at))).collect();
    all.push(route(routes - 1, RouteMatch::default()));
    RouteTable::new(all)
}

/// A table whose routes each name 64 classes and 9,990 of 10,000 tenants: an index of pairs of values would not fit into
/// memory.
fn broad_table(routes: usize) -> RouteTable {
    let route_match = |at: usize| RouteMatch {
        classes: (0..64).map(ClassId).collect(),
        tenants: (0..TENANTS).filter(|t| t % 1_000 != at % 1_000).map(TenantId).collect(),
        ..RouteMatch::default()
    };
    RouteTable::new((0..routes).map(|at| route(at, route_match(at))).collect())
}

fn time_once(work: impl FnOnce()) -> Duration {
    let started_at = Instant::now();
    work();
    started_at.elapsed()
}

/// Returns the time of one call in nanoseconds, as the best of five rounds.
fn per_call(mut call: impl FnMut()) -> f64 {
    const CALLS: u32 = 200_000;
    let round = |_| time_once(|| (0..CALLS).for_each(|_| call())).as_secs_f64() * 1e9 / f64::from(CALLS);
    (0..5).map(round).fold(f64::INFINITY, f64::min)
}

fn lookup_ns(table: &RouteTable) -> f64 {
    let header = |name: &str| (name == "x-canary").then_some("none");
    let request = RequestAttributes {
        class: ClassId(3),
        tenant: Some(TenantId(77)),
        zone: "a",
        deduplication_group: Some("b"),
        path: "/api/v1/other/k7",
        method: "GET",
        header: &header,
    };
    per_call(|| assert!(black_box(table).find(black_box(&request)).is_some()))
}

fn main() {
    for routes in [1, 10, 200, 1_000] {
        let table = table(routes);
        let shadowed = time_once(|| assert!(black_box(table.shadowed()).is_empty()));
        println!("{routes:5} routes: lookup {:6.0} ns, shadowed {shadowed:?}", lookup_ns(&table));
    }
    let mut built = None;
    let build = time_once(|| built = Some(broad_table(1_000)));
    let table = built.expect("just built");
    let shadowed = time_once(|| assert!(black_box(table.shadowed()).is_empty()));
    let several = time_once(|| drop(black_box(table.shadowed_by_several())));
    println!("1,000 routes of 64 classes and 9,990 tenants: built in {build:?}, shadowed {shadowed:?}, by several {several:?}");
    println!("  lookup {:.0} ns", lookup_ns(&table));
}
