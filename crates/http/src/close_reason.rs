//! Reasons for which client connections end, and their counts for the periodic report.

use std::cell::Cell;

/// The reason for which a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client closed, reset or half-closed the connection.
    Client,
    /// The last response had `Connection: close`.
    Announced,
    /// The connection was idle during shutdown.
    Stopping,
    /// The connection was idle and was evicted to make room for another.
    Evicted,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// The received bytes are not a valid request.
    Malformed,
    /// The client of an evicted connection did not read its response.
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

    /// Returns the name used in logs.
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

    /// Returns the reason for a connection that ended with an error from hyper.
    pub(crate) fn of_error(error: &hyper::Error) -> CloseReason {
        if error.is_timeout() {
            CloseReason::HeadTimeout
        } else if error.is_parse() {
            CloseReason::Malformed
        } else {
            CloseReason::Client // an I/O error, or the end of the stream within a message
        }
    }
}

/// Number of connections that have ended since the last report, by reason.
#[derive(Debug, Default)]
pub(crate) struct CloseCounts([Cell<u64>; CloseReason::ALL.len()]);

impl CloseCounts {
    pub(crate) fn add(&self, reason: CloseReason) {
        let count = &self.0[reason as usize];
        count.set(count.get() + 1);
    }

    /// Returns the counts that are not zero, such as `client 3 announced 1`, or `none`, and resets them.
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
