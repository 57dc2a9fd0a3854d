//! The state of each proxy's process over time, from its events.

use super::facts::Facts;
use crate::samples::ProcessEvent;
use serde::Serialize;

/// The state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// Not running.
    Down,
    /// Started, not ready yet.
    Starting,
    /// Ready.
    Up,
    /// Signalled to end, still running.
    Ending,
    /// Stopped by a signal.
    Frozen,
}

/// A span in one state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Span {
    /// Its start.
    pub from_us: u64,
    /// Its end.
    pub to_us: u64,
    /// The state.
    #[serde(rename = "standing")]
    pub state: ProcessState,
}

/// A proxy's spans, in order, without a gap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProcessTimeline {
    /// The proxy's number.
    pub proxy: u32,
    /// Its spans.
    pub spans: Vec<Span>,
}

impl ProcessTimeline {
    /// Whether it was ready, or ending, for the whole span.
    pub fn answers(&self, from_us: u64, to_us: u64) -> bool {
        let meets = |s: &&Span| s.from_us <= to_us && from_us < s.to_us;
        let mut met = self.spans.iter().filter(meets).peekable();
        met.peek().is_some() && met.all(|s| matches!(s.state, ProcessState::Up | ProcessState::Ending))
    }
}

/// Maximum number of proxies with a timeline.
const MAX_BANDS: u32 = 256;

/// The timelines of all proxies up to that time.
pub(crate) fn timelines(facts: &Facts<'_>, end_us: u64) -> Vec<ProcessTimeline> {
    let proxies = facts.header.map_or(0, |h| h.proxies).min(MAX_BANDS);
    (0..proxies).map(|proxy| ProcessTimeline { proxy, spans: spans(facts, proxy, end_us) }).collect()
}

fn spans(facts: &Facts<'_>, proxy: u32, end_us: u64) -> Vec<Span> {
    let mut spans = Vec::new();
    let (mut since_us, mut state, mut before_frozen) = (0, ProcessState::Down, ProcessState::Down);
    for (at_us, _, event) in facts.processes.iter().filter(|event| event.1 == proxy) {
        let next = match event {
            ProcessEvent::Started => ProcessState::Starting,
            ProcessEvent::Ready => ProcessState::Up,
            ProcessEvent::Killed | ProcessEvent::Exited { .. } => ProcessState::Down,
            ProcessEvent::Termed => ProcessState::Ending,
            ProcessEvent::Stopped => ProcessState::Frozen,
            ProcessEvent::Continued if state == ProcessState::Frozen => before_frozen,
            ProcessEvent::Continued | ProcessEvent::Reloaded => state,
        };
        if next == state {
            continue;
        }
        if next == ProcessState::Frozen {
            before_frozen = state;
        }
        if *at_us > since_us {
            spans.push(Span { from_us: since_us, to_us: *at_us, state });
        }
        (since_us, state) = (*at_us, next);
    }
    spans.push(Span { from_us: since_us, to_us: end_us.max(since_us + 1), state });
    spans
}
