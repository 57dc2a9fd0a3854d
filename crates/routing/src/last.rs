//! What the client gets at the end of a request: a backend's answer unchanged or the proxy's own words.

use crate::ErrorResponses;
use shaletide_types::Micros;

/// The decision module's last word on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// An attempt was served.
    Served,
    /// Every attempt is known not to have run, or running it again does no harm; with the time after which
    /// the client had better come again.
    Rejected(Micros),
    /// Given up; an attempt may have run.
    Failed,
    /// Its time was up.
    TimedOut,
}

/// The answer, not a served one, in which the last attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastResponse {
    /// Its status.
    pub status: u16,
    /// It proves that this attempt was not executed; else it is an error.
    pub not_executed: bool,
}

/// What the client gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// The backend's answer, unchanged.
    Forward,
    /// The proxy's own 503, with this time in `Retry-After`.
    Reject(Micros),
    /// The proxy's own 502.
    BadGateway,
    /// The proxy's own 504.
    GatewayTimeout,
}

/// Decides what the client gets. `safe`: a second run of its class does nothing. `last` is how the last
/// attempt ended, if in an answer.
///
/// A served answer passes, a request whose time is up gets a 504 (an older answer is not its end), and
/// without an answer, or under [`Errors::OwnWords`], a refusal is the proxy's 503 and a failure its 502.
/// Else:
///
/// | last answer                | refused, safe | refused, other | failed, safe | failed, other |
/// |----------------------------|---------------|----------------|--------------|---------------|
/// | 429 or 503, was not executed      | passes        | passes         | passes       | 502           |
/// | 429 or 503, error          | passes        | 502            | passes       | 502           |
/// | other from 400, was not executed  | passes        | own 503        | passes       | passes        |
/// | below 400, was not executed       | own 503       | own 503        | 502          | 502           |
/// | any other, error           | passes        | passes         | passes       | passes        |
///
/// So a client sees 429 or 503 only where coming again does no harm (a safe class, or proof), and nothing that reads like success for
/// what was not executed.
pub fn client_response(
    decision: Decision, errors: ErrorResponses, safe: bool, last: Option<LastResponse>,
) -> ClientResponse {
    let own = match decision {
        Decision::Served => return ClientResponse::Forward,
        Decision::TimedOut => return ClientResponse::GatewayTimeout,
        Decision::Rejected(after) => ClientResponse::Reject(after),
        Decision::Failed => ClientResponse::BadGateway,
    };
    let Some(last) = last.filter(|_| errors == ErrorResponses::Forward) else { return own };
    let refused = matches!(decision, Decision::Rejected(_));
    let says_harmless = matches!(last.status, 429 | 503);
    match last.not_executed {
        true if says_harmless && (refused || safe) => ClientResponse::Forward,
        true if says_harmless => ClientResponse::BadGateway,
        // The status does not say what the refusal has to say.
        true if last.status < 400 || refused && !safe => own,
        false if says_harmless && !safe => ClientResponse::BadGateway,
        _ => ClientResponse::Forward,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AFTER: Micros = Micros(70_000);
    const OWN_503: ClientResponse = ClientResponse::Reject(AFTER);

    fn all_answers() -> Vec<Option<LastResponse>> {
        let answer = |status| [true, false].map(|not_executed| Some(LastResponse { status, not_executed }));
        [200, 204, 302, 404, 429, 500, 502, 503, 504].into_iter().flat_map(answer).chain([None]).collect()
    }

    #[test]
    fn a_served_answer_passes_and_a_late_request_gets_a_504_whatever_came_before() {
        for last in all_answers() {
            for (errors, safe) in [
                (ErrorResponses::Forward, true),
                (ErrorResponses::Forward, false),
                (ErrorResponses::Replace, true),
            ] {
                assert_eq!(client_response(Decision::Served, errors, safe, last), ClientResponse::Forward);
                assert_eq!(
                    client_response(Decision::TimedOut, errors, safe, last),
                    ClientResponse::GatewayTimeout
                );
            }
        }
    }

    #[test]
    fn in_its_own_words_the_proxy_passes_on_no_error() {
        for last in all_answers() {
            for safe in [true, false] {
                assert_eq!(
                    client_response(Decision::Rejected(AFTER), ErrorResponses::Replace, safe, last),
                    OWN_503
                );
                assert_eq!(
                    client_response(Decision::Failed, ErrorResponses::Replace, safe, last),
                    ClientResponse::BadGateway
                );
            }
        }
    }

    #[test]
    fn without_an_answer_there_is_nothing_to_pass_on() {
        for safe in [true, false] {
            assert_eq!(
                client_response(Decision::Rejected(AFTER), ErrorResponses::Forward, safe, None),
                OWN_503
            );
            assert_eq!(
                client_response(Decision::Failed, ErrorResponses::Forward, safe, None),
                ClientResponse::BadGateway
            );
        }
    }

    #[test]
    fn answers_as_they_are_follow_the_table() {
        use ClientResponse::{BadGateway, Forward};
        let rows: [(&[u16], bool, [ClientResponse; 4]); 5] = [
            (&[429, 503], true, [Forward, Forward, Forward, BadGateway]),
            (&[429, 503], false, [Forward, BadGateway, Forward, BadGateway]),
            (&[400, 404, 500, 502, 504, 599], true, [Forward, OWN_503, Forward, Forward]),
            (&[200, 204, 302, 399], true, [OWN_503, OWN_503, BadGateway, BadGateway]),
            (&[200, 204, 302, 399, 400, 404, 500, 502, 504, 599], false, [Forward; 4]),
        ];
        for (statuses, not_executed, cells) in rows {
            for status in statuses {
                let last = Some(LastResponse { status: *status, not_executed });
                let refused = Decision::Rejected(AFTER);
                let each =
                    [(refused, true), (refused, false), (Decision::Failed, true), (Decision::Failed, false)];
                let got = each
                    .map(|(decision, safe)| client_response(decision, ErrorResponses::Forward, safe, last));
                assert_eq!(got, cells, "{last:?}");
            }
        }
    }

    #[test]
    fn a_429_or_503_reaches_a_client_only_where_coming_again_does_no_harm() {
        for last in all_answers().into_iter().flatten().filter(|last| matches!(last.status, 429 | 503)) {
            for (decision, safe) in [(Decision::Failed, false), (Decision::Failed, true)] {
                let passed = client_response(decision, ErrorResponses::Forward, safe, Some(last))
                    == ClientResponse::Forward;
                assert!(!passed || safe, "{last:?}");
            }
        }
    }
}
