//! A connection is used only when it is open and idle, nothing but complete responses has come on it, and it leads to
//! the address at which its backend listens now.

use super::observed::{Line, LineStep, Record};
use super::{Rule, Rules, Violation};
use shaletide_types::*;

pub(super) fn may_use(
    record: &Record, now: Time, connection: ConnectionId, rules: &Rules,
) -> Result<Line, Violation> {
    let violation = |how: &str| {
        let text = format!("connection {} was used though {how}", connection.0);
        Err(Violation { rule: Rule::CleanConnection, at: now, text })
    };
    let Some(line) = record.lines.get(&connection) else { return violation("it does not exist") };
    match line.step {
        LineStep::Opening => violation("it is not open"),
        LineStep::Unclean => violation("bytes of another exchange may be on it"),
        LineStep::Busy { request, .. } => violation(&format!("request {} is on it", request.0)),
        LineStep::Up(Some(since)) if now < since + rules.quiet => violation("the reuse delay has not passed"),
        LineStep::Up(_) if line.old => violation("its backend listens at another address"),
        LineStep::Up(_) => Ok(*line),
    }
}
