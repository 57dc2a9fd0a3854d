//! Compares the index with a linear search, and checks which routes are reported as shadowed.

mod common;
use common::*;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use shaletide_routing::*;
use shaletide_types::*;

const ZONES: [&str; 3] = ["a", "b", "c"];
const GROUPS: [&str; 3] = ["", "b1", "b2"];
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];
const HEADERS: [&str; 3] = ["x-canary", "x-beta", "x-rare"];
const VALUES: [&str; 3] = ["", "1", "2"];
const PATHS: [&str; 12] =
    ["", "/", "//", "*", "/a", "/a/", "/a//", "/a/b", "/a/b/c", "/ab", "/b", "/a/b/c/d"];

fn names_from(from: &'static [&'static str], at_most: usize) -> impl Strategy<Value = Vec<String>> {
    let named = vec(proptest::sample::select(from).prop_map(String::from), 0..=at_most);
    prop_oneof![3 => Just(Vec::new()), 1 => named]
}

fn numbers(below: usize) -> impl Strategy<Value = Vec<usize>> {
    prop_oneof![1 => Just(Vec::new()), 1 => vec(0..below, 0..4)]
}

fn header_match() -> impl Strategy<Value = HeaderMatch> {
    let value = option::of(proptest::sample::select(&VALUES[..]));
    (proptest::sample::select(&HEADERS[..]), value).prop_map(|(name, value)| header(name, value))
}

fn conditions() -> impl Strategy<Value = RouteMatch> {
    let ids = (numbers(4), numbers(5));
    let texts = (names_from(&ZONES, 3), names_from(&GROUPS, 2), names_from(&METHODS, 3));
    let path = prop_oneof![2 => Just(None), 1 => proptest::sample::select(&PATHS[..]).prop_map(Some)];
    let headers = prop_oneof![2 => Just(Vec::new()), 1 => vec(header_match(), 0..3)];
    (ids, texts, path, headers).prop_map(|((classes, tenants), (zones, groups, methods), path, headers)| {
        RouteMatch {
            classes: classes.into_iter().map(ClassId).collect(),
            tenants: tenants.into_iter().map(TenantId).collect(),
            zones,
            deduplication_groups: groups,
            path_prefix: path.map(String::from),
            methods,
            headers,
        }
    })
}

fn text(from: &'static [&'static str]) -> impl Strategy<Value = String> {
    prop_oneof![9 => proptest::sample::select(from).prop_map(String::from), 1 => Just("other".to_string())]
}

fn request() -> impl Strategy<Value = Request> {
    let headers = vec((text(&HEADERS), text(&VALUES)), 0..3);
    let ids = (0..5usize, option::of(0..6usize));
    let texts = (text(&ZONES), option::of(text(&GROUPS)), text(&PATHS), text(&METHODS));
    (ids, texts, headers).prop_map(|((class, tenant), (zone, group, path, method), headers)| Request {
        class,
        tenant,
        zone,
        group,
        path,
        method,
        headers,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn index_and_linear_search_find_the_same_route(routes in vec(conditions(), 0..140), requests in vec(request(), 40)) {
        let table = table(routes.clone());
        for request in requests {
            request.with_attributes(|attributes| {
                let linear = routes.iter().position(|route_match| route_match.mismatch(attributes).is_none()).map(RouteId);
                prop_assert_eq!(table.find(attributes), linear);
                let (mismatches, found) = table.explain(attributes);
                prop_assert_eq!(found, linear);
                prop_assert_eq!(mismatches.len(), linear.map_or(routes.len(), |id| id.0));
                Ok(())
            })?;
        }
    }

    #[test]
    fn shadowed_route_is_never_found(routes in vec(conditions(), 0..40), requests in vec(request(), 200)) {
        let table = table(routes.clone());
        let (shadowed_routes, several) = (table.shadowed(), table.shadowed_by_several());
        for (route, by) in &shadowed_routes {
            let first = routes[..route.0].iter().position(|e| e.covers(&routes[route.0]));
            prop_assert_eq!(first, Some(by.0));
        }
        let covered = |at: usize| routes[..at].iter().any(|e| e.covers(&routes[at]));
        prop_assert_eq!(shadowed_routes.len(), (0..routes.len()).filter(|at| covered(*at)).count());
        for (route, by) in &several {
            prop_assert!(by.len() > 1 && by.iter().all(|e| e < route));
            prop_assert!(shadowed_routes.iter().all(|(alone, _)| alone != route));
        }
        for request in requests {
            let found = request.with_attributes(|attributes| table.find(attributes));
            prop_assert!(shadowed_routes.iter().all(|(route, _)| Some(*route) != found));
            prop_assert!(several.iter().all(|(route, _)| Some(*route) != found));
        }
    }

    /// Compares pairs of routes: in a table of many routes most requests would go to a third one.
    #[test]
    fn covering_match_takes_every_request_of_the_covered_one(
        a in conditions(), b in conditions(), requests in vec(request(), 200),
    ) {
        for request in requests {
            let (by_a, by_b) = request.with_attributes(|r| (a.mismatch(r).is_none(), b.mismatch(r).is_none()));
            prop_assert!(!a.covers(&b) || by_a || !by_b);
            prop_assert!(!b.covers(&a) || by_b || !by_a);
        }
    }
}

fn classes(ids: &[usize]) -> RouteMatch {
    RouteMatch { classes: ids.iter().copied().map(ClassId).collect(), ..RouteMatch::default() }
}

#[test]
fn wider_route_shadows_later_narrower_one_only() {
    let narrow = RouteMatch { path_prefix: Some("/a/b/".into()), ..classes(&[1]) };
    let wide = RouteMatch { path_prefix: Some("/a".into()), ..classes(&[0, 1]) };
    assert_eq!(table([wide.clone(), narrow.clone()]).shadowed(), [(RouteId(1), RouteId(0))]);
    assert_eq!(table([narrow, wide]).shadowed(), []);
    assert_eq!(table([classes(&[]), classes(&[2])]).shadowed(), [(RouteId(1), RouteId(0))]);
    let root = RouteMatch { path_prefix: Some("/".into()), ..RouteMatch::default() };
    assert_eq!(
        table([root, RouteMatch::default()]).shadowed(),
        [(RouteId(1), RouteId(0))],
        "/ takes every path"
    );
}

#[test]
fn route_with_fewer_headers_shadows_route_with_more() {
    let with = |value| RouteMatch { headers: vec![header("x-canary", value)], ..RouteMatch::default() };
    assert_eq!(table([with(None), RouteMatch::default()]).shadowed(), []);
    assert_eq!(
        table([with(Some("1")), with(None), with(Some("1")), with(Some("2"))]).shadowed(),
        [(RouteId(2), RouteId(0)), (RouteId(3), RouteId(1)),]
    );
}

#[test]
fn several_routes_together_shadow_a_route_whose_values_they_share() {
    let routes = [classes(&[0]), classes(&[1, 2]), classes(&[0, 2]), classes(&[0, 3])];
    let table = table(routes);
    assert_eq!(table.shadowed(), []);
    assert_eq!(table.shadowed_by_several(), [(RouteId(2), vec![RouteId(0), RouteId(1)])]);
}

#[test]
fn empty_table_finds_no_route() {
    let empty = table([]);
    Request::default().with_attributes(|attributes| {
        assert_eq!((empty.find(attributes), empty.explain(attributes)), (None, (vec![], None)))
    });
    assert!(
        empty.shadowed().is_empty()
            && empty.shadowed_by_several().is_empty()
            && empty.get(RouteId(0)).is_none()
    );
}
