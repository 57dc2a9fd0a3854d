//! Parses the lines of the request trace, which the program logs with NODE_LOG=trace.

use shaletide_testkit::RunningProgram;
use std::collections::{HashMap, HashSet};

/// The target of the trace's lines, which follows time and level.
pub const TARGET: &str = "shaletide::request:";

/// A line of the trace as a map from field names to values.
#[derive(Debug)]
pub struct Event(HashMap<String, String>);

impl Event {
    /// Parses a line; returns `None` if it is not a line of the trace.
    pub fn parse(line: &str) -> Option<Event> {
        let (_, mut rest) = line.split_once(TARGET)?;
        let mut fields = HashMap::new();
        while let Some((name, tail)) = rest.split_once('=') {
            let (value, next) = match tail.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
                None => tail.split_once(' ').unwrap_or((tail, "")),
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

    /// Returns the value of the field `event`.
    pub fn name(&self) -> &str {
        self.get("event").unwrap_or_default()
    }
}

/// Returns all events logged so far, in order.
pub fn events(proxy: &RunningProgram) -> Vec<Event> {
    proxy.log.since(0).iter().filter_map(|line| Event::parse(line)).collect()
}

/// Waits until the log reports that the request with this id was answered.
pub fn expect_answered(proxy: &RunningProgram, id: &str) {
    proxy.log.expect(0, &format!("event=\"answered\" id=\"{id}\""));
}

/// Returns the longest time between the end of a request's only open attempt and the proxy's next event for that request,
/// which is the next attempt or the answer. The proxy has nothing to wait for in this time.
pub fn longest_indecision_us(proxy: &RunningProgram) -> u64 {
    let mut open: HashMap<String, HashSet<u64>> = HashMap::new();
    let mut undecided_since: HashMap<String, u64> = HashMap::new();
    let mut longest = 0;
    for event in events(proxy) {
        let (Some(id), Some(at_us)) = (event.get("id"), event.number("since_head_us")) else { continue };
        if let Some(since) = undecided_since.remove(id) {
            longest = longest.max(at_us - since);
        }
        let Some(attempt) = event.number("attempt") else { continue };
        let attempts = open.entry(id.to_string()).or_default();
        if !matches!(event.name(), "connect_failed" | "attempt_ended") {
            attempts.insert(attempt);
        } else if attempts.remove(&attempt) && attempts.is_empty() {
            undecided_since.insert(id.to_string(), at_us);
        }
    }
    longest
}

/// Returns the time in microseconds from a request's head until the proxy gave it up, and the reason. If the timer fired
/// late, the time that the event loop waited for a processor is subtracted.
pub fn given_up(proxy: &RunningProgram, id: &str) -> (u64, String) {
    expect_answered(proxy, id);
    let lines = proxy.log.since(0);
    let of_request = |event: &Event| event.name() == "given_up" && event.get("id") == Some(id);
    let index = lines.iter().position(|line| Event::parse(line).is_some_and(|event| of_request(&event)));
    let index = index.unwrap_or_else(|| panic!("{id} was not given up"));
    let event = Event::parse(&lines[index]).expect("an event of the trace");
    // The line on a late timer directly precedes the lines on the work that the timer triggers.
    let waited_ms =
        lines[index - 1].split_once("event loop waited ").and_then(|(_, rest)| rest.split(' ').next());
    let waited_us = waited_ms.and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(0.0) * 1_000.0;
    let since_head_us = event.number("since_head_us").expect("since_head_us");
    (since_head_us.saturating_sub(waited_us as u64), event.get("reason").unwrap_or_default().to_string())
}
