//! What the client gets at the end of a request: a backend's response unchanged, or one of the proxy's own.

#[cfg(test)]
mod tests;

use crate::ErrorResponses;
use shaletide_types::Micros;

/// How the balancer and the engine ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalDecision {
    /// An attempt was served.
    Served,
    /// No attempt was executed, or a second execution does no harm; with the time for `Retry-After`.
    Rejected(Micros),
    /// Given up; an attempt may have been executed.
    Failed,
    /// Its deadline has passed.
    TimedOut,
}

/// The response, not a served one, in which the last attempt ended.
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
    /// The backend's response, unchanged.
    Forward,
    /// The proxy's own 503, with this time in `Retry-After`.
    Reject(Micros),
    /// The proxy's own 502.
    BadGateway,
    /// The proxy's own 504.
    GatewayTimeout,
}

/// Decides what the client gets. `safe`: a second execution of its class does nothing. `last`: the response in which
/// the last attempt ended, if in one.
///
/// A served response is forwarded; a request that timed out gets a 504, as an older response is not its end. Without
/// a response, or under [`ErrorResponses::Replace`], a rejection is the proxy's 503 and a failure its 502. Else:
///
/// | last response                    | rejected, safe | rejected, other | failed, safe | failed, other |
/// |----------------------------------|----------------|-----------------|--------------|---------------|
/// | 429 or 503, not executed         | forwarded      | forwarded       | forwarded    | 502           |
/// | 429 or 503, error                | forwarded      | 502             | forwarded    | 502           |
/// | other from 400, not executed     | forwarded      | own 503         | forwarded    | forwarded     |
/// | below 400, not executed          | own 503        | own 503         | 502          | 502           |
/// | any other, error                 | forwarded      | forwarded       | forwarded    | forwarded     |
///
/// So a client gets 429 or 503 only where a retry does no harm (a safe class, or proof), and nothing that reads like
/// success for what was not executed.
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
        // This status would not tell the client that a retry is harmless.
        true if last.status < 400 || rejected && !safe => own_response,
        false if invites_retry && !safe => ClientResponse::BadGateway,
        _ => ClientResponse::Forward,
    }
}
