//! A connection is used only when it is up and quiet, nothing but whole answers has come on it, and it leads to
//! where its backend listens now.

use super::record::{Line, LineStep, Record};
use super::{Rule, Rules, Violation};
use shaletide_types::*;

pub(super) fn may_use(
    record: &Record, now: Time, connection: ConnectionId, rules: &Rules,
) -> Result<Line, Violation> {
    let no = |how: &str| {
        let text = format!("connection {} is used and {how}", connection.0);
        Err(Violation { rule: Rule::CleanConnection, at: now, text })
    };
    let Some(line) = record.lines.get(&connection) else { return no("is not there") };
    match line.step {
        LineStep::Opening => no("is not up"),
        LineStep::Unclean => no("is unclean"),
        LineStep::Busy { request, .. } => no(&format!("request {} is on it", request.0)),
        LineStep::Up(Some(since)) if now < since + rules.quiet => no("rests"),
        LineStep::Up(_) if line.old => no("its box listens elsewhere by now"),
        LineStep::Up(_) => Ok(*line),
    }
}
