//! Decides what the client receives at the end of a request: a backend's response unchanged, or one by the proxy.

#[cfg(test)]
mod tests;

use crate::ErrorResponses;
use shaletide_types::Micros;

/// The outcome with which the balancer and the engine ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalDecision {
    /// A backend served an attempt.
    Served,
    /// No attempt was executed, or a second execution is harmless; with the time for `Retry-After`.
    Rejected(Micros),
    /// The request was given up; an attempt may have been executed.
    Failed,
    /// The deadline has passed.
    TimedOut,
}

/// The response with which the last attempt ended, if it does not count as served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastResponse {
    /// The response's status.
    pub status: u16,
    /// Whether the response proves that the attempt was not executed; else it is an error.
    pub not_executed: bool,
}

/// The response that the client receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// The backend's response, unchanged.
    Forward,
    /// The proxy's own 503, with this time in `Retry-After`.
    Reject(Micros),
    /// The proxy's own 502.
    BadGateway,
    /// The proxy's own 504.
    GatewayTimeout,
}

/// Decides which response the client receives. `safe`: a second execution of the request's class has no effect. `last`:
/// the response with which the last attempt ended, if there was one.
///
/// A served response is forwarded. A request that timed out gets a 504, because an earlier response did not end it.
/// Without a response, or under [`ErrorResponses::Replace`], a rejection is the proxy's own 503 and a failure its own 502.
/// Otherwise:
///
/// | last response                    | rejected, safe | rejected, other | failed, safe | failed, other |
/// |----------------------------------|----------------|-----------------|--------------|---------------|
/// | 429 or 503, not executed         | forwarded      | forwarded       | forwarded    | 502           |
/// | 429 or 503, error                | forwarded      | 502             | forwarded    | 502           |
/// | other from 400, not executed     | forwarded      | own 503         | forwarded    | forwarded     |
/// | below 400, not executed          | own 503        | own 503         | 502          | 502           |
/// | any other, error                 | forwarded      | forwarded       | forwarded    | forwarded     |
///
/// Thus a client receives 429 or 503 only if a retry is harmless (a safe class, or proof that nothing was executed), and
/// never a status below 400 for a request that was not executed.
pub fn client_response(
    decision: FinalDecision, errors: ErrorResponses, safe: bool, last: Option<LastResponse>,
) -> ClientResponse {
    let own_response = match decision {
        FinalDecision::Served => return ClientResponse::Forward,
        FinalDecision::TimedOut => return ClientResponse::GatewayTimeout,
        FinalDecision::Rejected(retry_after) => ClientResponse::Reject(retry_after),
        FinalDecision::Failed => ClientResponse::BadGateway,
    };
    let Some(last) = last.filter(|_| errors == ErrorResponses::Forward) else { return own_response };
    let rejected = matches!(decision, FinalDecision::Rejected(_));
    let invites_retry = matches!(last.status, 429 | 503);
    match last.not_executed {
        true if invites_retry && (rejected || safe) => ClientResponse::Forward,
        true if invites_retry => ClientResponse::BadGateway,
        // The status does not show the client that a retry is harmless.
        true if last.status < 400 || rejected && !safe => own_response,
        false if invites_retry && !safe => ClientResponse::BadGateway,
        _ => ClientResponse::Forward,
    }
}
