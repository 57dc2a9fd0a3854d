//! The decisions of a client: which request it sends, how that is written, whether it retries. Pure.

use crate::experiment::{ClassPart, Experiment, LoadPart};
use crate::samples::{Idempotency, TryEnd};
use shaletide_testkit::{Message, SeededRng};
use std::fmt::Write;
use std::time::Duration;

/// Tries of a client at most: the first and its retries.
pub const MAX_TRIES: u8 = 11;

/// A request as a client is to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Its number.
    pub request: u64,
    /// The class.
    pub class: usize,
    /// The tenant.
    pub tenant: Option<usize>,
    /// The client's zone.
    pub zone: usize,
    /// The last part of the path.
    pub subject: u64,
}

/// Draws a request by the shares of the experiment; zones have equal shares. The same number gives the same request under
/// the same seed, whatever became of earlier ones.
pub fn draw_request(experiment: &Experiment, seed: u64, request: u64) -> RequestSpec {
    // The stream's name is part of what a seed gives: it stays.
    let mut rng = SeededRng::named(seed, &format!("wish {request}"));
    let class = pick(rng.uniform(), experiment.classes.iter().map(|c| c.share));
    let tenant = pick(rng.uniform(), experiment.tenants.iter().map(|t| t.share));
    let zones = experiment.fleet.zones.len();
    let zone = ((rng.uniform() * zones as f64) as usize).min(zones - 1);
    RequestSpec { request, class: class.unwrap_or(0), tenant, zone, subject: rng.next_u64() }
}

/// The index of the share that a number from 0 to 1 falls into.
fn pick(part: f64, shares: impl Iterator<Item = f64> + Clone) -> Option<usize> {
    let mut left = part * shares.clone().sum::<f64>();
    let mut last = None;
    for (place, share) in shares.enumerate().filter(|(_, share)| *share > 0.0) {
        last = Some(place);
        left -= share;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// The correlation id of a try: unique in a run, and different in runs of different seeds.
pub fn id(seed: u64, request: u64, nth: u8) -> String {
    format!("{:08x}{request:010x}{nth:02x}", seed as u32)
}

/// The method of a class.
pub fn method(class: &ClassPart) -> &'static str {
    if class.idempotency == Idempotency::Safe {
        "GET"
    } else {
        "POST"
    }
}

/// The request as it is sent. A retry is a request with a key of its own: what it repeats was not executed.
pub fn render(experiment: &Experiment, spec: RequestSpec, id: &str, left: Duration, repeat: bool) -> Vec<u8> {
    let class = &experiment.classes[spec.class];
    let (method, name, subject) = (method(class), &class.name, spec.subject);
    let mut text =
        format!("{method} /{name}/{subject:016x} HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {id}\r\n");
    let _ = write!(text, "X-Time-Left: {:.6}\r\n", left.as_secs_f64());
    if let Some(tenant) = spec.tenant.and_then(|t| experiment.tenants.get(t)) {
        let _ = write!(text, "X-Account: {}\r\n", tenant.name);
    }
    if class.idempotency != Idempotency::Safe {
        let _ = write!(text, "Idempotency-Key: k-{id}\r\n");
    }
    if repeat {
        text += "X-Repeat: 1\r\n";
    }
    if method == "POST" {
        text += "Content-Length: 8\r\n\r\nlab-body";
    } else {
        text += "\r\n";
    }
    text.into_bytes()
}

/// The end of a try by the status of its complete answer.
pub fn end(status: u16) -> TryEnd {
    match status {
        200 => TryEnd::Served,
        429 | 503 => TryEnd::Refused { status },
        status => TryEnd::Failed { status },
    }
}

/// How long a client waits before it retries; none where it does not. It retries what was rejected or found no connection,
/// whatever the class, as it was not executed; after a broken connection it retries safe classes only.
pub fn pause(
    load: &LoadPart, class: &ClassPart, nth: u8, end: TryEnd, answer: Option<&Message>,
) -> Option<Duration> {
    if nth >= load.retries.min(MAX_TRIES - 1) {
        return None;
    }
    let again = match end {
        TryEnd::Refused { .. } | TryEnd::NotTaken => true,
        TryEnd::Broken => class.idempotency == Idempotency::Safe,
        _ => false,
    };
    let advice = answer.and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
    let advice = advice.filter(|s| s.is_finite() && *s >= 0.0);
    let longest = load.longest_retry_after.as_secs_f64();
    again.then(|| advice.map_or(load.pause, |s| Duration::from_secs_f64(s.min(longest))))
}

#[cfg(test)]
mod tests;
