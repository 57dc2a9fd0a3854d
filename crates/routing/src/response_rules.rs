//! What a backend's response means: served, not executed, or an error.

#[cfg(test)]
mod tests;

use crate::StatusSet;

/// Statuses that are errors by [`ResponseRules::operator_default`]: too many requests, and failures of a server or gateway.
const DEFAULT_ERROR_STATUSES: [u16; 5] = [429, 500, 502, 503, 504];

/// A status and a header that together prove that the request was not executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotExecutedProof {
    /// The response's status.
    pub status: u16,
    /// The header's name, in lower case.
    pub header: String,
    /// Its value; none: any.
    pub value: Option<String>,
}

/// What a client gets where the last attempt ended in an error status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorResponses {
    /// The backend's response unchanged, unless it is a 429 or 503 that proves nothing: then 502.
    Forward,
    /// A response of the proxy's own, as on the platform.
    Replace,
}

/// What a response means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is the answer to the request and goes to the client unchanged.
    Served,
    /// The request has not been executed and never will be.
    NotExecuted,
    /// An error; the request may have been executed.
    Error,
}

/// How the responses of a route's backends are classified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseRules {
    /// These statuses count as served.
    pub served: StatusSet,
    /// These prove that the request was not executed, whatever `served` says.
    pub not_executed: Vec<NotExecutedProof>,
    /// What the client gets of an error.
    pub error_responses: ErrorResponses,
    /// The header in which a backend reports its load, in lower case; none: it reports nothing.
    pub load_report_header: Option<String>,
}

impl ResponseRules {
    /// The operators' default: every final status is served but 429, 500, 502, 503 and 504; nothing proves that a
    /// request was not executed.
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

    /// The platform's rules: 200 is served; 503 and 504 with `X-Unprocessed: 1` were not executed.
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

    /// What a response of that status means; `header` gives the value of a header by its lower-case name. A status
    /// below 200 is not final, and neither served nor proof.
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
