//! Classifies a backend's response as served, not executed, or an error.

#[cfg(test)]
mod tests;

use crate::StatusSet;

/// The final statuses that [`ResponseRules::operator_default`] does not count as served: too many requests, and failures
/// of a server or gateway.
const DEFAULT_ERROR_STATUSES: [u16; 5] = [429, 500, 502, 503, 504];

/// A status and a header that together prove that the request was not executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotExecutedProof {
    /// The response's status.
    pub status: u16,
    /// The header's name, in lower case.
    pub header: String,
    /// The header's value; `None`: any.
    pub value: Option<String>,
}

/// What a client receives when the last attempt ended with an error status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorResponses {
    /// The backend's response unchanged, except that a 429 or 503 without proof that nothing was executed becomes a 502.
    Forward,
    /// The proxy's own response, as on the platform.
    Replace,
}

/// The class of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The response answers the request and is forwarded to the client unchanged.
    Served,
    /// The request has not been executed and never will be.
    NotExecuted,
    /// The response is an error; the request may have been executed.
    Error,
}

/// How the responses of a route's backends are classified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseRules {
    /// The statuses that count as served.
    pub served: StatusSet,
    /// Responses that prove that the request was not executed. They take precedence over `served`.
    pub not_executed: Vec<NotExecutedProof>,
    /// What the client receives for an error.
    pub error_responses: ErrorResponses,
    /// The header in which a backend reports its load, in lower case; `None`: backends report no load.
    pub load_report_header: Option<String>,
}

impl ResponseRules {
    /// The operators' default: every final status except 429, 500, 502, 503 and 504 counts as served, and no response
    /// proves that a request was not executed.
    pub fn operator_default() -> ResponseRules {
        let mut served = StatusSet::empty();
        served.add(200, 599);
        for status in DEFAULT_ERROR_STATUSES {
            served.remove(status);
        }
        ResponseRules {
            served,
            not_executed: Vec::new(),
            error_responses: ErrorResponses::Forward,
            load_report_header: None,
        }
    }

    /// The platform's rules: 200 counts as served; 503 and 504 with `X-Unprocessed: 1` prove that nothing was executed.
    pub fn platform() -> ResponseRules {
        let mut served = StatusSet::empty();
        served.add(200, 200);
        let unprocessed =
            |status| NotExecutedProof { status, header: "x-unprocessed".into(), value: Some("1".into()) };
        ResponseRules {
            served,
            not_executed: vec![unprocessed(503), unprocessed(504)],
            error_responses: ErrorResponses::Replace,
            load_report_header: Some("x-backend-load".into()),
        }
    }

    /// Classifies a response by its status and headers. `header` returns the value of a header by its lower-case name. A
    /// status below 200 is not final, so it is neither served nor a proof.
    pub fn classify<'a>(&self, status: u16, header: impl Fn(&str) -> Option<&'a str>) -> ResponseClass {
        if status < 200 {
            return ResponseClass::Error;
        }
        if self.not_executed.iter().any(|proof| proof.holds(status, &header)) {
            return ResponseClass::NotExecuted;
        }
        if self.served.contains(status) {
            return ResponseClass::Served;
        }
        ResponseClass::Error
    }
}

impl NotExecutedProof {
    fn holds<'a>(&self, status: u16, header: impl Fn(&str) -> Option<&'a str>) -> bool {
        if self.status != status {
            return false;
        }
        match (header(&self.header), &self.value) {
            (Some(value), Some(wanted)) => wanted == value.trim(),
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}
