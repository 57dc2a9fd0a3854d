//! Tests of the watchdog with a short limit and captured reports.

use super::*;
use std::sync::mpsc::{self, Receiver};

/// How long tests wait for a report.
const PATIENCE: Duration = Duration::from_secs(20);
const LIMIT: Duration = Duration::from_millis(50);

/// Returns a watchdog and its reports, which end with its thread.
fn watchdog() -> (Watchdog, Receiver<String>) {
    let (written, reports) = mpsc::channel();
    let write_report = move |report: &Report| {
        let _ = written.send(report.to_string());
    };
    (Watchdog::begin_with(Instant::now(), LIMIT, write_report), reports)
}

fn complete(watchdog: &Watchdog) {
    watchdog.note_step(StartStep::EventLoopRuns);
    watchdog.note_log_written();
}

/// Returns the remaining reports once the watchdog's thread has ended.
fn reports_until_the_end(reports: &Receiver<String>) -> Vec<String> {
    let mut all = Vec::new();
    loop {
        match reports.recv_timeout(PATIENCE) {
            Ok(report) => all.push(report),
            Err(mpsc::RecvTimeoutError::Disconnected) => return all,
            Err(mpsc::RecvTimeoutError::Timeout) => panic!("the thread does not end"),
        }
    }
}

/// Guards against a start that hangs at its first step, the log, without a report.
#[test]
fn start_without_any_step_is_reported_as_waiting_for_the_log() {
    let (watchdog, reports) = watchdog();
    let report = reports.recv_timeout(PATIENCE).unwrap();
    assert!(report.starts_with("shaletide: start: no step done for 0."), "{report}");
    assert!(
        report.ends_with(
            "waits for the log to be started; last step: none; the log's thread has written nothing yet"
        ),
        "{report}"
    );
    watchdog.end();
    reports_until_the_end(&reports);
}

/// Guards against a step whose wait is not named in the report.
#[test]
fn start_stalled_after_any_step_is_reported_with_its_next_step() {
    let steps = [
        (StartStep::LogStarted, "waits for the event loop to be built; last step: log started after"),
        (StartStep::EventLoopBuilt, "waits for the first reading of the configuration to end"),
        (StartStep::ConfigurationRead, "waits for signals to be received"),
        (StartStep::SignalsReceived, "waits for a configuration that is complete"),
        (StartStep::ConfigurationComplete, "waits for the parts to start"),
        (StartStep::PartsStarted, "waits for the addresses to be listened on"),
        (StartStep::AddressesListenedOn, "waits for the event loop to run"),
        (StartStep::EventLoopRuns, "waits for the log's first line to be written"),
    ];
    for (step, expected) in steps {
        let (watchdog, reports) = watchdog();
        watchdog.note_step(step);
        let is_about_step = |report: &String| report.contains(&format!("last step: {step}"));
        let report = std::iter::from_fn(|| reports.recv_timeout(PATIENCE).ok()).find(is_about_step).unwrap();
        assert!(report.contains(expected), "{report}");
        watchdog.end();
        reports_until_the_end(&reports);
    }
}

/// Guards against a thread that outlives the start, and against a report about a start that makes progress.
#[test]
fn complete_start_ends_the_thread_without_a_report() {
    let (written, reports) = mpsc::channel::<String>();
    let write_report = move |report: &Report| {
        let _ = written.send(report.to_string());
    };
    let watchdog = Watchdog::begin_with(Instant::now(), PATIENCE, write_report);
    watchdog.note_step(StartStep::LogStarted);
    complete(&watchdog);
    assert_eq!(reports_until_the_end(&reports), Vec::<String>::new());
}

/// Guards against a log thread that never writes while the rest of the start succeeds.
#[test]
fn start_is_reported_until_the_log_writes_its_first_line() {
    let (watchdog, reports) = watchdog();
    watchdog.note_step(StartStep::EventLoopRuns);
    let report = reports.recv_timeout(PATIENCE).unwrap();
    assert!(report.ends_with("; the log's thread has written nothing yet"), "{report}");
    watchdog.note_log_written();
    reports_until_the_end(&reports);
}

/// Guards against a report that blocks because nobody reads it, and delays the start.
#[test]
fn steps_are_recorded_while_a_report_blocks() {
    let (begin, begun) = mpsc::channel();
    let (unblock, blocked) = mpsc::channel::<()>();
    let write_report = move |_: &Report| {
        let _ = begin.send(());
        let _ = blocked.recv_timeout(PATIENCE);
    };
    let watchdog = Watchdog::begin_with(Instant::now(), LIMIT, write_report);
    begun.recv_timeout(PATIENCE).unwrap();
    let noted_at = Instant::now();
    complete(&watchdog);
    assert!(noted_at.elapsed() < PATIENCE / 2);
    drop(unblock);
    assert!(begun.recv_timeout(PATIENCE).is_err(), "the thread has ended, with no further report");
}
