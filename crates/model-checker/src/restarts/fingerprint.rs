//! The fingerprint of a state: equal for states that no later step can distinguish.

use super::state::{Execution, Node, SentAttempt};
use crate::model::TICK;
use shaletide_types::Time;
use std::collections::hash_map::DefaultHasher;
use std::fmt::Write as _;
use std::hash::Hasher;

impl Node {
    /// Returns a 128-bit hash of every part of the state that a later step can depend on.
    pub(super) fn fingerprint(&self, text: &mut String, canonical_text: &mut String) -> u128 {
        text.clear();
        let (unknown, executed) =
            (self.has_lost_attempt(Execution::Unknown), self.has_lost_attempt(Execution::Executed));
        let live: Vec<&SentAttempt> = self.sent.iter().filter(|s| self.is_live(s)).collect();
        let (activities, requests) = (&self.shell.connections, self.engine.requests());
        let connections: Vec<_> = self.engine.connections().collect();
        let key = self.store.key.map(|(state, run, request, _)| (state, run, request));
        write!(
            text,
            "{unknown} {executed} {live:?} {activities:?} {requests:?} {connections:?} {key:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?} {}",
            self.engine.wake_at(),
            self.now,
            self.recorder,
            self.queue,
            self.undelivered,
            self.down,
            self.remaining,
            self.run,
            self.request_count,
        )
        .expect("writing to a string does not fail");
        canonical(text, self.now, canonical_text);
        let half = |seed: u8| {
            let mut hasher = DefaultHasher::new();
            hasher.write_u8(seed);
            hasher.write(canonical_text.as_bytes());
            hasher.finish()
        };
        u128::from(half(0)) << 64 | u128::from(half(1))
    }

    /// Returns whether an attempt was sent in this run, on a connection that still exists.
    fn is_live(&self, sent: &SentAttempt) -> bool {
        sent.run == self.run && self.shell.connections.iter().any(|l| l.0 == sent.connection)
    }

    fn has_lost_attempt(&self, execution: Execution) -> bool {
        self.sent.iter().any(|s| s.execution == execution && !self.is_live(s))
    }
}

/// Writes the text of a state to `canonical_text` without the parts that nothing depends on. Tickets and connections are
/// numbered in the order of their first use. Times are relative to `now` and limited to 10 ticks before or after it. The
/// numbers and the texts of rows are omitted, and so are the times at which an attempt was dispatched or ended: they matter
/// for keyed classes only.
fn canonical(text: &str, now: Time, canonical_text: &mut String) {
    const OMITTED_FIELDS: [&str; 3] = ["seq: ", "through: ", "body: "];
    canonical_text.clear();
    let (mut tickets, mut connections): (Vec<&str>, Vec<&str>) = Default::default();
    let mut rest = text;
    while let Some(at) = rest.find([':', '(']) {
        let end = at + if rest.as_bytes()[at] == b':' { 2 } else { 1 };
        let word_end = rest.len().min(end);
        let head = &rest[..word_end];
        canonical_text.push_str(head);
        rest = &rest[word_end..];
        let number = || rest.split(|c: char| !c.is_ascii_digit()).next().unwrap_or_default();
        if let Some(field) = OMITTED_FIELDS.iter().find(|f| head.ends_with(**f)) {
            rest = match *field {
                "body: " => rest.find("\", sum: ").map_or(rest, |end| &rest[end..]),
                _ => &rest[number().len()..],
            };
        } else if head.ends_with("sum: ") {
            rest = rest.find(']').map_or(rest, |end| &rest[end..]);
        } else if head.ends_with("Time(") {
            let value = number();
            let field = canonical_text
                .strip_suffix(": Time(")
                .and_then(|before| before.rsplit([' ', '{', '(']).next());
            let skip = field.is_some_and(|field| ["at", "dispatched_at", "ended_at"].contains(&field));
            let from_now = value.parse::<u64>().unwrap_or_default() as i64 - now.0 as i64;
            if !skip {
                let clamped = from_now.clamp(-10 * TICK.0 as i64, 10 * TICK.0 as i64);
                let _ = write!(canonical_text, "{clamped}");
            }
            rest = &rest[value.len()..];
        } else if head.ends_with("Ticket(") || head.ends_with("ConnectionId(") {
            let value = number();
            let names = if head.ends_with("Ticket(") { &mut tickets } else { &mut connections };
            let place = names.iter().position(|n| *n == value).unwrap_or_else(|| {
                names.push(value);
                names.len() - 1
            });
            let _ = write!(canonical_text, "{place}");
            rest = &rest[value.len()..];
        }
    }
    canonical_text.push_str(rest);
}
