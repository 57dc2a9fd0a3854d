//! Builds the responses that the proxy generates, and selects the final response: a generated one or a backend's.

use crate::request_error::RequestError;
use crate::rules::Rules;
use crate::upstream::{BackendResponse, ForwardedRequest};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use shaletide_balancer::Micros;
use shaletide_net::FinalResponse;
use shaletide_record::{KeyConflict, KeyDecision};
use shaletide_routing::{client_response, ClientResponse, FinalDecision};

/// Returns the response to a request that the record does not allow to be sent.
pub(crate) fn key_decision_response(
    rules: &Rules, decision: KeyDecision,
) -> Result<Response<Full<Bytes>>, RequestError> {
    match decision {
        KeyDecision::Reject(after) => Ok(rejection(rules, after)),
        KeyDecision::Conflict(conflict) => Ok(key_conflict(conflict)),
        KeyDecision::KeyRequired | KeyDecision::Proceed { .. } => Err(RequestError::InvalidKey),
        KeyDecision::KeyTooLong => Err(RequestError::KeyTooLong),
    }
}

/// Returns 409 for a request that is not sent to any backend because of its key.
fn key_conflict(conflict: KeyConflict) -> Response<Full<Bytes>> {
    let text = match conflict {
        KeyConflict::InFlight => "a request of this key is under way\n",
        KeyConflict::InDoubt => "a request of this key may have run; an operator has to say whether it did\n",
        KeyConflict::Served => "a request of this key was served\n",
    };
    text_response(StatusCode::CONFLICT, text)
}

/// Returns 503 with `Retry-After` for a request that was not executed.
pub(crate) fn rejection(rules: &Rules, after: Micros) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Ok(retry_after) = HeaderValue::try_from(rules.retry_after(after)) {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

/// Returns the response to a request that the driver has answered.
pub(crate) fn final_response(
    rules: &Rules, answer: FinalResponse, forwarded: &ForwardedRequest, is_safe: bool,
) -> Response<Full<Bytes>> {
    if let (Some(conflict), FinalDecision::Rejected(_)) = (answer.key_conflict, answer.decision) {
        return key_conflict(conflict);
    }
    let (last, backend_response) = answer.attempt.and_then(|attempt| forwarded.take(attempt)).unzip();
    let error_responses = forwarded.response_rules.error_responses;
    match client_response(answer.decision, error_responses, is_safe, last) {
        ClientResponse::Forward => match backend_response {
            Some(response) => forward(response),
            None => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
        },
        ClientResponse::Reject(after) => rejection(rules, after),
        ClientResponse::GatewayTimeout => text_response(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        ClientResponse::BadGateway => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

fn forward(backend_response: BackendResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(backend_response.body));
    *response.status_mut() = backend_response.status;
    *response.headers_mut() = backend_response.headers;
    response
}

/// Returns a response with a text body.
pub(crate) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
