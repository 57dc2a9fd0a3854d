//! The classification of responses.

use super::*;

fn set(ranges: &[(u16, u16)]) -> StatusSet {
    let mut set = StatusSet::empty();
    ranges.iter().for_each(|(first, last)| set.add(*first, *last));
    set
}

#[test]
fn status_set_holds_added_statuses_from_100_to_599_only() {
    let mut statuses = set(&[(0, 101), (204, 204), (300, 250), (598, 700)]);
    let held: Vec<u16> = (0..=u16::MAX).filter(|s| statuses.contains(*s)).collect();
    assert_eq!(held, [100, 101, 204, 598, 599]);
    [204, 205, 0, 99, 600, u16::MAX].into_iter().for_each(|s| statuses.remove(s));
    assert!(!statuses.contains(204) && statuses.contains(100) && statuses.contains(599));
    assert_eq!(format!("{statuses:?}"), "{100, 101, 598, 599}");
}

#[test]
fn default_rules_serve_all_final_statuses_but_five() {
    let rules = ResponseRules::operator_default();
    let not_served: Vec<u16> =
        (200..600).filter(|s| rules.classify(*s, |_| None) != ResponseClass::Served).collect();
    assert_eq!(not_served, [429, 500, 502, 503, 504]);
    assert_eq!(rules.error_responses, ErrorResponses::Forward);
}

#[test]
fn status_below_200_is_an_error() {
    let proof = NotExecutedProof { status: 103, header: "x-unprocessed".into(), value: None };
    let response_rules = ResponseRules {
        served: set(&[(100, 599)]),
        not_executed: vec![proof],
        ..ResponseRules::operator_default()
    };
    assert!((0..200).all(|s| response_rules.classify(s, |_| Some("1")) == ResponseClass::Error));
    assert_eq!(response_rules.classify(200, |_| None), ResponseClass::Served);
}

#[test]
fn platform_rules_serve_200_and_take_header_on_503_and_504_as_proof() {
    let platform = ResponseRules::platform();
    let header = |value: &'static str| move |name: &str| (name == "x-unprocessed").then_some(value);
    assert_eq!(platform.classify(200, header("1")), ResponseClass::Served);
    assert_eq!(platform.classify(201, |_| None), ResponseClass::Error);
    assert_eq!(platform.classify(500, header("1")), ResponseClass::Error);
    for status in [503, 504] {
        assert_eq!(
            platform.classify(status, header(" 1\t")),
            ResponseClass::NotExecuted,
            "the value is trimmed"
        );
        assert_eq!(platform.classify(status, header("11")), ResponseClass::Error);
        assert_eq!(platform.classify(status, header("")), ResponseClass::Error);
        assert_eq!(platform.classify(status, |_| None), ResponseClass::Error);
    }
}

#[test]
fn proof_comes_before_served_and_may_take_any_value() {
    let proof = NotExecutedProof { status: 404, header: "x-later".into(), value: None };
    let response_rules = ResponseRules { not_executed: vec![proof], ..ResponseRules::operator_default() };
    assert_eq!(
        response_rules.classify(404, |name| (name == "x-later").then_some("")),
        ResponseClass::NotExecuted
    );
    assert_eq!(response_rules.classify(404, |_| None), ResponseClass::Served);
}
