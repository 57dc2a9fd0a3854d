//! The client's response for each decision, rule and last response.

use super::*;

const RETRY_AFTER: Micros = Micros(70_000);
const OWN_503: ClientResponse = ClientResponse::Reject(RETRY_AFTER);

fn all_last_responses() -> Vec<Option<LastResponse>> {
    let response = |status| [true, false].map(|not_executed| Some(LastResponse { status, not_executed }));
    [200, 204, 302, 404, 429, 500, 502, 503, 504].into_iter().flat_map(response).chain([None]).collect()
}

#[test]
fn served_response_is_forwarded_and_timed_out_request_gets_504() {
    for last in all_last_responses() {
        for (errors, safe) in [
            (ErrorResponses::Forward, true),
            (ErrorResponses::Forward, false),
            (ErrorResponses::Replace, true),
        ] {
            assert_eq!(client_response(FinalDecision::Served, errors, safe, last), ClientResponse::Forward);
            assert_eq!(
                client_response(FinalDecision::TimedOut, errors, safe, last),
                ClientResponse::GatewayTimeout
            );
        }
    }
}

#[test]
fn errors_are_replaced_by_own_responses_under_replace() {
    for last in all_last_responses() {
        for safe in [true, false] {
            assert_eq!(
                client_response(FinalDecision::Rejected(RETRY_AFTER), ErrorResponses::Replace, safe, last),
                OWN_503
            );
            assert_eq!(
                client_response(FinalDecision::Failed, ErrorResponses::Replace, safe, last),
                ClientResponse::BadGateway
            );
        }
    }
}

#[test]
fn own_response_is_sent_without_a_last_response() {
    for safe in [true, false] {
        assert_eq!(
            client_response(FinalDecision::Rejected(RETRY_AFTER), ErrorResponses::Forward, safe, None),
            OWN_503
        );
        assert_eq!(
            client_response(FinalDecision::Failed, ErrorResponses::Forward, safe, None),
            ClientResponse::BadGateway
        );
    }
}

#[test]
fn last_response_is_forwarded_or_replaced_as_documented() {
    use ClientResponse::{BadGateway, Forward};
    let rows: [(&[u16], bool, [ClientResponse; 4]); 5] = [
        (&[429, 503], true, [Forward, Forward, Forward, BadGateway]),
        (&[429, 503], false, [Forward, BadGateway, Forward, BadGateway]),
        (&[400, 404, 500, 502, 504, 599], true, [Forward, OWN_503, Forward, Forward]),
        (&[200, 204, 302, 399], true, [OWN_503, OWN_503, BadGateway, BadGateway]),
        (&[200, 204, 302, 399, 400, 404, 500, 502, 504, 599], false, [Forward; 4]),
    ];
    for (statuses, not_executed, expected) in rows {
        for status in statuses {
            let last = Some(LastResponse { status: *status, not_executed });
            let rejected = FinalDecision::Rejected(RETRY_AFTER);
            let decisions = [
                (rejected, true),
                (rejected, false),
                (FinalDecision::Failed, true),
                (FinalDecision::Failed, false),
            ];
            let responses = decisions
                .map(|(decision, safe)| client_response(decision, ErrorResponses::Forward, safe, last));
            assert_eq!(responses, expected, "{last:?}");
        }
    }
}

#[test]
fn status_429_or_503_is_forwarded_only_where_a_retry_is_harmless() {
    for last in all_last_responses().into_iter().flatten().filter(|last| matches!(last.status, 429 | 503)) {
        for (decision, safe) in [(FinalDecision::Failed, false), (FinalDecision::Failed, true)] {
            let is_forwarded = client_response(decision, ErrorResponses::Forward, safe, Some(last))
                == ClientResponse::Forward;
            assert!(!is_forwarded || safe, "{last:?}");
        }
    }
}
