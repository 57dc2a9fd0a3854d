//! Facts, keys and errors of the store in words.

use shaletide_control::Reply;
use shaletide_record::{chain, BackendSnapshot, Fact, KeyId, KeyState, ResolveResult, Row};
use shaletide_store::StoreError;
use shaletide_types::{causes, Micros};

/// A longer key is cut where it is only shown.
const SHOWN: usize = 64;

/// A key that stands for itself on a screen and in a command.
pub fn plain(key: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(key).ok()?;
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.:/+=@,~".contains(&b);
    (!text.is_empty() && text.bytes().all(fits) && !text.starts_with(['-', '+', '=', '@'])).then_some(text)
}

/// A key as it is shown; odd ones in hexadecimal digits.
pub fn key(key: &[u8]) -> String {
    match plain(key) {
        Some(text) if text.len() <= SHOWN => text.to_string(),
        Some(text) => format!("{}... ({} bytes)", &text[..SHOWN], text.len()),
        None if key.len() * 2 <= SHOWN => format!("hex {}", chain::hex(key)),
        None => format!("hex {}... ({} bytes)", chain::hex(&key[..SHOWN / 2]), key.len()),
    }
}

/// Whose a key is.
pub fn whose(id: &KeyId) -> String {
    match id.tenant.as_str() {
        "" => format!("{} of no tenant", id.class),
        tenant => format!("{} of {tenant}", id.class),
    }
}

/// The rest of the arguments that name a key.
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

/// For a shell, which must take a client's words for no more than words.
fn quoted(text: &str) -> String {
    let harmless = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match !text.is_empty() && text.chars().all(harmless) {
        true => text.to_string(),
        false => format!("'{}'", text.replace('\'', "'\\''")),
    }
}

/// How a key stands, in a few words.
pub fn state(state: KeyState) -> &'static str {
    match state {
        KeyState::InFlight => "in flight",
        KeyState::InDoubt => "in doubt",
        KeyState::Served => "served",
    }
}

/// An error of a store, with what to do about it.
pub fn trouble(error: &StoreError) -> String {
    match error {
        StoreError::Owned { .. } => {
            format!("{}; give --control or --config, so that it is asked", causes(error))
        }
        StoreError::Gone { path } => format!("there is no store at {}", path.display()),
        _ => causes(error),
    }
}

/// Text that somebody wrote, on one line: it may hold anything.
pub fn one_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '\u{fffd}' } else { c }).collect()
}

fn seconds(time: u64) -> String {
    format!("{:.1} s", Micros(time).secs())
}

fn seen(seen: &BackendSnapshot) -> String {
    let ready = if seen.ready { "ready" } else { "not ready" };
    let BackendSnapshot { pool, list, state, in_flight: out, .. } = seen;
    format!("(pool {pool}, list {list}, {state}, {ready}, {out} out)")
}

/// How an attempt ended.
fn outcome(word: &str, may_have_run: bool) -> String {
    let said = match word {
        "served" => "served",
        "error" => "an error came back",
        "full" => "the box turned it away unseen",
        "timed_out" => "no answer in time",
        "connect_failed" => "no connection was made",
        "reset" => "the connection broke",
        "cancelled" => "it was called off",
        "never_sent" => "it was not sent",
        other => other,
    };
    let ran = match (word, may_have_run) {
        ("served", _) => "",
        (_, true) => "; it may have run",
        (_, false) => "; it never ran",
    };
    format!("{said}{ran}")
}

/// The final answer to the client.
fn answer(ending: &str, attempt: Option<u32>) -> String {
    match (ending, attempt) {
        ("served", Some(attempt)) => format!("answered: served, by attempt {attempt}"),
        ("served", None) => "answered: served".into(),
        ("refused", _) => "answered: refused; coming again does no harm".into(),
        ("failed", _) => "answered: failed; nothing is promised".into(),
        ("timed_out", _) => "answered: its time was up; nothing is promised".into(),
        ("left", _) => "not answered: the client had left".into(),
        (other, _) => format!("ended: {}", one_line(other)),
    }
}

/// A fact in a line. `to`: the backend of an attempt, where that is known; `durable`: intents were so before the first byte.
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
                (None, true) => "a key that is not kept".into(),
                (None, false) => "no key".into(),
            };
            format!("asked: {class} of {tenant}, {key}, {} left", seconds(time_left))
        }
        Fact::Turned { why } => match why.as_str() {
            "in_flight" => "turned away unsent (409): an attempt of its key was out".into(),
            "doubt" => "turned away unsent (409): its key was in doubt".into(),
            "served" => "turned away unsent (409): its key was served already".into(),
            other => format!("turned away unsent: {other}"),
        },
        Fact::Intent { attempt, seen: known } => {
            let kept = if durable { "intent durable before the first byte" } else { "intent" };
            format!("{kept}: attempt {attempt} to {} {}", known.backend, seen(&known))
        }
        Fact::Withdrawn { attempt } => format!("withdrawn: {} was not sent and never will be", of(attempt)),
        Fact::Outcome { attempt, outcome: word, may_have_run } => {
            format!("outcome of {}: {}", of(attempt), outcome(&word, may_have_run))
        }
        Fact::Answer { ending, attempt } => answer(&ending, attempt),
        Fact::Doubted { seq } => {
            format!("in doubt: the proxy had ended with an attempt out, and row {seq} is the last about it")
        }
        Fact::Resolved { by, ran, note } => {
            let ran = if ran { "it ran, the key is served" } else { "it did not run, the key is free" };
            format!("resolved by {by}: {ran}, because: {note}")
        }
        Fact::Expired { through } => {
            format!("served keys up to row {through} are free again: their time is up")
        }
        Fact::Dropped { facts } => {
            format!("{facts} facts that nobody waited for were not kept, for want of room")
        }
        Fact::Correction { of, by, text } => format!("correction of row {of} by {by}: {text}"),
        Fact::Pruned { through, by, .. } => format!("rows up to {through} were taken out by {by}"),
        Fact::Unknown { kind, body } => format!("{kind} (of another version): {body}"),
        #[allow(unreachable_patterns, reason = "the facts grow")]
        other => format!("{other:?}"),
    };
    one_line(&text)
}

/// What came of a resolution.
pub fn resolved(came: ResolveResult, ran: bool) -> Reply {
    Reply::Refused(
        match came {
            ResolveResult::Done if ran => return Reply::Done("on record; the key counts as served".into()),
            ResolveResult::Done => return Reply::Done("on record; the key is free".into()),
            ResolveResult::Unknown => "the key is not in doubt: it is free, or was never there",
            ResolveResult::InFlight => "the key is in flight: wait for its end",
            ResolveResult::Served => "the key is not in doubt: it was served",
            ResolveResult::NotYet => "its last fact is not durable yet: try again",
            ResolveResult::StoreDown => "the store takes nothing now; see the proxy's log, and try again",
        }
        .into(),
    )
}
