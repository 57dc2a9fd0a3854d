//! Why clients' connections end, counted for the operators.

use std::cell::Cell;

/// Why a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client has closed, reset or half-closed it.
    Client,
    /// Its last response said so.
    Announced,
    /// It was idle, and the program shuts down.
    Stopping,
    /// It was idle, and was evicted to make room for another.
    Evicted,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// What came is no valid request.
    Malformed,
    /// An evicted client did not read its response.
    NotRead,
}

impl CloseReason {
    const ALL: [CloseReason; 7] = [
        CloseReason::Client,
        CloseReason::Announced,
        CloseReason::Stopping,
        CloseReason::Evicted,
        CloseReason::HeadTimeout,
        CloseReason::Malformed,
        CloseReason::NotRead,
    ];

    /// Its name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            CloseReason::Client => "client",
            CloseReason::Announced => "announced",
            CloseReason::Stopping => "stopping",
            CloseReason::Evicted => "evicted",
            CloseReason::HeadTimeout => "head_timeout",
            CloseReason::Malformed => "malformed",
            CloseReason::NotRead => "not_read",
        }
    }

    /// The reason of a connection that ended with an error of hyper's.
    pub(crate) fn of_error(error: &hyper::Error) -> CloseReason {
        if error.is_timeout() {
            CloseReason::HeadTimeout
        } else if error.is_parse() {
            CloseReason::Malformed
        } else {
            CloseReason::Client // an I/O error, or an end within a message
        }
    }
}

/// Connections that have ended, by reason, since the last report.
#[derive(Debug, Default)]
pub(crate) struct CloseCounts([Cell<u64>; CloseReason::ALL.len()]);

impl CloseCounts {
    pub(crate) fn add(&self, reason: CloseReason) {
        let count = &self.0[reason as usize];
        count.set(count.get() + 1);
    }

    /// The reasons that there were, such as `client 3 announced 1`; `none` where there were none. Begins anew.
    pub(crate) fn take(&self) -> String {
        let mut texts = Vec::new();
        for reason in CloseReason::ALL {
            let count = self.0[reason as usize].take();
            if count > 0 {
                texts.push(format!("{} {count}", reason.name()));
            }
        }
        if texts.is_empty() {
            "none".into()
        } else {
            texts.join(" ")
        }
    }
}
