//! The lines of NODE_LOG=trace by which a request is followed.

use shaletide_testkit::RunningProgram;
use std::collections::{HashMap, HashSet};

/// How the lines of the trace begin, behind time and level.
pub const TARGET: &str = "shaletide::request:";

/// A line of the trace: its fields by name.
#[derive(Debug)]
pub struct Event(HashMap<String, String>);

impl Event {
    /// `None` for any other line.
    pub fn parse(line: &str) -> Option<Event> {
        let (_, mut rest) = line.split_once(TARGET)?;
        let mut fields = HashMap::new();
        while let Some((name, behind)) = rest.split_once('=') {
            let (value, next) = match behind.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
                None => behind.split_once(' ').unwrap_or((behind, "")),
            };
            fields.insert(name.trim().to_string(), value.to_string());
            rest = next;
        }
        Some(Event(fields))
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// What happened.
    pub fn name(&self) -> &str {
        self.get("event").unwrap_or_default()
    }
}

/// All events so far, in order.
pub fn events(proxy: &RunningProgram) -> Vec<Event> {
    proxy.log.since(0).iter().filter_map(|line| Event::parse(line)).collect()
}

/// Waits until the log has the answer to the request with that id.
pub fn expect_answered(proxy: &RunningProgram, id: &str) {
    proxy.log.expect(0, &format!("event=\"answered\" id=\"{id}\""));
}

/// The longest time from the end of a request's only open attempt to what the proxy does next for the request: the next
/// attempt, or its answer. The proxy waits for nothing meanwhile.
pub fn longest_indecision_us(proxy: &RunningProgram) -> u64 {
    let mut open: HashMap<String, HashSet<u64>> = HashMap::new();
    let mut undecided_since: HashMap<String, u64> = HashMap::new();
    let mut longest = 0;
    for event in events(proxy) {
        let (Some(id), Some(at)) = (event.get("id"), event.number("since_head_us")) else { continue };
        if let Some(since) = undecided_since.remove(id) {
            longest = longest.max(at - since);
        }
        let Some(attempt) = event.number("attempt") else { continue };
        let attempts = open.entry(id.to_string()).or_default();
        if !matches!(event.name(), "connect_failed" | "attempt_ended") {
            attempts.insert(attempt);
        } else if attempts.remove(&attempt) && attempts.is_empty() {
            undecided_since.insert(id.to_string(), at);
        }
    }
    longest
}

/// How long after its head a request was given up, and why, in the proxy's own time: less what its event loop waited for a
/// processor as the timer came late.
pub fn given_up(proxy: &RunningProgram, id: &str) -> (u64, String) {
    expect_answered(proxy, id);
    let lines = proxy.log.since(0);
    let of_request = |event: &Event| event.name() == "given_up" && event.get("id") == Some(id);
    let at = lines.iter().position(|line| Event::parse(line).is_some_and(|event| of_request(&event)));
    let at = at.unwrap_or_else(|| panic!("{id} was not given up"));
    let event = Event::parse(&lines[at]).expect("an event");
    // The line of a late timer stands before what the timer brings.
    let waited_ms =
        lines[at - 1].split_once("event loop waited ").and_then(|(_, rest)| rest.split(' ').next());
    let waited_us = waited_ms.and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(0.0) * 1_000.0;
    let since_head_us = event.number("since_head_us").expect("a time");
    (since_head_us.saturating_sub(waited_us as u64), event.get("reason").unwrap_or_default().to_string())
}
