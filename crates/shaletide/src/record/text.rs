//! Descriptions of the store's facts, keys and errors for people.

use shaletide_control::Reply;
use shaletide_record::{chain, BackendSnapshot, Fact, KeyId, KeyState, ResolveResult, Row};
use shaletide_store::StoreError;
use shaletide_types::{error_chain, Micros};

/// The longest key that is printed in full where it need not be copied, in characters.
const MAX_SHOWN_KEY: usize = 64;

/// Returns the key as text if a terminal and a shell command can take it unchanged.
pub fn plain(key: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(key).ok()?;
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.:/+=@,~".contains(&b);
    (!text.is_empty() && text.bytes().all(is_plain) && !text.starts_with(['-', '+', '=', '@']))
        .then_some(text)
}

/// Formats a key for output; one with special characters in hexadecimal digits.
pub fn key(key: &[u8]) -> String {
    match plain(key) {
        Some(text) if text.len() <= MAX_SHOWN_KEY => text.to_string(),
        Some(text) => format!("{}... ({} bytes)", &text[..MAX_SHOWN_KEY], text.len()),
        None if key.len() * 2 <= MAX_SHOWN_KEY => format!("hex {}", chain::hex(key)),
        None => format!("hex {}... ({} bytes)", chain::hex(&key[..MAX_SHOWN_KEY / 2]), key.len()),
    }
}

/// Describes the class and tenant of a key.
pub fn key_owner(id: &KeyId) -> String {
    match id.tenant.as_str() {
        "" => format!("{} of no tenant", id.class),
        tenant => format!("{} of {tenant}", id.class),
    }
}

/// Formats the command-line arguments that select a key.
pub fn arguments(id: &KeyId) -> String {
    let key = match plain(&id.key) {
        Some(text) => text.to_string(),
        None => format!("{} --hex", chain::hex(&id.key)),
    };
    let argument = |name: &str, text: &str| match text.starts_with('-') {
        true => format!("--{name}={}", quoted(text)),
        false => format!("--{name} {}", quoted(text)),
    };
    format!("{key} {} {}", argument("tenant", &id.tenant), argument("class", &id.class))
}

/// Quotes text for a shell, which must not interpret a client's text.
fn quoted(text: &str) -> String {
    let harmless = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match !text.is_empty() && text.chars().all(harmless) {
        true => text.to_string(),
        false => format!("'{}'", text.replace('\'', "'\\''")),
    }
}

/// Describes the state of a key.
pub fn state(state: KeyState) -> &'static str {
    match state {
        KeyState::InFlight => "in flight",
        KeyState::InDoubt => "in doubt",
        KeyState::Served => "served",
    }
}

/// Describes an error of the store, and what to do about it.
pub fn explain(error: &StoreError) -> String {
    match error {
        StoreError::Owned { .. } => {
            format!("{}; give --control or --config to use its socket", error_chain(error))
        }
        StoreError::Gone { path } => format!("there is no store at {}", path.display()),
        _ => error_chain(error),
    }
}

/// Puts text from outside on one line, without control characters.
pub fn one_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '\u{fffd}' } else { c }).collect()
}

fn seconds(time: u64) -> String {
    format!("{:.1} s", Micros(time).secs())
}

fn backend_snapshot(seen: &BackendSnapshot) -> String {
    let ready = if seen.ready { "ready" } else { "not ready" };
    let BackendSnapshot { pool, list, state, in_flight: count, .. } = seen;
    format!("(pool {pool}, list {list}, {state}, {ready}, {count} in flight)")
}

/// Describes the outcome of an attempt.
fn outcome(word: &str, may_have_run: bool) -> String {
    let description = match word {
        "served" => "served",
        "error" => "error response",
        "full" => "rejected by the backend",
        "timed_out" => "no response in time",
        "connect_failed" => "connect failed",
        "reset" => "connection broken",
        "cancelled" => "cancelled",
        "never_sent" => "not sent",
        other => other,
    };
    let execution = match (word, may_have_run) {
        ("served", _) => "",
        (_, true) => "; it may have run",
        (_, false) => "; it was not executed",
    };
    format!("{description}{execution}")
}

