//! One route and one request.

mod common;
use common::*;
use shaletide_routing::*;
use shaletide_types::*;

fn get() -> Request {
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

fn why(when: RouteMatch, request: &Request) -> Option<Mismatch> {
    request.with_attributes(|attributes| when.mismatch(attributes))
}

#[test]
fn match_without_conditions_takes_every_request() {
    assert_eq!(why(RouteMatch::default(), &get()), None);
    assert_eq!(why(RouteMatch::default(), &Request::default()), None);
}

#[test]
fn failed_condition_is_named_as_mismatch() {
    let texts = |list: &[&str]| list.iter().map(|t| t.to_string()).collect::<Vec<_>>();
    let cases = [
        (RouteMatch { classes: vec![ClassId(0), ClassId(3)], ..RouteMatch::default() }, Mismatch::Class),
        (RouteMatch { tenants: vec![TenantId(1)], ..RouteMatch::default() }, Mismatch::Tenant),
        (RouteMatch { zones: texts(&["b", "c"]), ..RouteMatch::default() }, Mismatch::Zone),
        (
            RouteMatch { deduplication_groups: texts(&["b2"]), ..RouteMatch::default() },
            Mismatch::DeduplicationGroup,
        ),
        (RouteMatch { path_prefix: Some("/write".into()), ..RouteMatch::default() }, Mismatch::Path),
        (RouteMatch { methods: texts(&["POST", "get"]), ..RouteMatch::default() }, Mismatch::Method),
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
    for (when, reason) in cases {
        assert_eq!(why(when.clone(), &get()), Some(reason), "{when:?}");
        let found = get().with_attributes(|attributes| table([when.clone()]).explain(attributes));
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
    assert_eq!(why(all.clone(), &get()), None);
    let other = RouteMatch { classes: vec![ClassId(0)], tenants: vec![TenantId(0)], ..all };
    assert_eq!(why(other, &get()), Some(Mismatch::Class), "class comes before tenant");
}

#[test]
fn request_without_tenant_or_group_does_not_match_named_ones() {
    let without = Request { tenant: None, group: None, ..get() };
    let tenants = RouteMatch { tenants: vec![TenantId(0)], ..RouteMatch::default() };
    let groups = RouteMatch { deduplication_groups: vec!["".into()], ..RouteMatch::default() };
    assert_eq!(why(tenants, &without), Some(Mismatch::Tenant));
    assert_eq!(why(groups, &without), Some(Mismatch::DeduplicationGroup));
}

#[test]
fn path_prefix_matches_whole_segments() {
    let takes = |prefix: &str, path: &str| {
        let when = RouteMatch { path_prefix: Some(prefix.into()), ..RouteMatch::default() };
        let request = Request { path: path.into(), ..get() };
        let plain = why(when.clone(), &request).is_none();
        assert_eq!(
            plain,
            request.with_attributes(|attributes| table([when]).find(attributes).is_some()),
            "{prefix} {path}"
        );
        plain
    };
    for prefix in ["/read", "/read/"] {
        assert!(takes(prefix, "/read") && takes(prefix, "/read/") && takes(prefix, "/read/k/l"), "{prefix}");
        assert!(!takes(prefix, "/reader") && !takes(prefix, "/rea") && !takes(prefix, "/"), "{prefix}");
        assert!(!takes(prefix, "/x/read") && !takes(prefix, ""), "{prefix}");
    }
    for prefix in ["/", ""] {
        assert!(takes(prefix, "/") && takes(prefix, "/read") && takes(prefix, "") && takes(prefix, "*"));
    }
    assert!(takes("/a/b", "/a/b/c") && !takes("/a/b", "/a") && !takes("/a/b", "/a/bc"));
    assert!(takes("/ä", "/ä/ö") && !takes("/a", "/ä"));
}
