//! Responses that the proxy generates, and the choice between them and a backend's as the final response.

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

/// The response to a request that the record does not let be sent.
pub(crate) fn record_rejection(
    rules: &Rules, decision: KeyDecision,
) -> Result<Response<Full<Bytes>>, RequestError> {
    match decision {
        KeyDecision::Reject(after) => Ok(rejection(rules, after)),
        KeyDecision::Conflict(conflict) => Ok(key_conflict(conflict)),
        KeyDecision::KeyRequired | KeyDecision::Proceed { .. } => Err(RequestError::InvalidKey),
        KeyDecision::KeyTooLong => Err(RequestError::KeyTooLong),
    }
}

/// 409 for a key that is not sent to any backend.
fn key_conflict(conflict: KeyConflict) -> Response<Full<Bytes>> {
    let text = match conflict {
        KeyConflict::InFlight => "a request of this key is under way\n",
        KeyConflict::InDoubt => "a request of this key may have run; an operator has to say whether it did\n",
        KeyConflict::Served => "a request of this key was served\n",
    };
    plain(StatusCode::CONFLICT, text)
}

/// 503 with `Retry-After`: the request was not executed.
pub(crate) fn rejection(rules: &Rules, after: Micros) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Ok(retry_after) = HeaderValue::try_from(rules.retry_after(after)) {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

/// The response to a request that the driver has answered.
pub(crate) fn final_response(
    rules: &Rules, answer: FinalResponse, forwarded: &ForwardedRequest, is_safe: bool,
) -> Response<Full<Bytes>> {
    if let (Some(conflict), FinalDecision::Rejected(_)) = (answer.conflict, answer.decision) {
        return key_conflict(conflict);
    }
    let (last, backend_response) = answer.attempt.and_then(|attempt| forwarded.take(attempt)).unzip();
    let error_responses = forwarded.response_rules.error_responses;
    match client_response(answer.decision, error_responses, is_safe, last) {
        ClientResponse::Forward => match backend_response {
            Some(response) => forward(response),
            None => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        },
        ClientResponse::Reject(after) => rejection(rules, after),
        ClientResponse::GatewayTimeout => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        ClientResponse::BadGateway => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

fn forward(backend_response: BackendResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(backend_response.body));
    *response.status_mut() = backend_response.status;
    *response.headers_mut() = backend_response.headers;
    response
}

/// A response with a text body.
pub(crate) fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
