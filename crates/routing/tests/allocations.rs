//! Checks that finding a route allocates no memory.

mod common;
use common::*;
use shaletide_routing::*;
use shaletide_types::*;

#[test]
fn finding_a_route_allocates_nothing() {
    let route_match = |at: usize| RouteMatch {
        classes: vec![ClassId(at % 3)],
        tenants: vec![TenantId(at)],
        path_prefix: Some(format!("/a/r{at}")),
        headers: vec![header("x-canary", None), header("x-beta", Some("1"))],
        ..RouteMatch::default()
    };
    let table = table((0..200).map(route_match).chain([RouteMatch::default()]));
    let path = "/a/r7/k".to_string();
    let request = Request { class: 1, tenant: Some(7), path, ..Request::default() };
    request.with_attributes(|attributes| {
        let used = allocation_counter::measure(|| assert_eq!(table.find(attributes), Some(RouteId(200))));
        assert_eq!(used.count_total, 0);
    });
}
