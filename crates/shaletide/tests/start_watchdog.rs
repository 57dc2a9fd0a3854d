//! The start watchdog: a thread that is independent of all other parts of the start reports on standard error what a start
//! waits for.

mod harness;

use harness::start::*;
use harness::*;
use std::io::Read;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The beginning of the watchdog's line.
const REPORT: &str = "shaletide: start: no step done for ";
/// The time without progress after which a start is reported.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// The time by which the report must be written, even on a loaded machine.
const REPORT_LIMIT: Duration = Duration::from_secs(7);
/// The time in which a thread without further work must end.
const THREAD_END_LIMIT: Duration = Duration::from_secs(1);

/// Returns the program as the platform runs it, with the report of a silent start enabled.
fn reporting_program() -> Program {
    program().environment("NODE_REPORT_SILENT_START", "1")
}

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("shaletide-watchdog-{}-{name}", std::process::id()))
}

/// Waits for the first report, checks its time and returns it.
fn first_report(running: &RunningProgram, begun: Instant) -> String {
    let line = running.log.expect(0, REPORT);
    let waited = begun.elapsed();
    assert!(waited >= SILENCE_LIMIT && waited <= REPORT_LIMIT, "after {waited:?}: {line}");
    line
}

/// Guards against a start that waits without a report for a configuration pipe that nobody writes to.
#[test]
fn start_that_waits_for_a_pipe_names_the_first_reading_within_seven_seconds() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let fifo = path("fifo");
    make_fifo(&fifo);
    let begun = Instant::now();
    let mut running = reporting_program().spawn_with_config(listener.address(), &fifo);
    let line = first_report(&running, begun);
    assert!(line.contains("waits for the first reading of the configuration"), "{line}");
    assert!(line.contains("last step: event loop built"), "{line}");
    std::fs::write(&fifo, platform_configuration(&discovery, &listener)).unwrap();
    assert!(running.wait_ready().is_some(), "not ready once the configuration is complete");
}

/// Guards against a report that is written only once: a later reader must see that the start still waits.
#[test]
fn start_whose_configuration_is_absent_is_reported_again_after_each_five_seconds() {
    let absent = path("absent.json");
    let begun = Instant::now();
    let running = reporting_program().spawn_with_config(RefusingPort::new().address(), &absent);
    let line = first_report(&running, begun);
    assert!(line.contains("waits for a configuration that is complete"), "{line}");
    assert!(line.contains("last step: signals received"), "{line}");
    let (first, _) = running.log.wait(0, |line| line.contains(REPORT)).unwrap();
    let second = running.log.expect(first + 1, REPORT);
    assert!(second.contains("for 10."), "{second}");
}

/// Guards against a start that waits for its address without a report because the log's thread cannot write.
#[test]
fn start_whose_address_is_in_use_names_the_addresses_within_seven_seconds() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let occupying = std::net::TcpListener::bind(listener.address()).unwrap();
    let file = path("held.json");
    std::fs::write(&file, platform_configuration(&discovery, &listener)).unwrap();
    let begun = Instant::now();
    let mut running = reporting_program().spawn_with_config(listener.address(), &file);
    let line = first_report(&running, begun);
    assert!(line.contains("waits for the addresses to be listened on"), "{line}");
    assert!(line.contains("last step: parts started"), "{line}");
    drop(occupying);
    assert!(running.wait_ready().is_some(), "not ready once the address is free");
}

/// Guards against a report that depends on the log's thread: that thread is blocked while the socket of standard error is
/// full. The report is there once standard error is read.
#[test]
fn start_whose_standard_error_is_full_is_reported_once_it_is_read() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let (mut reader, writer) = full_socket();
    let fifo = path("unread-fifo");
    make_fifo(&fifo);
    let mut command = program_command(None);
    command.env("NODE_CONFIG", &fifo).env("NODE_REPORT_SILENT_START", "1").stderr(OwnedFd::from(writer));
    let _process = KilledOnDrop(command.spawn().unwrap());
    drop(command); // closes its end of the socket
    std::thread::sleep(REPORT_LIMIT);
    let text = read_until(&mut reader, REPORT);
    assert!(text.contains("waits for the first reading of the configuration"), "{text}");
    std::fs::write(&fifo, platform_configuration(&discovery, &listener)).unwrap();
    let text = read_until(&mut reader, "listens on ");
    assert!(text.contains("listens on "), "{text}");
    std::fs::remove_file(&fifo).unwrap();
}

/// Guards against a report of a successful start, and against a thread that outlives the start.
#[test]
fn successful_start_writes_no_report_and_leaves_no_thread() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let file = path("well.json");
    std::fs::write(&file, platform_configuration(&discovery, &listener)).unwrap();
    let mut running = reporting_program().spawn_with_config(listener.address(), &file);
    assert!(running.wait_ready().is_some());
    let ready = Instant::now();
    let expected = ["log", "shaletide"];
    while thread_names(&running.child) != expected && ready.elapsed() < THREAD_END_LIMIT {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(thread_names(&running.child), expected);
    std::thread::sleep(SILENCE_LIMIT + Duration::from_secs(1));
    let reports: Vec<_> = running.log.since(0).into_iter().filter(|line| line.contains(REPORT)).collect();
    assert_eq!(reports, Vec::<String>::new());
    assert_eq!(thread_names(&running.child), expected);
}

/// Guards against a report that passes through the log: it must be written even if the log level suppresses all lines.
#[test]
fn start_that_waits_with_a_silent_log_is_reported() {
    let begun = Instant::now();
    let absent = path("silent-absent.json");
    let running =
        reporting_program().log_level("error").spawn_with_config(RefusingPort::new().address(), &absent);
    let line = first_report(&running, begun);
    assert!(line.contains("waits for a configuration that is complete"), "{line}");
    assert_eq!(running.log.since(0), [line]);
}

/// Guards against a watchdog that waits for the first line of a log whose level suppresses all lines.
#[test]
fn start_with_a_silent_log_writes_no_report_and_leaves_no_thread() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let file = path("silent.json");
    std::fs::write(&file, platform_configuration(&discovery, &listener)).unwrap();
    let mut running = reporting_program().log_level("error").spawn_with_config(listener.address(), &file);
    assert!(running.wait_ready().is_some());
    std::thread::sleep(SILENCE_LIMIT + Duration::from_secs(1));
    assert_eq!(running.log.since(0), Vec::<String>::new());
    assert_eq!(thread_names(&running.child), ["log", "shaletide"]);
}

/// Reads until the text has arrived; panics after `WAIT_LIMIT` without data.
fn read_until(from: &mut UnixStream, text: &str) -> String {
    from.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut read = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let received = String::from_utf8_lossy(&read);
        if received.contains(text) {
            return received.trim_start().to_string();
        }
        match from.read(&mut piece) {
            Ok(0) | Err(_) => panic!("{text:?} was not written: {}", received.trim_start()),
            Ok(length) => read.extend_from_slice(&piece[..length]),
        }
    }
}
