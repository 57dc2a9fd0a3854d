//! What a backend's answer means: served, proof that the request was not executed, or an error; and what of it the
//! client gets.

#[cfg(test)]
mod tests;

/// Statuses from 100 to 599.
#[derive(Clone, PartialEq, Eq)]
pub struct StatusSet([u64; 8]);

impl StatusSet {
    /// None at all.
    pub fn none() -> StatusSet {
        StatusSet([0; 8])
    }
    /// Adds those from `first` to `last`; what lies outside 100 to 599 is ignored.
    pub fn add(&mut self, first: u16, last: u16) {
        for status in first.max(100)..=last.min(599) {
            let at = usize::from(status - 100);
            self.0[at / 64] |= 1 << (at % 64);
        }
    }
    /// Takes out one.
    pub fn remove(&mut self, status: u16) {
        if (100..600).contains(&status) {
            let at = usize::from(status - 100);
            self.0[at / 64] &= !(1 << (at % 64));
        }
    }
    /// Whether the status is one of them.
    pub fn has(&self, status: u16) -> bool {
        let at = usize::from(status.saturating_sub(100));
        (100..600).contains(&status) && self.0[at / 64] & (1 << (at % 64)) != 0
    }
}

impl std::fmt::Debug for StatusSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries((100..600).filter(|s| self.has(*s))).finish()
    }
}

/// A status and a header that together prove that the request was not executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotExecutedProof {
    /// The answer's status.
    pub status: u16,
    /// The header's name, in lower case.
    pub header: String,
    /// Its value; none: any.
    pub value: Option<String>,
}

/// What a client gets where the last attempt ended in an error status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorResponses {
    /// The backend's answer unchanged, unless it is a 429 or 503 that proves nothing: then 502.
    Forward,
    /// The proxy's own words, as on the platform.
    Replace,
}

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is the answer to the request and goes to the client unchanged.
    Served,
    /// The request has not run and never will.
    NotExecuted,
    /// An error; the request may have run.
    Error,
}

/// How a route reads answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseRules {
    /// These count as served.
    pub served: StatusSet,
    /// These prove that the request was not executed, whatever `served` says.
    pub not_executed: Vec<NotExecutedProof>,
    /// What the client gets of an error.
    pub error_responses: ErrorResponses,
    /// The header in which a backend says how loaded it is, in lower case; none: it says nothing.
    pub load_report_header: Option<String>,
}

impl ResponseRules {
    /// Every final status is served but 429, 500, 502, 503 and 504; nothing proves that a request was not executed.
    pub fn plain() -> ResponseRules {
        let mut served = StatusSet::none();
        served.add(200, 599);
        [429, 500, 502, 503, 504].into_iter().for_each(|status| served.remove(status));
        ResponseRules {
            served,
            not_executed: Vec::new(),
            error_responses: ErrorResponses::Forward,
            load_report_header: None,
        }
    }

    /// The platform's table: 200 is served, 503 and 504 with `X-Unprocessed: 1` was not executed.
    pub fn platform() -> ResponseRules {
        let mut served = StatusSet::none();
        served.add(200, 200);
        let proof =
            |status| NotExecutedProof { status, header: "x-unprocessed".into(), value: Some("1".into()) };
        let not_executed = vec![proof(503), proof(504)];
        ResponseRules {
            served,
            not_executed,
            error_responses: ErrorResponses::Replace,
            load_report_header: Some("x-backend-load".into()),
        }
    }

    /// What an answer of that status means; `header` gives the value of a header by its lower-case name. One
    /// that is not final, below 200, is neither served nor proof.
    pub fn classify<'a>(&self, status: u16, header: impl Fn(&str) -> Option<&'a str>) -> ResponseClass {
        let proves = |proof: &NotExecutedProof| {
            let value = || header(&proof.header);
            proof.status == status
                && value().is_some_and(|got| proof.value.as_ref().is_none_or(|want| want == got.trim()))
        };
        match () {
            () if status < 200 => ResponseClass::Error,
            () if self.not_executed.iter().any(proves) => ResponseClass::NotExecuted,
            () if self.served.has(status) => ResponseClass::Served,
            () => ResponseClass::Error,
        }
    }
}
