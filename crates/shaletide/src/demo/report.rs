//! The report of the demo: tables, and whether all rules held. Pure: a function of the recorded results.

use super::environment::{classes, DEADLINE};
use super::rules::{check_rules, Rule};
use super::run::DemoRun;
use super::shares::write_shares;
use shaletide_balancer::{Idempotency, Time};
use shaletide_testkit::{ClassResult, End, LoadResult};
use std::fmt::Write;

/// The most violations of a rule that are listed.
const MAX_LISTED: usize = 3;

/// The report's text, and whether all rules held.
pub struct Report {
    pub text: String,
    pub holds: bool,
}

/// Writes the tables and the verdict.
pub fn report(run: &DemoRun) -> Report {
    let rules = check_rules(run);
    let holds = rules.iter().all(|rule| rule.violations.is_empty()) && run.missing.is_empty();
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_shares(&mut text, run);
    let _ = write_answers(&mut text, run);
    let _ = write_verdict(&mut text, &rules, run, holds);
    Report { text, holds }
}

fn write_answers(text: &mut String, run: &DemoRun) -> std::fmt::Result {
    writeln!(text, "\nAnswers by class: requests, and the latency of those answered 200, ms")?;
    writeln!(text, "                             in that part      in all the run")?;
    let head = ["class", "", "requests", "p50", "p99", "p50", "p99", "refused", "failed", "late"];
    writeln!(text, "  {}", row(head.map(String::from)))?;
    let measured = measured_by_class(run);
    for ((class, measured), load_class) in run.result.by_class().iter().zip(&measured).zip(classes()) {
        writeln!(text, "  {}", row(class_row(run, class, measured, load_class.idempotency)))?;
    }
    writeln!(text, "  Refused: 429 or 503, a repeat does no harm. Failed: any other outcome except 200.")?;
    writeln!(text, "  Late: answered after its client's deadline of {} s.", DEADLINE.as_secs())?;
    if run.result.skipped > 0 {
        let count = run.result.skipped;
        writeln!(
            text,
            "  {count} more were not sent: the machine was overloaded; shares and latencies mean little."
        )?;
    }
    Ok(())
}

/// Returns the results by class of the requests that arrived in the measured part.
fn measured_by_class(run: &DemoRun) -> Vec<ClassResult> {
    let is_measured = |at: Time| run.measured.is_some_and(|part| at >= part.from && at < part.to);
    let sent = run.result.sent.iter().filter(|sent| is_measured(sent.arrived)).copied().collect();
    LoadResult { classes: run.result.classes.clone(), sent, ..Default::default() }.by_class()
}

fn class_row(
    run: &DemoRun, class: &ClassResult, measured: &ClassResult, idempotency: Idempotency,
) -> [String; 10] {
    let effect = match idempotency {
        Idempotency::Safe => "safe",
        Idempotency::Keyed(..) => "keyed",
        Idempotency::NonIdempotent => "unsafe",
    };
    let of_class = run.result.sent.iter().filter(|sent| run.result.classes[sent.class] == class.name);
    let late = of_class.filter(|sent| matches!(sent.end, End::Status(_)) && !sent.in_time).count();
    let rejected = class.status(503) + class.status(429);
    let failed = class.count - class.status(200) - rejected;
    [
        class.name.clone(),
        effect.into(),
        class.count.to_string(),
        ms(measured, 0.5),
        ms(measured, 0.99),
        ms(class, 0.5),
        ms(class, 0.99),
        rejected.to_string(),
        failed.to_string(),
        late.to_string(),
    ]
}

fn row(cells: [String; 10]) -> String {
    let widths = [6, 6, 8, 8, 7, 10, 7, 9, 7, 5];
    let cell = |(at, (text, width)): (usize, (&String, usize))| match at {
        0 | 1 => format!("{text:<width$} "),
        _ => format!(" {text:>width$}"),
    };
    cells.iter().zip(widths).enumerate().map(cell).collect()
}

fn ms(class: &ClassResult, part: f64) -> String {
    class.latency(part).map_or("-".into(), |latency| format!("{:.1}", latency.secs() * 1e3))
}

fn write_verdict(text: &mut String, rules: &[Rule], run: &DemoRun, holds: bool) -> std::fmt::Result {
    writeln!(text, "\nThe rules, by what the backends and the clients recorded")?;
    for rule in rules {
        let state = if rule.violations.is_empty() {
            "held".into()
        } else {
            format!("BROKEN {}x", rule.violations.len())
        };
        writeln!(text, "  {:<46} {:<39} {state}", rule.title, rule.checked_on)?;
    }
    for rule in rules.iter().filter(|rule| !rule.violations.is_empty()) {
        writeln!(text, "\n  Broken: {}", rule.title)?;
        for case in rule.violations.iter().take(MAX_LISTED) {
            writeln!(text, "    {case}")?;
        }
        if rule.violations.len() > MAX_LISTED {
            writeln!(text, "    and {} more", rule.violations.len() - MAX_LISTED)?;
        }
    }
    for missing in &run.missing {
        writeln!(text, "  Fault not injected: {missing}")?;
    }
    match (holds, run.interrupted) {
        (false, _) => write!(text, "\nNot all held."),
        (true, true) => write!(text, "\nAll held until the demo was stopped."),
        (true, false) => write!(text, "\nAll held."),
    }
}

#[cfg(test)]
mod tests;
