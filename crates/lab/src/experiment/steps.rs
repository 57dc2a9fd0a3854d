//! The timeline: `[[at]]`, one step each.

use super::groups::{Groups, Members};
use super::reader::Table;
use std::collections::BTreeSet;
use std::time::Duration;

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

/// The list service's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It answers.
    Up,
    /// Its connections end without an answer.
    Down,
    /// It reads and does not answer.
    Silent,
    /// It answers, but with a stale list: changes are delayed until it is up.
    Frozen,
    /// Changes are in its lists with this delay.
    Late(Duration),
}

/// A fault of backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// Work takes longer by this factor.
    Slow(f64),
    /// This fraction of the requests is never answered.
    Silent(f64),
    /// This fraction of the requests is answered 500 at once.
    Fail(f64),
    /// No fault any more.
    Well,
}

/// A fault of the links between two groups.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkFault {
    /// Nothing passes: connections are reset (`true`), or stay silent.
    pub cut: Option<bool>,
    /// The direction from the first group to the second is faulty.
    pub forth: bool,
    /// The direction from the second group to the first is faulty.
    pub back: bool,
    /// Added delay, ms.
    pub delay_ms: f64,
    /// Probability that a chunk is delayed as by a retransmission.
    pub loss: f64,
    /// Rate limit, bytes per second.
    pub rate: Option<u64>,
    /// Probability that a byte of a chunk is changed.
    pub corrupt: f64,
    /// The links are those between the front and proxies.
    pub front: bool,
    /// The links to the list service are included.
    pub list: bool,
}

/// The effect of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// Signals processes.
    Signal(Signal),
    /// Starts processes that are down, with their directories kept or emptied.
    Start {
        /// Whether their directories are emptied.
        fresh: bool,
    },
    /// Stops processes and starts them again.
    Restart {
        /// Whether by SIGTERM; else by SIGKILL.
        term: bool,
        /// Time between signal and start.
        down: Duration,
        /// Whether their directories are emptied.
        fresh: bool,
    },
    /// Reloads the configuration of processes with other text appended.
    Reload {
        /// The text, in place of the fleet's `more`.
        more: String,
    },
    /// Sets a fault on the links between the proxies of `who` and the backends of `to`.
    Links {
        /// The fault; one without any effect heals the links.
        fault: LinkFault,
        /// The proxies at one end ...
        proxies: Vec<usize>,
        /// ... and the backends at the other.
        backends: Vec<usize>,
    },
    /// Sets the state of the list service.
    List(ListState),
    /// Drains backends, in the list too.
    Drain,
    /// Kills backends.
    KillBackends,
    /// Restarts killed backends, cold, and lists them.
    StartBackends,
    /// Drains each backend and lists its spare, cold, in its stead.
    Replace {
        /// Time until the old backend is killed.
        down: Duration,
    },
    /// Sets a fault of backends.
    Backends(BackendFault),
    /// Multiplies the request rate.
    Burst(f64),
}

/// A step of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its time, from the first request on.
    pub at: Duration,
    /// Its name; no two steps share one.
    pub label: String,
    /// Its effect.
    pub what: What,
    /// The proxies that it affects.
    pub proxies: Vec<usize>,
    /// The backends that it affects.
    pub backends: Vec<usize>,
    /// The span over which the members are affected one after the other, evenly spaced.
    pub over: Duration,
    /// The time after which it is undone, if it is.
    pub lasts: Option<Duration>,
    /// Whether service may suffer from it, so that it is recorded as a fault.
    pub fault: bool,
}

const WORDS: [&str; 19] = [
    "kill",
    "term",
    "stop",
    "cont",
    "start",
    "restart",
    "reload",
    "cut",
    "heal",
    "list",
    "drain",
    "kill-boxes",
    "start-boxes",
    "replace",
    "slow",
    "silent",
    "fail",
    "well",
    "burst",
];

pub(super) fn read(root: &Table<'_>, groups: &Groups, length: Duration) -> Vec<Step> {
    let mut labels = BTreeSet::new();
    let read = |table: &Table<'_>| {
        let step = step(table, groups, length);
        if !labels.insert(step.label.clone()) {
            let what = format!("two steps are labelled \"{}\"", step.label);
            table.wrong(table.at.clone(), what, "expected a `label` of its own for each");
        }
        table.end();
        step
    };
    root.tables("at").iter().map(read).collect()
}

fn step(table: &Table<'_>, groups: &Groups, length: Duration) -> Step {
    let at = table.time_needed("at", (0.0, length.as_secs_f64()));
    let word = table.word_needed("do", &WORDS);
    let who = table.names("who");
    let members = groups.all(table, &who);
    let over = table.time_or("over", (0.0, 3600.0), 0.0);
    let what = what(table, groups, word, &members);
    let lasts =
        lasting(word).then(|| table.time("lasts", Duration::from_millis(1)..=Duration::from_secs(3600)));
    if who.iter().all(|(name, _)| groups.get(name).is_some()) {
        check_who(table, word, &members, !who.is_empty());
    }
    let named = who.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>().join(",");
    let label = table.text("label").filter(|l| !l.is_empty());
    let label = label.unwrap_or_else(|| format!("{word} {named} at {}s", at.as_secs_f64()));
    let fault = !matches!(word, "start" | "cont" | "heal" | "well" | "start-boxes" | "reload")
        && what != What::List(ListState::Up);
    let (proxies, backends) = (members.proxies, members.backends);
    Step { at, label, what, proxies, backends, over, lasts: lasts.flatten(), fault }
}

