//! Whether one request meets the conditions of one route.

mod common;
use common::*;
use shaletide_routing::*;
use shaletide_types::*;

fn get_request() -> Request {
    let headers = vec![("x-canary".to_string(), "blue".to_string())];
    Request {
        class: 1,
        tenant: Some(2),
        zone: "a".into(),
        group: Some("b1".into()),
        path: "/read/k7".into(),
        method: "GET".into(),
        headers,
    }
}

fn mismatch_of(route_match: RouteMatch, request: &Request) -> Option<Mismatch> {
    request.with_attributes(|attributes| route_match.mismatch(attributes))
}

#[test]
fn match_without_conditions_takes_every_request() {
    assert_eq!(mismatch_of(RouteMatch::default(), &get_request()), None);
    assert_eq!(mismatch_of(RouteMatch::default(), &Request::default()), None);
}

#[test]
fn failed_condition_is_named_as_mismatch() {
    let strings = |list: &[&str]| list.iter().map(|t| t.to_string()).collect::<Vec<_>>();
    let cases = [
        (RouteMatch { classes: vec![ClassId(0), ClassId(3)], ..RouteMatch::default() }, Mismatch::Class),
        (RouteMatch { tenants: vec![TenantId(1)], ..RouteMatch::default() }, Mismatch::Tenant),
        (RouteMatch { zones: strings(&["b", "c"]), ..RouteMatch::default() }, Mismatch::Zone),
        (
            RouteMatch { deduplication_groups: strings(&["b2"]), ..RouteMatch::default() },
            Mismatch::DeduplicationGroup,
        ),
        (RouteMatch { path_prefix: Some("/write".into()), ..RouteMatch::default() }, Mismatch::Path),
        (RouteMatch { methods: strings(&["POST", "get"]), ..RouteMatch::default() }, Mismatch::Method),
        (
            RouteMatch { headers: vec![header("x-canary", Some("green"))], ..RouteMatch::default() },
            Mismatch::Header(0),
        ),
        (
            RouteMatch {
                headers: vec![header("x-canary", None), header("x-other", None)],
                ..RouteMatch::default()
            },
            Mismatch::Header(1),
        ),
    ];
    for (route_match, reason) in cases {
        assert_eq!(mismatch_of(route_match.clone(), &get_request()), Some(reason), "{route_match:?}");
        let found =
            get_request().with_attributes(|attributes| table([route_match.clone()]).explain(attributes));
        assert_eq!(found, (vec![(RouteId(0), reason)], None));
    }
}

#[test]
fn request_meeting_all_conditions_matches_and_first_failure_is_named() {
    let all = RouteMatch {
        classes: vec![ClassId(0), ClassId(1)],
        tenants: vec![TenantId(2)],
        zones: vec!["a".into()],
        deduplication_groups: vec!["b0".into(), "b1".into()],
        path_prefix: Some("/read".into()),
        methods: vec!["GET".into()],
        headers: vec![header("x-canary", Some("blue")), header("x-canary", None)],
    };
    assert_eq!(mismatch_of(all.clone(), &get_request()), None);
    let other = RouteMatch { classes: vec![ClassId(0)], tenants: vec![TenantId(0)], ..all };
    assert_eq!(mismatch_of(other, &get_request()), Some(Mismatch::Class), "class comes before tenant");
}

#[test]
fn request_without_tenant_or_group_does_not_match_named_ones() {
    let without = Request { tenant: None, group: None, ..get_request() };
    let tenants = RouteMatch { tenants: vec![TenantId(0)], ..RouteMatch::default() };
    let groups = RouteMatch { deduplication_groups: vec!["".into()], ..RouteMatch::default() };
    assert_eq!(mismatch_of(tenants, &without), Some(Mismatch::Tenant));
    assert_eq!(mismatch_of(groups, &without), Some(Mismatch::DeduplicationGroup));
}

#[test]
fn path_prefix_matches_whole_segments() {
    let is_taken = |prefix: &str, path: &str| {
        let route_match = RouteMatch { path_prefix: Some(prefix.into()), ..RouteMatch::default() };
        let request = Request { path: path.into(), ..get_request() };
        let is_match = mismatch_of(route_match.clone(), &request).is_none();
        assert_eq!(
            is_match,
            request.with_attributes(|attributes| table([route_match]).find(attributes).is_some()),
            "{prefix} {path}"
        );
        is_match
    };
    for prefix in ["/read", "/read/"] {
        assert!(
            is_taken(prefix, "/read") && is_taken(prefix, "/read/") && is_taken(prefix, "/read/k/l"),
            "{prefix}"
        );
        assert!(
            !is_taken(prefix, "/reader") && !is_taken(prefix, "/rea") && !is_taken(prefix, "/"),
            "{prefix}"
        );
        assert!(!is_taken(prefix, "/x/read") && !is_taken(prefix, ""), "{prefix}");
    }
    for prefix in ["/", ""] {
        assert!(
            is_taken(prefix, "/")
                && is_taken(prefix, "/read")
                && is_taken(prefix, "")
                && is_taken(prefix, "*")
        );
    }
    assert!(is_taken("/a/b", "/a/b/c") && !is_taken("/a/b", "/a") && !is_taken("/a/b", "/a/bc"));
    assert!(is_taken("/ä", "/ä/ö") && !is_taken("/a", "/ä"));
}
