//! Responses that the proxy generates, and the choice between them and a backend's as the final response.

use crate::request_error::RequestError;
use crate::rules::Rules;
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use shaletide_balancer::Micros;
use shaletide_net::FinalResponse;
use shaletide_record::{KeyConflict, KeyDecision};
use shaletide_routing::{client_response, ClientResponse, Decision};

/// The response to a request that the record refuses.
pub(crate) fn record_rejection(
    rules: &Rules, verdict: KeyDecision,
) -> Result<Response<Full<Bytes>>, RequestError> {
    match verdict {
        KeyDecision::Reject(after) => Ok(rejection(rules, after)),
        KeyDecision::Conflict(conflict) => Ok(key_conflict(conflict)),
        KeyDecision::KeyRequired | KeyDecision::Proceed { .. } => Err(RequestError::InvalidKey),
        KeyDecision::KeyTooLong => Err(RequestError::KeyTooLong),
    }
}

/// 409 for a key that is not sent to any backend.
fn key_conflict(conflict: KeyConflict) -> Response<Full<Bytes>> {
    plain(
        StatusCode::CONFLICT,
        match conflict {
            KeyConflict::InFlight => "a request of this key is under way\n",
            KeyConflict::Doubt => {
                "a request of this key may have run; an operator has to say whether it did\n"
            }
            KeyConflict::Served => "a request of this key was served\n",
        },
    )
}

/// 503 with `Retry-After`.
pub(crate) fn rejection(rules: &Rules, after: Micros) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Ok(advice) = HeaderValue::try_from(rules.retry_after(after)) {
        response.headers_mut().insert(RETRY_AFTER, advice);
    }
    response
}

/// The response to a request that the driver has answered.
pub(crate) fn final_response(
    rules: &Rules, answer: FinalResponse, forwarded: &ForwardedRequest, safe: bool,
) -> Response<Full<Bytes>> {
    if let (Some(conflict), Decision::Rejected(_)) = (answer.conflict, answer.decision) {
        return key_conflict(conflict);
    }
    let (last, got) = answer.attempt.and_then(|attempt| forwarded.take(attempt)).unzip();
    match (client_response(answer.decision, forwarded.response_rules.error_responses, safe, last), got) {
        (ClientResponse::Forward, Some(got)) => {
            let mut response = Response::new(Full::new(got.body));
            *response.status_mut() = got.status;
            *response.headers_mut() = got.headers;
            response
        }
        (ClientResponse::Reject(after), _) => rejection(rules, after),
        (ClientResponse::GatewayTimeout, _) => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        (ClientResponse::BadGateway | ClientResponse::Forward, _) => {
            plain(StatusCode::BAD_GATEWAY, "failed\n")
        }
    }
}

/// A response with a text body.
pub(crate) fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