/// Describes the final answer to the client.
fn answer(ending: &str, attempt: Option<u32>) -> String {
    match (ending, attempt) {
        ("served", Some(attempt)) => format!("answered: served, by attempt {attempt}"),
        ("served", None) => "answered: served".into(),
        ("refused", _) => "answered: refused; the request may be repeated".into(),
        ("failed", _) => "answered: failed; the request may have run".into(),
        ("timed_out", _) => "answered: deadline passed; the request may have run".into(),
        ("left", _) => "not answered: the client disconnected".into(),
        (other, _) => format!("ended: {}", one_line(other)),
    }
}

/// Describes a fact in one line. `to` returns the backend of an attempt, if it is known. `durable` tells whether intents were
/// durable before the first byte.
pub fn fact(row: &Row, to: impl Fn(u32) -> Option<String>, durable: bool) -> String {
    let of = |attempt: u32| match to(attempt) {
        Some(backend) => format!("attempt {attempt} at {}", one_line(&backend)),
        None => format!("attempt {attempt}"),
    };
    let text = match Fact::of(row) {
        Fact::Start { proxy, version, config, digest } => {
            format!("run {} begins: {proxy}, version {version}, configuration {config} {digest}", row.run)
        }
        Fact::Config { version, digest } => format!("configuration {version} {digest} is in effect"),
        Fact::List { pool, version, news } => format!("list {version} of pool {pool}: {news}"),
        Fact::Asked { tenant, class, keyed, time_left } => {
            let tenant = if tenant.is_empty() { "no tenant" } else { &tenant };
            let key = match (&row.key, keyed) {
                (Some(id), _) => format!("key {}", key(&id.key)),
                (None, true) => "a key that is not recorded".into(),
                (None, false) => "no key".into(),
            };
            format!("asked: {class} of {tenant}, {key}, {} left", seconds(time_left))
        }
        Fact::Turned { why } => match why.as_str() {
            "in_flight" => "rejected before sending (409): an attempt of its key was in flight".into(),
            "doubt" => "rejected before sending (409): its key was in doubt".into(),
            "served" => "rejected before sending (409): its key was already served".into(),
            other => format!("rejected before sending: {other}"),
        },
        Fact::Intent { attempt, seen: known } => {
            let kept = if durable { "intent durable before the first byte" } else { "intent" };
            format!("{kept}: attempt {attempt} to {} {}", known.backend, backend_snapshot(&known))
        }
        Fact::Withdrawn { attempt } => format!("withdrawn: {} was not and will not be sent", of(attempt)),
        Fact::Outcome { attempt, outcome: word, may_have_run } => {
            format!("outcome of {}: {}", of(attempt), outcome(&word, may_have_run))
        }
        Fact::Answer { ending, attempt } => answer(&ending, attempt),
        Fact::Doubted { seq } => {
            format!("in doubt: the proxy ended with an attempt in flight; row {seq} is its last row")
        }
        Fact::Resolved { by, ran, note } => {
            let ran = if ran { "it ran, the key is served" } else { "it did not run, the key is free" };
            format!("resolved by {by}: {ran}, because: {note}")
        }
        Fact::Expired { through } => {
            format!("served keys up to row {through} have expired and are free again")
        }
        Fact::Dropped { facts } => {
            format!("{facts} facts that no request waited for were dropped for lack of room")
        }
        Fact::Correction { of, by, text } => format!("correction of row {of} by {by}: {text}"),
        Fact::Pruned { through, by, .. } => format!("rows up to {through} were pruned by {by}"),
        Fact::Unknown { kind, body } => format!("{kind} (of another version): {body}"),
        #[allow(unreachable_patterns, reason = "the facts grow")]
        other => format!("{other:?}"),
    };
    one_line(&text)
}

/// Converts the result of a resolution to a reply.
pub fn resolved(result: ResolveResult, ran: bool) -> Reply {
    Reply::Refused(
        match result {
            ResolveResult::Done if ran => return Reply::Done("on record; the key counts as served".into()),
            ResolveResult::Done => return Reply::Done("on record; the key is free".into()),
            ResolveResult::Unknown => "the key is not in doubt: it is free, or is not known",
            ResolveResult::InFlight => "the key is in flight: wait until its attempt ends",
            ResolveResult::Served => "the key is not in doubt: it was served",
            ResolveResult::NotYet => "its last fact is not durable yet: try again",
            ResolveResult::StoreDown => "the store accepts no writes now: see the proxy's log, and retry",
        }
        .into(),
    )
}