/// Whether a step of that word can be undone by itself after a time.
fn lasting(word: &str) -> bool {
    matches!(word, "stop" | "cut" | "list" | "slow" | "silent" | "fail" | "burst")
}

fn check_who(table: &Table<'_>, word: &str, members: &Members, named: bool) {
    let (needs_proxies, needs_backends) = match word {
        "kill" | "term" | "stop" | "cont" | "start" | "restart" | "reload" => (true, false),
        "drain" | "kill-boxes" | "start-boxes" | "replace" | "slow" | "silent" | "fail" | "well" => {
            (false, true)
        }
        _ => (false, false),
    };
    let lacks = needs_proxies && members.proxies.is_empty() || needs_backends && members.backends.is_empty();
    if lacks {
        let whom = if needs_proxies { "proxies" } else { "boxes" };
        let at = table.place("who").unwrap_or_else(|| table.at.clone());
        let what = if named { format!("{word}: `who` names no {whom}") } else { "at.who is missing".into() };
        table.wrong(at, what, format!("expected {whom}, such as \"{whom}\""));
    }
}

fn what(table: &Table<'_>, groups: &Groups, word: &str, members: &Members) -> What {
    let fresh = |table: &Table<'_>| table.word("directory", &["kept", "fresh"]) == Some("fresh");
    match word {
        "kill" => What::Signal(Signal::Kill),
        "term" => What::Signal(Signal::Term),
        "stop" => What::Signal(Signal::Stop),
        "cont" => What::Signal(Signal::Continue),
        "start" => What::Start { fresh: fresh(table) },
        "restart" => What::Restart {
            term: table.word("by", &["kill", "term"]) != Some("kill"),
            down: table.time_or("down", (0.0, 3600.0), 0.5),
            fresh: fresh(table),
        },
        "reload" => What::Reload { more: table.text("more").unwrap_or_default() },
        "cut" | "heal" => links(table, groups, word, members),
        "list" => What::List(list(table)),
        "drain" => What::Drain,
        "kill-boxes" => What::KillBackends,
        "start-boxes" => What::StartBackends,
        "replace" => What::Replace { down: table.time_or("down", (0.0, 3600.0), 3.0) },
        "slow" => What::Backends(BackendFault::Slow(table.number_or("times", (0.01, 10_000.0), 5.0))),
        "silent" => What::Backends(BackendFault::Silent(table.number_or("part", (0.0, 1.0), 1.0))),
        "fail" => What::Backends(BackendFault::Fail(table.number_or("part", (0.0, 1.0), 1.0))),
        "burst" => What::Burst(table.number_or("times", (0.0, 100.0), 2.0)),
        _ => What::Backends(BackendFault::Well),
    }
}

fn list(table: &Table<'_>) -> ListState {
    match table.word_needed("state", &["up", "down", "silent", "frozen", "late"]) {
        "down" => ListState::Down,
        "silent" => ListState::Silent,
        "frozen" => ListState::Frozen,
        "late" => ListState::Late(table.time_or("by", (0.0, 600.0), 5.0)),
        _ => ListState::Up,
    }
}

/// `who` opens the connections; `to` is their target: backends, `list`, or, for `front`, proxies.
fn links(table: &Table<'_>, groups: &Groups, word: &str, members: &Members) -> What {
    let from_front = table.word("from", &["proxies", "front"]) == Some("front");
    let to = table.names("to");
    let list = to.iter().any(|(name, _)| name == "list");
    let others: Vec<_> = to.iter().filter(|(name, _)| name != "list").cloned().collect();
    let found = groups.all(table, &others);
    let way = if word == "cut" { table.word("way", &["both", "forth", "back"]) } else { None };
    let how = if word == "cut" { table.word("how", &["silent", "reset", "none"]) } else { Some("none") };
    let fault = LinkFault {
        cut: match how {
            Some("none") => None,
            Some("reset") => Some(true),
            _ => Some(false),
        },
        forth: way != Some("back"),
        back: way != Some("forth"),
        delay_ms: if word == "cut" { table.number_or("delay_ms", (0.0, 60_000.0), 0.0) } else { 0.0 },
        loss: if word == "cut" { table.number_or("loss", (0.0, 1.0), 0.0) } else { 0.0 },
        rate: if word == "cut" { table.whole("rate", (1, 1 << 40)) } else { None },
        corrupt: if word == "cut" { table.number_or("corrupt", (0.0, 1.0), 0.0) } else { 0.0 },
        front: from_front,
        list,
    };
    if members.proxies.is_empty() {
        let at = table.place("who").unwrap_or_else(|| table.at.clone());
        table.wrong(at, format!("{word}: `who` names no proxies"), "expected proxies, such as \"proxies\"");
    }
    if !from_front && !list && found.backends.is_empty() {
        let at = table.place("to").unwrap_or_else(|| table.at.clone());
        table.wrong(
            at,
            format!("{word}: `to` names no boxes"),
            "expected boxes, such as \"boxes\", or \"list\"",
        );
    }
    What::Links { fault, proxies: members.proxies.clone(), backends: found.backends }
}
