//! What the client gets at the end of a request: a backend's answer unchanged or the proxy's own words.

#[cfg(test)]
mod tests;

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
